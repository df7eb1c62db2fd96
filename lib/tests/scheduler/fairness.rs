//! Fairness among customers: none is starved, and shares follow the weights of the plans.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    ids::{TaskAttempt, TaskId},
    scheduler::port::Event,
    time::Time,
    worker::AttemptState,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::harness::{Harness, announcement_of, burst, plan, policy, report, resources, task};

const SEEDS: &[u64] = &[1, 2, 3, 4];
const NAMES: [&str; 4] = ["ann", "bob", "cyd", "dan"];
const WORKERS: usize = 4;
/// How long a task runs, in seconds.
const RUN_SECONDS: u64 = 3;
/// The longest time that a customer with waiting tasks may go without a start, in seconds.
const MAX_WAIT_SECONDS: u64 = 45;

#[derive(Clone, Debug)]
struct Customer {
    weight: u32,
    /// Tasks that it submits at the start.
    backlog: u64,
    /// Tasks that it submits each second.
    arrivals: u64,
    cores: u64,
}

impl Arbitrary for Customer {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            weight: 1 + u32::arbitrary(g) % 4,
            backlog: u64::arbitrary(g) % 200,
            arrivals: u64::arbitrary(g) % 4,
            cores: 1 + u64::arbitrary(g) % 4,
        }
    }
}

/// Customers who compete for a few workers.
struct Competition {
    harness: Harness,
    next: u64,
    owners: BTreeMap<TaskId, usize>,
    running: BTreeMap<TaskAttempt, (String, Time)>,
    /// Processor seconds by customer.
    used: Vec<u64>,
    cores: Vec<u64>,
    /// Tasks up to this number never end.
    endless: u64,
    waiting: Vec<u64>,
    /// Seconds since the customer's last start, while it has waiting tasks.
    unserved: Vec<u64>,
    longest_wait: u64,
}

impl Competition {
    fn new(customers: &[Customer]) -> Self {
        let mut harness = Harness::without_leadership();
        let plans = customers.iter().zip(NAMES).map(|(customer, name)| {
            let mut terms = plan(burst(resources(1_000, 1_000)));
            terms.weight = customer.weight;
            (name, terms)
        });
        harness.policy(&policy(&plans.collect::<Vec<_>>()));
        harness.set_leadership(Some(1));
        let mut competition = Self {
            harness,
            next: 0,
            owners: BTreeMap::new(),
            running: BTreeMap::new(),
            used: vec![0; customers.len()],
            cores: customers.iter().map(|customer| customer.cores).collect(),
            endless: 0,
            waiting: vec![0; customers.len()],
            unserved: vec![0; customers.len()],
            longest_wait: 0,
        };
        competition.announce();
        for (at, customer) in customers.iter().enumerate() {
            competition.submit(at, customer.backlog);
        }
        competition
    }

    fn submit(&mut self, at: usize, tasks: u64) {
        for _ in 0..tasks {
            self.next += 1;
            self.owners.insert(TaskId(self.next), at);
            self.waiting[at] += 1;
            self.harness.open_task(task(self.next, NAMES[at], resources(self.cores[at], 1)));
        }
    }

    fn announce(&mut self) {
        let now = self.harness.now;
        let endless = self.endless;
        let done = |attempt: &TaskAttempt, since: &Time| {
            attempt.task.0 > endless && now.since(*since) >= Duration::from_secs(RUN_SECONDS)
        };
        for worker in (0..WORKERS).map(|at| format!("w{at}")) {
            let mut announcement = announcement_of(&worker, resources(4, 64));
            let mine = self.running.iter().filter(|(_, (place, _))| *place == worker);
            announcement.tasks = mine
                .map(|(attempt, (_, since))| match done(attempt, since) {
                    true => report(*attempt, AttemptState::Completed { output: Vec::new().into() }),
                    false => report(*attempt, AttemptState::Running),
                })
                .collect();
            self.harness.announce(announcement).expect("a lease");
        }
        let ended: Vec<_> = self
            .running
            .iter()
            .filter(|(attempt, (_, since))| done(attempt, since))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in ended {
            self.harness.event(Event::EndRecorded { attempt });
            self.running.remove(&attempt);
        }
    }

    fn step(&mut self, customers: &[Customer]) {
        for (at, customer) in customers.iter().enumerate() {
            self.submit(at, customer.arrivals);
            self.unserved[at] = if self.waiting[at] > 0 { self.unserved[at] + 1 } else { 0 };
        }
        for (attempt, worker) in self.harness.record_starts() {
            let at = self.owners[&attempt.task];
            self.waiting[at] -= 1;
            self.unserved[at] = 0;
            self.running.insert(attempt, (worker.to_string(), self.harness.now));
        }
        for attempt in self.running.keys() {
            let at = self.owners[&attempt.task];
            self.used[at] += self.cores[at];
        }
        self.longest_wait = self.longest_wait.max(self.unserved.iter().copied().max().unwrap_or(0));
        self.harness.advance(Duration::from_secs(1));
        self.announce();
        self.harness.take_commands();
    }
}

#[test]
fn no_customer_is_starved() {
    fn property(mut customers: Vec<Customer>) -> TestResult {
        customers.truncate(NAMES.len());
        let mut competition = Competition::new(&customers);
        for _ in 0..150 {
            competition.step(&customers);
        }
        match competition.longest_wait <= MAX_WAIT_SECONDS {
            true => TestResult::passed(),
            false => TestResult::error(format!("a customer waited {} s", competition.longest_wait)),
        }
    }
    for seed in SEEDS {
        println!("seed {seed}");
        let rng = Gen::from_size_and_seed(4, *seed);
        let property = property as fn(Vec<Customer>) -> TestResult;
        QuickCheck::new().rng(rng).tests(20).quickcheck(property);
    }
}

#[test]
fn a_large_share_delays_a_customer_and_does_not_starve_it() {
    let customers = [(12, 1), (0, 5)].map(|(backlog, arrivals)| Customer {
        weight: 1,
        backlog,
        arrivals,
        cores: 1,
    });
    let mut competition = Competition::new(&customers);
    // Ann holds three quarters of the data centre for the whole test, and bob submits more than
    // fits the rest.
    competition.endless = 12;
    for _ in 0..150 {
        competition.step(&customers);
    }
    assert!(
        competition.longest_wait <= MAX_WAIT_SECONDS,
        "a customer waited {} s",
        competition.longest_wait
    );
    assert!(competition.longest_wait > RUN_SECONDS, "bob, who has less, goes first");
}

#[test]
fn shares_follow_weights() {
    struct Case {
        name: &'static str,
        weights: [u32; 2],
        cores: [u64; 2],
        /// Bounds of the first customer's part of the used processor time, in percent.
        want: (u64, u64),
    }
    let cases = [
        Case { name: "equal", weights: [1, 1], cores: [1, 1], want: (45, 55) },
        Case { name: "three to one", weights: [3, 1], cores: [1, 1], want: (68, 82) },
        Case { name: "equal, with larger tasks", weights: [2, 2], cores: [2, 1], want: (42, 58) },
    ];
    for case in cases {
        let customers = [0, 1].map(|at| Customer {
            weight: case.weights[at],
            backlog: 1_000,
            arrivals: 0,
            cores: case.cores[at],
        });
        let mut competition = Competition::new(&customers);
        for _ in 0..60 {
            competition.step(&customers);
        }
        let part = competition.used[0] * 100 / (competition.used[0] + competition.used[1]);
        assert!(part >= case.want.0 && part <= case.want.1, "{}: {part}%", case.name);
    }
}
