//! The router's behaviour in each kind of failure.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    command::ClaimResult,
    ids::RequestId,
    router::{
        port::{
            AttemptEnd, AttemptId, ClaimAnswer, Effect, Event, NotRun, RequestOutcome, Response,
        },
        target::TargetState,
    },
};

use crate::harness::{
    CENTRE, FRUGAL, Harness, MEMBER, RIVAL, STORE, address, answer, answered, attempt, config,
    lost, peers, policy, request, target,
};

const TIMEOUT: Duration = Duration::from_secs(30);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn not_run(reason: NotRun) -> RequestOutcome {
    RequestOutcome::NotRun { reason }
}

/// The outcomes of all answered requests.
fn outcomes(harness: &Harness) -> BTreeMap<RequestId, &RequestOutcome> {
    harness.effects.iter().filter_map(answer).collect()
}

fn fresh_sends(harness: &Harness) -> Vec<AttemptId> {
    let fresh = |effect: &Effect| match effect {
        Effect::Send { attempt, fresh: true, .. } => Some(*attempt),
        Effect::Send { .. }
        | Effect::Claim(_)
        | Effect::Record { .. }
        | Effect::Abandon { .. }
        | Effect::CloseIdle { .. }
        | Effect::Answer { .. }
        | Effect::Drained => None,
    };
    harness.effects.iter().filter_map(fresh).collect()
}

#[test]
fn a_stalled_connection_is_abandoned_while_its_target_responds() {
    let mut harness = Harness::new(1);
    harness.ask(request(1, STORE.name, false, harness.now + TIMEOUT));
    harness.claim(1, ClaimAnswer::Claimed);
    harness.ask(request(2, STORE.name, true, harness.now + TIMEOUT));
    harness.ask(request(3, STORE.name, true, harness.now + TIMEOUT));
    for _ in 0..10 {
        harness.handle(Event::Progress { attempt: attempt(3, 1) });
        harness.pass(millis(500));
    }
    let lost = outcomes(&harness)[&RequestId(1)];
    assert!(matches!(lost, RequestOutcome::Unknown { .. }), "not idempotent: {lost:?}");
    for number in [1, 2] {
        let abandon = Effect::Abandon { attempt: attempt(number, 1) };
        assert!(harness.effects.contains(&abandon), "request {number}");
    }
    assert!(harness.effects.contains(&Effect::CloseIdle { target: address(0) }));
    assert_eq!(fresh_sends(&harness), [attempt(2, 2)], "the retry opens a new connection");
    assert!(!outcomes(&harness).contains_key(&RequestId(3)), "other requests continue");
    harness.end(attempt(2, 2), answered(2));
    harness.ask(request(4, STORE.name, true, harness.now + TIMEOUT));
    assert_eq!(
        fresh_sends(&harness).len(),
        1,
        "idle connections are used again after a success on a new one"
    );
}

#[test]
fn late_results_of_abandoned_attempts_are_dropped() {
    struct Case {
        name: &'static str,
        end: AttemptEnd,
    }
    let cases = [
        Case { name: "response", end: answered(99) },
        Case { name: "refusal", end: AttemptEnd::Refused },
        Case { name: "connection reset", end: lost() },
    ];
    for case in cases {
        let mut harness = Harness::new(1);
        harness.ask(request(1, STORE.name, true, harness.now + TIMEOUT));
        harness.pass(millis(9_500));
        assert_eq!(harness.last_sent().map(|(sent, _)| sent), Some(attempt(1, 2)), "{}", case.name);
        harness.end(attempt(1, 1), case.end);
        harness.pass(Duration::from_secs(1));
        assert_eq!(harness.sent().len(), 2, "{}", case.name);
        harness.end(attempt(1, 2), answered(1));
        let AttemptEnd::Answered(own) = answered(1) else { unreachable!() };
        assert_eq!(harness.outcomes(1), [&RequestOutcome::Ran(own)], "{}", case.name);
    }
}

