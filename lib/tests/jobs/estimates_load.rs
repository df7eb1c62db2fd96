//! How much a change of the leader costs serving tasks, with and without recorded estimates.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    jobs::{
        controller::{Answer, Event},
        fleet::FULL_PACE_PERCENT,
        model::{Image, JobId, Run, Step, StepOptions, TaskKey},
        record::Ending,
    },
    time::Time,
};

use crate::{
    estimates::{TARGET_MS, serving},
    world::{FakeWorker, World, step},
};

/// The time between two steps of the simulation.
const TICK: Duration = Duration::from_millis(50);

/// The time between the arrivals of two opportunistic tasks; most of the free processors.
const ARRIVAL: Duration = Duration::from_millis(80);

/// The work of an opportunistic task at full pace.
const WORK: Duration = Duration::from_secs(2);

const WORKERS: usize = 12;

/// The number of jobs of serving tasks, each with an image of its own and a task on every third worker.
const SERVICES: u64 = 4;

/// How long the first leader learns.
const LEARNING_TIME: Duration = Duration::from_secs(60);

/// How long heartbeats are counted before and after the change of the leader: three periods of the load.
const COUNTED_TIME: Duration = Duration::from_secs(21);

/// The number of opportunistic images.
const IMAGES: usize = 24;

/// The increase of the logarithm of a tail latency per processor, by the number of the image modulo 3.
const HARMS: [f64; 3] = [0.8, 0.3, 0.0];

/// An opportunistic run on a simulated worker.
struct Work {
    run: Run,
    harm: f64,
    pace: u8,
    left: Duration,
}

struct Machine {
    worker: FakeWorker,
    /// The heartbeat that waits for its response.
    ticket: Option<u64>,
    next_heartbeat: Time,
    works: BTreeMap<TaskKey, Work>,
}

struct Load {
    world: World,
    machines: Vec<Machine>,
    /// The harm of each job's image.
    harms: BTreeMap<JobId, f64>,
    next_arrival: Time,
    /// The heartbeats that listed a serving task, and those with one over its target.
    heartbeats: usize,
    over: usize,
    /// The number of opportunistic tasks that are done.
    done: usize,
}

/// The label of the workers that run the tasks of a serving job.
fn service_label(service: u64) -> String {
    format!("runs-{service}")
}

impl Load {
    fn new() -> Self {
        let mut world = World::new();
        let machine = |at: usize| Machine {
            worker: FakeWorker {
                labels: vec![service_label(1 + at as u64 % SERVICES)],
                ..FakeWorker::new(&format!("w{at}"))
            },
            ticket: None,
            next_heartbeat: world.now,
            works: BTreeMap::new(),
        };
        let machines: Vec<_> = (0..WORKERS).map(machine).collect();
        for service in 1..=SERVICES {
            let count = (WORKERS as u64 / SERVICES) as u32;
            let label = Some(service_label(service).as_str().into());
            let step = Step { label, ..serving(&format!("service-{service}")) };
            world.submit(service, vec![Step { count, spread: Some(1), ..step }]);
        }
        let next_arrival = world.now;
        let harms = BTreeMap::new();
        Self { world, machines, harms, next_arrival, heartbeats: 0, over: 0, done: 0 }
    }

