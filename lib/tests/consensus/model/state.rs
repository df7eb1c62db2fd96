//! The state of a small group in the model, and its successor states.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    time::Duration,
};

use crate::{
    disk::Disk,
    model::{shared::Shared, step::Step},
};
use bytes::Bytes;
use hickorylink_lib::{
    consensus::{
        Consensus,
        chart::Role,
        log::{Entry, Members},
        message::{Body, Message},
        port::{Config, Effect, Event, Status},
    },
    ids::{Index, InstanceId, Term, Ticket},
    time::Time,
};

/// The maximum number of messages in flight from one member to another; beyond it the oldest is
/// lost.
pub(crate) const CHANNEL_CAPACITY: usize = 1;

/// The time never advances and all timeouts are zero, so that any timer may fire in any state.
const NOW: Time = Time::from_nanos(0);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Member {
    pub(super) machine: Consensus,
    pub(super) disk: Disk,
    /// The contents of the disk once all writes are synced: the member's log.
    pub(super) log: Disk,
    /// The sequence number of the last unsynced write, if any.
    unsynced: Option<u64>,
}

impl Member {
    fn start(id: InstanceId, disk: Disk, bootstrap: &Members) -> Self {
        let machine = Consensus::new(config(id), disk.recover(), bootstrap, NOW, 0);
        Self { machine, log: disk.clone(), disk, unsynced: None }
    }
}

/// How often each kind of event may still occur.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub(crate) timers: u8,
    pub(crate) crashes: u8,
    pub(crate) proposals: u8,
    pub(crate) reads: u8,
    pub(crate) replacements: u8,
    pub(crate) compactions: u8,
}

/// The history that the safety properties refer to, beyond the members' own states.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    pub(super) leaders: BTreeMap<Term, InstanceId>,
    /// Committed entries, each with the term of the member that committed it first.
    pub(crate) committed: Vec<(Entry, Term)>,
    /// The smallest index that a read must see, by its ticket.
    min_indexes: BTreeMap<Ticket, Index>,
}

#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(super) members: Vec<Shared<Member>>,
    channels: BTreeMap<(InstanceId, InstanceId), Vec<Shared<Message>>>,
    pub(crate) budget: Budget,
    pub(crate) history: Shared<History>,
    pub(crate) violation: Option<String>,
    /// The step that led to this state; not part of its identity.
    pub(crate) step: Step,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.members == other.members
            && self.channels == other.channels
            && self.budget == other.budget
            && self.history == other.history
            && self.violation == other.violation
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.members.hash(state);
        self.channels.hash(state);
        self.budget.hash(state);
        self.history.hash(state);
    }
}

fn config(me: InstanceId) -> Config {
    Config {
        me,
        heartbeat_interval: Duration::ZERO,
        election_timeout: Duration::ZERO,
        max_batch_bytes: 1_000,
        max_inflight: 2,
        chunk_bytes: 1_000,
        max_pending: 4,
        catch_up_margin: 0,
        replace_after: Duration::ZERO,
    }
}

impl State {
    /// A group with empty logs.
    pub(crate) fn new(voters: u64, learners: u64) -> Self {
        let ids = |from: u64, to: u64| (from..=to).map(InstanceId).collect::<Vec<_>>();
        let members =
            Members { voters: ids(1, voters), learners: ids(voters + 1, voters + learners) };
        let member = |id| Shared::new(Member::start(id, Disk::default(), &members));
        Self {
            members: members.all().map(member).collect(),
            channels: BTreeMap::new(),
            budget: Budget::default(),
            history: Shared::new(History::default()),
            violation: None,
            step: Step::Start,
        }
    }

    /// A group whose first member leads and whose other members have all of its entries.
    pub(crate) fn with_leader(voters: u64, learners: u64) -> Self {
        let mut state = Self::new(voters, learners).fire(0);
        state.quiesce();
        for _ in 0..2 {
            state = state.fire(0);
            state.quiesce();
        }
        assert_eq!(state.members[0].value.machine.status().role, Role::Leader);
        state
    }

