//! The `hickorylink` binary.

fn main() {}
