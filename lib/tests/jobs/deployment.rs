//! Test harness: several controllers on simulated machines with disks, clocks and a network.
//!
//! Time passes in ticks. A process handles everything that has arrived at its machine in a tick in
//! one turn. The same seed gives the same run.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use hickorylink_lib::{
    consensus::log::{Recovered, Write},
    ids::InstanceId,
    jobs::{
        call::{OperatorRequest, Reply},
        controller::{Answer, Controller, Effect, Event, LogEvent, Ticket},
        link::LinkMessage,
        model::JobId,
        record::Node,
    },
    time::{Time, WallTime},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::world::{config, job_config, node, store};

mod checks;

/// How many machines may be lost at the same time.
pub(crate) const LOSSES: usize = 2;

/// The number of voters that a leader aims at.
pub(crate) const VOTERS: usize = 2 * LOSSES + 1;

/// The hosts of the founders, which are also the seeds in the first settings.
pub(crate) const FOUNDERS: [u8; 3] = [1, 2, 3];

const TICK: Duration = Duration::from_millis(10);

/// The longest delay of a message, and of a write to disk, in ticks.
const MAX_DELAY: u32 = 3;

/// How long a process that is told to stop waits for a handover of its vote, and keeps running then.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1500);
const DRAIN_TIME: Duration = Duration::from_millis(300);

/// How long a process is down that is restarted to make another one lead.
const RESTART_TIME: Duration = Duration::from_millis(1900);

/// The number of entries between two snapshots; small, so that new controllers get one.
const SNAPSHOT_EVERY: u64 = 20;

/// The data centres; the machines are spread over them.
const CENTRES: [&str; 3] = ["akl-a", "akl-b", "hlz-c"];

/// A machine, and the process of a controller while it runs.
struct Machine {
    me: Node,
    seeds: Vec<u8>,
    founders: Vec<(InstanceId, SocketAddr)>,
    disk: Recovered,
    process: Option<Process>,
}

struct Process {
    number: u64,
    controller: Controller,
    /// The writes that aren't synced yet.
    writes: VecDeque<Write>,
    inbox: Vec<Event>,
    /// Set when it is told to stop and may, to whether it still votes.
    may_stop: Option<bool>,
}

/// What arrives at a machine after a delay.
enum Arrival {
    Message(LinkMessage),
    /// The disk has synced the oldest write of this process.
    Synced(u64),
}

/// The machines of a deployment, by the last number of their addresses.
pub(crate) struct Deployment {
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) log: Vec<(u8, LogEvent)>,
    machines: BTreeMap<u8, Machine>,
    arrivals: BTreeMap<(Time, u64), (u8, Arrival)>,
    cut: BTreeSet<u8>,
    /// The jobs that callers submitted, by the ticket of their call.
    submitted: BTreeMap<u64, JobId>,
    accepted: BTreeSet<JobId>,
    /// The answers to operators' requests, by their tickets.
    pub(crate) operator_answers: BTreeMap<u64, Answer>,
    next: u64,
}

/// Converts a message to an event of the controller that receives it.
fn to_event(message: LinkMessage) -> Option<Event> {
    match message {
        LinkMessage::Hello(node) => Some(Event::Hello(node)),
        LinkMessage::Consensus { from, message } => Some(Event::Consensus { from, message }),
        LinkMessage::Forward { .. }
        | LinkMessage::Answer { .. }
        | LinkMessage::Redirect { .. }
        | LinkMessage::Probe
        | LinkMessage::Status(_) => None,
    }
}

fn peer(host: u8) -> SocketAddr {
    node(0, host).peer
}

fn centre(host: u8) -> &'static str {
    CENTRES[usize::from(host) % CENTRES.len()]
}

fn wall(now: Time) -> WallTime {
    WallTime(1_000_000 + now.as_nanos() / 1_000_000)
}

pub(crate) fn host_of(address: SocketAddr) -> u8 {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets()[3],
        IpAddr::V6(_) => panic!("{address} isn't an address of the deployment"),
    }
}

