//! The interference policy: its rules case by case, and its promises over many histories.

#[path = "interference/chart.rs"]
mod chart;
#[path = "interference/properties.rs"]
mod properties;
#[path = "interference/rules.rs"]
mod rules;
#[path = "interference/simulation.rs"]
mod simulation;
