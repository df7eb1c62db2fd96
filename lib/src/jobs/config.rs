//! The operators' configuration: queues and services under a version number.

use std::{collections::BTreeSet, sync::Arc};

use crate::{data, ids::ServiceName, jobs::model::QueueName};

data! {
    /// A version of the configuration. The highest accepted version is in force.
    pub struct Config {
        /// The version number, chosen by the operator.
        pub version: u64,
        /// The queues.
        pub queues: Vec<Queue>,
        /// The services.
        pub services: Vec<Service>,
        /// The original text, returned to operators unchanged.
        pub text: Arc<str>,
    }

    /// A queue of jobs.
    pub struct Queue {
        /// Its name.
        pub name: QueueName,
        /// The host of the queue in customers' calls.
        pub host: Arc<str>,
        /// The path prefix of the queue in customers' calls.
        pub prefix: Arc<str>,
        /// The service whose workers run its tasks.
        pub service: ServiceName,
        /// The priority; 0 is the highest.
        pub priority: u32,
        /// The number of failures of a task after which its job fails.
        pub max_attempts: u32,
        /// The objective for the duration of a job as a multiple of its critical path, in
        /// thousandths.
        pub slack: u64,
        /// A constant that is added to the objective, in milliseconds.
        pub target_latency: u64,
        /// The timeout of a call, in milliseconds.
        pub timeout: u64,
        /// The external adviser to ask which workers may run the steps, if not every worker may.
        pub advice: Option<Advice>,
    }

    /// The cost of a query to an external adviser, and the validity of its answers.
    #[derive(Copy)]
    pub struct Advice {
        /// The base time of a query, in milliseconds.
        pub decide: u64,
        /// The additional time of a query for each worker in it, in milliseconds.
        pub period: u64,
        /// How long a ticket from the adviser is valid, in milliseconds.
        pub valid: u64,
    }

    /// A pool of workers.
    pub struct Service {
        /// Its name.
        pub name: ServiceName,
        /// Whether its workers reject runs that exceed their capacity.
        pub rejects_overload: bool,
        /// Whether its machines are switched off.
        pub standby: bool,
    }
}

data! {
    /// An error in a configuration, which a controller refuses for it.
    pub struct ConfigError {
        /// The index of the queue.
        pub queue: usize,
        /// The field of the queue.
        pub field: Field,
        /// What is wrong. The queue is named.
        pub message: String,
    }

    /// A field of a configuration, a queue or a service.
    #[derive(Copy)]
    pub enum Field {
        /// The version of the configuration.
        Version,
        /// The name of a queue or a service.
        Name,
        /// The host of a queue.
        Host,
        /// The path prefix of a queue.
        Prefix,
        /// The service of a queue.
        Service,
        /// The priority of a queue.
        Priority,
        /// The failures of a task after which its job fails.
        MaxAttempts,
        /// The multiple of the critical path.
        Slack,
        /// The constant that is added to the objective.
        TargetLatency,
        /// The timeout of a call.
        Timeout,
        /// The adviser of a queue.
        Advice,
        /// Whether the workers of a service reject runs that exceed their capacity.
        RejectsOverload,
        /// Whether the machines of a service are switched off.
        Standby,
    }
}

/// One, in thousandths.
const PERMILLE: u64 = 1000;

impl Queue {
    /// The objective for the duration of a job with this critical path, in milliseconds.
    pub fn objective(&self, critical_path: u64) -> u64 {
        let slack = critical_path.saturating_mul(self.slack) / PERMILLE;
        slack.saturating_add(self.target_latency)
    }
}

impl Config {
    /// Returns all errors in the configuration, in the order of the queues.
    pub fn errors(&self) -> Vec<ConfigError> {
        self.first_errors(usize::MAX)
    }

    /// Returns the errors of the first queues that have any, and stops once there are `count`.
    pub fn first_errors(&self, count: usize) -> Vec<ConfigError> {
        let services: BTreeSet<_> = self.services.iter().map(|service| &service.name).collect();
        let mut addresses = BTreeSet::new();
        let mut errors = Vec::new();
        for (at, queue) in self.queues.iter().enumerate() {
            if errors.len() >= count {
                break;
            }
            let mut add = |field, reason: &str| {
                let message = format!("queue \"{}\": {reason}", queue.name);
                errors.push(ConfigError { queue: at, field, message });
            };
            if !services.contains(&queue.service) {
                add(Field::Service, &format!("unknown service \"{}\"", queue.service));
            }
            if !addresses.insert((&queue.host, &queue.prefix)) {
                add(Field::Prefix, "host and prefix are taken");
            }
            if queue.timeout == 0 {
                add(Field::Timeout, "the timeout is 0");
            }
        }
        errors
    }

    /// Returns the messages of all errors in the configuration.
    pub fn validation_errors(&self) -> Vec<String> {
        self.errors().into_iter().map(|error| error.message).collect()
    }

    /// The queue with this name.
    pub fn queue(&self, name: &QueueName) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == *name)
    }

    /// The queue with the longest prefix that matches a call, and the rest of the path.
    pub fn route<'p>(&self, host: &str, path: &'p str) -> Option<(&Queue, &'p str)> {
        let matching = self
            .queues
            .iter()
            .filter(|queue| *queue.host == *host && path.starts_with(&*queue.prefix));
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }
}
