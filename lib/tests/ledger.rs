//! Tests of the ledger: replies to commands, retention limits and invariants.

#[path = "ledger/claims.rs"]
mod claims;
#[path = "ledger/generate.rs"]
mod generate;
#[path = "ledger/limits.rs"]
mod limits;
#[path = "ledger/lists.rs"]
mod lists;
#[path = "ledger/properties.rs"]
mod properties;
#[path = "ledger/support.rs"]
mod support;
#[path = "ledger/tasks.rs"]
mod tasks;
