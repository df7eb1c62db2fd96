//! Tasks: submissions, tries, what stops them, cancellations.

use hickorylink_lib::{
    command::{
        Refusal::{Ended, KeyReused, NoSuchCustomer, NoSuchTask, StaleAttempt},
        Reply, YieldCause,
    },
    ids::{Epoch, TaskId},
    ledger::lifecycle,
    task::{EvictionReason, TaskOutcome, TaskState},
};

use crate::support::{
    Case, TestLedger, cancel, completed, end, evicted, failed, grant, lease_expired, refused,
    release, run, stale, start, submit, submitted, yields,
};

#[test]
fn the_chart_is_whole() {
    assert_eq!(lifecycle::TASK_CHART.initial(), lifecycle::Phase::Queued);
}

#[test]
fn tries_start_once_under_the_newest_epoch() {
    let task = || (submit("store", "a", true), submitted(1));
    run(vec![
        Case {
            name: "a start that comes again",
            steps: vec![
                task(),
                (start("akl-a", 1, (1, 1)), Reply::Done),
                (start("akl-a", 1, (1, 1)), Reply::Done),
            ],
        },
        Case {
            name: "a start in two data centres",
            steps: vec![
                task(),
                (start("akl-a", 1, (1, 1)), Reply::Done),
                (start("akl-b", 1, (1, 1)), refused(StaleAttempt)),
                (start("akl-b", 1, (1, 2)), refused(StaleAttempt)),
            ],
        },
        Case {
            name: "a start under an old epoch",
            steps: vec![
                task(),
                (grant("akl-a", 3, 1), Reply::Granted { epoch: Epoch(2) }),
                (start("akl-a", 1, (1, 1)), stale(2)),
                (start("akl-a", 2, (1, 1)), Reply::Done),
            ],
        },
        Case {
            name: "a start that comes again after its try was given up",
            steps: vec![
                task(),
                (start("akl-a", 1, (1, 1)), Reply::Done),
                (yields("akl-a", 1, (1, 1), None, lease_expired()), Reply::Done),
                (start("akl-a", 1, (1, 1)), refused(StaleAttempt)),
                (start("akl-b", 1, (1, 2)), Reply::Done),
            ],
        },
        Case {
            name: "a start after the epoch was given back",
            steps: vec![
                task(),
                (release("akl-a", 1), Reply::Done),
                (release("akl-a", 1), Reply::Done),
                (start("akl-a", 1, (1, 1)), stale(1)),
            ],
        },
        Case {
            name: "a start of no task",
            steps: vec![(start("akl-a", 1, (9, 1)), refused(NoSuchTask))],
        },
    ]);
}

#[test]
fn tries_that_stop_are_recorded_once() {
    let running = || {
        vec![(submit("store", "a", true), submitted(1)), (start("akl-a", 1, (1, 1)), Reply::Done)]
    };
    let cases = [
        (
            "a yield that comes again",
            vec![
                (yields("akl-a", 1, (1, 1), Some(1), lease_expired()), Reply::Done),
                (yields("akl-a", 1, (1, 1), Some(1), lease_expired()), Reply::Done),
                (start("akl-a", 1, (1, 2)), Reply::Done),
                (yields("akl-a", 1, (1, 1), Some(1), lease_expired()), Reply::Done),
                (start("akl-a", 1, (1, 2)), Reply::Done),
            ],
        ),
        (
            "a yield from a data centre where it doesn't run",
            vec![
                (yields("akl-b", 1, (1, 1), None, lease_expired()), refused(StaleAttempt)),
                (start("akl-b", 1, (1, 2)), refused(StaleAttempt)),
                (yields("akl-a", 1, (1, 1), None, lease_expired()), Reply::Done),
                (start("akl-b", 1, (1, 2)), Reply::Done),
            ],
        ),
        (
            "a yield of a try to come",
            vec![(yields("akl-a", 1, (1, 2), None, lease_expired()), refused(StaleAttempt))],
        ),
        (
            "a result that comes after the try was given up",
            vec![
                (yields("akl-a", 1, (1, 1), None, lease_expired()), Reply::Done),
                (end("akl-a", 1, (1, 1), completed()), Reply::Done),
                (end("akl-a", 1, (1, 1), completed()), Reply::Done),
                (start("akl-b", 1, (1, 2)), refused(Ended)),
            ],
        ),
        (
            "a result from a data centre where it didn't run",
            vec![
                (yields("akl-a", 1, (1, 1), None, lease_expired()), Reply::Done),
                (end("akl-b", 1, (1, 1), completed()), refused(StaleAttempt)),
                (end("akl-b", 1, (1, 1), TaskOutcome::Cancelled), Reply::Done),
            ],
        ),
        (
            "an end that says something else",
            vec![
                (end("akl-a", 1, (1, 1), completed()), Reply::Done),
                (end("akl-a", 1, (1, 1), TaskOutcome::Cancelled), refused(Ended)),
                (end("akl-a", 1, (1, 1), completed()), Reply::Done),
            ],
        ),
        (
            "a result that comes after the next try started",
            vec![
                (yields("akl-a", 1, (1, 1), None, lease_expired()), Reply::Done),
                (start("akl-b", 1, (1, 2)), Reply::Done),
                (end("akl-a", 1, (1, 1), completed()), refused(StaleAttempt)),
                (end("akl-a", 1, (1, 2), completed()), refused(StaleAttempt)),
                (end("akl-b", 1, (1, 2), completed()), Reply::Done),
            ],
        ),
    ];
    let case = |(name, rest)| Case { name, steps: [running(), rest].concat() };
    run(cases.into_iter().map(case).collect());
}