    /// A group with two candidates of the same term, whose vote requests are in flight.
    pub(crate) fn contested() -> Self {
        let mut state = Self::new(3, 0).fire(0).fire(1);
        loop {
            let pre_vote = |channel: &[Shared<Message>]| {
                channel.iter().position(|message| match message.value.body {
                    Body::PreVote { .. } | Body::PreVoteAnswer { .. } => true,
                    Body::Vote { .. }
                    | Body::VoteAnswer { .. }
                    | Body::Append { .. }
                    | Body::AppendAnswer { .. }
                    | Body::SnapshotChunk { .. }
                    | Body::SnapshotAnswer { .. }
                    | Body::ReadIndex { .. }
                    | Body::ReadAnswer { .. } => false,
                })
            };
            let next = state.channels.iter().find_map(|(key, c)| pre_vote(c).map(|at| (*key, at)));
            let Some((key, at)) = next else { break };
            state = state.deliver(key, at);
        }
        for at in 0..2 {
            assert_eq!(state.members[at].value.machine.status().role, Role::Candidate);
        }
        state
    }

    /// Delivers all messages and syncs all writes, in order, until none is left.
    fn quiesce(&mut self) {
        loop {
            let unsynced = self.members.iter().position(|member| member.value.unsynced.is_some());
            let channel = self.channels.iter().find(|(_, channel)| !channel.is_empty());
            match (unsynced, channel.map(|(key, _)| *key)) {
                (Some(at), _) => *self = self.sync(at),
                (None, Some(key)) => *self = self.deliver(key, 0),
                (None, None) => return,
            }
        }
    }

    pub(super) fn id(at: usize) -> InstanceId {
        InstanceId(at as u64 + 1)
    }

    fn next(&self, step: Step) -> Self {
        let mut next = self.clone();
        next.step = step;
        next
    }

    /// The state after a member's timer has fired.
    fn fire(&self, at: usize) -> Self {
        let mut next = self.next(Step::Timer(Self::id(at)));
        next.feed(at, Event::Timer);
        next
    }

    fn sync(&self, at: usize) -> Self {
        let mut next = self.next(Step::Sync(Self::id(at)));
        let mut member = Member::clone(&self.members[at].value);
        let sequence = member.unsynced.take().unwrap_or_default();
        member.disk = member.log.clone();
        next.members[at] = Shared::new(member);
        next.feed(at, Event::Stored { sequence });
        next
    }

    fn deliver(&self, key: (InstanceId, InstanceId), at: usize) -> Self {
        let mut next = self.clone();
        let channel = next.channels.get_mut(&key).expect("the channel exists");
        let shared = channel.remove(at);
        let message = Message::clone(&shared.value);
        if channel.is_empty() {
            next.channels.remove(&key);
        }
        next.step = Step::Deliver { from: key.0, to: key.1, message: shared };
        let to = usize::try_from(key.1.0 - 1).expect("few members");
        next.feed(to, Event::Receive { from: key.0, message });
        next
    }

    fn crash(&self, at: usize) -> Option<Self> {
        let crashes = self.budget.crashes.checked_sub(1)?;
        let mut next = self.next(Step::Crash(Self::id(at)));
        let disk = self.members[at].value.disk.clone();
        let bootstrap = Members { voters: (0..3).map(Self::id).collect(), learners: Vec::new() };
        next.members[at] = Shared::new(Member::start(Self::id(at), disk, &bootstrap));
        next.budget.crashes = crashes;
        Some(next)
    }

    /// Drops answers that have become irrelevant, so that states which differ only in them are
    /// merged.
    fn drop_irrelevant(&mut self) {
        let members = &self.members;
        for (key, channel) in &mut self.channels {
            let at = usize::try_from(key.1.0 - 1).expect("few members");
            let status = members[at].value.machine.status();
            channel.retain(|message| !is_irrelevant(&message.value, &status));
        }
        self.channels.retain(|_, channel| !channel.is_empty());
    }

    fn feed(&mut self, at: usize, event: Event) {
        let mut member = Member::clone(&self.members[at].value);
        let mut effects = Vec::new();
        member.machine.handle(NOW, event, &mut effects);
        for effect in &effects {
            if let Effect::Store(write) = effect {
                member.log.write(write);
                member.unsynced = Some(write.sequence);
            }
        }
        self.members[at] = Shared::new(member);
        for effect in effects {
            self.run_effect(at, effect);
        }
        self.drop_irrelevant();
        self.check_log(at);
        if self.budget.crashes == 0 && self.members[at].value.unsynced.is_some() {
            let step = self.step.clone();
            *self = self.sync(at);
            self.step = step;
        }
    }

