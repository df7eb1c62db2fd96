//! What a caller is told, rule by rule.

use std::time::Duration;

use bytes::Bytes;
use hickorylink_lib::{
    command::ClaimResult,
    router::port::{ClaimAnswer, Effect, NotRun, RequestOutcome, Response, TryEnd},
};

use crate::world::{FRUGAL, MEMBER, STORE, World, answered, attempt, lost, request};

const PATIENCE: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
enum Do {
    Ask { customer: &'static str, idempotent: bool },
    Claim(ClaimAnswer),
    End(u32, TryEnd),
    Pass(Duration),
    Recorded,
}

#[derive(Debug, PartialEq, Eq)]
enum Told {
    Ran,
    RanEarlier,
    NotRun(NotRun),
    Unknown,
}

#[derive(Debug, PartialEq, Eq)]
enum Noted {
    Ran,
    NotRun,
    Unknown,
}

fn told(outcome: &RequestOutcome) -> Told {
    match outcome {
        RequestOutcome::Ran(_) => Told::Ran,
        RequestOutcome::RanEarlier { .. } => Told::RanEarlier,
        RequestOutcome::NotRun { reason } => Told::NotRun(*reason),
        RequestOutcome::Unknown { .. } => Told::Unknown,
    }
}

fn noted(effect: &Effect) -> Option<Noted> {
    let Effect::Record { result, .. } = effect else { return None };
    Some(match result {
        ClaimResult::Ran { .. } => Noted::Ran,
        ClaimResult::NotRun => Noted::NotRun,
        ClaimResult::Unknown => Noted::Unknown,
    })
}

struct Case {
    name: &'static str,
    script: Vec<Do>,
    told: Vec<Told>,
    noted: Vec<Noted>,
    sent: usize,
}

fn ask(customer: &'static str, idempotent: bool) -> Do {
    Do::Ask { customer, idempotent }
}

fn run(case: &Case) -> World {
    let mut world = World::new(3);
    for step in case.script.clone() {
        match step {
            Do::Ask { customer, idempotent } => {
                let deadline = world.now + PATIENCE;
                world.ask(request(1, customer, idempotent, deadline));
            }
            Do::Claim(answer) => world.claim(1, answer),
            Do::End(number, end) => world.end(attempt(1, number), end),
            Do::Pass(span) => world.pass(span),
            Do::Recorded => world.recorded(1),
        }
    }
    world
}

fn check(cases: &[Case]) {
    for case in cases {
        let world = run(case);
        let outcomes: Vec<_> = world.outcomes(1).into_iter().map(told).collect();
        assert_eq!(outcomes, case.told, "{}", case.name);
        let records: Vec<_> = world.effects.iter().filter_map(noted).collect();
        assert_eq!(records, case.noted, "{}", case.name);
        assert_eq!(world.sent().len(), case.sent, "{}", case.name);
    }
}

#[test]
fn every_ending_is_told_as_it_is() {
    let refused = TryEnd::Refused;
    let unsent = TryEnd::NotSent { reason: "connection refused".to_owned() };
    let second = Duration::from_secs(1);
    check(&[
        Case {
            name: "an idempotent request is answered at once",
            script: vec![ask(STORE.name, true), Do::End(1, answered(1))],
            told: vec![Told::Ran],
            noted: vec![Noted::Ran],
            sent: 1,
        },
        Case {
            name: "the answer of a plan with exact counts waits for the record",
            script: vec![ask(MEMBER.name, true), Do::End(1, answered(1))],
            told: vec![],
            noted: vec![Noted::Ran],
            sent: 1,
        },
        Case {
            name: "it comes with the record",
            script: vec![ask(MEMBER.name, true), Do::End(1, answered(1)), Do::Recorded],
            told: vec![Told::Ran],
            noted: vec![Noted::Ran],
            sent: 1,
        },
        Case {
            name: "a record that doesn't come leaves it unknown",
            script: vec![ask(MEMBER.name, true), Do::End(1, answered(1)), Do::Pass(PATIENCE)],
            told: vec![Told::Unknown],
            noted: vec![Noted::Ran],
            sent: 1,
        },
        Case {
            name: "a lost idempotent request is sent again",
            script: vec![
                ask(STORE.name, true),
                Do::End(1, lost()),
                Do::Pass(second),
                Do::End(2, answered(1)),
            ],
            told: vec![Told::Ran],
            noted: vec![Noted::Ran],
            sent: 2,
        },
        Case {
            name: "a refused request is sent again",
            script: vec![
                ask(STORE.name, true),
                Do::End(1, refused.clone()),
                Do::Pass(second),
                Do::End(2, unsent),
                Do::Pass(second),
            ],
            told: vec![Told::Unknown],
            noted: vec![],
            sent: 3,
        },
        Case {
            name: "a refused request without a retry budget did not run",
            script: vec![ask(FRUGAL.name, true), Do::End(1, refused)],
            told: vec![Told::NotRun(NotRun::TargetsUnavailable)],
            noted: vec![],
            sent: 1,
        },
        Case {
            name: "a lost request without a retry budget is unknown",
            script: vec![ask(FRUGAL.name, true), Do::End(1, lost())],
            told: vec![Told::Unknown],
            noted: vec![],
            sent: 1,
        },
    ]);
}

#[test]
fn a_claim_goes_before_the_first_byte() {
    let kept = ClaimResult::Ran { status: 200, body: Some(Bytes::from_static(b"kept")) };
    let claimed = Do::Claim(ClaimAnswer::Claimed);
    let case = |name, script, told, noted, sent| Case { name, script, told, noted, sent };
    let asked = ask(STORE.name, false);
    let found = |result| Do::Claim(ClaimAnswer::Earlier(result));
    let not_run = |reason| vec![Told::NotRun(reason)];
    check(&[
        case("no answer yet", vec![asked.clone()], vec![], vec![], 0),
        case(
            "it ran",
            vec![asked.clone(), claimed.clone(), Do::End(1, answered(1))],
            vec![Told::Ran],
            vec![Noted::Ran],
            1,
        ),
        case(
            "it was lost",
            vec![asked.clone(), claimed.clone(), Do::End(1, lost()), Do::Pass(PATIENCE)],
            vec![Told::Unknown],
            vec![Noted::Unknown],
            1,
        ),
        case(
            "the deadline came after it left",
            vec![asked.clone(), claimed.clone(), Do::Pass(PATIENCE), Do::End(1, answered(1))],
            vec![Told::Unknown],
            vec![Noted::Unknown],
            1,
        ),
        case(
            "the claim comes after the deadline",
            vec![asked.clone(), Do::Pass(PATIENCE), claimed.clone()],
            not_run(NotRun::Deadline),
            vec![Noted::NotRun],
            0,
        ),
        case(
            "the council is away, and the claim turns out to hold",
            vec![asked.clone(), Do::Claim(ClaimAnswer::Unavailable), claimed],
            not_run(NotRun::CouncilUnavailable),
            vec![Noted::NotRun],
            0,
        ),
        case("kept", vec![asked.clone(), found(Some(kept))], vec![Told::Ran], vec![], 0),
        case(
            "no longer kept",
            vec![asked.clone(), found(Some(ClaimResult::Ran { status: 200, body: None }))],
            vec![Told::RanEarlier],
            vec![],
            0,
        ),
        case("under way", vec![asked.clone(), found(None)], not_run(NotRun::InProgress), vec![], 0),
        case(
            "unknown",
            vec![asked.clone(), found(Some(ClaimResult::Unknown))],
            vec![Told::Unknown],
            vec![],
            0,
        ),
        case(
            "another request's key",
            vec![asked, Do::Claim(ClaimAnswer::KeyReused)],
            not_run(NotRun::KeyReused),
            vec![],
            0,
        ),
    ]);
}

#[test]
fn the_kept_body_is_the_answer() {
    let mut world = World::new(1);
    world.ask(request(1, STORE.name, false, world.now + PATIENCE));
    let body = Bytes::from_static(b"kept");
    let kept = ClaimResult::Ran { status: 201, body: Some(body.clone()) };
    world.claim(1, ClaimAnswer::Earlier(Some(kept)));
    assert_eq!(world.outcomes(1), [&RequestOutcome::Ran(Response { status: 201, body })]);
}
