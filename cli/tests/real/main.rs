//! Real processes on the loopback address, with stand-ins for workers, targets and callers.

mod death;
mod edits;
mod input;
mod leaving;
mod path;
mod world;
