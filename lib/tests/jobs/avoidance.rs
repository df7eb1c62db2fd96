//! Workers that are avoided since their runs fail.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{
        controller::{Effect, LogEvent},
        model::{Step, StepOptions},
        record::Ending,
    },
    resources::Resources,
};

use crate::world::{FakeWorker, World, step};

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
