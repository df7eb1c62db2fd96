//! Tests of the router: outcomes of requests and selection of targets.

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
