//! Real processes on the loopback address, with stand-ins for workers, targets and callers.

mod burn;
mod death;
mod edits;
mod input;
mod leaving;
mod logs;
mod path;
mod silence;
mod world;
