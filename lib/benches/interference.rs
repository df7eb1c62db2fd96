//! The cost of the interference policy at full size: 5,500 workers and 172,000 tasks.
//!
//! Each figure is for one call of `sampled` or `penalty`, or for one `decide` over all workers
//! after each replica and each batch task delivered a sample.

use std::time::Duration;

use divan::Bencher;
use hickorylink_lib::{
    ids::{Attempt, TaskAttempt, TaskId, WorkerName},
    interference::{
        Interference,
        port::{Neighbour, Role},
    },
    policy::Objective,
    resources::Resources,
    time::Time,
    worker::Sample,
};

const WORKERS: u64 = 5_500;
const REPLICAS: u64 = 32_000;
const BATCHES: u64 = 140_000;
const SERVICES: u64 = 200;
const KINDS: u64 = 300;

struct Fleet {
    policy: Interference,
    now: Time,
    names: Vec<WorkerName>,
    samples: Vec<(usize, Sample)>,
}

fn main() {
    let before = resident_kib();
    let mut fleet = fleet();
    let placed = resident_kib();
    for _ in 0..40 {
        fleet.next_second();
        fleet.deliver();
        fleet.policy.decide(fleet.now, &mut Vec::new());
    }
    println!("{:?}, {:?}", fleet.policy.footprint(), fleet.policy.counters());
    println!(
        "resident KiB: {before} before, {placed} with all tasks placed and their samples made, {} \
         after 40 rounds",
        resident_kib()
    );
    divan::main();
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).unwrap_or(0)
}

fn attempt(task: u64) -> TaskAttempt {
    TaskAttempt { task: TaskId(task), attempt: Attempt(1) }
}

fn neighbour(task: u64) -> Neighbour {
    let role = if task < REPLICAS {
        let service = format!("service-{}", task % SERVICES).as_str().into();
        Role::Service { service, latency: Duration::from_millis(20) }
    } else {
        let kind = format!("kind-{}", task % KINDS).as_str().into();
        Role::Batch { kind, evictions: 3 }
    };
    Neighbour {
        attempt: attempt(task),
        customer: "customer".into(),
        size: Resources { millicores: 1_000, memory_mib: 2_048, accelerators: 0 },
        objective: if task.is_multiple_of(2) { Objective::Latency } else { Objective::Throughput },
        role,
    }
}

/// Creates a fleet with all tasks placed, and one undelivered sample of each.
fn fleet() -> Fleet {
    let names: Vec<_> =
        (0..WORKERS).map(|at| WorkerName::from(format!("worker-{at:05}").as_str())).collect();
    let now = Time::from_millis(1_000_000);
    let mut policy = Interference::default();
    let mut on: Vec<Vec<TaskAttempt>> = vec![Vec::new(); names.len()];
    for task in 0..REPLICAS + BATCHES {
        let at = (task % WORKERS) as usize;
        policy.placed(now, &names[at], &neighbour(task));
        on[at].push(attempt(task));
    }
    let mut samples: Vec<_> = (0..REPLICAS + BATCHES)
        .map(|task| {
            let at = (task % WORKERS) as usize;
            let beside = on[at].iter().copied().filter(|other| *other != attempt(task));
            let latency = Duration::from_micros(8_000 + 137 * (task % 60));
            let sample = Sample {
                attempt: attempt(task),
                age: Duration::from_millis(500 + task % 400),
                used: Resources { millicores: 600, memory_mib: 1_024, accelerators: 0 },
                latency: (task < REPLICAS).then_some(latency),
                beside: if task < REPLICAS { beside.collect() } else { Vec::new() },
            };
            (at, sample)
        })
        .collect();
    // An announcement carries all samples of its worker.
    samples.sort_by_key(|(at, _)| *at);
    Fleet { policy, now: now + Duration::from_secs(2), names, samples }
}

impl Fleet {
    fn deliver(&mut self) {
        for (at, sample) in &self.samples {
            self.policy.sampled(self.now, &self.names[*at], sample);
        }
    }

    fn next_second(&mut self) {
        self.now = self.now + Duration::from_secs(1);
    }
}

#[divan::bench(sample_count = 10, sample_size = 1)]
fn sampled_172_000(bencher: Bencher<'_, '_>) {
    let mut fleet = fleet();
    bencher.bench_local(|| {
        fleet.next_second();
        fleet.deliver();
    });
}

#[divan::bench(sample_count = 10, sample_size = 1)]
fn round_of_172_000_samples_and_a_decision(bencher: Bencher<'_, '_>) {
    let mut fleet = fleet();
    bencher.bench_local(|| {
        fleet.next_second();
        fleet.deliver();
        fleet.policy.decide(fleet.now, &mut Vec::new());
    });
}

#[divan::bench(sample_count = 10, sample_size = 1)]
fn decision_without_samples(bencher: Bencher<'_, '_>) {
    let mut fleet = fleet();
    fleet.deliver();
    fleet.policy.decide(fleet.now, &mut Vec::new());
    bencher.bench_local(|| {
        fleet.next_second();
        fleet.policy.decide(fleet.now, &mut Vec::new());
    });
}

#[divan::bench]
fn penalty(bencher: Bencher<'_, '_>) {
    let mut fleet = fleet();
    fleet.deliver();
    fleet.policy.decide(fleet.now, &mut Vec::new());
    let task = neighbour(REPLICAS + 7);
    let mut at = 0;
    bencher.bench_local(|| {
        at = (at + 997) % fleet.names.len();
        fleet.policy.penalty(fleet.now, &fleet.names[at], &task)
    });
}

#[divan::bench]
fn placed_and_left(bencher: Bencher<'_, '_>) {
    let mut fleet = fleet();
    fleet.deliver();
    fleet.policy.decide(fleet.now, &mut Vec::new());
    let mut number = REPLICAS + BATCHES;
    let mut task = neighbour(number);
    bencher.bench_local(|| {
        number += 1;
        task.attempt = attempt(number);
        let name = &fleet.names[(number * 997 % WORKERS) as usize];
        fleet.policy.placed(fleet.now, name, &task);
        fleet.policy.left(fleet.now, name, task.attempt);
    });
}
