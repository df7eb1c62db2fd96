//! A simulated consensus group: members with disks that may be lost, a network that drops,
//! duplicates and reorders messages, and checks of all effects.

mod faults;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use hickorylink_lib::{
    consensus::{
        Consensus,
        chart::Role,
        log::{Members, Write},
        message::Message,
        port::{Config, Effect, Event},
    },
    ids::{Index, InstanceId, Ticket},
    time::Time,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    disk::Disk,
    invariants::{Invariants, Replica},
};

/// The number of entries between two snapshots of a member.
const SNAPSHOT_ENTRIES: u64 = 20;

/// The faults and the delay of the network.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Network {
    pub(crate) loss_percent: u32,
    pub(crate) duplicate_percent: u32,
    pub(crate) max_delay_micros: u64,
}

/// The intervals and timeouts of the members.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    pub(crate) heartbeat_interval: Duration,
    pub(crate) election_timeout: Duration,
}

struct Member {
    machine: Option<Consensus>,
    disk: Disk,
    unsynced: Vec<Write>,
    /// Incremented at each crash, so that completed writes of an earlier process are ignored.
    generation: u64,
    paused: bool,
    /// Events that arrived while the process was paused.
    inbox: Vec<Event>,
    replica: Replica,
    compacted: Index,
}

/// A scheduled event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum SimEvent {
    Receive { from: InstanceId, to: InstanceId, message: Message },
    Stored { at: InstanceId, generation: u64, sequence: u64 },
    Restart { at: InstanceId },
    Resume { at: InstanceId },
    Heal,
}

/// The group and its environment.
pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) network: Network,
    pub(crate) bootstrap: Members,
    seed: u64,
    members: BTreeMap<InstanceId, Member>,
    queue: BTreeMap<(Time, u64), SimEvent>,
    /// Orders events that are due at the same time.
    next_number: u64,
    /// Directed pairs of members between which no messages are delivered.
    partitions: BTreeSet<(InstanceId, InstanceId)>,
    lost_disks: BTreeSet<InstanceId>,
    pub(crate) invariants: Invariants,
    /// The encoded size of all messages that each member has sent, in bytes.
    pub(crate) sent: BTreeMap<InstanceId, u64>,
    times: Times,
    next_ticket: u64,
}

impl Simulation {
    pub(crate) fn new(voters: u64, learners: u64, seed: u64) -> Self {
        let heartbeat_interval = Duration::from_millis(50);
        let election_timeout = Duration::from_millis(200);
        Self::with_times(voters, learners, seed, Times { heartbeat_interval, election_timeout })
    }

    /// A group with other timeouts than the short defaults.
    pub(crate) fn with_times(voters: u64, learners: u64, seed: u64, times: Times) -> Self {
        let ids = |from: u64, to: u64| (from..=to).map(InstanceId).collect::<Vec<_>>();
        let bootstrap =
            Members { voters: ids(1, voters), learners: ids(voters + 1, voters + learners) };
        let mut sim = Self {
            now: Time::from_millis(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            network: Network::default(),
            seed,
            members: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_number: 0,
            partitions: BTreeSet::new(),
            lost_disks: BTreeSet::new(),
            invariants: Invariants::default(),
            sent: BTreeMap::new(),
            times,
            next_ticket: 0,
            bootstrap: bootstrap.clone(),
        };
        for id in bootstrap.all() {
            sim.start(id, Disk::default(), 0);
        }
        sim
    }

    pub(crate) fn ids(&self) -> Vec<InstanceId> {
        self.members.keys().copied().collect()
    }

    /// Members whose process runs, including paused ones.
    pub(crate) fn running(&self) -> Vec<InstanceId> {
        let running = self.members.iter().filter(|(_, member)| member.machine.is_some());
        running.map(|(id, _)| *id).collect()
    }

    pub(crate) fn machine(&self, id: InstanceId) -> Option<&Consensus> {
        self.members.get(&id).and_then(|member| member.machine.as_ref())
    }

    /// The leader with the newest term.
    pub(crate) fn leader(&self) -> Option<InstanceId> {
        let leads = |id: &InstanceId| {
            self.machine(*id).map(Consensus::status).filter(|status| status.role == Role::Leader)
        };
        let leaders = self.running().into_iter().filter_map(|id| leads(&id).map(|s| (s.term, id)));
        leaders.max().map(|(_, id)| id)
    }

    fn config(&self, me: InstanceId) -> Config {
        Config {
            me,
            heartbeat_interval: self.times.heartbeat_interval,
            election_timeout: self.times.election_timeout,
            max_batch_bytes: 200,
            max_inflight: 3,
            chunk_bytes: 40,
            max_pending: 32,
            catch_up_margin: 8,
            replace_after: Duration::from_millis(1_000),
        }
    }

    fn start(&mut self, id: InstanceId, disk: Disk, generation: u64) {
        let recovered = disk.recover();
        let machine =
            Consensus::new(self.config(id), recovered, &self.bootstrap, self.now, self.seed);
        let member = Member {
            machine: Some(machine),
            disk,
            unsynced: Vec::new(),
            generation,
            paused: false,
            inbox: Vec::new(),
            replica: Replica::default(),
            compacted: Index(0),
        };
        self.members.insert(id, member);
        self.feed(id, Event::Timer);
    }

    pub(crate) fn schedule(&mut self, delay_micros: u64, sim_event: SimEvent) {
        self.next_number += 1;
        self.queue
            .insert((self.now + Duration::from_micros(delay_micros), self.next_number), sim_event);
    }

    /// Runs all timers and scheduled events up to `until`.
    pub(crate) fn run_until(&mut self, until: Time) {
        loop {
            let due = self.queue.first_key_value().map(|((at, _), _)| *at);
            let timer = self.next_timer();
            let next = match (due, timer) {
                (Some(due), Some((at, id))) if at < due => (at, Some(id)),
                (Some(due), _) => (due, None),
                (None, Some((at, id))) => (at, Some(id)),
                (None, None) => return,
            };
            if next.0 > until || self.invariants.result().is_err() {
                self.now = until;
                return;
            }
            self.now = self.now.max(next.0);
            match next.1 {
                Some(id) => self.feed(id, Event::Timer),
                None => self.next_event(),
            }
        }
    }

    pub(crate) fn run_for(&mut self, millis: u64) {
        self.run_until(self.now + Duration::from_millis(millis));
    }

    fn next_timer(&self) -> Option<(Time, InstanceId)> {
        let running = self.members.iter().filter(|(_, member)| !member.paused);
        running.filter_map(|(id, m)| Some((m.machine.as_ref()?.next_deadline()?, *id))).min()
    }

    fn next_event(&mut self) {
        let Some((_, sim_event)) = self.queue.pop_first() else { return };
        match sim_event {
            SimEvent::Receive { from, to, message } => {
                if !self.partitions.contains(&(from, to)) {
                    self.feed(to, Event::Receive { from, message });
                }
            }
            SimEvent::Stored { at, generation, sequence } => self.sync(at, generation, sequence),
            SimEvent::Restart { at } => self.restart(at),
            SimEvent::Resume { at } => self.resume(at),
            SimEvent::Heal => self.partitions.clear(),
        }
    }

    fn sync(&mut self, at: InstanceId, generation: u64, sequence: u64) {
        let Some(member) =
            self.members.get_mut(&at).filter(|member| member.generation == generation)
        else {
            return;
        };
        let (synced, unsynced): (Vec<_>, Vec<_>) =
            member.unsynced.drain(..).partition(|write| write.sequence <= sequence);
        member.unsynced = unsynced;
        for write in synced {
            member.disk.write(&write);
        }
        self.feed(at, Event::Stored { sequence });
    }

    pub(crate) fn propose(&mut self, at: InstanceId) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let command = Bytes::copy_from_slice(&ticket.0.to_le_bytes());
        self.feed(at, Event::Propose { ticket, command });
        ticket
    }