impl Deployment {
    /// Creates a deployment on the hosts 1 to `hosts`, which are started for the first time, and
    /// waits until all its controllers are members and it has a configuration.
    pub(crate) fn new(hosts: u8, seed: u64) -> Self {
        let mut deployment = Self {
            now: Time::from_millis(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            log: Vec::new(),
            machines: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            cut: BTreeSet::new(),
            submitted: BTreeMap::new(),
            accepted: BTreeSet::new(),
            operator_answers: BTreeMap::new(),
            next: 0,
        };
        let founders: Vec<_> =
            FOUNDERS.iter().map(|host| (InstanceId(u64::from(*host)), peer(*host))).collect();
        for host in 1..=hosts {
            deployment.install(host, &FOUNDERS, founders.clone());
        }
        deployment.wait("the members of a new deployment", |d| d.members_error().is_none());
        let leader = deployment.leader().expect("a new deployment has a leader");
        deployment.send(leader, |ticket| Event::Operator {
            ticket,
            request: OperatorRequest::Configure(Box::new(job_config(1))),
        });
        deployment.wait("the configuration", |d| d.state_error().is_none());
        deployment
    }

    /// Starts a new controller with an empty disk.
    pub(crate) fn start(&mut self, host: u8, seeds: &[u8]) {
        self.install(host, seeds, Vec::new());
    }

    fn install(&mut self, host: u8, seeds: &[u8], founders: Vec<(InstanceId, SocketAddr)>) {
        let founder = founders.iter().find(|(_, peer)| host_of(*peer) == host);
        let id = founder.map_or_else(|| self.rng.random(), |(id, _)| id.0);
        let me = Node { centre: centre(host).into(), ..node(id, host) };
        let (seeds, disk) = (seeds.to_vec(), Recovered::default());
        self.machines.insert(host, Machine { me, seeds, founders, disk, process: None });
        self.restart(host);
    }

    /// Starts the controller of a machine from its disk.
    pub(crate) fn restart(&mut self, host: u8) {
        let (number, seed) = (self.next_number(), self.rng.random());
        let machine = self.machines.get_mut(&host).expect("a machine at the host");
        assert!(machine.process.is_none(), "host {host} runs");
        let mut config = config(machine.me.clone(), machine.founders.clone());
        config.seeds = machine.seeds.iter().map(|seed| peer(*seed)).collect();
        (config.voters, config.snapshot_every, config.seed) = (VOTERS, SNAPSHOT_EVERY, seed);
        let controller = Controller::new(config, machine.disk.clone(), self.now)
            .expect("the snapshot can be decoded");
        let (writes, inbox) = (VecDeque::new(), vec![Event::Timer]);
        let may_stop = None;
        machine.process = Some(Process { number, controller, writes, inbox, may_stop });
    }

    /// Kills the process of a machine. Of the writes that aren't synced, some may be on the disk.
    pub(crate) fn kill(&mut self, host: u8) {
        let Some(machine) = self.machines.get_mut(&host) else { return };
        let Some(process) = machine.process.take() else { return };
        let kept = self.rng.random_range(0..=process.writes.len());
        process.writes.iter().take(kept).for_each(|write| store(&mut machine.disk, write));
    }

    /// Removes a machine for good.
    pub(crate) fn remove(&mut self, host: u8) {
        self.machines.remove(&host);
    }

    /// Tells a controller to stop. It waits for a handover of its vote.
    pub(crate) fn shut_down(&mut self, host: u8) {
        if let Some(process) = self.process_mut(host) {
            process.inbox.push(Event::ShutDown);
        }
    }

    /// Hands an event to a controller.
    pub(crate) fn receive(&mut self, host: u8, event: Event) {
        let process = self.process_mut(host).expect("a running controller");
        process.inbox.push(event);
    }

    /// Whether a controller that was told to stop still votes; `None` while it waits.
    pub(crate) fn votes_at_stop(&self, host: u8) -> Option<bool> {
        self.machines.get(&host)?.process.as_ref()?.may_stop
    }

    /// Tells a controller to stop, and removes its machine for good when it has.
    pub(crate) fn leave(&mut self, host: u8) {
        self.shut_down(host);
        let end = self.now + HANDOVER_TIMEOUT;
        while self.now < end
            && self.process_mut(host).is_some_and(|process| process.may_stop.is_none())
        {
            self.advance(TICK);
        }
        self.advance(DRAIN_TIME);
        self.remove(host);
    }

    /// Replaces the disk of a machine that is down by an empty one.
    pub(crate) fn lose_disk(&mut self, host: u8, seeds: &[u8]) {
        let id = InstanceId(self.rng.random());
        let machine = self.machines.get_mut(&host).expect("a machine at the host");
        assert!(machine.process.is_none(), "host {host} runs");
        (machine.me.id, machine.disk, machine.founders) = (id, Recovered::default(), Vec::new());
        machine.seeds = seeds.to_vec();
    }

    /// Cuts a machine off from all others.
    pub(crate) fn cut(&mut self, host: u8) {
        self.cut.insert(host);
    }

    /// Connects a machine that was cut off.
    pub(crate) fn heal(&mut self, host: u8) {
        self.cut.remove(&host);
    }

    /// The hosts of all machines.
    pub(crate) fn hosts(&self) -> Vec<u8> {
        self.machines.keys().copied().collect()
    }

    /// The hosts with a running controller.
    pub(crate) fn running(&self) -> Vec<u8> {
        self.controllers().map(|(host, _)| host).collect()
    }

    /// The seeds in the settings of a machine.
    pub(crate) fn seeds(&self, host: u8) -> &[u8] {
        &self.machines[&host].seeds
    }

    /// The controller that runs on a machine.
    pub(crate) fn controller(&self, host: u8) -> &Controller {
        let process = self.machines.get(&host).and_then(|machine| machine.process.as_ref());
        &process.expect("a running controller").controller
    }

    fn process_mut(&mut self, host: u8) -> Option<&mut Process> {
        self.machines.get_mut(&host).and_then(|machine| machine.process.as_mut())
    }

    fn controllers(&self) -> impl Iterator<Item = (u8, &Controller)> {
        self.machines.iter().filter_map(|(host, machine)| {
            machine.process.as_ref().map(|process| (*host, &process.controller))
        })
    }

    /// The host of the leader of the newest term, if there is one.
    pub(crate) fn leader(&self) -> Option<u8> {
        let leaders = self.controllers().filter(|(_, c)| c.leader().is_some());
        leaders.max_by_key(|(_, c)| c.status().term).map(|(host, _)| host)
    }

    /// The hosts of the running controllers that vote, as the leader knows.
    pub(crate) fn live_voters(&self) -> Vec<u8> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let voters = self.controller(leader).status().members.voters;
        let votes = |host: &u8| voters.contains(&self.machines[host].me.id);
        self.running().into_iter().filter(votes).collect()
    }

