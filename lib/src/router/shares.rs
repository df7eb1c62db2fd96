//! Divides a target's slots between the instances without communication.
//!
//! Every instance computes the same shares from the target's address and its view: the live
//! instances and the data centres with targets. A share shrinks immediately, and grows only after the view was unchanged for the
//! settle time. An instance thus uses at most the minimum of its shares in all views that another
//! instance may still use, and the shares never add up to more than the target's slots.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    ids::{DataCentre, InstanceId},
    router::port::Peer,
    time::Time,
};

/// The input from which the shares of one service's targets are computed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The live instances, sorted by identity.
    pub peers: Vec<Peer>,
    /// The data centres with at least one target of the service that isn't leaving.
    pub centres: BTreeSet<DataCentre>,
}

impl View {
    /// The share of instance `me` in the `total` slots of a target in `centre`.
    ///
    /// Slots are divided between the instances in the target's data centre and those in data
    /// centres without a target of the service, or between all instances if there are none. The
    /// remainder goes first to instances in the target's data centre, starting at an offset
    /// determined by `rotation`.
    pub fn share(&self, me: InstanceId, centre: &DataCentre, rotation: u64, total: u32) -> u32 {
        let local = |peer: &Peer| peer.centre == *centre;
        let remote = |peer: &Peer| !local(peer) && !self.centres.contains(&peer.centre);
        let (local_count, local_at) = self.position(me, local);
        let (remote_count, remote_at) = self.position(me, remote);
        if local_count + remote_count == 0 {
            let (count, at) = self.position(me, |_| true);
            return at.map_or(0, |at| share_of(total, count, rotated(at, rotation, count)));
        }
        let place = match (local_at, remote_at) {
            (Some(at), _) => rotated(at, rotation, local_count),
            (None, Some(at)) => local_count + rotated(at, rotation, remote_count),
            (None, None) => return 0,
        };
        share_of(total, local_count + remote_count, place)
    }

    fn position(&self, me: InstanceId, takes: impl Fn(&Peer) -> bool) -> (u64, Option<u64>) {
        let mut count = 0;
        let mut at = None;
        for peer in self.peers.iter().filter(|peer| takes(peer)) {
            if peer.instance == me {
                at = Some(count);
            }
            count += 1;
        }
        (count, at)
    }
}

fn rotated(at: u64, rotation: u64, count: u64) -> u64 {
    (at + rotation % count) % count
}

fn share_of(total: u32, count: u64, place: u64) -> u32 {
    let total = u64::from(total);
    let share = total / count + u64::from(place < total % count);
    u32::try_from(share).unwrap_or(u32::MAX)
}

/// The offset at which the distribution of a target's remainder starts.
pub fn rotation(address: &str) -> u64 {
    let hash = blake3::hash(address.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// The current view and the past views that another instance may still use.
#[derive(Clone, Debug, Default)]
pub struct Views {
    current: View,
    past: Vec<(Time, View)>,
}

impl Views {
    /// Replaces the current view; returns whether it changed.
    pub fn replace(&mut self, now: Time, view: View) -> bool {
        if view == self.current {
            return false;
        }
        let replaced = std::mem::replace(&mut self.current, view);
        self.past.push((now, replaced));
        true
    }

    /// The current view.
    pub fn current(&self) -> &View {
        &self.current
    }

    /// Drops views that were replaced at least `settle_time` ago; returns whether there were any.
    pub fn expire(&mut self, now: Time, settle_time: Duration) -> bool {
        let before = self.past.len();
        self.past.retain(|(replaced, _)| now < *replaced + settle_time);
        self.past.len() < before
    }

    /// When the next past view expires.
    pub fn next_expiry(&self, settle_time: Duration) -> Option<Time> {
        self.past.iter().map(|(replaced, _)| *replaced + settle_time).min()
    }

    /// The minimum share over the current and the past views.
    pub fn share(&self, me: InstanceId, centre: &DataCentre, rotation: u64, total: u32) -> u32 {
        let current = self.current.share(me, centre, rotation, total);
        self.past
            .iter()
            .map(|(_, view)| view.share(me, centre, rotation, total))
            .fold(current, u32::min)
    }
}
