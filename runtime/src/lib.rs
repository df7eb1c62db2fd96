//! The process around the state machines of `hickorylink-lib`: threads, rings, clocks, logging,
//! connections and storage.
//!
//! [`controller`] and [`gateway`] run the two roles of a deployment. Each serves its callers,
//! workers and operators through a [`frontend::Frontend`].

pub mod clients;
pub mod clock;
pub mod controller;
pub mod duty;
pub mod frontend;
pub mod gateway;
pub mod http;
pub mod link;
pub mod log;
pub mod log_events;
pub mod metrics;
pub mod persist;
pub mod reload;
pub mod ring;
pub mod settings;
pub mod storage;
