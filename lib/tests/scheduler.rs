//! The scheduler of a data centre: tables of cases for each rule, and properties that hold under
//! random events.

#[path = "scheduler/fairness.rs"]
mod fairness;
#[path = "scheduler/fake_ledger.rs"]
mod fake_ledger;
#[path = "scheduler/fake_worker.rs"]
mod fake_worker;
#[path = "scheduler/fault.rs"]
mod fault;
#[path = "scheduler/harness.rs"]
mod harness;
#[path = "scheduler/interference.rs"]
mod interference;
#[path = "scheduler/leases.rs"]
mod leases;
#[path = "scheduler/lifecycle.rs"]
mod lifecycle;
#[path = "scheduler/message.rs"]
mod message;
#[path = "scheduler/odd_announcements.rs"]
mod odd_announcements;
#[path = "scheduler/outcomes.rs"]
mod outcomes;
#[path = "scheduler/placement.rs"]
mod placement;
#[path = "scheduler/properties.rs"]
mod properties;
#[path = "scheduler/simulation.rs"]
mod simulation;
#[path = "scheduler/tiers.rs"]
mod tiers;
#[path = "scheduler/workers.rs"]
mod workers;
