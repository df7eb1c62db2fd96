//! Tests of jobs: the replicated state, controllers and gateways.

mod calls;
mod gateway;
mod leases;
mod load;
mod pace;
mod properties;
mod recovery;
mod standing;
mod steps;
mod world;
