//! Crowds at a controller's address for workers and operators.

use hickorylink_standin::{cluster::eventually, platform::Deployment};
use hyper::Method;

use crate::{
    CONDITION_TIMEOUT, Case, Fixture, Listener, Machine, check, check_with,
    crowd::{Pace, Script, Then},
    requests::{
        CONTROLLER_BODY, PIECE, endless_body, endless_chunks, head, open_head, padded, pipelined,
        sized_head, stalled_body, stalled_chunks, wide_head,
    },
};

/// A machine whose memory a small crowd fills. It has descriptors for all of the crowd.
const SMALL_MEMORY: Machine = Machine { memory_mb: 96, max_fds: 1000 };

/// A machine whose descriptors a small crowd uses up.
const FEW_FDS: Machine = Machine { memory_mb: 96, max_fds: 200 };

const CONFIG: &str = "/hickorylink/config";
const HEARTBEAT: &str = "/hickorylink/instances/w9";
const NO_ROUTE: &str = "/nowhere/1";

/// The size of a body, of which 130 exceed the memory.
const BODY: usize = 1 << 20;

fn case(name: &'static str, clients: usize, script: Script) -> Case {
    Case { name, listener: Listener::Control, machine: SMALL_MEMORY, clients, script }
}

#[test]
fn bodies_that_stop_before_their_end() {
    let body = |method, path| stalled_body(method, path, BODY);
    check(&[
        case("configurations", 130, body("PUT", CONFIG)),
        case("configurations in pieces", 130, body("PUT", CONFIG).pace(Pace::Pieces(PIECE))),
        case("configurations in chunks", 130, stalled_chunks("PUT", CONFIG, BODY)),
        case("the largest", 35, stalled_body("PUT", CONFIG, CONTROLLER_BODY)),
        case("heartbeats", 130, body("PUT", HEARTBEAT)),
        case("heartbeats in chunks", 130, stalled_chunks("PUT", HEARTBEAT, BODY)),
        case("leave requests", 130, body("DELETE", HEARTBEAT)),
        case("at a path without a route", 130, body("PUT", NO_ROUTE)),
        case("of a read", 130, body("GET", CONFIG)),
    ]);
}

#[test]
fn bodies_over_the_limit() {
    let (announced, sent) = (64 << 20, 7 << 20);
    let near = CONTROLLER_BODY - (64 << 10);
    check(&[
        case("stopping under the limit", 35, endless_body("PUT", CONFIG, announced, near)),
        case("chunks stopping under the limit", 35, endless_chunks("PUT", CONFIG, near)),
        case("configurations", 20, endless_body("PUT", CONFIG, announced, sent)),
        case("heartbeats in chunks", 20, endless_chunks("PUT", HEARTBEAT, sent)),
        case("at a path without a route", 20, endless_body("PUT", NO_ROUTE, announced, sent)),
    ]);
}

#[test]
fn large_heads() {
    check(&[
        case("many fields", 300, wide_head("GET", CONFIG, 3_200).end("\r\n").then(Then::Await)),
        case("many fields without an end", 300, wide_head("GET", CONFIG, 3_200)),
        case("far too many fields", 300, wide_head("GET", CONFIG, 80_000)),
    ]);
}

#[test]
fn pipelined_and_slow_clients() {
    let reads = || pipelined(&head("GET", CONFIG), 3000);
    let heartbeat = Script::new(sized_head("PUT", HEARTBEAT, 4)).end("{} ");
    let half = || Script::new(sized_head("PUT", CONFIG, BODY)).end(vec![b' '; BODY / 2]);
    check(&[
        case("reads", 200, reads()),
        case("responses read slowly", 200, reads().then(Then::ReadSlowly)),
        case("heartbeats a byte at a time", 300, heartbeat.pace(Pace::Slow)),
        case("stopping halfway", 250, half()),
        case("leaving halfway", 250, half().then(Then::Close)),
    ]);
}

/// Stores a configuration whose text has [`BODY`] bytes.
async fn store_large(fixture: &mut Fixture) {
    fixture.number += 1;
    let text = padded(Deployment::config(fixture.number).to_string(), BODY);
    let stored = eventually(CONDITION_TIMEOUT, async || {
        let stored = fixture.deployment.operator_call(Method::PUT, text.clone().into()).await;
        stored.filter(|response| response.status == 200)
    });
    assert!(stored.await.is_some(), "the configuration is stored\n{}", fixture.logs());
}

#[test]
fn large_responses_that_are_not_read() {
    let read = || Script::new(head("GET", CONFIG));
    let cases =
        [case("not read", 130, read()), case("read slowly", 130, read().then(Then::ReadSlowly))];
    check_with(&cases, &store_large);
}

#[test]
fn many_connections() {
    let few = |name, script| Case { machine: FEW_FDS, ..case(name, 300, script) };
    check(&[
        few("half-sent heads", Script::new(open_head("GET", CONFIG))),
        few("nothing sent", Script::new("")),
        few("idle after a read", Script::new(head("GET", CONFIG)).then(Then::Await)),
        few("half-sent heartbeats", Script::new(sized_head("PUT", HEARTBEAT, 100)).end("{")),
    ]);
}
