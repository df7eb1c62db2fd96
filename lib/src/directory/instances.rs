//! The other instances: who is alive, where they are, what they hold.

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

/// Addresses remembered at most; a deployment has far fewer instances.
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
    at: Time,
    alive: bool,
}

impl Instances {
    /// Knows only where to call first.
    pub fn new(seeds: &[SocketAddr]) -> Self {
        Self { addresses: seeds.iter().copied().collect(), peers: BTreeMap::new() }
    }

    /// Takes in a beat; whether the set of instances that are alive changed by it.
    pub fn record_heartbeat(
        &mut self,
        now: Time,
        info: &InstanceInfo,
        replica: &ReplicaStatus,
    ) -> bool {
        self.add_addresses(&[info.peer]);
        let new = PeerState { info: info.clone(), replica: replica.clone(), at: now, alive: true };
        let address = info.peer;
        // A restarted instance without a disk has a new identity at the same address.
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

    /// Remembers addresses at which instances may be reached.
    pub fn add_addresses(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            if self.addresses.len() < MAX_ADDRESSES {
                self.addresses.insert(*address);
            }
        }
    }

    /// Counts instances as dead that weren't heard for `dead`; whether there are any new ones.
    pub fn expire(&mut self, now: Time, dead: Duration) -> bool {
        let mut changed = false;
        for peer in self.peers.values_mut() {
            if peer.alive && now.since(peer.at) >= dead {
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

    /// What the instances that are alive know.
    pub fn replicas(&self) -> impl Iterator<Item = (&InstanceInfo, &ReplicaStatus)> {
        self.peers.values().filter(|peer| peer.alive).map(|peer| (&peer.info, &peer.replica))
    }

    /// Every address but `mine`.
    pub fn peer_addresses(&self, own: SocketAddr) -> Vec<SocketAddr> {
        self.addresses.iter().copied().filter(|address| *address != own).collect()
    }

    /// Where instances that are alive are reached.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.alive().map(|info| info.peer).collect()
    }

    /// Whether the instance at `address` was heard and belongs to no council; this instance
    /// itself, at `mine`, asks only while it belongs to none.
    pub fn is_outside_group(&self, address: SocketAddr, own: SocketAddr) -> bool {
        address == own
            || self.replicas().any(|(info, replica)| info.peer == address && !replica.member)
    }

    /// Where an instance is reached, alive or not.
    pub fn address_of(&self, instance: InstanceId) -> Option<SocketAddr> {
        self.peers.get(&instance).map(|peer| peer.info.peer)
    }

    /// The newest epoch of a data centre that an instance alive claims, and where it takes
    /// announcements.
    pub fn holder_of(&self, centre: &DataCentre) -> Option<(Epoch, SocketAddr)> {
        self.replicas()
            .filter_map(|(info, replica)| Some((*replica.held.get(centre)?, info.front)))
            .max()
    }
}
