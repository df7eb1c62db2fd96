//! The addresses of the other controllers: which ones this controller greets, and which ones it
//! passes on.
//!
//! A controller starts with the seeds of its settings and the members in its log. It learns further
//! addresses from controllers that greet it and from their hellos, which list the controllers that
//! they have heard. Controllers thus find each other over any number of hops: no two of them need a
//! seed in common. Only addresses that were heard directly are passed on, so one that is gone is
//! soon forgotten by all.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{jobs::members::ALIVE_TIMEOUT, time::Time};

/// How long a controller that was heard is greeted after its last hello. Seeds and members are
/// greeted for as long as they are seeds and members.
const HEARD_RETENTION: Duration = Duration::from_secs(60);

/// How long a controller that only others have heard is greeted after it was last listed. Hellos are
/// sent every second, and a live controller answers them.
const LISTED_RETENTION: Duration = Duration::from_secs(10);

/// The maximum number of addresses of each kind, and of addresses in a hello; a deployment has far
/// fewer controllers.
const MAX_CONTACTS: usize = 64;

/// The addresses of the other controllers.
#[derive(Clone, Debug)]
pub struct Contacts {
    me: SocketAddr,
    seeds: Vec<SocketAddr>,
    /// The controllers that have sent a hello, and when the last one arrived.
    heard: BTreeMap<SocketAddr, Time>,
    /// The controllers that hellos have listed, and when they last did.
    listed: BTreeMap<SocketAddr, Time>,
}

impl Contacts {
    /// Creates the contacts of the controller at `me`, which are its seeds at first.
    pub fn new(me: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let seeds = seeds.to_vec();
        Self { me, seeds, heard: BTreeMap::new(), listed: BTreeMap::new() }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    /// Records a hello from the controller at `from` that lists the controllers in `known`. Returns
    /// those of which it is the first sign of life, or the first after a silence, so that the next
    /// hello shouldn't wait.
    pub fn record_hello(
        &mut self,
        now: Time,
        from: SocketAddr,
        known: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        self.expire(now);
        let mut new: Vec<_> = (!self.is_live(now, from)).then_some(from).into_iter().collect();
        self.listed.remove(&from);
        insert_bounded(&mut self.heard, from, now);
        for address in known.iter().take(MAX_CONTACTS).filter(|address| **address != self.me) {
            if !self.heard.contains_key(address) {
                if !self.listed.contains_key(address) {
                    new.push(*address);
                }
                insert_bounded(&mut self.listed, *address, now);
            }
        }
        new
    }

    /// The controllers to greet: the seeds, the members of the consensus group, and the
    /// controllers that this one or another one has heard.
    pub fn recipients(
        &self,
        now: Time,
        members: impl IntoIterator<Item = SocketAddr>,
    ) -> BTreeSet<SocketAddr> {
        let within = |retention| move |(_, at): &(&SocketAddr, &Time)| now.since(**at) < retention;
        let heard = self.heard.iter().filter(within(HEARD_RETENTION));
        let listed = self.listed.iter().filter(within(LISTED_RETENTION));
        let learnt = heard.chain(listed).map(|(address, _)| *address);
        let all = self.seeds.iter().copied().chain(members).chain(learnt);
        all.filter(|address| *address != self.me).collect()
    }

    /// The controllers from which a recent hello has arrived.
    pub fn live(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        self.heard.keys().copied().filter(move |address| self.is_live(now, *address))
    }

    fn is_live(&self, now: Time, address: SocketAddr) -> bool {
        self.heard.get(&address).is_some_and(|at| now.since(*at) < ALIVE_TIMEOUT)
    }

    fn expire(&mut self, now: Time) {
        self.heard.retain(|_, at| now.since(*at) < HEARD_RETENTION);
        self.listed.retain(|_, at| now.since(*at) < LISTED_RETENTION);
    }
}

/// Inserts an address. If there are too many, the one that was recorded the longest ago is dropped.
fn insert_bounded(addresses: &mut BTreeMap<SocketAddr, Time>, address: SocketAddr, now: Time) {
    addresses.insert(address, now);
    if addresses.len() > MAX_CONTACTS
        && let Some(oldest) = addresses.iter().min_by_key(|(_, at)| **at).map(|(at, _)| *at)
    {
        addresses.remove(&oldest);
    }
}
