//! Workers whose list of ended runs is full: what it lacks isn't lost.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{
        lifecycle::JobPhase,
        model::{Run, Step, StepOptions},
        record::Ending,
    },
    resources::Resources,
};

use crate::world::{FakeWorker, LEASE, MARGIN, World, step, task};

/// The number of ends that the workers of these tests list at a time.
const MAX_LISTED: usize = 4;

/// The number of tasks that end together.
const TASKS: u32 = 18;

/// The heartbeats that it takes to list all ends, and one for their acknowledgement.
const HEARTBEATS: usize = TASKS as usize / MAX_LISTED + 2;

fn worker(name: &str) -> FakeWorker {
    let capacity = Resources { millicores: 64_000, memory_mib: 64_000, accelerators: 0 };
    FakeWorker { capacity, max_listed: MAX_LISTED, ..FakeWorker::new(name) }
}

/// Guards against tasks that start again because their ends didn't fit the worker's list, and against
/// workers none of whose later ends are heard.
#[test]
fn runs_whose_ends_are_not_listed_yet_are_kept() {
    struct Case {
        name: &'static str,
        /// Whether the worker lists the runs before they end.
        listed: bool,
        /// For how long it is silent before it lists the ends.
        silence: Duration,
        /// Whether the leader changes after the first list.
        change: bool,
        /// Whether the worker leaves when the runs have ended.
        leaves: bool,
    }
    let case =
        |name| Case { name, listed: true, silence: Duration::ZERO, change: false, leaves: false };
    let cases = [
        case("all end at once"),
        Case { listed: false, ..case("never listed") },
        Case { silence: LEASE - Duration::from_secs(1), ..case("cut off within the lease") },
        Case { change: true, ..case("a change of the leader") },
        Case { listed: false, change: true, ..case("never listed, a change of the leader") },
        Case { leaves: true, ..case("leaving") },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut busy, mut other) = (worker("w1"), worker("w2"));
        let job = world.submit(7, vec![step(TASKS)]);
        world.heartbeat(&mut busy).expect("a response");
        assert_eq!(busy.running.len(), 18, "{}", case.name);
        if case.listed {
            world.heartbeat(&mut busy).expect("a response");
        }
        busy.end_all(Ending::Done);
        busy.leaving = case.leaves.then_some(2000);
        world.advance(case.silence);
        let mut delays = Vec::new();
        for round in 0..HEARTBEATS {
            let sent = world.now;
            let full = busy.ended.len() >= MAX_LISTED;
            let response = world.heartbeat(&mut busy).expect("a response");
            if full {
                delays.push(sent.until(world.now) + response.next_heartbeat);
            }
            world.heartbeat(&mut other);
            if case.change && round == 0 {
                world.restart();
            }
        }
        assert!(busy.ended.is_empty(), "{}: {} ends are left", case.name, busy.ended.len());
        assert_eq!(world.phase(7), JobPhase::Completed, "{}", case.name);
        let slow = delays.iter().any(|delay| *delay > Duration::from_millis(50));
        assert!(!slow, "{}: after full lists: {delays:?}", case.name);
        let want: Vec<_> = (0..TASKS).map(|index| (task(job, 0, index), Run(1))).collect();
        assert_eq!(busy.started, want, "{}", case.name);
        assert_eq!(other.started, [], "{}", case.name);
    }
}

/// Guards against returned workers with more ends than they list, whose later ends are never heard: the
/// first ends are withheld until their tasks are done elsewhere.
#[test]
fn a_returned_worker_with_many_ends_gets_rid_of_them() {
    struct Case {
        name: &'static str,
        /// Whether the leader changes after the worker has returned.
        change: bool,
    }
    let cases = [
        Case { name: "one leader", change: false },
        Case { name: "a change of the leader", change: true },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut cut, mut other) = (worker("w1"), worker("w2"));
        world.submit(7, vec![step(TASKS)]);
        world.heartbeat(&mut cut).expect("a response");
        world.heartbeat(&mut cut).expect("a response");
        cut.end_all(Ending::Done);
        let end = world.now + LEASE + MARGIN + Duration::from_secs(1);
        while world.now < end {
            world.heartbeat(&mut other);
        }
        assert_eq!(other.running.len(), 18, "{}", case.name);
        for round in 0..HEARTBEATS {
            world.heartbeat(&mut cut).expect("a response");
            if case.change && round == 0 {
                world.restart();
            }
        }
        assert!(cut.ended.len() < MAX_LISTED, "{}: {} ends are left", case.name, cut.ended.len());
        assert_eq!(world.phase(7), JobPhase::Active, "{}: the tasks run elsewhere", case.name);
        other.end_all(Ending::Done);
        for _ in 0..HEARTBEATS {
            world.heartbeat(&mut other).expect("a response");
        }
        assert_eq!(world.phase(7), JobPhase::Completed, "{}", case.name);
        world.heartbeat(&mut cut).expect("a response");
        assert!(cut.ended.is_empty(), "{}: {} ends are left", case.name, cut.ended.len());
    }
}

/// Guards against workers that are lost for good because ends fill their list that can't be
/// acknowledged: runs vanished from the worker's lists, started again, and were reported as done later.
#[test]
fn a_worker_whose_list_is_full_of_withheld_ends_returns() {
    let mut world = World::new();
    let mut busy = worker("w1");
    world.submit(7, vec![step(TASKS)]);
    for _ in 0..2 {
        world.heartbeat(&mut busy).expect("a response");
    }
    let vanished: Vec<_> =
        busy.running.iter().take(MAX_LISTED).map(|(task, run)| (*task, *run)).collect();
    for (task, _) in &vanished {
        busy.running.remove(task);
    }
    for _ in 0..2 {
        world.heartbeat(&mut busy).expect("a response");
    }
    for (task, run) in &vanished {
        let second = busy.running.insert(*task, *run).expect("the task has started again");
        busy.end(*task, Ending::Done);
        busy.running.insert(*task, second);
    }
    busy.end_all(Ending::Done);
    let response = world.heartbeat(&mut busy).expect("a response");
    assert_eq!((response.acknowledged, response.lease), (0, None));
    let end = world.now + LEASE + MARGIN + Duration::from_secs(1);
    while world.now < end {
        world.heartbeat(&mut busy);
        world.advance(Duration::from_millis(100));
    }
    for _ in 0..HEARTBEATS {
        world.heartbeat(&mut busy);
        busy.end_all(Ending::Done);
    }
    for _ in 0..HEARTBEATS {
        world.heartbeat(&mut busy);
    }
    assert!(busy.ended.is_empty(), "{} ends are left", busy.ended.len());
    assert_eq!(world.phase(7), JobPhase::Completed);
}

/// Guards against ends that are withheld for as long as a job lasts: a long-running task is never done.
#[test]
fn ends_of_long_running_tasks_are_acknowledged_after_a_return() {
    let mut world = World::new();
    let mut cut = worker("w1");
    let options = StepOptions { long_running: true, ..StepOptions::default() };
    world.submit(7, vec![Step { options, ..step(1) }]);
    for _ in 0..2 {
        world.heartbeat(&mut cut).expect("a response");
    }
    cut.end_all(Ending::Done);
    world.advance(LEASE + MARGIN + Duration::from_secs(1));
    let response = world.heartbeat(&mut cut).expect("a response");
    assert_eq!(response.acknowledged, 1);
}
