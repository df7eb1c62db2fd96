//! Completed requests without a key, counted in batches.

use std::collections::BTreeMap;

use crate::{
    command::Command,
    ids::{CustomerName, InstanceId, RequestId},
    time::WallTime,
};

/// Bits of a batch's number that count batches within a millisecond of the start.
const BATCH_BITS: u32 = 20;

/// Requests that are yet to be counted.
#[derive(Clone, Debug)]
pub struct Counts {
    sequence: u64,
    counts: BTreeMap<CustomerName, u64>,
    waiting: Vec<RequestId>,
    under_way: Option<Vec<RequestId>>,
}

impl Counts {
    /// Starts numbering above every batch of an earlier start of the same instance.
    pub fn new(start: WallTime) -> Self {
        Self {
            sequence: start.0 << BATCH_BITS,
            counts: BTreeMap::new(),
            waiting: Vec::new(),
            under_way: None,
        }
    }

    /// Adds a completed request.
    pub fn add(&mut self, request: RequestId, customer: CustomerName) {
        *self.counts.entry(customer).or_default() += 1;
        self.waiting.push(request);
    }

    /// The next batch, once the one before it is recorded: a batch with an older number than
    /// the newest recorded one would not be counted.
    pub fn next_batch(&mut self, instance: InstanceId) -> Option<Command> {
        if self.under_way.is_some() || self.waiting.is_empty() {
            return None;
        }
        self.sequence += 1;
        self.under_way = Some(std::mem::take(&mut self.waiting));
        let counts = std::mem::take(&mut self.counts).into_iter().collect();
        Some(Command::Count { instance, sequence: self.sequence, counts })
    }

    /// The batch under way was recorded; its requests.
    pub fn recorded(&mut self) -> Vec<RequestId> {
        self.under_way.take().unwrap_or_default()
    }
}
