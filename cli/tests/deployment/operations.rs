//! Three kinds of failed calls, and the log lines by which docs/OPERATIONS.md leads from their ids
//! to their causes.

use hickorylink_standin::{
    cluster::eventually,
    platform::{Deployment, job_path, worker::FAILING_PAYLOAD},
};
use hyper::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::{CONDITION_TIMEOUT, Fixture};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// The index of the gateway, which follows the three controllers.
const GATEWAY_INDEX: usize = 3;

/// The attempts that the deployment's queue allows.
const ATTEMPTS: u64 = 4;

/// The log lines of these members, by time, that have this message and contain this id, which may
/// be empty.
fn lines(deployment: &Deployment, members: &[usize], message: &str, id: &str) -> Vec<Value> {
    assert!(PAGE.contains(message), "the page names '{message}'");
    let logs: Vec<_> = members.iter().map(|at| deployment.log(*at)).collect();
    let lines = logs.iter().flat_map(|log| log.lines()).filter(|line| line.contains(id));
    let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let mut lines: Vec<_> = lines.filter(|line| line["msg"] == message).collect();
    lines.sort_by_key(|line| line["ts"].as_str().unwrap_or_default().replace('Z', ""));
    lines
}

/// Like [`lines`], but waits until `complete` holds for them: the log is written by a separate thread,
/// so a line may reach the file after the answer that it explains.
async fn wait_lines(
    deployment: &Deployment,
    members: &[usize],
    message: &str,
    id: &str,
    complete: impl Fn(&[Value]) -> bool,
) -> Vec<Value> {
    let logged = eventually(CONDITION_TIMEOUT, async || {
        Some(lines(deployment, members, message, id)).filter(|lines| complete(lines))
    });
    logged.await.unwrap_or_else(|| lines(deployment, members, message, id))
}

fn body(text: &str) -> String {
    json!({ "spec": text, "steps": [{ "count": 1, "cpu": 100, "memMb": 10 }] }).to_string()
}

fn hex(id: u64) -> String {
    format!("{id:016x}")
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_log_explains_a_refused_call() {
    let mut fixture = Fixture::start().await;
    fixture.submit(1..2).await;
    for at in 0..GATEWAY_INDEX {
        fixture.deployment.kill(at).expect("the process can be killed");
    }
    let refused = eventually(CONDITION_TIMEOUT, async || {
        let answer =
            fixture.deployment.call(0, Method::POST, &job_path(7), &body("x")).await.ok()?;
        (answer.status == 503).then_some(())
    });
    assert!(refused.await.is_some(), "{}", fixture.logs());
    let is_refused = |lines: &[Value]| lines.iter().any(|line| line["told"] == "not run");
    let gateway = [GATEWAY_INDEX];
    let message = "a call was given up";
    let given_up = wait_lines(&fixture.deployment, &gateway, message, &hex(7), is_refused).await;
    assert!(is_refused(&given_up), "{given_up:?}");
    let is_logged = |lines: &[Value]| !lines.is_empty();
    let message = "the leader is lost";
    let lost = wait_lines(&fixture.deployment, &gateway, message, "", is_logged).await;
    assert!(!lost.is_empty() && lost[0]["why"].is_string(), "{lost:?}");
}

/// Submits a job as callers are told to: again for as long as the answer is that it didn't run or
/// may not have run.
async fn submit(fixture: &Fixture, id: u64, text: &str) {
    let accepted = eventually(CONDITION_TIMEOUT, async || {
        let sent = fixture.deployment.call(0, Method::POST, &job_path(id), &body(text)).await;
        let status = sent.expect("an answer").status;
        assert!([200, 503, 504].contains(&status), "{status}\n{}", fixture.logs());
        (status == 200).then_some(())
    });
    assert!(accepted.await.is_some(), "{}", fixture.logs());
}

// Guards against a test that fails when a leader gives way: its lines tell decisions, which the next
// leader repeats if they weren't committed.
#[tokio::test(flavor = "multi_thread")]
async fn run_logs_explain_a_failed_job() {
    let fixture = Fixture::start().await;
    submit(&fixture, 8, FAILING_PAYLOAD).await;
    let failed = eventually(CONDITION_TIMEOUT, async || {
        fixture.deployment.job_state(8).await.filter(|state| state == "failed")
    });
    assert!(failed.await.is_some(), "{}", fixture.logs());
    let all = [0, 1, 2];
    let is_failed = |lines: &[Value]| lines.iter().any(|line| line["state"] == "failed");
    let jobs = wait_lines(&fixture.deployment, &all, "job", &hex(8), is_failed).await;
    let is_last = |lines: &[Value]| lines.iter().any(|line| line["run"] == ATTEMPTS);
    let ends = wait_lines(&fixture.deployment, &all, "a run ended", &hex(8), is_last).await;
    assert!(ends.iter().all(|end| end["ending"] == "failed" && end["worker"].is_string()));
    let mut states: Vec<_> = jobs.iter().filter_map(|line| line["state"].as_str()).collect();
    let mut runs: Vec<_> = ends.iter().filter_map(|end| end["run"].as_u64()).collect();
    let terms = lines(&fixture.deployment, &all, "this controller leads", "").len();
    if terms > 1 {
        states.dedup();
        runs.dedup();
    }
    assert_eq!(states, ["accepted", "failed"], "{}", fixture.logs());
    let attempts: Vec<_> = (1..=ATTEMPTS).collect();
    assert_eq!(runs, attempts, "one line per attempt that the queue allows\n{}", fixture.logs());
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_explain_a_call_with_unknown_outcome() {
    let fixture = Fixture::start().await;
    fixture.submit(1..2).await;
    // All controllers are frozen: the call reaches the leader, and no other one can be elected.
    let signal = |signal| {
        for at in 0..GATEWAY_INDEX {
            fixture.deployment.signal(at, signal).expect("the process runs");
        }
    };
    signal(Signal::SIGSTOP);
    let answer = fixture.deployment.call(0, Method::POST, &job_path(9), &body("x")).await;
    signal(Signal::SIGCONT);
    assert_eq!(answer.expect("an answer").status, 504, "{}", fixture.logs());
    let is_unknown = |lines: &[Value]| lines.iter().any(|line| line["told"] == "unknown");
    let message = "a call was given up";
    let given_up =
        wait_lines(&fixture.deployment, &[GATEWAY_INDEX], message, &hex(9), is_unknown).await;
    assert!(is_unknown(&given_up), "{given_up:?}");
    // Submitting the job again is safe, and the controllers' logs show what became of it.
    let again = eventually(CONDITION_TIMEOUT, async || {
        let answer =
            fixture.deployment.call(0, Method::POST, &job_path(9), &body("x")).await.ok()?;
        (answer.status == 200).then_some(())
    });
    assert!(again.await.is_some(), "{}", fixture.logs());
    let done = eventually(CONDITION_TIMEOUT, async || {
        fixture.deployment.job_state(9).await.filter(|state| state == "completed")
    });
    assert!(done.await.is_some(), "{}", fixture.logs());
    let is_accepted = |lines: &[Value]| lines.iter().any(|line| line["state"] == "accepted");
    let states = wait_lines(&fixture.deployment, &[0, 1, 2], "job", &hex(9), is_accepted).await;
    assert!(is_accepted(&states), "{states:?}");
    assert_eq!(fixture.history.overlapping_runs(), None);
}
