//! Jobs: what controllers, gateways and the agreed state do.

mod calls;
mod gateway;
mod leases;
mod pace;
mod properties;
mod recovery;
mod steps;
mod world;
