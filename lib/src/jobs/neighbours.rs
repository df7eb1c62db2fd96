//! A summary of the runs on a worker that share its processors, for the placement of further tasks.

use crate::interference::model::Exposure;

/// How much interference a serving task tolerates, and how much it would get. Both are increases of
/// the logarithm of its tail latency.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TailBudget {
    /// The increase that keeps the latency below its target.
    pub(crate) headroom: f64,
    /// The increase that the opportunistic tasks on the worker would cause at full pace.
    pub(crate) inflation: f64,
}

impl TailBudget {
    /// The pace, from 0 to 1, that all harmful tasks may have, given an additional increase of
    /// `more`.
    pub(crate) fn pace(&self, more: f64) -> f64 {
        let inflation = self.inflation + more;
        if inflation > 0.0 { (self.headroom / inflation).clamp(0.0, 1.0) } else { 1.0 }
    }
}

/// The serving tasks of one image on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServingImage {
    /// The number of the image.
    pub(crate) number: u32,
    /// The smallest budget of these tasks.
    pub(crate) budget: TailBudget,
}

/// The summary of the runs on a worker. It is updated with each of its heartbeats and with each
/// start.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    /// The serving images.
    pub(crate) serving: Vec<ServingImage>,
    /// The processors that opportunistic runs request, by the numbers of their images.
    pub(crate) demands: Vec<Exposure>,
}

impl Neighbours {
    /// Whether no run on the worker is part of it.
    pub fn is_empty(&self) -> bool {
        self.serving.is_empty() && self.demands.is_empty()
    }

    /// Adds a serving task.
    pub(crate) fn add_serving(&mut self, number: u32, budget: TailBudget) {
        match self.serving.iter_mut().find(|image| image.number == number) {
            Some(image) if image.budget.headroom > budget.headroom => image.budget = budget,
            Some(_) => {}
            None => self.serving.push(ServingImage { number, budget }),
        }
    }

    /// Adds an opportunistic task that requests this number of processors.
    pub(crate) fn add_demand(&mut self, kind: u32, amount: f32) {
        add_exposure(&mut self.demands, kind, amount);
    }
}

/// Adds an amount of a kind to a list with one row for each kind.
pub(crate) fn add_exposure(exposures: &mut Vec<Exposure>, kind: u32, amount: f32) {
    match exposures.iter_mut().find(|exposure| exposure.kind == kind) {
        Some(exposure) => exposure.amount += amount,
        None => exposures.push(Exposure { kind, amount }),
    }
}
