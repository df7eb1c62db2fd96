//! Tests of jobs: the replicated state, controllers and gateways.

mod calls;
mod capacity;
mod capacity_properties;
mod cluster;
mod contacts;
mod crashes;
mod deployment;
mod encoding;
mod gateway;
mod handover;
mod leases;
mod load;
mod members;
mod members_properties;
mod odd_jobs;
mod odd_workers;
mod overcommit;
mod pace;
mod properties;
mod recovery;
mod responses;
mod standbys;
mod standing;
mod steps;
mod voters;
mod world;
