//! One controller: a replica of the agreed state, and its leader while it is elected.
//!
//! A leader decides on a working copy of the state that runs ahead of the log. What it tells
//! anybody waits until the records that it rests on are committed. A leader that loses its term
//! drops the working copy with all that it hadn't committed.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;

use crate::{
    consensus::{
        Consensus,
        chart::Role,
        log::{Entry, Members, Payload, Recovered, Snapshot, Write},
        message::Message,
        port as consensus,
    },
    ids::{Epoch, Incarnation, Index, InstanceId, Term, WorkerName},
    jobs::{
        call::{Call, Order, OrderReply, Reply},
        controller::lead::Lead,
        link::{LinkMessage, Standing},
        members::Keeper,
        orders::Orders,
        record::{Batch, Node, Record},
        report::Report,
        state::State,
    },
    time::{Time, WallTime, earliest},
};

mod calls;
mod compose;
mod heartbeat;
pub mod lead;
mod schedule;

/// How often a controller introduces itself to the others.
const HELLO: Duration = Duration::from_secs(1);

/// What a controller is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// This controller.
    pub me: Node,
    /// Controllers to call first: their addresses for other instances.
    pub seeds: Vec<SocketAddr>,
    /// The first voters of a deployment that starts for the first time; empty otherwise.
    pub founders: Vec<(InstanceId, SocketAddr)>,
    /// How many voters are aimed at.
    pub voters: usize,
    /// How many entries are applied between two snapshots.
    pub compact: u64,
    /// The times that the leader works with.
    pub timing: Timing,
    /// Settings of the agreement.
    pub consensus: consensus::Config,
    /// Seeds what is drawn at random.
    pub seed: u64,
}

/// The times that a leader works with.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long runs may go on without a heartbeat that is answered.
    pub lease: Duration,
    /// What a worker's slow clock and a late timer may add to a lease.
    pub lease_margin: Duration,
    /// How long a heartbeat is held open at most.
    pub hold: Duration,
    /// How long the states of jobs that have ended are kept.
    pub retain: Duration,
}

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ticket {
    /// A request to this controller.
    Front(u64),
    /// A call that came over a connection from another instance.
    Link {
        /// The connection.
        connection: u64,
        /// The call.
        number: u64,
    },
}

