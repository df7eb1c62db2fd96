//! A council in one process: members with disks that may fail, a network that loses, repeats and
//! reorders, and a check of everything that the members say.

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
    promises::{Promises, Replica},
};

/// After how many entries a member takes a snapshot.
const COMPACT_EVERY: u64 = 20;

/// How unkind the network is, in messages of a hundred.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Network {
    pub(crate) lost: u32,
    pub(crate) repeated: u32,
    pub(crate) slowest: u64,
}

/// The times by which the members wait for each other.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    pub(crate) heartbeat_interval: Duration,
    pub(crate) election_timeout: Duration,
}

struct Member {
    machine: Option<Consensus>,
    disk: Disk,
    unsynced: Vec<Write>,
    /// Larger with each restart, so that what was under way in an earlier life is void.
    life: u64,
    frozen: bool,
    /// What arrived while it was frozen.
    inbox: Vec<Event>,
    replica: Replica,
    compacted: Index,
}

/// What happens at a time.
#[derive(Clone, Debug)]
pub(crate) enum Happening {
    Arrives { from: InstanceId, to: InstanceId, message: Message },
    Stored { at: InstanceId, life: u64, sequence: u64 },
    Restart { at: InstanceId },
    Thaw { at: InstanceId },
    Heal,
}

/// The council with its surroundings.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) network: Network,
    pub(crate) bootstrap: Members,
    seed: u64,
    members: BTreeMap<InstanceId, Member>,
    agenda: BTreeMap<(Time, u64), Happening>,
    scheduled: u64,
    /// Pairs that can't reach each other.
    cuts: BTreeSet<(InstanceId, InstanceId)>,
    lost: BTreeSet<InstanceId>,
    pub(crate) promises: Promises,
    /// How much each member has sent, in encoded bytes.
    pub(crate) sent: BTreeMap<InstanceId, u64>,
    times: Times,
    next_ticket: u64,
}

impl World {
    pub(crate) fn new(voters: u64, learners: u64, seed: u64) -> Self {
        let heartbeat_interval = Duration::from_millis(50);
        let election_timeout = Duration::from_millis(200);
        Self::with_times(voters, learners, seed, Times { heartbeat_interval, election_timeout })
    }

