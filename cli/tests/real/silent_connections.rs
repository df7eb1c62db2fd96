//! Established connections that stop carrying data without being closed, while new ones work.

use std::time::{Duration, Instant};

use hickorylink_standin::caller::{self, Report};

use crate::fixture::{CONDITION_TIMEOUT, Fixture, THREE};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_are_replaced_and_idempotent_requests_run() {
    let fixture = Fixture::serving(THREE).await;
    let warm = fixture.call(&[0, 1, 2], "warm", 60, true).await;
    assert_eq!(warm.ran, 60, "connections are open\n{}", fixture.logs());
    for worker in &fixture.workers {
        worker.blackhole_connections();
    }
    let mut load = fixture.load(&[0, 1, 2], "after", 100, true);
    load.deadline = Duration::from_secs(20);
    let report = caller::run(&load).await;
    assert_eq!((report.ran, report.unknown), (100, 0), "all requests run\n{}", fixture.logs());
    assert_eq!(report.mismatched, 0);
}

/// How long the targets process each request.
const PROCESSING_TIME: Duration = Duration::from_secs(2);

/// A request that a target started to process within this time is processed for another second.
const STARTED_WITHIN: Duration = Duration::from_secs(1);

/// The least number of requests that are processed when the connections fall silent.
const MIN_PROCESSED: usize = 20;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Sends requests, and makes the connections silent once enough of them are processed. Returns
/// those that were processed then, which are none if too many were refused, and the outcomes.
async fn fall_silent(fixture: &Fixture, round: usize) -> (Vec<String>, Report) {
    let mut load = fixture.load(&[0, 1, 2], &format!("silent-{round}"), 60, false);
    load.path = format!("square?delay_ms={}", PROCESSING_TIME.as_millis());
    load.deadline = Duration::from_secs(8);
    let label = format!("{}-", load.label);
    let calls = tokio::spawn(async move { caller::run(&load).await });
    let mut processed = Vec::new();
    while processed.is_empty() && !calls.is_finished() {
        tokio::time::sleep(POLL_INTERVAL).await;
        processed = fixture.history.served_within(STARTED_WITHIN);
        processed.retain(|body| body.starts_with(&label));
        if processed.len() < MIN_PROCESSED {
            processed.clear();
        }
    }
    if !processed.is_empty() {
        for worker in &fixture.workers {
            worker.blackhole_connections();
        }
    }
    (processed, calls.await.expect("the caller ends"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_on_a_silent_connection_are_never_reported_as_not_run() {
    let fixture = Fixture::serving(THREE).await;
    let (start, mut round) = (Instant::now(), 0);
    // While a disk stalls, keys can't be claimed and requests are refused.
    let (processed, report) = loop {
        round += 1;
        let (processed, report) = fall_silent(&fixture, round).await;
        fixture.assert_once(&report);
        if !processed.is_empty() {
            break (processed, report);
        }
        let (refusals, logs) = (&report.refusals, fixture.logs());
        assert!(start.elapsed() < CONDITION_TIMEOUT, "requests run: {refusals:?}\n{logs}");
    };
    let (doubts, logs) = (&report.doubts, fixture.logs());
    for body in processed {
        let unknown = doubts.iter().any(|doubt| doubt.starts_with(&format!("{body}: ")));
        assert!(unknown, "{body} is reported as unknown: {doubts:#?}\n{logs}");
    }
    for at in 0..THREE.len() {
        fixture.wait_serving(at).await;
    }
}
