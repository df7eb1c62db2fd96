//! The ledger: what it answers to commands, what it keeps, and what always holds.

#[path = "ledger/bounds.rs"]
mod bounds;
#[path = "ledger/claims.rs"]
mod claims;
#[path = "ledger/generate.rs"]
mod generate;
#[path = "ledger/lists.rs"]
mod lists;
#[path = "ledger/properties.rs"]
mod properties;
#[path = "ledger/support.rs"]
mod support;
#[path = "ledger/tasks.rs"]
mod tasks;
