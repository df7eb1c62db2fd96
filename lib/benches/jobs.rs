//! The cost of a leader's turns at 370, 1,500 and 5,500 workers that are full, with wide jobs
//! waiting.

#[path = "../tests/jobs/world.rs"]
#[allow(dead_code, reason = "only a part of the test harness is used")]
mod world;

use std::time::{Duration, Instant};

use divan::{Bencher, black_box};
use hickorylink_lib::{
    jobs::{
        call::{Action, Call, OperatorRequest},
        controller::{Answer, Event, Ticket},
        estimates::{EstimateRecord, Estimates, ImagePair, PairEstimate},
        evacuation::EvacuationOrder,
        model::{JobSpec, Step, StepOptions},
        pace::Interference,
    },
    resources::Resources,
    time::Time,
};

use crate::world::{FakeWorker, HOST, World, path, step};

/// The numbers of workers.
const SIZES: [usize; 3] = [370, 1500, 5500];

/// The mean number of tasks of a job.
const WIDTH: u32 = 27;

/// The number of jobs that wait.
const BACKLOG: u64 = 26;

/// The number of tasks that fill a worker.
const TASKS_PER_WORKER: usize = 4;

/// A full service with a backlog.
struct Service {
    world: World,
    workers: Vec<FakeWorker>,
    tickets: u64,
    jobs: u64,
}

impl Service {
    fn new(size: usize) -> Self {
        let workers = (0..size).map(|at| FakeWorker::new(&format!("w{at}"))).collect();
        let mut service = Self { world: World::new(), workers, tickets: 1_000_000, jobs: 0 };
        service.heartbeat_all();
        let filling = (size * TASKS_PER_WORKER).div_ceil(WIDTH as usize) as u64;
        for _ in 0..filling + BACKLOG {
            service.submit();
        }
        service.heartbeat_all();
        service.heartbeat_all();
        service
    }

    fn ticket(&mut self) -> u64 {
        self.tickets += 1;
        self.tickets
    }

    /// Submits a wide job, in a turn of its own.
    fn submit(&mut self) {
        self.jobs += 1;
        let spec = JobSpec { text: "spec".into(), steps: vec![step(WIDTH)], schedule: None };
        let path = path(self.jobs).into();
        let call = Call { host: HOST.into(), path, action: Action::Submit(spec) };
        let ticket = Ticket::Front(self.ticket());
        self.world.handle(vec![Event::Call { ticket, call }]);
    }

    /// A heartbeat of one worker, in a turn of its own.
    fn heartbeat(&mut self, at: usize) {
        let ticket = self.ticket();
        let report = Box::new(self.workers[at].report());
        self.world.handle(vec![Event::Heartbeat { ticket: Ticket::Front(ticket), report }]);
        if let Some(Answer::Heartbeat(response)) = self.world.answers.get(&ticket) {
            self.workers[at].apply(response);
        }
    }

    fn heartbeat_all(&mut self) {
        for at in 0..self.workers.len() {
            self.heartbeat(at);
        }
        self.world.advance(Duration::from_millis(20));
    }
}

/// A turn with the heartbeat of one worker.
#[divan::bench(args = SIZES, sample_count = 200)]
fn heartbeat(bencher: Bencher<'_, '_>, size: usize) {
    let mut service = Service::new(size);
    let mut at = 0;
    bencher.bench_local(|| {
        at = (at + 1) % size;
        service.heartbeat(at);
    });
}

/// A turn with the submission of a job that finds no room.
#[divan::bench(args = SIZES, sample_count = 200)]
fn submission(bencher: Bencher<'_, '_>, size: usize) {
    let mut service = Service::new(size);
    bencher.bench_local(|| service.submit());
}

/// A turn without events other than the periodic work.
#[divan::bench(args = SIZES, sample_count = 50)]
fn periodic_work(bencher: Bencher<'_, '_>, size: usize) {
    let mut service = Service::new(size);
    bencher.bench_local(|| service.world.advance(Duration::from_millis(100)));
}

/// The numbers of workers that are evacuated, and whether the others have room.
const DRAINS: [(usize, bool); 4] = [(370, false), (370, true), (5500, false), (5500, true)];

