//! Simulated instances with a simulated network, simulated disks and one target.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

use hickorylink_lib::{
    consensus::{
        log::{Recovered, Write},
        port::Config as ConsensusConfig,
    },
    directory::{
        Config as DirectoryConfig,
        port::{Event as DirectoryEvent, InstanceInfo, PeerMessage},
    },
    ids::{Attempt, Epoch, Incarnation, InstanceId, RequestId, TaskAttempt, TaskId},
    instance::{
        Config, Instance,
        port::{Answer, DispatchCommand, Effect, Event, LogEvent, VoterCounts},
    },
    ledger::Limits,
    replicated_log::{Config as ReplicatedLogConfig, port::Event as ReplicatedLogEvent},
    resources::Resources,
    router::{
        Config as RouterConfig,
        port::{AttemptEnd, AttemptId, Event as RouterEvent, RequestOutcome, Response},
    },
    scheduler::config::Config as SchedulerConfig,
    time::{Time, WallTime},
    worker::{Announcement, TargetReport},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod members;

const TARGET: &str = "10.0.0.1:9000";

/// The probabilities of faults.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    /// That a message between instances is lost.
    pub message_lost: f64,
    /// That a message between instances arrives twice.
    pub duplicated: f64,
    /// That the target runs a request but its answer is lost.
    pub answer_lost: f64,
}

/// A scheduled event.
enum SimEvent {
    Message { to: usize, message: PeerMessage },
    Stored { at: usize, generation: u32, write: Box<Write> },
    Served { at: usize, generation: u32, attempt: AttemptId, body: String },
    Ended { at: usize, generation: u32, attempt: AttemptId, end: AttemptEnd },
    Announce,
}

struct Node {
    config: Config,
    instance: Option<Instance>,
    /// Incremented at each kill, so that writes and attempts of an earlier process are ignored.
    generation: u32,
    disk: Recovered,
    /// The newest revision of the plans that this process has applied.
    revision: u64,
}

/// The instances and their environment.
pub(crate) struct Cluster {
    now: Time,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    /// Orders events that are due at the same time.
    next_number: u64,
    pub faults: Faults,
    /// The instance that is partitioned from all others, if any.
    pub(crate) partitioned: Option<usize>,
    /// The only instance to which the worker announces itself; `None` for a random one each time.
    pub(crate) announce_to: Option<usize>,
    /// Whether the worker's target has stopped.
    pub(crate) stopped: bool,
    /// Whether the worker announces that it is leaving.
    pub(crate) leaving: bool,
    /// Before this time no disk syncs a write.
    stalled_until: Time,
    /// The instances that shut down and have no requests in flight any more.
    pub(crate) drained: BTreeSet<usize>,
    /// The numbers of voters that each instance reported last.
    pub(crate) voter_counts: BTreeMap<usize, VoterCounts>,
    /// The instances that founded a consensus group.
    pub(crate) founders: Vec<usize>,
    /// The instances that shut down and aren't needed as voters any more.
    pub(crate) handed_over: BTreeSet<usize>,
    /// How often the target has run each request body.
    pub served: BTreeMap<String, u32>,
    /// The outcomes of requests.
    pub outcomes: BTreeMap<RequestId, RequestOutcome>,
    /// The answers to commands, by ticket.
    pub answers: BTreeMap<u64, Answer>,
    /// Violations: instances that reverted to an older list.
    pub reverted: Vec<String>,
    /// The holder of each epoch.
    pub holders: BTreeMap<Epoch, InstanceId>,
    /// Violations: epochs with two holders.
    pub duplicate_holders: Vec<String>,
}

pub(crate) fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7100 + at as u16))
}

