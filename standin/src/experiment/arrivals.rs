//! Batch tasks as they are submitted: a steady stream, and waves of noisy ones.

use hickorylink_lib::resources::Resources;

use crate::experiment::{
    dispatch::TASK_EVICTIONS,
    draw::Draw,
    setup::{KINDS, REPLICAS, Setup},
    truth::Truth,
};

/// The part of the room for batch tasks that the steady stream asks for by declared sizes.
const STEADY_PART: f64 = 0.6;
/// Seconds from one wave to the next.
const WAVE_EVERY: u64 = 300;
/// Seconds that a wave takes to arrive.
const WAVE_LENGTH: u64 = 20;
/// Tasks of a wave for each worker.
const WAVE_TASKS: f64 = 0.6;
/// The mean work of a task, in seconds at full speed.
const MEAN_WORK: f64 = 180.0;
/// The mean declared size of a task, in processors.
const MEAN_CORES: f64 = 1.5;
/// How far true sizes and run times are off, as standard deviations of the logarithm.
const SIZE_ERROR: f64 = 0.4;

/// A submitted task.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Its number.
    pub(crate) id: u64,
    /// The number of its next try.
    pub(crate) attempt: u32,
    /// Its kind.
    pub(crate) kind: usize,
    /// What it declares.
    pub(crate) size: Resources,
    /// The processors that it truly uses.
    pub(crate) cores: f64,
    /// What is left of it, in seconds at full speed.
    pub(crate) work: f64,
    /// How often it may still be evicted.
    pub(crate) evictions: u32,
}

/// The stream of submissions to a data centre.
#[derive(Clone, Debug)]
pub(crate) struct Arrivals {
    draw: Draw,
    workers: f64,
    rate: f64,
    next: u64,
    wave: usize,
}

impl Arrivals {
    /// The submissions to a data centre of `workers` workers.
    pub(crate) fn new(setup: &Setup, workers: usize, seed: u64) -> Self {
        let replicas = REPLICAS as u64 * setup.user.replica().millicores;
        let room = (setup.user.worker().millicores - replicas) as f64 / 1_000.0;
        let rate = workers as f64 * room * STEADY_PART / (MEAN_CORES * MEAN_WORK);
        Self { draw: Draw::new(seed, 2), workers: workers as f64, rate, next: 1_000, wave: 0 }
    }

    /// What is submitted in a second.
    pub(crate) fn submit(&mut self, second: u64, truth: &Truth) -> Vec<Job> {
        let steady = self.draw.poisson(self.rate);
        let mut jobs: Vec<_> = (0..steady).map(|_| self.job(None)).collect();
        let into_wave = second % WAVE_EVERY;
        if into_wave == 0 {
            let noisy = truth.noisy();
            self.wave = noisy[self.draw.below(noisy.len())];
        }
        if into_wave < WAVE_LENGTH {
            let tasks = self.draw.poisson(self.workers * WAVE_TASKS / WAVE_LENGTH as f64);
            jobs.extend((0..tasks).map(|_| self.job(Some(self.wave))));
        }
        jobs
    }

    fn job(&mut self, kind: Option<usize>) -> Job {
        self.next += 1;
        let drawn = self.draw.below(KINDS);
        let cores = [1, 1, 2, 2][self.draw.below(4)];
        let size_error = self.draw.factor(SIZE_ERROR).clamp(0.3, 2.5);
        Job {
            id: self.next,
            attempt: 1,
            kind: kind.unwrap_or(drawn),
            size: Resources {
                millicores: cores * 1_000,
                memory_mib: cores * 2_048,
                accelerators: 0,
            },
            cores: cores as f64 * size_error,
            work: MEAN_WORK * self.draw.factor(0.6) / f64::exp(0.18),
            evictions: TASK_EVICTIONS,
        }
    }
}
