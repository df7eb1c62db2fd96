//! The router: what becomes of requests, and which targets they go to.

mod admission;
mod exhaustive;
mod faults;
mod harness;
mod invariants;
mod limits;
mod records;
mod retries;
mod rules;
mod script;
mod tail_latency;
