//! Leases, announcements, leaving workers, capacity and the end of tasks, case by case.

use std::time::Duration;

use hickorylink_lib::{
    command::YieldCause,
    ids::{Epoch, Incarnation},
    resources::Resources,
    scheduler::{
        charts::{Health, Phase},
        explain::Standing,
        port::{Effect, Event},
        queue::WaitReason,
    },
    task::{EvictionReason, OpenTask, TaskOutcome, TaskState},
    worker::{Announcement, AttemptState, WorkerCommand},
};

use crate::desk::{Desk, announcement, attempt, report, room, task};

const BIG: Resources = Resources { millicores: 16_000, memory_mib: 65_536, accelerators: 0 };

#[test]
fn nonsense_is_refused_with_a_reason() {
    struct Case {
        name: &'static str,
        change: fn(&mut Announcement),
        want: &'static str,
    }
    let cases = [
        Case { name: "no name", change: |said| said.worker = "".into(), want: "name is empty" },
        Case { name: "no address", change: |said| said.address.clear(), want: "address" },
        Case {
            name: "another data centre",
            change: |said| said.centre = "hlz-c".into(),
            want: "in data centre \"hlz-c\"",
        },
        Case {
            name: "no capacity",
            change: |said| said.capacity = Resources::ZERO,
            want: "no processors or no memory",
        },
        Case {
            name: "absurd capacity",
            change: |said| said.capacity.memory_mib = u64::MAX,
            want: "more than any worker has",
        },
        Case {
            name: "an earlier boot",
            change: |said| said.incarnation = Incarnation(0),
            want: "incarnation 0 is older than 1",
        },
        Case {
            name: "too many tasks",
            change: |said| {
                said.tasks = vec![report(attempt(1, 1), AttemptState::Running); 10_001];
            },
            want: "more than 10000 tasks",
        },
    ];
    for case in cases {
        let mut desk = Desk::new();
        desk.announce(announcement("w1", BIG)).expect("the worker is welcome");
        let mut said = announcement("w1", BIG);
        (case.change)(&mut said);
        let refusal = desk.announce(said).expect_err(case.name);
        assert!(refusal.contains(case.want), "{}: {refusal}", case.name);
    }
}

#[test]
fn leases_and_starts_end_with_the_councils_word() {
    struct Case {
        name: &'static str,
        epoch: Option<u64>,
        /// Since the last confirmation.
        silence: Duration,
        said: u64,
        lease: bool,
        start: bool,
    }
    let seconds = Duration::from_secs;
    let cases = [
        Case {
            name: "held",
            epoch: Some(1),
            silence: seconds(1),
            said: 1,
            lease: true,
            start: true,
        },
        Case {
            name: "unconfirmed",
            epoch: Some(1),
            silence: seconds(20),
            said: 1,
            lease: true,
            start: false,
        },
        Case {
            name: "cut off for good",
            epoch: Some(1),
            silence: seconds(601),
            said: 1,
            lease: false,
            start: false,
        },
        Case {
            name: "lost",
            epoch: None,
            silence: seconds(1),
            said: 1,
            lease: false,
            start: false,
        },
        Case {
            name: "a newer holder was seen",
            epoch: Some(1),
            silence: seconds(1),
            said: 2,
            lease: false,
            start: false,
        },
    ];
    for case in cases {
        let mut desk = Desk::new();
        desk.open(task(1, "ann", room(1, 1)));
        if case.epoch.is_none() {
            desk.hold(None);
        }
        desk.now = desk.now + case.silence;
        let mut said = announcement("w1", BIG);
        said.epoch = Epoch(case.said);
        let answer = desk.announce(said).expect(case.name);
        assert_eq!(answer.lease.is_some(), case.lease, "{}", case.name);
        assert_eq!(!desk.starts().is_empty(), case.start, "{}", case.name);
        assert_eq!(!desk.commands().is_empty(), case.start, "{}", case.name);
    }
}

/// A desk with a task running on "w1".
fn running(change: fn(&mut OpenTask)) -> Desk {
    let mut desk = Desk::new();
    desk.announce(announcement("w1", BIG)).expect("a lease");
    let mut open = task(1, "ann", room(2, 2));
    change(&mut open);
    desk.open(open);
    assert_eq!(desk.starts(), [(attempt(1, 1), "w1".into())]);
    desk.announce(with(AttemptState::Running)).expect("a lease");
    desk.rest();
    desk
}