    fn run(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.world.advance(TICK);
            while self.next_arrival <= self.world.now {
                self.next_arrival = self.next_arrival + ARRIVAL;
                let number = self.harms.len();
                let (image, harm) = (number % IMAGES, HARMS[number % HARMS.len()]);
                let options = StepOptions {
                    opportunistic: true,
                    checkpoints: true,
                    ..StepOptions::default()
                };
                let step = Step {
                    image: Some(Image::from(format!("batch-{image}").as_str())),
                    options,
                    ..step(1)
                };
                let id = self.world.submit(SERVICES + 1 + number as u64, vec![step]);
                self.harms.insert(id, harm);
            }
            for at in 0..self.machines.len() {
                self.step(at);
            }
        }
    }

    /// The tail latency of the serving tasks without opportunistic ones, in milliseconds. Their load varies
    /// within seconds.
    fn base(&self) -> f64 {
        let seconds = self.world.now.as_nanos() as f64 / 1e9;
        60.0 * (0.25 * (seconds / 7.0 * std::f64::consts::TAU).sin()).exp()
    }

    fn step(&mut self, at: usize) {
        let (now, base) = (self.world.now, self.base());
        let machine = &mut self.machines[at];
        for work in machine.works.values_mut() {
            let progress = TICK * u32::from(work.pace) / u32::from(FULL_PACE_PERCENT);
            work.left = work.left.saturating_sub(progress);
        }
        let ended = machine.works.iter().filter(|(_, work)| work.left.is_zero());
        let ended: Vec<_> = ended.map(|(task, _)| *task).collect();
        self.done += ended.len();
        for task in ended {
            machine.works.remove(&task);
            machine.worker.end(task, Ending::Done);
        }
        self.receive(at);
        let machine = &mut self.machines[at];
        if machine.ticket.is_some() || now < machine.next_heartbeat {
            return;
        }
        let used = |work: &Work| f64::from(work.pace) / f64::from(FULL_PACE_PERCENT);
        let harm: f64 = machine.works.values().map(|work| work.harm * used(work)).sum();
        let tail = (base * harm.exp()) as u64;
        let gauge = |task: &TaskKey| match machine.works.get(task) {
            Some(work) => (used(work) * 1000.0) as u64,
            None => tail,
        };
        let tasks: Vec<_> = machine.worker.running.keys().copied().collect();
        machine.worker.gauges = tasks.iter().map(|task| (*task, gauge(task))).collect();
        if tasks.iter().any(|task| task.job <= JobId(SERVICES)) {
            self.heartbeats += 1;
            self.over += usize::from(tail > TARGET_MS);
        }
        let report = Box::new(machine.worker.report());
        let ticket = self.world.send(|ticket| Event::Heartbeat { ticket, report });
        self.machines[at].ticket = Some(ticket);
        self.receive(at);
    }

    fn receive(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        let Some(answer) = machine.ticket.and_then(|ticket| self.world.answers.get(&ticket)) else {
            return;
        };
        machine.ticket = None;
        machine.next_heartbeat = self.world.now + TICK;
        let Answer::Heartbeat(response) = answer else { return };
        machine.next_heartbeat = self.world.now + response.next_heartbeat;
        machine.worker.apply(response);
        for start in &response.starts {
            if let Some(harm) = self.harms.get(&start.task.job).copied() {
                let (run, pace, left) = (start.run, FULL_PACE_PERCENT, WORK);
                machine.works.insert(start.task, Work { run, harm, pace, left });
            }
        }
        for (task, run, pace) in &response.paces {
            if let Some(work) = machine.works.get_mut(task).filter(|work| work.run == *run) {
                work.pace = *pace;
            }
        }
        machine.works.retain(|task, _| machine.worker.running.contains_key(task));
    }

    /// Counts from now on, for a multiple of the period of the load.
    fn count(&mut self) -> Counts {
        (self.heartbeats, self.over, self.done) = (0, 0, 0);
        self.run(COUNTED_TIME);
        Counts { heartbeats: self.heartbeats, over: self.over, done: self.done }
    }

    fn change_leader(&mut self, recorded: bool) {
        if !recorded {
            self.world.forget_estimates();
        }
        self.world.restart();
        for machine in &mut self.machines {
            machine.ticket = None;
        }
    }
}

/// What is counted before and after changes of the leader.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    heartbeats: usize,
    over: usize,
    done: usize,
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.heartbeats += other.heartbeats;
        self.over += other.over;
        self.done += other.done;
    }
}

/// Pattern: short tasks of many opportunistic images arrive all the time, beside serving tasks whose load
/// varies, and the leader changes at some point of this variation.
///
/// A change costs the additional heartbeats with a serving task over its target, compared with the same time
/// before it. With recorded estimates this is at most half of the cost without, and opportunistic tasks get
/// at least nine tenths as much done.
#[test]
fn a_leader_change_costs_less_with_recorded_estimates() {
    let (mut before, mut with, mut without) =
        (Counts::default(), Counts::default(), Counts::default());
    for more in [0, 2, 4, 6] {
        for recorded in [true, false] {
            let mut load = Load::new();
            load.run(LEARNING_TIME + Duration::from_secs(more));
            let steady = load.count();
            load.change_leader(recorded);
            let after = load.count();
            if recorded {
                before.add(steady);
                with.add(after);
            } else {
                without.add(after);
            }
        }
    }
    println!("before {before:?}, with {with:?}, without {without:?}");
    let (cost, full) = (with.over.saturating_sub(before.over), without.over - before.over);
    assert!(full > 0, "the load interferes: before {before:?}, without {without:?}");
    assert!(cost * 2 <= full, "before {before:?}, with {with:?}, without {without:?}");
    assert!(with.done * 10 >= without.done * 9, "with {with:?}, without {without:?}");
}
