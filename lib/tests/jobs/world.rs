//! Test harness: a single controller that commits its own proposals, and simulated workers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use hickorylink_lib::{
    consensus::{
        log::{Payload, Recovered, Write},
        port as consensus,
    },
    ids::{DataCentre, Incarnation, InstanceId},
    jobs::{
        call::{Action, Call, OperatorReply, OperatorRequest, Reply},
        config::{Config as JobConfig, Queue, Service},
        controller::{Answer, Config, Controller, Effect, Event, Ticket, Timing},
        estimates::{EstimateRecord, Estimates},
        lifecycle::JobPhase,
        locality::Locality,
        model::{JobId, JobSpec, Run, Step, StepOptions, TaskKey},
        record::{Batch, Ending, Node},
        report::{Ended, Report, Running},
        response::HeartbeatResponse,
        response_size::{ResponseLimits, ResponseSizes},
        state::State,
    },
    resources::Resources,
    time::{Time, WallTime},
};

pub(crate) const HOST: &str = "fold.example";
pub(crate) const LEASE: Duration = Duration::from_secs(5);
pub(crate) const STOP: Duration = Duration::from_millis(200);
pub(crate) const MARGIN: Duration = Duration::from_millis(300);

/// The limits on responses: more than any test reaches that doesn't change them.
pub(crate) const RESPONSES: ResponseLimits = ResponseLimits {
    max_bytes: 4 << 20,
    bytes_per_second: 1 << 30,
    sizes: ResponseSizes { envelope: 100, start: 50, stop: 50, pace: 50, text: [1; 256] },
};

/// A single controller with a simulated clock.
pub(crate) struct World {
    pub(crate) controller: Controller,
    pub(crate) now: Time,
    /// The wall-clock time when `now` is zero.
    wall_start: WallTime,
    pub(crate) answers: BTreeMap<u64, Answer>,
    pub(crate) sent: Vec<Effect>,
    /// What storage would recover.
    stored: Recovered,
    lease: (Duration, Duration),
    responses: ResponseLimits,
    /// The data centres in the settings, from the next restart on.
    pub(crate) centres: Vec<DataCentre>,
    locality: Locality,
    next: u64,
}

pub(crate) fn address(text: &str) -> SocketAddr {
    text.parse().expect("a valid address")
}

pub(crate) fn node(id: u64, host: u8) -> Node {
    Node {
        id: InstanceId(id),
        peer: address(&format!("10.0.0.{host}:7000")),
        listen: address(&format!("10.0.0.{host}:8000")),
        centre: "akl-a".into(),
    }
}

pub(crate) fn config(me: Node, founders: Vec<(InstanceId, SocketAddr)>) -> Config {
    Config {
        consensus: consensus::Config {
            me: me.id,
            heartbeat_interval: Duration::from_millis(200),
            election_timeout: Duration::from_millis(900),
            max_batch_bytes: 1 << 20,
            max_inflight: 64,
            chunk_bytes: 1 << 18,
            max_pending: 1000,
            catch_up_margin: 100,
            replace_after: Duration::from_millis(2500),
        },
        me,
        seeds: Vec::new(),
        founders,
        voters: 1,
        snapshot_every: 1000,
        timing: Timing {
            lease: LEASE,
            lease_margin: MARGIN,
            max_hold: Duration::from_millis(700),
            retain: Duration::from_secs(120),
            stop: STOP,
        },
        centres: Vec::new(),
        responses: RESPONSES,
        locality: Locality::OFF,
        seed: 1,
    }
}

/// The only controller of a deployment.
fn controller(
    (lease, margin): (Duration, Duration),
    (responses, locality): (ResponseLimits, Locality),
    centres: &[DataCentre],
    stored: Recovered,
    now: Time,
) -> Controller {
    let me = node(1, 1);
    let founders = vec![(me.id, me.peer)];
    let mut config = config(me, founders);
    (config.timing.lease, config.timing.lease_margin) = (lease, margin);
    (config.responses, config.locality) = (responses, locality);
    config.centres = centres.to_vec();
    Controller::new(config, stored, now).expect("the snapshot can be decoded")
}

/// Applies a write to what storage would recover.
pub(crate) fn store(disk: &mut Recovered, write: &Write) {
    if let Some(hard) = write.hard {
        disk.hard = hard;
    }
    if let Some(snapshot) = &write.snapshot {
        disk.entries.retain(|entry| entry.index > snapshot.index);
        disk.snapshot = Some(snapshot.clone());
    }
    if let Some(from) = write.truncate {
        disk.entries.retain(|entry| entry.index < from);
    }
    disk.entries.extend(write.entries.iter().cloned());
}

