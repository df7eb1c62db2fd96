//! Metrics in the OpenMetrics text format, and the server that exposes them.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicI64, Ordering},
    },
    time::Duration,
};

use hickorylink_lib::clients::Listener;
use hyper::StatusCode;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use slog::{Logger, error};
use tokio::sync::watch;

use crate::{
    clients::Clients,
    http::{self, response},
    ring::RingReading,
};

pub mod controller;
mod evacuation;
pub mod gateway;

/// The path of the metrics.
const PATH: &str = "/metrics";

/// The content type of the metrics.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The prefix of all metric names.
pub const PREFIX: &str = "hickorylink";

/// The upper bound of a latency histogram's first bucket, in seconds.
const MIN_LATENCY_SECONDS: f64 = 0.000_5;

/// The number of buckets. Each bound is twice the previous one, so the last is about a minute.
const LATENCY_BUCKETS: u16 = 18;

/// A gauge with integer values.
pub type IntGauge = Gauge<i64, AtomicI64>;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RingLabels {
    ring: &'static str,
}

/// The metrics of the rings between duties.
#[derive(Debug, Default)]
pub struct RingMetrics {
    items: Family<RingLabels, IntGauge>,
    capacity: Family<RingLabels, IntGauge>,
    full: Family<RingLabels, IntGauge>,
    shed: Family<RingLabels, IntGauge>,
}

impl RingMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("ring_items", "Items in a duty's ring", self.items.clone());
        registry.register("ring_capacity_items", "Room in a duty's ring", self.capacity.clone());
        registry.register("ring_full", "Times a ring was full for a duty", self.full.clone());
        registry.register("ring_shed", "Work from outside turned away", self.shed.clone());
    }

    /// Sets the metrics from the rings' readings.
    pub fn set(&self, readings: &[RingReading]) {
        for reading in readings {
            let stats = &reading.stats;
            let labels = RingLabels { ring: stats.name };
            let set = |family: &Family<RingLabels, IntGauge>, value: u64| {
                family.get_or_create(&labels).set(saturating_i64(value));
            };
            set(&self.items, reading.items as u64);
            set(&self.capacity, stats.capacity as u64);
            set(&self.full, stats.full.load(Ordering::Relaxed));
            set(&self.shed, stats.shed.load(Ordering::Relaxed));
        }
    }
}

/// Creates a histogram of latencies in seconds.
pub fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(MIN_LATENCY_SECONDS, 2.0, LATENCY_BUCKETS))
}

/// Converts a count to a gauge's value; counts that don't fit give `i64::MAX`.
pub fn saturating_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Encodes a registry in the text format.
///
/// # Errors
///
/// A value can't be formatted.
pub fn encode_text(registry: &Registry) -> Result<String, fmt::Error> {
    let mut text = String::new();
    encode(&mut text, registry)?;
    Ok(text)
}

/// Serves the output of `text` at `/metrics`, in a task of its own.
pub fn spawn_server(
    at: SocketAddr,
    clients: Clients,
    text: impl Fn() -> Result<String, fmt::Error> + Send + Sync + 'static,
    log: Logger,
) {
    let text = Arc::new(text);
    let page = move |request: http::Request| {
        let page = match request.head.uri.path() {
            PATH => match text() {
                Ok(text) => response(StatusCode::OK, CONTENT_TYPE, text),
                Err(error) => {
                    response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", error.to_string())
                }
            },
            _ => response(StatusCode::NOT_FOUND, "text/plain", "not found"),
        };
        async { page }
    };
    tokio::spawn(async move {
        // Metrics are served until the process ends.
        let (_running, stop) = watch::channel(false);
        let served = http::serve(at, Listener::Metrics, clients, stop, Duration::ZERO, page);
        if let Err(error) = served.await {
            error!(log, "can't serve metrics"; "at" => %at, "error" => %error);
        }
    });
}
