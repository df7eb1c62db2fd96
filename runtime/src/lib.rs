//! What runs an instance: threads, rings, clocks, the log, connections and the disk.
//!
//! [`controller`] and [`gateway`] run the roles of a deployment; how callers, workers and
//! operators speak with them is given to them as a [`frontend::Frontend`].

pub mod clock;
pub mod controller;
pub mod duty;
pub mod frontend;
pub mod gateway;
pub mod link;
pub mod log;
pub mod log_events;
pub mod metrics;
pub mod persist;
pub mod ring;
pub mod settings;
pub mod storage;
