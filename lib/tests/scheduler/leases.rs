//! Leases, silent workers and epochs.

use std::time::Duration;

use hickorylink_lib::{
    ids::{Attempt, Epoch, Incarnation},
    resources::Resources,
    scheduler::{charts::Phase, explain::TaskStatus, port::Effect},
    task::TaskState,
    time::Time,
    worker::{Announcement, AttemptState, TaskReport},
};

use crate::harness::{
    Harness, LARGE_WORKER, announcement_of, attempt, harness_running, report, resources, task,
};

#[test]
fn invalid_announcements_are_rejected_with_a_reason() {
    struct Case {
        name: &'static str,
        change: fn(&mut Announcement),
        want: &'static str,
    }
    let cases = [
        Case {
            name: "no name",
            change: |announcement| announcement.worker = "".into(),
            want: "name is empty",
        },
        Case {
            name: "no address",
            change: |announcement| announcement.address.clear(),
            want: "address",
        },
        Case {
            name: "another data centre",
            change: |announcement| announcement.centre = "hlz-c".into(),
            want: "in data centre \"hlz-c\"",
        },
        Case {
            name: "no capacity",
            change: |announcement| announcement.capacity = Resources::ZERO,
            want: "no processors or no memory",
        },
        Case {
            name: "excessive capacity",
            change: |announcement| announcement.capacity.memory_mib = u64::MAX,
            want: "exceeds the largest allowed",
        },
        Case {
            name: "an earlier boot",
            change: |announcement| announcement.incarnation = Incarnation(0),
            want: "incarnation 0 is older than 1",
        },
        Case {
            name: "too many tasks",
            change: |announcement| {
                announcement.tasks = vec![report(attempt(1, 1), AttemptState::Running); 10_001];
            },
            want: "more than 10000 tasks",
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
        let mut announcement = announcement_of("w1", LARGE_WORKER);
        (case.change)(&mut announcement);
        let refusal = harness.announce(announcement).expect_err(case.name);
        assert!(refusal.contains(case.want), "{}: {refusal}", case.name);
    }
}

#[test]
fn leases_and_starts_need_confirmed_leadership() {
    struct Case {
        name: &'static str,
        epoch: Option<u64>,
        /// The time since the last confirmation.
        silence: Duration,
        announced: u64,
        lease: bool,
        start: bool,
    }
    let seconds = Duration::from_secs;
    let cases = [
        Case {
            name: "confirmed",
            epoch: Some(1),
            silence: seconds(1),
            announced: 1,
            lease: true,
            start: true,
        },
        Case {
            name: "unconfirmed past the record cutoff",
            epoch: Some(1),
            silence: seconds(20),
            announced: 1,
            lease: true,
            start: false,
        },
        Case {
            name: "unconfirmed past the renewal cutoff",
            epoch: Some(1),
            silence: seconds(601),
            announced: 1,
            lease: false,
            start: false,
        },
        Case {
            name: "leadership lost",
            epoch: None,
            silence: seconds(1),
            announced: 1,
            lease: false,
            start: false,
        },
        Case {
            name: "the worker has seen a newer holder",
            epoch: Some(1),
            silence: seconds(1),
            announced: 2,
            lease: false,
            start: false,
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        harness.open_task(task(1, "ann", resources(1, 1)));
        if case.epoch.is_none() {
            harness.set_leadership(None);
        }
        harness.now = harness.now + case.silence;
        let mut announcement = announcement_of("w1", LARGE_WORKER);
        announcement.epoch = Epoch(case.announced);
        let answer = harness.announce(announcement).expect(case.name);
        assert_eq!(answer.lease.is_some(), case.lease, "{}", case.name);
        assert_eq!(!harness.record_starts().is_empty(), case.start, "{}", case.name);
        assert_eq!(!harness.take_commands().is_empty(), case.start, "{}", case.name);
    }
}

#[test]
fn a_silent_workers_resources_are_held_until_its_lease_has_expired() {
    struct Case {
        name: &'static str,
        service: bool,
        millis: u64,
        yields: bool,
    }
    let cases = [
        Case { name: "within the lease", service: false, millis: 5_900, yields: false },
        Case { name: "within the clock margin", service: false, millis: 6_900, yields: false },
        Case { name: "past the clock margin", service: false, millis: 7_100, yields: true },
        Case {
            name: "a replica keeps its resources",
            service: true,
            millis: 60_000,
            yields: false,
        },
    ];
    for case in cases {
        let mut harness = match case.service {
            false => harness_running(|_| {}),
            true => harness_running(|open| open.spec.service = Some("folddesk".into())),
        };
        harness.advance(Duration::from_millis(case.millis));
        let yields = harness
            .take_effects()
            .iter()
            .any(|effect| matches!(effect, Effect::RecordYield { .. }));
        assert_eq!(yields, case.yields, "{}", case.name);
        let worker =
            harness.scheduler.explain_worker(harness.now, &"w1".into()).expect("it is known");
        let free = worker.committed == Resources::ZERO;
        assert_eq!(free, case.yields, "{}", case.name);
        assert_eq!(harness.scheduler.status().stranded, usize::from(case.service), "{}", case.name);
    }
}

#[test]
fn a_new_holder_inherits_running_attempts_until_they_are_reported() {
    struct Case {
        name: &'static str,
        /// The worker's epoch and its report of the attempt; none if it is silent.
        announced: Option<(u64, Option<AttemptState>)>,
        seconds: u64,
        want: Option<Phase>,
    }
    let cases = [
        Case {
            name: "silent within the leases of the previous holder",
            announced: None,
            seconds: 606,
            want: Some(Phase::Inherited),
        },
        Case {
            name: "silent past every lease of the previous holder",
            announced: None,
            seconds: 608,
            want: Some(Phase::Yielding),
        },
        Case {
            name: "reported running",
            announced: Some((2, Some(AttemptState::Running))),
            seconds: 1,
            want: Some(Phase::Running),
        },
        Case {
            name: "not listed by a worker that still follows the previous holder",
            announced: Some((1, None)),
            seconds: 1,
            want: Some(Phase::Inherited),
        },
        Case {
            name: "not listed by a worker that follows this epoch",
            announced: Some((2, None)),
            seconds: 1,
            want: Some(Phase::Yielding),
        },
    ];
    for case in cases {
        let mut harness = Harness::without_leadership();
        let mut open = task(1, "ann", resources(2, 2));
        open.state = TaskState::Running {
            attempt: attempt(1, 1).attempt,
            worker: "w1".into(),
            centre: "akl-a".into(),
        };
        open.next = Attempt(2);
        harness.open_task(open);
        harness.set_leadership(Some(2));
        if let Some((epoch, state)) = case.announced {
            let mut announcement = announcement_of("w1", LARGE_WORKER);
            announcement.epoch = Epoch(epoch);
            announcement.tasks.extend(state.map(|state| report(attempt(1, 1), state)));
            harness.announce(announcement).expect("a lease");
        }
        harness.advance(Duration::from_secs(case.seconds));
        let status =
            harness.scheduler.explain_task(harness.now, attempt(1, 1).task).map(|task| task.status);
        let phase = match status {
            Some(TaskStatus::Placed { phase, .. }) => Some(phase),
            Some(TaskStatus::Waiting(_) | TaskStatus::Ending(_)) | None => None,
        };
        assert_eq!(phase, case.want, "{}", case.name);
    }
}

/// Guards against tasks that wait for a lease on a worker that is gone: an announcement that was held
/// up by a partition makes it look alive.
#[test]
fn a_late_announcement_of_a_worker_that_is_gone_attracts_no_starts() {
    struct Case {
        name: &'static str,
        lose: fn(&mut Harness),
    }
    let replaced = |harness: &mut Harness| {
        harness.advance(Duration::from_secs(5));
        let heir = Announcement {
            address: "10.0.0.7:7000".into(),
            ..announcement_of("w3", resources(1, 1))
        };
        harness.announce(heir).expect("a lease");
    };
    let cases = [
        Case {
            name: "its lease has run out",
            lose: |harness| harness.advance(Duration::from_secs(10)),
        },
        Case {
            name: "its lease is about to run out",
            lose: |harness| harness.advance(Duration::from_millis(6_500)),
        },
        Case { name: "another worker has its address", lose: replaced },
    ];
    for case in cases {
        let mut harness = Harness::new();
        let start = harness.now;
        let announcement = |now: Time, tasks: Vec<TaskReport>| Announcement {
            clock: Some(now.since(start)),
            address: "10.0.0.7:7000".into(),
            tasks,
            ..announcement_of("w1", LARGE_WORKER)
        };
        harness.announce(announcement(harness.now, Vec::new())).expect("a lease");
        harness.open_task(task(1, "ann", resources(2, 2)));
        assert_eq!(harness.record_starts(), [(attempt(1, 1), "w1".into())], "{}", case.name);
        harness.advance(Duration::from_secs(1));
        let running = || vec![report(attempt(1, 1), AttemptState::Running)];
        harness.announce(announcement(harness.now, running())).expect("a lease");
        let late = announcement(harness.now, running());
        (case.lose)(&mut harness);
        harness.take_effects();
        let answer = harness.announce(late).expect(case.name);
        harness.open_task(task(2, "bob", resources(2, 2)));
        harness.announce(announcement_of("w2", LARGE_WORKER)).expect("a lease");
        harness.advance(Duration::from_secs(2));
        let started = harness.record_starts();
        assert!(started.contains(&(attempt(2, 1), "w2".into())), "{}: {started:?}", case.name);
        assert_eq!(answer.lease, None, "{}", case.name);
    }
}

/// Guards against ends that are lost, and against workers that get no lease any more, because their
/// announcements count as late.
#[test]
fn ends_in_late_announcements_are_recorded_and_a_stopped_clock_is_recognized() {
    struct Case {
        name: &'static str,
        state: AttemptState,
        ends: usize,
    }
    let completed = AttemptState::Completed { output: Vec::new().into() };
    let cases = [
        Case { name: "running", state: AttemptState::Running, ends: 0 },
        Case { name: "completed", state: completed, ends: 1 },
    ];
    for case in cases {
        let mut harness = Harness::new();
        let start = harness.now;
        let announce = |harness: &mut Harness, stopped: Duration, state: &AttemptState| {
            let announcement = Announcement {
                clock: Some(harness.now.since(start) - stopped),
                tasks: vec![report(attempt(1, 1), state.clone())],
                ..announcement_of("w1", LARGE_WORKER)
            };
            harness.announce(announcement).expect("an answer")
        };
        harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
        harness.open_task(task(1, "ann", resources(2, 2)));
        assert_eq!(harness.record_starts(), [(attempt(1, 1), "w1".into())], "{}", case.name);
        for _ in 0..2 {
            announce(&mut harness, Duration::ZERO, &AttemptState::Running);
            harness.advance(Duration::from_secs(1));
        }
        harness.advance(Duration::from_secs(2));
        harness.take_effects();
        let mut leases = Vec::new();
        for _ in 0..4 {
            let answer = announce(&mut harness, Duration::from_secs(2), &case.state);
            leases.push(answer.lease.is_some());
            harness.advance(answer.interval);
        }
        assert_eq!(leases, [false, false, false, true], "{}", case.name);
        let effects = harness.take_effects();
        let count = |of: fn(&Effect) -> bool| effects.iter().filter(|effect| of(effect)).count();
        let ends = count(|effect| matches!(effect, Effect::RecordEnd { .. }));
        assert_eq!(ends, case.ends, "{}", case.name);
        let yields = count(|effect| matches!(effect, Effect::RecordYield { .. }));
        assert_eq!(yields, 0, "{}: the attempt keeps its lease", case.name);
    }
}

#[test]
fn stops_presumed_from_leases_are_void_under_a_new_epoch() {
    let mut harness = harness_running(|_| {});
    harness.advance(Duration::from_secs(8));
    let phase = |harness: &Harness| match harness
        .scheduler
        .explain_task(harness.now, attempt(1, 1).task)
        .map(|task| task.status)
    {
        Some(TaskStatus::Placed { phase, .. }) => Some(phase),
        Some(TaskStatus::Waiting(_) | TaskStatus::Ending(_)) | None => None,
    };
    assert_eq!(phase(&harness), Some(Phase::Yielding));
    harness.set_leadership(None);
    harness.set_leadership(Some(3));
    // Another holder may have renewed the worker's lease in the meantime.
    assert_eq!(phase(&harness), Some(Phase::Inherited));
    let worker = harness.scheduler.explain_worker(harness.now, &"w1".into()).expect("it is known");
    assert_eq!(worker.committed, resources(2, 2));
}