    /// A council with other times than the tests' short ones.
    pub(crate) fn with_times(voters: u64, learners: u64, seed: u64, times: Times) -> Self {
        let ids = |from: u64, to: u64| (from..=to).map(InstanceId).collect::<Vec<_>>();
        let bootstrap =
            Members { voters: ids(1, voters), learners: ids(voters + 1, voters + learners) };
        let mut world = Self {
            now: Time::from_millis(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            network: Network::default(),
            seed,
            members: BTreeMap::new(),
            agenda: BTreeMap::new(),
            scheduled: 0,
            cuts: BTreeSet::new(),
            lost: BTreeSet::new(),
            promises: Promises::default(),
            sent: BTreeMap::new(),
            times,
            next_ticket: 0,
            bootstrap: bootstrap.clone(),
        };
        for id in bootstrap.all() {
            world.start(id, Disk::default(), 0);
        }
        world
    }

    pub(crate) fn ids(&self) -> Vec<InstanceId> {
        self.members.keys().copied().collect()
    }

    /// Members that run, frozen or not.
    pub(crate) fn running(&self) -> Vec<InstanceId> {
        let running = self.members.iter().filter(|(_, member)| member.machine.is_some());
        running.map(|(id, _)| *id).collect()
    }

    pub(crate) fn machine(&self, id: InstanceId) -> Option<&Consensus> {
        self.members.get(&id).and_then(|member| member.machine.as_ref())
    }

    /// The member that leads in the newest term.
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

    fn start(&mut self, id: InstanceId, disk: Disk, life: u64) {
        let recovered = disk.recover();
        let machine =
            Consensus::new(self.config(id), recovered, &self.bootstrap, self.now, self.seed);
        let member = Member {
            machine: Some(machine),
            disk,
            unsynced: Vec::new(),
            life,
            frozen: false,
            inbox: Vec::new(),
            replica: Replica::default(),
            compacted: Index(0),
        };
        self.members.insert(id, member);
        self.feed(id, Event::Timer);
    }

    pub(crate) fn at(&mut self, delay: u64, happening: Happening) {
        self.scheduled += 1;
        self.agenda.insert((self.now + Duration::from_micros(delay), self.scheduled), happening);
    }

    /// Runs everything up to `until`.
    pub(crate) fn run_until(&mut self, until: Time) {
        loop {
            let due = self.agenda.first_key_value().map(|((at, _), _)| *at);
            let timer = self.first_timer();
            let next = match (due, timer) {
                (Some(due), Some((at, id))) if at < due => (at, Some(id)),
                (Some(due), _) => (due, None),
                (None, Some((at, id))) => (at, Some(id)),
                (None, None) => return,
            };
            if next.0 > until || self.promises.verdict().is_err() {
                self.now = until;
                return;
            }
            self.now = self.now.max(next.0);
            match next.1 {
                Some(id) => self.feed(id, Event::Timer),
                None => self.next_happening(),
            }
        }
    }

    pub(crate) fn run_for(&mut self, millis: u64) {
        self.run_until(self.now + Duration::from_millis(millis));
    }

    fn first_timer(&self) -> Option<(Time, InstanceId)> {
        let awake = self.members.iter().filter(|(_, member)| !member.frozen);
        awake.filter_map(|(id, m)| Some((m.machine.as_ref()?.next_deadline()?, *id))).min()
    }

    fn next_happening(&mut self) {
        let Some((_, happening)) = self.agenda.pop_first() else { return };
        match happening {
            Happening::Arrives { from, to, message } => {
                if !self.cuts.contains(&(from, to)) {
                    self.feed(to, Event::Receive { from, message });
                }
            }
            Happening::Stored { at, life, sequence } => self.sync(at, life, sequence),
            Happening::Restart { at } => self.restart(at),
            Happening::Thaw { at } => self.thaw(at),
            Happening::Heal => self.cuts.clear(),
        }
    }

    fn sync(&mut self, at: InstanceId, life: u64, sequence: u64) {
        let Some(member) = self.members.get_mut(&at).filter(|member| member.life == life) else {
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

    /// Asks a member for a read, which must see all that anybody has applied by now.
    pub(crate) fn read(&mut self, at: InstanceId) {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.promises.begin_read(ticket);
        self.feed(at, Event::Read { ticket });
    }

    pub(crate) fn feed(&mut self, id: InstanceId, event: Event) {
        let Some(member) = self.members.get_mut(&id) else { return };
        if member.frozen {
            member.inbox.push(event);
            return;
        }
        let Some(machine) = &mut member.machine else { return };
        let mut effects = Vec::new();
        machine.handle(self.now, event, &mut effects);
        for effect in effects {
            self.carry_out(id, effect);
        }
        self.compact(id);
    }

    fn compact(&mut self, id: InstanceId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let applied = member.replica.applied;
        if applied.0 >= member.compacted.0 + COMPACT_EVERY {
            member.compacted = applied;
            let state = member.replica.encode();
            self.feed(id, Event::Compacted { index: applied, state });
        }
    }

    fn carry_out(&mut self, id: InstanceId, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.deliver(id, to, &message),
            Effect::Store(write) => self.store(id, write),
            Effect::Apply(entries) => {
                let Some(member) = self.members.get_mut(&id) else { return };
                for entry in entries {
                    self.promises.apply(id, &mut member.replica, entry);
                }
            }
            Effect::Restore(snapshot) => {
                let Some(member) = self.members.get_mut(&id) else { return };
                self.promises.restore(id, &mut member.replica, &snapshot);
                member.compacted = snapshot.index;
            }
            Effect::Accepted { ticket, index, term } => {
                self.promises.accept(id, ticket, index, term);
            }
            Effect::ReadReady { ticket, index } => self.promises.end_read(id, ticket, index),
            Effect::RoleChanged { role: Role::Leader, term, .. } => self.promises.elect(id, term),
            Effect::RoleChanged { .. } | Effect::Rejected { .. } | Effect::ReadFailed { .. } => {}
            Effect::Unhandled { role, trigger } => {
                self.promises.fail(format!("{id}: {trigger} is not handled as {role}"));
            }
        }
    }

    fn deliver(&mut self, from: InstanceId, to: InstanceId, message: &Message) {
        let bytes = postcard::to_stdvec(message).expect("a message can be encoded").len();
        *self.sent.entry(from).or_default() += bytes as u64;
        let Network { lost, repeated, slowest } = self.network;
        if self.rng.random_range(0..100) < lost {
            return;
        }
        let copies = if self.rng.random_range(0..100) < repeated { 2 } else { 1 };
        for _ in 0..copies {
            let delay = 500 + self.rng.random_range(0..=slowest);
            self.at(delay, Happening::Arrives { from, to, message: message.clone() });
        }
    }

    fn store(&mut self, at: InstanceId, write: Write) {
        let Some(member) = self.members.get_mut(&at) else { return };
        let (life, sequence) = (member.life, write.sequence);
        member.unsynced.push(write);
        let delay = self.rng.random_range(500..=8_000);
        self.at(delay, Happening::Stored { at, life, sequence });
    }
}
