//! Long-running tasks that have run before wait no longer than it takes while a worker has room for them.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{
        controller::{Answer, Event},
        model::{Step, StepOptions},
        record::Ending,
    },
    resources::Resources,
    time::Time,
};

use crate::{
    avoidance::avoided,
    world::{FakeWorker, World, step},
};

/// The interval between two steps of a simulation.
const TICK: Duration = Duration::from_millis(10);

/// How long after the end of a run a worker sends a heartbeat, unless one is outstanding.
const END_DELAY: Duration = Duration::from_millis(50);

/// How long the room of a run that has ended may stay unused. While a run may end at any time, heartbeats
/// are held for 250 ms at most.
const MAX_UNUSED: Duration = Duration::from_millis(400);

/// How long after its last run a long-running task is missed, while a worker has room for it: it has to
/// be at work again after 6 s, and is lost if it is missed for 3 s.
const RESTART_TIME: Duration = Duration::from_secs(9);

fn long_running(count: u32) -> Step {
    let options = StepOptions { long_running: true, ..StepOptions::default() };
    Step { options, ..step(count) }
}

/// Lets a worker start the tasks, and leave or crash at once.
fn lose(world: &mut World, capacity: Resources, crashes: bool, count: usize) {
    let mut worker = FakeWorker { capacity, ..FakeWorker::new("lost") };
    while worker.running.len() < count {
        world.heartbeat(&mut worker).expect("a response");
    }
    if crashes {
        world.heartbeat(&mut FakeWorker { leaving: Some(600_000), ..worker.restarted() });
        return;
    }
    worker.leaving = Some(2000);
    worker.end_all(Ending::Stopped);
    world.heartbeat(&mut worker);
}

/// A worker that keeps one heartbeat outstanding and tells of an end only with the next one.
struct Beating {
    worker: FakeWorker,
    ticket: Option<u64>,
    next: Time,
}

impl Beating {
    fn new(worker: FakeWorker, now: Time) -> Self {
        Self { worker, ticket: None, next: now }
    }

    fn tick(&mut self, world: &mut World) {
        if let Some(ticket) = self.ticket {
            let Some(answer) = world.answers.get(&ticket).cloned() else { return };
            self.ticket = None;
            self.next = world.now + END_DELAY;
            if let Answer::Heartbeat(response) = answer {
                self.worker.apply(&response);
                if self.worker.ended.is_empty() {
                    self.next = world.now + response.next_heartbeat;
                }
            }
        }
        if world.now >= self.next {
            let report = Box::new(self.worker.report());
            self.ticket = Some(world.send(|ticket| Event::Heartbeat { ticket, report }));
        }
    }

    fn run(&mut self, world: &mut World, span: Duration) {
        let end = world.now + span;
        while world.now < end {
            self.tick(world);
            world.advance(TICK);
        }
    }

    fn end(&mut self, now: Time, ending: Ending) {
        self.worker.end_all(ending);
        self.next = self.next.min(now + END_DELAY);
    }
}

/// Guards against long-running tasks that wait for a held heartbeat: a run may end at any time, and its
/// worker tells so only once its last heartbeat has been answered.
#[test]
fn the_room_of_a_run_that_fails_is_used_soon() {
    struct Case {
        name: &'static str,
        step: Step,
    }
    let cases = [
        Case { name: "a long-running task", step: long_running(1) },
        Case { name: "a task that ends", step: Step { estimate: 60_000, ..step(1) } },
    ];
    let mut late = Vec::new();
    for case in cases {
        let after = (0..1000).step_by(50).map(|shift| {
            let mut world = World::new();
            let mut beating = Beating::new(FakeWorker::new("w1"), world.now);
            beating.worker.capacity.millicores = 1000;
            world.submit(8, vec![case.step.clone()]);
            beating.run(&mut world, Duration::from_secs(1));
            assert_eq!(beating.worker.running.len(), 1, "{}", case.name);
            world.submit(7, vec![long_running(1)]);
            let capacity = beating.worker.capacity;
            lose(&mut world, capacity, false, 1);
            beating.run(&mut world, Duration::from_millis(7000 + shift));
            beating.end(world.now, Ending::Failed);
            let ended = world.now;
            while beating.worker.running.is_empty() {
                beating.run(&mut world, TICK);
            }
            world.now.since(ended)
        });
        let longest = after.max().unwrap_or_default();
        if longest > MAX_UNUSED {
            late.push((case.name, longest));
        }
    }
    assert!(late.is_empty(), "unused for longer than {MAX_UNUSED:?}: {late:?}");
}