impl World {
    /// Creates a controller that leads, with a queue `/fold/` on service `desk` whose jobs fail
    /// after 4 failures of a task.
    pub(crate) fn new() -> Self {
        Self::with_lease(LEASE, MARGIN)
    }

    /// The same with other leases and their margin.
    pub(crate) fn with_lease(lease: Duration, margin: Duration) -> Self {
        Self::with((lease, margin), RESPONSES, Locality::OFF)
    }

    /// The same with other limits on responses.
    pub(crate) fn with_responses(responses: ResponseLimits) -> Self {
        Self::with((LEASE, MARGIN), responses, Locality::OFF)
    }

    /// The same with waits for better placements.
    pub(crate) fn with_locality(locality: Locality) -> Self {
        Self::with((LEASE, MARGIN), RESPONSES, locality)
    }

    fn with(lease: (Duration, Duration), responses: ResponseLimits, locality: Locality) -> Self {
        let now = Time::from_millis(1);
        let mut world = Self {
            controller: controller(lease, (responses, locality), &[], Recovered::default(), now),
            lease,
            responses,
            centres: Vec::new(),
            locality,
            now,
            wall_start: WallTime(1_000_000),
            answers: BTreeMap::new(),
            sent: Vec::new(),
            stored: Recovered::default(),
            next: 0,
        };
        world.advance(Duration::from_secs(3));
        assert!(world.controller.leader().is_some(), "the only controller leads");
        let ticket = world.operator_request(OperatorRequest::Configure(Box::new(job_config(1))));
        assert!(matches!(world.answers[&ticket], Answer::Operator(OperatorReply::Stored)));
        world
    }

    /// The size of the largest entry that was stored, in bytes.
    pub(crate) fn largest_entry(&self) -> usize {
        let commands = self.stored.entries.iter().filter_map(|entry| match &entry.payload {
            Payload::Command(command) => Some(command.len()),
            Payload::Empty | Payload::Members(_) => None,
        });
        commands.max().unwrap_or(0)
    }

