//! A worker of the experiment, with its replicas and batch tasks.

use hickorylink_lib::{
    ids::{Attempt, TaskAttempt, TaskId, WorkerName},
    resources::Resources,
};

use crate::experiment::{arrivals::Job, ground_truth::GroundTruth};

/// A running batch task.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    /// The task.
    pub(crate) job: Job,
    /// The fraction of its declared processors that it may use, in thousandths.
    pub(crate) permille: u32,
    /// The processors that it used in the last second.
    pub(crate) used: f64,
}

/// A replica on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    /// Its attempt.
    pub(crate) attempt: TaskAttempt,
    /// The index of its service.
    pub(crate) service: usize,
    /// Its processors.
    pub(crate) cores: f64,
}

/// A worker with its replicas and running batch tasks.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    /// Its name, by which the policy and the scheduler know it.
    pub(crate) name: WorkerName,
    /// Its total resources.
    pub(crate) capacity: Resources,
    /// The resources that no declared size reserves.
    pub(crate) free: Resources,
    /// Its replicas.
    pub(crate) replicas: Vec<Replica>,
    /// Its batch tasks.
    pub(crate) running: Vec<Running>,
}

impl Running {
    /// Its attempt.
    pub(crate) fn attempt(&self) -> TaskAttempt {
        TaskAttempt { task: TaskId(self.job.id), attempt: Attempt(self.job.attempt) }
    }

    /// The fraction of its full speed that the throttle permits. The throttle is relative to the
    /// declared size, which can differ much from the actual use.
    pub(crate) fn activity(&self) -> f64 {
        if self.permille >= 1_000 {
            return 1.0;
        }
        let declared = self.job.size.millicores as f64 / 1_000.0;
        (declared * f64::from(self.permille) / 1_000.0 / self.job.cores).min(1.0)
    }
}

impl Host {
    /// The processor demand of services and batch tasks, relative to the capacity.
    pub(crate) fn pressure(&self, truth: &GroundTruth, second: u64) -> f64 {
        let services: f64 = self
            .replicas
            .iter()
            .map(|replica| replica.cores * truth.load(replica.service, second))
            .sum();
        let batch: f64 =
            self.running.iter().map(|running| running.job.cores * running.activity()).sum();
        (services + batch) * 1_000.0 / self.capacity.millicores as f64
    }

    /// The total harm of the batch tasks to a replica of a service.
    pub(crate) fn harm(&self, truth: &GroundTruth, service: usize) -> f64 {
        self.running
            .iter()
            .map(|running| truth.harm(service, running.job.kind, running.activity()))
            .sum()
    }

    /// The true increase of its replicas' latencies if a task were started, summed as fractions of
    /// their latency without neighbours.
    pub(crate) fn latency_increase(&self, truth: &GroundTruth, second: u64, job: &Job) -> f64 {
        let pressure = self.pressure(truth, second);
        let new_pressure = pressure + job.cores * 1_000.0 / self.capacity.millicores as f64;
        let increases = self.replicas.iter().map(|replica| {
            let (load, harm) =
                (truth.load(replica.service, second), self.harm(truth, replica.service));
            let alone = truth.median(replica.service, load, 0.0, 0.0);
            let before = truth.median(replica.service, load, harm, pressure);
            let added = truth.harm(replica.service, job.kind, 1.0);
            (truth.median(replica.service, load, harm + added, new_pressure) - before) / alone
        });
        increases.sum()
    }

    /// Advances the batch tasks by a second and returns those that completed. Services have
    /// priority: if the demand exceeds the capacity, batch tasks share what services leave.
    pub(crate) fn advance(&mut self, truth: &GroundTruth, second: u64) -> Vec<Running> {
        let services: f64 = self
            .replicas
            .iter()
            .map(|replica| replica.cores * truth.load(replica.service, second))
            .sum();
        let available = self.capacity.millicores as f64 / 1_000.0 - services;
        let demand: f64 =
            self.running.iter().map(|running| running.job.cores * running.activity()).sum();
        let speed = if demand > available { available / demand } else { 1.0 };
        for running in &mut self.running {
            let progress = running.activity() * speed;
            running.job.work -= progress;
            running.used = running.job.cores * progress;
        }
        let completed: Vec<_> =
            self.running.extract_if(.., |running| running.job.work <= 0.0).collect();
        for running in &completed {
            self.free = self.free.saturating_add(&running.job.size);
        }
        completed
    }

    /// Starts a task at full speed.
    pub(crate) fn start(&mut self, job: Job) {
        self.free = self.free.saturating_sub(&job.size);
        self.running.push(Running { job, permille: 1_000, used: 0.0 });
    }

    /// Stops a task and returns it, if it is running.
    pub(crate) fn stop(&mut self, attempt: TaskAttempt) -> Option<Running> {
        let at = self.running.iter().position(|running| running.attempt() == attempt)?;
        let running = self.running.remove(at);
        self.free = self.free.saturating_add(&running.job.size);
        Some(running)
    }

    /// The dominant share of the worker's resources that declared sizes reserve.
    pub(crate) fn reserved_share(&self) -> f64 {
        self.capacity.saturating_sub(&self.free).dominant_share(&self.capacity)
    }
}
