//! Admission control, and the order in which queued requests are dispatched.

use std::time::Duration;

use hickorylink_lib::{
    ids::RequestId,
    router::port::{Event, NotRun, Request, RequestOutcome},
    time::Time,
};
use quickcheck::{Arbitrary, Gen};

use crate::{
    harness::{
        CUSTOMERS, HEAVY, Harness, MEMBER, RIVAL, STORE, TestCustomer, answered, attempt, config,
        request,
    },
    invariants::ensure,
    script::{Verdict, check},
};

const TIMEOUT: Duration = Duration::from_secs(30);

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
        Case { name: "admitted", targets: 1, change: unchanged, drain: false, want: None },
        Case {
            name: "unknown customer",
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
            name: "draining",
            targets: 1,
            change: unchanged,
            drain: true,
            want: Some(NotRun::Draining),
        },
    ];
    for case in cases {
        let mut harness = Harness::new(case.targets);
        if case.drain {
            harness.handle(Event::Drain);
        }
        let mut asked = request(1, STORE.name, true, harness.now + TIMEOUT);
        (case.change)(&mut asked, harness.now);
        harness.ask(asked);
        let want: Vec<_> = case.want.map(not_run).into_iter().collect();
        let outcomes: Vec<_> = harness.outcomes(1).into_iter().cloned().collect();
        assert_eq!(outcomes, want, "{}", case.name);
        assert_eq!(harness.sent().len(), usize::from(case.want.is_none()), "{}", case.name);
    }
}

#[test]
fn requests_that_would_miss_their_deadline_are_refused() {
    struct Case {
        name: &'static str,
        waiting: u64,
        timeout: Duration,
        admitted: bool,
    }
    let millis = Duration::from_millis;
    let cases = [
        Case {
            name: "timeout below the service time",
            waiting: 0,
            timeout: millis(5),
            admitted: false,
        },
        Case { name: "sufficient timeout", waiting: 0, timeout: millis(20), admitted: true },
        Case {
            name: "timeout below the queueing time",
            waiting: 400,
            timeout: millis(50),
            admitted: false,
        },
        Case {
            name: "sufficient timeout with a queue",
            waiting: 400,
            timeout: millis(2_000),
            admitted: true,
        },
    ];
    for case in cases {
        let mut harness = Harness::new(1);
        for id in 1_001..=1_100 {
            harness.ask(request(id, STORE.name, true, harness.now + TIMEOUT));
            harness.pass(millis(10));
            harness.end(attempt(id, 1), answered(id));
        }
        for id in 2_001..2_001 + case.waiting {
            harness.ask(request(id, STORE.name, true, harness.now + TIMEOUT));
        }
        harness.ask(request(1, STORE.name, true, harness.now + case.timeout));
        let refused = harness.outcomes(1) == [&not_run(NotRun::Deadline)];
        assert_eq!(refused, !case.admitted, "{}: {:?}", case.name, harness.outcomes(1));
    }
}

#[test]
fn high_latency_estimates_decay_without_samples() {
    let mut harness = Harness::new(1);
    for id in 1..=10 {
        harness.ask(request(id, STORE.name, true, harness.now + TIMEOUT));
        harness.pass(Duration::from_secs(2));
        harness.end(attempt(id, 1), answered(id));
    }
    let ask = |harness: &mut Harness, id| {
        harness.ask(request(id, STORE.name, true, harness.now + Duration::from_secs(1)));
        harness.outcomes(id).is_empty()
    };
    assert!(!ask(&mut harness, 11), "the median is 2 s");
    harness.pass(Duration::from_secs(5));
    assert!(ask(&mut harness, 12), "the estimate has decayed");
}

#[test]
fn one_customer_uses_at_most_half_of_the_queue() {
    let mut small = config();
    small.max_waiting = 100;
    let mut harness = Harness::with(small, 1);
    for id in 1..=200 {
        harness.ask(request(id, STORE.name, true, harness.now + TIMEOUT));
    }
    let overloaded = (1..=200).filter(|id| harness.outcomes(*id) == [&not_run(NotRun::Overloaded)]);
    assert_eq!(overloaded.count(), 200 - 8 - 50);
    harness.ask(request(201, RIVAL.name, true, harness.now + TIMEOUT));
    assert!(harness.outcomes(201).is_empty(), "another customer is still admitted");
}