/// Something that happened.
#[derive(Debug)]
pub enum Event {
    /// The deadline that was asked for has come.
    Timer,
    /// Another controller introduced itself.
    Hello(Node),
    /// A message of the agreement.
    Consensus {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// Storage synced all writes up to this one.
    Stored {
        /// The number of the last synced write.
        sequence: u64,
    },
    /// A customer's call.
    Call {
        /// Who waits.
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// An operator's order.
    Order {
        /// Who waits.
        ticket: Ticket,
        /// The order.
        order: Order,
    },
    /// A worker's heartbeat.
    Heartbeat {
        /// Who waits.
        ticket: Ticket,
        /// What it says.
        report: Box<Report>,
    },
    /// A worker is gone by its own word.
    Leave {
        /// Who waits.
        ticket: Ticket,
        /// The worker.
        name: WorkerName,
        /// Its incarnation, if it was said.
        born: Option<Incarnation>,
    },
    /// A gateway asks how this controller stands.
    Probe {
        /// Who waits.
        ticket: Ticket,
    },
}

/// What somebody is told.
#[derive(Clone, Debug)]
pub enum Answer {
    /// To a customer's call.
    Reply(Reply),
    /// To an operator's order.
    Order(OrderReply),
    /// To a heartbeat.
    Orders(Orders),
    /// To a heartbeat that changes nothing, or to a worker that left.
    Noted,
    /// Another controller leads, perhaps.
    Elsewhere(Option<Node>),
    /// To a gateway's probe.
    Standing(Standing),
}

/// Something to do.
#[derive(Debug)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// The addressee.
        to: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// Make a write durable and answer with [`Event::Stored`].
    Store(Write),
    /// Tell who waits.
    Answer {
        /// Who.
        ticket: Ticket,
        /// What.
        answer: Answer,
        /// After this time the answer must not leave any more: another controller may lead.
        until: Option<Time>,
    },
    /// Write a line to the log.
    Note(Note),
}

/// A line for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The role in the agreement changed.
    Role {
        /// The role now.
        role: Role,
        /// The term.
        term: Term,
        /// The leader, if it is known.
        leader: Option<InstanceId>,
    },
    /// This controller begins to lead.
    Leading {
        /// The fencing token.
        epoch: Epoch,
        /// Jobs that go on.
        jobs: usize,
        /// Runs whose workers must be heard or waited out.
        runs: usize,
    },
    /// A configuration is in force.
    Configured {
        /// Its version.
        version: u64,
        /// How many queues it has.
        queues: usize,
    },
    /// A job was accepted, has ended or was refused.
    Job {
        /// Its number.
        id: String,
        /// What became of it.
        what: &'static str,
        /// Its queue.
        queue: String,
        /// Milliseconds since it was accepted.
        age_ms: u64,
    },
    /// Tasks of a step were started.
    Started {
        /// The step.
        step: String,
        /// How many.
        tasks: u32,
        /// How many of its tasks still wait.
        waiting: u32,
        /// The last worker chosen.
        worker: String,
    },
    /// A run ended otherwise than as done.
    Ended {
        /// The task.
        task: String,
        /// The run.
        run: u32,
        /// How.
        ending: &'static str,
        /// The worker.
        worker: String,
    },
    /// A worker was heard first, is leaving or is lost.
    Worker {
        /// Its name.
        name: String,
        /// What became of it.
        what: &'static str,
        /// Milliseconds since it was heard.
        silent_ms: u64,
        /// Runs there.
        runs: usize,
    },
    /// The members of the agreement change.
    Members {
        /// How.
        change: String,
    },
    /// An entry or a snapshot can't be read.
    Unreadable {
        /// Its position.
        index: Index,
        /// Why.
        reason: String,
    },
    /// The agreement's chart has no rule for what happened.
    Unhandled {
        /// What.
        reason: String,
    },
}

/// Answers that wait for a proposal to be committed.
#[derive(Debug)]
struct Waiting {
    number: u64,
    answers: Vec<(Ticket, Answer)>,
}

/// Where the controllers are that recovered entries introduce.
///
/// Until a leader tells how far they are committed, these entries can't be applied; but without
/// the addresses in them no leader could be elected once all controllers have restarted.
fn introduced(entries: &[Entry]) -> BTreeMap<InstanceId, SocketAddr> {
    let batches = entries.iter().filter_map(|entry| match &entry.payload {
        Payload::Command(bytes) => postcard::from_bytes::<Batch>(bytes).ok(),
        Payload::Empty | Payload::Members(_) => None,
    });
    let records = batches.flat_map(|batch| batch.records);
    let nodes = records.filter_map(|record| match record {
        Record::Node(node) => Some((node.id, node.peer)),
        Record::Configure(_)
        | Record::Submit { .. }
        | Record::Cancel { .. }
        | Record::Worker { .. }
        | Record::Gone { .. }
        | Record::Start { .. }
        | Record::End { .. }
        | Record::Forget { .. } => None,
    });
    nodes.collect()
}

/// One controller.
#[derive(Debug)]
pub struct Controller {
    config: Config,
    consensus: Consensus,
    committed: State,
    applied: Index,
    compacted: Index,
    addresses: BTreeMap<InstanceId, SocketAddr>,
    lead: Option<Lead>,
    waiting: VecDeque<Waiting>,
    proposals: u64,
    keeper: Keeper,
    hello: Time,
    effects: Vec<consensus::Effect>,
}

