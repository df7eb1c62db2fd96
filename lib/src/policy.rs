//! The policy in force: what the two lists say, checked and ready for decisions.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    data,
    ids::{CustomerName, DataCentre, OperatorName, PlanName, Revision, ServiceName},
    resources::Resources,
    symbols,
};

symbols! {
    /// What a plan's decisions are weighed by.
    pub enum Objective {
        /// Tail latency of services first.
        Latency = "latency",
        /// Batch throughput and few evictions first.
        Throughput = "throughput",
    }

    /// How firmly a customer holds the room for a piece of work.
    pub enum Tier {
        /// Within what the plan guarantees: evicted only for a hurt service.
        Guaranteed = "guaranteed",
        /// Above that, within the plan's burst: evicted for guaranteed work.
        Burst = "burst",
        /// Above that, on what would be idle: evicted first.
        BestEffort = "best_effort",
    }
}

data! {
    /// The hash of a credential; the credential itself is never stored.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct CredentialHash {
        /// BLAKE3 of the credential.
        pub digest: [u8; 32],
    }

    /// What one customer on a plan may use.
    #[derive(Copy, Default)]
    pub struct Allowance {
        /// Reserved.
        pub guaranteed: Resources,
        /// Above the reserved amount, while nobody's guarantee needs it.
        pub burst: Resources,
        /// Above the burst, while it would be idle.
        pub best_effort: Resources,
    }

    /// A plan.
    pub struct Plan {
        /// What decisions are weighed by.
        pub objective: Objective,
        /// Whether its customers may submit urgent tasks.
        pub urgent: bool,
        /// The share of idle room relative to other plans.
        pub weight: u32,
        /// Retries and hedges allowed, in thousandths of the requests.
        pub retry_permille: u32,
        /// Whether a request is answered only once its count is committed.
        pub exact_counts: bool,
        /// How often one task may be evicted.
        pub task_evictions: u32,
        /// How many evictions a customer bears an hour.
        pub hourly_evictions: u32,
        /// Services that its customers may call.
        pub services: Vec<ServiceName>,
        /// What each of its customers may use.
        pub allowance: Allowance,
    }

    /// A customer.
    pub struct Customer {
        /// Its plan.
        pub plan: PlanName,
        /// The hash of its credential.
        pub credential: CredentialHash,
    }

    /// A latency-critical service.
    pub struct Service {
        /// The customer whose allowance its replicas count against.
        pub owner: CustomerName,
        /// What one replica needs.
        pub size: Resources,
        /// How many replicas run in each data centre.
        pub replicas: BTreeMap<DataCentre, u32>,
        /// The latency within which a request counts as good.
        pub latency: Duration,
        /// Good requests aimed at, in millionths.
        pub good_ppm: u32,
    }

    /// The policy in force.
    #[derive(Default)]
    pub struct Policy {
        /// The revision of the plans.
        pub plans_revision: Revision,
        /// The revision of the usage list.
        pub usage_revision: Revision,
        /// Plans with their allowances.
        pub plans: BTreeMap<PlanName, Plan>,
        /// Customers.
        pub customers: BTreeMap<CustomerName, Customer>,
        /// Operators who may edit the lists.
        pub operators: BTreeMap<OperatorName, CredentialHash>,
        /// Services.
        pub services: BTreeMap<ServiceName, Service>,
    }
}

impl CredentialHash {
    /// The hash of a credential as it is presented.
    pub fn of(credential: &str) -> Self {
        Self { digest: *blake3::hash(credential.as_bytes()).as_bytes() }
    }

    /// Whether `credential` has this hash; takes the same time wherever they differ.
    pub fn matches(&self, credential: &str) -> bool {
        blake3::Hash::from_bytes(self.digest) == blake3::hash(credential.as_bytes())
    }
}

impl Policy {
    /// The customer who holds `credential`.
    pub fn customer_by_credential(&self, credential: &str) -> Option<&CustomerName> {
        self.customers.iter().fold(None, |found, (name, customer)| {
            match customer.credential.matches(credential) {
                true => Some(name),
                false => found,
            }
        })
    }

    /// The operator who holds `credential`.
    pub fn operator_by_credential(&self, credential: &str) -> Option<&OperatorName> {
        self.operators.iter().fold(None, |found, (name, hash)| match hash.matches(credential) {
            true => Some(name),
            false => found,
        })
    }

    /// The plan of a customer.
    pub fn plan_of(&self, customer: &CustomerName) -> Option<&Plan> {
        self.plans.get(&self.customers.get(customer)?.plan)
    }

    /// Whether the customer's plan lets it call the service.
    pub fn may_call(&self, customer: &CustomerName, service: &ServiceName) -> bool {
        self.plan_of(customer).is_some_and(|plan| plan.services.contains(service))
    }
}
