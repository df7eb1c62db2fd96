//! The directory: which instances are alive, which targets exist, and which instance leads each
//! data centre.
//!
//! Instances exchange heartbeats. An instance to which a worker announces a target is an authority
//! for that target. An authority numbers its changes of targets and sends each change to all other
//! instances; every heartbeat carries the newest number, so that one heartbeat confirms the whole
//! set and a missed change is detected at the next one. A target that neither its worker nor an
//! authority has confirmed for [`Config::confirm_timeout`] gets no more requests, so that a
//! partitioned instance stops sending to a target that may be leaving.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    directory::{
        instances::Instances,
        port::{Event, Heartbeat, InstanceInfo, PeerMessage, ReplicaStatus, TargetsMessage},
        targets::{LocalTargets, MergedTargets, RemoteTargets},
    },
    ids::{Fence, InstanceId},
    instance::port::{Effect, Output},
    router::port as router,
    scheduler::port as scheduler,
    time::{Time, earliest},
    worker::{Announcement, LeaseAnswer},
};

pub mod instances;
pub mod port;
pub mod targets;

/// One heartbeat in this many lists the addresses of the live instances.
const HEARTBEATS_PER_ADDRESS_LIST: u64 = 20;

/// How long an instance listens before it reports that there is no consensus group. Members of one
/// that know its address connect to it within this time, also if it doesn't know theirs.
const FOUNDING_DELAY: Duration = Duration::from_secs(2);

/// The settings of the directory.
#[derive(Clone, Debug)]
pub struct Config {
    /// This instance's description, sent to others.
    pub me: InstanceInfo,
    /// The addresses of instances to contact at start.
    pub seeds: Vec<SocketAddr>,
    /// The time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// How long after its last heartbeat an instance counts as dead.
    pub dead_after: Duration,
    /// How long a target gets requests after its worker or an authority last confirmed it.
    pub confirm_timeout: Duration,
    /// How long after its last announcement a target is removed.
    pub expire_after: Duration,
    /// The time between two announcements of a worker.
    pub announce_interval: Duration,
}

/// The directory of one instance.
#[derive(Clone, Debug)]
pub struct Directory {
    config: Config,
    started: Time,
    replica: ReplicaStatus,
    instances: Instances,
    local: LocalTargets,
    remote: BTreeMap<InstanceId, RemoteTargets>,
    merged: MergedTargets,
    /// Whether the set of instances was published at least once; an instance without peers receives
    /// no heartbeat that would trigger it.
    published: bool,
    /// Counts the heartbeats since an address list was due at once.
    heartbeat_count: u64,
    /// Counts all heartbeats.
    round: usize,
    next_heartbeat: Time,
    next_sweep: Time,
}

impl Directory {
    /// Creates a directory that knows only its own instance.
    pub fn new(config: Config, now: Time) -> Self {
        Self {
            instances: Instances::new(now, &config.seeds),
            config,
            started: now,
            replica: ReplicaStatus::default(),
            local: LocalTargets::default(),
            remote: BTreeMap::new(),
            merged: MergedTargets::default(),
            published: false,
            heartbeat_count: 0,
            round: 0,
            next_heartbeat: now,
            next_sweep: now,
        }
    }

