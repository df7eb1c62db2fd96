//! Placement of tasks on the workers of one data centre.
//!
//! The machine acts only while its instance holds the data centre's epoch. It takes in what the
//! ledger recorded, what workers say and the policy in force, and gives commands for the council
//! and for workers. A worker's room is held from the decision to start until the stop is
//! confirmed or the worker's lease has surely run out.

pub mod port;
