//! The life of a task from its submission to its end, without faults.

use hickorylink_lib::{
    ids::Epoch,
    scheduler::port::{Effect, Event},
    task::TaskOutcome,
    worker::{AttemptState, WorkerCommand},
};

use crate::harness::{Harness, announcement_of, attempt, report, resources, task};

#[test]
fn a_task_is_recorded_started_and_ended() {
    let mut harness = Harness::new();
    let lease = harness.announce(announcement_of("w1", resources(16, 64))).expect("a lease");
    assert_eq!((lease.epoch, lease.lease), (Epoch(1), Some(harness.config.lease)));
    harness.open_task(task(1, "ann", resources(2, 4)));
    assert!(harness.take_commands().is_empty(), "nothing is sent before the start is recorded");
    assert_eq!(harness.record_starts(), [(attempt(1, 1), "w1".into())]);
    let commands = harness.take_commands();
    assert!(
        matches!(&commands[..], [(_, WorkerCommand::Start(start))] if start.attempt == attempt(1, 1)),
        "{commands:?}"
    );
    let mut announcement = announcement_of("w1", resources(16, 64));
    announcement.tasks = vec![report(attempt(1, 1), AttemptState::Running)];
    harness.announce(announcement.clone()).expect("a lease");
    announcement.tasks =
        vec![report(attempt(1, 1), AttemptState::Completed { output: b"folded".to_vec().into() })];
    let answer = harness.announce(announcement.clone()).expect("a lease");
    assert!(answer.acknowledged.is_empty(), "the end isn't recorded yet");
    let outcome = TaskOutcome::Completed { output: b"folded".to_vec().into() };
    let end = Effect::RecordEnd { epoch: Epoch(1), attempt: attempt(1, 1), outcome };
    assert_eq!(harness.take_effects(), [end]);
    harness.event(Event::EndRecorded { attempt: attempt(1, 1) });
    harness.advance(harness.config.settle_time);
    let answer = harness.announce(announcement).expect("a lease");
    assert_eq!(answer.acknowledged, [attempt(1, 1)]);
    assert_eq!(harness.scheduler.status().unhandled, (0, None));
}