#[test]
fn a_slow_service_does_not_count_as_stalled() {
    let mut harness = Harness::new(1);
    for id in 101..=120 {
        harness.ask(request(id, STORE.name, true, harness.now + TIMEOUT));
        harness.pass(millis(2_500));
        harness.end(attempt(id, 1), answered(id));
    }
    harness.ask(request(1, STORE.name, false, harness.now + TIMEOUT));
    harness.claim(1, ClaimAnswer::Claimed);
    for id in 201..=203 {
        harness.ask(request(id, STORE.name, true, harness.now + TIMEOUT));
        harness.pass(millis(2_500));
        harness.end(attempt(id, 1), answered(id));
    }
    assert!(
        !outcomes(&harness).contains_key(&RequestId(1)),
        "7.5 s is only three times the usual latency"
    );
    harness.pass(Duration::from_secs(5));
    assert!(matches!(outcomes(&harness)[&RequestId(1)], RequestOutcome::Unknown { .. }));
}

#[test]
fn a_target_without_any_progress_gets_several_stall_timeouts() {
    let mut harness = Harness::new(1);
    harness.ask(request(1, FRUGAL.name, true, harness.now + TIMEOUT));
    harness.pass(millis(8_900));
    assert!(outcomes(&harness).is_empty(), "it may still be running");
    harness.pass(millis(200));
    assert!(matches!(outcomes(&harness)[&RequestId(1)], RequestOutcome::Unknown { .. }));
}

#[test]
fn a_long_lived_request_with_progress_stays_open() {
    let mut harness = Harness::new(1);
    let hours = Duration::from_secs(6 * 3_600);
    harness.ask(request(1, STORE.name, true, harness.now + hours));
    for _ in 0..1_000 {
        harness.pass(millis(2_000));
        harness.handle(Event::Progress { attempt: attempt(1, 1) });
    }
    assert!(outcomes(&harness).is_empty());
    assert_eq!(harness.sent().len(), 1);
}

#[test]
fn late_and_out_of_order_answers_go_to_their_own_request() {
    let mut harness = Harness::new(1);
    for id in 1..=3 {
        harness.ask(request(id, STORE.name, true, harness.now + TIMEOUT));
    }
    harness.end(attempt(3, 1), answered(3));
    harness.end(attempt(1, 1), answered(1));
    harness.end(attempt(2, 1), lost());
    harness.pass(millis(100));
    assert_eq!(harness.last_sent().map(|(attempt, _)| attempt), Some(attempt(2, 2)));
    harness.end(attempt(2, 1), answered(99));
    assert_eq!(outcomes(&harness).len(), 2, "a late answer to the first attempt is dropped");
    harness.end(attempt(2, 2), answered(2));
    harness.end(attempt(2, 2), answered(98));
    for (id, outcome) in outcomes(&harness) {
        let AttemptEnd::Answered(own) = answered(id.0) else { unreachable!() };
        assert_eq!(outcome, &RequestOutcome::Ran(own), "request {id}");
    }
    assert_eq!(harness.router.status().counters.late, 2);
}

#[test]
fn a_resend_gets_the_result_of_the_earlier_claim() {
    let mut harness = Harness::new(1);
    harness.ask(request(1, STORE.name, false, harness.now + TIMEOUT));
    harness.claim(1, ClaimAnswer::AlreadyClaimed(None));
    assert_eq!(outcomes(&harness)[&RequestId(1)], &not_run(NotRun::InProgress));
    harness.ask(request(2, STORE.name, false, harness.now + TIMEOUT));
    harness.claim(2, ClaimAnswer::AlreadyClaimed(Some(ClaimResult::Unknown)));
    assert!(matches!(outcomes(&harness)[&RequestId(2)], RequestOutcome::Unknown { .. }));
    assert!(harness.sent().is_empty());
}