/// 200 ms with one round of the drain and the periodic work, without heartbeats. A quarter of the workers is
/// evacuated, and all runs may move.
#[divan::bench(args = DRAINS, sample_count = 5, sample_size = 1)]
fn drain(bencher: Bencher<'_, '_>, (size, room): (usize, bool)) {
    let options = StepOptions { checkpoints: true, ..StepOptions::default() };
    let workers = (0..size).map(|at| {
        let centre = format!("centre-{}", at % 4);
        FakeWorker { centre, ..FakeWorker::new(&format!("w{at}")) }
    });
    let (workers, world) = (workers.collect(), World::new());
    let mut service = Service { world, workers, tickets: 1_000_000, jobs: 0 };
    service.heartbeat_all();
    let jobs = (size * TASKS_PER_WORKER).div_ceil(WIDTH as usize) as u64;
    for job in 0..jobs + BACKLOG {
        service.world.submit(job, vec![Step { options, estimate: 60_000, ..step(WIDTH) }]);
    }
    service.heartbeat_all();
    service.heartbeat_all();
    let spare = Resources { millicores: 4000, memory_mib: 4000, accelerators: 0 };
    if room {
        let elsewhere = service.workers.iter_mut().filter(|worker| worker.centre != "centre-0");
        elsewhere.for_each(|worker| worker.capacity = worker.capacity.saturating_add(&spare));
    }
    let order = EvacuationOrder::Begin { centre: "centre-0".into() };
    service.world.operator_request(OperatorRequest::Evacuation(order));
    service.world.advance(Duration::from_millis(900));
    service.heartbeat_all();
    bencher.bench_local(|| service.world.advance(Duration::from_millis(200)));
}

/// The numbers of steps of the jobs that can't be done.
const STEPS: [usize; 4] = [100, 800, 3200, 6500];

/// The longest of the turns of a second beside eight jobs that can't be done; the time is that of the
/// second, and the longest turn is printed.
#[divan::bench(args = STEPS, sample_count = 3, sample_size = 1)]
fn hopeless_steps(bencher: Bencher<'_, '_>, steps: usize) {
    let mut service = Service::new(SIZES[0]);
    let needs = Resources { millicores: 90_000, memory_mib: 1, accelerators: 0 };
    for id in 0..8 {
        let steps = vec![Step { needs, estimate: 9, ..step(1) }; steps];
        service.world.submit(0x900_0000 + id, steps);
    }
    let mut longest = Duration::ZERO;
    bencher.bench_local(|| {
        for _ in 0..50 {
            let began = Instant::now();
            service.world.advance(Duration::from_millis(20));
            longest = longest.max(began.elapsed());
        }
    });
    println!("8 jobs of {steps} steps: the longest turn took {longest:?}");
}

/// A restart of the controller until it leads again, with about a hundred turns in between.
#[divan::bench(args = SIZES, sample_count = 3, sample_size = 1)]
fn takeover(bencher: Bencher<'_, '_>, size: usize) {
    let mut service = Service::new(size);
    bencher.bench_local(|| service.world.restart());
}

/// The encoding of the replicated state; its size is printed.
#[divan::bench(args = SIZES, sample_count = 10)]
fn snapshot(bencher: Bencher<'_, '_>, size: usize) {
    let service = Service::new(size);
    let state = service.world.controller.committed();
    println!("{size} workers: {} bytes", state.encode().len());
    bencher.bench_local(|| black_box(state.encode()));
}

/// The comparison of learned estimates with the recorded ones, which a leader makes at most once a second,
/// by the number of serving images, which is that of opportunistic images.
#[divan::bench(args = [8, 32, 64], sample_count = 200)]
fn compare_estimates(bencher: Bencher<'_, '_>, images: usize) {
    let image = |kind, at| format!("registry.example/{kind}-{at:0>4}").as_str().into();
    let estimate = PairEstimate { mean: 0.5.into(), variance: 0.01.into(), samples: 20 };
    let mut estimates = Estimates::default();
    for serving in 0..images {
        for opportunistic in 0..images {
            let (serving, opportunistic) =
                (image("serving", serving), image("batch", opportunistic));
            let pairs = vec![(ImagePair { serving, opportunistic }, estimate)];
            estimates.apply(&EstimateRecord { pairs, baselines: Vec::new() });
        }
    }
    let now = Time::from_millis(1000);
    let mut interference = Interference::restore(&estimates, now);
    bencher.bench_local(|| interference.changed_estimates(black_box(&estimates), now));
}

fn main() {
    divan::main();
}
