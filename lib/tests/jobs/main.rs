//! Tests of jobs: the replicated state, controllers and gateways.

mod calls;
mod capacity;
mod capacity_properties;
mod cluster;
mod crashes;
mod encoding;
mod gateway;
mod leases;
mod load;
mod odd_jobs;
mod odd_workers;
mod overcommit;
mod pace;
mod properties;
mod recovery;
mod standing;
mod steps;
mod world;
