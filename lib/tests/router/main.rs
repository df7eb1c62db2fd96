//! The router: what becomes of requests, and which targets they go to.

mod admission;
mod exhaustive;
mod faults;
mod limits;
mod promises;
mod records;
mod retries;
mod rules;
mod script;
mod tails;
mod world;
