//! The state that the council's log adds up to: lists, tasks, claims, counts and epochs.
//!
//! Applying an entry is deterministic and idempotent: every instance that applied the same
//! entries holds the same state.

pub mod change;
