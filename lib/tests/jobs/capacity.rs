//! Workers whose capacity changes while they run tasks.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{
        call::{Action, Reply},
        controller::{Effect, Event, LogEvent},
        model::{Run, Step, StepOptions, TaskKey},
        record::Ending,
        report::{Ended, Running},
        response::HeartbeatResponse,
    },
    resources::Resources,
};

use crate::world::{FakeWorker, LEASE, MARGIN, World, path, step, task};

const FULL_CAPACITY: Resources = Resources { millicores: 4000, memory_mib: 4000, accelerators: 0 };

fn lasting(count: u32) -> Step {
    let options = StepOptions { long_running: true, disruptable: 1, ..StepOptions::default() };
    Step { options, ..step(count) }
}

fn gang(count: u32) -> Step {
    Step { options: StepOptions { gang: true, ..StepOptions::default() }, ..step(count) }
}

/// Sends a heartbeat whose response is lost.
fn lose_response(world: &mut World, worker: &mut FakeWorker) -> Option<HeartbeatResponse> {
    let report = Box::new(worker.report());
    let ticket = world.send(|ticket| Event::Heartbeat { ticket, report });
    world.response(ticket)
}

/// Lets both workers send heartbeats for a while.
fn exchange(world: &mut World, workers: &mut [&mut FakeWorker], span: Duration) {
    let end = world.now + span;
    while world.now < end {
        for worker in &mut *workers {
            world.heartbeat(worker);
        }
    }
}

/// Regression: starts that were decided before a worker shrank were sent after it.
#[test]
fn a_start_that_no_longer_fits_is_not_sent() {
    #[derive(Clone, Copy)]
    enum Way {
        /// The start waits for the worker's next heartbeat.
        Waiting,
        /// The response with the start is lost.
        Lost,
    }
    struct Case {
        name: &'static str,
        step: Step,
        way: Way,
        before: Resources,
        after: Resources,
        /// The tasks that the worker starts after it has shrunk.
        want: usize,
    }
    let memory = Resources { memory_mib: 150, ..FULL_CAPACITY };
    let with_accelerators = Resources { accelerators: 4, ..FULL_CAPACITY };
    let accelerated = Resources { accelerators: 1, ..step(1).needs };
    let cases = [
        Case {
            name: "waiting, fewer processors",
            step: lasting(4),
            way: Way::Waiting,
            before: FULL_CAPACITY,
            after: Resources { millicores: 2500, ..FULL_CAPACITY },
            want: 2,
        },
        Case {
            name: "waiting, less memory",
            step: lasting(4),
            way: Way::Waiting,
            before: FULL_CAPACITY,
            after: memory,
            want: 1,
        },
        Case {
            name: "waiting, fewer accelerators",
            step: Step { needs: accelerated, ..lasting(4) },
            way: Way::Waiting,
            before: with_accelerators,
            after: Resources { accelerators: 3, ..FULL_CAPACITY },
            want: 3,
        },
        Case {
            name: "waiting, no capacity",
            step: lasting(4),
            way: Way::Waiting,
            before: FULL_CAPACITY,
            after: Resources::ZERO,
            want: 0,
        },
        Case {
            name: "waiting, same capacity",
            step: lasting(4),
            way: Way::Waiting,
            before: FULL_CAPACITY,
            after: FULL_CAPACITY,
            want: 4,
        },
        Case {
            name: "lost, fewer processors",
            step: step(4),
            way: Way::Lost,
            before: FULL_CAPACITY,
            after: Resources { millicores: 2500, ..FULL_CAPACITY },
            want: 2,
        },
        Case {
            name: "lost, less memory",
            step: step(4),
            way: Way::Lost,
            before: FULL_CAPACITY,
            after: memory,
            want: 1,
        },
        Case {
            name: "lost, no capacity",
            step: step(4),
            way: Way::Lost,
            before: FULL_CAPACITY,
            after: Resources::ZERO,
            want: 0,
        },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        first.capacity = case.before;
        second.capacity = case.before;
        let count = case.step.count as usize;
        match case.way {
            Way::Waiting => {
                world.heartbeat(&mut first).expect("a response");
                world.submit(7, vec![case.step]);
            }
            Way::Lost => {
                world.submit(7, vec![case.step]);
                let response = lose_response(&mut world, &mut first).expect("a response");
                assert_eq!(response.starts.len(), count, "{}", case.name);
            }
        }
        first.capacity = case.after;
        world.heartbeat(&mut first).expect("a response");
        assert_eq!(first.started.len(), case.want, "{}", case.name);
        exchange(&mut world, &mut [&mut first, &mut second], Duration::from_secs(3));
        assert_eq!(first.started.len(), case.want, "{}: later", case.name);
        assert_eq!(second.started.len(), count - case.want, "{}: elsewhere", case.name);
    }
}

