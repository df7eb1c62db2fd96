//! Workers that leave, change their capacity, fail attempts or fall silent.

use std::time::Duration;

use hickorylink_lib::{
    resources::Resources,
    scheduler::{charts::Health, port::Event},
    task::OpenTask,
    worker::{AttemptState, WorkerCommand},
};

use crate::harness::{
    Harness, LARGE_WORKER, announcement_of, announcement_with, attempt, harness_running, report,
    resources, task,
};

#[test]
fn a_leaving_worker_gets_no_work_and_is_drained() {
    struct Case {
        name: &'static str,
        idempotent: bool,
        stopped: bool,
    }
    let cases = [
        Case { name: "idempotent", idempotent: true, stopped: true },
        Case { name: "not idempotent", idempotent: false, stopped: false },
    ];
    for case in cases {
        let change: fn(&mut OpenTask) = match case.idempotent {
            true => |_| {},
            false => |open| open.spec.idempotent = false,
        };
        let mut harness = harness_running(change);
        let mut announcement = announcement_with(AttemptState::Running);
        announcement.leaving = true;
        harness.announce(announcement).expect("a lease, so that its attempts can end");
        let stop = matches!(&harness.take_commands()[..], [(_, WorkerCommand::Stop { .. })]);
        assert_eq!(stop, case.stopped, "{}", case.name);
        harness.open_task(task(2, "bob", resources(1, 1)));
        // A delayed announcement from before it was leaving.
        harness.announce(announcement_with(AttemptState::Running)).expect("a lease");
        assert_eq!(harness.record_starts(), [], "{}: no new work", case.name);
        harness.announce(announcement_of("w2", LARGE_WORKER)).expect("a lease");
        assert_eq!(harness.record_starts(), [(attempt(2, 1), "w2".into())], "{}", case.name);
        // The same boot doesn't become schedulable again after a silence either.
        harness.advance(Duration::from_secs(10));
        harness.take_effects();
        harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
        harness.open_task(task(3, "bob", resources(1, 1)));
        assert_eq!(harness.record_starts(), [], "{}: no new work after a silence", case.name);
    }
}

#[test]
fn capacity_decreases_at_once_and_increases_after_a_delay() {
    struct Case {
        name: &'static str,
        announced: Resources,
        /// How long it is announced.
        seconds: u64,
        capacity: Resources,
        stops: bool,
    }
    let cases = [
        Case {
            name: "still fits",
            announced: resources(4, 8),
            seconds: 2,
            capacity: resources(4, 8),
            stops: false,
        },
        Case {
            name: "no longer fits",
            announced: resources(1, 8),
            seconds: 2,
            capacity: resources(1, 8),
            stops: true,
        },
        Case {
            name: "increased just now",
            announced: resources(32, 128),
            seconds: 2,
            capacity: LARGE_WORKER,
            stops: false,
        },
        Case {
            name: "increased for longer than a lease",
            announced: resources(32, 128),
            seconds: 10,
            capacity: resources(32, 128),
            stops: false,
        },
    ];
    for case in cases {
        let mut harness = harness_running(|_| {});
        for _ in 0..case.seconds / 2 {
            let mut announcement = announcement_with(AttemptState::Running);
            announcement.capacity = case.announced;
            harness.announce(announcement).expect("a lease");
            harness.advance(Duration::from_secs(2));
        }
        let worker =
            harness.scheduler.explain_worker(harness.now, &"w1".into()).expect("it is known");
        assert_eq!(worker.capacity, case.capacity, "{}", case.name);
        let stops = harness
            .take_commands()
            .iter()
            .any(|(_, sent)| matches!(sent, WorkerCommand::Stop { .. }));
        assert_eq!(stops, case.stops, "{}", case.name);
    }
}

/// Regression: the start of an attempt was sent again to a worker that had shrunk, together with the
/// command to stop it.
#[test]
fn starts_on_their_way_are_not_sent_to_a_worker_that_has_shrunk() {
    #[derive(Clone, Copy, PartialEq, Eq)]
    enum Phase {
        /// The start isn't recorded yet.
        Recording,
        /// The command was sent, and the worker doesn't list the attempt.
        Starting,
    }
    struct Case {
        name: &'static str,
        phase: Phase,
        capacity: Resources,
        want: bool,
    }
    let (small, large) = (resources(1, 128), LARGE_WORKER);
    let cases = [
        Case { name: "recording", phase: Phase::Recording, capacity: small, want: false },
        Case { name: "starting", phase: Phase::Starting, capacity: small, want: false },
        Case { name: "recording, same", phase: Phase::Recording, capacity: large, want: true },
        Case { name: "starting, same", phase: Phase::Starting, capacity: large, want: true },
    ];
    for case in cases {
        let mut harness = Harness::new();
        harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
        harness.open_task(task(1, "ann", resources(2, 2)));
        if case.phase == Phase::Starting {
            assert_eq!(harness.record_starts(), [(attempt(1, 1), "w1".into())], "{}", case.name);
        }
        harness.take_commands();
        harness.advance(Duration::from_secs(2));
        harness.announce(announcement_of("w1", case.capacity)).expect("a lease");
        harness.record_starts();
        let commands = harness.take_commands();
        let started =
            commands.iter().any(|(_, command)| matches!(command, WorkerCommand::Start(_)));
        assert_eq!(started, case.want, "{}: {commands:?}", case.name);
    }
}

