//! Requests to latency-critical services: admission, choice of a target, limits, retries.
//!
//! Every request ends in exactly one of three ways: it ran and here is the whole answer; it did
//! not run; or it is unknown whether it ran.

pub mod port;
