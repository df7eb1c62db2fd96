//! Instances joined by a fake network, with fake disks and a fake target.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
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
        port::{Answer, DispatchCommand, Effect, Event, LogEvent},
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

const TARGET: &str = "10.0.0.1:9000";

/// What goes wrong, as probabilities.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    /// A message between instances is lost.
    pub lost: f64,
    /// A message between instances arrives twice.
    pub doubled: f64,
    /// The target runs a request and its answer is lost.
    pub silent: f64,
}

/// Something that is to happen.
enum What {
    Message { to: usize, message: PeerMessage },
    Stored { at: usize, boot: u32, write: Box<Write> },
    Served { at: usize, boot: u32, attempt: AttemptId, body: String },
    Ended { at: usize, boot: u32, attempt: AttemptId, end: AttemptEnd },
    Announce,
}

struct Node {
    config: Config,
    instance: Option<Instance>,
    boot: u32,
    disk: Recovered,
    /// The newest revision that this process applied.
    revision: u64,
}

/// Instances and what joins them.
pub(crate) struct Net {
    now: Time,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, What>,
    numbered: u64,
    pub faults: Faults,
    /// An instance that no message reaches and that reaches no other.
    pub(crate) cut: Option<usize>,
    /// The one instance that the worker announces itself to, if not any.
    pub(crate) only: Option<usize>,
    /// The worker runs no target any more.
    pub(crate) stopped: bool,
    /// The worker says that it is leaving.
    pub(crate) leaving: bool,
    /// How often the target ran each body.
    pub served: BTreeMap<String, u32>,
    /// What callers were told.
    pub outcomes: BTreeMap<RequestId, RequestOutcome>,
    /// What operators were told.
    pub answers: BTreeMap<u64, Answer>,
    /// Instances that went back to an older list.
    pub reverted: Vec<String>,
    /// Who was seen to hold each epoch.
    pub holders: BTreeMap<Epoch, InstanceId>,
    /// Epochs with two holders.
    pub twice_held: Vec<String>,
}

