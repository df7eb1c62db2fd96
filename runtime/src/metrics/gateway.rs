//! The metrics of a gateway.

use std::{fmt, sync::atomic::AtomicU64, time::Duration};

use hickorylink_lib::jobs::{call::Reply, gateway::LogEvent};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, histogram::Histogram},
    registry::Registry,
};

use crate::{
    clients::Clients,
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
    clients: Option<Clients>,
    calls: Family<CallLabels, Counter>,
    latency: Family<ActionLabels, Histogram>,
    timed_out: Counter<u64, AtomicU64>,
    leader_found: Counter<u64, AtomicU64>,
    leader_lost: Counter<u64, AtomicU64>,
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
            clients: None,
            calls: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            timed_out: Counter::default(),
            leader_found: Counter::default(),
            leader_lost: Counter::default(),
            ready: IntGauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// The metrics of an instance with these connections.
    pub fn new(clients: &Clients) -> Self {
        let mut metrics = Self::default();
        clients.register(&mut metrics.registry);
        metrics.clients = Some(clients.clone());
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        self.rings.register(r);
        r.register("calls", "Calls by what their callers were told", self.calls.clone());
        r.register(
            "call_duration_seconds",
            "Time from a call's arrival to its answer",
            self.latency.clone(),
        );
        r.register("given_up", "Calls without an answer in time", self.timed_out.clone());
        r.register("leader_found", "Times a leader was found", self.leader_found.clone());
        r.register("leader_lost", "Times the leader was lost", self.leader_lost.clone());
        r.register("ready", "Whether new callers should come here", self.ready.clone());
    }

    /// Counts a call by its reply and records how long it took.
    pub fn count_call(&self, action: &'static str, reply: &Reply, took: Duration) {
        self.calls.get_or_create(&CallLabels { call: action, reply: reply.name() }).inc();
        let labels = ActionLabels { call: action };
        self.latency.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Updates the metrics from a log event.
    pub fn record(&self, event: &LogEvent) {
        match event {
            LogEvent::LeaderFound(_) => drop(self.leader_found.inc()),
            LogEvent::LeaderLost { .. } => drop(self.leader_lost.inc()),
            LogEvent::CallTimedOut { .. } => drop(self.timed_out.inc()),
        }
    }

    /// Sets whether the gateway accepts new callers.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(i64::from(ready));
    }

    /// Encodes all metrics in the text format.
    ///
    /// # Errors
    ///
    /// A value can't be formatted.
    pub fn encode(&self, rings: &[RingReading]) -> Result<String, fmt::Error> {
        self.rings.set(rings);
        if let Some(clients) = &self.clients {
            clients.set_gauges();
        }
        encode_text(&self.registry)
    }
}
