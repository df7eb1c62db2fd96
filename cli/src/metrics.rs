//! The instance's metrics, in the OpenMetrics text format.

use std::{fmt, sync::atomic::AtomicU64, time::Duration};

use hickorylink_lib::{
    ids::{CustomerName, ServiceName},
    instance::port::LogEvent,
};
use hickorylink_runtime::{
    metrics::{IntGauge, PREFIX, RingMetrics, encode_text, latency_histogram, saturating_i64},
    ring::RingReading,
};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, histogram::Histogram},
    registry::Registry,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    customer: String,
    service: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ListLabels {
    list: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CentreLabels {
    centre: String,
}

/// The metrics of an instance.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Family<ServiceLabels, Histogram>,
    rings: RingMetrics,
    revision: Family<ListLabels, IntGauge>,
    epoch: Family<CentreLabels, IntGauge>,
    term: IntGauge,
    leads: IntGauge,
    voters: IntGauge,
    live_voters: IntGauge,
    wanted_voters: IntGauge,
    standbys: IntGauge,
    task_events: Counter<u64, AtomicU64>,
    /// Entries of the replicated log that can't be read.
    unreadable: Counter<u64, AtomicU64>,
    /// Events for which a state chart has no transition.
    unhandled: Counter<u64, AtomicU64>,
    peer_sent: Counter<u64, AtomicU64>,
    peer_received: Counter<u64, AtomicU64>,
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
            requests: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            rings: RingMetrics::default(),
            revision: Family::default(),
            epoch: Family::default(),
            term: IntGauge::default(),
            leads: IntGauge::default(),
            voters: IntGauge::default(),
            live_voters: IntGauge::default(),
            wanted_voters: IntGauge::default(),
            standbys: IntGauge::default(),
            task_events: Counter::default(),
            unreadable: Counter::default(),
            unhandled: Counter::default(),
            peer_sent: Counter::default(),
            peer_received: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests by what became of them", self.requests.clone());
        r.register(
            "request_duration_seconds",
            "Time from a request's arrival to its answer",
            self.latency.clone(),
        );
        self.rings.register(r);
        r.register("list_revision", "Revision of a list in force here", self.revision.clone());
        r.register("centre_epoch", "Epoch of a data centre as known here", self.epoch.clone());
        r.register("council_term", "Term of the council", self.term.clone());
        r.register("council_leads", "Whether this instance leads", self.leads.clone());
        r.register("council_voters", "Voters", self.voters.clone());
        r.register("council_live_voters", "Voters alive and staying", self.live_voters.clone());
        r.register("council_wanted_voters", "Voters by settings", self.wanted_voters.clone());
        r.register("council_standbys", "Live members to be voters", self.standbys.clone());
        r.register("task_events", "Steps of tasks applied here", self.task_events.clone());
        r.register("chart_unhandled", "Events without a rule in a chart", self.unhandled.clone());
        r.register("peer_sent_bytes", "Bytes sent to instances", self.peer_sent.clone());
        r.register("peer_received_bytes", "Bytes taken from them", self.peer_received.clone());
        r.register("log_unreadable", "Entries that can't be read", self.unreadable.clone());
    }

    /// Counts a request.
    pub fn count_request(
        &self,
        customer: &CustomerName,
        service: &ServiceName,
        outcome: &'static str,
    ) {
        let labels =
            RequestLabels { customer: customer.to_string(), service: service.to_string(), outcome };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records how long a request took.
    pub fn observe_latency(&self, service: &ServiceName, took: Duration) {
        let labels = ServiceLabels { service: service.to_string() };
        self.latency.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Counts the bytes of a frame that was sent to another instance.
    pub fn peer_sent(&self, bytes: usize) {
        self.peer_sent.inc_by(bytes as u64);
    }

    /// Counts the bytes of a frame that was received from another instance.
    pub fn peer_received(&self, bytes: usize) {
        self.peer_received.inc_by(bytes as u64);
    }

    /// Updates the metrics from a log event.
    pub fn record_event(&self, event: &LogEvent) {
        match event {
            LogEvent::Role { role, term, .. } => {
                self.term.set(saturating_i64(term.0));
                self.leads.set(i64::from(role == "leader"));
            }
            LogEvent::Policy { plans, usage } => {
                let set = |list, revision| {
                    self.revision.get_or_create(&ListLabels { list }).set(saturating_i64(revision));
                };
                set("plans", plans.0);
                set("usage", usage.0);
            }
            LogEvent::Epoch { centre, epoch, .. } => {
                let labels = CentreLabels { centre: centre.to_string() };
                self.epoch.get_or_create(&labels).set(saturating_i64(epoch.0));
            }
            LogEvent::Voters(counts) => {
                let set = |gauge: &IntGauge, count| gauge.set(saturating_i64(count as u64));
                set(&self.voters, counts.voters);
                set(&self.live_voters, counts.live);
                set(&self.wanted_voters, counts.wanted);
                set(&self.standbys, counts.standbys);
            }
            LogEvent::Task { .. } => drop(self.task_events.inc()),
            LogEvent::Unreadable { .. } => drop(self.unreadable.inc()),
            LogEvent::Unhandled { .. } => drop(self.unhandled.inc()),
            LogEvent::SteppedDown(_)
            | LogEvent::Bootstrapped
            | LogEvent::Restored { .. }
            | LogEvent::Members { .. } => {}
        }
    }

    /// Encodes all metrics in the text format.
    ///
    /// # Errors
    ///
    /// A value can't be encoded.
    pub fn encode(&self, rings: &[RingReading]) -> Result<String, fmt::Error> {
        self.rings.set(rings);
        encode_text(&self.registry)
    }
}