    /// Advances the clock.
    pub(crate) fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.tick();
        }
    }

    /// Advances the clock until a condition holds.
    pub(crate) fn wait(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        for _ in 0..200 {
            if condition(self) {
                return;
            }
            self.advance(10 * TICK);
        }
        panic!("20 s without {what}");
    }

    /// Restarts leaders until one of these hosts leads.
    pub(crate) fn wait_for_leader(&mut self, hosts: &[u8]) {
        for _ in 0..100 {
            self.wait("a leader", |d| d.leader().is_some());
            let leader = self.leader().expect("a leader");
            if hosts.contains(&leader) {
                return;
            }
            self.kill(leader);
            self.advance(RESTART_TIME);
            self.restart(leader);
        }
        panic!("none of {hosts:?} leads");
    }

    fn tick(&mut self) {
        while let Some(entry) = self.arrivals.first_entry()
            && entry.key().0 <= self.now
        {
            let (host, arrival) = entry.remove();
            self.arrive(host, arrival);
        }
        self.hosts().into_iter().for_each(|host| self.run_turn(host));
    }

    fn arrive(&mut self, host: u8, arrival: Arrival) {
        let Some(machine) = self.machines.get_mut(&host) else { return };
        let Some(process) = &mut machine.process else { return };
        match arrival {
            Arrival::Message(message) => process.inbox.extend(to_event(message)),
            Arrival::Synced(number) if number == process.number => {
                let Some(write) = process.writes.pop_front() else { return };
                store(&mut machine.disk, &write);
                process.inbox.push(Event::Stored { sequence: write.sequence });
            }
            Arrival::Synced(_) => {}
        }
    }

    fn run_turn(&mut self, host: u8) {
        let now = self.now;
        let machine = self.machines.get_mut(&host);
        let Some(process) = machine.and_then(|machine| machine.process.as_mut()) else { return };
        if process.inbox.is_empty() && process.controller.next_deadline().is_none_or(|at| now < at)
        {
            return;
        }
        let (mut out, events) = (Vec::new(), std::mem::take(&mut process.inbox));
        process.controller.handle(now, wall(now), events, &mut out);
        for effect in out {
            self.run_effect(host, effect);
        }
    }

    fn run_effect(&mut self, host: u8, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let to = host_of(to);
                if !self.cut.contains(&host) && !self.cut.contains(&to) {
                    self.schedule(to, Arrival::Message(message));
                }
            }
            Effect::MayStop { votes } => {
                if let Some(process) = self.process_mut(host) {
                    process.may_stop = Some(votes);
                }
            }
            Effect::Store(write) => {
                let Some(process) = self.process_mut(host) else { return };
                process.writes.push_back(write);
                let synced = Arrival::Synced(process.number);
                self.schedule(host, synced);
            }
            Effect::Answer { ticket: Ticket::Front(ticket), answer, .. } => {
                if matches!(answer, Answer::Operator(_)) {
                    self.operator_answers.insert(ticket, answer.clone());
                }
                let job = self.submitted.remove(&ticket);
                if let (Some(job), Answer::Reply(Reply::Accepted)) = (job, answer) {
                    self.accepted.insert(job);
                }
            }
            Effect::Answer { .. } => {}
            Effect::LogEvent(event) => self.log.push((host, event)),
        }
    }

    fn schedule(&mut self, host: u8, arrival: Arrival) {
        let at = self.now + TICK * self.rng.random_range(1..=MAX_DELAY);
        let number = self.next_number();
        self.arrivals.insert((at, number), (host, arrival));
    }

    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub(crate) fn send(&mut self, host: u8, event: impl FnOnce(Ticket) -> Event) -> u64 {
        let ticket = self.next_number();
        if let Some(process) = self.process_mut(host) {
            process.inbox.push(event(Ticket::Front(ticket)));
        }
        ticket
    }
}
