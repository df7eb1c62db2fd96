//! How tries and tasks end, and why tasks wait, case by case.

use std::time::Duration;

use hickorylink_lib::{
    command::YieldCause,
    ids::{Attempt, Epoch},
    resources::Resources,
    scheduler::{
        explain::Standing,
        port::{Effect, Event},
        queue::WaitReason,
    },
    task::{EvictionReason, OpenTask, TaskOutcome},
    worker::{AttemptState, WorkerCommand},
};

use crate::desk::{BIG, Desk, announcement, attempt, report, room, task, with};

#[test]
fn a_stopped_try_yields_or_ends() {
    struct Case {
        name: &'static str,
        change: fn(&mut OpenTask),
        cancel: bool,
        state: AttemptState,
        want: Result<YieldCause, TaskOutcome>,
    }
    let failed = || AttemptState::Failed { reason: "torn".into() };
    let unknown = TaskOutcome::Unknown {
        reason: "its worker stopped it or was lost, and it may not run twice".into(),
    };
    let once: fn(&mut OpenTask) = |open| open.spec.idempotent = false;
    let cases = [
        Case {
            name: "its lease ran out",
            change: |_| {},
            cancel: false,
            state: AttemptState::Stopped { checkpoint: None },
            want: Ok(YieldCause::Evicted(EvictionReason::LeaseExpired)),
        },
        Case {
            name: "it may not run twice",
            change: once,
            cancel: false,
            state: AttemptState::Stopped { checkpoint: None },
            want: Err(unknown),
        },
        Case {
            name: "it never started and may not run twice",
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
            want: Ok(YieldCause::Failed { reason: "torn".into() }),
        },
        Case {
            name: "it failed too often",
            change: |open| open.failures = 3,
            cancel: false,
            state: failed(),
            want: Err(TaskOutcome::Failed { reason: "torn".into() }),
        },
        Case {
            name: "it failed and may not run twice",
            change: once,
            cancel: false,
            state: failed(),
            want: Err(TaskOutcome::Failed { reason: "torn".into() }),
        },
        Case {
            name: "cancelled",
            change: |_| {},
            cancel: true,
            state: AttemptState::Stopped { checkpoint: None },
            want: Err(TaskOutcome::Cancelled),
        },
        Case {
            name: "completed before the cancellation came",
            change: |_| {},
            cancel: true,
            state: AttemptState::Completed { output: Vec::new().into() },
            want: Err(TaskOutcome::Completed { output: Vec::new().into() }),
        },
    ];
    for case in cases {
        let mut desk = Desk::new();
        desk.announce(announcement("w1", BIG)).expect("a lease");
        let mut open = task(1, "ann", room(2, 2));
        (case.change)(&mut open);
        desk.open(open);
        // A task that failed before waits for its next try.
        desk.pass(Duration::from_secs(9));
        desk.announce(announcement("w1", BIG)).expect("a lease");
        desk.rest();
        desk.event(Event::StartRecorded { attempt: attempt(1, 1) });
        assert_eq!(desk.commands().len(), 1, "{}", case.name);
        desk.announce(with(AttemptState::Running)).expect("a lease");
        if case.cancel {
            desk.event(Event::TaskCancelled { task: attempt(1, 1).task });
            desk.event(Event::TaskCancelled { task: attempt(1, 1).task });
            let stops = desk.commands();
            let stops = stops.iter().filter(|(_, sent)| matches!(sent, WorkerCommand::Stop { .. }));
            assert_eq!(stops.count(), 1, "{}: one stop for two cancellations", case.name);
        }
        desk.rest();
        desk.announce(with(case.state.clone())).expect("a lease");
        desk.announce(with(case.state)).expect("a duplicate does no harm");
        let epoch = Epoch(1);
        let want = match case.want {
            Ok(cause) => {
                Effect::RecordYield { epoch, attempt: attempt(1, 1), checkpoint: None, cause }
            }
            Err(outcome) => Effect::RecordEnd { epoch, attempt: attempt(1, 1), outcome },
        };
        assert_eq!(desk.rest(), [want], "{}", case.name);
        let worker = desk.scheduler.explain_worker(desk.now, &"w1".into()).expect("it is known");
        assert_eq!(worker.committed, Resources::ZERO, "{}", case.name);
    }
}

#[test]
fn what_a_worker_should_not_run_is_stopped() {
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
            name: "a task nobody knows",
            reported: (9, 1),
            state: AttemptState::Running,
            stopped: true,
            acknowledged: false,
        },
        Case {
            name: "the end of a task nobody knows",
            reported: (9, 1),
            state: ended(),
            stopped: false,
            acknowledged: true,
        },
        Case {
            name: "an older try",
            reported: (1, 1),
            state: AttemptState::Running,
            stopped: true,
            acknowledged: false,
        },
        Case {
            name: "the end of an older try",
            reported: (1, 1),
            state: ended(),
            stopped: false,
            acknowledged: true,
        },
    ];
    for case in cases {
        let mut desk = Desk::new();
        let mut open = task(1, "ann", room(2, 2));
        open.next = Attempt(2);
        desk.pass(desk.config.settle);
        desk.announce(announcement("w1", BIG)).expect("a lease");
        desk.open(open);
        assert_eq!(desk.starts(), [(attempt(1, 2), "w1".into())], "{}", case.name);
        desk.rest();
        let mut said = announcement("w2", BIG);
        let reported = attempt(case.reported.0, case.reported.1);
        said.tasks = vec![report(reported, case.state)];
        let answer = desk.announce(said).expect("a lease");
        assert_eq!(answer.acknowledged.contains(&reported), case.acknowledged, "{}", case.name);
        let stop = desk.commands().iter().any(|(worker, sent)| {
            worker.as_str() == "w2"
                && matches!(sent, WorkerCommand::Stop { attempt, .. } if *attempt == reported)
        });
        assert_eq!(stop, case.stopped, "{}", case.name);
        assert!(
            !desk.rest().iter().any(|effect| matches!(effect, Effect::RecordEnd { .. })),
            "{}: nothing is recorded for it",
            case.name
        );
    }
}

