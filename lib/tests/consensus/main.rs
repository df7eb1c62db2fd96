//! The council's consensus: its rules as tables of cases, whole councils under random faults,
//! and a model check of the real step function.

mod schedules;
mod world;
