//! Announcements of another writer: well-formed, with values that no worker sends.

use std::time::Duration;

use hickorylink_lib::{
    ids::{Epoch, Incarnation},
    resources::Resources,
    worker::{Announcement, AttemptState, Sample, TargetReport},
};
use quickcheck::{Arbitrary as _, Gen};

use crate::harness::{
    LARGE_WORKER, announcement_of, announcement_with, attempt, harness_running, report, resources,
    task,
};

const EVERYTHING: Resources =
    Resources { millicores: u64::MAX, memory_mib: u64::MAX, accelerators: u32::MAX };

/// Regression: a clock close to the end of its range ended the scheduler at the second announcement.
#[test]
fn odd_announcements_leave_the_scheduler_at_work() {
    struct Case {
        name: &'static str,
        /// Changes an announcement of a worker without tasks.
        change: fn(&mut Announcement),
    }
    let cases = [
        Case {
            name: "the last clock",
            change: |announcement| announcement.clock = Some(Duration::MAX),
        },
        Case {
            name: "an endless capacity",
            change: |announcement| announcement.capacity = EVERYTHING,
        },
        Case {
            name: "the last incarnation",
            change: |announcement| announcement.incarnation = Incarnation(u64::MAX),
        },
        Case { name: "a later epoch", change: |announcement| announcement.epoch = Epoch(u64::MAX) },
        Case {
            name: "an unknown attempt",
            change: |announcement| {
                announcement.tasks.push(report(attempt(u64::MAX, u32::MAX), AttemptState::Running));
            },
        },
        Case {
            name: "an endless sample",
            change: |announcement| {
                announcement.samples.push(Sample {
                    attempt: attempt(1, 1),
                    age: Duration::MAX,
                    used: EVERYTHING,
                    latency: Some(Duration::MAX),
                    beside: vec![attempt(1, 1); 100],
                });
            },
        },
    ];
    for case in cases {
        let mut harness = harness_running(|_| {});
        for _ in 0..8 {
            let mut odd = announcement_of("odd", LARGE_WORKER);
            (case.change)(&mut odd);
            // It may be refused.
            drop(harness.announce(odd));
            harness.advance(Duration::from_millis(500));
            harness.announce(announcement_with(AttemptState::Running)).expect("a lease");
        }
        harness.take_effects();
        harness.announce(announcement_of("w2", LARGE_WORKER)).expect("a lease");
        harness.open_task(task(2, "bob", resources(1, 1)));
        assert_eq!(harness.record_starts().len(), 1, "{}: new work starts", case.name);
    }
}

/// Regression: port 0 and the unspecified address were taken, and requests were routed to them.
#[test]
fn addresses_that_nobody_can_connect_to_are_found_together() {
    struct Case {
        name: &'static str,
        address: &'static str,
        usable: bool,
    }
    let cases = [
        Case { name: "IPv4", address: "10.0.0.1:7000", usable: true },
        Case { name: "IPv6", address: "[fd00::1]:7000", usable: true },
        Case { name: "port 0", address: "10.0.0.1:0", usable: false },
        Case { name: "a port out of range", address: "10.0.0.1:99999", usable: false },
        Case { name: "no port", address: "10.0.0.1", usable: false },
        Case { name: "unspecified", address: "0.0.0.0:7000", usable: false },
        Case { name: "a blank", address: "10.0.0.1:7000 ", usable: false },
        Case { name: "a name", address: "localhost:7000", usable: false },
        Case { name: "empty", address: "", usable: false },
    ];
    for case in cases {
        let mut announcement = announcement_of("w1", LARGE_WORKER);
        announcement.address = case.address.to_owned();
        let target = |service: &str| TargetReport {
            service: service.into(),
            attempt: attempt(1, 1),
            address: case.address.to_owned(),
            slots: 1,
            connections: 0,
        };
        announcement.targets = vec![target("first"), target("second")];
        let findings = announcement.findings();
        assert_eq!(findings.len(), if case.usable { 0 } else { 3 }, "{}", case.name);
        let places = ["the worker", "\"first\"", "\"second\""];
        let placed = findings.iter().zip(places).all(|(finding, place)| finding.contains(place));
        assert!(placed, "{}: {findings:?}", case.name);
    }
}

/// Numbers in the text of an announcement that are replaced, and what takes their place.
const ODD_NUMBERS: [&str; 8] = [
    "-1",
    "1.5",
    "1e400",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "null",
    "[]",
];

/// The text with one of its numbers replaced.
fn replaced(text: &str, at: usize, odd: &str) -> String {
    let parts: Vec<&str> = text.split_inclusive(|c: char| !c.is_ascii_digit()).collect();
    let numbers = parts.iter().enumerate().filter(|(_, part)| part.starts_with(char::is_numeric));
    let numbers: Vec<usize> = numbers.map(|(at, _)| at).collect();
    let Some(chosen) = numbers.get(at % numbers.len().max(1)) else { return text.to_owned() };
    let part = parts[*chosen];
    let rest = part.trim_start_matches(|c: char| c.is_ascii_digit());
    let (before, after) = (&parts[..*chosen], &parts[chosen + 1..]);
    [&before.concat(), odd, rest, &after.concat()].concat()
}

/// Guards against announcements that end the scheduler in a form that nobody thought of.
#[test]
fn random_odd_announcements_leave_the_scheduler_at_work() {
    const ROUNDS: usize = 1000;
    let mut good = announcement_with(AttemptState::Running);
    good.clock = Some(Duration::from_millis(7));
    good.samples = vec![Sample {
        attempt: attempt(1, 1),
        age: Duration::from_millis(5),
        used: resources(1, 1),
        latency: Some(Duration::from_millis(3)),
        beside: vec![attempt(2, 1)],
    }];
    let text = serde_json::to_string(&good).expect("an announcement can be encoded");
    let mut g = Gen::from_size_and_seed(20, 28);
    let mut harness = harness_running(|_| {});
    let mut decoded = 0;
    for round in 0..ROUNDS {
        // A later incarnation would hide those of the rounds behind it.
        let mut odd = text.replace("\"w1\"", &format!("\"odd-{round}\""));
        for _ in 0..=usize::arbitrary(&mut g) % 3 {
            let number = *g.choose(&ODD_NUMBERS).unwrap_or(&"-1");
            odd = replaced(&odd, usize::arbitrary(&mut g), number);
        }
        if let Ok(announcement) = serde_json::from_str::<Announcement>(&odd) {
            decoded += 1;
            drop(harness.announce(announcement.clone()));
            harness.advance(Duration::from_millis(1100));
            drop(harness.announce(announcement));
        }
        let answer = harness.announce(announcement_with(AttemptState::Running));
        assert!(answer.is_ok(), "round {round}: {odd}");
    }
    assert!(decoded > ROUNDS / 10, "{decoded} of {ROUNDS} can be decoded");
}