/// Guards against gangs of long-running tasks that wait for the end of an avoidance while no other worker
/// has room for them.
#[test]
fn a_long_running_gang_starts_on_an_avoided_worker_if_no_other_has_room() {
    struct Case {
        name: &'static str,
        /// The processors of the other worker.
        other: u64,
        /// The number of members on the avoided and on the other worker after 4 s.
        want: [usize; 2],
    }
    let cases = [
        Case { name: "no other", other: 0, want: [2, 0] },
        Case { name: "room for one on another", other: 1000, want: [1, 1] },
        Case { name: "room for both on another", other: 2000, want: [0, 2] },
    ];
    let mut failures = Vec::new();
    for case in cases {
        let mut world = World::new();
        let first = avoided(&mut world, "w1");
        let mut second = FakeWorker::new("w2");
        second.capacity.millicores = case.other;
        let mut workers = [first, second].map(|worker| Beating::new(worker, world.now));
        let options = StepOptions { long_running: true, gang: true, ..StepOptions::default() };
        world.submit(7, vec![Step { options, ..step(2) }]);
        let begun = world.now;
        while world.now.since(begun) < Duration::from_secs(4) {
            workers.iter_mut().for_each(|worker| worker.tick(&mut world));
            world.advance(TICK);
        }
        let running = workers.map(|worker| worker.worker.running.len());
        if running != case.want {
            failures.push((case.name, running, case.want));
        }
    }
    assert!(failures.is_empty(), "running and wanted: {failures:?}");
}

/// Guards against long-running tasks that wait for longer since the leader's wall clock was set back.
#[test]
fn a_long_running_task_waits_no_longer_after_a_step_of_the_wall_clock() {
    struct Case {
        name: &'static str,
        /// What the wall clock is ahead after the step, in milliseconds.
        ahead: u64,
    }
    let cases =
        [Case { name: "no step", ahead: 1_000_000 }, Case { name: "back by 10 s", ahead: 990_000 }];
    for case in cases {
        let mut world = World::new();
        let mut worker = Beating::new(avoided(&mut world, "w1"), world.now);
        world.submit(7, vec![long_running(1)]);
        world.ahead = case.ahead;
        worker.run(&mut world, Duration::from_secs(4));
        assert_eq!(worker.worker.running.len(), 1, "{}", case.name);
    }
}

/// Guards against long-running tasks that wait for their turn on probation although a worker has room for
/// all of them.
#[test]
fn the_suspects_of_a_crash_are_at_work_again_in_time() {
    struct Case {
        name: &'static str,
        crashes: bool,
        tasks: u32,
    }
    let cases = [
        Case { name: "left", crashes: false, tasks: 16 },
        Case { name: "crashed, few tasks", crashes: true, tasks: 4 },
        Case { name: "crashed, many tasks", crashes: true, tasks: 16 },
    ];
    let mut late = Vec::new();
    for case in cases {
        let mut world = World::new();
        let capacity = Resources { millicores: 18_000, memory_mib: 64_000, accelerators: 0 };
        world.submit(7, vec![long_running(case.tasks)]);
        lose(&mut world, capacity, case.crashes, case.tasks as usize);
        let worker = FakeWorker { capacity, sequence: 100, ..FakeWorker::new("w1") };
        let mut worker = Beating::new(worker, world.now);
        worker.run(&mut world, RESTART_TIME);
        let running = worker.worker.running.len();
        if running < case.tasks as usize {
            late.push((case.name, running, case.tasks));
        }
    }
    assert!(late.is_empty(), "running after {RESTART_TIME:?} and wanted: {late:?}");
}
