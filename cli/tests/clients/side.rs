//! Crowds at the addresses of the readiness check and the metrics.

use crate::{
    Case, Listener, Machine, check,
    crowd::{Pace, Script, Then},
    requests::{
        GATEWAY_BODY, endless_body, head, open_head, pipelined, stalled_body, stalled_chunks,
        wide_head,
    },
};

/// A path that each of the listeners answers; the readiness check answers any path.
const PATH: &str = "/metrics";

/// All crowds at one of the listeners. The path without a route stands for the paths that aren't
/// answered.
fn cases(listener: Listener, memory_mb: u64) -> Vec<Case> {
    let few = Machine { memory_mb, max_fds: 200 };
    let small = Machine { memory_mb, max_fds: 1000 };
    let case = |name, machine, clients, script| Case { name, listener, machine, clients, script };
    let reads = || pipelined(&head("GET", PATH), 50);
    let (announced, sent) = (64 << 20, 7 << 20);
    vec![
        case("half-sent heads", few, 300, Script::new(open_head("GET", PATH))),
        case("nothing sent", few, 300, Script::new("")),
        case("heads a byte at a time", few, 300, Script::new(head("GET", PATH)).pace(Pace::Slow)),
        case("idle after a read", few, 300, Script::new(head("GET", PATH)).then(Then::Await)),
        case("stalled bodies", small, 250, stalled_body("POST", PATH, GATEWAY_BODY)),
        case("stalled chunks", small, 250, stalled_chunks("POST", PATH, GATEWAY_BODY)),
        case("no route", small, 250, stalled_body("POST", "/nowhere", GATEWAY_BODY)),
        case("bodies of 64 MiB", small, 20, endless_body("POST", PATH, announced, sent)),
        case("far too many fields", small, 250, wide_head("GET", PATH, 80_000)),
        case("pipelined reads", small, 200, reads()),
        case("responses read slowly", small, 200, reads().then(Then::ReadSlowly)),
    ]
}

#[test]
fn readiness() {
    check(&cases(Listener::Readiness, 72));
}

#[test]
fn metrics_of_a_gateway() {
    check(&cases(Listener::GatewayMetrics, 72));
}

#[test]
fn metrics_of_a_controller() {
    check(&cases(Listener::ControllerMetrics, 96));
}
