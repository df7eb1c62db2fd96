//! Retries, hedges and their budget; targets of other data centres; the end of a drain.

use std::time::Duration;

use hickorylink_lib::{
    ids::RequestId,
    router::port::{ClaimAnswer, Effect, Event, RequestOutcome},
};

use crate::world::{
    CENTRE, FRUGAL, MEMBER, STORE, World, address, answered, attempt, config, lost, peers, policy,
    request, target,
};

const PATIENCE: Duration = Duration::from_secs(30);

/// A world in which 200 requests of `customer` took 10 ms.
fn learned(customer: &str) -> World {
    let mut world = World::new(3);
    for id in 1_001..=1_200 {
        world.ask(request(id, customer, true, world.now + PATIENCE));
        world.pass(Duration::from_millis(10));
        world.end(attempt(id, 1), answered(id));
        world.recorded(id);
    }
    world
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
        let mut world = learned(case.customer);
        let before = world.sent().len();
        world.ask(request(1, case.customer, case.idempotent, world.now + PATIENCE));
        world.claim(1, ClaimAnswer::Claimed);
        world.pass(Duration::from_millis(100));
        let sent: Vec<_> = world.sent()[before..].to_vec();
        assert_eq!(sent.len(), 1 + usize::from(case.hedged), "{}", case.name);
        assert!(sent.len() == 1 || sent[0].1 != sent[1].1, "{}: another target", case.name);
    }
}

#[test]
fn the_first_answer_wins_and_the_loser_is_abandoned() {
    for (winner, loser) in [(1, 2), (2, 1)] {
        let mut world = learned(STORE.name);
        world.ask(request(1, STORE.name, true, world.now + PATIENCE));
        world.pass(Duration::from_millis(100));
        world.end(attempt(1, winner), answered(1));
        assert!(world.effects.contains(&Effect::Abandon { attempt: attempt(1, loser) }));
        world.end(attempt(1, loser), answered(2));
        assert_eq!(world.outcomes(1).len(), 1, "try {winner} wins");
        let records = world
            .effects
            .iter()
            .filter(|effect| matches!(effect, Effect::Record { request: RequestId(1), .. }));
        assert_eq!(records.count(), 1, "counted once");
    }
}

#[test]
fn a_lost_hedge_leaves_the_other_try_alone() {
    let mut world = learned(STORE.name);
    world.ask(request(1, STORE.name, true, world.now + PATIENCE));
    world.pass(Duration::from_millis(100));
    world.end(attempt(1, 2), lost());
    assert!(world.outcomes(1).is_empty());
    world.end(attempt(1, 1), answered(1));
    assert!(matches!(world.outcomes(1)[..], [RequestOutcome::Ran(_)]));
}

/// More tries than any request in a storm gets.
const MOST_TRIES: usize = 1_000;

#[test]
fn retries_stay_within_the_budget_in_a_storm() {
    let mut world = World::new(3);
    for id in 1..=1_000 {
        world.ask(request(id, STORE.name, true, world.now + PATIENCE));
        for _ in 0..MOST_TRIES {
            let Some((open, _)) = world.last_sent().filter(|_| !is_over(&world, id)) else { break };
            world.end(open, lost());
            world.pass(Duration::from_millis(20));
        }
        assert!(is_over(&world, id), "request {id} has no end");
    }
    let retries = world.router.status().counters.retries;
    assert!((150..=200).contains(&retries), "{retries} retries of 1000 requests");
}

fn is_over(world: &World, id: u64) -> bool {
    !world.outcomes(id).is_empty()
}

#[test]
fn a_retry_prefers_another_target() {
    let mut world = World::new(3);
    for id in 1..=20 {
        let before = world.sent().len();
        world.ask(request(id, STORE.name, true, world.now + PATIENCE));
        world.end(attempt(id, 1), lost());
        world.pass(Duration::from_secs(1));
        let targets: Vec<_> = world.sent()[before..].iter().map(|(_, at)| at.to_string()).collect();
        if targets.len() > 1 {
            assert_ne!(targets[0], targets[1], "request {id}");
            world.end(attempt(id, 2), answered(id));
        }
    }
    assert!(world.router.status().counters.retries > 0);
}

#[test]
fn targets_of_other_data_centres_serve_those_without_any() {
    let mut world = World::empty(config());
    world.handle(Event::Policy(policy()));
    world.handle(Event::Instances(peers(&[(1, CENTRE), (2, "akl-b")])));
    world.handle(Event::Target(Box::new(target(&address(0), "akl-b"))));
    world.pass(config().settle);
    world.ask(request(1, STORE.name, true, world.now + PATIENCE));
    assert_eq!(world.last_sent().map(|(_, at)| at.to_string()), Some(address(0)));
    world.handle(Event::Target(Box::new(target(&address(1), CENTRE))));
    world.pass(config().settle);
    for id in 2..=9 {
        world.ask(request(id, STORE.name, true, world.now + PATIENCE));
        assert_eq!(world.last_sent().map(|(_, at)| at.to_string()), Some(address(1)));
    }
    world.ask(request(10, STORE.name, true, world.now + PATIENCE));
    assert_eq!(world.sent().len(), 9, "the other data centre's slots are its own again");
}

#[test]
fn a_drain_ends_with_the_last_record() {
    struct Case {
        name: &'static str,
        recorded: bool,
        wait: Duration,
        drained: bool,
    }
    let patience = config().leave_after;
    let cases = [
        Case { name: "recorded", recorded: true, wait: Duration::ZERO, drained: true },
        Case { name: "not recorded", recorded: false, wait: Duration::ZERO, drained: false },
        Case { name: "never recorded", recorded: false, wait: patience, drained: true },
    ];
    for case in cases {
        let mut world = World::new(1);
        world.ask(request(1, STORE.name, false, world.now + PATIENCE));
        world.claim(1, ClaimAnswer::Claimed);
        world.ask(request(2, MEMBER.name, true, world.now + PATIENCE));
        world.handle(Event::Drain);
        world.pass(Duration::from_secs(1));
        let drained = |world: &World| world.effects.contains(&Effect::Drained);
        assert!(!drained(&world), "{}: requests are open", case.name);
        world.end(attempt(1, 1), answered(1));
        world.end(attempt(2, 1), answered(2));
        world.recorded(2);
        if case.recorded {
            world.recorded(1);
        }
        world.pass(case.wait);
        assert_eq!(drained(&world), case.drained, "{}", case.name);
        assert_eq!(world.outcomes(1).len() + world.outcomes(2).len(), 2, "{}", case.name);
    }
}

#[test]
fn a_drain_waits_for_a_watcher() {
    let mut world = World::new(1);
    let hours = Duration::from_secs(6 * 3_600);
    world.ask(request(1, STORE.name, true, world.now + hours));
    world.handle(Event::Drain);
    for _ in 0..100 {
        world.pass(Duration::from_secs(2));
        world.handle(Event::Progress { attempt: attempt(1, 1) });
    }
    assert!(!world.effects.contains(&Effect::Drained), "it is open");
    world.end(attempt(1, 1), answered(1));
    assert_eq!(world.outcomes(1).len(), 1);
    assert_eq!(world.effects.last(), Some(&Effect::Drained));
}