    /// Starts a read at a member; it must see everything that any member has applied so far.
    pub(crate) fn read(&mut self, at: InstanceId) {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.invariants.begin_read(ticket);
        self.feed(at, Event::Read { ticket });
    }

    pub(crate) fn feed(&mut self, id: InstanceId, event: Event) {
        let Some(member) = self.members.get_mut(&id) else { return };
        if member.paused {
            member.inbox.push(event);
            return;
        }
        let Some(machine) = &mut member.machine else { return };
        let mut effects = Vec::new();
        machine.handle(self.now, event, &mut effects);
        for effect in effects {
            self.run_effect(id, effect);
        }
        self.compact(id);
    }

    fn compact(&mut self, id: InstanceId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let applied = member.replica.applied;
        if applied.0 >= member.compacted.0 + SNAPSHOT_ENTRIES {
            member.compacted = applied;
            let state = member.replica.encode();
            self.feed(id, Event::Compacted { index: applied, state });
        }
    }

    fn run_effect(&mut self, id: InstanceId, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.deliver(id, to, &message),
            Effect::Store(write) => self.store(id, write),
            Effect::Apply(entries) => {
                let Some(member) = self.members.get_mut(&id) else { return };
                for entry in entries {
                    self.invariants.apply(id, &mut member.replica, entry);
                }
            }
            Effect::Restore(snapshot) => {
                let Some(member) = self.members.get_mut(&id) else { return };
                self.invariants.restore(id, &mut member.replica, &snapshot);
                member.compacted = snapshot.index;
            }
            Effect::Accepted { ticket, index, term } => {
                self.invariants.accept(id, ticket, index, term);
            }
            Effect::ReadReady { ticket, index } => self.invariants.end_read(id, ticket, index),
            Effect::RoleChanged { role: Role::Leader, term, .. } => self.invariants.elect(id, term),
            Effect::RoleChanged { .. }
            | Effect::SteppedDown(_)
            | Effect::Rejected { .. }
            | Effect::ReadFailed { .. } => {}
            Effect::Unhandled { role, trigger } => {
                self.invariants.fail(format!("{id}: {role} doesn't handle {trigger}"));
            }
        }
    }

    fn deliver(&mut self, from: InstanceId, to: InstanceId, message: &Message) {
        let bytes = postcard::to_stdvec(message).expect("a message can be encoded").len();
        *self.sent.entry(from).or_default() += bytes as u64;
        let Network { loss_percent, duplicate_percent, max_delay_micros } = self.network;
        if self.rng.random_range(0..100) < loss_percent {
            return;
        }
        let copies = if self.rng.random_range(0..100) < duplicate_percent { 2 } else { 1 };
        for _ in 0..copies {
            let delay = 500 + self.rng.random_range(0..=max_delay_micros);
            self.schedule(delay, SimEvent::Receive { from, to, message: message.clone() });
        }
    }

    fn store(&mut self, at: InstanceId, write: Write) {
        let Some(member) = self.members.get_mut(&at) else { return };
        let (generation, sequence) = (member.generation, write.sequence);
        member.unsynced.push(write);
        let delay = self.rng.random_range(500..=8_000);
        self.schedule(delay, SimEvent::Stored { at, generation, sequence });
    }
}