impl Controller {
    /// Goes on from what storage found.
    ///
    /// # Errors
    ///
    /// The snapshot can't be decoded.
    pub fn new(
        config: Config,
        recovered: Recovered,
        now: Time,
    ) -> Result<Self, crate::codec::DecodeError> {
        let (committed, applied) = match &recovered.snapshot {
            Some(snapshot) => (State::decode(&snapshot.state)?, snapshot.index),
            None => (State::default(), Index(0)),
        };
        let mut addresses: BTreeMap<_, _> = config.founders.iter().copied().collect();
        addresses.extend(committed.nodes.values().map(|node| (node.id, node.peer)));
        addresses.extend(introduced(&recovered.entries));
        let mut voters: Vec<_> = config.founders.iter().map(|(id, _)| *id).collect();
        voters.sort_unstable();
        let founders = Members { voters, learners: Vec::new() };
        let consensus =
            Consensus::new(config.consensus.clone(), recovered, &founders, now, config.seed);
        Ok(Self {
            keeper: Keeper::new(config.voters, now),
            hello: now,
            lead: None,
            waiting: VecDeque::new(),
            proposals: 0,
            compacted: applied,
            effects: Vec::new(),
            committed,
            applied,
            addresses,
            consensus,
            config,
        })
    }

    /// The state as far as it is agreed on.
    pub fn committed(&self) -> &State {
        &self.committed
    }

    /// The leader's working copy of the state, and its workers, while this controller leads.
    pub fn lead(&self) -> Option<&Lead> {
        self.lead.as_ref()
    }

    /// How the agreement stands.
    pub fn status(&self) -> consensus::Status {
        self.consensus.status()
    }

    /// When [`Event::Timer`] is due.
    pub fn next_deadline(&self) -> Option<Time> {
        let own = match &self.lead {
            Some(lead) => earliest(lead.next_deadline(), Some(self.keeper.next_deadline())),
            None => None,
        };
        earliest(earliest(own, Some(self.hello)), self.consensus.next_deadline())
    }

    /// Takes in what has happened and adds what is to be done to `out`.
    ///
    /// `wall` is the wall clock, by which repeated jobs are due. What comes in together is
    /// agreed on together.
    pub fn handle(
        &mut self,
        now: Time,
        wall: WallTime,
        events: impl IntoIterator<Item = Event>,
        out: &mut Vec<Effect>,
    ) {
        for event in events {
            self.take(now, wall, event, out);
        }
        self.tick(now, out);
        self.settle(now, wall, out);
        self.finish_turn(now, wall, out);
        self.settle(now, wall, out);
        self.compact(now);
        self.settle(now, wall, out);
    }

