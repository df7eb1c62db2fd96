//! The time of a placement and of an announcement, by the number of workers.
//!
//! Each worker runs 31 attempts; at 5,500 workers that is 170,500 in all. The slope is read from
//! the medians at 48, 500 and 5,500 workers.

use std::{cell::RefCell, collections::BTreeMap, sync::Arc, time::Duration};

use divan::Bencher;
use hickorylink_lib::{
    ids::{Attempt, CustomerName, Epoch, Incarnation, Rack, TaskAttempt, TaskId, WorkerName},
    policy::{Allowance, CredentialHash, Customer, Objective, Plan, Policy},
    resources::Resources,
    scheduler::{
        Scheduler,
        config::Config,
        port::{Effect, Event},
    },
    task::{OpenTask, TaskSpec, TaskState},
    time::Time,
    worker::{Announcement, AttemptState, Sample, TaskReport},
};

const WORKERS: [u32; 3] = [48, 500, 5_500];
const ATTEMPTS_PER_WORKER: u64 = 31;
const CUSTOMERS: u64 = 40;
const WORKER_CAPACITY: Resources =
    Resources { millicores: 32_000, memory_mib: 131_072, accelerators: 0 };

fn main() {
    divan::main();
}

/// A data centre whose workers are nearly full.
struct Centre {
    scheduler: Scheduler,
    now: Time,
    next: u64,
    effects: Vec<Effect>,
    running: BTreeMap<WorkerName, Vec<TaskAttempt>>,
}

impl Centre {
    fn new(workers: u32) -> Self {
        let now = Time::from_millis(1_000);
        let scheduler = Scheduler::new(Config::new("klang-a".into()), now, 1);
        let mut centre =
            Self { scheduler, now, next: 0, effects: Vec::new(), running: BTreeMap::new() };
        centre.event(Event::Policy(Arc::new(policy())));
        centre.event(Event::Leadership { centre: "klang-a".into(), epoch: Some(Epoch(1)) });
        for at in 0..workers {
            let name = WorkerName::from(format!("w{at}").as_str());
            centre.running.insert(name.clone(), Vec::new());
            centre.announce(&name, at);
        }
        for _ in 0..u64::from(workers) * ATTEMPTS_PER_WORKER {
            let (attempt, worker) = centre.start().expect("a worker has free capacity");
            centre.running.get_mut(&worker).expect("it is known").push(attempt);
        }
        for (at, name) in centre.running.keys().cloned().collect::<Vec<_>>().iter().enumerate() {
            centre.announce(name, at as u32);
        }
        centre
    }

    fn event(&mut self, event: Event) {
        self.effects.clear();
        self.scheduler.handle(self.now, event, &mut self.effects);
    }

    fn announcement(&self, worker: &WorkerName, at: u32) -> Box<Announcement> {
        let running =
            |attempt: &TaskAttempt| TaskReport { attempt: *attempt, state: AttemptState::Running };
        Box::new(Announcement {
            worker: worker.clone(),
            incarnation: Incarnation(1),
            clock: None,
            centre: "klang-a".into(),
            rack: Rack::from(format!("r{}", at / 6).as_str()),
            address: "10.0.0.1:7000".into(),
            capacity: WORKER_CAPACITY,
            leaving: false,
            epoch: Epoch(1),
            tasks: self.running[worker].iter().map(running).collect(),
            targets: Vec::new(),
            samples: Vec::new(),
        })
    }

    fn announce(&mut self, worker: &WorkerName, at: u32) {
        let announcement = self.announcement(worker, at);
        self.event(Event::Announced { ticket: 1, announcement });
    }

    /// Opens a task, places it and records its start.
    fn start(&mut self) -> Option<(TaskAttempt, WorkerName)> {
        self.next += 1;
        let open = task(self.next);
        self.event(Event::TaskOpened(Box::new(open)));
        let placed = self.effects.iter().find_map(|effect| match effect {
            Effect::RecordStart { attempt, worker, .. } => Some((*attempt, worker.clone())),
            Effect::RecordYield { .. }
            | Effect::RecordEnd { .. }
            | Effect::Command { .. }
            | Effect::Answer { .. } => None,
        });
        let (attempt, worker) = placed?;
        self.event(Event::StartRecorded { attempt });
        Some((attempt, worker))
    }
}

fn customer(at: u64) -> CustomerName {
    CustomerName::from(format!("member-{}", at % CUSTOMERS).as_str())
}

