//! Tasks: submissions, attempts, and how they stop and end.

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
    Case, Fixture, cancel, completed, end, evicted, failed, grant, lease_expired, refused, release,
    run, stale, start, submit, submitted, yields,
};

#[test]
fn the_built_in_chart_is_valid() {
    assert_eq!(lifecycle::TASK_CHART.initial(), lifecycle::Phase::Queued);
}

#[test]
fn attempts_start_once_under_the_newest_epoch() {
    let task = || (submit("store", "a", true), submitted(1));
    run(vec![
        Case {
            name: "a resent start",
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
            name: "a start that is resent after its attempt stopped",
            steps: vec![
                task(),
                (start("akl-a", 1, (1, 1)), Reply::Done),
                (yields("akl-a", 1, (1, 1), None, lease_expired()), Reply::Done),
                (start("akl-a", 1, (1, 1)), refused(StaleAttempt)),
                (start("akl-b", 1, (1, 2)), Reply::Done),
            ],
        },
        Case {
            name: "a start after the epoch was released",
            steps: vec![
                task(),
                (release("akl-a", 1), Reply::Done),
                (release("akl-a", 1), Reply::Done),
                (start("akl-a", 1, (1, 1)), stale(1)),
            ],
        },
        Case {
            name: "a start of an unknown task",
            steps: vec![(start("akl-a", 1, (9, 1)), refused(NoSuchTask))],
        },
    ]);
}

#[test]
fn stopped_attempts_are_recorded_once() {
    let running = || {
        vec![(submit("store", "a", true), submitted(1)), (start("akl-a", 1, (1, 1)), Reply::Done)]
    };
    let cases = [
        (
            "a resent yield",
            vec![
                (yields("akl-a", 1, (1, 1), Some(1), lease_expired()), Reply::Done),
                (yields("akl-a", 1, (1, 1), Some(1), lease_expired()), Reply::Done),
                (start("akl-a", 1, (1, 2)), Reply::Done),
                (yields("akl-a", 1, (1, 1), Some(1), lease_expired()), Reply::Done),
                (start("akl-a", 1, (1, 2)), Reply::Done),
            ],
        ),
        (
            "a yield from another data centre",
            vec![
                (yields("akl-b", 1, (1, 1), None, lease_expired()), refused(StaleAttempt)),
                (start("akl-b", 1, (1, 2)), refused(StaleAttempt)),
                (yields("akl-a", 1, (1, 1), None, lease_expired()), Reply::Done),
                (start("akl-b", 1, (1, 2)), Reply::Done),
            ],
        ),
        (
            "a yield of a future attempt",
            vec![(yields("akl-a", 1, (1, 2), None, lease_expired()), refused(StaleAttempt))],
        ),
        (
            "a result that arrives after the task was queued again",
            vec![
                (yields("akl-a", 1, (1, 1), None, lease_expired()), Reply::Done),
                (end("akl-a", 1, (1, 1), completed()), Reply::Done),
                (end("akl-a", 1, (1, 1), completed()), Reply::Done),
                (start("akl-b", 1, (1, 2)), refused(Ended)),
            ],
        ),
        (
            "a result from another data centre",
            vec![
                (yields("akl-a", 1, (1, 1), None, lease_expired()), Reply::Done),
                (end("akl-b", 1, (1, 1), completed()), refused(StaleAttempt)),
                (end("akl-b", 1, (1, 1), TaskOutcome::Cancelled), Reply::Done),
            ],
        ),
        (
            "a second end with another outcome",
            vec![
                (end("akl-a", 1, (1, 1), completed()), Reply::Done),
                (end("akl-a", 1, (1, 1), TaskOutcome::Cancelled), refused(Ended)),
                (end("akl-a", 1, (1, 1), completed()), Reply::Done),
            ],
        ),
        (
            "a result that arrives after the next attempt started",
            vec![
                (yields("akl-a", 1, (1, 1), None, lease_expired()), Reply::Done),
                (start("akl-b", 1, (1, 2)), Reply::Done),
                (end("akl-a", 1, (1, 1), completed()), refused(StaleAttempt)),
                (end("akl-a", 1, (1, 2), completed()), refused(StaleAttempt)),
                (end("akl-b", 1, (1, 2), completed()), Reply::Done),
            ],
        ),
    ];
    let case = |(name, steps)| Case { name, steps: [running(), steps].concat() };
    run(cases.into_iter().map(case).collect());
}

#[test]
fn stopped_attempt_requeues_or_ends_its_task() {
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
        case("evicted without a checkpoint", false, None, preempted(), "unknown"),
        case("lease expired", false, None, lease_expired(), "unknown"),
        case(
            "lease expired, with a checkpoint of an earlier attempt",
            false,
            Some(0),
            lease_expired(),
            "unknown",
        ),
        case("lease expired, idempotent", true, None, lease_expired(), "queued"),
        case("never started", false, None, YieldCause::NotStarted, "queued"),
        case("failed", true, None, failed(), "queued"),
        case("failed, not idempotent", false, None, failed(), "failed"),
    ];
    for case in cases {
        let mut fixture = Fixture::ready();
        fixture.apply(&submit("store", "a", case.idempotent));
        fixture.apply(&start("akl-a", 1, (1, 1)));
        let stop = yields("akl-a", 1, (1, 1), case.checkpoint, case.cause);
        assert_eq!(fixture.apply(&stop), Reply::Done, "{}", case.name);
        let view = fixture.ledger.task(TaskId(1)).expect("the task is retained");
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
fn task_fails_at_the_failure_limit() {
    let mut fixture = Fixture::ready();
    fixture.apply(&submit("store", "a", true));
    for number in 1..=3 {
        assert_eq!(fixture.apply(&start("akl-a", 1, (1, number))), Reply::Done, "attempt {number}");
        assert_eq!(
            fixture.apply(&yields("akl-a", 1, (1, number), None, failed())),
            Reply::Done,
            "attempt {number}"
        );
    }
    let view = fixture.ledger.task(TaskId(1)).expect("the task is retained");
    assert_eq!(view.outcome(), Some(&TaskOutcome::Failed { reason: "exit 1".to_owned() }));
    assert_eq!(fixture.apply(&start("akl-a", 1, (1, 4))), refused(Ended));
    assert_eq!(fixture.count("store"), 0, "a failed task isn't counted");
}

#[test]
fn unknown_outcome_is_replaced_by_a_late_result() {
    let mut fixture = Fixture::ready();
    fixture.apply(&submit("store", "a", false));
    fixture.apply(&start("akl-a", 1, (1, 1)));
    fixture.apply(&yields("akl-a", 1, (1, 1), None, lease_expired()));
    assert_eq!(fixture.count("store"), 0);
    for _ in 0..2 {
        assert_eq!(fixture.apply(&end("akl-a", 1, (1, 1), completed())), Reply::Done);
        assert_eq!(fixture.count("store"), 1);
    }
    let view = fixture.ledger.task(TaskId(1)).expect("the task is retained");
    assert_eq!(view.outcome(), Some(&completed()));
}

#[test]
fn cancellations() {
    run(vec![
        Case {
            name: "a queued task",
            steps: vec![
                (submit("store", "a", true), submitted(1)),
                (cancel("store", 1), Reply::Done),
                (cancel("store", 1), Reply::Done),
                (start("akl-a", 1, (1, 1)), refused(Ended)),
                (end("akl-a", 1, (1, 0), TaskOutcome::Cancelled), Reply::Done),
            ],
        },
        Case {
            name: "a running task",
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
            name: "an ended task",
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
        name: "keys identify resends, separately for each customer",
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
