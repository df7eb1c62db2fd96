//! The instance daemon, with its threads and network interfaces, and the command-line client.

pub mod burn;
pub mod client;
pub mod commands;
pub mod daemon;
pub mod duty;
pub mod exit;
pub mod frame;
pub mod frontend;
pub mod http;
pub mod metrics;
pub mod outboxes;

pub use hickorylink_runtime::{clock, log, ring, storage};