    fn run_effect(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let channel = self.channels.entry((Self::id(at), to)).or_default();
                let message = Shared::new(message);
                if !channel.contains(&message) {
                    channel.push(message);
                }
                if channel.len() > CHANNEL_CAPACITY {
                    channel.remove(0);
                }
            }
            Effect::Apply(entries) => {
                for entry in entries {
                    self.apply(at, entry);
                }
            }
            Effect::RoleChanged { role: Role::Leader, term, .. } => self.elect(at, term),
            Effect::ReadReady { ticket, index } => {
                if index < self.history.value.min_indexes[&ticket] {
                    self.fail(format!(
                        "{} answers a read at index {index}, which is too early",
                        Self::id(at)
                    ));
                }
            }
            Effect::Unhandled { role, trigger } => {
                self.fail(format!("{role} doesn't handle {trigger}"));
            }
            Effect::Store(_)
            | Effect::Restore(_)
            | Effect::Accepted { .. }
            | Effect::Rejected { .. }
            | Effect::ReadFailed { .. }
            | Effect::RoleChanged { .. }
            | Effect::SteppedDown(_) => {}
        }
    }

    pub(crate) fn successors(&self) -> Vec<Self> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for (key, channel) in &self.channels {
            next.extend((0..channel.len()).map(|at| self.deliver(*key, at)));
        }
        for at in 0..self.members.len() {
            if self.members[at].value.unsynced.is_some() {
                next.push(self.sync(at));
                next.extend(self.crash(at));
            }
            next.extend(self.timeout(at));
            self.requests(at, &mut next);
        }
        next
    }

    /// Like [`fire`](Self::fire), if the budget allows another timer.
    fn timeout(&self, at: usize) -> Option<Self> {
        let timers = self.budget.timers.checked_sub(1)?;
        let mut state = self.clone();
        state.budget.timers = timers;
        Some(state.fire(at))
    }

    /// Adds the states after each request that the leader may still get.
    fn requests(&self, at: usize, next: &mut Vec<Self>) {
        if self.members[at].value.machine.status().role != Role::Leader {
            return;
        }
        let Budget { proposals, reads, replacements, compactions, .. } = self.budget;
        if let Some(proposals) = proposals.checked_sub(1) {
            let mut state = self.next(Step::Propose(Self::id(at)));
            state.budget.proposals = proposals;
            let command = Bytes::copy_from_slice(&[proposals, Self::id(at).0 as u8]);
            state.feed(at, Event::Propose { ticket: Ticket(0), command });
            next.push(state);
        }
        if let Some(reads) = reads.checked_sub(1) {
            let mut state = self.next(Step::Read(Self::id(at)));
            state.budget.reads = reads;
            let ticket = Ticket(u64::from(reads));
            let min_index = Index(self.history.value.committed.len() as u64);
            state.record(|history| {
                history.min_indexes.insert(ticket, min_index);
            });
            state.feed(at, Event::Read { ticket });
            next.push(state);
        }
        if let Some(replacements) = replacements.checked_sub(1) {
            let mut state = self.next(Step::Replace(Self::id(at)));
            state.budget.replacements = replacements;
            state.feed(at, Event::ReplaceVoter { lost: InstanceId(3), by: InstanceId(4) });
            next.push(state);
        }
        if let Some(compactions) = compactions.checked_sub(1) {
            let mut state = self.next(Step::Compact(Self::id(at)));
            state.budget.compactions = compactions;
            let index = self.members[at].value.machine.status().commit;
            state.feed(at, Event::Compacted { index, state: Bytes::from_static(b"state") });
            next.push(state);
        }
    }
}

/// Whether an answer belongs to an earlier term, or to a role that the receiver no longer has.
fn is_irrelevant(message: &Message, status: &Status) -> bool {
    let older = message.term < status.term;
    let same = message.term == status.term;
    match message.body {
        Body::VoteAnswer { .. } => older || same && status.role != Role::Candidate,
        Body::PreVoteAnswer { granted } => !granted && (older || same),
        Body::AppendAnswer { .. } | Body::SnapshotAnswer { .. } | Body::ReadAnswer { .. } => {
            older || same && status.role != Role::Leader
        }
        Body::PreVote { .. }
        | Body::Vote { .. }
        | Body::Append { .. }
        | Body::SnapshotChunk { .. }
        | Body::ReadIndex { .. } => false,
    }
}
