//! How a target's slots are dealt over the instances, without asking anyone.
//!
//! Every instance computes the same deal from the live instances and the target's address. A
//! part shrinks at once, and grows only when the deal has stayed the same for the settle time.
//! An instance therefore uses no more than the least part of any deal that some other instance
//! may still go by, and the parts never add up to more than the target has.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    ids::{DataCentre, InstanceId},
    router::port::Peer,
    time::Time,
};

/// What a deal is computed from, for the targets of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The live instances, sorted by identity.
    pub peers: Vec<Peer>,
    /// The data centres that have a target of the service which isn't leaving.
    pub centres: BTreeSet<DataCentre>,
}

impl View {
    /// How many of `total` slots of a target in `centre` instance `me` gets.
    ///
    /// Instances of the target's data centre take part, and those of data centres without a
    /// target of the service; if there are none, all do. The remainder goes to the target's own
    /// data centre first, from a place that `rotation` decides.
    pub fn share(&self, me: InstanceId, centre: &DataCentre, rotation: u64, total: u32) -> u32 {
        let local = |peer: &Peer| peer.centre == *centre;
        let remote = |peer: &Peer| !local(peer) && !self.centres.contains(&peer.centre);
        let (local_count, local_at) = self.position(me, local);
        let (remote_count, remote_at) = self.position(me, remote);
        if local_count + remote_count == 0 {
            let (count, at) = self.position(me, |_| true);
            return at.map_or(0, |at| share_of(total, count, rotated(at, rotation, count)));
        }
        let place = match (local_at, remote_at) {
            (Some(at), _) => rotated(at, rotation, local_count),
            (None, Some(at)) => local_count + rotated(at, rotation, remote_count),
            (None, None) => return 0,
        };
        share_of(total, local_count + remote_count, place)
    }

    fn position(&self, me: InstanceId, takes: impl Fn(&Peer) -> bool) -> (u64, Option<u64>) {
        let mut count = 0;
        let mut at = None;
        for peer in self.peers.iter().filter(|peer| takes(peer)) {
            if peer.instance == me {
                at = Some(count);
            }
            count += 1;
        }
        (count, at)
    }
}

fn rotated(at: u64, rotation: u64, count: u64) -> u64 {
    (at + rotation % count) % count
}

fn share_of(total: u32, count: u64, place: u64) -> u32 {
    let total = u64::from(total);
    let share = total / count + u64::from(place < total % count);
    u32::try_from(share).unwrap_or(u32::MAX)
}

/// The place from which a target's remainder is dealt.
pub fn rotation(address: &str) -> u64 {
    let hash = blake3::hash(address.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// The view in force and those that another instance may still go by.
#[derive(Clone, Debug, Default)]
pub struct Views {
    current: View,
    past: Vec<(Time, View)>,
}

impl Views {
    /// Puts a view in force; true if it differs from the one before.
    pub fn replace(&mut self, now: Time, view: View) -> bool {
        if view == self.current {
            return false;
        }
        let replaced = std::mem::replace(&mut self.current, view);
        self.past.push((now, replaced));
        true
    }

    /// The view in force.
    pub fn current(&self) -> &View {
        &self.current
    }

    /// Forgets views that were replaced at least `settle` ago; true if there were any.
    pub fn expire(&mut self, now: Time, settle: Duration) -> bool {
        let held = self.past.len();
        self.past.retain(|(replaced, _)| now < *replaced + settle);
        self.past.len() < held
    }

    /// When the next view is forgotten.
    pub fn next_expiry(&self, settle: Duration) -> Option<Time> {
        self.past.iter().map(|(replaced, _)| *replaced + settle).min()
    }

    /// The least part of any view that counts.
    pub fn share(&self, me: InstanceId, centre: &DataCentre, rotation: u64, total: u32) -> u32 {
        let current = self.current.share(me, centre, rotation, total);
        self.past
            .iter()
            .map(|(_, view)| view.share(me, centre, rotation, total))
            .fold(current, u32::min)
    }
}
