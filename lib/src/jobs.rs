//! Jobs: graphs of steps whose tasks run on workers under leases.
//!
//! [`state`] is what the controllers agree on: the configuration, the jobs, and what became of
//! every run. [`controller`] is one controller: a replica of that state which, while it leads,
//! decides which task runs where and tells the workers when they report. Everything that leaves a
//! controller rests on a committed entry.

pub mod call;
pub mod config;
pub mod controller;
pub mod fleet;
pub mod gateway;
pub mod lifecycle;
pub mod link;
pub mod members;
pub mod model;
pub mod pace;
pub mod placement;
pub mod progress;
pub mod rank;
pub mod record;
pub mod report;
pub mod response;
pub mod state;