fn address(at: usize) -> SocketAddr {
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

impl Net {
    pub(crate) fn new(seed: u64, count: usize) -> Self {
        let node = |at| Node {
            config: config(at, count),
            instance: None,
            boot: 0,
            disk: Recovered::default(),
            revision: 0,
        };
        let mut net = Self {
            now: Time::from_millis(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..count).map(node).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            numbered: 0,
            faults: Faults::default(),
            cut: None,
            leaving: false,
            stopped: false,
            only: None,
            served: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            answers: BTreeMap::new(),
            reverted: Vec::new(),
            holders: BTreeMap::new(),
            twice_held: Vec::new(),
        };
        for at in 0..count {
            net.restart(at);
        }
        net.after(Duration::from_millis(100), What::Announce);
        net
    }

    pub(crate) fn now(&self) -> Time {
        self.now
    }

    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }

    /// Ends an instance; what wasn't synced is lost.
    pub(crate) fn kill(&mut self, at: usize) {
        self.nodes[at].instance = None;
        self.nodes[at].boot += 1;
    }

    /// Starts an instance from its disk.
    pub(crate) fn restart(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let mut effects = Vec::new();
        let recovered = node.disk.clone();
        node.config.replicated_log.seed = self.rng.random();
        let started = Instance::new(node.config.clone(), recovered, self.now, &mut effects);
        node.instance = Some(started.expect("the snapshot is whole"));
        node.revision = 0;
        self.carry_out(at, effects);
    }

    pub(crate) fn give(&mut self, at: usize, event: Event) {
        let mut effects = Vec::new();
        if let Some(instance) = &mut self.nodes[at].instance {
            instance.handle(self.now, event, &mut effects);
        }
        self.carry_out(at, effects);
    }

    /// Lets time pass.
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
                    let what = self.events.remove(&number);
                    self.happen(what.expect("a queued event is kept"));
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
            self.carry_out(at, effects);
        }
    }

    fn after(&mut self, span: Duration, what: What) {
        self.numbered += 1;
        self.queue.push(Reverse((self.now + span, self.numbered)));
        self.events.insert(self.numbered, what);
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Message { to, message } => self.give(to, received(message)),
            What::Stored { at, boot, write } => {
                if self.nodes[at].boot == boot {
                    let sequence = write.sequence;
                    apply(&mut self.nodes[at].disk, *write);
                    self.give(at, Event::ReplicatedLog(ReplicatedLogEvent::Stored { sequence }));
                }
            }
            What::Served { at, boot, attempt, body } => self.serve(at, boot, attempt, &body),
            What::Ended { at, boot, attempt, end } => {
                if self.nodes[at].boot == boot {
                    self.give(at, Event::Router(RouterEvent::AttemptEnded { attempt, end }));
                }
            }
            What::Announce => {
                let any = self.below(self.nodes.len());
                let mut at = self.only.unwrap_or(any);
                if self.leaving && self.cut == Some(at) {
                    // The worker doesn't reach the instance that is cut off.
                    at = (at + 1) % self.nodes.len();
                }
                let announcement = Box::new(announcement(self.leaving, self.stopped));
                let event = DirectoryEvent::Announced { ticket: 0, announcement };
                // Both sides of a cut have workers; one target stands in for them.
                if let Some(cut) = self.cut.filter(|cut| *cut != at && !self.leaving) {
                    self.give(cut, Event::Directory(event.clone()));
                }
                self.give(at, Event::Directory(event));
                self.after(Duration::from_millis(300), What::Announce);
            }
        }
    }

    /// The target runs a request, also when the instance that sent it has died meanwhile.
    fn serve(&mut self, at: usize, boot: u32, attempt: AttemptId, body: &str) {
        *self.served.entry(body.to_owned()).or_default() += 1;
        let end = if self.rng.random_bool(self.faults.silent) {
            AttemptEnd::Lost { reason: "silence".to_owned() }
        } else {
            let body = format!("plan for {body}").into_bytes().into();
            AttemptEnd::Answered(Response { status: 200, body })
        };
        let delay = self.delay();
        self.after(delay, What::Ended { at, boot, attempt, end });
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..8000))
    }

    fn carry_out(&mut self, at: usize, effects: Vec<Effect>) {
        let boot = self.nodes[at].boot;
        for effect in effects {
            let delay = self.delay();
            match effect {
                Effect::Store(write) => {
                    // Writes are synced in order.
                    let write = Box::new(write);
                    self.after(Duration::from_millis(1), What::Stored { at, boot, write });
                }
                Effect::Send { to, message } => self.send(at, to, &message),
                Effect::Dispatch(DispatchCommand::Request { attempt, body, .. }) => {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    self.after(delay, What::Served { at, boot, attempt, body });
                }
                Effect::RequestAnswer { request, outcome } => {
                    let earlier = self.outcomes.insert(request, outcome);
                    assert_eq!(earlier, None, "a request gets one answer");
                }
                Effect::Answer { ticket, answer } => {
                    self.answers.insert(ticket, *answer);
                }
                Effect::Policy(policy) => self.see_revision(at, policy.plans_revision.0),
                Effect::Log(LogEvent::Epoch { epoch, holder: Some(holder), .. }) => {
                    let known = *self.holders.entry(epoch).or_insert(holder);
                    if known != holder {
                        self.twice_held.push(format!("epoch {epoch}: {known} and {holder}"));
                    }
                }
                Effect::Log(_)
                | Effect::Dispatch(
                    DispatchCommand::Abandon { .. }
                    | DispatchCommand::CloseIdle { .. }
                    | DispatchCommand::Command { .. },
                )
                | Effect::AnnounceAnswer { .. }
                | Effect::Drained => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &PeerMessage) {
        let to = usize::from(to.port()) - 7100;
        if from != to && (self.cut == Some(from) || self.cut == Some(to)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.doubled));
        for _ in 0..copies {
            if !self.rng.random_bool(self.faults.lost) {
                let delay = self.delay();
                self.after(delay, What::Message { to, message: message.clone() });
            }
        }
    }

    fn see_revision(&mut self, at: usize, revision: u64) {
        let known = self.nodes[at].revision;
        if revision < known {
            self.reverted.push(format!("instance {at} went from {known} to {revision}"));
        }
        self.nodes[at].revision = revision;
    }

    /// The instance that was given the newest epoch.
    pub(crate) fn holder(&self) -> usize {
        let newest = self.holders.last_key_value().map(|(_, holder)| holder.0);
        newest.map_or(0, |instance| instance as usize - 1)
    }

    /// The newest epoch that was granted.
    pub(crate) fn newest_epoch(&self) -> Epoch {
        self.holders.last_key_value().map(|(epoch, _)| *epoch).unwrap_or_default()
    }

    /// The revision of the plans in force at each instance that runs.
    pub(crate) fn revisions(&self) -> Vec<u64> {
        let running = self.nodes.iter().filter_map(|node| node.instance.as_ref());
        running.map(|instance| instance.replicated_log.ledger().policy().plans_revision.0).collect()
    }

    /// The customer's count of completed requests at each instance that runs.
    pub(crate) fn counted(&self) -> Vec<u64> {
        let running = self.nodes.iter().filter_map(|node| node.instance.as_ref());
        running.map(|i| i.replicated_log.ledger().counts().map(|(_, count)| count).sum()).collect()
    }

    /// The newest version of the plans that any instance knows.
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
        PeerMessage::Targets(news) => Event::Directory(DirectoryEvent::Targets(news)),
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