#[test]
fn pending_claims_are_bounded() {
    let mut small = config();
    small.max_unsettled = 10;
    let mut harness = Harness::with(small, 1);
    for id in 1..=20 {
        harness.ask(request(id, STORE.name, false, harness.now + Duration::from_secs(1)));
        harness.pass(Duration::from_secs(1));
    }
    assert_eq!(harness.outcomes(5), [&not_run(NotRun::Deadline)]);
    assert_eq!(harness.outcomes(6), [&not_run(NotRun::ConsensusUnavailable)]);
    assert_eq!(harness.router.status().unsettled, 5);
}

#[test]
fn long_lived_requests_of_one_customer_leave_slots_free() {
    let mut harness = Harness::new(2);
    let hours = Duration::from_secs(9 * 3_600);
    for id in 1..=20 {
        harness.ask(request(id, STORE.name, true, harness.now + hours));
    }
    assert_eq!(harness.sent().len(), 8, "half of the slots");
    assert_eq!(harness.outcomes(9), [&not_run(NotRun::Overloaded)]);
    for id in 21..=30 {
        harness.ask(request(id, RIVAL.name, true, harness.now + hours));
    }
    assert_eq!(harness.sent().len(), 12, "half of the remaining slots");
    harness.ask(request(31, RIVAL.name, true, harness.now + TIMEOUT));
    assert_eq!(harness.sent().len(), 13, "a short request gets a slot immediately");
    harness.handle(Event::CallerGone { request: RequestId(21) });
    harness.ask(request(32, RIVAL.name, true, harness.now + hours));
    assert!(harness.outcomes(32).is_empty(), "the slot of a closed long-lived request is free");
}

#[test]
fn earliest_deadline_first_within_a_customer() {
    let mut harness = Harness::new(1);
    for id in 1..=8 {
        harness.ask(request(id, STORE.name, true, harness.now + TIMEOUT));
    }
    for (id, seconds) in [(9, 9), (10, 5), (11, 7)] {
        harness.ask(request(id, STORE.name, true, harness.now + Duration::from_secs(seconds)));
    }
    for id in 1..=3 {
        harness.end(attempt(id, 1), answered(id));
    }
    let order: Vec<_> = harness.sent()[8..].iter().map(|(attempt, _)| attempt.request.0).collect();
    assert_eq!(order, [10, 11, 9]);
}

#[test]
fn dispatch_is_proportional_to_weights() {
    let mut harness = Harness::new(1);
    for id in 1..=1_000 {
        let customer = if id % 2 == 0 { HEAVY } else { STORE };
        harness.ask(request(id, customer.name, true, harness.now + TIMEOUT));
    }
    for at in 0..400 {
        let (attempt, _) = harness.sent()[at];
        harness.end(attempt, answered(attempt.request.0));
    }
    let sent = harness.sent();
    let heavy = sent[8..].iter().filter(|(attempt, _)| attempt.request.0 % 2 == 0).count();
    assert_eq!((heavy, sent.len() - 8), (300, 400), "weights 3 and 1");
}

/// A burst of requests by one customer.
#[derive(Clone, Debug)]
struct Burst {
    customer: usize,
    count: u64,
}

impl Arbitrary for Burst {
    fn arbitrary(g: &mut Gen) -> Self {
        let others = [STORE, MEMBER, HEAVY].len();
        Self { customer: usize::arbitrary(g) % others, count: u64::arbitrary(g) % 60 }
    }
}

#[test]
fn no_customer_is_starved() {
    check(31, |bursts: Vec<Burst>| -> Verdict {
        let busy: [TestCustomer; 3] = [STORE, MEMBER, HEAVY];
        let mut small = config();
        small.max_waiting = 500;
        let mut harness = Harness::with(small, 2);
        let mut id = 0;
        for burst in bursts {
            for _ in 0..burst.count {
                id += 1;
                harness.ask(request(id, busy[burst.customer].name, true, harness.now + TIMEOUT));
            }
        }
        id += 1;
        harness.ask(request(id, RIVAL.name, true, harness.now + TIMEOUT));
        let outcomes = harness.outcomes(id);
        ensure(outcomes.is_empty(), || format!("the request was answered: {outcomes:?}"))?;
        let turns: u32 = CUSTOMERS.iter().map(|customer| customer.weight + 1).sum();
        let in_flight: Vec<_> = harness.sent().iter().map(|(attempt, _)| *attempt).collect();
        let dispatched = |harness: &Harness| {
            let last = harness.last_sent();
            last.is_some_and(|(attempt, _)| attempt.request.0 == id)
        };
        for open in in_flight.into_iter().take(turns as usize) {
            if dispatched(&harness) {
                return Ok(());
            }
            harness.end(open, answered(open.request.0));
        }
        ensure(dispatched(&harness), || format!("the request waited for more than {turns} others"))
    });
}