    /// Handles an event and appends the outputs to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Output>) {
        match event {
            Event::Timer => self.tick(now, out),
            Event::ReplicaStatus(replica) => self.replica = *replica,
            Event::Seeds(seeds) => self.instances.set_seeds(now, seeds),
            Event::Members(members) => self.instances.set_members(members),
            Event::Draining => {
                self.config.me.draining = true;
                self.publish_instances(out);
            }
            Event::Post { to, message } => self.post(to, message, out),
            Event::Heartbeat(heartbeat) => self.handle_heartbeat(now, &heartbeat, out),
            Event::Targets(message) => self.handle_targets(now, message, out),
            Event::Announced { ticket, announcement } => {
                self.handle_announcement(now, ticket, announcement, out);
            }
        }
    }

    /// When [`Event::Timer`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        earliest(Some(self.next_heartbeat), Some(self.next_sweep))
    }

    /// The instances that are alive, including this one, sorted by identity.
    pub fn alive(&self) -> Vec<InstanceInfo> {
        let mut alive: Vec<_> = self.instances.alive().cloned().collect();
        alive.push(self.config.me.clone());
        alive.sort_by_key(|info| info.instance);
        alive
    }

    /// Targets that may be sent requests.
    pub fn targets(&self) -> impl Iterator<Item = &router::Target> {
        self.merged.targets()
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.config.heartbeat_interval;
            self.send_heartbeats(now, out);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + self.config.heartbeat_interval;
            self.sweep(now, out);
        }
    }

    fn send_heartbeats(&mut self, now: Time, out: &mut Vec<Output>) {
        let list_addresses = self.heartbeat_count.is_multiple_of(HEARTBEATS_PER_ADDRESS_LIST);
        self.heartbeat_count += 1;
        self.round = self.round.wrapping_add(1);
        let me = self.config.me.peer;
        let addresses = self.instances.peer_addresses(now, me, self.round);
        let heartbeat = Heartbeat {
            info: self.config.me.clone(),
            replica: self.replica.clone(),
            targets: self.local.version(),
            addresses: if list_addresses { self.instances.live_addresses() } else { Vec::new() },
        };
        out.extend(addresses.into_iter().map(|to| {
            Output::Effect(Effect::Send {
                to,
                message: PeerMessage::Heartbeat(Box::new(heartbeat.clone())),
            })
        }));
    }

    fn sweep(&mut self, now: Time, out: &mut Vec<Output>) {
        let me = self.config.me.peer;
        if let Some(changes) = self.local.expire(now, self.config.expire_after) {
            self.broadcast(changes, out);
        }
        let published = std::mem::replace(&mut self.published, true);
        if self.instances.expire(now, self.config.dead_after) || !published {
            self.publish_instances(out);
        }
        self.instances.forget_gone(now);
        self.merge(now, out);
        let settled = now.since(self.started) >= FOUNDING_DELAY;
        if settled && self.instances.is_group_absent(me) {
            out.push(Output::replicated_log(crate::replicated_log::port::Event::NoGroupFound));
        }
        let forget = self.config.expire_after + self.config.confirm_timeout;
        self.remote.retain(|_, remote| now.since(remote.heard) < forget);
    }

    fn handle_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat, out: &mut Vec<Output>) {
        let from = heartbeat.info.instance;
        if from == self.config.me.instance {
            return;
        }
        self.instances.add_addresses(now, &heartbeat.addresses);
        if self.instances.record_heartbeat(now, &heartbeat.info, &heartbeat.replica) {
            self.publish_instances(out);
        }
        let remote = self.remote.entry(from).or_insert_with(|| RemoteTargets::new(now));
        if remote.version == heartbeat.targets {
            remote.heard = now;
        } else {
            let request = TargetsMessage::Request { from: self.config.me.instance };
            self.post(from, PeerMessage::Targets(request), out);
        }
    }

    fn handle_targets(&mut self, now: Time, message: TargetsMessage, out: &mut Vec<Output>) {
        match message {
            TargetsMessage::Request { from } => {
                let all = self.local.all(self.config.me.instance);
                self.post(from, PeerMessage::Targets(all), out);
            }
            TargetsMessage::All { from, version, items } => {
                if let Some(remote) = self.remote.get_mut(&from) {
                    remote.replace(version, items);
                }
            }
            TargetsMessage::Changes { from, version, changes } => {
                if let Some(remote) = self.remote.get_mut(&from) {
                    remote.apply(version, changes);
                }
            }
        }
        self.merge(now, out);
    }

    fn handle_announcement(
        &mut self,
        now: Time,
        ticket: u64,
        announcement: Box<Announcement>,
        out: &mut Vec<Output>,
    ) {
        if let Some(changes) = self.local.record_announcement(now, &announcement) {
            self.broadcast(changes, out);
            self.merge(now, out);
        }
        if self.replica.held.contains_key(&announcement.centre) {
            let event = scheduler::Event::Announced { ticket, announcement };
            out.push(Output::scheduler(event));
            return;
        }
        let holder = self.instances.holder_of(&announcement.centre);
        let answer = LeaseAnswer {
            epoch: holder.map(|(epoch, _)| epoch).unwrap_or_default(),
            fence: Fence::default(),
            lease: None,
            holder: holder.map(|(_, address)| address.to_string()),
            interval: self.config.announce_interval,
            acknowledged: Vec::new(),
        };
        out.push(Output::Effect(Effect::AnnounceAnswer { ticket, answer: Ok(answer) }));
    }

    fn merge(&mut self, now: Time, out: &mut Vec<Output>) {
        let confirm = self.config.confirm_timeout;
        let remote = self.remote.values().filter(|remote| now.since(remote.heard) < confirm);
        let records =
            self.local.confirmed(now, confirm).chain(remote.flat_map(RemoteTargets::records));
        self.merged.update(records, out);
    }

    fn broadcast(&self, changes: TargetsMessage, out: &mut Vec<Output>) {
        let message = changes.with_sender(self.config.me.instance);
        out.extend(self.instances.alive().map(|info| {
            let message = PeerMessage::Targets(message.clone());
            Output::Effect(Effect::Send { to: info.peer, message })
        }));
    }

    fn post(&mut self, to: InstanceId, message: PeerMessage, out: &mut Vec<Output>) {
        if let Some(to) = self.instances.address_of(to) {
            out.push(Output::Effect(Effect::Send { to, message }));
        }
    }

    fn publish_instances(&mut self, out: &mut Vec<Output>) {
        // The next heartbeat lists all addresses, so that a new instance learns of the others at
        // once.
        self.heartbeat_count = 0;
        let alive = self.alive();
        // A draining instance keeps its share of the targets' limits until it is gone, because it
        // still has queued requests to send.
        let peers = alive
            .iter()
            .map(|info| router::Peer { instance: info.instance, centre: info.centre.clone() })
            .collect();
        out.push(Output::router(router::Event::Instances(peers)));
        out.push(Output::replicated_log(crate::replicated_log::port::Event::Instances(alive)));
    }
}
