//! An experiment with the interference policy on a fake of workers.
//!
//! The fake isn't a simulator of clusters: it gives what a scheduler of one data centre sees at
//! its interfaces, late samples and finished tasks, under a load that shifts and an interference
//! between pairs that the policy has to find out.

use crate::experiment::{cell::Cell, outcome::Outcome, strategy::Strategy};

mod arrivals;
mod cell;
mod dispatch;
mod draw;
mod host;
pub mod outcome;
pub mod plot;
mod reports;
pub mod setup;
pub mod strategy;
mod truth;

pub use crate::experiment::setup::{Setup, User};

/// Runs all data centres of a setup, one after the other, under one strategy.
///
/// The same seed gives the same load and the same interference under every strategy.
pub fn run(setup: &Setup, strategy: Strategy, seed: u64) -> Outcome {
    let mut total = Outcome::new(setup, strategy, seed);
    for centre in 0..setup.user.centres() {
        let mut cell = Cell::new(setup, strategy, seed.wrapping_mul(1_000) + centre as u64);
        cell.run();
        total.add(cell.outcome());
    }
    total
}
