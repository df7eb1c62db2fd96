//! The arrival process of batch tasks: a steady stream, and bursts of noisy tasks.

use hickorylink_lib::resources::Resources;

use crate::experiment::{
    driver::TASK_EVICTIONS,
    ground_truth::GroundTruth,
    random::Random,
    setup::{KINDS, REPLICAS, Setup},
};

/// The offered load of the steady stream, as a fraction of the capacity that services leave free.
const STEADY_LOAD: f64 = 0.6;
/// The time from the start of one burst to the next, in seconds.
const BURST_INTERVAL_S: u64 = 300;
/// The duration of a burst, in seconds.
const BURST_LENGTH_S: u64 = 20;
/// The mean number of tasks in a burst, per worker.
const BURST_TASKS: f64 = 0.6;
/// The mean work of a task, in seconds at full speed.
const MEAN_WORK_S: f64 = 180.0;
/// The mean declared size of a task, in processors.
const MEAN_CORES: f64 = 1.5;
/// The error of declared sizes, as the standard deviation of the logarithm.
const SIZE_ERROR: f64 = 0.4;

/// A submitted task.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The id of the task.
    pub(crate) id: u64,
    /// The number of its current or next attempt.
    pub(crate) attempt: u32,
    /// The index of its kind.
    pub(crate) kind: usize,
    /// Its declared size.
    pub(crate) size: Resources,
    /// The processors that it actually uses at full speed.
    pub(crate) cores: f64,
    /// The remaining work, in seconds at full speed.
    pub(crate) work: f64,
    /// The evictions that its plan still allows.
    pub(crate) evictions: u32,
}

/// The stream of submissions to a data centre.
#[derive(Clone, Debug)]
pub(crate) struct Arrivals {
    random: Random,
    workers: f64,
    /// The mean number of tasks per second in the steady stream.
    rate: f64,
    /// The id of the last task. Replicas have lower ids, with up to 500 workers in a data centre.
    next: u64,
    /// The kind of the tasks in the current burst.
    burst_kind: usize,
}

impl Arrivals {
    /// The arrivals at a data centre with `workers` workers.
    pub(crate) fn new(setup: &Setup, workers: usize, seed: u64) -> Self {
        let replicas = REPLICAS as u64 * setup.user.replica().millicores;
        let free_cores = (setup.user.worker().millicores - replicas) as f64 / 1_000.0;
        let rate = workers as f64 * free_cores * STEADY_LOAD / (MEAN_CORES * MEAN_WORK_S);
        Self {
            random: Random::new(seed, 2),
            workers: workers as f64,
            rate,
            next: 1_000,
            burst_kind: 0,
        }
    }

    /// The tasks that arrive in a second.
    pub(crate) fn arrive(&mut self, second: u64, truth: &GroundTruth) -> Vec<Job> {
        let steady = self.random.poisson(self.rate);
        let mut jobs: Vec<_> = (0..steady).map(|_| self.random_job(None)).collect();
        let since_burst = second % BURST_INTERVAL_S;
        if since_burst == 0 {
            let noisy = truth.noisy();
            self.burst_kind = noisy[self.random.below(noisy.len())];
        }
        if since_burst < BURST_LENGTH_S {
            let tasks = self.random.poisson(self.workers * BURST_TASKS / BURST_LENGTH_S as f64);
            jobs.extend((0..tasks).map(|_| self.random_job(Some(self.burst_kind))));
        }
        jobs
    }

    fn random_job(&mut self, kind: Option<usize>) -> Job {
        self.next += 1;
        let random_kind = self.random.below(KINDS);
        let cores = [1, 1, 2, 2][self.random.below(4)];
        let size_error = self.random.log_normal(SIZE_ERROR).clamp(0.3, 2.5);
        Job {
            id: self.next,
            attempt: 1,
            kind: kind.unwrap_or(random_kind),
            size: Resources {
                millicores: cores * 1_000,
                memory_mib: cores * 2_048,
                accelerators: 0,
            },
            cores: cores as f64 * size_error,
            // The division makes the mean of the log-normal factor 1: exp(0.6² / 2) = exp(0.18).
            work: MEAN_WORK_S * self.random.log_normal(0.6) / f64::exp(0.18),
            evictions: TASK_EVICTIONS,
        }
    }
}
