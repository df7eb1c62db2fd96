//! The current policy: the validated content of the plans list and the usage list.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    data,
    ids::{CustomerName, DataCentre, OperatorName, PlanName, Revision, ServiceName},
    resources::Resources,
    symbols,
};

symbols! {
    /// The objective that scheduling decisions optimize for a plan.
    pub enum Objective {
        /// Prefer low tail latency of services.
        Latency = "latency",
        /// Prefer high batch throughput and few evictions.
        Throughput = "throughput",
    }

    /// The part of a plan's allowance that the resources of a task are charged to.
    pub enum Tier {
        /// Within the plan's guarantee: evicted only if it interferes with a service.
        Guaranteed = "guaranteed",
        /// Above the guarantee, within the plan's burst: may be preempted by guaranteed work.
        Burst = "burst",
        /// Above the burst, on otherwise idle resources: evicted first.
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

    /// The resources that each customer on a plan may use.
    #[derive(Copy, Default)]
    pub struct Allowance {
        /// Reserved for the customer.
        pub guaranteed: Resources,
        /// Available beyond the guarantee, while no customer's guarantee needs it.
        pub burst: Resources,
        /// Available beyond the burst, while it would be idle.
        pub best_effort: Resources,
    }

    /// A plan.
    pub struct Plan {
        /// The objective that scheduling decisions optimize.
        pub objective: Objective,
        /// Whether its customers may submit urgent tasks.
        pub urgent: bool,
        /// The weight of the plan in the sharing of idle resources.
        pub weight: u32,
        /// The allowed retries and hedges, in thousandths of the requests.
        pub retry_permille: u32,
        /// Whether a request is answered only after its count is committed.
        pub exact_counts: bool,
        /// The maximum number of evictions of a task.
        pub task_evictions: u32,
        /// The maximum number of evictions per customer and hour.
        pub hourly_evictions: u32,
        /// The services that customers on the plan may call.
        pub services: Vec<ServiceName>,
        /// The resources that each customer on the plan may use.
        pub allowance: Allowance,
    }

    /// A customer.
    pub struct Customer {
        /// The plan that the customer is on.
        pub plan: PlanName,
        /// The hash of the customer's credential.
        pub credential: CredentialHash,
    }

    /// A latency-critical service.
    pub struct Service {
        /// The customer whose allowance the replicas are charged to.
        pub owner: CustomerName,
        /// The resources of one replica.
        pub size: Resources,
        /// The number of replicas in each data centre.
        pub replicas: BTreeMap<DataCentre, u32>,
        /// The latency objective: a request counts as good if it completes within it.
        pub latency: Duration,
        /// The objective for the share of good requests, in millionths.
        pub good_ppm: u32,
    }

    /// The current policy.
    #[derive(Default)]
    pub struct Policy {
        /// The revision of the plans list.
        pub plans_revision: Revision,
        /// The revision of the usage list.
        pub usage_revision: Revision,
        /// The plans with their allowances.
        pub plans: BTreeMap<PlanName, Plan>,
        /// The customers.
        pub customers: BTreeMap<CustomerName, Customer>,
        /// The operators who may edit the lists.
        pub operators: BTreeMap<OperatorName, CredentialHash>,
        /// The services.
        pub services: BTreeMap<ServiceName, Service>,
    }
}

impl CredentialHash {
    /// Hashes a credential.
    pub fn of(credential: &str) -> Self {
        Self { digest: *blake3::hash(credential.as_bytes()).as_bytes() }
    }

    /// Whether `credential` has this hash; compares in constant time.
    pub fn matches(&self, credential: &str) -> bool {
        blake3::Hash::from_bytes(self.digest) == blake3::hash(credential.as_bytes())
    }
}

impl Policy {
    /// The customer with this credential.
    pub fn customer_by_credential(&self, credential: &str) -> Option<&CustomerName> {
        self.customers.iter().fold(None, |found, (name, customer)| {
            match customer.credential.matches(credential) {
                true => Some(name),
                false => found,
            }
        })
    }

    /// The operator with this credential.
    pub fn operator_by_credential(&self, credential: &str) -> Option<&OperatorName> {
        self.operators.iter().fold(None, |found, (name, hash)| match hash.matches(credential) {
            true => Some(name),
            false => found,
        })
    }

    /// The plan that a customer is on.
    pub fn plan_of(&self, customer: &CustomerName) -> Option<&Plan> {
        self.plans.get(&self.customers.get(customer)?.plan)
    }

    /// Whether the customer's plan lets it call the service.
    pub fn may_call(&self, customer: &CustomerName, service: &ServiceName) -> bool {
        self.plan_of(customer).is_some_and(|plan| plan.services.contains(service))
    }
}
