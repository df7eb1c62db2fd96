//! A single member whose peers are simulated by the test.

use std::time::Duration;

use bytes::Bytes;
use hickorylink_lib::{
    consensus::{
        Consensus,
        log::{Entry, HardState, Members, Payload, Recovered, Write},
        message::{Body, Message},
        port::{Config, Effect, Event, Status},
    },
    ids::{Index, InstanceId, Term, Ticket},
    time::Time,
};

/// The member under test.
pub(crate) const ME: InstanceId = InstanceId(1);

/// The smallest election timeout, in milliseconds.
pub(crate) const ELECTION_MS: u64 = 200;

pub(crate) struct TestMember {
    pub(crate) machine: Consensus,
    pub(crate) now: Time,
    /// The effects since the last [`take_effects`](Self::take_effects).
    effects: Vec<Effect>,
    /// The sequence number of the last write, synced or not.
    sequence: u64,
}

pub(crate) fn config() -> Config {
    Config {
        me: ME,
        heartbeat_interval: Duration::from_millis(50),
        election_timeout: Duration::from_millis(ELECTION_MS),
        max_batch_bytes: 1_000,
        max_inflight: 4,
        chunk_bytes: 4,
        max_pending: 4,
        catch_up_margin: 2,
        replace_after: Duration::from_secs(1),
    }
}

pub(crate) fn members(voters: &[u64], learners: &[u64]) -> Members {
    let ids = |list: &[u64]| list.iter().copied().map(InstanceId).collect();
    Members { voters: ids(voters), learners: ids(learners) }
}

/// An append without entries.
pub(crate) fn heartbeat(commit: u64, round: u64) -> Body {
    let (previous, previous_term, entries) = (Index(0), Term(0), Vec::new());
    Body::Append { previous, previous_term, entries, commit: Index(commit), round }
}

/// A log with the given terms, whose first entry contains the members.
pub(crate) fn log(members: &Members, terms: &[u64]) -> Vec<Entry> {
    let payload = |at| match at {
        0 => Payload::Members(members.clone()),
        _ => Payload::Command(Bytes::from(vec![at as u8])),
    };
    let entry = |(at, term): (usize, &u64)| Entry {
        index: Index(at as u64 + 1),
        term: Term(*term),
        payload: payload(at),
    };
    terms.iter().enumerate().map(entry).collect()
}

impl TestMember {
    /// A member that recovered a log with the given terms and whose own term is that of the last
    /// entry.
    pub(crate) fn new(members: &Members, terms: &[u64]) -> Self {
        let term = Term(terms.last().copied().unwrap_or(0));
        let hard = HardState { term, vote: None };
        let recovered = Recovered { hard, snapshot: None, entries: log(members, terms) };
        let now = Time::from_millis(1_000);
        let machine = Consensus::new(config(), recovered, members, now, 1);
        Self { machine, now, effects: Vec::new(), sequence: 0 }
    }

    /// A leader that has committed its first entry.
    pub(crate) fn leader(members: &Members) -> Self {
        let mut member = Self::elected(members, &[]);
        member.acknowledge(1);
        member.take_effects();
        member
    }

    /// A member that recovered a log with the given terms, won an election and synced its first
    /// entry as a leader.
    pub(crate) fn elected(members: &Members, terms: &[u64]) -> Self {
        let mut member = Self::new(members, terms);
        member.win_election();
        member
    }

    /// Wins an election and syncs the first entry of the term.
    pub(crate) fn win_election(&mut self) {
        self.now = self.machine.next_deadline().expect("an election timeout");
        self.feed(Event::Timer);
        let Status { members, term: Term(term), .. } = self.status();
        let others: Vec<_> = members.voters.iter().filter(|voter| **voter != ME).collect();
        for voter in &others {
            self.receive(voter.0, term, Body::PreVoteAnswer { granted: true });
        }
        self.sync();
        for voter in &others {
            self.receive(voter.0, term + 1, Body::VoteAnswer { granted: true });
        }
        self.sync();
    }

    pub(crate) fn status(&self) -> Status {
        self.machine.status()
    }

    pub(crate) fn now(&self) -> Time {
        self.now
    }

    pub(crate) fn lease_until(&self) -> Option<Time> {
        self.machine.lease_until()
    }

    pub(crate) fn feed(&mut self, event: Event) {
        let from = self.effects.len();
        self.machine.handle(self.now, event, &mut self.effects);
        for effect in &self.effects[from..] {
            if let Effect::Store(write) = effect {
                self.sequence = write.sequence;
            }
        }
    }

    pub(crate) fn receive(&mut self, from: u64, term: u64, body: Body) {
        let message = Message { term: Term(term), body };
        self.feed(Event::Receive { from: InstanceId(from), message });
    }

    /// All other voters acknowledge the log up to `index`, without confirming a round.
    pub(crate) fn acknowledge(&mut self, index: u64) {
        let Status { members, term, .. } = self.status();
        for voter in members.voters.iter().filter(|voter| **voter != ME) {
            self.acknowledge_as(voter.0, term.0, index);
        }
    }

    pub(crate) fn acknowledge_as(&mut self, from: u64, term: u64, index: u64) {
        let (matched, rejected) = (Index(index), false);
        self.receive(from, term, Body::AppendAnswer { matched, rejected, round: 0 });
    }

    pub(crate) fn propose(&mut self, ticket: u64) {
        let command = Bytes::from_static(b"command");
        self.feed(Event::Propose { ticket: Ticket(ticket), command });
    }

    /// Reports all writes as synced.
    pub(crate) fn sync(&mut self) {
        self.feed(Event::Stored { sequence: self.sequence });
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    /// Removes and returns the effects since the last call.
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Removes the effects since the last call and returns the messages among them.
    pub(crate) fn sent(&mut self) -> Vec<(InstanceId, Body)> {
        let sent = |effect| {
            let Effect::Send { to, message } = effect else { return None };
            Some((to, message.body))
        };
        self.take_effects().into_iter().filter_map(sent).collect()
    }
}

/// The writes among effects.
pub(crate) fn writes<'e>(effects: &'e [Effect]) -> Vec<&'e Write> {
    let write = |effect: &'e Effect| {
        let Effect::Store(write) = effect else { return None };
        Some(write)
    };
    effects.iter().filter_map(write).collect()
}
