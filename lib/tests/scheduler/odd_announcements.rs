//! Announcements of another writer: well-formed, with values that no worker sends.

use std::time::Duration;

use hickorylink_lib::{
    ids::{Epoch, Incarnation},
    resources::Resources,
    worker::{Announcement, AttemptState, Sample},
};

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
