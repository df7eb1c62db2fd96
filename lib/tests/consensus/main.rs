//! Tests of consensus: the rules as tables of cases, simulated groups under random faults, and a
//! model check of the real state machine.

mod disk;
mod invariants;
mod leading;
mod model;
mod random_faults;
mod rules;
mod simulation;
mod test_member;
mod timing;
