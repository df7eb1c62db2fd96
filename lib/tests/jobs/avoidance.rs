//! Workers that are avoided since their runs fail.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{
        call::{Action, Reply},
        controller::{Effect, LogEvent},
        model::{Step, StepOptions},
        record::Ending,
    },
    resources::Resources,
};

use crate::world::{FakeWorker, World, path, step};

/// A worker that is avoided since three jobs in a row have failed there.
pub(crate) fn avoided(world: &mut World, name: &str) -> FakeWorker {
    let mut worker = FakeWorker::new(name);
    for id in 101..104 {
        world.submit(id, vec![step(1)]);
        while worker.running.is_empty() {
            world.heartbeat(&mut worker).expect("a response");
        }
        worker.end_all(Ending::Failed);
        world.heartbeat(&mut worker).expect("a response");
        if worker.running.is_empty() {
            assert_eq!(world.call(&path(id), Action::Cancel), Reply::Cancelled);
        }
        while !worker.running.is_empty() || !worker.ended.is_empty() {
            worker.end_all(Ending::Stopped);
            assert_eq!(world.call(&path(id), Action::Cancel), Reply::Cancelled);
            world.heartbeat(&mut worker).expect("a response");
        }
    }
    worker
}

/// Guards against long-running tasks that wait for 6 s or more while a worker has room for them, because
/// the tasks of other jobs have failed there.
#[test]
fn a_long_running_task_starts_on_an_avoided_worker_if_no_other_has_room() {
    struct Case {
        name: &'static str,
        long_running: bool,
        /// The processors of the other worker.
        other: u64,
        /// Whether the avoided worker leaves.
        leaves: bool,
        /// The number of tasks on the avoided and on the other worker after 4 s.
        want: (usize, usize),
    }
    let cases = [
        Case { name: "no other", long_running: true, other: 0, leaves: false, want: (1, 0) },
        Case { name: "another one", long_running: true, other: 4000, leaves: false, want: (0, 1) },
        Case { name: "it leaves", long_running: true, other: 0, leaves: true, want: (0, 0) },
        Case {
            name: "a task that ends",
            long_running: false,
            other: 0,
            leaves: false,
            want: (0, 0),
        },
    ];
    for case in cases {
        let mut world = World::new();
        let mut first = avoided(&mut world, "w1");
        let mut second = FakeWorker::new("w2");
        second.capacity.millicores = case.other;
        first.leaving = case.leaves.then_some(60_000);
        world.heartbeat(&mut first);
        world.heartbeat(&mut second);
        let options = StepOptions { long_running: case.long_running, ..StepOptions::default() };
        world.submit(7, vec![Step { options, ..step(1) }]);
        let begun = world.now;
        let mut started = None;
        while world.now.since(begun) < Duration::from_secs(4) {
            world.heartbeat(&mut first);
            world.heartbeat(&mut second);
            if !first.running.is_empty() {
                started = started.or(Some(world.now.since(begun)));
            }
        }
        assert_eq!((first.running.len(), second.running.len()), case.want, "{}", case.name);
        assert!(
            started.is_none_or(|after| after > Duration::from_secs(2)),
            "{}: only once it has waited: {started:?}",
            case.name
        );
    }
}

/// Guards against long-running tasks that wait without a word on what keeps them from starting.
#[test]
fn long_running_tasks_that_wait_are_reported_with_their_obstacles() {
    struct Case {
        name: &'static str,
        worker: fn(&mut World) -> FakeWorker,
        needs: Resources,
        want: &'static str,
    }
    let cases = [
        Case {
            name: "too few processors",
            worker: |_| FakeWorker::new("w2"),
            needs: Resources { millicores: 9000, memory_mib: 1, accelerators: 0 },
            want: "processors",
        },
        Case {
            name: "too little memory",
            worker: |_| FakeWorker::new("w2"),
            needs: Resources { millicores: 1, memory_mib: 9000, accelerators: 0 },
            want: "memory",
        },
        Case {
            name: "a leaving worker",
            worker: |_| FakeWorker { leaving: Some(60_000), ..FakeWorker::new("w2") },
            needs: Resources { millicores: 1, memory_mib: 1, accelerators: 0 },
            want: "leaving",
        },
    ];
    for case in cases {
        let mut world = World::new();
        let large = Resources { millicores: 9000, memory_mib: 9000, accelerators: 0 };
        let mut first = FakeWorker { capacity: large, ..FakeWorker::new("w1") };
        let options = StepOptions { long_running: true, ..StepOptions::default() };
        world.submit(7, vec![Step { options, needs: case.needs, ..step(1) }]);
        while first.running.is_empty() {
            world.heartbeat(&mut first);
        }
        first.leaving = Some(0);
        first.end_all(Ending::Stopped);
        world.heartbeat(&mut first);
        let mut second = (case.worker)(&mut world);
        let begun = world.now;
        while world.now.since(begun) < Duration::from_secs(5) {
            world.heartbeat(&mut first);
            world.heartbeat(&mut second);
            world.advance(Duration::from_millis(20));
        }
        let reports = world.sent.iter().filter_map(|effect| match effect {
            Effect::LogEvent(LogEvent::Stranded { tasks, workers, .. }) => Some((*tasks, workers)),
            _ => None,
        });
        let reports: Vec<_> = reports.collect();
        assert!((1..=3).contains(&reports.len()), "{}: once a second: {reports:?}", case.name);
        let (tasks, workers) = reports[0];
        assert_eq!(tasks, 1, "{}", case.name);
        assert!(workers.iter().any(|(what, _)| *what == case.want), "{}: {workers:?}", case.name);
    }
}
