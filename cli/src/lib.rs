//! The daemon's duties and edges, and the operator's command line.

pub mod storage;
