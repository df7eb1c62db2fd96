//! Customers beside each other: nobody starves, and shares follow the weights of the plans.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    ids::{TaskAttempt, TaskId},
    scheduler::port::Event,
    time::Time,
    worker::AttemptState,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::desk::{Desk, announcement, burst, plan, policy, report, room, task};

const SEEDS: &[u64] = &[1, 2, 3, 4];
const NAMES: [&str; 4] = ["ann", "bob", "cyd", "dan"];
const WORKERS: usize = 4;
/// Seconds that a task runs.
const RUN: u64 = 3;
/// Seconds that a customer may wait between two starts while it has tasks.
const PATIENCE: u64 = 45;

#[derive(Clone, Debug)]
struct Customer {
    weight: u32,
    /// Tasks that it submits at the start.
    backlog: u64,
    /// Tasks that it submits each second.
    stream: u64,
    cores: u64,
}

impl Arbitrary for Customer {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            weight: 1 + u32::arbitrary(g) % 4,
            backlog: u64::arbitrary(g) % 200,
            stream: u64::arbitrary(g) % 4,
            cores: 1 + u64::arbitrary(g) % 4,
        }
    }
}

/// Customers who compete for a few workers.
struct Contest {
    desk: Desk,
    next: u64,
    owners: BTreeMap<TaskId, usize>,
    running: BTreeMap<TaskAttempt, (String, Time)>,
    /// Processor seconds by customer.
    used: Vec<u64>,
    cores: Vec<u64>,
    /// Tasks up to this number never end.
    endless: u64,
    waiting: Vec<u64>,
    /// Seconds since the customer's last start, while it has tasks that wait.
    hungry: Vec<u64>,
    worst: u64,
}

impl Contest {
    fn new(customers: &[Customer]) -> Self {
        let mut desk = Desk::idle();
        let plans = customers.iter().zip(NAMES).map(|(customer, name)| {
            let mut terms = plan(burst(room(1_000, 1_000)));
            terms.weight = customer.weight;
            (name, terms)
        });
        desk.policy(&policy(&plans.collect::<Vec<_>>()));
        desk.hold(Some(1));
        let mut contest = Self {
            desk,
            next: 0,
            owners: BTreeMap::new(),
            running: BTreeMap::new(),
            used: vec![0; customers.len()],
            cores: customers.iter().map(|customer| customer.cores).collect(),
            endless: 0,
            waiting: vec![0; customers.len()],
            hungry: vec![0; customers.len()],
            worst: 0,
        };
        contest.announce();
        for (at, customer) in customers.iter().enumerate() {
            contest.submit(at, customer.backlog);
        }
        contest
    }

    fn submit(&mut self, at: usize, tasks: u64) {
        for _ in 0..tasks {
            self.next += 1;
            self.owners.insert(TaskId(self.next), at);
            self.waiting[at] += 1;
            self.desk.open(task(self.next, NAMES[at], room(self.cores[at], 1)));
        }
    }

    fn announce(&mut self) {
        let now = self.desk.now;
        let endless = self.endless;
        let done = |attempt: &TaskAttempt, since: &Time| {
            attempt.task.0 > endless && now.since(*since) >= Duration::from_secs(RUN)
        };
        for worker in (0..WORKERS).map(|at| format!("w{at}")) {
            let mut said = announcement(&worker, room(4, 64));
            let mine = self.running.iter().filter(|(_, (place, _))| *place == worker);
            said.tasks = mine
                .map(|(attempt, (_, since))| match done(attempt, since) {
                    true => report(*attempt, AttemptState::Completed { output: Vec::new().into() }),
                    false => report(*attempt, AttemptState::Running),
                })
                .collect();
            self.desk.announce(said).expect("a lease");
        }
        let ended: Vec<_> = self
            .running
            .iter()
            .filter(|(attempt, (_, since))| done(attempt, since))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in ended {
            self.desk.event(Event::EndRecorded { attempt });
            self.running.remove(&attempt);
        }
    }

    fn second(&mut self, customers: &[Customer]) {
        for (at, customer) in customers.iter().enumerate() {
            self.submit(at, customer.stream);
            self.hungry[at] = if self.waiting[at] > 0 { self.hungry[at] + 1 } else { 0 };
        }
        for (attempt, worker) in self.desk.starts() {
            let at = self.owners[&attempt.task];
            self.waiting[at] -= 1;
            self.hungry[at] = 0;
            self.running.insert(attempt, (worker.to_string(), self.desk.now));
        }
        for attempt in self.running.keys() {
            let at = self.owners[&attempt.task];
            self.used[at] += self.cores[at];
        }
        self.worst = self.worst.max(self.hungry.iter().copied().max().unwrap_or(0));
        self.desk.pass(Duration::from_secs(1));
        self.announce();
        self.desk.commands();
    }
}

#[test]
fn no_customer_is_starved() {
    fn property(mut customers: Vec<Customer>) -> TestResult {
        customers.truncate(NAMES.len());
        let mut contest = Contest::new(&customers);
        for _ in 0..150 {
            contest.second(&customers);
        }
        match contest.worst <= PATIENCE {
            true => TestResult::passed(),
            false => TestResult::error(format!("a customer waited {} s", contest.worst)),
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
    let customers = [(12, 1), (0, 5)].map(|(backlog, stream)| Customer {
        weight: 1,
        backlog,
        stream,
        cores: 1,
    });
    let mut contest = Contest::new(&customers);
    // Ann holds three quarters of the data centre for good, and bob wants more than the rest.
    contest.endless = 12;
    for _ in 0..150 {
        contest.second(&customers);
    }
    assert!(contest.worst <= PATIENCE, "a customer waited {} s", contest.worst);
    assert!(contest.worst > RUN, "bob, who has less, goes first");
}

#[test]
fn shares_follow_weights() {
    struct Case {
        name: &'static str,
        weights: [u32; 2],
        cores: [u64; 2],
        /// Bounds of the first customer's part of what was used, in percent.
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
            stream: 0,
            cores: case.cores[at],
        });
        let mut contest = Contest::new(&customers);
        for _ in 0..60 {
            contest.second(&customers);
        }
        let part = contest.used[0] * 100 / (contest.used[0] + contest.used[1]);
        assert!(part >= case.want.0 && part <= case.want.1, "{}: {part}%", case.name);
    }
}