fn task(id: u64) -> OpenTask {
    OpenTask {
        task: TaskId(id),
        customer: customer(id),
        spec: TaskSpec {
            kind: format!("kind-{}", id % 7).as_str().into(),
            size: Resources {
                millicores: 800 + id % 5 * 100,
                memory_mib: 2_048 + id % 3 * 1_024,
                accelerators: 0,
            },
            run_time: Duration::from_secs(400),
            urgent: false,
            idempotent: true,
            centre: None,
            service: None,
            payload: Vec::new().into(),
        },
        state: TaskState::Queued,
        next: Attempt(1),
        checkpoint: None,
        evictions: 0,
        failures: 0,
        cancelled: false,
    }
}

fn policy() -> Policy {
    let plenty = Resources { millicores: u64::MAX / 4, memory_mib: u64::MAX / 4, accelerators: 0 };
    let plan = Plan {
        objective: Objective::Throughput,
        urgent: true,
        weight: 1,
        retry_permille: 0,
        exact_counts: false,
        task_evictions: 3,
        hourly_evictions: 100,
        services: Vec::new(),
        allowance: Allowance { burst: plenty, ..Allowance::default() },
    };
    let credential = CredentialHash::of("secret");
    let customers =
        (0..CUSTOMERS).map(|at| (customer(at), Customer { plan: "plan".into(), credential }));
    Policy {
        plans: BTreeMap::from([("plan".into(), plan)]),
        customers: customers.collect(),
        ..Policy::default()
    }
}

/// One second of a data centre: half of the workers announce themselves, with a sample of each
/// attempt, and one task for each 12.8 workers starts and ends. At 5,500 workers that is 430 tasks.
#[divan::bench(args = WORKERS, sample_count = 20, sample_size = 1)]
fn second(bencher: Bencher, workers: u32) {
    busy_second(bencher, workers, true);
}

/// The same without samples.
#[divan::bench(args = WORKERS, sample_count = 20, sample_size = 1)]
fn second_without_samples(bencher: Bencher, workers: u32) {
    busy_second(bencher, workers, false);
}

fn busy_second(bencher: Bencher, workers: u32, samples: bool) {
    let centre = RefCell::new(Centre::new(workers));
    let names: Vec<_> = centre.borrow().running.keys().cloned().collect();
    let starts = (u64::from(workers) * 430 / 5_500).max(1);
    let mut parity = 0;
    bencher
        .with_inputs(|| {
            parity = 1 - parity;
            let centre = centre.borrow();
            let half = names.iter().enumerate().skip(parity).step_by(2);
            half.map(|(at, name)| {
                let mut announcement = centre.announcement(name, at as u32);
                if samples {
                    announcement.samples = announcement.tasks.iter().map(sample).collect();
                }
                announcement
            })
            .collect::<Vec<_>>()
        })
        .bench_local_values(|announcements| {
            let mut centre = centre.borrow_mut();
            for announcement in announcements {
                centre.event(Event::Announced { ticket: 1, announcement });
            }
            for _ in 0..starts {
                centre.now = centre.now + Duration::from_secs(1) / starts as u32;
                let (attempt, _) = centre.start().expect("a worker has free capacity");
                centre.event(Event::EndRecorded { attempt });
            }
            centre.event(Event::LeadershipConfirmed);
        });
}

fn sample(report: &TaskReport) -> Sample {
    Sample {
        attempt: report.attempt,
        age: Duration::from_secs(1),
        used: Resources { millicores: 500, memory_mib: 1_024, accelerators: 0 },
        latency: None,
        beside: Vec::new(),
    }
}

/// A task from its submission to its end: opened, placed, recorded, started, ended.
#[divan::bench(args = WORKERS, sample_count = 2_000, sample_size = 1)]
fn placement(bencher: Bencher, workers: u32) {
    let mut centre = Centre::new(workers);
    bencher.bench_local(|| {
        let (attempt, _) = centre.start().expect("a worker has free capacity");
        centre.event(Event::EndRecorded { attempt });
    });
}

/// An announcement that reports 31 attempts.
#[divan::bench(args = WORKERS, sample_count = 2_000, sample_size = 1)]
fn announcement(bencher: Bencher, workers: u32) {
    let mut centre = Centre::new(workers);
    let names: Vec<_> = centre.running.keys().cloned().collect();
    let announcements: Vec<_> =
        names.iter().enumerate().map(|(at, name)| centre.announcement(name, at as u32)).collect();
    let mut at = 0;
    bencher
        .with_inputs(|| {
            at = (at + 1) % names.len();
            announcements[at].clone()
        })
        .bench_local_values(|announcement| {
            centre.event(Event::Announced { ticket: 1, announcement });
        });
}
