//! The cost of routing decisions by the number of targets, with four requests per target in flight
//! from twenty customers.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use divan::Bencher;
use hickorylink_lib::{
    ids::{CustomerName, InstanceId, RequestId, ServiceName},
    policy::{Allowance, CredentialHash, Customer, Objective, Plan, Policy, Service},
    resources::Resources,
    router::{
        Config, Router,
        port::{AttemptEnd, AttemptId, Effect, Event, Peer, Request, Response, Target},
    },
    time::Time,
};

const SERVICE: &str = "folddesk";
const CENTRE: &str = "akl-a";
const CUSTOMERS: usize = 20;

/// The number of requests in flight per target during the measurement.
const LOAD: usize = 4;

fn main() {
    divan::main();
}

fn policy() -> Policy {
    let mut policy = Policy::default();
    let plan = Plan {
        objective: Objective::Latency,
        urgent: false,
        weight: 1,
        retry_permille: 100,
        exact_counts: false,
        task_evictions: 0,
        hourly_evictions: 0,
        services: vec![SERVICE.into()],
        allowance: Allowance::default(),
    };
    policy.plans.insert("plan".into(), plan);
    for at in 0..CUSTOMERS {
        let name = customer(at);
        let credential = CredentialHash::of(&name);
        let customer = Customer { plan: "plan".into(), credential };
        policy.customers.insert(name.as_str().into(), customer);
    }
    let service = Service {
        owner: "customer-0".into(),
        size: Resources::default(),
        replicas: BTreeMap::new(),
        latency: Duration::from_millis(50),
        good_ppm: 999_000,
    };
    policy.services.insert(SERVICE.into(), service);
    policy
}

fn customer(at: usize) -> String {
    format!("customer-{at}")
}

/// A router under constant load: each answered request is followed by a new one.
struct Driver {
    router: Router,
    now: Time,
    next: u64,
    effects: Vec<Effect>,
    open: VecDeque<AttemptId>,
    customers: Vec<CustomerName>,
    service: ServiceName,
}

impl Driver {
    fn new(targets: usize) -> Self {
        let now = Time::from_millis(1);
        let config = Config::new(InstanceId(1), CENTRE.into());
        let mut driver = Self {
            router: Router::new(config, now, 1),
            now,
            next: 1,
            effects: Vec::new(),
            open: VecDeque::new(),
            customers: (0..CUSTOMERS).map(|at| customer(at).as_str().into()).collect(),
            service: SERVICE.into(),
        };
        driver.handle(Event::Policy(Arc::new(policy())));
        let me = Peer { instance: InstanceId(1), centre: CENTRE.into() };
        driver.handle(Event::Instances(vec![me]));
        for at in 0..targets {
            driver.handle(Event::Target(Box::new(target(at))));
        }
        driver.now = driver.now + Duration::from_secs(60);
        driver.handle(Event::Timer);
        for _ in 0..targets * LOAD {
            driver.ask();
        }
        driver
    }

    fn handle(&mut self, event: Event) {
        self.router.handle(self.now, event, &mut self.effects);
        for effect in self.effects.drain(..) {
            if let Effect::Send { attempt, .. } = effect {
                self.open.push_back(attempt);
            }
        }
    }

    fn request(&mut self) -> Event {
        let request = Request {
            request: RequestId(self.next),
            customer: self.customers[self.next as usize % CUSTOMERS].clone(),
            service: self.service.clone(),
            path: "/plan".to_owned(),
            idempotent: true,
            key: None,
            deadline: self.now + Duration::from_secs(2),
            body: Bytes::from_static(b"a pocket square"),
        };
        self.next += 1;
        Event::Request(Box::new(request))
    }

    fn ask(&mut self) {
        let request = self.request();
        self.handle(request);
    }

    /// Answers and records the oldest attempt.
    fn answer(&mut self) {
        let Some(attempt) = self.open.pop_front() else { return };
        let response = Response { status: 200, body: Bytes::from_static(b"a fold plan") };
        self.handle(Event::AttemptEnded { attempt, end: AttemptEnd::Answered(response) });
        self.handle(Event::Recorded { request: attempt.request });
    }

    fn turn(&mut self) {
        self.now = self.now + Duration::from_micros(10);
        self.answer();
        self.ask();
    }
}

fn target(at: usize) -> Target {
    Target {
        address: format!("10.0.{}.{}:80", at / 250, at % 250),
        worker: format!("worker-{at}").as_str().into(),
        centre: CENTRE.into(),
        service: SERVICE.into(),
        slots: 8,
        connections: 64,
        leaving: false,
    }
}

/// A request arrives and is sent to a target.
#[divan::bench(args = [48, 200, 1_000], sample_count = 400, sample_size = 100)]
fn decision(bencher: Bencher<'_, '_>, targets: usize) {
    let driver = RefCell::new(Driver::new(targets));
    bencher
        .with_inputs(|| {
            let mut driver = driver.borrow_mut();
            driver.now = driver.now + Duration::from_micros(10);
            driver.answer();
            driver.request()
        })
        .bench_local_values(|request| driver.borrow_mut().handle(request));
}

/// A request arrives, is sent to a target, answered and recorded.
#[divan::bench(args = [48, 200, 1_000], sample_count = 400, sample_size = 100)]
fn whole_request(bencher: Bencher<'_, '_>, targets: usize) {
    let mut driver = Driver::new(targets);
    bencher.bench_local(|| driver.turn());
}