fn config(at: usize, count: usize) -> Config {
    let instance = InstanceId(at as u64 + 1);
    let me = InstanceInfo {
        instance,
        name: format!("akl-a-{at}").as_str().into(),
        centre: "akl-a".into(),
        peer: address(at),
        front: address(at + 100),
        disk: true,
        draining: false,
    };
    let ms = Duration::from_millis;
    let consensus = ConsensusConfig {
        me: instance,
        heartbeat_interval: ms(100),
        election_timeout: ms(500),
        max_batch_bytes: 1 << 20,
        max_inflight: 16,
        chunk_bytes: 4096,
        max_pending: 4096,
        catch_up_margin: 100,
        replace_after: Duration::from_secs(30),
    };
    Config {
        replicated_log: ReplicatedLogConfig {
            me: me.clone(),
            bootstrap: at == 0,
            voters: count,
            start: WallTime(1_000_000),
            resend_after: ms(300),
            claim_timeout: ms(1000),
            confirm_interval: ms(500),
            takeover_after: ms(200),
            snapshot_entries: 8,
            max_pending: 1000,
            consensus,
            ledger: Limits::default(),
            seed: at as u64,
        },
        directory: DirectoryConfig {
            me,
            seeds: (0..count).map(address).collect(),
            heartbeat_interval: ms(250),
            dead_after: ms(1000),
            confirm_timeout: ms(1800),
            expire_after: ms(1800),
            announce_interval: ms(1000),
        },
        router: RouterConfig::new(instance, "akl-a".into()),
        scheduler: SchedulerConfig::new("akl-a".into()),
        seed: at as u64,
    }
}

impl Cluster {
    pub(crate) fn new(seed: u64, count: usize) -> Self {
        let node = |at| Node {
            config: config(at, count),
            instance: None,
            generation: 0,
            disk: Recovered::default(),
            revision: 0,
        };
        let mut cluster = Self {
            now: Time::from_millis(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..count).map(node).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_number: 0,
            faults: Faults::default(),
            partitioned: None,
            leaving: false,
            stopped: false,
            announce_to: None,
            stalled_until: Time::default(),
            drained: BTreeSet::new(),
            voter_counts: BTreeMap::new(),
            founders: Vec::new(),
            handed_over: BTreeSet::new(),
            served: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            answers: BTreeMap::new(),
            reverted: Vec::new(),
            holders: BTreeMap::new(),
            duplicate_holders: Vec::new(),
        };
        for at in 0..count {
            cluster.restart(at);
        }
        cluster.schedule(Duration::from_millis(100), SimEvent::Announce);
        cluster
    }

    pub(crate) fn now(&self) -> Time {
        self.now
    }

    pub(crate) fn random_below(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }

    /// Kills an instance; unsynced writes are lost.
    pub(crate) fn kill(&mut self, at: usize) {
        self.nodes[at].instance = None;
        self.nodes[at].generation += 1;
    }

    /// Starts an instance from its disk.
    pub(crate) fn restart(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let mut effects = Vec::new();
        let recovered = node.disk.clone();
        node.config.replicated_log.seed = self.rng.random();
        let started = Instance::new(node.config.clone(), recovered, self.now, &mut effects);
        node.instance = Some(started.expect("the snapshot can be decoded"));
        node.revision = 0;
        self.run_effects(at, effects);
    }

    /// Tells an instance to shut down once its requests have ended.
    pub(crate) fn drain(&mut self, at: usize) {
        self.send_event(at, Event::Directory(DirectoryEvent::Draining));
        self.send_event(at, Event::ReplicatedLog(ReplicatedLogEvent::Draining));
        self.send_event(at, Event::Router(RouterEvent::Drain));
    }

    /// Stalls all disks: for `span` none of them syncs a write.
    pub(crate) fn stall_disks(&mut self, span: Duration) {
        self.stalled_until = self.now + span;
    }

    pub(crate) fn send_event(&mut self, at: usize, event: Event) {
        let mut effects = Vec::new();
        if let Some(instance) = &mut self.nodes[at].instance {
            instance.handle(self.now, event, &mut effects);
        }
        self.run_effects(at, effects);
    }

