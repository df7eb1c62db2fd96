//! The council's consensus: its rules as tables of cases, whole councils under random faults,
//! and a model check of the real step function.

mod disk;
mod leading;
mod model;
mod promises;
mod rules;
mod schedules;
mod solo;
mod timing;
mod world;
