//! The decision logic and replicated state of hickorylink, a scheduler for colocated
//! latency-critical and batch work.
//!
//! Nothing here does I/O, reads a clock or starts a thread. Each component is a state machine
//! that takes an event and the current time and appends to a list of effects. The daemon, the
//! property tests and the model checks all drive the same code.

pub mod api;
pub mod burn;
pub mod chart;
pub mod clients;
pub mod codec;
pub mod command;
pub mod consensus;
mod derives;
pub mod directory;
pub mod document;
pub mod finding;
pub mod ids;
pub mod instance;
pub mod interference;
pub mod jobs;
pub mod ledger;
pub mod lists;
pub mod policy;
pub mod replicated_log;
pub mod resources;
pub mod router;
pub mod scheduler;
pub mod settings;
pub mod task;
pub mod time;
pub mod transit;
pub mod worker;
