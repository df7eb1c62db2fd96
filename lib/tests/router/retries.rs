//! Retries, hedges and their budget; targets in other data centres; the end of a drain.

use std::time::Duration;

use hickorylink_lib::{
    ids::RequestId,
    router::port::{ClaimAnswer, Effect, Event, RequestOutcome},
};

use crate::harness::{
    CENTRE, FRUGAL, Harness, MEMBER, STORE, address, answered, attempt, config, lost, peers,
    policy, request, target,
};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Creates a harness in which 200 requests of `customer` have taken 10 ms each.
fn with_history(customer: &str) -> Harness {
    let mut harness = Harness::new(3);
    for id in 1_001..=1_200 {
        harness.ask(request(id, customer, true, harness.now + TIMEOUT));
        harness.pass(Duration::from_millis(10));
        harness.end(attempt(id, 1), answered(id));
        harness.recorded(id);
    }
    harness
}

#[test]
fn slow_idempotent_requests_are_hedged() {
    struct Case {
        name: &'static str,
        customer: &'static str,
        idempotent: bool,
        hedged: bool,
    }
    let cases = [
        Case { name: "idempotent", customer: STORE.name, idempotent: true, hedged: true },
        Case { name: "not idempotent", customer: STORE.name, idempotent: false, hedged: false },
        Case { name: "no budget", customer: FRUGAL.name, idempotent: true, hedged: false },
    ];
    for case in cases {
        let mut harness = with_history(case.customer);
        let before = harness.sent().len();
        harness.ask(request(1, case.customer, case.idempotent, harness.now + TIMEOUT));
        harness.claim(1, ClaimAnswer::Claimed);
        harness.pass(Duration::from_millis(100));
        let sent: Vec<_> = harness.sent()[before..].to_vec();
        assert_eq!(sent.len(), 1 + usize::from(case.hedged), "{}", case.name);
        assert!(sent.len() == 1 || sent[0].1 != sent[1].1, "{}: another target", case.name);
    }
}

#[test]
fn the_first_answer_wins_and_the_loser_is_abandoned() {
    for (winner, loser) in [(1, 2), (2, 1)] {
        let mut harness = with_history(STORE.name);
        harness.ask(request(1, STORE.name, true, harness.now + TIMEOUT));
        harness.pass(Duration::from_millis(100));
        harness.end(attempt(1, winner), answered(1));
        assert!(harness.effects.contains(&Effect::Abandon { attempt: attempt(1, loser) }));
        harness.end(attempt(1, loser), answered(2));
        assert_eq!(harness.outcomes(1).len(), 1, "attempt {winner} wins");
        let records = harness
            .effects
            .iter()
            .filter(|effect| matches!(effect, Effect::Record { request: RequestId(1), .. }));
        assert_eq!(records.count(), 1, "counted once");
    }
}

#[test]
fn a_lost_hedge_does_not_affect_the_first_attempt() {
    let mut harness = with_history(STORE.name);
    harness.ask(request(1, STORE.name, true, harness.now + TIMEOUT));
    harness.pass(Duration::from_millis(100));
    harness.end(attempt(1, 2), lost());
    assert!(harness.outcomes(1).is_empty());
    harness.end(attempt(1, 1), answered(1));
    assert!(matches!(harness.outcomes(1)[..], [RequestOutcome::Ran(_)]));
}

/// The maximum number of attempts that the test ends for a request; no request reaches it.
const MAX_ATTEMPTS: usize = 1_000;

#[test]
fn retries_stay_within_the_budget_if_all_attempts_fail() {
    let mut harness = Harness::new(3);
    for id in 1..=1_000 {
        harness.ask(request(id, STORE.name, true, harness.now + TIMEOUT));
        for _ in 0..MAX_ATTEMPTS {
            let Some((open, _)) = harness.last_sent().filter(|_| !is_over(&harness, id)) else {
                break;
            };
            harness.end(open, lost());
            harness.pass(Duration::from_millis(20));
        }
        assert!(is_over(&harness, id), "request {id} was not answered");
    }
    let retries = harness.router.status().counters.retries;
    assert!((150..=200).contains(&retries), "{retries} retries of 1000 requests");
}

