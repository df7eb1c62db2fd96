//! The queue of requests waiting for a slot: weighted fair queueing between customers, earliest
//! deadline first within a customer.
//!
//! Each dispatched request advances its customer's virtual time tag by the inverse of the
//! customer's weight. The customer with the smallest tag is served next.

use std::collections::BTreeSet;

use crate::{ids::RequestId, time::Time};

/// The amount by which a request of a customer with weight 1 advances the tag.
const STRIDE: u64 = 1 << 20;

/// The queued requests of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    /// Indexed by account.
    lanes: Vec<Lane>,
    /// The tags and accounts of the customers with queued requests; the first is served next.
    turns: BTreeSet<(u64, usize)>,
    /// The largest tag that was served. A customer whose queue was empty continues from at least this
    /// tag.
    tag: u64,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct Lane {
    tag: u64,
    stride: u64,
    waiting: BTreeSet<(Time, RequestId)>,
}

impl Queue {
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// An estimate of how many requests would be dispatched before a new one of `account`.
    pub(super) fn ahead(&self, account: usize) -> usize {
        let own = self.lanes.get(account).map_or(0, |lane| lane.waiting.len());
        let lanes = self.turns.len() + usize::from(own == 0);
        self.len.min(own * lanes + lanes - 1)
    }

    pub(super) fn push(&mut self, account: usize, weight: u32, at: (Time, RequestId)) {
        if self.lanes.len() <= account {
            self.lanes.resize_with(account + 1, Lane::default);
        }
        let lane = &mut self.lanes[account];
        lane.stride = STRIDE / u64::from(weight.max(1)).min(STRIDE);
        if lane.waiting.is_empty() {
            lane.tag = lane.tag.max(self.tag);
            self.turns.insert((lane.tag, account));
        }
        if lane.waiting.insert(at) {
            self.len += 1;
        }
    }

    /// The request to be dispatched next, without removing it.
    pub(super) fn peek(&self) -> Option<RequestId> {
        let (_, account) = self.turns.first()?;
        self.lanes[*account].waiting.first().map(|(_, request)| *request)
    }

    /// Removes a request. If it is `dispatched`, its customer's tag advances.
    pub(super) fn take(&mut self, account: usize, at: (Time, RequestId), dispatched: bool) {
        let Some(lane) = self.lanes.get_mut(account) else { return };
        if !lane.waiting.remove(&at) {
            return;
        }
        self.len -= 1;
        let turn = (lane.tag, account);
        if dispatched {
            self.tag = self.tag.max(lane.tag);
            lane.tag += lane.stride;
        }
        if lane.waiting.is_empty() {
            self.turns.remove(&turn);
        } else if dispatched {
            self.turns.remove(&turn);
            self.turns.insert((lane.tag, account));
        }
    }
}
