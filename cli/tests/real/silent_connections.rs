//! Established connections that stop carrying data without being closed, while new ones work.

use std::time::Duration;

use hickorylink_standin::caller;

use crate::fixture::{Fixture, THREE};

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

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_on_a_silent_connection_are_never_reported_as_not_run() {
    let fixture = Fixture::serving(THREE).await;
    let mut load = fixture.load(&[0, 1, 2], "silent", 60, false);
    load.path = "square?delay_ms=800".to_owned();
    load.deadline = Duration::from_secs(8);
    let calls = tokio::spawn(async move { caller::run(&load).await });
    tokio::time::sleep(Duration::from_millis(900)).await;
    for worker in &fixture.workers {
        worker.blackhole_connections();
    }
    let report = calls.await.expect("the caller ends");
    fixture.assert_once(&report);
    assert!(report.unknown > 0, "some were on silent connections: {report:?}");
    assert!(report.ran > 0, "new connections work\n{}", fixture.logs());
}
