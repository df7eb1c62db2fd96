//! Tests of real processes on the loopback address, with simulated workers, targets and callers.

mod bad_input;
mod burn;
mod crashes;
mod end_to_end;
mod fixture;
mod list_edits;
mod log_level;
mod reload;
mod shutdown;
mod silent_connections;
