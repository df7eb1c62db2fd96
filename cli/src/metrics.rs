//! The instance's metrics, in the OpenMetrics text format.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicI64, AtomicU64, Ordering},
    },
    time::Duration,
};

use hickorylink_lib::{
    ids::{CustomerName, ServiceName},
    instance::port::Note,
};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge as Value,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::ring::Gauge;

/// The shortest latency that the histogram tells apart, in seconds, and its buckets: each is
/// twice as wide as the one before, up to two minutes.
const LATENCY_LEAST: f64 = 0.000_5;
const LATENCY_BUCKETS: u16 = 18;

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
struct RingLabels {
    ring: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ListLabels {
    list: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CentreLabels {
    centre: String,
}

/// All metrics of an instance.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Family<ServiceLabels, Histogram>,
    ring_items: Family<RingLabels, Value>,
    ring_capacity: Family<RingLabels, Value>,
    ring_full: Family<RingLabels, Value>,
    ring_shed: Family<RingLabels, Value>,
    revision: Family<ListLabels, Value>,
    epoch: Family<CentreLabels, Value>,
    term: Value<i64, AtomicI64>,
    leads: Value<i64, AtomicI64>,
    task_events: Counter<u64, AtomicU64>,
    unreadable: Counter<u64, AtomicU64>,
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
            registry: Registry::with_prefix("hickorylink"),
            requests: Family::default(),
            latency: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(LATENCY_LEAST, 2.0, LATENCY_BUCKETS))
            }),
            ring_items: Family::default(),
            ring_capacity: Family::default(),
            ring_full: Family::default(),
            ring_shed: Family::default(),
            revision: Family::default(),
            epoch: Family::default(),
            term: Value::default(),
            leads: Value::default(),
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
        r.register("ring_items", "Items in a duty's ring", self.ring_items.clone());
        r.register("ring_capacity_items", "Room in a duty's ring", self.ring_capacity.clone());
        r.register("ring_full", "Times a ring was full for a duty", self.ring_full.clone());
        r.register("ring_shed", "Work from outside that was turned away", self.ring_shed.clone());
        r.register("list_revision", "Revision of a list in force here", self.revision.clone());
        r.register("centre_epoch", "Epoch of a data centre as known here", self.epoch.clone());
        r.register("council_term", "Term of the council", self.term.clone());
        r.register("council_leads", "Whether this instance leads", self.leads.clone());
        r.register("task_events", "Steps of tasks applied here", self.task_events.clone());
        r.register("chart_unhandled", "Events without a rule in a chart", self.unhandled.clone());
        r.register("peer_sent_bytes", "Bytes sent to instances", self.peer_sent.clone());
        r.register("peer_received_bytes", "Bytes taken from them", self.peer_received.clone());
        r.register("log_unreadable", "Entries that can't be read", self.unreadable.clone());
    }

    /// Counts a request.
    pub fn request(&self, customer: &CustomerName, service: &ServiceName, outcome: &'static str) {
        let labels =
            RequestLabels { customer: customer.to_string(), service: service.to_string(), outcome };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records how long a request took.
    pub fn latency(&self, service: &ServiceName, took: Duration) {
        let labels = ServiceLabels { service: service.to_string() };
        self.latency.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Counts a frame that was sent to an instance, in bytes.
    pub fn peer_sent(&self, bytes: usize) {
        self.peer_sent.inc_by(bytes as u64);
    }

    /// Counts a frame that came from an instance, in bytes.
    pub fn peer_received(&self, bytes: usize) {
        self.peer_received.inc_by(bytes as u64);
    }

    /// Takes in what a part noted.
    pub fn note(&self, note: &Note) {
        match note {
            Note::Role { role, term, .. } => {
                self.term.set(signed(term.0));
                self.leads.set(i64::from(role == "leader"));
            }
            Note::Policy { plans, usage } => {
                let set = |list, revision| {
                    self.revision.get_or_create(&ListLabels { list }).set(signed(revision));
                };
                set("plans", plans.0);
                set("usage", usage.0);
            }
            Note::Epoch { centre, epoch, .. } => {
                let labels = CentreLabels { centre: centre.to_string() };
                self.epoch.get_or_create(&labels).set(signed(epoch.0));
            }
            Note::Task { .. } => drop(self.task_events.inc()),
            Note::Unreadable { .. } => drop(self.unreadable.inc()),
            Note::Unhandled { .. } => drop(self.unhandled.inc()),
            Note::Founding | Note::Restored { .. } | Note::Members { .. } => {}
        }
    }

    /// Writes all metrics in the text format.
    ///
    /// # Errors
    ///
    /// A value can't be written.
    pub fn encode(&self, rings: &[(Arc<Gauge>, usize)]) -> Result<String, fmt::Error> {
        for (gauge, items) in rings {
            let labels = RingLabels { ring: gauge.name };
            let set = |family: &Family<RingLabels, Value>, value: u64| {
                family.get_or_create(&labels).set(signed(value));
            };
            set(&self.ring_items, *items as u64);
            set(&self.ring_capacity, gauge.capacity as u64);
            set(&self.ring_full, gauge.full.load(Ordering::Relaxed));
            set(&self.ring_shed, gauge.shed.load(Ordering::Relaxed));
        }
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
