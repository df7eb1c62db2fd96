//! When a task may start again: never while its last run may still be running.

use std::time::Duration;

use hickorylink_lib::{
    ids::Incarnation,
    jobs::{controller::Event, lifecycle::JobPhase, model::Run, record::Ending},
};

use crate::world::{FakeWorker, LEASE, MARGIN, World, step, task};

#[test]
fn a_silent_worker_is_waited_out() {
    struct Case {
        name: &'static str,
        silence: Duration,
        again: bool,
    }
    let cases = [
        Case {
            name: "within the lease",
            // The last heartbeat of the other worker may be held for 700 ms.
            silence: LEASE - Duration::from_secs(1),
            again: false,
        },
        Case {
            name: "after lease and margin",
            silence: LEASE + MARGIN + Duration::from_millis(1000),
            again: true,
        },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        let job = world.submit(7, vec![step(1)]);
        world.beat(&mut first).expect("orders");
        assert_eq!(first.started, [(task(job, 0, 0), Run(1))], "{}", case.name);
        let end = world.now + case.silence;
        while world.now < end {
            world.beat(&mut second);
        }
        let again = second.started.first() == Some(&(task(job, 0, 0), Run(2)));
        assert_eq!(again, case.again, "{}", case.name);
    }
}

#[test]
fn a_worker_that_is_born_again_runs_nothing() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let job = world.submit(7, vec![step(1)]);
    world.beat(&mut worker).expect("orders");
    let mut reborn = worker.reborn();
    world.beat(&mut reborn).expect("orders");
    assert_eq!(reborn.started, [(task(job, 0, 0), Run(2))]);
    // What its earlier life still says changes nothing.
    let late = Box::new(worker.report());
    let ticket = world.ask(|ticket| Event::Heartbeat { ticket, report: late });
    assert!(world.told(ticket).is_none());
}

#[test]
fn a_start_whose_answer_was_dropped_is_sent_again() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let job = world.submit(7, vec![step(1)]);
    let report = Box::new(worker.report());
    let ticket = world.ask(|ticket| Event::Heartbeat { ticket, report });
    assert_eq!(world.told(ticket).expect("orders").starts.len(), 1);
    world.beat(&mut worker).expect("orders");
    assert_eq!(worker.started, [(task(job, 0, 0), Run(1))]);
}

#[test]
fn a_run_that_is_missing_once_is_not_given_up() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let job = world.submit(7, vec![step(1)]);
    world.beat(&mut worker);
    world.beat(&mut worker);
    // It has ended, and the end comes with a later heartbeat than the one that lacks the run.
    let mut between = worker.clone();
    between.running.clear();
    world.beat(&mut between);
    worker.sequence = between.sequence;
    worker.end(task(job, 0, 0), Ending::Done);
    world.beat(&mut worker);
    assert_eq!(world.phase(7), JobPhase::Completed);
    assert_eq!(worker.started.len() + between.started.len(), 2, "one start each, the same one");
}

#[test]
fn a_run_that_was_done_after_it_was_given_up_is_not_acknowledged() {
    let mut world = World::new();
    let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
    let job = world.submit(7, vec![step(1)]);
    world.beat(&mut first).expect("orders");
    let end = world.now + LEASE + MARGIN + Duration::from_secs(1);
    while world.now < end {
        world.beat(&mut second);
    }
    assert_eq!(second.started, [(task(job, 0, 0), Run(2))]);
    first.end(task(job, 0, 0), Ending::Done);
    let orders = world.beat(&mut first).expect("orders");
    assert_eq!(orders.acknowledged, 0);
    assert_eq!(world.phase(7), JobPhase::Active);
    second.end(task(job, 0, 0), Ending::Done);
    world.beat(&mut second);
    assert_eq!(world.phase(7), JobPhase::Completed);
}

#[test]
fn a_leaving_worker_gets_nothing_new() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    worker.leaving = Some(2000);
    world.submit(7, vec![step(1)]);
    for _ in 0..3 {
        world.beat(&mut worker);
    }
    assert_eq!(worker.started, []);
}

#[test]
fn the_last_ends_of_a_worker_that_leaves_count() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    let job = world.submit(7, vec![step(1)]);
    world.beat(&mut worker);
    world.beat(&mut worker);
    worker.end(task(job, 0, 0), Ending::Done);
    let (name, incarnation) = (worker.name.as_str().into(), Some(Incarnation(worker.incarnation)));
    let ended = worker.ended.clone();
    world.ask(|ticket| Event::Leave { ticket, name, incarnation, ended });
    assert_eq!(world.phase(7), JobPhase::Completed);
}

#[test]
fn a_worker_that_leaves_is_never_held() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    world.submit(7, vec![step(1)]);
    world.beat(&mut worker);
    worker.leaving = Some(2000);
    let before = world.now;
    world.beat(&mut worker).expect("orders");
    assert_eq!(world.now, before, "it is answered at once");
}
