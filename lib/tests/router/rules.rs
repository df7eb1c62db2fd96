//! Outcomes of requests, case by case.

use std::time::Duration;

use bytes::Bytes;
use hickorylink_lib::{
    command::ClaimResult,
    router::port::{AttemptEnd, ClaimAnswer, Effect, NotRun, RequestOutcome, Response},
};

use crate::harness::{FRUGAL, Harness, MEMBER, STORE, answered, attempt, lost, request};

const TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
enum Step {
    Ask { customer: &'static str, idempotent: bool },
    Claim(ClaimAnswer),
    End(u32, AttemptEnd),
    Pass(Duration),
    Recorded,
}

#[derive(Debug, PartialEq, Eq)]
enum Reply {
    Ran,
    RanEarlier,
    NotRun(NotRun),
    Unknown,
}

#[derive(Debug, PartialEq, Eq)]
enum Recorded {
    Ran,
    NotRun,
    Unknown,
}

fn reply_of(outcome: &RequestOutcome) -> Reply {
    match outcome {
        RequestOutcome::Ran(_) => Reply::Ran,
        RequestOutcome::RanEarlier { .. } => Reply::RanEarlier,
        RequestOutcome::NotRun { reason } => Reply::NotRun(*reason),
        RequestOutcome::Unknown { .. } => Reply::Unknown,
    }
}

fn record_of(effect: &Effect) -> Option<Recorded> {
    let Effect::Record { result, .. } = effect else { return None };
    Some(match result {
        ClaimResult::Ran { .. } => Recorded::Ran,
        ClaimResult::NotRun => Recorded::NotRun,
        ClaimResult::Unknown => Recorded::Unknown,
    })
}

struct Case {
    name: &'static str,
    script: Vec<Step>,
    replies: Vec<Reply>,
    records: Vec<Recorded>,
    sent: usize,
}

fn ask(customer: &'static str, idempotent: bool) -> Step {
    Step::Ask { customer, idempotent }
}

fn run(case: &Case) -> Harness {
    let mut harness = Harness::new(3);
    for step in case.script.clone() {
        match step {
            Step::Ask { customer, idempotent } => {
                let deadline = harness.now + TIMEOUT;
                harness.ask(request(1, customer, idempotent, deadline));
            }
            Step::Claim(answer) => harness.claim(1, answer),
            Step::End(number, end) => harness.end(attempt(1, number), end),
            Step::Pass(span) => harness.pass(span),
            Step::Recorded => harness.recorded(1),
        }
    }
    harness
}

fn check(cases: &[Case]) {
    for case in cases {
        let harness = run(case);
        let outcomes: Vec<_> = harness.outcomes(1).into_iter().map(reply_of).collect();
        assert_eq!(outcomes, case.replies, "{}", case.name);
        let records: Vec<_> = harness.effects.iter().filter_map(record_of).collect();
        assert_eq!(records, case.records, "{}", case.name);
        assert_eq!(harness.sent().len(), case.sent, "{}", case.name);
    }
}

#[test]
fn answers_match_the_ends_of_attempts() {
    let refused = AttemptEnd::Refused;
    let unsent = AttemptEnd::NotSent { reason: "connection refused".to_owned() };
    let second = Duration::from_secs(1);
    check(&[
        Case {
            name: "an idempotent request is answered immediately",
            script: vec![ask(STORE.name, true), Step::End(1, answered(1))],
            replies: vec![Reply::Ran],
            records: vec![Recorded::Ran],
            sent: 1,
        },
        Case {
            name: "with exact counts, the answer waits for the record",
            script: vec![ask(MEMBER.name, true), Step::End(1, answered(1))],
            replies: vec![],
            records: vec![Recorded::Ran],
            sent: 1,
        },
        Case {
            name: "with exact counts, the record triggers the answer",
            script: vec![ask(MEMBER.name, true), Step::End(1, answered(1)), Step::Recorded],
            replies: vec![Reply::Ran],
            records: vec![Recorded::Ran],
            sent: 1,
        },
        Case {
            name: "with exact counts, a missing record leads to an unknown outcome",
            script: vec![ask(MEMBER.name, true), Step::End(1, answered(1)), Step::Pass(TIMEOUT)],
            replies: vec![Reply::Unknown],
            records: vec![Recorded::Ran],
            sent: 1,
        },
        Case {
            name: "a lost idempotent request is retried",
            script: vec![
                ask(STORE.name, true),
                Step::End(1, lost()),
                Step::Pass(second),
                Step::End(2, answered(1)),
            ],
            replies: vec![Reply::Ran],
            records: vec![Recorded::Ran],
            sent: 2,
        },
        Case {
            name: "a refused request is retried",
            script: vec![
                ask(STORE.name, true),
                Step::End(1, refused.clone()),
                Step::Pass(second),
                Step::End(2, unsent),
                Step::Pass(second),
            ],
            replies: vec![Reply::Unknown],
            records: vec![],
            sent: 3,
        },
        Case {
            name: "a refused request without a retry budget did not run",
            script: vec![ask(FRUGAL.name, true), Step::End(1, refused)],
            replies: vec![Reply::NotRun(NotRun::TargetsUnavailable)],
            records: vec![],
            sent: 1,
        },
        Case {
            name: "a lost request without a retry budget is unknown",
            script: vec![ask(FRUGAL.name, true), Step::End(1, lost())],
            replies: vec![Reply::Unknown],
            records: vec![],
            sent: 1,
        },
    ]);
}

#[test]
fn requests_are_sent_only_after_their_claim() {
    let stored = ClaimResult::Ran { status: 200, body: Some(Bytes::from_static(b"stored")) };
    let claimed = Step::Claim(ClaimAnswer::Claimed);
    let case = |name, script, replies, records, sent| Case { name, script, replies, records, sent };
    let asked = ask(STORE.name, false);
    let found = |result| Step::Claim(ClaimAnswer::AlreadyClaimed(result));
    let not_run = |reason| vec![Reply::NotRun(reason)];
    check(&[
        case("claim pending", vec![asked.clone()], vec![], vec![], 0),
        case(
            "claimed, answered",
            vec![asked.clone(), claimed.clone(), Step::End(1, answered(1))],
            vec![Reply::Ran],
            vec![Recorded::Ran],
            1,
        ),
        case(
            "claimed, lost",
            vec![asked.clone(), claimed.clone(), Step::End(1, lost()), Step::Pass(TIMEOUT)],
            vec![Reply::Unknown],
            vec![Recorded::Unknown],
            1,
        ),
        case(
            "deadline after the request was sent",
            vec![asked.clone(), claimed.clone(), Step::Pass(TIMEOUT), Step::End(1, answered(1))],
            vec![Reply::Unknown],
            vec![Recorded::Unknown],
            1,
        ),
        case(
            "claim result after the deadline",
            vec![asked.clone(), Step::Pass(TIMEOUT), claimed.clone()],
            not_run(NotRun::Deadline),
            vec![Recorded::NotRun],
            0,
        ),
        case(
            "claim unavailable, committed later",
            vec![asked.clone(), Step::Claim(ClaimAnswer::Unavailable), claimed],
            not_run(NotRun::ConsensusUnavailable),
            vec![Recorded::NotRun],
            0,
        ),
        case(
            "already ran, body stored",
            vec![asked.clone(), found(Some(stored))],
            vec![Reply::Ran],
            vec![],
            0,
        ),
        case(
            "already ran, body not stored",
            vec![asked.clone(), found(Some(ClaimResult::Ran { status: 200, body: None }))],
            vec![Reply::RanEarlier],
            vec![],
            0,
        ),
        case(
            "in progress",
            vec![asked.clone(), found(None)],
            not_run(NotRun::InProgress),
            vec![],
            0,
        ),
        case(
            "unknown",
            vec![asked.clone(), found(Some(ClaimResult::Unknown))],
            vec![Reply::Unknown],
            vec![],
            0,
        ),
        case(
            "key of a different request",
            vec![asked, Step::Claim(ClaimAnswer::KeyReused)],
            not_run(NotRun::KeyReused),
            vec![],
            0,
        ),
    ]);
}

#[test]
fn a_resend_gets_the_stored_body() {
    let mut harness = Harness::new(1);
    harness.ask(request(1, STORE.name, false, harness.now + TIMEOUT));
    let body = Bytes::from_static(b"stored");
    let stored = ClaimResult::Ran { status: 201, body: Some(body.clone()) };
    harness.claim(1, ClaimAnswer::AlreadyClaimed(Some(stored)));
    assert_eq!(harness.outcomes(1), [&RequestOutcome::Ran(Response { status: 201, body })]);
}
