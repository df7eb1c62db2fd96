//! An open-loop load generator: sends requests at a constant rate, independently of the responses.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use hickorylink_lib::api::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, IDEMPOTENT_HEADER, OUTCOME_NOT_RUN, OUTCOME_RAN,
};
use hyper::Method;

use crate::{
    cluster::bearer,
    net::{self, Response},
};

/// A load to generate.
#[derive(Clone, Debug)]
pub struct Load {
    /// The instances, used round-robin.
    pub instances: Vec<SocketAddr>,
    /// The customer's credential.
    pub credential: String,
    /// The service.
    pub service: String,
    /// The path within the service, with the query.
    pub path: String,
    /// Requests per second.
    pub rate: u32,
    /// The total number of requests.
    pub count: u32,
    /// Whether the requests are idempotent; otherwise each carries an idempotency key.
    pub idempotent: bool,
    /// The deadline sent with each request.
    pub deadline: Duration,
    /// The prefix of the request bodies; distinguishes this load from others.
    pub label: String,
}

/// The outcomes of the requests of a load.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests that ran, by the outcome header.
    pub ran: u32,
    /// Requests that did not run, by the outcome header or because no connection could be opened.
    pub not_run: u32,
    /// Requests that may have run: failed without a clear outcome.
    pub unknown: u32,
    /// For each request counted in `unknown`, its answer, or why it got none, and when.
    pub doubts: Vec<String>,
    /// The bodies of the requests counted in `not_run`.
    pub refused: Vec<String>,
    /// How many requests counted in `not_run` were refused with each answer.
    pub refusals: BTreeMap<String, u32>,
    /// The bodies of the requests counted in `ran`.
    pub answered: Vec<String>,
    /// Responses that belong to another request.
    pub mismatched: u32,
    /// The latency of the requests counted in `ran`, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Report {
    fn default() -> Self {
        let latency = Histogram::new(3)
            .unwrap_or_else(|_| unreachable!("3 significant digits are within the bounds"));
        Self {
            ran: 0,
            not_run: 0,
            unknown: 0,
            doubts: Vec::new(),
            refused: Vec::new(),
            refusals: BTreeMap::new(),
            answered: Vec::new(),
            mismatched: 0,
            latency,
        }
    }
}

impl Report {
    fn doubt(&mut self, why: String) {
        self.unknown += 1;
        self.doubts.push(why);
    }

    fn refuse(&mut self, body: String, answer: String) {
        self.not_run += 1;
        self.refused.push(body);
        *self.refusals.entry(answer).or_default() += 1;
    }
}

/// Sends the load and waits for all responses.
pub async fn run(load: &Load) -> Report {
    let report = Arc::new(Mutex::new(Report::default()));
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / load.rate.max(1));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..load.count {
        ticks.tick().await;
        calls.spawn(send_one(load.clone(), number, report.clone()));
    }
    calls.join_all().await;
    let report = report.lock().unwrap_or_else(PoisonError::into_inner);
    report.clone()
}

async fn send_one(load: Load, number: u32, report: Arc<Mutex<Report>>) {
    let body = format!("{}-{number}", load.label);
    let to = load.instances[number as usize % load.instances.len()];
    let path = format!("/v1/services/{}/{}", load.service, load.path);
    let (bearer, deadline_ms) = (bearer(&load.credential), load.deadline.as_millis().to_string());
    let mut headers = vec![
        ("authorization", bearer.as_str()),
        (DEADLINE_HEADER, deadline_ms.as_str()),
        (IDEMPOTENT_HEADER, if load.idempotent { "true" } else { "false" }),
    ];
    if !load.idempotent {
        headers.push((IDEMPOTENCY_KEY_HEADER, &body));
    }
    let sent = Instant::now();
    let response = net::send(to, Method::POST, &path, &headers, Bytes::from(body.clone())).await;
    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
    match response {
        Ok(response) if response.outcome.as_deref() == Some(OUTCOME_RAN) => {
            report.ran += 1;
            let text = String::from_utf8_lossy(&response.body);
            report.mismatched += u32::from(!text.contains(&format!("for {body} by")));
            report.answered.push(body);
            let latency_us = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
            // Can't fail: the histogram resizes itself to fit any latency.
            let _ = report.latency.record(latency_us);
        }
        Ok(Response { status, outcome, body: answer, .. })
            if outcome.as_deref() == Some(OUTCOME_NOT_RUN) =>
        {
            report.refuse(body, format!("{status} {}", String::from_utf8_lossy(&answer)));
        }
        // Without a connection nothing was sent.
        Err(error @ net::CallError::Connect { .. }) => report.refuse(body, error.to_string()),
        Ok(Response { status, body: answer, .. }) => {
            let text = String::from_utf8_lossy(&answer);
            report.doubt(format!("{body}: {status} {text} after {:?}", sent.elapsed()));
        }
        Err(error) => {
            report.doubt(format!("{body}: no answer, {error} after {:?}", sent.elapsed()));
        }
    }
}
