//! Tests of the interference policy: single cases, and properties over random histories.

#[path = "interference/chart.rs"]
mod chart;
#[path = "interference/properties.rs"]
mod properties;
#[path = "interference/rules.rs"]
mod rules;
#[path = "interference/simulation.rs"]
mod simulation;