/// What "w1" says of try 1 of task 1.
fn with(state: AttemptState) -> Announcement {
    let mut said = announcement("w1", BIG);
    said.tasks = vec![report(attempt(1, 1), state)];
    said
}

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
            desk.event(Event::Cancelled { task: attempt(1, 1).task });
            desk.event(Event::Cancelled { task: attempt(1, 1).task });
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
fn a_leaving_worker_gets_no_work_and_is_emptied() {
    struct Case {
        name: &'static str,
        idempotent: bool,
        stopped: bool,
    }
    let cases = [
        Case { name: "it can run elsewhere", idempotent: true, stopped: true },
        Case { name: "it may not run twice", idempotent: false, stopped: false },
    ];
    for case in cases {
        let change: fn(&mut OpenTask) = match case.idempotent {
            true => |_| {},
            false => |open| open.spec.idempotent = false,
        };
        let mut desk = running(change);
        let mut said = with(AttemptState::Running);
        said.leaving = true;
        desk.announce(said).expect("a lease, so that its tries can end");
        let stop = matches!(&desk.commands()[..], [(_, WorkerCommand::Stop { .. })]);
        assert_eq!(stop, case.stopped, "{}", case.name);
        desk.open(task(2, "bob", room(1, 1)));
        // An announcement from before it left arrives late.
        desk.announce(with(AttemptState::Running)).expect("a lease");
        assert_eq!(desk.starts(), [], "{}: no new work", case.name);
        desk.announce(announcement("w2", BIG)).expect("a lease");
        assert_eq!(desk.starts(), [(attempt(2, 1), "w2".into())], "{}", case.name);
    }
}

