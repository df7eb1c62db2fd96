//! A model check: all orders in which a few things can happen to a small council, with the real
//! step function, against the safety properties of the agreement.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
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
use pathfinding::prelude::bfs;

use crate::disk::Disk;

/// How many messages may be on their way between two members; the oldest is lost.
const CHANNEL: usize = 1;

/// All timeouts are zero and the time stands still, so that every timer may fire at any moment.
const NOW: Time = Time::from_nanos(0);

/// A value with its hash, shared between states.
#[derive(Debug)]
struct Shared<T> {
    hash: u64,
    value: Arc<T>,
}

impl<T: Hash> Shared<T> {
    fn new(value: T) -> Self {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        Self { hash: hasher.finish(), value: Arc::new(value) }
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self { hash: self.hash, value: Arc::clone(&self.value) }
    }
}

impl<T: PartialEq> PartialEq for Shared<T> {
    fn eq(&self, other: &Self) -> bool {
        self.hash == other.hash
            && (Arc::ptr_eq(&self.value, &other.value) || self.value == other.value)
    }
}

impl<T: Eq> Eq for Shared<T> {}

impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.hash.hash(state);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    machine: Consensus,
    disk: Disk,
    /// What the disk will hold once everything is synced: the member's log.
    log: Disk,
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
struct Budget {
    timers: u8,
    crashes: u8,
    proposals: u8,
    reads: u8,
    replacements: u8,
    compactions: u8,
}

/// What must hold over time, beside the members' own state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct History {
    leaders: BTreeMap<Term, InstanceId>,
    /// Committed entries, with the term of the member that committed first.
    committed: Vec<(Entry, Term)>,
    /// What a read must see, by its ticket.
    floors: BTreeMap<Ticket, Index>,
}

#[derive(Clone, Debug)]
struct State {
    members: Vec<Shared<Member>>,
    channels: BTreeMap<(InstanceId, InstanceId), Vec<Shared<Message>>>,
    budget: Budget,
    history: Shared<History>,
    violation: Option<String>,
    /// How this state came about; not part of its identity.
    step: Step,
}

/// What brought a state about.
#[derive(Clone, Debug)]
enum Step {
    Start,
    Timer(InstanceId),
    Sync(InstanceId),
    Crash(InstanceId),
    Deliver { from: InstanceId, to: InstanceId, message: Shared<Message> },
    Propose(InstanceId),
    Read(InstanceId),
    Replace(InstanceId),
    Compact(InstanceId),
}

