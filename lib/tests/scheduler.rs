//! The scheduler of a data centre: rules as tables of cases, and properties over random events.

#[path = "scheduler/basics.rs"]
mod basics;
#[path = "scheduler/choice.rs"]
mod choice;
#[path = "scheduler/desk.rs"]
mod desk;
#[path = "scheduler/fairness.rs"]
mod fairness;
#[path = "scheduler/ledger.rs"]
mod ledger;
#[path = "scheduler/properties.rs"]
mod properties;
#[path = "scheduler/rules.rs"]
mod rules;
#[path = "scheduler/worker.rs"]
mod worker;
#[path = "scheduler/world.rs"]
mod world;