    /// Runs all timers and events within `span`.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let timer =
                self.nodes.iter().filter_map(|n| n.instance.as_ref()?.next_deadline()).min();
            let event = self.queue.peek().map(|Reverse((at, _))| *at);
            let next = [timer, event].into_iter().flatten().min().unwrap_or(end);
            if next > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            match self.queue.peek() {
                Some(Reverse((at, number))) if *at <= self.now => {
                    let number = *number;
                    self.queue.pop();
                    let event = self.events.remove(&number);
                    self.run_event(event.expect("a queued event is kept"));
                }
                Some(_) | None => self.tick(),
            }
        }
    }

    fn tick(&mut self) {
        for at in 0..self.nodes.len() {
            let mut effects = Vec::new();
            if let Some(instance) = &mut self.nodes[at].instance {
                instance.tick(self.now, &mut effects);
            }
            self.run_effects(at, effects);
        }
    }

    fn schedule(&mut self, span: Duration, event: SimEvent) {
        self.next_number += 1;
        self.queue.push(Reverse((self.now + span, self.next_number)));
        self.events.insert(self.next_number, event);
    }

    fn run_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Message { to, message } => self.send_event(to, received(message)),
            SimEvent::Stored { at, generation, write } => {
                if self.nodes[at].generation == generation {
                    let sequence = write.sequence;
                    apply(&mut self.nodes[at].disk, *write);
                    self.send_event(
                        at,
                        Event::ReplicatedLog(ReplicatedLogEvent::Stored { sequence }),
                    );
                }
            }
            SimEvent::Served { at, generation, attempt, body } => {
                self.run_request(at, generation, attempt, &body)
            }
            SimEvent::Ended { at, generation, attempt, end } => {
                if self.nodes[at].generation == generation {
                    self.send_event(at, Event::Router(RouterEvent::AttemptEnded { attempt, end }));
                }
            }
            SimEvent::Announce => {
                let any = self.random_below(self.nodes.len());
                let mut at = self.announce_to.unwrap_or(any);
                if self.leaving && self.partitioned == Some(at) {
                    // The worker doesn't reach the partitioned instance.
                    at = (at + 1) % self.nodes.len();
                }
                let announcement = Box::new(announcement(self.leaving, self.stopped));
                let event = DirectoryEvent::Announced { ticket: 0, announcement };
                // Both sides of a partition have workers; for simplicity they share one target.
                if let Some(partitioned) =
                    self.partitioned.filter(|partitioned| *partitioned != at && !self.leaving)
                {
                    self.send_event(partitioned, Event::Directory(event.clone()));
                }
                self.send_event(at, Event::Directory(event));
                self.schedule(Duration::from_millis(300), SimEvent::Announce);
            }
        }
    }

    /// Runs a request at the target, even if the instance that sent it has died meanwhile.
    fn run_request(&mut self, at: usize, generation: u32, attempt: AttemptId, body: &str) {
        *self.served.entry(body.to_owned()).or_default() += 1;
        let end = if self.rng.random_bool(self.faults.answer_lost) {
            AttemptEnd::Lost { reason: "silence".to_owned() }
        } else {
            let body = format!("plan for {body}").into_bytes().into();
            AttemptEnd::Answered(Response { status: 200, body })
        };
        let delay = self.delay();
        self.schedule(delay, SimEvent::Ended { at, generation, attempt, end });
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..8000))
    }

    fn run_effects(&mut self, at: usize, effects: Vec<Effect>) {
        let generation = self.nodes[at].generation;
        for effect in effects {
            let delay = self.delay();
            match effect {
                Effect::Store(write) => {
                    // Writes are synced in order.
                    let write = Box::new(write);
                    let synced = (self.now + Duration::from_millis(1)).max(self.stalled_until);
                    self.schedule(
                        self.now.until(synced),
                        SimEvent::Stored { at, generation, write },
                    );
                }
                Effect::Send { to, message } => self.send(at, to, &message),
                Effect::Dispatch(DispatchCommand::Request { attempt, body, .. }) => {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    self.schedule(delay, SimEvent::Served { at, generation, attempt, body });
                }
                Effect::RequestAnswer { request, outcome } => {
                    let earlier = self.outcomes.insert(request, outcome);
                    assert_eq!(earlier, None, "a request gets one outcome");
                }
                Effect::Answer { ticket, answer } => {
                    self.answers.insert(ticket, *answer);
                }
                Effect::Policy(policy) => self.record_revision(at, policy.plans_revision.0),
                Effect::Log(LogEvent::Epoch { epoch, holder: Some(holder), .. }) => {
                    let known = *self.holders.entry(epoch).or_insert(holder);
                    if known != holder {
                        self.duplicate_holders.push(format!("epoch {epoch}: {known} and {holder}"));
                    }
                }
                Effect::Log(LogEvent::Bootstrapped) => self.founders.push(at),
                Effect::Log(LogEvent::Voters(counts)) => {
                    self.voter_counts.insert(at, counts);
                }
                Effect::Log(_)
                | Effect::Dispatch(
                    DispatchCommand::Abandon { .. }
                    | DispatchCommand::CloseIdle { .. }
                    | DispatchCommand::Command { .. },
                )
                | Effect::AnnounceAnswer { .. } => {}
                Effect::Drained => {
                    self.drained.insert(at);
                }
                Effect::HandedOver => {
                    self.handed_over.insert(at);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &PeerMessage) {
        let to = usize::from(to.port()) - 7100;
        if from != to && (self.partitioned == Some(from) || self.partitioned == Some(to)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicated));
        for _ in 0..copies {
            if !self.rng.random_bool(self.faults.message_lost) {
                let delay = self.delay();
                self.schedule(delay, SimEvent::Message { to, message: message.clone() });
            }
        }
    }

    fn record_revision(&mut self, at: usize, revision: u64) {
        let known = self.nodes[at].revision;
        if revision < known {
            self.reverted
                .push(format!("instance {at} reverted from revision {known} to {revision}"));
        }
        self.nodes[at].revision = revision;
    }

    /// The instance that was granted the newest epoch.
    pub(crate) fn holder(&self) -> usize {
        let newest = self.holders.last_key_value().map(|(_, holder)| holder.0);
        newest.map_or(0, |instance| instance as usize - 1)
    }

    /// The newest epoch that was granted.
    pub(crate) fn newest_epoch(&self) -> Epoch {
        self.holders.last_key_value().map(|(epoch, _)| *epoch).unwrap_or_default()
    }

    /// The revision of the plans in force at each running instance.
    pub(crate) fn revisions(&self) -> Vec<u64> {
        let running = self.nodes.iter().filter_map(|node| node.instance.as_ref());
        running.map(|instance| instance.replicated_log.ledger().policy().plans_revision.0).collect()
    }

    /// The number of completed requests in the ledger of each running instance.
    pub(crate) fn request_counts(&self) -> Vec<u64> {
        let running = self.nodes.iter().filter_map(|node| node.instance.as_ref());
        running.map(|i| i.replicated_log.ledger().counts().map(|(_, count)| count).sum()).collect()
    }

    /// The newest version of the plans at any running instance.
    pub(crate) fn newest_version(&self) -> u64 {
        let running = self.nodes.iter().filter_map(|node| node.instance.as_ref());
        let plans = hickorylink_lib::command::ListKind::Plans;
        let version =
            |i: &Instance| i.replicated_log.ledger().accepted_list(plans).map(|s| s.version);
        running.filter_map(version).max().unwrap_or_default()
    }
}

fn received(message: PeerMessage) -> Event {
    match message {
        PeerMessage::Heartbeat(heartbeat) => Event::Directory(DirectoryEvent::Heartbeat(heartbeat)),
        PeerMessage::Targets(message) => Event::Directory(DirectoryEvent::Targets(message)),
        PeerMessage::Consensus { from, message } => {
            Event::ReplicatedLog(ReplicatedLogEvent::Consensus { from, message })
        }
        PeerMessage::Forward { origin, ticket, command } => {
            Event::ReplicatedLog(ReplicatedLogEvent::Forwarded { origin, ticket, command })
        }
    }
}

fn apply(disk: &mut Recovered, write: Write) {
    if let Some(snapshot) = write.snapshot {
        disk.entries.retain(|entry| entry.index > snapshot.index);
        disk.snapshot = Some(snapshot);
    }
    if let Some(hard) = write.hard {
        disk.hard = hard;
    }
    if let Some(from) = write.truncate {
        disk.entries.retain(|entry| entry.index < from);
    }
    disk.entries.extend(write.entries);
}

fn announcement(leaving: bool, stopped: bool) -> Announcement {
    let target = TargetReport {
        service: "folddesk".into(),
        attempt: TaskAttempt { task: TaskId(1), attempt: Attempt(1) },
        address: TARGET.to_owned(),
        slots: 8,
        connections: 64,
    };
    Announcement {
        worker: "w1".into(),
        incarnation: Incarnation(1),
        clock: None,
        centre: "akl-a".into(),
        rack: "r1".into(),
        address: "10.0.0.1:8000".to_owned(),
        capacity: Resources { millicores: 16_000, memory_mib: 65_536, accelerators: 0 },
        leaving,
        epoch: Epoch(0),
        tasks: Vec::new(),
        targets: if stopped { Vec::new() } else { vec![target] },
        samples: Vec::new(),
    }
}
