//! Status and counters of a router.

use std::collections::BTreeMap;

use crate::{
    data,
    ids::ServiceName,
    router::{
        port::{NotRun, RequestOutcome},
        target::TargetState,
    },
};

data! {
    /// Event counts since the router's start.
    #[derive(Default)]
    pub struct Counters {
        /// Requests that ran.
        pub ran: u64,
        /// Requests that had run earlier and whose response body is no longer stored.
        pub ran_earlier: u64,
        /// Requests that did not run, by reason.
        pub not_run: BTreeMap<NotRun, u64>,
        /// Requests that may have run.
        pub unknown: u64,
        /// Attempts sent after an earlier one ended.
        pub retries: u64,
        /// Attempts sent while an earlier one was in flight.
        pub hedges: u64,
        /// Events for attempts that had already ended or been abandoned.
        pub late: u64,
        /// Events for unknown requests, and requests with an identifier that is already in use.
        pub stray: u64,
        /// Attempts failed because their connection stalled.
        pub stalled: u64,
        /// Claims whose result didn't arrive before the timeout.
        pub expired_claims: u64,
    }

    /// The current state of a router.
    pub struct Status {
        /// Event counts since the start.
        pub counters: Counters,
        /// Requests that haven't been answered.
        pub open: usize,
        /// Requests waiting for a claim, a slot or a retry.
        pub waiting: usize,
        /// Requests whose claim or record isn't committed.
        pub unsettled: usize,
        /// Attempts in flight, including abandoned ones that still hold a slot.
        pub in_flight: usize,
        /// Whether the instance is draining.
        pub draining: bool,
        /// The targets.
        pub targets: Vec<TargetStatus>,
    }

    /// A target's status from the point of view of this instance.
    pub struct TargetStatus {
        /// Its address.
        pub address: String,
        /// Its service.
        pub service: ServiceName,
        /// Its state in the chart.
        pub state: TargetState,
        /// This instance's share of its slots.
        pub share: u32,
        /// This instance's share of its connections, including idle ones.
        pub connections: u32,
        /// Attempts in flight to it.
        pub in_flight: u32,
        /// Its average latency, in microseconds.
        pub latency_us: u64,
    }
}

impl Counters {
    pub(super) fn count(&mut self, outcome: &RequestOutcome) {
        match outcome {
            RequestOutcome::Ran(_) => self.ran += 1,
            RequestOutcome::RanEarlier { .. } => self.ran_earlier += 1,
            RequestOutcome::NotRun { reason } => *self.not_run.entry(*reason).or_insert(0) += 1,
            RequestOutcome::Unknown { .. } => self.unknown += 1,
        }
    }
}
