//! Jobs: graphs of steps whose tasks run on workers under leases.
//!
//! [`state`] is the replicated state: the configuration, the jobs and the outcome of every run.
//! [`controller`] is one replica of that state; while it leads, it decides which task runs on which
//! worker and answers the workers' heartbeats. Nothing leaves a controller before the log entry
//! that it depends on is committed.

pub mod call;
pub mod config;
pub mod config_check;
pub mod contacts;
pub mod controller;
pub mod crash;
pub mod delivery;
pub mod dependents;
pub mod early_cancels;
pub mod estimates;
pub mod evacuation;
pub mod fleet;
pub mod gang;
pub mod gateway;
pub mod health;
pub mod hello;
pub mod lifecycle;
pub mod link;
pub mod locality;
pub mod members;
pub mod model;
pub mod neighbours;
pub mod obstacle;
pub mod outlook;
pub mod pace;
pub mod placement;
pub mod pool;
pub mod progress;
pub mod rank;
pub mod record;
pub mod report;
pub mod response;
pub mod response_size;
pub mod retention;
pub mod returns;
pub mod send_budget;
pub mod state;
pub mod suspects;
pub mod turn_work;
pub mod voters;
pub mod waiting;
