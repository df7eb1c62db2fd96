//! The daemon's duties and edges, and the operator's command line.

pub mod burn;
pub mod client;
pub mod commands;
pub mod daemon;
pub mod duty;
pub mod exit;
pub mod frame;
pub mod front;
pub mod http;
pub mod metrics;
pub mod outboxes;

pub use hickorylink_runtime::{clock, log, ring, storage};
