//! What a gateway counts.

use std::{fmt, sync::atomic::AtomicU64, time::Duration};

use hickorylink_lib::jobs::{call::Reply, gateway::LogEvent};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, histogram::Histogram},
    registry::Registry,
};

use crate::{
    metrics::{IntGauge, PREFIX, RingMetrics, encode_text, latency_histogram},
    ring::RingReading,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    reply: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ActionLabels {
    call: &'static str,
}

/// All metrics of a gateway.
pub struct Metrics {
    registry: Registry,
    rings: RingMetrics,
    calls: Family<CallLabels, Counter>,
    latency: Family<ActionLabels, Histogram>,
    given_up: Counter<u64, AtomicU64>,
    found: Counter<u64, AtomicU64>,
    lost: Counter<u64, AtomicU64>,
    ready: IntGauge,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            rings: RingMetrics::default(),
            calls: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            given_up: Counter::default(),
            found: Counter::default(),
            lost: Counter::default(),
            ready: IntGauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        self.rings.register(r);
        r.register("calls", "Calls by what their callers were told", self.calls.clone());
        r.register(
            "call_duration_seconds",
            "Time from a call's arrival to its answer",
            self.latency.clone(),
        );
        r.register("given_up", "Calls without an answer in time", self.given_up.clone());
        r.register("leader_found", "Times a leader was found", self.found.clone());
        r.register("leader_lost", "Times the leader was lost", self.lost.clone());
        r.register("ready", "Whether new callers should come here", self.ready.clone());
    }

    /// Counts a call and how long it took.
    pub fn count_call(&self, action: &'static str, reply: &Reply, took: Duration) {
        self.calls.get_or_create(&CallLabels { call: action, reply: reply.name() }).inc();
        let labels = ActionLabels { call: action };
        self.latency.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Takes in what a gateway noted.
    pub fn record(&self, event: &LogEvent) {
        match event {
            LogEvent::LeaderFound(_) => drop(self.found.inc()),
            LogEvent::LeaderLost { .. } => drop(self.lost.inc()),
            LogEvent::CallTimedOut { .. } => drop(self.given_up.inc()),
        }
    }

    /// Takes over whether new callers should come here.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(i64::from(ready));
    }

    /// Writes all metrics in the text format.
    ///
    /// # Errors
    ///
    /// A value can't be written.
    pub fn encode(&self, rings: &[RingReading]) -> Result<String, fmt::Error> {
        self.rings.set(rings);
        encode_text(&self.registry)
    }
}
