//! Who is taken in, and in whose turn a request leaves.

use std::time::Duration;

use hickorylink_lib::{
    ids::RequestId,
    router::port::{Event, NotRun, Request, RequestOutcome},
    time::Time,
};
use quickcheck::{Arbitrary, Gen};

use crate::{
    promises::ensure,
    script::{Verdict, check},
    world::{
        BUYERS, Buyer, HEAVY, MEMBER, RIVAL, STORE, World, answered, attempt, config, request,
    },
};

const PATIENCE: Duration = Duration::from_secs(30);

fn not_run(reason: NotRun) -> RequestOutcome {
    RequestOutcome::NotRun { reason }
}

#[test]
fn requests_are_refused_with_their_reason() {
    struct Case {
        name: &'static str,
        targets: usize,
        change: fn(&mut Request, Time),
        drain: bool,
        want: Option<NotRun>,
    }
    let unchanged = |_: &mut Request, _| {};
    let cases = [
        Case { name: "taken in", targets: 1, change: unchanged, drain: false, want: None },
        Case {
            name: "nobody knows the customer",
            targets: 1,
            change: |request, _| request.customer = "nobody".into(),
            drain: false,
            want: Some(NotRun::NotAllowed),
        },
        Case {
            name: "the plan doesn't include the service",
            targets: 1,
            change: |request, _| request.service = "papan-hub".into(),
            drain: false,
            want: Some(NotRun::NotAllowed),
        },
        Case {
            name: "not idempotent and no key",
            targets: 1,
            change: |request, _| request.idempotent = false,
            drain: false,
            want: Some(NotRun::MissingKey),
        },
        Case {
            name: "the deadline has passed",
            targets: 1,
            change: |request, now| request.deadline = now,
            drain: false,
            want: Some(NotRun::Deadline),
        },
        Case {
            name: "no target",
            targets: 0,
            change: unchanged,
            drain: false,
            want: Some(NotRun::NoTarget),
        },
        Case {
            name: "leaving",
            targets: 1,
            change: unchanged,
            drain: true,
            want: Some(NotRun::Draining),
        },
    ];
    for case in cases {
        let mut world = World::new(case.targets);
        if case.drain {
            world.handle(Event::Drain);
        }
        let mut asked = request(1, STORE.name, true, world.now + PATIENCE);
        (case.change)(&mut asked, world.now);
        world.ask(asked);
        let want: Vec<_> = case.want.map(not_run).into_iter().collect();
        let told: Vec<_> = world.outcomes(1).into_iter().cloned().collect();
        assert_eq!(told, want, "{}", case.name);
        assert_eq!(world.sent().len(), usize::from(case.want.is_none()), "{}", case.name);
    }
}

#[test]
fn hopeless_requests_are_refused_early() {
    struct Case {
        name: &'static str,
        waiting: u64,
        patience: Duration,
        taken: bool,
    }
    let millis = Duration::from_millis;
    let cases = [
        Case { name: "shorter than the service", waiting: 0, patience: millis(5), taken: false },
        Case { name: "long enough", waiting: 0, patience: millis(20), taken: true },
        Case { name: "behind a queue", waiting: 400, patience: millis(50), taken: false },
        Case { name: "patient", waiting: 400, patience: millis(2_000), taken: true },
    ];
    for case in cases {
        let mut world = World::new(1);
        for id in 1_001..=1_100 {
            world.ask(request(id, STORE.name, true, world.now + PATIENCE));
            world.pass(millis(10));
            world.end(attempt(id, 1), answered(id));
        }
        for id in 2_001..2_001 + case.waiting {
            world.ask(request(id, STORE.name, true, world.now + PATIENCE));
        }
        world.ask(request(1, STORE.name, true, world.now + case.patience));
        let refused = world.outcomes(1) == [&not_run(NotRun::Deadline)];
        assert_eq!(refused, !case.taken, "{}: {:?}", case.name, world.outcomes(1));
    }
}

#[test]
fn estimates_of_a_bad_spell_are_forgotten() {
    let mut world = World::new(1);
    for id in 1..=10 {
        world.ask(request(id, STORE.name, true, world.now + PATIENCE));
        world.pass(Duration::from_secs(2));
        world.end(attempt(id, 1), answered(id));
    }
    let ask = |world: &mut World, id| {
        world.ask(request(id, STORE.name, true, world.now + Duration::from_secs(1)));
        world.outcomes(id).is_empty()
    };
    assert!(!ask(&mut world, 11), "it takes 2 s");
    world.pass(Duration::from_secs(5));
    assert!(ask(&mut world, 12), "the service may have recovered");
}

#[test]
fn one_customer_fills_no_more_than_half_of_the_queue() {
    let mut small = config();
    small.queue = 100;
    let mut world = World::with(small, 1);
    for id in 1..=200 {
        world.ask(request(id, STORE.name, true, world.now + PATIENCE));
    }
    let overloaded = (1..=200).filter(|id| world.outcomes(*id) == [&not_run(NotRun::Overloaded)]);
    assert_eq!(overloaded.count(), 200 - 8 - 50);
    world.ask(request(201, RIVAL.name, true, world.now + PATIENCE));
    assert!(world.outcomes(201).is_empty(), "a rival still finds room");
}

