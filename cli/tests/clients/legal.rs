//! Requests of the largest legal sizes, one at a time. They guard against limits that refuse legal
//! clients.

use hickorylink_standin::{
    net,
    platform::{Deployment, HOST, job_path},
};
use hyper::Method;
use serde_json::json;
use tokio::time::timeout;

use crate::{
    CALL_TIMEOUT, CONTROLLER, Fixture, GATEWAY, Machine, alone,
    requests::{CONTROLLER_BODY, GATEWAY_BODY, padded},
    until,
};

/// A field that makes a head almost as large as the largest legal one of 16,384 bytes.
const FIELD_BYTES: usize = 16_000;

struct Case {
    name: &'static str,
    member: usize,
    method: Method,
    path: String,
    body: String,
    /// The size of a field of the head.
    field: usize,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
// The lock keeps the crowds of other tests away during the whole test, which runs on its own runtime.
#[allow(clippy::await_holding_lock)]
async fn largest_requests_are_served() {
    let _alone = alone();
    let fixture = Fixture::start(Machine { memory_mb: 96, max_fds: 200 }).await;
    let job = json!({ "spec": "s", "steps": [{ "count": 1, "cpu": 500, "memMb": 10 }] });
    let heartbeat = json!({
        "service": "desk", "address": "10.1.0.1:8080", "zone": "centre-0", "version": "v1",
        "slots": 8, "state": "ready", "coldLeftMs": 0, "born": 1, "seqNum": 1, "clockMs": 1,
        "labels": [], "capacity": { "cpu": 1, "memMb": 1, "gpu": 0 }, "running": [],
        "finished": [],
    });
    let case = |name, member, method, path: &str, body: String, field| Case {
        name,
        member,
        method,
        path: path.into(),
        body,
        field,
    };
    let config = Deployment::config(100).to_string();
    let cases = [
        case(
            "a submission",
            GATEWAY,
            Method::POST,
            &job_path(100),
            padded(job.to_string(), GATEWAY_BODY),
            1,
        ),
        case("a head of a gateway", GATEWAY, Method::GET, "/fold/", String::new(), FIELD_BYTES),
        case(
            "a configuration",
            CONTROLLER,
            Method::PUT,
            "/hickorylink/config",
            padded(config, CONTROLLER_BODY),
            1,
        ),
        case(
            "a heartbeat",
            CONTROLLER,
            Method::PUT,
            "/hickorylink/instances/w9",
            padded(heartbeat.to_string(), CONTROLLER_BODY),
            1,
        ),
        case(
            "a head of a controller",
            CONTROLLER,
            Method::GET,
            "/hickorylink/config",
            String::new(),
            FIELD_BYTES,
        ),
    ];
    for case in cases {
        let to = fixture.deployment.address(case.member);
        let field = "a".repeat(case.field);
        let served = until(async || {
            let headers = [("host", HOST), ("x-padding", field.as_str())];
            let body = case.body.clone().into();
            let call = net::send(to, case.method.clone(), &case.path, &headers, body);
            Some(timeout(CALL_TIMEOUT, call).await.ok()?.ok()?.status)
        });
        assert!(served.await, "{}\n{}", case.name, fixture.logs());
    }
}