#[test]
fn requests_without_claims_are_served_without_consensus() {
    let mut small = config();
    small.max_unsettled = 10;
    let mut harness = Harness::with(small, 1);
    for id in 1..=20 {
        harness.ask(request(id, MEMBER.name, true, harness.now + millis(100)));
        harness.end(attempt(id, 1), answered(id));
    }
    for id in 21..=40 {
        harness.ask(request(id, STORE.name, false, harness.now + TIMEOUT));
        harness.claim(id, ClaimAnswer::Unavailable);
    }
    for id in 41..=1_000 {
        harness.ask(request(id, RIVAL.name, true, harness.now + TIMEOUT));
        harness.end(attempt(id, 1), answered(id));
    }
    harness.pass(millis(100));
    for (id, outcome) in outcomes(&harness) {
        let refused = *outcome == not_run(NotRun::ConsensusUnavailable);
        let unknown = matches!(outcome, RequestOutcome::Unknown { .. });
        let ran = matches!(outcome, RequestOutcome::Ran(_));
        match id.0 {
            1..=20 => assert!(unknown || refused, "exact counts: {id}: {outcome:?}"),
            21..=40 => assert!(refused, "claims: {id}: {outcome:?}"),
            _ => assert!(ran, "neither: {id}: {outcome:?}"),
        }
    }
    assert_eq!(outcomes(&harness).len(), 1_000);
    assert!(harness.router.status().unsettled <= 10, "uncommitted requests are bounded");
}

#[test]
fn the_share_of_a_dead_instance_is_taken_over_after_the_settle_time() {
    let mut harness = Harness::empty(config());
    harness.handle(Event::Policy(policy()));
    harness.handle(Event::Instances(peers(&[(1, CENTRE), (2, CENTRE)])));
    harness.handle(Event::Target(Box::new(target(&address(0), CENTRE))));
    let share = |harness: &Harness| harness.router.status().targets[0].share;
    assert_eq!(share(&harness), 0, "a new instance waits until the others know of it");
    harness.pass(config().settle_time);
    assert_eq!(share(&harness), 4);
    harness.handle(Event::Instances(peers(&[(1, CENTRE)])));
    assert_eq!(share(&harness), 4, "the other instance may still be alive");
    harness.pass(config().settle_time);
    assert_eq!(share(&harness), 8);
    harness.handle(Event::Instances(peers(&[(1, CENTRE), (3, CENTRE)])));
    assert_eq!(share(&harness), 4, "the share shrinks immediately");
}

#[test]
fn mass_cancellation_frees_the_queue() {
    let mut harness = Harness::new(1);
    for id in 1..=1_000 {
        harness.ask(request(id, STORE.name, true, harness.now + TIMEOUT));
    }
    for id in 1..=1_000 {
        harness.handle(Event::CallerGone { request: RequestId(id) });
    }
    let outcomes = outcomes(&harness);
    let unknown =
        outcomes.values().filter(|outcomes| matches!(outcomes, RequestOutcome::Unknown { .. }));
    assert_eq!(unknown.count(), 8, "those that had been sent");
    assert_eq!(outcomes.len(), 1_000);
    assert_eq!(harness.sent().len(), 8, "no cancelled request is sent");
    let status = harness.router.status();
    assert_eq!((status.waiting, status.in_flight), (0, 8), "targets may still be processing them");
    harness.pass(config().linger);
    assert_eq!(harness.router.status().in_flight, 0);
}

#[test]
fn a_request_with_a_claim_continues_without_its_caller() {
    let mut harness = Harness::new(1);
    harness.ask(request(1, STORE.name, false, harness.now + TIMEOUT));
    harness.claim(1, ClaimAnswer::Claimed);
    harness.handle(Event::CallerGone { request: RequestId(1) });
    assert!(outcomes(&harness).is_empty());
    harness.end(attempt(1, 1), answered(1));
    assert!(matches!(outcomes(&harness)[&RequestId(1)], RequestOutcome::Ran(_)));
}