#[test]
fn unanswered_claims_are_bounded() {
    let mut small = config();
    small.unsettled = 10;
    let mut world = World::with(small, 1);
    for id in 1..=20 {
        world.ask(request(id, STORE.name, false, world.now + Duration::from_secs(1)));
        world.pass(Duration::from_secs(1));
    }
    assert_eq!(world.outcomes(5), [&not_run(NotRun::Deadline)]);
    assert_eq!(world.outcomes(6), [&not_run(NotRun::CouncilUnavailable)]);
    assert_eq!(world.router.status().unsettled, 5);
}

#[test]
fn watchers_of_one_customer_leave_slots_free() {
    let mut world = World::new(2);
    let hours = Duration::from_secs(9 * 3_600);
    for id in 1..=20 {
        world.ask(request(id, STORE.name, true, world.now + hours));
    }
    assert_eq!(world.sent().len(), 8, "half of the slots");
    assert_eq!(world.outcomes(9), [&not_run(NotRun::Overloaded)]);
    for id in 21..=30 {
        world.ask(request(id, RIVAL.name, true, world.now + hours));
    }
    assert_eq!(world.sent().len(), 12, "half of the rest");
    world.ask(request(31, RIVAL.name, true, world.now + PATIENCE));
    assert_eq!(world.sent().len(), 13, "short requests find a slot at once");
    world.handle(Event::CallerGone { request: RequestId(21) });
    world.ask(request(32, RIVAL.name, true, world.now + hours));
    assert!(world.outcomes(32).is_empty(), "a closed watcher makes room");
}

#[test]
fn within_a_customer_the_earliest_deadline_goes_first() {
    let mut world = World::new(1);
    for id in 1..=8 {
        world.ask(request(id, STORE.name, true, world.now + PATIENCE));
    }
    for (id, seconds) in [(9, 9), (10, 5), (11, 7)] {
        world.ask(request(id, STORE.name, true, world.now + Duration::from_secs(seconds)));
    }
    for id in 1..=3 {
        world.end(attempt(id, 1), answered(id));
    }
    let order: Vec<_> = world.sent()[8..].iter().map(|(attempt, _)| attempt.request.0).collect();
    assert_eq!(order, [10, 11, 9]);
}

#[test]
fn turns_follow_the_weights() {
    let mut world = World::new(1);
    for id in 1..=1_000 {
        let buyer = if id % 2 == 0 { HEAVY } else { STORE };
        world.ask(request(id, buyer.name, true, world.now + PATIENCE));
    }
    for at in 0..400 {
        let (attempt, _) = world.sent()[at];
        world.end(attempt, answered(attempt.request.0));
    }
    let sent = world.sent();
    let heavy = sent[8..].iter().filter(|(attempt, _)| attempt.request.0 % 2 == 0).count();
    assert_eq!((heavy, sent.len() - 8), (300, 400), "three turns in four");
}

/// A flood by some customers, then one request by another.
#[derive(Clone, Debug)]
struct Flood {
    buyer: usize,
    count: u64,
}

impl Arbitrary for Flood {
    fn arbitrary(g: &mut Gen) -> Self {
        let others = [STORE, MEMBER, HEAVY].len();
        Self { buyer: usize::arbitrary(g) % others, count: u64::arbitrary(g) % 60 }
    }
}

#[test]
fn no_customer_is_starved() {
    check(31, |floods: Vec<Flood>| -> Verdict {
        let flooders: [Buyer; 3] = [STORE, MEMBER, HEAVY];
        let mut small = config();
        small.queue = 500;
        let mut world = World::with(small, 2);
        let mut rival = 0;
        for flood in floods {
            for _ in 0..flood.count {
                rival += 1;
                world.ask(request(rival, flooders[flood.buyer].name, true, world.now + PATIENCE));
            }
        }
        rival += 1;
        world.ask(request(rival, RIVAL.name, true, world.now + PATIENCE));
        let told = world.outcomes(rival);
        ensure(told.is_empty(), || format!("the rival was told {told:?}"))?;
        let turns: u32 = BUYERS.iter().map(|buyer| buyer.weight + 1).sum();
        let under_way: Vec<_> = world.sent().iter().map(|(attempt, _)| *attempt).collect();
        let left = |world: &World| {
            let last = world.last_sent();
            last.is_some_and(|(attempt, _)| attempt.request.0 == rival)
        };
        for open in under_way.into_iter().take(turns as usize) {
            if left(&world) {
                return Ok(());
            }
            world.end(open, answered(open.request.0));
        }
        ensure(left(&world), || format!("the rival waited more than {turns} turns"))
    });
}