#[test]
fn capacity_shrinks_at_once_and_grows_late() {
    struct Case {
        name: &'static str,
        said: Resources,
        /// How long it is said.
        seconds: u64,
        capacity: Resources,
        stops: bool,
    }
    let cases = [
        Case {
            name: "still fits",
            said: room(4, 8),
            seconds: 2,
            capacity: room(4, 8),
            stops: false,
        },
        Case { name: "too small", said: room(1, 8), seconds: 2, capacity: room(1, 8), stops: true },
        Case {
            name: "grown just now",
            said: room(32, 128),
            seconds: 2,
            capacity: BIG,
            stops: false,
        },
        Case {
            name: "grown for long",
            said: room(32, 128),
            seconds: 10,
            capacity: room(32, 128),
            stops: false,
        },
    ];
    for case in cases {
        let mut desk = running(|_| {});
        for _ in 0..case.seconds / 2 {
            let mut said = with(AttemptState::Running);
            said.capacity = case.said;
            desk.announce(said).expect("a lease");
            desk.pass(Duration::from_secs(2));
        }
        let worker = desk.scheduler.explain_worker(desk.now, &"w1".into()).expect("it is known");
        assert_eq!(worker.capacity, case.capacity, "{}", case.name);
        let stops =
            desk.commands().iter().any(|(_, sent)| matches!(sent, WorkerCommand::Stop { .. }));
        assert_eq!(stops, case.stops, "{}", case.name);
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
        open.next = hickorylink_lib::ids::Attempt(2);
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
fn a_silent_workers_room_is_held_until_its_lease_has_surely_run_out() {
    struct Case {
        name: &'static str,
        service: bool,
        millis: u64,
        yields: bool,
    }
    let cases = [
        Case { name: "within the lease", service: false, millis: 5_900, yields: false },
        Case { name: "within the margin", service: false, millis: 6_900, yields: false },
        Case { name: "past the margin", service: false, millis: 7_100, yields: true },
        Case { name: "a replica serves on", service: true, millis: 60_000, yields: false },
    ];
    for case in cases {
        let mut desk = match case.service {
            false => running(|_| {}),
            true => running(|open| open.spec.service = Some("folddesk".into())),
        };
        desk.pass(Duration::from_millis(case.millis));
        let yields = desk.rest().iter().any(|effect| matches!(effect, Effect::RecordYield { .. }));
        assert_eq!(yields, case.yields, "{}", case.name);
        let worker = desk.scheduler.explain_worker(desk.now, &"w1".into()).expect("it is known");
        let free = worker.committed == Resources::ZERO;
        assert_eq!(free, case.yields, "{}", case.name);
        assert_eq!(desk.scheduler.status().stranded, usize::from(case.service), "{}", case.name);
    }
}

#[test]
fn a_new_holder_learns_what_runs_before_it_acts() {
    struct Case {
        name: &'static str,
        /// What the worker says, and after how many seconds; nothing if it is silent.
        said: Option<(u64, Option<AttemptState>)>,
        seconds: u64,
        want: Option<Phase>,
    }
    let cases = [
        Case { name: "silent for long", said: None, seconds: 606, want: Some(Phase::Inherited) },
        Case {
            name: "silent past every lease of the holder before",
            said: None,
            seconds: 608,
            want: Some(Phase::Yielding),
        },
        Case {
            name: "it runs",
            said: Some((2, Some(AttemptState::Running))),
            seconds: 1,
            want: Some(Phase::Running),
        },
        Case {
            name: "unknown to a worker that still obeys the holder before",
            said: Some((1, None)),
            seconds: 1,
            want: Some(Phase::Inherited),
        },
        Case {
            name: "unknown to a worker that obeys this epoch",
            said: Some((2, None)),
            seconds: 1,
            want: Some(Phase::Yielding),
        },
    ];
    for case in cases {
        let mut desk = Desk::idle();
        let mut open = task(1, "ann", room(2, 2));
        open.state = TaskState::Running {
            attempt: attempt(1, 1).attempt,
            worker: "w1".into(),
            centre: "akl-a".into(),
        };
        open.next = hickorylink_lib::ids::Attempt(2);
        desk.open(open);
        desk.hold(Some(2));
        if let Some((epoch, state)) = case.said {
            let mut said = announcement("w1", BIG);
            said.epoch = Epoch(epoch);
            said.tasks.extend(state.map(|state| report(attempt(1, 1), state)));
            desk.announce(said).expect("a lease");
        }
        desk.pass(Duration::from_secs(case.seconds));
        let standing =
            desk.scheduler.explain_task(desk.now, attempt(1, 1).task).map(|task| task.standing);
        let phase = match standing {
            Some(Standing::Placed { phase, .. }) => Some(phase),
            Some(Standing::Waiting(_) | Standing::Ending(_)) | None => None,
        };
        assert_eq!(phase, case.want, "{}", case.name);
    }
}

#[test]
fn what_followed_from_leases_is_forgotten_with_the_epoch() {
    let mut desk = running(|_| {});
    desk.pass(Duration::from_secs(8));
    let phase = |desk: &Desk| match desk
        .scheduler
        .explain_task(desk.now, attempt(1, 1).task)
        .map(|task| task.standing)
    {
        Some(Standing::Placed { phase, .. }) => Some(phase),
        Some(Standing::Waiting(_) | Standing::Ending(_)) | None => None,
    };
    assert_eq!(phase(&desk), Some(Phase::Yielding));
    desk.hold(None);
    desk.hold(Some(3));
    // Another holder may have renewed the worker's lease in the meantime.
    assert_eq!(phase(&desk), Some(Phase::Inherited));
    let worker = desk.scheduler.explain_worker(desk.now, &"w1".into()).expect("it is known");
    assert_eq!(worker.committed, room(2, 2));
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
        desk.event(Event::Cancelled { task: attempt(id, 1).task });
        desk.event(Event::Cancelled { task: attempt(id, 1).task });
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

#[test]
fn a_worker_that_fails_everything_is_set_aside() {
    struct Case {
        name: &'static str,
        /// Whether a try on this worker fails.
        fails: fn(&str) -> bool,
        want: Health,
    }
    let cases = [
        Case { name: "one worker", fails: |worker| worker == "w0", want: Health::Quarantined },
        Case { name: "the job, everywhere", fails: |_| true, want: Health::Fresh },
        Case { name: "nothing", fails: |_| false, want: Health::Healthy },
    ];
    for case in cases {
        let mut desk = fleet_of(6);
        let mut next = 0;
        for _ in 0..20 {
            round(&mut desk, &mut next, 6, case.fails);
        }
        let health = |desk: &Desk| {
            let worker = desk.scheduler.explain_worker(desk.now, &"w0".into());
            worker.expect("it is known").health
        };
        assert_eq!(health(&desk), case.want, "{}", case.name);
        if case.want == Health::Quarantined {
            // It is tried with one task after a while, and taken back once that is done.
            for _ in 0..40 {
                round(&mut desk, &mut next, 12, |_| false);
            }
            assert_eq!(health(&desk), Health::Healthy, "{}", case.name);
        }
    }
}

fn fleet_of(workers: u64) -> Desk {
    let mut desk = Desk::new();
    for at in 0..workers {
        desk.announce(announcement(&format!("w{at}"), room(1, 1))).expect("a lease");
    }
    desk
}

/// Opens tasks, and lets all that are placed end a second later.
fn round(desk: &mut Desk, next: &mut u64, tasks: u64, fails: fn(&str) -> bool) {
    for _ in 0..tasks {
        *next += 1;
        desk.open(task(*next, "ann", room(1, 1)));
    }
    let started = desk.starts();
    desk.pass(Duration::from_secs(1));
    for worker in (0..6).map(|at| format!("w{at}")) {
        let mut said = announcement(&worker, room(1, 1));
        said.tasks = started
            .iter()
            .filter(|(_, place)| place.as_str() == worker)
            .map(|(attempt, _)| match fails(&worker) {
                true => report(*attempt, AttemptState::Failed { reason: "torn".into() }),
                false => report(*attempt, AttemptState::Completed { output: Vec::new().into() }),
            })
            .collect();
        desk.announce(said).expect("a lease");
    }
    let ended: Vec<_> = started.iter().map(|(attempt, _)| *attempt).collect();
    for attempt in ended {
        desk.event(Event::EndRecorded { attempt });
    }
    // What was placed in the meantime stays for the next round.
    desk.commands();
}
