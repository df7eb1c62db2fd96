//! The store: recovery after crashes and corruption, and its behaviour on a failing disk.

#[path = "storage/cases.rs"]
mod cases;
#[path = "storage/counts.rs"]
mod counts;
#[path = "storage/fake.rs"]
mod fake;
#[path = "storage/faults.rs"]
mod faults;
#[path = "storage/model.rs"]
mod model;
#[path = "storage/properties.rs"]
mod properties;