#[test]
fn what_a_stopped_try_leads_to() {
    struct Case {
        name: &'static str,
        idempotent: bool,
        checkpoint: Option<u32>,
        cause: YieldCause,
        want: &'static str,
    }
    let case = |name, idempotent, checkpoint, cause, want| Case {
        name,
        idempotent,
        checkpoint,
        cause,
        want,
    };
    let preempted = || evicted(EvictionReason::Preemption);
    let cases = [
        case("evicted", true, None, preempted(), "queued"),
        case("evicted with a checkpoint", false, Some(1), preempted(), "queued"),
        case("evicted without one", false, None, preempted(), "unknown"),
        case("silent", false, None, lease_expired(), "unknown"),
        case("silent with an old checkpoint", false, Some(0), lease_expired(), "unknown"),
        case("silent, idempotent", true, None, lease_expired(), "queued"),
        case("never started", false, None, YieldCause::NotStarted, "queued"),
        case("failed", true, None, failed(), "queued"),
        case("failed, not idempotent", false, None, failed(), "failed"),
    ];
    for case in cases {
        let mut world = TestLedger::ready();
        world.apply(&submit("store", "a", case.idempotent));
        world.apply(&start("akl-a", 1, (1, 1)));
        let stop = yields("akl-a", 1, (1, 1), case.checkpoint, case.cause);
        assert_eq!(world.apply(&stop), Reply::Done, "{}", case.name);
        let view = world.ledger.task(TaskId(1)).expect("the task is kept");
        let state = match view.to_open().state {
            TaskState::Queued => "queued",
            TaskState::Running { .. } => "running",
            TaskState::Ended(TaskOutcome::Unknown { .. }) => "unknown",
            TaskState::Ended(TaskOutcome::Failed { .. }) => "failed",
            TaskState::Ended(_) => "ended otherwise",
        };
        assert_eq!(state, case.want, "{}", case.name);
    }
}

#[test]
fn a_task_fails_at_its_bound() {
    let mut world = TestLedger::ready();
    world.apply(&submit("store", "a", true));
    for number in 1..=3 {
        assert_eq!(world.apply(&start("akl-a", 1, (1, number))), Reply::Done, "try {number}");
        assert_eq!(
            world.apply(&yields("akl-a", 1, (1, number), None, failed())),
            Reply::Done,
            "try {number}"
        );
    }
    let view = world.ledger.task(TaskId(1)).expect("the task is kept");
    assert_eq!(view.outcome(), Some(&TaskOutcome::Failed { reason: "exit 1".to_owned() }));
    assert_eq!(world.apply(&start("akl-a", 1, (1, 4))), refused(Ended));
    assert_eq!(world.count("store"), 0, "a failed task isn't counted");
}

#[test]
fn an_unknown_end_is_replaced_when_the_result_comes() {
    let mut world = TestLedger::ready();
    world.apply(&submit("store", "a", false));
    world.apply(&start("akl-a", 1, (1, 1)));
    world.apply(&yields("akl-a", 1, (1, 1), None, lease_expired()));
    assert_eq!(world.count("store"), 0);
    for _ in 0..2 {
        assert_eq!(world.apply(&end("akl-a", 1, (1, 1), completed())), Reply::Done);
        assert_eq!(world.count("store"), 1);
    }
    let view = world.ledger.task(TaskId(1)).expect("the task is kept");
    assert_eq!(view.outcome(), Some(&completed()));
}

#[test]
fn cancellations() {
    run(vec![
        Case {
            name: "a task that waits",
            steps: vec![
                (submit("store", "a", true), submitted(1)),
                (cancel("store", 1), Reply::Done),
                (cancel("store", 1), Reply::Done),
                (start("akl-a", 1, (1, 1)), refused(Ended)),
                (end("akl-a", 1, (1, 0), TaskOutcome::Cancelled), Reply::Done),
            ],
        },
        Case {
            name: "a task that runs",
            steps: vec![
                (submit("store", "a", true), submitted(1)),
                (start("akl-a", 1, (1, 1)), Reply::Done),
                (cancel("store", 1), Reply::Done),
                (cancel("store", 1), Reply::Done),
                (yields("akl-a", 1, (1, 1), None, lease_expired()), Reply::Done),
                (start("akl-a", 1, (1, 2)), refused(Ended)),
            ],
        },
        Case {
            name: "a task that ended",
            steps: vec![
                (submit("store", "a", true), submitted(1)),
                (start("akl-a", 1, (1, 1)), Reply::Done),
                (end("akl-a", 1, (1, 1), completed()), Reply::Done),
                (cancel("store", 1), refused(Ended)),
            ],
        },
        Case {
            name: "another customer's task",
            steps: vec![
                (submit("store", "a", true), submitted(1)),
                (cancel("member", 1), refused(NoSuchTask)),
                (start("akl-a", 1, (1, 1)), Reply::Done),
            ],
        },
    ]);
}

#[test]
fn submissions() {
    run(vec![Case {
        name: "keys tell resends from new tasks, for each customer apart",
        steps: vec![
            (submit("store", "a", true), submitted(1)),
            (submit("store", "a", true), submitted(1)),
            (submit("store", "a", false), refused(KeyReused)),
            (submit("member", "a", true), submitted(2)),
            (submit("store", "b", true), submitted(3)),
            (submit("nobody", "a", true), refused(NoSuchCustomer)),
            (start("akl-a", 1, (1, 1)), Reply::Done),
            (end("akl-a", 1, (1, 1), completed()), Reply::Done),
            (submit("store", "a", true), submitted(1)),
        ],
    }]);
}
