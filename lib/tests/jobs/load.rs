//! Patterns of load of a large service that is nearly full.

use std::time::Duration;

use hickorylink_lib::{
    jobs::{
        call::{Action, Call},
        controller::{Event, Ticket},
        model::{JobId, JobSpec, Run, Step, StepOptions},
        pace::{Interference, adjust_paces},
        record::Ending,
    },
    resources::Resources,
    time::Time,
};

use crate::{
    pace::{report, worker},
    world::{FakeWorker, HOST, World, path, step, task},
};

fn long_running(count: u32) -> Step {
    let options = StepOptions { long_running: true, ..StepOptions::default() };
    Step { options, ..step(count) }
}

/// Submits jobs in one turn.
fn submit_all(world: &mut World, jobs: impl IntoIterator<Item = (u64, Step)>) {
    let events = jobs.into_iter().map(|(id, step)| {
        let spec = JobSpec { text: "spec".into(), steps: vec![step], schedule: None };
        let call = Call { host: HOST.into(), path: path(id).into(), action: Action::Submit(spec) };
        Event::Call { ticket: Ticket::Front(1_000_000 + id), call }
    });
    world.handle(events.collect());
}

/// Delivers a heartbeat of each worker in one turn.
fn heartbeat_all(world: &mut World, workers: &mut [FakeWorker], round: u64) {
    let events = workers.iter_mut().zip(1..).map(|(worker, at)| {
        let ticket = Ticket::Front(2_000_000 + round * 10_000 + at);
        Event::Heartbeat { ticket, report: Box::new(worker.report()) }
    });
    world.handle(events.collect());
}

/// Pattern: a backlog whose steps all ask for different amounts, so that no search answers for
/// another one, and a step behind them that fits.
#[test]
fn a_backlog_of_different_shapes_hides_nothing_behind_it() {
    struct Case {
        name: &'static str,
        workers: usize,
        backlog: u64,
    }
    let cases = [
        Case { name: "hundreds of workers", workers: 370, backlog: 780 },
        Case { name: "the size to design for", workers: 5500, backlog: 2000 },
    ];
    for case in cases {
        let mut world = World::new();
        let names = (0..case.workers).map(|at| format!("w{at}"));
        let mut workers: Vec<_> = names.map(|name| FakeWorker::new(&name)).collect();
        heartbeat_all(&mut world, &mut workers, 0);
        // Each asks for less memory and more processors than the one before, and none fits.
        let backlog = (1..=case.backlog).map(|id| {
            let needs =
                Resources { millicores: 1000 + id, memory_mib: 100_000 - id, ..step(1).needs };
            (id, Step { needs, estimate: 1, ..step(1) })
        });
        let fitting = case.backlog + 1;
        submit_all(&mut world, backlog.chain([(fitting, step(1))]));
        world.advance(Duration::from_millis(100));
        heartbeat_all(&mut world, &mut workers, 1);
        let leader = world.controller.leader().expect("the controller leads");
        let started = leader.state.task(&task(JobId(fitting), 0, 0));
        assert_eq!(started.map(|task| task.run), Some(Run(1)), "{}", case.name);
    }
}

/// Pattern: tasks that last hold nearly all processors, more of them wait, and short jobs arrive.
#[test]
fn freed_processors_go_to_short_jobs_before_new_tasks_that_last() {
    struct Case {
        name: &'static str,
        /// Whether a task that lasts has lost its worker.
        lost: bool,
        /// Whether the short job is overdue.
        overdue: bool,
        want: u64,
    }
    let cases = [
        Case { name: "short job", lost: false, overdue: false, want: 3 },
        Case { name: "lost task", lost: true, overdue: false, want: 1 },
        Case { name: "overdue short job", lost: false, overdue: true, want: 2 },
    ];
    for case in cases {
        let mut world = World::new();
        let mut worker = FakeWorker::new("w1");
        world.submit(1, vec![long_running(3)]);
        let ending = world.submit(4, vec![Step { estimate: 60_000, ..step(1) }]);
        world.heartbeat(&mut worker);
        assert_eq!(worker.running.len(), 4, "{}", case.name);
        world.submit(2, vec![long_running(1)]);
        world.submit(3, vec![step(1)]);
        if case.overdue {
            let end = world.now + Duration::from_secs(20);
            while world.now < end {
                world.heartbeat(&mut worker);
            }
        }
        if case.lost {
            let task = task(JobId(1), 0, 0);
            worker.end(task, Ending::Failed);
        } else {
            worker.end(task(ending, 0, 0), Ending::Done);
        }
        worker.started.clear();
        world.heartbeat(&mut worker);
        let started: Vec<_> = worker.started.iter().map(|(task, _)| task.job.0).collect();
        assert_eq!(started, [case.want], "{}", case.name);
    }
}