    fn take(&mut self, now: Time, wall: WallTime, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Timer => {}
            Event::Hello(node) => {
                self.addresses.insert(node.id, node.peer);
                self.keeper.hear(now, &node);
                if let Some(lead) = &mut self.lead {
                    lead.introduce(&node);
                }
            }
            Event::Consensus { from, message } => {
                self.agree(now, consensus::Event::Receive { from, message });
                self.settle(now, wall, out);
            }
            Event::Stored { sequence } => {
                self.agree(now, consensus::Event::Stored { sequence });
                self.settle(now, wall, out);
            }
            Event::Call { ticket, call } => self.call(now, wall, ticket, call, out),
            Event::Order { ticket, order } => self.order(now, ticket, order, out),
            Event::Heartbeat { ticket, report } => {
                let leads = self.leads(now);
                match &mut self.lead {
                    Some(lead) if leads => lead.heartbeat(now, ticket, &report),
                    Some(_) | None => self.refer(ticket, out),
                }
            }
            Event::Leave { ticket, name, born } => {
                let leads = self.leads(now);
                match &mut self.lead {
                    Some(lead) if leads => lead.leave(now, ticket, &name, born),
                    Some(_) | None => self.refer(ticket, out),
                }
            }
            Event::Probe { ticket } => {
                let answer = Answer::Standing(self.standing(now));
                out.push(Effect::Answer { ticket, answer, until: None });
            }
        }
    }

    /// Whether this controller leads, and no other can.
    fn leads(&self, now: Time) -> bool {
        self.lead.is_some() && self.consensus.lease_until().is_some_and(|until| now < until)
    }

    fn leader(&self) -> Option<&Node> {
        let leader = self.consensus.status().leader.filter(|id| *id != self.config.me.id)?;
        self.committed.nodes.get(&leader)
    }

    fn refer(&self, ticket: Ticket, out: &mut Vec<Effect>) {
        let answer = Answer::Elsewhere(self.leader().cloned());
        out.push(Effect::Answer { ticket, answer, until: None });
    }

    fn standing(&self, now: Time) -> Standing {
        Standing {
            leads: self.leads(now),
            configured: self.committed.config.is_some(),
            leader: self.leader().map(|node| node.peer),
            controllers: self.committed.nodes.values().map(|node| node.peer).collect(),
        }
    }

    fn agree(&mut self, now: Time, event: consensus::Event) {
        self.consensus.handle(now, event, &mut self.effects);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.consensus.next_deadline().is_some_and(|at| at <= now) {
            self.agree(now, consensus::Event::Timer);
        }
        if self.hello <= now {
            self.hello = now + HELLO;
            self.introduce(out);
        }
        if self.lead.is_some() {
            self.keeper.hear(now, &self.config.me);
            let status = self.consensus.status();
            for event in self.keeper.tick(now, &status, &self.committed.nodes) {
                if !matches!(event, consensus::Event::Standbys { .. }) {
                    let change = format!("{event:?}");
                    out.push(Effect::Note(Note::Members { change }));
                }
                self.agree(now, event);
            }
        }
    }

    /// Introduces this controller to all others that it knows of.
    fn introduce(&self, out: &mut Vec<Effect>) {
        let mut peers: Vec<_> = self.config.seeds.clone();
        peers.extend(self.addresses.values());
        peers.sort_unstable();
        peers.dedup();
        for to in peers.into_iter().filter(|peer| *peer != self.config.me.peer) {
            let message = LinkMessage::Hello(self.config.me.clone());
            out.push(Effect::Send { to, message });
        }
    }

    /// Carries out what the agreement asked for, until nothing is left to do.
    fn settle(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                self.carry_out(now, wall, effect, out);
            }
        }
    }

    fn carry_out(
        &mut self,
        now: Time,
        wall: WallTime,
        effect: consensus::Effect,
        out: &mut Vec<Effect>,
    ) {
        match effect {
            consensus::Effect::Send { to, message } => {
                if let Some(to) = self.addresses.get(&to).copied() {
                    let from = self.config.me.id;
                    let message = LinkMessage::Consensus { from, message };
                    out.push(Effect::Send { to, message });
                }
            }
            consensus::Effect::Store(write) => out.push(Effect::Store(write)),
            consensus::Effect::Apply(entries) => {
                for entry in entries {
                    self.apply(now, wall, &entry, out);
                }
            }
            consensus::Effect::Restore(snapshot) => self.restore(&snapshot, out),
            consensus::Effect::Rejected { .. } => self.step_down(out),
            consensus::Effect::RoleChanged { role, term, leader } => {
                out.push(Effect::Note(Note::Role { role, term, leader }));
                if role != Role::Leader {
                    self.step_down(out);
                }
            }
            consensus::Effect::Unhandled { role, trigger } => {
                let reason = format!("{trigger} in role {role}");
                out.push(Effect::Note(Note::Unhandled { reason }));
            }
            consensus::Effect::Accepted { .. }
            | consensus::Effect::ReadReady { .. }
            | consensus::Effect::ReadFailed { .. } => {}
        }
    }

    fn apply(&mut self, now: Time, wall: WallTime, entry: &Entry, out: &mut Vec<Effect>) {
        self.applied = entry.index;
        match &entry.payload {
            Payload::Command(bytes) => match postcard::from_bytes::<Batch>(bytes) {
                Ok(batch) => self.apply_batch(now, &batch, out),
                Err(error) => {
                    let (index, reason) = (entry.index, error.to_string());
                    out.push(Effect::Note(Note::Unreadable { index, reason }));
                }
            },
            Payload::Empty | Payload::Members(_) => {}
        }
        // The first entry of its own term tells a leader that it has applied all before it.
        let status = self.consensus.status();
        if self.lead.is_none() && status.role == Role::Leader && entry.term == status.term {
            let epoch = Epoch(status.term.0);
            let (state, timing) = (self.committed.clone(), self.config.timing);
            let mut lead = Lead::new(state, epoch, timing, now, wall, out);
            lead.introduce(&self.config.me);
            self.lead = Some(lead);
        }
    }

    fn apply_batch(&mut self, now: Time, batch: &Batch, out: &mut Vec<Effect>) {
        let version = self.committed.config.as_ref().map(|config| config.version);
        let mut changes = Vec::new();
        for record in &batch.records {
            self.committed.apply(record, &mut changes);
        }
        if let Some(config) = &self.committed.config
            && version != Some(config.version)
        {
            let (version, queues) = (config.version, config.queues.len());
            out.push(Effect::Note(Note::Configured { version, queues }));
        }
        for node in self.committed.nodes.values() {
            self.addresses.entry(node.id).or_insert(node.peer);
        }
        if batch.origin != self.config.me.id {
            return;
        }
        while self.waiting.front().is_some_and(|waiting| waiting.number <= batch.number) {
            let waiting = self.waiting.pop_front().into_iter().flat_map(|w| w.answers);
            for (ticket, answer) in waiting {
                self.answer(now, ticket, answer, out);
            }
        }
    }

    /// Sends an answer, with the time after which it must not leave any more if it gives a lease.
    fn answer(&self, now: Time, ticket: Ticket, answer: Answer, out: &mut Vec<Effect>) {
        let until = match &answer {
            Answer::Orders(_) => Some(self.consensus.lease_until().unwrap_or(now)),
            Answer::Reply(_)
            | Answer::Order(_)
            | Answer::Noted
            | Answer::Elsewhere(_)
            | Answer::Standing(_) => None,
        };
        out.push(Effect::Answer { ticket, answer, until });
    }

    fn restore(&mut self, snapshot: &Snapshot, out: &mut Vec<Effect>) {
        match State::decode(&snapshot.state) {
            Ok(state) => {
                self.addresses.extend(state.nodes.values().map(|node| (node.id, node.peer)));
                self.committed = state;
                self.applied = snapshot.index;
                self.compacted = snapshot.index;
            }
            Err(error) => {
                let (index, reason) = (snapshot.index, error.to_string());
                out.push(Effect::Note(Note::Unreadable { index, reason }));
            }
        }
    }

    /// Gives up leading: what waits may or may not be committed by another leader.
    fn step_down(&mut self, out: &mut Vec<Effect>) {
        let lead = self.lead.take();
        let held = lead.into_iter().flat_map(Lead::into_tickets);
        let held = held.map(|ticket| (ticket, Answer::Elsewhere(None)));
        let waiting = self.waiting.drain(..).flat_map(|waiting| waiting.answers);
        let waiting = waiting.map(|(ticket, answer)| match answer {
            Answer::Reply(_) => (ticket, Answer::Reply(Reply::Unknown)),
            Answer::Order(_) => (ticket, Answer::Order(OrderReply::Unknown)),
            Answer::Orders(_) | Answer::Noted | Answer::Elsewhere(_) | Answer::Standing(_) => {
                (ticket, Answer::Elsewhere(None))
            }
        });
        let all: Vec<_> = held.chain(waiting).collect();
        out.extend(all.into_iter().map(|(ticket, answer)| Effect::Answer {
            ticket,
            answer,
            until: None,
        }));
    }

    /// Lets the leader place what waits, and proposes the records of this turn as one entry.
    fn finish_turn(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        if !self.leads(now) {
            return;
        }
        let Some(lead) = &mut self.lead else { return };
        let turn = lead.finish_turn(now, wall, out);
        if !turn.records.is_empty() {
            self.proposals += 1;
            let number = self.proposals;
            let batch = Batch { origin: self.config.me.id, number, records: turn.records };
            self.waiting.push_back(Waiting { number, answers: turn.answers });
            let command = Bytes::from(crate::codec::extend(Vec::new(), &batch));
            let ticket = crate::ids::Ticket(number);
            self.agree(now, consensus::Event::Propose { ticket, command });
        } else if let Some(last) = self.waiting.back_mut() {
            last.answers.extend(turn.answers);
        } else {
            for (ticket, answer) in turn.answers {
                self.answer(now, ticket, answer, out);
            }
        }
    }

    fn compact(&mut self, now: Time) {
        if self.applied.0 < self.compacted.0 + self.config.compact {
            return;
        }
        self.compacted = self.applied;
        let state = Bytes::from(self.committed.encode());
        self.agree(now, consensus::Event::Compacted { index: self.applied, state });
    }
}
