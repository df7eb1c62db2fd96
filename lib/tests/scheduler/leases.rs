//! Leases, silence and epochs, case by case.

use std::time::Duration;

use hickorylink_lib::{
    ids::{Attempt, Epoch, Incarnation},
    resources::Resources,
    scheduler::{charts::Phase, explain::Standing, port::Effect},
    task::TaskState,
    worker::{Announcement, AttemptState},
};

use crate::desk::{BIG, Desk, announcement, attempt, report, room, running, task};

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
        open.next = Attempt(2);
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
