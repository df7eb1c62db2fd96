//! Jobs that are cancelled before they are submitted, and calls whose callers have given up.

use std::{net::SocketAddr, time::Duration};

use hickorylink_standin::{
    cluster::eventually,
    platform::{HOST, job_path},
};
use hyper::Method;
use nix::sys::signal::Signal;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{CONDITION_TIMEOUT, Fixture};

/// The index of the first gateway, which follows the three controllers.
const GATEWAY_INDEX: usize = 3;

/// Longer than the callers of these tests wait.
const SUSPENSION: Duration = Duration::from_millis(2500);

/// A request as it is sent, for a caller that waits for a second.
fn request(method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-deadline-ms: 1000\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )
}

/// Opens a connection and sends a request.
async fn send(to: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("the request is sent");
    stream
}

/// The head and the body of the response.
async fn receive(mut stream: TcpStream) -> String {
    let mut text = String::new();
    let read = timeout(CONDITION_TIMEOUT, stream.read_to_string(&mut text)).await;
    read.expect("a response in time").expect("a complete response");
    text.to_lowercase()
}

const JOB: &str = r#"{"spec":"s","steps":[{"count":1,"cpu":100,"memMb":10,"longRunning":true}]}"#;

/// Guards against a job that runs although its cancellation was acknowledged, under any leader, and against a
/// refusal that invites retries.
#[tokio::test(flavor = "multi_thread")]
async fn the_submission_of_a_cancelled_job_is_refused_under_each_leader() {
    let mut fixture = Fixture::start_with(3, 2).await;
    fixture.submit(1..2).await;
    let cancelled = eventually(CONDITION_TIMEOUT, async || {
        let answer = fixture.deployment.call(1, Method::DELETE, &job_path(7), "").await.ok()?;
        (answer.status == 410).then_some(())
    });
    assert!(cancelled.await.is_some(), "a cancellation is acknowledged\n{}", fixture.logs());
    for leader in ["the same leader", "the next leader"] {
        let refused = eventually(CONDITION_TIMEOUT, async || {
            let to = fixture.deployment.address(GATEWAY_INDEX);
            let response = receive(send(to, &request("POST", &job_path(7), JOB)).await).await;
            response.contains("cancelled before").then_some(response)
        });
        let response = refused.await.expect("the submission is refused");
        assert!(response.starts_with("http/1.1 503 "), "{leader}: {response}");
        assert!(!response.contains("retry-after"), "{leader}: {response}");
        let leading = fixture.deployment.leader().expect("there is a leader");
        fixture.deployment.kill(leading).expect("the process can be killed");
        fixture.deployment.launch(leading).expect("the process can be restarted");
    }
}

/// Guards against calls that run although their callers have given up: they waited in the socket of a gateway
/// that was suspended.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_was_suspended_refuses_calls_whose_callers_have_given_up() {
    let fixture = Fixture::start_with(3, 2).await;
    fixture.submit(1..2).await;
    let to = fixture.deployment.address(GATEWAY_INDEX);
    let idle = TcpStream::connect(to).await.expect("a connection");
    let signal = |signal| fixture.deployment.signal(GATEWAY_INDEX, signal);
    signal(Signal::SIGSTOP).expect("the process can be suspended");
    let submitted = send(to, &request("POST", &job_path(7), JOB)).await;
    let mut kept = idle;
    let cancel = request("DELETE", &job_path(1), "");
    kept.write_all(cancel.as_bytes()).await.expect("the request is sent");
    sleep(SUSPENSION).await;
    signal(Signal::SIGCONT).expect("the process can be resumed");
    for (name, stream) in [("a new connection", submitted), ("an idle connection", kept)] {
        let response = receive(stream).await;
        assert!(response.starts_with("http/1.1 503 "), "{name}: {response}");
        assert!(response.contains("retry-after: 1"), "{name}: {response}");
    }
    let shown = fixture.deployment.call(1, Method::GET, &job_path(7), "").await;
    assert_eq!(shown.expect("an answer").status, 410, "{}", fixture.logs());
    // What comes later is served as before.
    fixture.submit(8..9).await;
    fixture.completed(8..9).await;
}
