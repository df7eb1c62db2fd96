//! Properties that hold for any sequence of orders, heartbeats and faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use hickorylink_lib::{
    jobs::{
        call::OperatorReply,
        controller::Event,
        lifecycle::TaskPhase,
        model::{Run, Step, StepOptions, TaskKey},
        record::Ending,
        response::HeartbeatResponse,
    },
    time::Time,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::{
    data_centres::{begin, cancel, order, worker},
    world::{FakeWorker, World, step},
};

const CENTRES: [&str; 3] = ["akl-a", "akl-b", "hlz-c"];

/// The number of workers; they are spread over the data centres.
const WORKERS: usize = 6;

/// How many tasks of the long-running steps may be away, by the job.
const ALLOWANCES: [(u64, u32); 3] = [(1, 1), (2, 2), (3, 0)];

#[derive(Clone, Copy, Debug)]
enum Happening {
    /// A worker sends a heartbeat and receives the response.
    Heartbeat(usize),
    /// A worker sends a heartbeat and the response is lost.
    Lost(usize),
    /// The first run of a worker that doesn't last is done.
    Done(usize),
    /// All workers exchange heartbeats for this time, in milliseconds.
    Exchange(u16),
    /// Time passes, in milliseconds.
    Advance(u16),
    /// A data centre is evacuated.
    Begin(usize),
    /// The evacuation of a data centre is cancelled.
    Cancel(usize),
    /// A job is submitted that ends, with checkpoints or without.
    Submit(bool, bool),
    /// The controller restarts from its log.
    Restart,
}

impl Arbitrary for Happening {
    fn arbitrary(g: &mut Gen) -> Self {
        let (worker, centre) = (usize::arbitrary(g) % WORKERS, usize::arbitrary(g) % CENTRES.len());
        match u8::arbitrary(g) % 16 {
            0..=2 => Self::Heartbeat(worker),
            3 => Self::Lost(worker),
            4 | 5 => Self::Done(worker),
            6..=8 => Self::Exchange(u16::arbitrary(g) % 3000),
            9 => Self::Advance(u16::arbitrary(g) % 2000),
            10..=12 => Self::Begin(centre),
            13 => Self::Cancel(centre),
            14 => Self::Submit(bool::arbitrary(g), bool::arbitrary(g)),
            _ => Self::Restart,
        }
    }
}

struct Site {
    world: World,
    workers: Vec<FakeWorker>,
    /// The data centres whose evacuation is acknowledged.
    evacuated: BTreeSet<&'static str>,
    /// The long-running tasks that were stopped and don't run yet, with the run that was stopped.
    away: BTreeMap<TaskKey, Run>,
    jobs: u64,
}

impl Site {
    fn new() -> Self {
        let workers = (0..WORKERS).map(|at| worker(&format!("w{at}"), CENTRES[at % 3], 4000));
        let (world, jobs) = (World::new(), 100);
        let (evacuated, away) = (BTreeSet::new(), BTreeMap::new());
        let mut site = Self { world, workers: workers.collect(), evacuated, away, jobs };
        for (job, disruptable) in ALLOWANCES {
            let options = StepOptions { long_running: true, disruptable, ..StepOptions::default() };
            site.world.submit(job, vec![Step { options, ..step(4) }]);
        }
        site.exchange(1000).expect("there is no evacuation");
        let running: usize = site.workers.iter().map(|worker| worker.running.len()).sum();
        assert_eq!(running, 12, "all long-running tasks run");
        site
    }

    fn receive(&mut self, at: usize, response: &HeartbeatResponse) -> Result<(), String> {
        let worker = &mut self.workers[at];
        if self.evacuated.contains(worker.centre.as_str()) && !response.starts.is_empty() {
            return Err(format!("{} starts {:?}", worker.name, response.starts[0].task));
        }
        let committed = self.world.controller.committed();
        for (task, run) in &response.stops {
            let lasts = ALLOWANCES.iter().any(|(job, _)| *job == task.job.0);
            // A run that was given up before isn't stopped by the drain.
            let recorded = committed.task(task);
            let current = recorded.is_some_and(|recorded| {
                recorded.run == *run && recorded.phase == TaskPhase::Running
            });
            if lasts && current && worker.running.get(task) == Some(run) {
                self.away.insert(*task, *run);
            }
        }
        worker.apply(response);
        self.away.retain(|task, _| !worker.running.contains_key(task));
        for (job, allowed) in ALLOWANCES {
            let away = self.away.keys().filter(|task| task.job.0 == job).count();
            if away > allowed as usize {
                return Err(format!("{away} tasks of job {job} are away"));
            }
        }
        Ok(())
    }