#[test]
fn a_job_that_can_never_run_ends_with_the_nearest_that_could() {
    struct Case {
        name: &'static str,
        size: Resources,
        seconds: u64,
        want: Option<&'static str>,
    }
    let cases = [
        Case { name: "it fits", size: room(16, 64), seconds: 20, want: None },
        Case {
            name: "larger than any worker",
            size: room(17, 1),
            seconds: 20,
            want: Some("no worker is large enough; the nearest has 16.000 processors, 65536 MiB"),
        },
        Case { name: "too early to say", size: room(17, 1), seconds: 3, want: None },
        Case {
            name: "larger than its plan allows",
            size: room(20_000, 1),
            seconds: 20,
            want: Some("its customer's plan allows at most guaranteed 0.000 processors"),
        },
    ];
    for case in cases {
        let mut desk = Desk::new();
        desk.announce(announcement("w1", BIG)).expect("a lease");
        desk.open(task(1, "ann", case.size));
        desk.pass(Duration::from_secs(case.seconds));
        let reasons: Vec<_> = desk
            .rest()
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
fn a_wave_of_cancellations_loses_no_stop() {
    const TASKS: u64 = 1_000;
    let mut desk = Desk::new();
    let huge = room(2_000, 2_000);
    desk.announce(announcement("w1", huge)).expect("a lease");
    for id in 1..=TASKS {
        desk.open(task(id, "ann", room(1, 1)));
    }
    // Every third try is still unrecorded when the wave comes.
    let asked = desk.asked_starts();
    assert_eq!(asked.len() as u64, TASKS);
    let (late, early): (Vec<_>, Vec<_>) =
        asked.into_iter().map(|(attempt, _)| attempt).partition(|attempt| attempt.task.0 % 3 == 0);
    for attempt in &early {
        desk.event(Event::StartRecorded { attempt: *attempt });
    }
    desk.rest();
    for id in 1..=TASKS {
        desk.event(Event::TaskCancelled { task: attempt(id, 1).task });
        desk.event(Event::TaskCancelled { task: attempt(id, 1).task });
    }
    assert_eq!(desk.commands().len(), early.len(), "one stop for each try that was sent");
    for attempt in &late {
        desk.event(Event::StartRecorded { attempt: *attempt });
    }
    assert_eq!(desk.commands(), [], "no start leaves for a cancelled task");
    let mut said = announcement("w1", huge);
    said.tasks = early
        .iter()
        .map(|attempt| report(*attempt, AttemptState::Stopped { checkpoint: None }))
        .collect();
    desk.announce(said).expect("a lease");
    let ends = desk.rest();
    let cancelled = ends.iter().filter(|effect| {
        matches!(effect, Effect::RecordEnd { outcome: TaskOutcome::Cancelled, .. })
    });
    assert_eq!(cancelled.count() as u64, TASKS);
    let worker = desk.scheduler.explain_worker(desk.now, &"w1".into()).expect("it is known");
    assert_eq!((worker.committed, worker.tries.len()), (Resources::ZERO, 0));
}

#[test]
fn every_wait_has_a_reason() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut Desk),
        want: WaitReason,
    }
    let cases = [
        Case {
            name: "no room",
            prepare: |desk| desk.open(task(1, "ann", room(2, 2))),
            want: WaitReason::Room,
        },
        Case {
            name: "behind another",
            prepare: |desk| {
                desk.open(task(0, "ann", room(2, 2)));
                desk.open(task(1, "ann", room(2, 2)));
            },
            want: WaitReason::Behind { task: attempt(0, 1).task },
        },
        Case {
            name: "no plan",
            prepare: |desk| desk.open(task(1, "eve", room(2, 2))),
            want: WaitReason::NoPlan,
        },
        Case {
            name: "too much",
            prepare: |desk| desk.open(task(1, "ann", room(20_000, 2))),
            want: WaitReason::Allowance,
        },
        Case {
            name: "failed just now",
            prepare: |desk| {
                let mut open = task(1, "ann", room(2, 2));
                open.failures = 1;
                desk.open(open);
            },
            want: WaitReason::Delay,
        },
        Case {
            name: "not the holder",
            prepare: |desk| {
                desk.open(task(1, "ann", room(2, 2)));
                desk.hold(None);
            },
            want: WaitReason::NotHolder,
        },
        Case {
            name: "the council is out of reach",
            prepare: |desk| {
                desk.open(task(1, "ann", room(2, 2)));
                desk.now = desk.now + Duration::from_secs(60);
            },
            want: WaitReason::Unconfirmed,
        },
    ];
    for case in cases {
        let mut desk = Desk::new();
        (case.prepare)(&mut desk);
        let explanation = desk.scheduler.explain_task(desk.now, attempt(1, 1).task);
        let standing = explanation.map(|explanation| explanation.standing);
        assert_eq!(standing, Some(Standing::Waiting(case.want)), "{}", case.name);
    }
}
