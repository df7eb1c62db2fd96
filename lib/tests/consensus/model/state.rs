//! The state of a small council, what may happen to it next, and what must hold then.

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

/// How many messages may be on their way between two members; the oldest is lost.
pub(crate) const CHANNEL: usize = 1;

/// All timeouts are zero and the time stands still, so that every timer may fire at any moment.
const NOW: Time = Time::from_nanos(0);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Member {
    pub(super) machine: Consensus,
    pub(super) disk: Disk,
    /// What the disk will hold once everything is synced: the member's log.
    pub(super) log: Disk,
    /// The last write that isn't synced, if there is one.
    unsynced: Option<u64>,
}

impl Member {
    fn start(id: InstanceId, disk: Disk, bootstrap: &Members) -> Self {
        let machine = Consensus::new(config(id), disk.recover(), bootstrap, NOW, 0);
        Self { machine, log: disk.clone(), disk, unsynced: None }
    }
}

/// How often each thing may still happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub(crate) timers: u8,
    pub(crate) crashes: u8,
    pub(crate) proposals: u8,
    pub(crate) reads: u8,
    pub(crate) replacements: u8,
    pub(crate) compactions: u8,
}

/// What must hold over time, beside the members' own state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    pub(super) leaders: BTreeMap<Term, InstanceId>,
    /// Committed entries, with the term of the member that committed first.
    pub(crate) committed: Vec<(Entry, Term)>,
    /// What a read must see, by its ticket.
    floors: BTreeMap<Ticket, Index>,
}

#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(super) members: Vec<Shared<Member>>,
    channels: BTreeMap<(InstanceId, InstanceId), Vec<Shared<Message>>>,
    pub(crate) budget: Budget,
    pub(crate) history: Shared<History>,
    pub(crate) violation: Option<String>,
    /// How this state came about; not part of its identity.
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
    /// A council of `voters` and `learners` that knows nothing yet.
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

    /// A council whose first member leads and whose other members hold all that it holds.
    pub(crate) fn led(voters: u64, learners: u64) -> Self {
        let mut state = Self::new(voters, learners).fire(0);
        state.calm();
        for _ in 0..2 {
            state = state.fire(0);
            state.calm();
        }
        assert_eq!(state.members[0].value.machine.status().role, Role::Leader);
        state
    }

    /// Two candidates of the same term, whose requests for votes are on their way.
    pub(crate) fn contested() -> Self {
        let mut state = Self::new(3, 0).fire(0).fire(1);
        loop {
            let asks = |channel: &[Shared<Message>]| {
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
            let next = state.channels.iter().find_map(|(key, c)| asks(c).map(|at| (*key, at)));
            let Some((key, at)) = next else { break };
            state = state.deliver(key, at);
        }
        for at in 0..2 {
            assert_eq!(state.members[at].value.machine.status().role, Role::Candidate);
        }
        state
    }

    /// Delivers and syncs everything, in order, until nothing is under way.
    fn calm(&mut self) {
        loop {
            let busy = self.members.iter().position(|member| member.value.unsynced.is_some());
            let full = self.channels.iter().find(|(_, channel)| !channel.is_empty());
            match (busy, full.map(|(key, _)| *key)) {
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

    /// Drops answers that can't matter any more, so that states which differ only in them are one.
    fn forget_stale(&mut self) {
        let members = &self.members;
        for (key, channel) in &mut self.channels {
            let at = usize::try_from(key.1.0 - 1).expect("few members");
            let status = members[at].value.machine.status();
            channel.retain(|message| !is_moot(&message.value, &status));
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
            self.carry_out(at, effect);
        }
        self.forget_stale();
        self.check_log(at);
        if self.budget.crashes == 0 && self.members[at].value.unsynced.is_some() {
            let step = self.step.clone();
            *self = self.sync(at);
            self.step = step;
        }
    }

    fn carry_out(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let channel = self.channels.entry((Self::id(at), to)).or_default();
                let message = Shared::new(message);
                if !channel.contains(&message) {
                    channel.push(message);
                }
                if channel.len() > CHANNEL {
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
                if index < self.history.value.floors[&ticket] {
                    self.fail(format!("{} reads at {index}, too early", Self::id(at)));
                }
            }
            Effect::Unhandled { role, trigger } => {
                self.fail(format!("{trigger} is not handled as {role}"));
            }
            Effect::Store(_)
            | Effect::Restore(_)
            | Effect::Accepted { .. }
            | Effect::Rejected { .. }
            | Effect::ReadFailed { .. }
            | Effect::RoleChanged { .. } => {}
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

    fn timeout(&self, at: usize) -> Option<Self> {
        let timers = self.budget.timers.checked_sub(1)?;
        let mut state = self.clone();
        state.budget.timers = timers;
        Some(state.fire(at))
    }

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
            let floor = Index(self.history.value.committed.len() as u64);
            state.record(|history| {
                history.floors.insert(ticket, floor);
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

/// Whether an answer is to a question of an earlier term, or to an election that is over.
fn is_moot(message: &Message, status: &Status) -> bool {
    let old = message.term < status.term;
    let now = message.term == status.term;
    match message.body {
        Body::VoteAnswer { .. } => old || now && status.role != Role::Candidate,
        Body::PreVoteAnswer { granted } => !granted && (old || now),
        Body::AppendAnswer { .. } | Body::SnapshotAnswer { .. } | Body::ReadAnswer { .. } => {
            old || now && status.role != Role::Leader
        }
        Body::PreVote { .. }
        | Body::Vote { .. }
        | Body::Append { .. }
        | Body::SnapshotChunk { .. }
        | Body::ReadIndex { .. } => false,
    }
}
