//! Test doubles of the platform's workers and targets, a load generator, and a simulation of
//! interference. Used by tests and measurements only; not part of a release.

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
