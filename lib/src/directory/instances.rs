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

/// The maximum number of stored addresses. When it is reached, an address at which no instance is
/// alive gives way to a new one.
const MAX_ADDRESSES: usize = 256;

/// How long after anybody last heard an instance its address and its state are forgotten. It is
/// longer than regions usually lose each other.
const FORGET_AFTER: Duration = Duration::from_secs(3600);

/// How long after anybody last heard an instance its address gets each heartbeat. Later it gets one
/// in [`RETRY_ROUNDS`], in turn with the others.
const RETRY_OFTEN: Duration = Duration::from_secs(30);
const RETRY_ROUNDS: usize = 20;

/// The other instances.
#[derive(Clone, Debug)]
pub struct Instances {
    /// The addresses that are never forgotten.
    seeds: Vec<SocketAddr>,
    /// The members of the consensus group, whose addresses aren't forgotten either.
    members: Vec<InstanceId>,
    /// When somebody last heard the instance at each address.
    addresses: BTreeMap<SocketAddr, Time>,
    /// One instance for each address.
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
    pub fn new(now: Time, seeds: &[SocketAddr]) -> Self {
        Self {
            seeds: seeds.to_vec(),
            members: Vec::new(),
            addresses: seeds.iter().map(|seed| (*seed, now)).collect(),
            peers: BTreeMap::new(),
        }
    }

    /// Replaces the seeds. The address of a former one is forgotten once nobody is heard there.
    pub fn set_seeds(&mut self, now: Time, seeds: Vec<SocketAddr>) {
        let new = seeds.iter().filter(|seed| !self.addresses.contains_key(seed));
        let new: Vec<_> = new.map(|seed| (*seed, now)).collect();
        self.addresses.extend(new);
        self.seeds = seeds;
    }

    /// Records the members of the consensus group.
    pub fn set_members(&mut self, members: Vec<InstanceId>) {
        self.members = members;
    }

    /// Records a heartbeat; returns whether the set of live instances or their descriptions
    /// changed.
    pub fn record_heartbeat(
        &mut self,
        now: Time,
        info: &InstanceInfo,
        replica: &ReplicaStatus,
    ) -> bool {
        let new =
            PeerState { info: info.clone(), replica: replica.clone(), heard: now, alive: true };
        // An instance without a disk has a new identity after a restart, at the same address.
        let displaced = self
            .peers
            .extract_if(.., |other, peer| *other != info.instance && peer.info.peer == info.peer)
            .fold(false, |any_alive, (_, peer)| any_alive || peer.alive);
        let changed = match self.peers.insert(info.instance, new) {
            Some(old) => !old.alive || old.info != *info,
            None => true,
        };
        self.add_addresses(now, &[info.peer]);
        displaced || changed
    }

    /// Stores addresses at which somebody hears instances now.
    pub fn add_addresses(&mut self, now: Time, addresses: &[SocketAddr]) {
        for address in addresses {
            if self.addresses.contains_key(address)
                || self.addresses.len() < MAX_ADDRESSES
                || self.forget_oldest()
            {
                self.addresses.insert(*address, now);
            }
        }
    }

    /// Forgets the address that was heard least recently, unless all are to be kept.
    fn forget_oldest(&mut self) -> bool {
        let kept = self.kept_addresses(|peer| peer.alive);
        let others = self.addresses.iter().filter(|(address, _)| !kept.contains(address));
        let oldest = others.min_by_key(|(_, heard)| **heard).map(|(address, _)| *address);
        oldest.is_some_and(|address| self.forget_addresses(|other, _| *other == address))
    }

    /// The addresses of the seeds, of the members, and of the peers for which `keep` holds.
    fn kept_addresses(&self, keep: impl Fn(&PeerState) -> bool) -> BTreeSet<SocketAddr> {
        let peers = self.peers.iter();
        let peers = peers.filter(|(id, peer)| keep(peer) || self.members.contains(id));
        peers.map(|(_, peer)| peer.info.peer).chain(self.seeds.iter().copied()).collect()
    }

    /// Forgets the addresses for which `gone` holds, and the dead instances there; returns whether
    /// there were any.
    fn forget_addresses(&mut self, gone: impl Fn(&SocketAddr, Time) -> bool) -> bool {
        let before = self.addresses.len();
        self.addresses.retain(|address, heard| !gone(address, *heard));
        let addresses = &self.addresses;
        self.peers.retain(|_, peer| peer.alive || addresses.contains_key(&peer.info.peer));
        self.addresses.len() < before
    }

    /// Forgets the instances that nobody has heard for long, other than seeds and members.
    pub fn forget_gone(&mut self, now: Time) {
        if self.addresses.values().all(|heard| now.since(*heard) < FORGET_AFTER) {
            return;
        }
        let kept = self.kept_addresses(|peer| peer.alive);
        self.forget_addresses(|address, heard| {
            !kept.contains(address) && now.since(heard) >= FORGET_AFTER
        });
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

    /// The addresses other than `own` to which the heartbeat of a round is sent. Those at which
    /// nobody has heard an instance for a while take turns, apart from seeds and members.
    pub fn peer_addresses(&self, now: Time, own: SocketAddr, round: usize) -> Vec<SocketAddr> {
        let kept = self.kept_addresses(|peer| peer.alive);
        let (often, seldom): (Vec<_>, Vec<_>) = self
            .addresses
            .iter()
            .filter(|(address, _)| **address != own)
            .partition(|(at, heard)| now.since(**heard) < RETRY_OFTEN || kept.contains(at));
        let turn = seldom.iter().skip(round % RETRY_ROUNDS).step_by(RETRY_ROUNDS);
        often.iter().chain(turn).map(|(address, _)| **address).collect()
    }

    /// The addresses of the instances that are alive.
    pub fn live_addresses(&self) -> Vec<SocketAddr> {
        self.alive().map(|info| info.peer).collect()
    }

    /// Whether the instances at all seed addresses other than `own` are alive, and no instance that
    /// is alive belongs to a consensus group.
    pub fn is_group_absent(&self, own: SocketAddr) -> bool {
        let live = self.live_addresses();
        !self.replicas().any(|(_, replica)| replica.member)
            && self.seeds.iter().all(|seed| *seed == own || live.contains(seed))
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
