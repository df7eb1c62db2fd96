//! The router: what becomes of requests, and which targets they go to.

mod rules;
mod world;
