//! A test harness: a router with a policy, instances and targets, driven event by event.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use hickorylink_lib::{
    ids::{InstanceId, RequestId},
    policy::{Allowance, CredentialHash, Customer, Objective, Plan, Policy, Service},
    resources::Resources,
    router::{
        Config, Router,
        port::{
            AttemptEnd, AttemptId, ClaimAnswer, Effect, Event, Peer, Request, RequestOutcome,
            Response, Target,
        },
    },
    time::Time,
};

pub(crate) const SERVICE: &str = "folddesk";
pub(crate) const CENTRE: &str = "akl-a";

/// A customer of the test policy.
pub(crate) struct TestCustomer {
    pub(crate) name: &'static str,
    pub(crate) exact: bool,
    pub(crate) permille: u32,
    pub(crate) weight: u32,
}

pub(crate) const STORE: TestCustomer =
    TestCustomer { name: "store", exact: false, permille: 200, weight: 1 };
pub(crate) const RIVAL: TestCustomer =
    TestCustomer { name: "rival", exact: false, permille: 200, weight: 1 };
pub(crate) const MEMBER: TestCustomer =
    TestCustomer { name: "member", exact: true, permille: 200, weight: 1 };
pub(crate) const FRUGAL: TestCustomer =
    TestCustomer { name: "frugal", exact: false, permille: 0, weight: 1 };
pub(crate) const HEAVY: TestCustomer =
    TestCustomer { name: "heavy", exact: false, permille: 200, weight: 3 };

/// All customers of the test policy.
pub(crate) const CUSTOMERS: [TestCustomer; 5] = [STORE, RIVAL, MEMBER, FRUGAL, HEAVY];

pub(crate) fn policy() -> Arc<Policy> {
    let mut policy = Policy::default();
    for spec in CUSTOMERS {
        let plan = Plan {
            objective: Objective::Latency,
            urgent: false,
            weight: spec.weight,
            retry_permille: spec.permille,
            exact_counts: spec.exact,
            task_evictions: 0,
            hourly_evictions: 0,
            services: vec![SERVICE.into()],
            allowance: Allowance::default(),
        };
        policy.plans.insert(spec.name.into(), plan);
        let credential = CredentialHash::of(spec.name);
        let customer = Customer { plan: spec.name.into(), credential };
        policy.customers.insert(spec.name.into(), customer);
    }
    let service = Service {
        owner: "store".into(),
        size: Resources::default(),
        replicas: BTreeMap::new(),
        latency: Duration::from_millis(50),
        good_ppm: 999_000,
    };
    policy.services.insert(SERVICE.into(), service);
    Arc::new(policy)
}

pub(crate) fn peers(list: &[(u64, &str)]) -> Vec<Peer> {
    let peer =
        |(id, centre): &(u64, &str)| Peer { instance: InstanceId(*id), centre: (*centre).into() };
    list.iter().map(peer).collect()
}

pub(crate) fn target(address: &str, centre: &str) -> Target {
    Target {
        address: address.to_owned(),
        worker: address.into(),
        centre: centre.into(),
        service: SERVICE.into(),
        slots: 8,
        connections: 64,
        leaving: false,
    }
}

/// A request to the router. It has a key if it isn't idempotent.
pub(crate) fn request(id: u64, customer: &str, idempotent: bool, deadline: Time) -> Request {
    let key = (!idempotent).then(|| format!("key-{id}").as_str().into());
    Request {
        request: RequestId(id),
        customer: customer.into(),
        service: SERVICE.into(),
        path: "/plan".to_owned(),
        idempotent,
        key,
        deadline,
        body: Bytes::from(format!("body {id}")),
    }
}

pub(crate) fn attempt(request: u64, number: u32) -> AttemptId {
    AttemptId { request: RequestId(request), number }
}

pub(crate) fn answered(request: u64) -> AttemptEnd {
    AttemptEnd::Answered(Response { status: 200, body: Bytes::from(format!("answer {request}")) })
}

pub(crate) fn lost() -> AttemptEnd {
    AttemptEnd::Lost { reason: "the connection was reset".to_owned() }
}

/// A router and all effects that it has emitted.
#[derive(Clone)]
pub(crate) struct Harness {
    pub(crate) router: Router,
    pub(crate) now: Time,
    pub(crate) effects: Vec<Effect>,
}

impl Harness {
    /// Creates the only instance of a data centre with `targets` targets, after the settle time.
    pub(crate) fn new(targets: usize) -> Self {
        Self::with(config(), targets)
    }

    pub(crate) fn with(config: Config, targets: usize) -> Self {
        let mut harness = Self::empty(config);
        harness.handle(Event::Policy(policy()));
        harness.handle(Event::Instances(peers(&[(1, CENTRE)])));
        for at in 0..targets {
            harness.handle(Event::Target(Box::new(target(&address(at), CENTRE))));
        }
        harness.pass(Duration::from_secs(20));
        harness
    }

    pub(crate) fn empty(config: Config) -> Self {
        let now = Time::from_millis(1_000);
        let router = Router::new(config, now, SEED);
        Self { router, now, effects: Vec::new() }
    }

    pub(crate) fn handle(&mut self, event: Event) {
        self.router.handle(self.now, event, &mut self.effects);
    }

    /// Advances the time by `span`, and delivers each timer on the way.
    pub(crate) fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.router.next_deadline().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.handle(Event::Timer);
        }
        self.now = end;
    }

    pub(crate) fn ask(&mut self, request: Request) {
        self.handle(Event::Request(Box::new(request)));
    }

    pub(crate) fn end(&mut self, attempt: AttemptId, end: AttemptEnd) {
        self.handle(Event::AttemptEnded { attempt, end });
    }

    pub(crate) fn claim(&mut self, request: u64, answer: ClaimAnswer) {
        self.handle(Event::ClaimAnswered { request: RequestId(request), answer });
    }

    pub(crate) fn recorded(&mut self, request: u64) {
        self.handle(Event::Recorded { request: RequestId(request) });
    }

    /// The outcomes with which a request was answered.
    pub(crate) fn outcomes(&self, id: u64) -> Vec<&RequestOutcome> {
        let answers = self.effects.iter().filter_map(answer);
        answers.filter(|(request, _)| request.0 == id).map(|(_, outcome)| outcome).collect()
    }

    /// The last attempt sent, with its target.
    pub(crate) fn last_sent(&self) -> Option<(AttemptId, &str)> {
        self.effects.iter().rev().find_map(send)
    }

    /// All attempts sent, with their targets.
    pub(crate) fn sent(&self) -> Vec<(AttemptId, &str)> {
        self.effects.iter().filter_map(send).collect()
    }
}

pub(crate) fn answer(effect: &Effect) -> Option<(RequestId, &RequestOutcome)> {
    let Effect::Answer { request, outcome } = effect else { return None };
    Some((*request, outcome))
}

pub(crate) fn send(effect: &Effect) -> Option<(AttemptId, &str)> {
    let Effect::Send { attempt, target, .. } = effect else { return None };
    Some((*attempt, target))
}

pub(crate) const SEED: u64 = 7;

pub(crate) fn config() -> Config {
    Config::new(InstanceId(1), CENTRE.into())
}

pub(crate) fn address(at: usize) -> String {
    format!("10.0.{}.{}:80", at / 250, at % 250)
}
