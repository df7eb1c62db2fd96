//! Entries of another writer among those of the workers, sent to all processes.

use std::time::Duration;

use bytes::Bytes;
use hickorylink_standin::{
    cluster::eventually,
    net,
    platform::{SERVICE, job_path},
};
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::{CONDITION_TIMEOUT, Fixture};

/// The number of brackets in a deeply nested body.
const DEPTH: usize = 100_000;

/// The limit on one call. The answer to a heartbeat may be held for a while.
const CALL_LIMIT: Duration = Duration::from_secs(5);

struct Entry {
    name: &'static str,
    body: Vec<u8>,
    status: u16,
}

/// A heartbeat whose worker would have room for everything.
fn heartbeat(change: impl Fn(&mut Value)) -> Vec<u8> {
    let mut body = json!({
        "service": SERVICE, "address": "10.9.9.9:8080", "zone": "centre-0", "version": "v1",
        "slots": 8, "state": "ready", "coldLeftMs": 0, "born": 1, "seqNum": 1, "clockMs": 1,
        "labels": ["a", "r1"],
        "capacity": { "cpu": 64_000, "memMb": 64_000, "gpu": 8 }, "running": [], "finished": [],
    });
    change(&mut body);
    body.to_string().into_bytes()
}

fn entries() -> Vec<Entry> {
    let refused = |name, body| Entry { name, body, status: 400 };
    let ignored = |name, body| Entry { name, body, status: 200 };
    let nested = format!(r#"{{"later":{}{}}}"#, "[".repeat(DEPTH), "]".repeat(DEPTH));
    vec![
        refused("nested lists", "[".repeat(DEPTH).into_bytes()),
        refused("nested objects", r#"{"a":"#.repeat(DEPTH).into_bytes()),
        refused("a nested field", nested.into_bytes()),
        refused("a number too large", br#"{"seqNum":1e400}"#.to_vec()),
        refused("bytes that can't be read", vec![0xff, 0, 0xfe]),
        refused("a port out of range", heartbeat(|body| body["address"] = json!("10.9.9.9:99999"))),
        refused("port 0", heartbeat(|body| body["address"] = json!("10.9.9.9:0"))),
        refused("no address", heartbeat(|body| body["address"] = json!(""))),
        refused("2^64", heartbeat(|body| body["capacity"]["cpu"] = json!(1.8446744073709552e19))),
        refused("2^64 - 1", heartbeat(|body| body["capacity"]["cpu"] = json!(u64::MAX))),
        refused("a negative number", heartbeat(|body| body["seqNum"] = json!(-1))),
        refused("a fraction", heartbeat(|body| body["born"] = json!(1.5))),
        refused("another type", heartbeat(|body| body["labels"] = json!("a"))),
        refused("no version", heartbeat(|body| drop(body["version"].take()))),
        refused("an unknown state", heartbeat(|body| body["state"] = json!("gone"))),
        refused("an odd row", heartbeat(|body| body["running"] = json!([["x", 1, "", 0]]))),
        ignored("an unknown service", heartbeat(|body| body["service"] = json!("nowhere"))),
    ]
}

/// Whether the leader acknowledges a heartbeat. On a busy machine a leader may lose its term, so all
/// controllers are asked until one of them answers as the leader.
async fn is_acknowledged(fixture: &Fixture, entry: &Entry) -> bool {
    let acknowledged = eventually(CONDITION_TIMEOUT, async || {
        for to in fixture.deployment.controllers() {
            let body = Bytes::from(entry.body.clone());
            let sent = net::send(to, Method::PUT, "/hickorylink/instances/odd", &[], body);
            if let Ok(Ok(answer)) = timeout(CALL_LIMIT, sent).await
                && answer.status == 200
            {
                return Some(());
            }
        }
        None
    });
    acknowledged.await.is_some()
}

/// Regression: processes that read a list with such an entry ended again and again, or gave work to a
/// worker that isn't there.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_end_no_process_and_get_no_work() {
    let mut fixture = Fixture::start().await;
    fixture.submit(1..4).await;
    for round in 0..3 {
        for entry in entries() {
            if entry.status == 200 && round == 0 {
                assert!(
                    is_acknowledged(&fixture, &entry).await,
                    "{}\n{}",
                    entry.name,
                    fixture.logs()
                );
            }
            for to in fixture.deployment.controllers() {
                for (method, path) in [
                    (Method::PUT, "/hickorylink/instances/odd"),
                    (Method::DELETE, "/hickorylink/instances/odd"),
                    (Method::PUT, "/hickorylink/config"),
                ] {
                    let body = Bytes::from(entry.body.clone());
                    let sent = net::send(to, method.clone(), path, &[], body);
                    let answer = timeout(CALL_LIMIT, sent).await;
                    let name = entry.name;
                    let Ok(Ok(answer)) = answer else {
                        panic!("{name}: {method} {path}\n{}", fixture.logs())
                    };
                    let odd = method == Method::PUT && path.ends_with("odd");
                    if odd && entry.status == 400 {
                        assert_eq!(answer.status, entry.status, "{name}");
                    } else if odd {
                        assert!(
                            matches!(answer.status, 200 | 307 | 503),
                            "{name}: {}",
                            answer.status
                        );
                    }
                    let body = String::from_utf8_lossy(&answer.body);
                    assert!(!body.contains("startTasks"), "{name} gets work: {body}");
                }
            }
            let body = String::from_utf8_lossy(&entry.body).into_owned();
            let answer = fixture.deployment.call(0, Method::POST, &job_path(99), &body).await;
            let status = answer.expect("an answer").status;
            assert!(matches!(status, 400 | 413), "{}: a submission: {status}", entry.name);
        }
        fixture.submit(4 + 3 * round..7 + 3 * round).await;
    }
    fixture.completed(1..13).await;
    fixture.check(12 * 5);
    for at in 0..fixture.deployment.member_count() {
        assert!(fixture.deployment.is_running(at), "{at} has ended\n{}", fixture.logs());
    }
}

/// Regression: a job with billions of occurrences that were due kept the leader, and each that
/// followed it, in one turn that didn't end.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_with_endless_occurrences_leaves_the_controllers_at_work() {
    let mut fixture = Fixture::start().await;
    let body = json!({
        "spec": "s", "steps": [{ "count": 1, "cpu": 100, "memMb": 10, "estimateMs": 200 }],
        "repeatCount": u32::MAX, "firstRunMs": 0, "intervalMs": 1,
    });
    let sent = eventually(CONDITION_TIMEOUT, async || {
        let call = fixture
            .deployment
            .call(0, Method::POST, &job_path(99), &body.to_string())
            .await
            .ok()?;
        (call.status == 200).then_some(())
    });
    assert!(sent.await.is_some(), "it is accepted\n{}", fixture.logs());
    fixture.submit(1..3).await;
    let cancelled = eventually(CONDITION_TIMEOUT, async || {
        let call = fixture.deployment.call(0, Method::DELETE, &job_path(99), "").await.ok()?;
        (call.status == 200).then_some(())
    });
    assert!(cancelled.await.is_some(), "it is cancelled\n{}", fixture.logs());
    fixture.completed(1..3).await;
    for at in 0..fixture.deployment.member_count() {
        assert!(fixture.deployment.is_running(at), "{at} has ended\n{}", fixture.logs());
    }
}