fn is_over(harness: &Harness, id: u64) -> bool {
    !harness.outcomes(id).is_empty()
}

#[test]
fn a_retry_prefers_another_target() {
    let mut harness = Harness::new(3);
    for id in 1..=20 {
        let before = harness.sent().len();
        harness.ask(request(id, STORE.name, true, harness.now + TIMEOUT));
        harness.end(attempt(id, 1), lost());
        harness.pass(Duration::from_secs(1));
        let targets: Vec<_> =
            harness.sent()[before..].iter().map(|(_, at)| at.to_string()).collect();
        if targets.len() > 1 {
            assert_ne!(targets[0], targets[1], "request {id}");
            harness.end(attempt(id, 2), answered(id));
        }
    }
    assert!(harness.router.status().counters.retries > 0);
}

#[test]
fn remote_targets_serve_data_centres_without_targets() {
    let mut harness = Harness::empty(config());
    harness.handle(Event::Policy(policy()));
    harness.handle(Event::Instances(peers(&[(1, CENTRE), (2, "akl-b")])));
    harness.handle(Event::Target(Box::new(target(&address(0), "akl-b"))));
    harness.pass(config().settle_time);
    harness.ask(request(1, STORE.name, true, harness.now + TIMEOUT));
    assert_eq!(harness.last_sent().map(|(_, at)| at.to_string()), Some(address(0)));
    harness.handle(Event::Target(Box::new(target(&address(1), CENTRE))));
    harness.pass(config().settle_time);
    for id in 2..=9 {
        harness.ask(request(id, STORE.name, true, harness.now + TIMEOUT));
        assert_eq!(harness.last_sent().map(|(_, at)| at.to_string()), Some(address(1)));
    }
    harness.ask(request(10, STORE.name, true, harness.now + TIMEOUT));
    assert_eq!(harness.sent().len(), 9, "the remote target's slots are no longer shared");
}

#[test]
fn a_drain_ends_with_the_last_record() {
    struct Case {
        name: &'static str,
        recorded: bool,
        wait: Duration,
        drained: bool,
    }
    let timeout = config().drain_timeout;
    let cases = [
        Case { name: "recorded", recorded: true, wait: Duration::ZERO, drained: true },
        Case { name: "not recorded", recorded: false, wait: Duration::ZERO, drained: false },
        Case {
            name: "not recorded before the timeout",
            recorded: false,
            wait: timeout,
            drained: true,
        },
    ];
    for case in cases {
        let mut harness = Harness::new(1);
        harness.ask(request(1, STORE.name, false, harness.now + TIMEOUT));
        harness.claim(1, ClaimAnswer::Claimed);
        harness.ask(request(2, MEMBER.name, true, harness.now + TIMEOUT));
        harness.handle(Event::Drain);
        harness.pass(Duration::from_secs(1));
        let drained = |harness: &Harness| harness.effects.contains(&Effect::Drained);
        assert!(!drained(&harness), "{}: requests are open", case.name);
        harness.end(attempt(1, 1), answered(1));
        harness.end(attempt(2, 1), answered(2));
        harness.recorded(2);
        if case.recorded {
            harness.recorded(1);
        }
        harness.pass(case.wait);
        assert_eq!(drained(&harness), case.drained, "{}", case.name);
        assert_eq!(harness.outcomes(1).len() + harness.outcomes(2).len(), 2, "{}", case.name);
    }
}

#[test]
fn a_drain_waits_for_a_long_lived_request() {
    let mut harness = Harness::new(1);
    let hours = Duration::from_secs(6 * 3_600);
    harness.ask(request(1, STORE.name, true, harness.now + hours));
    harness.handle(Event::Drain);
    for _ in 0..100 {
        harness.pass(Duration::from_secs(2));
        harness.handle(Event::Progress { attempt: attempt(1, 1) });
    }
    assert!(!harness.effects.contains(&Effect::Drained), "a request is open");
    harness.end(attempt(1, 1), answered(1));
    assert_eq!(harness.outcomes(1).len(), 1);
    assert_eq!(harness.effects.last(), Some(&Effect::Drained));
}
