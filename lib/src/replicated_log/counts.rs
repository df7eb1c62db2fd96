//! Completed requests without a key, counted in batches.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    command::Command,
    ids::{CustomerName, InstanceId, RequestId},
    time::{Time, WallTime},
};

/// How long a count waits for others if no answer waits for it.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Bits of a batch's number that count batches within a millisecond of the start.
const BATCH_BITS: u32 = 20;

/// Requests that are yet to be counted.
#[derive(Clone, Debug)]
pub struct Counts {
    sequence: u64,
    counts: BTreeMap<CustomerName, u64>,
    waiting: Vec<RequestId>,
    due: Option<Time>,
    in_flight: Option<Vec<RequestId>>,
}

impl Counts {
    /// Starts numbering above every batch of an earlier start of the same instance.
    pub fn new(start: WallTime) -> Self {
        Self {
            sequence: start.0 << BATCH_BITS,
            counts: BTreeMap::new(),
            waiting: Vec::new(),
            due: None,
            in_flight: None,
        }
    }

    /// Adds a completed request; if it is `awaited`, its answer waits for the count.
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

    /// The next batch, once it is due and the one before it is recorded: a batch with an older
    /// number than the newest recorded one would not be counted.
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

    /// The batch under way was recorded; its requests.
    pub fn recorded(&mut self) -> Vec<RequestId> {
        self.in_flight.take().unwrap_or_default()
    }
}