#[test]
fn a_worker_that_has_shrunk_gets_what_fits() {
    let mut harness = Harness::new();
    harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
    harness.announce(announcement_of("w1", resources(3, 8))).expect("a lease");
    harness.announce(announcement_of("w2", LARGE_WORKER)).expect("a lease");
    harness.announce(announcement_of("w2", resources(1, 8))).expect("a lease");
    for id in 1..=3 {
        harness.open_task(task(id, "ann", resources(2, 2)));
    }
    assert_eq!(harness.record_starts(), [(attempt(1, 1), "w1".into())]);
}

#[test]
fn a_worker_that_fails_everything_is_quarantined() {
    struct Case {
        name: &'static str,
        /// Whether an attempt on this worker fails.
        fails: fn(&str) -> bool,
        want: Health,
    }
    let cases = [
        Case {
            name: "one worker fails everything",
            fails: |worker| worker == "w0",
            want: Health::Quarantined,
        },
        Case { name: "every worker fails", fails: |_| true, want: Health::Fresh },
        Case { name: "nothing fails", fails: |_| false, want: Health::Healthy },
    ];
    for case in cases {
        let mut harness = fleet_of(6);
        let mut next = 0;
        for _ in 0..20 {
            round(&mut harness, &mut next, 6, case.fails);
        }
        let health = |harness: &Harness| {
            let worker = harness.scheduler.explain_worker(harness.now, &"w0".into());
            worker.expect("it is known").health
        };
        assert_eq!(health(&harness), case.want, "{}", case.name);
        if case.want == Health::Quarantined {
            // After the quarantine it gets a single task, and is healthy once that completes.
            for _ in 0..40 {
                round(&mut harness, &mut next, 12, |_| false);
            }
            assert_eq!(health(&harness), Health::Healthy, "{}", case.name);
        }
    }
}

fn fleet_of(workers: u64) -> Harness {
    let mut harness = Harness::new();
    for at in 0..workers {
        harness.announce(announcement_of(&format!("w{at}"), resources(1, 1))).expect("a lease");
    }
    harness
}

/// Opens tasks, and ends all that are placed a second later.
fn round(harness: &mut Harness, next: &mut u64, tasks: u64, fails: fn(&str) -> bool) {
    for _ in 0..tasks {
        *next += 1;
        harness.open_task(task(*next, "ann", resources(1, 1)));
    }
    let started = harness.record_starts();
    harness.advance(Duration::from_secs(1));
    for worker in (0..6).map(|at| format!("w{at}")) {
        let mut announcement = announcement_of(&worker, resources(1, 1));
        announcement.tasks = started
            .iter()
            .filter(|(_, place)| place.as_str() == worker)
            .map(|(attempt, _)| match fails(&worker) {
                true => report(*attempt, AttemptState::Failed { reason: "out of memory".into() }),
                false => report(*attempt, AttemptState::Completed { output: Vec::new().into() }),
            })
            .collect();
        harness.announce(announcement).expect("a lease");
    }
    let ended: Vec<_> = started.iter().map(|(attempt, _)| *attempt).collect();
    for attempt in ended {
        harness.event(Event::EndRecorded { attempt });
    }
    // Drops the commands of attempts that were placed in the meantime; these are left for the next
    // round.
    harness.take_commands();
}

#[test]
fn a_worker_is_removed_after_a_long_silence_and_may_return() {
    let mut harness = Harness::new();
    let before = harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
    harness.advance(Duration::from_secs(3_700));
    assert_eq!(harness.scheduler.explain_worker(harness.now, &"w1".into()), None);
    harness.announce(announcement_of("w2", LARGE_WORKER)).expect("a lease");
    let after = harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
    assert!(after.fence > before.fence, "commands sent before stay invalid");
    assert_eq!(harness.scheduler.status().capacity, resources(32, 128));
}

#[test]
fn an_unreachable_worker_gets_no_work_until_its_next_announcement() {
    let mut harness = Harness::new();
    harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
    harness.event(Event::Unreachable { worker: "w1".into() });
    harness.open_task(task(1, "ann", resources(1, 1)));
    assert_eq!(harness.record_starts(), []);
    harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
    assert_eq!(harness.record_starts().len(), 1);
}
