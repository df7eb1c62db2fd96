//! How attempts and tasks end, and why tasks wait.

use std::time::Duration;

use hickorylink_lib::{
    command::YieldCause,
    ids::{Attempt, Epoch},
    resources::Resources,
    scheduler::{
        explain::TaskStatus,
        port::{Effect, Event},
        queue::WaitReason,
    },
    task::{EvictionReason, OpenTask, TaskOutcome},
    worker::{AttemptState, WorkerCommand},
};

use crate::harness::{
    Harness, LARGE_WORKER, announcement_of, announcement_with, attempt, report, resources, task,
};

#[test]
fn a_stopped_attempt_yields_or_ends_its_task() {
    struct Case {
        name: &'static str,
        change: fn(&mut OpenTask),
        cancel: bool,
        state: AttemptState,
        want: Result<YieldCause, TaskOutcome>,
    }
    let failed = || AttemptState::Failed { reason: "out of memory".into() };
    let unknown = TaskOutcome::Unknown {
        reason: "its worker stopped it or was lost, and it may not run twice".into(),
    };
    let once: fn(&mut OpenTask) = |open| open.spec.idempotent = false;
    let cases = [
        Case {
            name: "its lease expired",
            change: |_| {},
            cancel: false,
            state: AttemptState::Stopped { checkpoint: None },
            want: Ok(YieldCause::Evicted(EvictionReason::LeaseExpired)),
        },
        Case {
            name: "not idempotent",
            change: once,
            cancel: false,
            state: AttemptState::Stopped { checkpoint: None },
            want: Err(unknown),
        },
        Case {
            name: "never started, not idempotent",
            change: once,
            cancel: false,
            state: AttemptState::NotStarted { reason: "full".into() },
            want: Ok(YieldCause::NotStarted),
        },
        Case {
            name: "it failed",
            change: |_| {},
            cancel: false,
            state: failed(),
            want: Ok(YieldCause::Failed { reason: "out of memory".into() }),
        },
        Case {
            name: "it failed too often",
            change: |open| open.failures = 3,
            cancel: false,
            state: failed(),
            want: Err(TaskOutcome::Failed { reason: "out of memory".into() }),
        },
        Case {
            name: "failed, not idempotent",
            change: once,
            cancel: false,
            state: failed(),
            want: Err(TaskOutcome::Failed { reason: "out of memory".into() }),
        },
        Case {
            name: "cancelled",
            change: |_| {},
            cancel: true,
            state: AttemptState::Stopped { checkpoint: None },
            want: Err(TaskOutcome::Cancelled),
        },
        Case {
            name: "completed before the cancellation",
            change: |_| {},
            cancel: true,
            state: AttemptState::Completed { output: Vec::new().into() },
            want: Err(TaskOutcome::Completed { output: Vec::new().into() }),
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
        let mut open = task(1, "ann", resources(2, 2));
        (case.change)(&mut open);
        harness.open_task(open);
        // A task that failed before is delayed.
        harness.advance(Duration::from_secs(9));
        harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
        harness.take_effects();
        harness.event(Event::StartRecorded { attempt: attempt(1, 1) });
        assert_eq!(harness.take_commands().len(), 1, "{}", case.name);
        harness.announce(announcement_with(AttemptState::Running)).expect("a lease");
        if case.cancel {
            harness.event(Event::TaskCancelled { task: attempt(1, 1).task });
            harness.event(Event::TaskCancelled { task: attempt(1, 1).task });
            let stops = harness.take_commands();
            let stops = stops.iter().filter(|(_, sent)| matches!(sent, WorkerCommand::Stop { .. }));
            assert_eq!(stops.count(), 1, "{}: one stop for two cancellations", case.name);
        }
        harness.take_effects();
        harness.announce(announcement_with(case.state.clone())).expect("a lease");
        harness.announce(announcement_with(case.state)).expect("a duplicate does no harm");
        let epoch = Epoch(1);
        let want = match case.want {
            Ok(cause) => {
                Effect::RecordYield { epoch, attempt: attempt(1, 1), checkpoint: None, cause }
            }
            Err(outcome) => Effect::RecordEnd { epoch, attempt: attempt(1, 1), outcome },
        };
        assert_eq!(harness.take_effects(), [want], "{}", case.name);
        let worker =
            harness.scheduler.explain_worker(harness.now, &"w1".into()).expect("it is known");
        assert_eq!(worker.committed, Resources::ZERO, "{}", case.name);
    }
}

#[test]
fn stale_attempts_are_stopped_or_acknowledged() {
    struct Case {
        name: &'static str,
        reported: (u64, u32),
        state: AttemptState,
        stopped: bool,
        acknowledged: bool,
    }
    let ended = || AttemptState::Completed { output: Vec::new().into() };
    let cases = [
        Case {
            name: "an unknown task",
            reported: (9, 1),
            state: AttemptState::Running,
            stopped: true,
            acknowledged: false,
        },
        Case {
            name: "the end of an unknown task",
            reported: (9, 1),
            state: ended(),
            stopped: false,
            acknowledged: true,
        },
        Case {
            name: "an older attempt",
            reported: (1, 1),
            state: AttemptState::Running,
            stopped: true,
            acknowledged: false,
        },
        Case {
            name: "the end of an older attempt",
            reported: (1, 1),
            state: ended(),
            stopped: false,
            acknowledged: true,
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        let mut open = task(1, "ann", resources(2, 2));
        open.next = Attempt(2);
        harness.advance(harness.config.settle_time);
        harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
        harness.open_task(open);
        assert_eq!(harness.record_starts(), [(attempt(1, 2), "w1".into())], "{}", case.name);
        harness.take_effects();
        let mut announcement = announcement_of("w2", LARGE_WORKER);
        let reported = attempt(case.reported.0, case.reported.1);
        announcement.tasks = vec![report(reported, case.state)];
        let answer = harness.announce(announcement).expect("a lease");
        assert_eq!(answer.acknowledged.contains(&reported), case.acknowledged, "{}", case.name);
        let stop = harness.take_commands().iter().any(|(worker, sent)| {
            worker.as_str() == "w2"
                && matches!(sent, WorkerCommand::Stop { attempt, .. } if *attempt == reported)
        });
        assert_eq!(stop, case.stopped, "{}", case.name);
        assert!(
            !harness.take_effects().iter().any(|effect| matches!(effect, Effect::RecordEnd { .. })),
            "{}: nothing is recorded for it",
            case.name
        );
    }
}

#[test]
fn a_task_that_can_never_run_ends_with_the_nearest_possible_size() {
    struct Case {
        name: &'static str,
        size: Resources,
        seconds: u64,
        want: Option<&'static str>,
    }
    let cases = [
        Case { name: "it fits", size: resources(16, 64), seconds: 20, want: None },
        Case {
            name: "larger than any worker",
            size: resources(17, 1),
            seconds: 20,
            want: Some("no worker is large enough; the nearest has 16.000 processors, 65536 MiB"),
        },
        Case {
            name: "before all workers had time to announce themselves",
            size: resources(17, 1),
            seconds: 3,
            want: None,
        },
        Case {
            name: "larger than its plan allows",
            size: resources(20_000, 1),
            seconds: 20,
            want: Some("its customer's plan allows at most guaranteed 0.000 processors"),
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        harness.announce(announcement_of("w1", LARGE_WORKER)).expect("a lease");
        harness.open_task(task(1, "ann", case.size));
        harness.advance(Duration::from_secs(case.seconds));
        let reasons: Vec<_> = harness
            .take_effects()
            .into_iter()
            .filter_map(|effect| match effect {
                Effect::RecordEnd { outcome: TaskOutcome::Impossible { reason }, .. } => {
                    Some(reason)
                }
                Effect::RecordEnd { .. }
                | Effect::RecordStart { .. }
                | Effect::RecordYield { .. }
                | Effect::Command { .. }
                | Effect::Answer { .. } => None,
            })
            .collect();
        assert_eq!(!reasons.is_empty(), case.want.is_some(), "{}: {reasons:?}", case.name);
        if let Some(want) = case.want {
            assert!(reasons[0].contains(want), "{}: {reasons:?}", case.name);
        }
    }
}

#[test]
fn mass_cancellation_loses_no_stop() {
    const TASKS: u64 = 1_000;
    let mut harness = Harness::new();
    let huge = resources(2_000, 2_000);
    harness.announce(announcement_of("w1", huge)).expect("a lease");
    for id in 1..=TASKS {
        harness.open_task(task(id, "ann", resources(1, 1)));
    }
    // Every third attempt is still unrecorded when the cancellations arrive.
    let proposed = harness.proposed_starts();
    assert_eq!(proposed.len() as u64, TASKS);
    let (late, early): (Vec<_>, Vec<_>) = proposed
        .into_iter()
        .map(|(attempt, _)| attempt)
        .partition(|attempt| attempt.task.0 % 3 == 0);
    for attempt in &early {
        harness.event(Event::StartRecorded { attempt: *attempt });
    }
    harness.take_effects();
    for id in 1..=TASKS {
        harness.event(Event::TaskCancelled { task: attempt(id, 1).task });
        harness.event(Event::TaskCancelled { task: attempt(id, 1).task });
    }
    assert_eq!(harness.take_commands().len(), early.len(), "one stop for each start that was sent");
    for attempt in &late {
        harness.event(Event::StartRecorded { attempt: *attempt });
    }
    assert_eq!(harness.take_commands(), [], "no start is sent for a cancelled task");
    let mut announcement = announcement_of("w1", huge);
    announcement.tasks = early
        .iter()
        .map(|attempt| report(*attempt, AttemptState::Stopped { checkpoint: None }))
        .collect();
    harness.announce(announcement).expect("a lease");
    let ends = harness.take_effects();
    let cancelled = ends.iter().filter(|effect| {
        matches!(effect, Effect::RecordEnd { outcome: TaskOutcome::Cancelled, .. })
    });
    assert_eq!(cancelled.count() as u64, TASKS);
    let worker = harness.scheduler.explain_worker(harness.now, &"w1".into()).expect("it is known");
    assert_eq!((worker.committed, worker.attempts.len()), (Resources::ZERO, 0));
}

#[test]
fn every_wait_has_a_reason() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut Harness),
        want: WaitReason,
    }
    let cases = [
        Case {
            name: "no worker has free capacity",
            prepare: |harness| harness.open_task(task(1, "ann", resources(2, 2))),
            want: WaitReason::Room,
        },
        Case {
            name: "behind an earlier task",
            prepare: |harness| {
                harness.open_task(task(0, "ann", resources(2, 2)));
                harness.open_task(task(1, "ann", resources(2, 2)));
            },
            want: WaitReason::Behind { task: attempt(0, 1).task },
        },
        Case {
            name: "no plan",
            prepare: |harness| harness.open_task(task(1, "eve", resources(2, 2))),
            want: WaitReason::NoPlan,
        },
        Case {
            name: "beyond the allowance",
            prepare: |harness| harness.open_task(task(1, "ann", resources(20_000, 2))),
            want: WaitReason::Allowance,
        },
        Case {
            name: "failed just now",
            prepare: |harness| {
                let mut open = task(1, "ann", resources(2, 2));
                open.failures = 1;
                harness.open_task(open);
            },
            want: WaitReason::Delay,
        },
        Case {
            name: "not the holder",
            prepare: |harness| {
                harness.open_task(task(1, "ann", resources(2, 2)));
                harness.set_leadership(None);
            },
            want: WaitReason::NotHolder,
        },
        Case {
            name: "leadership unconfirmed",
            prepare: |harness| {
                harness.open_task(task(1, "ann", resources(2, 2)));
                harness.now = harness.now + Duration::from_secs(60);
            },
            want: WaitReason::Unconfirmed,
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        (case.prepare)(&mut harness);
        let explanation = harness.scheduler.explain_task(harness.now, attempt(1, 1).task);
        let status = explanation.map(|explanation| explanation.status);
        assert_eq!(status, Some(TaskStatus::Waiting(case.want)), "{}", case.name);
    }
}
