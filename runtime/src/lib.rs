//! What runs an instance: threads, rings, clocks, the log, connections and the disk.
//!
//! [`controller`] and [`gateway`] run the roles of a deployment; how callers, workers and
//! operators speak with them is given to them as a [`front::Front`].

pub mod clock;
pub mod controller;
pub mod duty;
pub mod front;
pub mod gateway;
pub mod link;
pub mod log;
pub mod metrics;
pub mod notes;
pub mod persist;
pub mod ring;
pub mod settings;
pub mod storage;
