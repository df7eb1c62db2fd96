//! The operators' configuration: queues, services and limits under one version.

use std::{collections::BTreeSet, sync::Arc};

use crate::{data, ids::ServiceName, jobs::model::QueueName};

data! {
    /// One version of the configuration; the highest that was accepted is in force.
    pub struct Config {
        /// The operator's number for it.
        pub version: u64,
        /// The queues.
        pub queues: Vec<Queue>,
        /// The services.
        pub services: Vec<Service>,
        /// The operator's own text, given back as it came.
        pub text: Arc<str>,
    }

    /// A lane for jobs.
    pub struct Queue {
        /// Its name.
        pub name: QueueName,
        /// The host that callers address.
        pub host: Arc<str>,
        /// The beginning of the path that callers address.
        pub prefix: Arc<str>,
        /// The service whose workers run its tasks.
        pub service: ServiceName,
        /// Its rank; 0 comes first.
        pub priority: u32,
        /// How often a task may fail before its job does.
        pub max_attempts: u32,
        /// How much longer than its longest chain a job may take, in thousandths.
        pub slack: u64,
        /// What is added to that objective, in milliseconds.
        pub target_latency: u64,
        /// How long callers wait, in milliseconds.
        pub timeout: u64,
        /// How workers for its steps are asked for, if not every worker may run them.
        pub advice: Option<Advice>,
    }

    /// What an adviser's answers cost and how long they hold.
    #[derive(Copy)]
    pub struct Advice {
        /// The time of a question, in milliseconds.
        pub decide: u64,
        /// The time for each worker in it, in milliseconds.
        pub period: u64,
        /// How long a ticket holds, in milliseconds.
        pub valid: u64,
    }

    /// A pool of workers.
    pub struct Service {
        /// Its name.
        pub name: ServiceName,
        /// Whether its workers refuse what doesn't fit.
        pub rejects_overload: bool,
        /// Whether its machines are off.
        pub standby: bool,
    }
}

/// Thousandths in a whole.
const PERMILLE: u64 = 1000;

impl Queue {
    /// How long a job with this longest chain may take, in milliseconds.
    pub fn objective(&self, critical_path: u64) -> u64 {
        critical_path * self.slack / PERMILLE + self.target_latency
    }
}

impl Config {
    /// Everything that is wrong in the configuration.
    pub fn validation_errors(&self) -> Vec<String> {
        let services: BTreeSet<_> = self.services.iter().map(|service| &service.name).collect();
        let mut places = BTreeSet::new();
        let mut found = Vec::new();
        for queue in &self.queues {
            if !services.contains(&queue.service) {
                let service = &queue.service;
                found.push(format!("queue \"{}\": unknown service \"{service}\"", queue.name));
            }
            if !places.insert((&queue.host, &queue.prefix)) {
                found.push(format!("queue \"{}\": host and prefix are taken", queue.name));
            }
            if queue.timeout == 0 {
                found.push(format!("queue \"{}\": the timeout is 0", queue.name));
            }
        }
        found
    }

    /// The queue with this name.
    pub fn queue(&self, name: &QueueName) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == *name)
    }

    /// The queue that a call addresses, with what follows its prefix in the path: the longest
    /// prefix decides.
    pub fn route<'p>(&self, host: &str, path: &'p str) -> Option<(&Queue, &'p str)> {
        let matching = self
            .queues
            .iter()
            .filter(|queue| *queue.host == *host && path.starts_with(&*queue.prefix));
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }
}