/// Runs `count` requests one after the other, with the duration in milliseconds and the end that
/// `end` returns for their target. Returns the number of requests by target.
fn play(harness: &mut Harness, count: u64, end: impl Fn(&str) -> (u64, AttemptEnd)) -> Vec<usize> {
    let mut counts = BTreeMap::new();
    let first = harness.sent().len();
    for id in 1..=count {
        let id = first as u64 * 10_000 + id;
        harness.ask(request(id, FRUGAL.name, true, harness.now + TIMEOUT));
        let Some((sent, target)) = harness.last_sent() else { continue };
        let target = target.to_owned();
        let (took, end) = end(&target);
        harness.pass(millis(took));
        harness.end(sent, end);
        *counts.entry(target).or_default() += 1;
    }
    (0..4).map(|at| counts.get(&address(at)).copied().unwrap_or(0)).collect()
}

#[test]
fn a_failing_target_is_ejected_and_probed() {
    struct Case {
        name: &'static str,
        end: fn() -> AttemptEnd,
    }
    let error = || AttemptEnd::Answered(Response { status: 500, body: "".into() });
    let cases = [
        Case { name: "refusals", end: || AttemptEnd::Refused },
        Case { name: "connection resets", end: lost },
        Case { name: "error responses", end: error },
    ];
    for case in cases {
        let mut harness = Harness::new(4);
        let bad = address(0);
        let counts = play(&mut harness, 2_000, |target| match target == bad {
            true => (1, (case.end)()),
            false => (10, answered(1)),
        });
        assert!((3..=40).contains(&counts[0]), "{}: {counts:?}", case.name);
        let state = |harness: &Harness| {
            let targets = harness.router.status().targets;
            targets.iter().find(|target| target.address == bad).map(|target| target.state)
        };
        let ejected = [Some(TargetState::Ejected), Some(TargetState::Probing)];
        assert!(ejected.contains(&state(&harness)), "{}: {:?}", case.name, state(&harness));
        let counts = play(&mut harness, 20_000, |_| (10, answered(1)));
        assert!(counts[0] > 2_000, "{}: after recovery: {counts:?}", case.name);
        assert_eq!(state(&harness), Some(TargetState::Serving), "{}", case.name);
    }
}

#[test]
fn at_most_half_of_the_targets_are_ejected() {
    let mut harness = Harness::new(4);
    play(&mut harness, 500, |_| (1, lost()));
    let targets = harness.router.status().targets;
    let ejected = targets.iter().filter(|target| {
        target.state == TargetState::Ejected || target.state == TargetState::Probing
    });
    assert_eq!(ejected.count(), 2);
}

#[test]
fn load_shifts_away_from_a_slow_target() {
    let mut harness = Harness::new(4);
    let even = play(&mut harness, 2_000, |_| (10, answered(1)));
    assert!(even.iter().all(|count| (300..700).contains(count)), "{even:?}");
    let slow = address(2);
    let shifted = play(&mut harness, 2_000, |target| match target == slow {
        true => (100, answered(1)),
        false => (10, answered(1)),
    });
    assert!(shifted[2] < 100, "{shifted:?}");
    let back = play(&mut harness, 20_000, |_| (10, answered(1)));
    assert!(back[2] > 1_000, "{back:?}");
}

#[test]
fn a_new_target_is_warmed_up() {
    let mut harness = Harness::new(3);
    play(&mut harness, 300, |_| (10, answered(1)));
    harness.handle(Event::Target(Box::new(target(&address(3), CENTRE))));
    let early = play(&mut harness, 300, |_| (10, answered(1)));
    harness.pass(config().warm_up);
    let warm = play(&mut harness, 300, |_| (10, answered(1)));
    assert!(early[3] < 20 && warm[3] > 40, "{early:?}, then {warm:?}");
}