    /// The size of what storage would recover, in bytes.
    pub(crate) fn stored_bytes(&self) -> usize {
        let commands = self.stored.entries.iter().map(|entry| match &entry.payload {
            Payload::Command(command) => command.len(),
            Payload::Empty | Payload::Members(_) => 0,
        });
        let snapshot = self.stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.state.len());
        snapshot + commands.sum::<usize>()
    }

    /// Restarts the controller from its storage and waits until it leads again. The answers to open
    /// requests are lost.
    pub(crate) fn restart(&mut self) {
        let (stored, centres) = (self.stored.clone(), &self.centres);
        let limits = (self.responses, self.locality);
        self.controller = controller(self.lease, limits, centres, stored, self.now);
        for _ in 0..100 {
            self.advance(Duration::from_millis(50));
            // A leader answers only after the first round of heartbeats that gives it its lease.
            if self.leads() {
                return;
            }
        }
        panic!("the restarted controller does not lead");
    }

    /// The commands in the log that storage would recover.
    pub(crate) fn commands(&self) -> impl Iterator<Item = &[u8]> {
        self.stored.entries.iter().filter_map(|entry| match &entry.payload {
            Payload::Command(command) => Some(&command[..]),
            Payload::Empty | Payload::Members(_) => None,
        })
    }

    /// The snapshot that storage would recover.
    pub(crate) fn snapshot(&self) -> Option<&[u8]> {
        self.stored.snapshot.as_ref().map(|snapshot| &snapshot.state[..])
    }

    /// Removes the recorded estimates of interference from storage, as if an earlier release had written it.
    pub(crate) fn forget_estimates(&mut self) {
        for entry in &mut self.stored.entries {
            if let Payload::Command(command) = &mut entry.payload {
                let mut batch = Batch::decode(command).expect("a batch can be decoded");
                batch.estimates = EstimateRecord::default();
                *command = batch.encode().into();
            }
        }
        if let Some(snapshot) = &mut self.stored.snapshot {
            let mut state = State::decode(&snapshot.state).expect("a snapshot can be decoded");
            state.estimates = Estimates::default();
            snapshot.state = state.encode().into();
        }
    }

    fn leads(&mut self) -> bool {
        let ticket = self.send(|ticket| Event::Probe { ticket });
        matches!(&self.answers[&ticket], Answer::Status(status) if status.leads)
    }

    /// Advances the clock in steps of at most 20 ms.
    pub(crate) fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + Duration::from_millis(20)).min(end);
            self.handle(vec![Event::Timer]);
        }
    }

    /// Sets the wall clock forward, or back if `millis` is negative.
    pub(crate) fn step_clock(&mut self, millis: i64) {
        self.wall_start = WallTime(self.wall_start.0.saturating_add_signed(millis));
    }

    pub(crate) fn handle(&mut self, mut events: Vec<Event>) {
        let wall = WallTime(self.wall_start.0 + self.now.as_nanos() / 1_000_000);
        while !events.is_empty() {
            let mut out = Vec::new();
            self.controller.handle(self.now, wall, events.drain(..), &mut out);
            for effect in out {
                match effect {
                    Effect::Store(write) => {
                        store(&mut self.stored, &write);
                        events.push(Event::Stored { sequence: write.sequence });
                    }
                    Effect::Answer { ticket: Ticket::Front(ticket), answer, .. } => {
                        let previous = self.answers.insert(ticket, answer);
                        assert!(previous.is_none(), "ticket {ticket} was answered twice");
                    }
                    Effect::Answer { .. }
                    | Effect::Send { .. }
                    | Effect::MayStop { .. }
                    | Effect::LogEvent(_) => {
                        self.sent.push(effect);
                    }
                }
            }
        }
    }

    pub(crate) fn send(&mut self, event: impl FnOnce(Ticket) -> Event) -> u64 {
        self.next += 1;
        let ticket = self.next;
        self.handle(vec![event(Ticket::Front(ticket))]);
        ticket
    }

    pub(crate) fn operator_request(&mut self, request: OperatorRequest) -> u64 {
        self.send(|ticket| Event::Operator { ticket, request })
    }

    pub(crate) fn call(&mut self, path: &str, action: Action) -> Reply {
        let call = Call { host: HOST.into(), path: path.into(), action };
        let ticket = self.send(|ticket| Event::Call { ticket, call });
        match &self.answers[&ticket] {
            Answer::Reply(reply) => reply.clone(),
            other => panic!("{other:?}"),
        }
    }

    pub(crate) fn submit(&mut self, id: u64, steps: Vec<Step>) -> JobId {
        self.submit_text(id, "spec", steps)
    }

    /// Submits a job with this payload.
    pub(crate) fn submit_text(&mut self, id: u64, text: &str, steps: Vec<Step>) -> JobId {
        let spec = JobSpec { text: text.into(), steps, schedule: None };
        let reply = self.call(&path(id), Action::Submit(spec));
        assert_eq!(reply, Reply::Accepted);
        JobId(id)
    }

    pub(crate) fn phase(&mut self, id: u64) -> JobPhase {
        match self.call(&path(id), Action::Show) {
            Reply::Job(phase) => phase,
            other => panic!("{other:?}"),
        }
    }

    /// Sends a worker's heartbeat and applies the response, which may be held.
    pub(crate) fn heartbeat(&mut self, worker: &mut FakeWorker) -> Option<HeartbeatResponse> {
        let report = Box::new(worker.report());
        let ticket = self.send(|ticket| Event::Heartbeat { ticket, report });
        self.response(ticket).inspect(|response| worker.apply(response))
    }

    /// The response to a heartbeat. Advances the clock while the heartbeat is held.
    pub(crate) fn response(&mut self, ticket: u64) -> Option<HeartbeatResponse> {
        for _ in 0..50 {
            match self.answers.get(&ticket) {
                Some(Answer::Heartbeat(response)) => return Some(response.clone()),
                Some(_) => return None,
                None => self.advance(Duration::from_millis(20)),
            }
        }
        panic!("the heartbeat was held for more than 1 s");
    }
}

pub(crate) fn path(id: u64) -> String {
    format!("/fold/{}", JobId(id).hex())
}

pub(crate) fn job_config(version: u64) -> JobConfig {
    JobConfig {
        version,
        queues: vec![Queue {
            name: "fold".into(),
            host: HOST.into(),
            prefix: "/fold/".into(),
            service: "desk".into(),
            priority: 0,
            max_attempts: 4,
            slack: 2000,
            target_latency: 1000,
            timeout: 3000,
            advice: None,
        }],
        services: vec![Service { name: "desk".into(), rejects_overload: true, standby: false }],
        text: format!("{{\"version\":{version}}}").into(),
    }
}

/// A step of `count` tasks that need one processor and take one second.
pub(crate) fn step(count: u32) -> Step {
    Step {
        count,
        needs: Resources { millicores: 1000, memory_mib: 100, accelerators: 0 },
        estimate: 1000,
        after: Vec::new(),
        label: None,
        rack: None,
        spread: None,
        image: None,
        target_latency: None,
        options: StepOptions::default(),
    }
}

