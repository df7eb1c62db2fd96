//! The other instances: who is alive, where they are, what they hold.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    directory::port::{Facts, InstanceInfo},
    ids::{DataCentre, Epoch, InstanceId},
    time::Time,
};

/// Addresses remembered at most; a deployment has far fewer instances.
const ADDRESSES: usize = 256;

/// The other instances.
#[derive(Clone, Debug)]
pub struct Instances {
    addresses: BTreeSet<SocketAddr>,
    heard: BTreeMap<InstanceId, Heard>,
}

#[derive(Clone, Debug)]
struct Heard {
    info: InstanceInfo,
    facts: Facts,
    at: Time,
    alive: bool,
}

impl Instances {
    /// Knows only where to call first.
    pub fn new(seeds: &[SocketAddr]) -> Self {
        Self { addresses: seeds.iter().copied().collect(), heard: BTreeMap::new() }
    }

    /// Takes in a beat; whether the set of instances that are alive changed by it.
    pub fn heard(&mut self, now: Time, info: &InstanceInfo, facts: &Facts) -> bool {
        self.learn(&[info.peer]);
        let new = Heard { info: info.clone(), facts: facts.clone(), at: now, alive: true };
        let address = info.peer;
        // A restarted instance without a disk has a new identity at the same address.
        let mut changed = false;
        for (other, heard) in &mut self.heard {
            if *other != info.instance && heard.info.peer == address && heard.alive {
                heard.alive = false;
                changed = true;
            }
        }
        match self.heard.insert(info.instance, new) {
            Some(old) => changed || !old.alive || old.info != *info,
            None => true,
        }
    }

    /// Remembers addresses at which instances may be reached.
    pub fn learn(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            if self.addresses.len() < ADDRESSES {
                self.addresses.insert(*address);
            }
        }
    }

    /// Counts instances as dead that weren't heard for `dead`; whether there are any new ones.
    pub fn expire(&mut self, now: Time, dead: Duration) -> bool {
        let mut changed = false;
        for heard in self.heard.values_mut() {
            if heard.alive && now.since(heard.at) >= dead {
                heard.alive = false;
                changed = true;
            }
        }
        changed
    }

    /// Instances that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &InstanceInfo> {
        self.heard.values().filter(|heard| heard.alive).map(|heard| &heard.info)
    }

    /// What the instances that are alive know.
    pub fn facts(&self) -> impl Iterator<Item = (&InstanceInfo, &Facts)> {
        self.heard.values().filter(|heard| heard.alive).map(|heard| (&heard.info, &heard.facts))
    }

    /// Every address but `mine`.
    pub fn to_call(&self, mine: SocketAddr) -> Vec<SocketAddr> {
        self.addresses.iter().copied().filter(|address| *address != mine).collect()
    }

    /// Where instances that are alive are reached.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.alive().map(|info| info.peer).collect()
    }

    /// Whether the instance at `address` was heard and belongs to no council; this instance
    /// itself, at `mine`, asks only while it belongs to none.
    pub fn is_ungrouped(&self, address: SocketAddr, mine: SocketAddr) -> bool {
        address == mine || self.facts().any(|(info, facts)| info.peer == address && !facts.member)
    }

    /// Where an instance is reached, alive or not.
    pub fn address_of(&self, instance: InstanceId) -> Option<SocketAddr> {
        self.heard.get(&instance).map(|heard| heard.info.peer)
    }

    /// The newest epoch of a data centre that an instance alive claims, and where it takes
    /// announcements.
    pub fn holder_of(&self, centre: &DataCentre) -> Option<(Epoch, SocketAddr)> {
        self.facts().filter_map(|(info, facts)| Some((*facts.held.get(centre)?, info.front))).max()
    }
}
