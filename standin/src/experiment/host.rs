//! A worker of the fake.

use hickorylink_lib::{
    ids::{Attempt, TaskAttempt, TaskId, WorkerName},
    resources::Resources,
};

use crate::experiment::{arrivals::Job, truth::Truth};

/// A batch task that runs.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    /// The task.
    pub(crate) job: Job,
    /// Its throttle, in thousandths.
    pub(crate) permille: u32,
    /// The processors it used in the last second.
    pub(crate) used: f64,
}

/// A replica on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    /// Its try.
    pub(crate) attempt: TaskAttempt,
    /// Its service's number.
    pub(crate) service: usize,
    /// The processors it holds.
    pub(crate) cores: f64,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    /// Its name.
    pub(crate) name: WorkerName,
    /// All it has.
    pub(crate) capacity: Resources,
    /// What isn't held by declared sizes.
    pub(crate) free: Resources,
    /// Its replicas.
    pub(crate) replicas: Vec<Replica>,
    /// Its batch tasks.
    pub(crate) running: Vec<Running>,
}

impl Running {
    /// The try.
    pub(crate) fn attempt(&self) -> TaskAttempt {
        TaskAttempt { task: TaskId(self.job.id), attempt: Attempt(self.job.attempt) }
    }

    /// How fast it runs by its throttle, from 0 to 1: a throttle bounds it to a part of its
    /// declared size, which may be far from what it uses.
    pub(crate) fn activity(&self) -> f64 {
        if self.permille >= 1_000 {
            return 1.0;
        }
        let declared = self.job.size.millicores as f64 / 1_000.0;
        (declared * f64::from(self.permille) / 1_000.0 / self.job.cores).min(1.0)
    }
}

impl Host {
    /// How many times its processors are asked for.
    pub(crate) fn pressure(&self, truth: &Truth, second: u64) -> f64 {
        let services: f64 =
            self.replicas.iter().map(|at| at.cores * truth.load(at.service, second)).sum();
        let batch: f64 = self.running.iter().map(|at| at.job.cores * at.activity()).sum();
        (services + batch) * 1_000.0 / self.capacity.millicores as f64
    }

    /// The summed harm to a service's replica.
    pub(crate) fn harm(&self, truth: &Truth, service: usize) -> f64 {
        self.running.iter().map(|at| truth.harm(service, at.job.kind, at.activity())).sum()
    }

    /// The true rise of its replicas' latencies, as fractions, if a task were started.
    pub(crate) fn rise(&self, truth: &Truth, second: u64, job: &Job) -> f64 {
        let pressure = self.pressure(truth, second);
        let more = pressure + job.cores * 1_000.0 / self.capacity.millicores as f64;
        let rises = self.replicas.iter().map(|at| {
            let (load, harm) = (truth.load(at.service, second), self.harm(truth, at.service));
            let alone = truth.median(at.service, load, 0.0, 0.0);
            let before = truth.median(at.service, load, harm, pressure);
            let added = truth.harm(at.service, job.kind, 1.0);
            (truth.median(at.service, load, harm + added, more) - before) / alone
        });
        rises.sum()
    }

    /// Lets a second pass for the batch tasks; gives those that ended. When too many processors
    /// are asked for, batch tasks get what services leave.
    pub(crate) fn work(&mut self, truth: &Truth, second: u64) -> Vec<Running> {
        let services: f64 =
            self.replicas.iter().map(|at| at.cores * truth.load(at.service, second)).sum();
        let left = self.capacity.millicores as f64 / 1_000.0 - services;
        let asked: f64 = self.running.iter().map(|at| at.job.cores * at.activity()).sum();
        let speed = if asked > left { left / asked } else { 1.0 };
        for running in &mut self.running {
            let pace = running.activity() * speed;
            running.job.work -= pace;
            running.used = running.job.cores * pace;
        }
        let ended: Vec<_> = self.running.extract_if(.., |at| at.job.work <= 0.0).collect();
        for running in &ended {
            self.free = self.free.saturating_add(&running.job.size);
        }
        ended
    }

    /// Starts a task.
    pub(crate) fn start(&mut self, job: Job) {
        self.free = self.free.saturating_sub(&job.size);
        self.running.push(Running { job, permille: 1_000, used: 0.0 });
    }

    /// Stops a task; gives it if it runs.
    pub(crate) fn stop(&mut self, attempt: TaskAttempt) -> Option<Running> {
        let at = self.running.iter().position(|running| running.attempt() == attempt)?;
        let running = self.running.remove(at);
        self.free = self.free.saturating_add(&running.job.size);
        Some(running)
    }

    /// What is held by declared sizes, as the dominant share of the worker.
    pub(crate) fn share(&self) -> f64 {
        self.capacity.saturating_sub(&self.free).dominant_share(&self.capacity)
    }
}
