//! Which pairs of tasks hurt each other, learned from late samples, and what to do about it.

use crate::{
    ids::{TaskAttempt, WorkerName},
    interference::port::{Action, Neighbour},
    time::Time,
    worker::Sample,
};

pub mod port;

/// What is known of the pairs on one data centre's workers.
#[derive(Clone, Debug, Default)]
pub struct Interference {}

impl Interference {
    /// A try was placed on a worker.
    pub fn placed(&mut self, _now: Time, _worker: &WorkerName, _neighbour: &Neighbour) {}

    /// A try has left a worker.
    pub fn left(&mut self, _now: Time, _worker: &WorkerName, _attempt: TaskAttempt) {}

    /// A worker delivered a sample that was taken [`Sample::age`] before `now`.
    pub fn sampled(&mut self, _now: Time, _worker: &WorkerName, _sample: &Sample) {}

    /// How much `neighbour` is expected to hurt, and be hurt by, what runs on the worker: the
    /// expected rise of service latency as a fraction, weighed by objective; 0 if nothing is known.
    pub fn penalty(&self, _now: Time, _worker: &WorkerName, _neighbour: &Neighbour) -> f64 {
        0.0
    }

    /// Adds what is to be done now to `actions`.
    pub fn decide(&mut self, _now: Time, _actions: &mut Vec<Action>) {}

    /// When [`Self::decide`] wants to be called next.
    pub fn next_deadline(&self) -> Option<Time> {
        None
    }
}