    fn send(&mut self, at: usize) -> u64 {
        let report = Box::new(self.workers[at].report());
        self.world.send(|ticket| Event::Heartbeat { ticket, report })
    }

    fn heartbeat(&mut self, at: usize) -> Result<(), String> {
        let ticket = self.send(at);
        let Some(response) = self.world.response(ticket) else { return Ok(()) };
        self.receive(at, &response)
    }

    fn exchange(&mut self, millis: u16) -> Result<(), String> {
        let end: Time = self.world.now + Duration::from_millis(millis.into());
        while self.world.now < end {
            // The heartbeats are held at the same time, as in a deployment.
            let tickets: Vec<_> = (0..WORKERS).map(|at| self.send(at)).collect();
            for (at, ticket) in tickets.into_iter().enumerate() {
                if let Some(response) = self.world.response(ticket) {
                    self.receive(at, &response)?;
                }
            }
            self.world.advance(Duration::from_millis(20));
        }
        Ok(())
    }

    fn run(&mut self, happening: Happening) -> Result<(), String> {
        match happening {
            Happening::Heartbeat(at) => self.heartbeat(at)?,
            Happening::Lost(at) => {
                let ticket = self.send(at);
                self.world.response(ticket);
            }
            Happening::Done(at) => {
                let mut running = self.workers[at].running.keys();
                if let Some(task) = running.find(|task| task.job.0 >= 100).copied() {
                    self.workers[at].end(task, Ending::Done);
                }
            }
            Happening::Exchange(millis) => self.exchange(millis)?,
            Happening::Advance(millis) => self.world.advance(Duration::from_millis(millis.into())),
            Happening::Begin(at) => {
                assert_eq!(order(&mut self.world, begin(CENTRES[at])), OperatorReply::Stored);
                self.evacuated.insert(CENTRES[at]);
            }
            Happening::Cancel(at) => {
                assert_eq!(order(&mut self.world, cancel(CENTRES[at])), OperatorReply::Stored);
                self.evacuated.remove(CENTRES[at]);
            }
            Happening::Submit(checkpoints, opportunistic) => {
                self.jobs += 1;
                let options = StepOptions { checkpoints, opportunistic, ..StepOptions::default() };
                self.world.submit(self.jobs, vec![Step { options, estimate: 5000, ..step(3) }]);
            }
            Happening::Restart => self.world.restart(),
        }
        Ok(())
    }
}

/// Once an evacuation is acknowledged, no run starts in the data centre, and never more of a step than its
/// allowance is away because of the drain, whatever happens. Once all evacuations are cancelled, every
/// long-running task is at work again.
#[test]
fn evacuations_hold_under_any_events() {
    fn holds(happenings: Vec<Happening>) -> Result<(), String> {
        let mut site = Site::new();
        for happening in happenings {
            site.run(happening)?;
        }
        for at in 0..CENTRES.len() {
            site.run(Happening::Cancel(at))?;
        }
        for _ in 0..20 {
            site.workers.iter_mut().for_each(|worker| {
                let running = worker.running.keys().copied();
                let short: Vec<_> = running.filter(|task| task.job.0 >= 100).collect();
                short.into_iter().for_each(|task| worker.end(task, Ending::Done));
            });
            site.exchange(1000)?;
        }
        let running = site.workers.iter().flat_map(|worker| worker.running.keys());
        let running: BTreeSet<_> = running.filter(|task| task.job.0 < 100).collect();
        if running.len() == 12 { Ok(()) } else { Err(format!("{running:?} are at work")) }
    }
    QuickCheck::new()
        .tests(60)
        .max_tests(60)
        .quickcheck(holds as fn(Vec<Happening>) -> Result<(), String>);
}
