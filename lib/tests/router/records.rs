//! The contents of claims, records and attempts.

use std::time::Duration;

use bytes::Bytes;
use hickorylink_lib::{
    burn::Window,
    command::{Claim, ClaimResult},
    ids::{IdempotencyKey, InstanceId, RequestId},
    router::{
        port::{AttemptEnd, ClaimAnswer, Effect, Request, Response},
        request::{REQUEST_CHART, REQUEST_VOCABULARY, RequestChart, RequestState},
        target::{TARGET_CHART, TARGET_VOCABULARY, TargetChart, TargetState},
    },
    time::{Time, WallTime},
};

use crate::harness::{FRUGAL, Harness, MEMBER, RIVAL, STORE, answered, attempt, config, request};

const TIMEOUT: Duration = Duration::from_secs(30);

fn claim(effect: &Effect) -> Option<&Claim> {
    if let Effect::Claim(claim) = effect { Some(claim) } else { None }
}

/// The claims made for a request and for a changed copy of it.
fn claims(change: fn(&mut Request)) -> Vec<Claim> {
    let mut harness = Harness::new(1);
    let mut resent = request(1, STORE.name, false, harness.now + TIMEOUT);
    harness.ask(resent.clone());
    resent.request = RequestId(2);
    change(&mut resent);
    harness.ask(resent);
    harness.effects.iter().filter_map(claim).cloned().collect()
}

#[test]
fn the_charts_are_valid() {
    let request: RequestChart =
        RequestChart::parse("request.jsonc", REQUEST_CHART, &REQUEST_VOCABULARY)
            .expect("the chart of a request");
    assert_eq!(request.initial(), RequestState::Admitted);
    let target: TargetChart = TargetChart::parse("target.jsonc", TARGET_CHART, &TARGET_VOCABULARY)
        .expect("the chart of a target");
    assert_eq!(target.initial(), TargetState::Warming);
}

#[test]
fn claims_distinguish_resends_from_other_requests() {
    struct Case {
        name: &'static str,
        change: fn(&mut Request),
        same_key: bool,
        same_digest: bool,
    }
    let case = |name, change, same_key, same_digest| Case { name, change, same_key, same_digest };
    let cases = [
        case("resend", |_| {}, true, true),
        case("later deadline", |request| request.deadline = Time::from_millis(1 << 40), true, true),
        case("another body", |request| request.body = Bytes::from_static(b"x"), true, false),
        case("another path", |request| request.path = "/crease".to_owned(), true, false),
        case("another customer", |request| request.customer = RIVAL.name.into(), false, true),
        case("another key", |request| request.key = Some("other".into()), false, true),
    ];
    for case in cases {
        let [first, second] = &claims(case.change)[..] else { panic!("{}", case.name) };
        let key = |claim: &Claim| (claim.customer.clone(), claim.key.clone());
        assert_eq!(key(first) == key(second), case.same_key, "{}", case.name);
        assert_eq!(first.digest == second.digest, case.same_digest, "{}", case.name);
        assert_eq!((first.owner, first.request), (InstanceId(1), 1), "{}", case.name);
        assert_eq!(second.request, 2, "{}", case.name);
    }
}

#[test]
fn records_contain_claimed_keys_and_small_bodies() {
    struct Case {
        name: &'static str,
        customer: &'static str,
        idempotent: bool,
        key: bool,
        /// The size of the response body, in bytes.
        body: usize,
        /// Whether the record contains the key and the body.
        want: (bool, bool),
    }
    let limit = config().max_body;
    let store = STORE.name;
    let member = MEMBER.name;
    let cases = [
        Case {
            name: "not idempotent",
            customer: store,
            idempotent: false,
            key: true,
            body: limit,
            want: (true, true),
        },
        Case {
            name: "large body",
            customer: store,
            idempotent: false,
            key: true,
            body: limit + 1,
            want: (true, false),
        },
        Case {
            name: "idempotent with a key",
            customer: store,
            idempotent: true,
            key: true,
            body: 1,
            want: (false, false),
        },
        Case {
            name: "idempotent with a key and exact counts",
            customer: member,
            idempotent: true,
            key: true,
            body: 1,
            want: (true, true),
        },
        Case {
            name: "exact counts without a key",
            customer: member,
            idempotent: true,
            key: false,
            body: 1,
            want: (false, false),
        },
    ];
    for case in cases {
        let mut harness = Harness::new(1);
        let mut asked = request(1, case.customer, case.idempotent, harness.now + TIMEOUT);
        asked.key = case.key.then(|| IdempotencyKey::from("key"));
        harness.ask(asked.clone());
        if harness.sent().is_empty() {
            harness.claim(1, ClaimAnswer::Claimed);
        }
        let body = Bytes::from(vec![7; case.body]);
        harness
            .end(attempt(1, 1), AttemptEnd::Answered(Response { status: 200, body: body.clone() }));
        let (with_key, with_body) = case.want;
        let want = Effect::Record {
            request: RequestId(1),
            customer: case.customer.into(),
            key: asked.key.filter(|_| with_key),
            result: ClaimResult::Ran { status: 200, body: with_body.then_some(body) },
        };
        assert!(harness.effects.contains(&want), "{}: {:?}", case.name, harness.effects.last());
    }
}

#[test]
fn burn_counts_each_answer_once() {
    struct Case {
        name: &'static str,
        id: u64,
        /// How long the attempt takes, in milliseconds.
        took: u64,
        /// The good and bad requests counted so far.
        want: (u64, u64),
    }
    let cases = [
        Case { name: "within the latency objective", id: 1, took: 50, want: (1, 0) },
        Case { name: "above the latency objective", id: 2, took: 51, want: (1, 1) },
        Case { name: "past the deadline", id: 3, took: 40_000, want: (1, 2) },
    ];
    let mut harness = Harness::new(1);
    for case in cases {
        harness.ask(request(case.id, FRUGAL.name, true, harness.now + TIMEOUT));
        harness.pass(Duration::from_millis(case.took));
        harness.end(attempt(case.id, 1), answered(case.id));
        harness.recorded(case.id);
        let report = harness.router.burn(harness.now);
        let tallies = report.rows.values().map(|row| row.tally(Window::ThreeDays));
        let counts: Vec<_> = tallies.map(|tally| (tally.good, tally.bad)).collect();
        assert_eq!(counts, [case.want], "{}", case.name);
    }
    let snapshot = harness.router.burn_snapshot(harness.now, WallTime(1));
    let mut next = Harness::new(1);
    next.router.restore_burn(next.now, WallTime(1), snapshot);
    assert_eq!(next.router.burn(next.now).rows, harness.router.burn(harness.now).rows);
}

#[test]
fn an_attempt_contains_the_complete_request() {
    let mut harness = Harness::new(1);
    let asked = request(1, STORE.name, true, harness.now + TIMEOUT);
    harness.ask(asked.clone());
    let want = Effect::Send {
        attempt: attempt(1, 1),
        target: "10.0.0.0:80".to_owned(),
        fresh: false,
        customer: asked.customer,
        path: asked.path,
        body: asked.body,
        deadline: asked.deadline,
    };
    assert_eq!(harness.effects, [want]);
}
