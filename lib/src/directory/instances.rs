//! The other instances: their addresses, their status and whether they are alive.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    directory::port::{InstanceInfo, ReplicaStatus},
    ids::{DataCentre, Epoch, InstanceId},
    time::Time,
};

/// The maximum number of stored addresses; a deployment has far fewer instances.
const MAX_ADDRESSES: usize = 256;

/// The other instances.
#[derive(Clone, Debug)]
pub struct Instances {
    addresses: BTreeSet<SocketAddr>,
    peers: BTreeMap<InstanceId, PeerState>,
}

#[derive(Clone, Debug)]
struct PeerState {
    info: InstanceInfo,
    replica: ReplicaStatus,
    heard: Time,
    alive: bool,
}

impl Instances {
    /// Starts with the seed addresses only.
    pub fn new(seeds: &[SocketAddr]) -> Self {
        Self { addresses: seeds.iter().copied().collect(), peers: BTreeMap::new() }
    }

    /// Records a heartbeat; returns whether the set of live instances or their descriptions
    /// changed.
    pub fn record_heartbeat(
        &mut self,
        now: Time,
        info: &InstanceInfo,
        replica: &ReplicaStatus,
    ) -> bool {
        self.add_addresses(&[info.peer]);
        let new =
            PeerState { info: info.clone(), replica: replica.clone(), heard: now, alive: true };
        let address = info.peer;
        // An instance without a disk has a new identity after a restart, at the same address.
        let mut changed = false;
        for (other, peer) in &mut self.peers {
            if *other != info.instance && peer.info.peer == address && peer.alive {
                peer.alive = false;
                changed = true;
            }
        }
        match self.peers.insert(info.instance, new) {
            Some(old) => changed || !old.alive || old.info != *info,
            None => true,
        }
    }

    /// Stores addresses at which instances may be reached.
    pub fn add_addresses(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            if self.addresses.len() < MAX_ADDRESSES {
                self.addresses.insert(*address);
            }
        }
    }

    /// Marks instances as dead that were not heard for `dead`; returns whether any was marked.
    pub fn expire(&mut self, now: Time, dead: Duration) -> bool {
        let mut changed = false;
        for peer in self.peers.values_mut() {
            if peer.alive && now.since(peer.heard) >= dead {
                peer.alive = false;
                changed = true;
            }
        }
        changed
    }

    /// Instances that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &InstanceInfo> {
        self.peers.values().filter(|peer| peer.alive).map(|peer| &peer.info)
    }

    /// The descriptions and replica statuses of the instances that are alive.
    pub fn replicas(&self) -> impl Iterator<Item = (&InstanceInfo, &ReplicaStatus)> {
        self.peers.values().filter(|peer| peer.alive).map(|peer| (&peer.info, &peer.replica))
    }

    /// All stored addresses except `own`.
    pub fn peer_addresses(&self, own: SocketAddr) -> Vec<SocketAddr> {
        self.addresses.iter().copied().filter(|address| *address != own).collect()
    }

    /// The addresses of the instances that are alive.
    pub fn live_addresses(&self) -> Vec<SocketAddr> {
        self.alive().map(|info| info.peer).collect()
    }

    /// Whether the instance at `address` is alive and belongs to no consensus group. True for
    /// `own`, because the answer matters only while this instance belongs to none.
    pub fn is_outside_group(&self, address: SocketAddr, own: SocketAddr) -> bool {
        address == own
            || self.replicas().any(|(info, replica)| info.peer == address && !replica.member)
    }

    /// The address of an instance, whether it is alive or not.
    pub fn address_of(&self, instance: InstanceId) -> Option<SocketAddr> {
        self.peers.get(&instance).map(|peer| peer.info.peer)
    }

    /// The newest epoch of a data centre that a live instance reports to hold, and the address at
    /// which that instance takes announcements.
    pub fn holder_of(&self, centre: &DataCentre) -> Option<(Epoch, SocketAddr)> {
        self.replicas()
            .filter_map(|(info, replica)| Some((*replica.held.get(centre)?, info.front)))
            .max()
    }
}