/// Regression: the other members of a gang waited for one whose start was withdrawn or refused, and
/// gave up.
#[test]
fn a_gang_that_no_longer_fits_starts_elsewhere_as_a_whole() {
    struct Case {
        name: &'static str,
        /// Whether the other member has started before the worker shrinks.
        started: bool,
        /// Whether the worker refuses the start, since it has shrunk after it reported its capacity.
        refused: bool,
    }
    let cases = [
        Case { name: "no member has started", started: false, refused: false },
        Case { name: "the other member waits", started: true, refused: false },
        Case { name: "the worker refuses", started: true, refused: true },
    ];
    for case in cases {
        let mut world = World::new();
        let (mut first, mut second) = (FakeWorker::new("w1"), FakeWorker::new("w2"));
        let one = Resources { millicores: 1000, ..FULL_CAPACITY };
        (first.capacity, second.capacity) = (one, one);
        world.heartbeat(&mut first).expect("a response");
        world.heartbeat(&mut second).expect("a response");
        let job = world.submit(7, vec![gang(2)]);
        if case.started {
            world.heartbeat(&mut second).expect("a response");
            assert_eq!(second.running.len(), 1, "{}", case.name);
        }
        if case.refused {
            world.heartbeat(&mut first).expect("a response");
            first.end_all(Ending::Refused);
            first.started.clear();
        }
        first.capacity = Resources { millicores: 500, ..FULL_CAPACITY };
        world.heartbeat(&mut first).expect("a response");
        world.heartbeat(&mut second).expect("a response");
        assert_eq!(first.started, [], "{}", case.name);
        assert_eq!(second.running.len(), 0, "{}: the other member is stopped", case.name);
        let mut third = FakeWorker::new("w3");
        let workers = &mut [&mut first, &mut second, &mut third];
        exchange(&mut world, workers, Duration::from_secs(2));
        let members = [task(job, 0, 0), task(job, 0, 1)];
        let runs = [&second, &third].into_iter().flat_map(|worker| &worker.running);
        let runs: Vec<_> = runs.collect();
        assert_eq!(runs.len(), 2, "{}: {runs:?}", case.name);
        assert!(runs.iter().all(|(member, _)| members.contains(member)), "{}", case.name);
        assert_eq!(runs[0].1, runs[1].1, "{}: the members share a run number", case.name);
    }
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
    worker.capacity = FULL_CAPACITY;
    world.heartbeat(&mut worker).expect("a response");
    assert_eq!(worker.started.len(), 4);
}

#[test]
fn a_change_of_capacity_is_logged_once() {
    let mut world = World::new();
    let mut worker = FakeWorker::new("w1");
    world.submit(7, vec![lasting(2)]);
    world.heartbeat(&mut worker);
    world.heartbeat(&mut worker);
    let half = Resources { millicores: 1000, ..FULL_CAPACITY };
    for capacity in [half, half, FULL_CAPACITY] {
        worker.capacity = capacity;
        world.heartbeat(&mut worker).expect("a response");
    }
    let changes = world.sent.iter().filter_map(|effect| {
        let Effect::LogEvent(event) = effect else { return None };
        let LogEvent::Resized { name, before, after, reserved, runs } = event else { return None };
        Some((name.as_str(), *before, *after, reserved.millicores, *runs))
    });
    let want = [("w1", FULL_CAPACITY, half, 2000, 2), ("w1", half, FULL_CAPACITY, 2000, 2)];
    assert_eq!(changes.collect::<Vec<_>>(), want);
}