impl std::fmt::Display for Step {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Start => write!(f, "start"),
            Self::Timer(at) => write!(f, "timer of {at}"),
            Self::Sync(at) => write!(f, "{at} syncs"),
            Self::Crash(at) => write!(f, "{at} crashes and restarts"),
            Self::Deliver { from, to, message } => {
                write!(f, "{from} to {to}: {:?}", message.value)
            }
            Self::Propose(at) => write!(f, "a proposal to {at}"),
            Self::Read(at) => write!(f, "a read at {at}"),
            Self::Replace(at) => write!(f, "{at} replaces 3 by 4"),
            Self::Compact(at) => write!(f, "{at} compacts"),
        }
    }
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
        heartbeat: Duration::ZERO,
        election: Duration::ZERO,
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
    fn new(voters: u64, learners: u64) -> Self {
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
    fn led(voters: u64, learners: u64) -> Self {
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
    fn contested() -> Self {
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

    fn id(at: usize) -> InstanceId {
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

    fn fail(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    fn record(&mut self, change: impl FnOnce(&mut History)) {
        let mut history = History::clone(&self.history.value);
        change(&mut history);
        self.history = Shared::new(history);
    }

    /// Election safety: a term has one leader. Leader completeness: it holds whatever was
    /// committed in earlier terms.
    fn elect(&mut self, at: usize, term: Term) {
        let id = Self::id(at);
        if self.history.value.leaders.get(&term).is_some_and(|first| *first != id) {
            self.fail(format!("two leaders in term {term}"));
        }
        let log = &self.members[at].value.log;
        let first = log.snapshot.as_ref().map_or(0, |snapshot| snapshot.index.0);
        let missing = self.history.value.committed.iter().any(|(entry, since)| {
            *since < term && entry.index.0 > first && !log.entries.contains(entry)
        });
        if missing {
            self.fail(format!("{id} leads in term {term} without a committed entry"));
        }
        self.record(|history| {
            history.leaders.insert(term, id);
        });
    }

    /// State machine safety: members apply the same entries. Durability: the first to apply an
    /// entry does so when a quorum has synced it.
    fn apply(&mut self, at: usize, entry: Entry) {
        let status = self.members[at].value.machine.status();
        let place = usize::try_from(entry.index.0 - 1).expect("few entries");
        match self.history.value.committed.get(place) {
            Some((known, _)) if *known != entry => {
                self.fail(format!("{} applies {entry:?} for {known:?}", Self::id(at)));
            }
            Some(_) => {}
            None => {
                let synced = |id: InstanceId| {
                    let at = usize::try_from(id.0 - 1).expect("few members");
                    let disk = &self.members[at].value.disk;
                    let covered = disk.snapshot.as_ref().is_some_and(|s| s.index >= entry.index);
                    covered || disk.entries.contains(&entry)
                };
                if !status.members.is_quorum(synced) {
                    self.fail(format!("{:?} is applied before a quorum synced it", entry.index));
                }
                self.record(|history| history.committed.push((entry, status.term)));
            }
        }
    }

    /// Log matching: entries with the same index and term are the same, and so are all before.
    fn check_log(&mut self, at: usize) {
        let log = &self.members[at].value.log.entries;
        if !self.members.iter().all(|other| matches(log, &other.value.log.entries)) {
            self.fail("two logs differ before an entry that they share".to_owned());
        }
    }

    fn successors(&self) -> Vec<Self> {
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

/// Whether two logs agree on all entries before the last one that they share.
fn matches(a: &[Entry], b: &[Entry]) -> bool {
    let first = |log: &[Entry]| log.first().map_or(Index(u64::MAX), |entry| entry.index);
    let start = first(a).max(first(b));
    let skip = |log: &[Entry]| log.iter().position(|entry| entry.index == start);
    let (Some(i), Some(j)) = (skip(a), skip(b)) else { return true };
    let pairs: Vec<_> = a[i..].iter().zip(&b[j..]).collect();
    let shared = pairs.iter().rposition(|(x, y)| x.term == y.term).map_or(0, |at| at + 1);
    pairs[..shared].iter().all(|(x, y)| x == y)
}

/// A council at the start of a search, and what may happen to it.
struct Case {
    name: &'static str,
    start: State,
    budget: Budget,
}

/// Searches all states and prints how many there are; panics with the shortest way to a violation.
fn search(case: Case) {
    let Case { name, mut start, budget } = case;
    start.budget = budget;
    let mut states = 0;
    let mut commits = BTreeSet::new();
    let successors = |state: &State| {
        states += 1;
        commits.insert(state.history.value.committed.len());
        state.successors()
    };
    if let Some(path) = bfs(&start, successors, |state| state.violation.is_some()) {
        let end = path.last().and_then(|state| state.violation.as_deref()).unwrap_or_default();
        let steps: Vec<_> = path.iter().map(|state| state.step.to_string()).collect();
        panic!("{name}: {end} after\n{}", steps.join("\n"));
    }
    println!("{name}: {states} states, commits {commits:?}, {budget:?}, {CHANNEL} in a channel");
}

const NONE: Budget =
    Budget { timers: 0, crashes: 0, proposals: 0, reads: 0, replacements: 0, compactions: 0 };

#[test]
fn a_term_has_one_leader_in_every_order() {
    search(Case {
        name: "elections",
        start: State::new(3, 0),
        budget: Budget { timers: 2, ..NONE },
    });
    search(Case {
        name: "two candidates, a crash",
        start: State::contested(),
        budget: Budget { crashes: 1, ..NONE },
    });
}

#[test]
fn committed_entries_stay_in_every_order() {
    search(Case {
        name: "replication",
        start: State::led(3, 0),
        budget: Budget { timers: 1, crashes: 1, ..NONE },
    });
    search(Case {
        name: "a proposal",
        start: State::led(3, 0),
        budget: Budget { timers: 1, proposals: 1, ..NONE },
    });
    search(Case {
        name: "snapshots",
        start: State::led(3, 0),
        budget: Budget { timers: 1, crashes: 1, compactions: 1, ..NONE },
    });
}

#[test]
fn reads_see_what_was_committed_in_every_order() {
    search(Case {
        name: "reads",
        start: State::led(3, 0),
        budget: Budget { timers: 1, reads: 1, ..NONE },
    });
}

#[test]
fn a_voter_is_replaced_in_every_order() {
    search(Case {
        name: "replacement",
        start: State::led(3, 1),
        budget: Budget { replacements: 1, crashes: 1, ..NONE },
    });
}

#[test]
#[ignore = "takes a minute in a release build; give --release --include-ignored"]
fn larger_councils_keep_their_promises_in_every_order() {
    search(Case {
        name: "replication and a proposal",
        start: State::led(3, 0),
        budget: Budget { timers: 1, crashes: 1, proposals: 1, ..NONE },
    });
    search(Case {
        name: "reads and a proposal",
        start: State::led(3, 0),
        budget: Budget { timers: 1, reads: 1, proposals: 1, ..NONE },
    });
    search(Case {
        name: "replacement and an election",
        start: State::led(3, 1),
        budget: Budget { timers: 1, replacements: 1, ..NONE },
    });
}
