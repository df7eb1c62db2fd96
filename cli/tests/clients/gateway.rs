//! Crowds at a gateway's address for calls.

use crate::{
    Case, Listener, Machine, check,
    crowd::{Pace, Script, Then},
    requests::{
        GATEWAY_BODY, PIECE, crowd_path, empty_steps, endless_body, endless_chunks, head,
        open_head, pipelined, request, short_fields, sized_head, stalled_body, stalled_chunks,
        wide_head,
    },
};

/// A machine whose memory a small crowd fills. It has descriptors for all of the crowd.
const SMALL_MEMORY: Machine = Machine { memory_mb: 72, max_fds: 1000 };

/// A machine whose descriptors a small crowd uses up.
const FEW_FDS: Machine = Machine { memory_mb: 72, max_fds: 200 };

/// A path without a route.
const NO_ROUTE: &str = "/nowhere/1";

/// The number of short fields in a head just under the largest legal one of 16,384 bytes.
const LEGAL_FIELDS: usize = 3_200;

/// The number of short fields in a head of 400 kB.
const MANY_FIELDS: usize = 80_000;

fn case(name: &'static str, clients: usize, script: Script) -> Case {
    Case { name, listener: Listener::Calls, machine: SMALL_MEMORY, clients, script }
}

#[test]
fn bodies_that_stop_before_their_end() {
    let path = crowd_path();
    let body = |method, path: &str| stalled_body(method, path, GATEWAY_BODY);
    check(&[
        case("in one piece", 300, body("POST", &path)),
        case("in pieces", 300, body("POST", &path).pace(Pace::Pieces(PIECE))),
        case("in chunks", 300, stalled_chunks("POST", &path, GATEWAY_BODY)),
        case("at a path without a route", 300, body("POST", NO_ROUTE)),
        case("in chunks without a route", 300, stalled_chunks("POST", NO_ROUTE, GATEWAY_BODY)),
        case("of a read", 300, body("GET", &path)),
        case("of an unknown method", 300, body("PATCH", &path)),
    ]);
}

#[test]
fn bodies_over_the_limit() {
    let path = crowd_path();
    let (announced, sent) = (64 << 20, 7 << 20);
    check(&[
        case("of 64 MiB", 20, endless_body("POST", &path, announced, sent)),
        case("in chunks", 20, endless_chunks("POST", &path, sent)),
        case("at a path without a route", 20, endless_body("POST", NO_ROUTE, announced, sent)),
    ]);
}

#[test]
fn submissions_with_many_short_parts() {
    let complete = |text: String| Script::new(text).then(Then::Await);
    check(&[
        case("80,000 empty steps", 100, complete(empty_steps(80_000))),
        case("26,000 short fields", 300, complete(short_fields(26_000))),
    ]);
}

#[test]
fn large_heads() {
    let path = crowd_path();
    let legal = || wide_head("GET", &path, LEGAL_FIELDS);
    let long = format!("{}\r\na: ", open_head("GET", &path));
    check(&[
        case("many fields without an end", 300, legal()),
        case("many fields", 300, legal().end("\r\n").then(Then::Await)),
        case("far too many fields", 250, wide_head("GET", &path, MANY_FIELDS)),
        case("a field far too long", 250, Script::new(long).repeat(vec![b'a'; 1000], 400)),
    ]);
}

#[test]
fn pipelined_requests() {
    let submission = request("POST", &crowd_path(), r#"{"spec":"s","steps":[{"count":1}]}"#);
    let reads = || pipelined(&head("GET", "/fold/"), 3000);
    check(&[
        case("reads", 200, reads()),
        case("submissions", 200, pipelined(&submission, 300)),
        case("reads without a route", 200, pipelined(&head("GET", NO_ROUTE), 3000)),
        case("responses read slowly", 200, reads().then(Then::ReadSlowly)),
    ]);
}

#[test]
fn slow_clients() {
    let path = crowd_path();
    let submission = request("POST", &path, r#"{"spec":"s","steps":[{"count":1}]}"#);
    let half =
        || Script::new(sized_head("POST", &path, GATEWAY_BODY)).end(vec![b' '; GATEWAY_BODY / 2]);
    check(&[
        case("a byte at a time", 300, Script::new(submission).pace(Pace::Slow)),
        case("stopping halfway", 300, half()),
        case("leaving halfway", 300, half().then(Then::Close)),
    ]);
}

#[test]
fn many_connections() {
    let few = |name, script| Case { machine: FEW_FDS, ..case(name, 300, script) };
    let path = crowd_path();
    check(&[
        few("half-sent heads", Script::new(open_head("GET", &path))),
        few("nothing sent", Script::new("")),
        few("idle after a read", Script::new(head("GET", "/fold/")).then(Then::Await)),
        few("heads a byte at a time", Script::new(head("GET", &path)).pace(Pace::Slow)),
        few("half-sent bodies", Script::new(sized_head("POST", &path, 100)).end("{")),
    ]);
}
