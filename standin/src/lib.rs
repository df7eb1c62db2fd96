//! Stand-ins for the platform's workers and targets, and for callers. Never ships.

pub mod experiment;
