//! An experiment that compares placement strategies, among them the interference policy, on
//! simulated workers.
//!
//! This is not a general cluster simulator. It models what the scheduler of one data centre
//! observes at its interfaces, such as late samples and finished tasks, under a load that shifts
//! and a pairwise interference that the policy has to learn.

use crate::experiment::{centre::CentreSim, outcome::Outcome, strategy::Strategy};

mod arrivals;
mod centre;
mod delivery;
mod driver;
mod ground_truth;
mod host;
pub mod outcome;
pub mod plot;
mod random;
pub mod setup;
pub mod strategy;

pub use crate::experiment::setup::{Setup, User};

/// Simulates all data centres of a setup, one after the other, under one strategy, and returns the
/// combined outcome.
///
/// A seed determines the load and the interference, independently of the strategy.
pub fn run(setup: &Setup, strategy: Strategy, seed: u64) -> Outcome {
    let mut total = Outcome::new(setup, strategy, seed);
    for centre in 0..setup.user.centres() {
        let mut sim = CentreSim::new(setup, strategy, seed.wrapping_mul(1_000) + centre as u64);
        sim.run();
        total.add(sim.outcome());
    }
    total
}
