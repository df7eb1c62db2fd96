//! Agreement on one log among the instances that have a disk.
//!
//! The machine takes messages, proposals and storage's answers, and gives messages to send,
//! writes to make durable and entries to apply. It promises nothing before the write it rests on
//! was synced.

pub mod log;
pub mod message;