/// The address of a worker by its name.
pub(crate) fn worker_address(name: &str) -> SocketAddr {
    let sum = name.bytes().fold(0, |sum: u16, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    let [high, low] = sum.to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 8080))
}

/// A simulated worker that executes the responses to its heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct FakeWorker {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) centre: String,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) leaving: Option<u64>,
    pub(crate) labels: Vec<String>,
    pub(crate) capacity: Resources,
    pub(crate) running: BTreeMap<TaskKey, Run>,
    pub(crate) ended: Vec<Ended>,
    /// The maximum number of ends in a heartbeat.
    pub(crate) max_listed: usize,
    pub(crate) end_count: u64,
    pub(crate) gauges: BTreeMap<TaskKey, u64>,
    pub(crate) started: Vec<(TaskKey, Run)>,
    pub(crate) stopped: BTreeSet<TaskKey>,
    /// The progress of all its runs.
    pub(crate) percent: u8,
    /// The checkpoint of all its runs, and of their ends.
    pub(crate) checkpoint: String,
    /// Its clock; `None` if its heartbeats don't say.
    pub(crate) clock: Option<Duration>,
    /// The processors that each run was started with, in millicores.
    pub(crate) loads: BTreeMap<TaskKey, u64>,
}

impl FakeWorker {
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            address: worker_address(name),
            centre: "akl-a".to_owned(),
            incarnation: 1,
            sequence: 0,
            leaving: None,
            labels: vec!["a".to_owned(), "r1".to_owned()],
            capacity: Resources { millicores: 4000, memory_mib: 4000, accelerators: 0 },
            running: BTreeMap::new(),
            ended: Vec::new(),
            max_listed: usize::MAX,
            end_count: 0,
            gauges: BTreeMap::new(),
            started: Vec::new(),
            stopped: BTreeSet::new(),
            percent: 1,
            checkpoint: String::new(),
            clock: None,
            loads: BTreeMap::new(),
        }
    }

    /// The same machine after a crash and restart.
    pub(crate) fn restarted(&self) -> Self {
        self.replaced(&self.name)
    }

    /// The same machine after a crash and restart under another name.
    pub(crate) fn replaced(&self, name: &str) -> Self {
        let (incarnation, address) = (self.incarnation + 1, self.address);
        let centre = self.centre.clone();
        Self { incarnation, address, centre, ..Self::new(name) }
    }

    pub(crate) fn report(&mut self) -> Report {
        self.sequence += 1;
        Report {
            name: self.name.as_str().into(),
            incarnation: Incarnation(self.incarnation),
            sequence: self.sequence,
            clock: self.clock,
            address: self.address,
            service: "desk".into(),
            centre: self.centre.as_str().into(),
            labels: self.labels.iter().map(|label| label.as_str().into()).collect(),
            capacity: self.capacity,
            leaving: self.leaving,
            running: self
                .running
                .iter()
                .map(|(task, run)| Running {
                    task: *task,
                    run: *run,
                    checkpoint: self.checkpoint.as_str().into(),
                    percent: self.percent,
                    gauge: self.gauges.get(task).copied().unwrap_or(0),
                })
                .collect(),
            ended: self.ended.iter().take(self.max_listed).cloned().collect(),
            more_ends: self.ended.len() >= self.max_listed,
        }
    }

    pub(crate) fn apply(&mut self, response: &HeartbeatResponse) {
        self.ended.retain(|ended| ended.number > response.acknowledged);
        for (task, run) in &response.stops {
            if self.running.get(task) == Some(run) {
                self.end(*task, Ending::Stopped);
                self.stopped.insert(*task);
            }
        }
        for start in &response.starts {
            self.running.insert(start.task, start.run);
            let step = start.spec.steps.get(usize::from(start.task.step));
            self.loads.insert(start.task, step.map_or(0, |step| step.needs.millicores));
            self.started.push((start.task, start.run));
        }
    }

    pub(crate) fn end(&mut self, task: TaskKey, ending: Ending) {
        let run = self.running.remove(&task).expect("the task is running");
        self.end_count += 1;
        let (number, checkpoint) = (self.end_count, self.checkpoint.as_str().into());
        self.ended.push(Ended { number, task, run, ending, checkpoint });
    }

    pub(crate) fn end_all(&mut self, ending: Ending) {
        let tasks: Vec<_> = self.running.keys().copied().collect();
        for task in tasks {
            self.end(task, ending);
        }
    }
}

pub(crate) fn task(job: JobId, step: u16, index: u32) -> TaskKey {
    TaskKey { job, occurrence: 0, step, index }
}
