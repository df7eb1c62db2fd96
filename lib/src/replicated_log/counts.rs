//! Counts of requests that ran without a claim, recorded in batches.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    command::Command,
    ids::{CustomerName, InstanceId, RequestId},
    time::{Time, WallTime},
};

/// How long a batch collects counts if no request awaits its record.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// The number of low bits of a batch's number that count the batches of one process. The higher
/// bits are the process's start time in milliseconds.
const BATCH_BITS: u32 = 20;

/// Requests that aren't counted in the ledger yet.
#[derive(Clone, Debug)]
pub struct Counts {
    /// The number of the last batch.
    sequence: u64,
    counts: BTreeMap<CustomerName, u64>,
    /// The requests of the next batch.
    waiting: Vec<RequestId>,
    /// When the next batch is due.
    due: Option<Time>,
    /// The requests of the batch that isn't recorded yet.
    in_flight: Option<Vec<RequestId>>,
}

impl Counts {
    /// Numbers batches above those of every earlier process of the same instance.
    pub fn new(start: WallTime) -> Self {
        Self {
            sequence: start.0 << BATCH_BITS,
            counts: BTreeMap::new(),
            waiting: Vec::new(),
            due: None,
            in_flight: None,
        }
    }

    /// Adds a request that ran. If `awaited`, the batch is due at once because the request's
    /// answer is delayed until it is recorded.
    pub fn add(&mut self, now: Time, request: RequestId, customer: CustomerName, awaited: bool) {
        *self.counts.entry(customer).or_default() += 1;
        self.waiting.push(request);
        let due = if awaited { now } else { now + BATCH_DELAY };
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
    }

    /// When the next batch is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.due.filter(|_| self.in_flight.is_none())
    }

    /// The next batch, once it is due and the previous one is recorded: the ledger ignores a batch
    /// whose number isn't above the newest recorded one.
    pub fn next_batch(&mut self, now: Time, instance: InstanceId) -> Option<Command> {
        if self.next_deadline().is_none_or(|due| due > now) {
            return None;
        }
        self.due = None;
        self.sequence += 1;
        self.in_flight = Some(std::mem::take(&mut self.waiting));
        let counts = std::mem::take(&mut self.counts).into_iter().collect();
        Some(Command::Count { instance, sequence: self.sequence, counts })
    }

    /// Completes the batch in flight and returns its requests.
    pub fn recorded(&mut self) -> Vec<RequestId> {
        self.in_flight.take().unwrap_or_default()
    }
}
