//! Stand-ins for the platform's workers and targets, and for callers. Never ships.

pub mod caller;
pub mod cluster;
pub mod demo;
pub mod experiment;
pub mod history;
pub mod measure;
pub mod net;
pub mod platform;
pub mod relay;
pub mod worker;
