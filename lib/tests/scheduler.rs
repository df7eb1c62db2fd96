//! The scheduler of a data centre: rules as tables of cases, and properties over random events.

#[path = "scheduler/basics.rs"]
mod basics;
#[path = "scheduler/choice.rs"]
mod choice;
#[path = "scheduler/desk.rs"]
mod desk;
#[path = "scheduler/ends.rs"]
mod ends;
#[path = "scheduler/fairness.rs"]
mod fairness;
#[path = "scheduler/fault.rs"]
mod fault;
#[path = "scheduler/hurt.rs"]
mod hurt;
#[path = "scheduler/leases.rs"]
mod leases;
#[path = "scheduler/ledger.rs"]
mod ledger;
#[path = "scheduler/message.rs"]
mod message;
#[path = "scheduler/properties.rs"]
mod properties;
#[path = "scheduler/tiers.rs"]
mod tiers;
#[path = "scheduler/worker.rs"]
mod worker;
#[path = "scheduler/workers.rs"]
mod workers;
#[path = "scheduler/world.rs"]
mod world;
