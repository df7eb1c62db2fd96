//! A stand-in for callers: it sends requests at a steady rate, whether or not answers come.

use std::{
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

use crate::{cluster::bearer, net};

/// What to send.
#[derive(Clone, Debug)]
pub struct Load {
    /// Instances, taken in turn.
    pub instances: Vec<SocketAddr>,
    /// The customer's credential.
    pub credential: String,
    /// The service.
    pub service: String,
    /// The path at the service, with its query.
    pub path: String,
    /// Requests a second.
    pub rate: u32,
    /// How many requests.
    pub count: u32,
    /// Whether they may run more than once.
    pub idempotent: bool,
    /// How long the caller waits.
    pub deadline: Duration,
    /// Sets these requests apart from others.
    pub label: String,
}

/// What became of the requests.
#[derive(Clone, Debug)]
pub struct Report {
    /// How many ran.
    pub ran: u32,
    /// How many did not run.
    pub not_run: u32,
    /// How many may have run.
    pub unknown: u32,
    /// The bodies of requests that didn't run, by the answer.
    pub refused: Vec<String>,
    /// The bodies of requests that ran, by the answer.
    pub answered: Vec<String>,
    /// Answers that belong to another request.
    pub mismatched: u32,
    /// Latency of those that ran, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Report {
    fn default() -> Self {
        let latency = Histogram::new(3).unwrap_or_else(|_| unreachable!("3 digits are allowed"));
        Self {
            ran: 0,
            not_run: 0,
            unknown: 0,
            refused: Vec::new(),
            answered: Vec::new(),
            mismatched: 0,
            latency,
        }
    }
}

/// Sends the load and waits for all answers.
pub async fn run(load: &Load) -> Report {
    let report = Arc::new(Mutex::new(Report::default()));
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / load.rate.max(1));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..load.count {
        ticks.tick().await;
        calls.spawn(one(load.clone(), number, report.clone()));
    }
    calls.join_all().await;
    let report = report.lock().unwrap_or_else(PoisonError::into_inner);
    report.clone()
}

async fn one(load: Load, number: u32, report: Arc<Mutex<Report>>) {
    let body = format!("{}-{number}", load.label);
    let to = load.instances[number as usize % load.instances.len()];
    let path = format!("/v1/services/{}/{}", load.service, load.path);
    let (bearer, wait) = (bearer(&load.credential), load.deadline.as_millis().to_string());
    let mut headers = vec![
        ("authorization", bearer.as_str()),
        (DEADLINE_HEADER, wait.as_str()),
        (IDEMPOTENT_HEADER, if load.idempotent { "true" } else { "false" }),
    ];
    if !load.idempotent {
        headers.push((IDEMPOTENCY_KEY_HEADER, &body));
    }
    let sent = Instant::now();
    let answer = net::send(to, Method::POST, &path, &headers, Bytes::from(body.clone())).await;
    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
    match answer {
        Ok(answer) if answer.outcome.as_deref() == Some(OUTCOME_RAN) => {
            report.ran += 1;
            let text = String::from_utf8_lossy(&answer.body);
            report.mismatched += u32::from(!text.contains(&format!("for {body} by")));
            report.answered.push(body);
            let took = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
            // The histogram grows as it needs to, so that every latency fits.
            let _ = report.latency.record(took);
        }
        Ok(answer) if answer.outcome.as_deref() == Some(OUTCOME_NOT_RUN) => {
            report.not_run += 1;
            report.refused.push(body);
        }
        // Nothing was sent to an instance that can't be connected to.
        Err(net::CallError::Connect { .. }) => {
            report.not_run += 1;
            report.refused.push(body);
        }
        Ok(_) | Err(_) => report.unknown += 1,
    }
}
