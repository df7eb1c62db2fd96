//! What a router reports about itself.

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
    /// What the router did since its start.
    #[derive(Default)]
    pub struct Counters {
        /// Requests that ran.
        pub ran: u64,
        /// Requests that had run before.
        pub ran_earlier: u64,
        /// Requests that did not run, by reason.
        pub not_run: BTreeMap<NotRun, u64>,
        /// Requests that may have run.
        pub unknown: u64,
        /// Tries sent again after an earlier one ended.
        pub retries: u64,
        /// Tries sent while an earlier one was under way.
        pub hedges: u64,
        /// Events about attempts that were over.
        pub late: u64,
        /// Events about requests that aren't known, or twice the same request.
        pub stray: u64,
        /// Tries given up because their connection went silent.
        pub stalled: u64,
        /// Claims that were forgotten without an answer.
        pub expired_claims: u64,
    }

    /// What the router holds now.
    pub struct Status {
        /// What it did.
        pub counters: Counters,
        /// Requests whose caller waits.
        pub open: usize,
        /// Requests that wait for a claim, a slot or a retry.
        pub waiting: usize,
        /// Requests whose claim or record isn't confirmed.
        pub unsettled: usize,
        /// Tries under way, abandoned ones that still hold a slot included.
        pub in_flight: usize,
        /// Whether the instance is leaving.
        pub draining: bool,
        /// The targets.
        pub targets: Vec<TargetStatus>,
    }

    /// A target as this instance sees it.
    pub struct TargetStatus {
        /// Its address.
        pub address: String,
        /// Its service.
        pub service: ServiceName,
        /// Where it is in its life.
        pub state: TargetState,
        /// This instance's part of its slots.
        pub share: u32,
        /// This instance's part of its connections, idle ones included.
        pub connections: u32,
        /// Tries under way there.
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
