//! Workers whose capacity changes while they run tasks.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{
        call::{Action, Reply},
        controller::Event,
        model::{Run, Step, StepOptions, TaskKey},
        record::Ending,
        report::{Ended, Running},
    },
    resources::Resources,
};

use crate::world::{FakeWorker, LEASE, MARGIN, World, path, step};

const WHOLE: Resources = Resources { millicores: 4000, memory_mib: 4000, accelerators: 0 };

fn lasting(count: u32) -> Step {
    let options = StepOptions { long_running: true, disruptable: 1, ..StepOptions::default() };
    Step { options, ..step(count) }
}

fn gang(count: u32) -> Step {
    Step { options: StepOptions { gang: true, ..StepOptions::default() }, ..step(count) }
}

/// Regression: the room of a run that is being stopped was used as soon as a newer run of its task
/// was placed on the same worker, or the run was missing from one heartbeat.
#[test]
fn a_run_that_is_being_stopped_occupies_its_room() {
    #[derive(Clone, Copy, PartialEq, Eq)]
    enum Way {
        /// The worker's lease has expired, and its next heartbeat still lists its runs.
        Lapsed,
        /// The job was cancelled.
        Cancelled,
        /// The job was cancelled, and a heartbeat lists neither the runs nor their ends.
        Missing,
        /// The job was cancelled and forgotten.
        Forgotten,
    }
    struct Case {
        name: &'static str,
        way: Way,
        gang: bool,
        /// The tasks that are started while two runs are being stopped.
        want: usize,
    }
    let cases = [
        Case { name: "lapsed", way: Way::Lapsed, gang: false, want: 2 },
        Case { name: "gang, lapsed", way: Way::Lapsed, gang: true, want: 2 },
        Case { name: "cancelled", way: Way::Cancelled, gang: false, want: 2 },
        Case { name: "cancelled and missing once", way: Way::Missing, gang: false, want: 2 },
        Case { name: "forgotten", way: Way::Forgotten, gang: false, want: 0 },
    ];
    for case in cases {
        let mut world = World::new();
        let mut worker = FakeWorker::new("w1");
        world.submit(7, vec![if case.gang { gang(2) } else { step(2) }]);
        world.heartbeat(&mut worker).expect("a response");
        world.heartbeat(&mut worker).expect("a response");
        let stopping = std::mem::take(&mut worker.running);
        assert_eq!(stopping.len(), 2, "{}", case.name);
        if case.way == Way::Lapsed {
            world.advance(LEASE + MARGIN + Duration::from_secs(1));
        } else {
            assert_eq!(world.call(&path(7), Action::Cancel), Reply::Cancelled, "{}", case.name);
        }
        if case.way == Way::Forgotten {
            world.advance(Duration::from_secs(130));
        }
        for at in 0..5 {
            let mut report = worker.report();
            if case.way != Way::Missing || at != 2 {
                report.running.extend(stopping.iter().map(|(task, run)| listed(*task, *run)));
            }
            let ticket = world.send(|ticket| Event::Heartbeat { ticket, report: Box::new(report) });
            if at == 0 {
                world.submit(8, vec![step(6)]);
            }
            let response = world.response(ticket).expect("a response");
            worker.running.extend(response.starts.iter().map(|start| (start.task, start.run)));
            assert!(worker.running.len() <= case.want, "{}: heartbeat {at}", case.name);
        }
        assert_eq!(worker.running.len(), case.want, "{}", case.name);
        // Once their ends are listed, the room is used again.
        worker.ended = (1..)
            .zip(&stopping)
            .map(|(number, (task, run))| Ended {
                number,
                task: *task,
                run: *run,
                ending: Ending::Stopped,
                checkpoint: "".into(),
            })
            .collect();
        world.heartbeat(&mut worker).expect("a response");
        assert_eq!(worker.running.len(), 4, "{}: after the stop", case.name);
    }
}

fn listed(task: TaskKey, run: Run) -> Running {
    Running { task, run, checkpoint: "".into(), percent: 1, gauge: 0 }
}

#[test]
fn a_worker_that_grows_back_is_used_at_once() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    worker.capacity = Resources::ZERO;
    world.submit(7, vec![lasting(4)]);
    world.heartbeat(&mut worker);
    assert_eq!(worker.started.len(), 0);
    worker.capacity = WHOLE;
    world.heartbeat(&mut worker).expect("a response");
    assert_eq!(worker.started.len(), 4);
}
