//! A task's way from its submission to its end, with nothing going wrong.

use hickorylink_lib::{
    ids::Epoch,
    scheduler::port::{Effect, Event},
    task::TaskOutcome,
    worker::{AttemptState, WorkerCommand},
};

use crate::desk::{Desk, announcement, attempt, report, room, task};

#[test]
fn a_task_is_recorded_started_and_ended() {
    let mut desk = Desk::new();
    let lease = desk.announce(announcement("w1", room(16, 64))).expect("the worker is welcome");
    assert_eq!((lease.epoch, lease.lease), (Epoch(1), Some(desk.config.lease)));
    desk.open(task(1, "ann", room(2, 4)));
    assert!(desk.commands().is_empty(), "nothing leaves before the record");
    assert_eq!(desk.starts(), [(attempt(1, 1), "w1".into())]);
    let commands = desk.commands();
    assert!(
        matches!(&commands[..], [(_, WorkerCommand::Start(start))] if start.attempt == attempt(1, 1)),
        "{commands:?}"
    );
    let mut said = announcement("w1", room(16, 64));
    said.tasks = vec![report(attempt(1, 1), AttemptState::Running)];
    desk.announce(said.clone()).expect("a lease");
    said.tasks =
        vec![report(attempt(1, 1), AttemptState::Completed { output: b"folded".to_vec().into() })];
    let answer = desk.announce(said.clone()).expect("a lease");
    assert!(answer.acknowledged.is_empty(), "the end isn't recorded yet");
    let outcome = TaskOutcome::Completed { output: b"folded".to_vec().into() };
    let end = Effect::RecordEnd { epoch: Epoch(1), attempt: attempt(1, 1), outcome };
    assert_eq!(desk.rest(), [end]);
    desk.event(Event::EndRecorded { attempt: attempt(1, 1) });
    desk.pass(desk.config.settle);
    let answer = desk.announce(said).expect("a lease");
    assert_eq!(answer.acknowledged, [attempt(1, 1)]);
    assert_eq!(desk.scheduler.status().unhandled, (0, None));
}
