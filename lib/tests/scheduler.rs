//! The scheduler of a data centre: rules as tables of cases, and properties over random events.

#[path = "scheduler/basics.rs"]
mod basics;
#[path = "scheduler/desk.rs"]
mod desk;
