//! Limits on number, age and capacity, and decoding of snapshots.

use std::time::Duration;

use hickorylink_lib::{
    command::{Command, Refusal, Reply},
    ids::{Index, TaskId},
    ledger::{Ledger, Limits, PAYLOAD_UNIT_BYTES},
};

use crate::support::{
    Fixture, cancel, claim, completed, count, end, envelope, ran, refused, settle, start, submit,
    submitted,
};

#[test]
fn retention_of_ended_tasks_is_limited() {
    struct Case {
        name: &'static str,
        limits: Limits,
        /// How much later the next entry is applied, in milliseconds.
        later: u64,
        /// Whether the ended task is retained.
        kept: bool,
        /// Whether the key of its submission is retained.
        known: bool,
    }
    let limits = Limits::default;
    let day = 24 * 60 * 60 * 1_000;
    let none = Duration::ZERO;
    let cases = [
        Case { name: "at once", limits: limits(), later: 0, kept: true, known: true },
        Case { name: "after a day", limits: limits(), later: day, kept: false, known: false },
        Case {
            name: "no ended tasks are retained",
            limits: Limits { max_ended: 0, ..limits() },
            later: 0,
            kept: false,
            known: true,
        },
        Case {
            name: "no outcomes are retained",
            limits: Limits { ended_bytes: 0, ..limits() },
            later: 0,
            kept: false,
            known: true,
        },
        Case {
            name: "keys outlive their tasks",
            limits: Limits { ended_retention: none, ..limits() },
            later: 0,
            kept: false,
            known: true,
        },
        Case {
            name: "neither tasks nor keys are retained",
            limits: Limits { max_ended: 0, max_keys: 0, ..limits() },
            later: 0,
            kept: false,
            known: false,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::ready_with(case.limits);
        fixture.apply(&submit("store", "a", true));
        fixture.apply(&start("akl-a", 1, (1, 1)));
        fixture.apply(&end("akl-a", 1, (1, 1), completed()));
        fixture.at += case.later;
        fixture.apply(&count(1, 1, "store", 0));
        assert_eq!(fixture.ledger.task(TaskId(1)).is_some(), case.kept, "{}", case.name);
        let again = fixture.apply(&submit("store", "a", true));
        assert_eq!(again == submitted(1), case.known, "{}: {again:?}", case.name);
    }
}

#[test]
fn retention_of_claims_is_limited() {
    struct Case {
        name: &'static str,
        limits: Limits,
        /// How much later the next entry is applied, in milliseconds.
        later: u64,
        /// Whether the claim is retained.
        held: bool,
        /// Whether the body of the response is retained.
        body: bool,
    }
    let limits = Limits::default;
    let day = 24 * 60 * 60 * 1_000;
    let cases = [
        Case { name: "at once", limits: limits(), later: 0, held: true, body: true },
        Case { name: "after a day", limits: limits(), later: day, held: false, body: false },
        Case {
            name: "no claims are retained",
            limits: Limits { max_claims: 0, ..limits() },
            later: 0,
            held: false,
            body: false,
        },
        Case {
            name: "a body that is too large",
            limits: Limits { max_body: 1, ..limits() },
            later: 0,
            held: true,
            body: false,
        },
        Case {
            name: "no bodies are retained",
            limits: Limits { max_bodies: 0, ..limits() },
            later: 0,
            held: true,
            body: false,
        },
    ];
    for case in cases {
        let mut fixture = Fixture::ready_with(case.limits);
        fixture.apply(&claim("store", "k", 1, (1, 1)));
        fixture.apply(&settle("store", "k", (1, 1), ran()));
        fixture.at += case.later;
        fixture.apply(&count(1, 1, "store", 0));
        let view = fixture.ledger.claim(&"store".into(), &"k".into());
        assert_eq!(view.is_some(), case.held, "{}", case.name);
        assert_eq!(view.is_some_and(|view| view.body.is_some()), case.body, "{}", case.name);
    }
}

#[test]
fn an_entry_is_applied_once() {
    let mut fixture = Fixture::ready();
    let index = fixture.index;
    fixture.apply(&submit("store", "a", true));
    let before = fixture.ledger.encode();
    let stale = envelope(index, 9_999_999, &cancel("store", 1));
    let mut changes = Vec::new();
    assert_eq!(fixture.ledger.apply(Index(index), &stale, &mut changes), Reply::Done);
    assert!(changes.is_empty());
    assert_eq!(fixture.ledger.encode(), before);
    fixture.ledger.skip(Index(index + 9));
    assert_eq!(fixture.ledger.applied(), Index(index + 9));
}

#[test]
fn corrupt_snapshots_are_rejected() {
    let complete = Fixture::ready().ledger.encode();
    let cases: [(&str, &[u8], &str); 3] = [
        ("empty", &[], "format 0 can't be read; this release reads format 1"),
        ("another format", &[9, 1, 2], "format 9 can't be read; this release reads format 1"),
        ("truncated", &complete[..complete.len() / 2], "the encoding is damaged"),
    ];
    for (name, bytes, want) in cases {
        let error = Ledger::decode(bytes).expect_err(name).to_string();
        assert!(error.starts_with(want), "{name}: {error}");
    }
}

#[test]
fn no_customer_can_use_up_the_capacity() {
    struct Case {
        name: &'static str,
        /// The size of the payload of each task, in bytes.
        payload: usize,
        /// The number of tasks accepted from each of two customers, one after the other.
        want: [usize; 2],
    }
    let cases = [
        Case { name: "small tasks", payload: 0, want: [50, 25] },
        Case { name: "tasks of four units", payload: 3 * PAYLOAD_UNIT_BYTES, want: [12, 6] },
        Case {
            name: "a task that exceeds the capacity",
            payload: 99 * PAYLOAD_UNIT_BYTES,
            want: [0, 0],
        },
    ];
    for case in cases {
        let mut fixture = Fixture::ready_with(Limits { max_open: 100, ..Limits::default() });
        let accepts = |fixture: &mut Fixture, customer, key: &str| {
            let mut command = submit(customer, key, true);
            if let Command::Submit(submission) = &mut command {
                submission.spec.payload = vec![0; case.payload].into();
            }
            fixture.apply(&command) != refused(Refusal::TooManyTasks)
        };
        for (customer, want) in ["store", "member"].into_iter().zip(case.want) {
            let accepted =
                (0..100).take_while(|at| accepts(&mut fixture, customer, &at.to_string()));
            assert_eq!(accepted.count(), want, "{}: {customer}", case.name);
        }
        fixture.ledger = Ledger::decode(&fixture.ledger.encode()).expect("the snapshot is valid");
        assert!(!accepts(&mut fixture, "store", "after a restart"), "{}", case.name);
        for task in 1..=case.want[0] as u64 {
            assert_eq!(fixture.apply(&cancel("store", task)), Reply::Done, "{}", case.name);
        }
        assert_eq!(accepts(&mut fixture, "store", "another"), case.want[0] > 0, "{}", case.name);
    }
}
