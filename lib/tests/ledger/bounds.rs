//! What is kept, for how long, and what a snapshot survives.

use std::time::Duration;

use hickorylink_lib::{
    command::{Command, Refusal, Reply},
    ids::{Index, TaskId},
    ledger::{Ledger, Limits, PAYLOAD_UNIT},
};

use crate::support::{
    TestLedger, cancel, claim, completed, count, end, envelope, ran, refused, settle, start,
    submit, submitted,
};

#[test]
fn what_is_kept_is_bounded() {
    struct Case {
        name: &'static str,
        limits: Limits,
        later: u64,
        kept: bool,
        known: bool,
    }
    let limits = Limits::default;
    let day = 24 * 60 * 60 * 1_000;
    let none = Duration::ZERO;
    let cases = [
        Case { name: "at once", limits: limits(), later: 0, kept: true, known: true },
        Case { name: "after a day", limits: limits(), later: day, kept: false, known: false },
        Case {
            name: "no room for ended tasks",
            limits: Limits { ended_max: 0, ..limits() },
            later: 0,
            kept: false,
            known: true,
        },
        Case {
            name: "no room for outcomes",
            limits: Limits { ended_bytes: 0, ..limits() },
            later: 0,
            kept: false,
            known: true,
        },
        Case {
            name: "keys outlive their tasks",
            limits: Limits { ended_kept: none, ..limits() },
            later: 0,
            kept: false,
            known: true,
        },
        Case {
            name: "no room for either",
            limits: Limits { ended_max: 0, keys_max: 0, ..limits() },
            later: 0,
            kept: false,
            known: false,
        },
    ];
    for case in cases {
        let mut world = TestLedger::ready_with(case.limits);
        world.apply(&submit("store", "a", true));
        world.apply(&start("akl-a", 1, (1, 1)));
        world.apply(&end("akl-a", 1, (1, 1), completed()));
        world.at += case.later;
        world.apply(&count(1, 1, "store", 0));
        assert_eq!(world.ledger.task(TaskId(1)).is_some(), case.kept, "{}", case.name);
        let again = world.apply(&submit("store", "a", true));
        assert_eq!(again == submitted(1), case.known, "{}: {again:?}", case.name);
    }
}

#[test]
fn claims_are_bounded() {
    struct Case {
        name: &'static str,
        limits: Limits,
        later: u64,
        held: bool,
        body: bool,
    }
    let limits = Limits::default;
    let day = 24 * 60 * 60 * 1_000;
    let cases = [
        Case { name: "at once", limits: limits(), later: 0, held: true, body: true },
        Case { name: "after a day", limits: limits(), later: day, held: false, body: false },
        Case {
            name: "no room for claims",
            limits: Limits { claims_max: 0, ..limits() },
            later: 0,
            held: false,
            body: false,
        },
        Case {
            name: "a body that is too large",
            limits: Limits { body_max: 1, ..limits() },
            later: 0,
            held: true,
            body: false,
        },
        Case {
            name: "no room for bodies",
            limits: Limits { bodies_max: 0, ..limits() },
            later: 0,
            held: true,
            body: false,
        },
    ];
    for case in cases {
        let mut world = TestLedger::ready_with(case.limits);
        world.apply(&claim("store", "k", 1, (1, 1)));
        world.apply(&settle("store", "k", (1, 1), ran()));
        world.at += case.later;
        world.apply(&count(1, 1, "store", 0));
        let view = world.ledger.claim(&"store".into(), &"k".into());
        assert_eq!(view.is_some(), case.held, "{}", case.name);
        assert_eq!(view.is_some_and(|view| view.body.is_some()), case.body, "{}", case.name);
    }
}

#[test]
fn an_entry_is_applied_once() {
    let mut world = TestLedger::ready();
    let index = world.index;
    world.apply(&submit("store", "a", true));
    let before = world.ledger.encode();
    let stale = envelope(index, 9_999_999, &cancel("store", 1));
    let mut changes = Vec::new();
    assert_eq!(world.ledger.apply(Index(index), &stale, &mut changes), Reply::Done);
    assert!(changes.is_empty());
    assert_eq!(world.ledger.encode(), before);
    world.ledger.skip(Index(index + 9));
    assert_eq!(world.ledger.applied(), Index(index + 9));
}

#[test]
fn damaged_snapshots_are_errors() {
    let whole = TestLedger::ready().ledger.encode();
    let cases: [(&str, &[u8], &str); 3] = [
        ("empty", &[], "format 0 can't be read; this release reads format 1"),
        ("another format", &[9, 1, 2], "format 9 can't be read; this release reads format 1"),
        ("cut short", &whole[..whole.len() / 2], "the encoding is damaged"),
    ];
    for (name, bytes, want) in cases {
        let error = Ledger::decode(bytes).expect_err(name).to_string();
        assert!(error.starts_with(want), "{name}: {error}");
    }
}

#[test]
fn no_customer_takes_the_last_room() {
    struct Case {
        name: &'static str,
        payload: usize,
        /// How many tasks each customer gets in, one customer after the other.
        want: [usize; 2],
    }
    let cases = [
        Case { name: "small tasks", payload: 0, want: [50, 25] },
        Case { name: "tasks that take four units", payload: 3 * PAYLOAD_UNIT, want: [12, 6] },
        Case { name: "a task that takes too much", payload: 99 * PAYLOAD_UNIT, want: [0, 0] },
    ];
    for case in cases {
        let mut world = TestLedger::ready_with(Limits { open_max: 100, ..Limits::default() });
        let takes = |world: &mut TestLedger, customer, key: &str| {
            let mut command = submit(customer, key, true);
            if let Command::Submit(submission) = &mut command {
                submission.spec.payload = vec![0; case.payload].into();
            }
            world.apply(&command) != refused(Refusal::TooManyTasks)
        };
        for (customer, want) in ["store", "member"].into_iter().zip(case.want) {
            let taken = (0..100).take_while(|at| takes(&mut world, customer, &at.to_string()));
            assert_eq!(taken.count(), want, "{}: {customer}", case.name);
        }
        world.ledger = Ledger::decode(&world.ledger.encode()).expect("it can be decoded");
        assert!(!takes(&mut world, "store", "after a restart"), "{}", case.name);
        for task in 1..=case.want[0] as u64 {
            assert_eq!(world.apply(&cancel("store", task)), Reply::Done, "{}", case.name);
        }
        assert_eq!(takes(&mut world, "store", "another"), case.want[0] > 0, "{}", case.name);
    }
}
