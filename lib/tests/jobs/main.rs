//! Tests of jobs: the replicated state, controllers and gateways.

mod calls;
mod cluster;
mod crashes;
mod encoding;
mod gateway;
mod leases;
mod load;
mod pace;
mod properties;
mod recovery;
mod steps;
mod world;