/// Pattern: the load of serving tasks rises and falls together, and with it what they leave to
/// opportunistic tasks that don't interfere with them.
#[test]
fn opportunistic_tasks_use_what_the_load_of_serving_tasks_leaves() {
    struct Case {
        name: &'static str,
        tail: u64,
        want: std::ops::RangeInclusive<u8>,
    }
    let cases = [
        Case { name: "low load", tail: 30, want: 100..=100 },
        Case { name: "average load", tail: 50, want: 100..=100 },
        Case { name: "high load", tail: 140, want: 50..=75 },
    ];
    for case in cases {
        let mut interference = Interference::default();
        let (mut worker, serving_task, opportunistic_task) = worker("harmless");
        // Of four processors, the serving task reserves 3, and the opportunistic one asks for 2.5.
        let mut profile = FakeWorker::new("w1").report();
        profile.capacity.millicores = 4000;
        worker.update_profile(Time::default(), &profile);
        for (task, millicores) in [(serving_task, 3000), (opportunistic_task, 2500)] {
            let mut view = worker.remove(&task).expect("the run exists");
            if view.is_opportunistic() {
                view.demand = millicores;
            } else {
                view.reserved.millicores = millicores;
            }
            worker.add(task, view);
        }
        for heartbeat in 0..200_u64 {
            let tail = if heartbeat < 190 { 50 } else { case.tail };
            let now = Time::from_millis(heartbeat * 100);
            report(&mut worker, &serving_task, tail, &opportunistic_task, 0);
            interference.learn(&worker, now);
            interference.summarize(&mut worker);
            adjust_paces(&mut worker, &interference, now);
        }
        let pace = worker.runs[&opportunistic_task].pace;
        assert!(case.want.contains(&pace), "{}: {pace}", case.name);
    }
}

/// Pattern: a worker turns slow without going down, while the tasks of its steps elsewhere don't.
/// Regression: a task that was starting up didn't count as disrupted.
#[test]
fn serving_tasks_leave_a_slow_worker_within_their_disruption_allowance() {
    struct Case {
        name: &'static str,
        slow: &'static [usize],
        disruptable: u32,
        /// The progress of all tasks; they are at work at 100.
        percent: u8,
        /// The number of tasks that are stopped at the same time, at most.
        want: usize,
    }
    let cases = [
        Case { name: "no slow worker", slow: &[], disruptable: 2, percent: 100, want: 0 },
        Case { name: "one task at a time", slow: &[0], disruptable: 1, percent: 100, want: 1 },
        Case { name: "two tasks at a time", slow: &[0], disruptable: 2, percent: 100, want: 2 },
        Case { name: "no disruption allowed", slow: &[0], disruptable: 0, percent: 100, want: 0 },
        Case { name: "tasks that start up", slow: &[0], disruptable: 2, percent: 60, want: 0 },
        Case {
            name: "all workers alike",
            slow: &[0, 1, 2, 3],
            disruptable: 2,
            percent: 100,
            want: 0,
        },
    ];
    for case in cases {
        let mut world = World::new();
        let mut workers: Vec<_> = (0..4).map(|at| FakeWorker::new(&format!("w{at}"))).collect();
        workers.iter_mut().for_each(|worker| worker.percent = case.percent);
        let options = StepOptions {
            long_running: true,
            disruptable: case.disruptable,
            ..StepOptions::default()
        };
        let serving = Step {
            image: Some("desk".into()),
            target_latency: Some(150),
            spread: Some(3),
            options,
            ..step(8)
        };
        world.submit(1, vec![serving]);
        let (mut most, mut moved) = (0, 0);
        for beat in 0..120 {
            for (at, worker) in workers.iter_mut().enumerate() {
                let slow = beat > 30 && case.slow.contains(&at);
                let tail = if slow { 400 } else { 60 };
                worker.gauges = worker.running.keys().map(|task| (*task, tail)).collect();
                worker.stopped.clear();
                let report = Box::new(worker.report());
                let ticket = world.send(|ticket| Event::Heartbeat { ticket, report });
                if let Some(response) = world.response(ticket) {
                    most = most.max(response.stops.len());
                    moved += response.stops.len();
                    worker.apply(&response);
                }
            }
        }
        assert!(most <= case.want, "{}: {most} were stopped at once", case.name);
        assert_eq!(moved > 0, case.want > 0, "{}: {moved} were stopped", case.name);
    }
}

/// Guards against long-running tasks that wait forever behind steps that no worker can run: each of
/// these is evaluated on all workers, and the search starts again at the head of the queue before it
/// has reached the end.
#[test]
fn steps_that_no_worker_can_run_hide_no_long_running_task() {
    struct Case {
        name: &'static str,
        workers: usize,
        hopeless: u64,
    }
    let cases = [
        Case { name: "hundreds of workers", workers: 370, hopeless: 1500 },
        Case { name: "the size to design for", workers: 5500, hopeless: 400 },
    ];
    for case in cases {
        let mut world = World::new();
        let names = (0..case.workers).map(|at| format!("w{at}"));
        let mut workers: Vec<_> = names.map(|name| FakeWorker::new(&name)).collect();
        heartbeat_all(&mut world, &mut workers, 0);
        let hopeless =
            (1..=case.hopeless).map(|id| (id, Step { label: Some("none".into()), ..step(1) }));
        let lasting = case.hopeless + 1;
        submit_all(&mut world, hopeless.chain([(lasting, long_running(1))]));
        for round in 1..=10 {
            world.advance(Duration::from_millis(200));
            heartbeat_all(&mut world, &mut workers, round);
        }
        let leader = world.controller.leader().expect("the controller leads");
        let started = leader.state.task(&task(JobId(lasting), 0, 0));
        assert_eq!(started.map(|task| task.run), Some(Run(1)), "{}", case.name);
    }
}
