//! Drives the real scheduler of a data centre with simulated events. Commands to the replicated log
//! commit immediately.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hickorylink_lib::{
    command::YieldCause,
    ids::{
        Attempt, CustomerName, DataCentre, Epoch, Incarnation, ServiceName, TaskAttempt, TaskId,
        WorkerName,
    },
    policy::{Allowance, CredentialHash, Customer, Plan, Policy, Service},
    resources::Resources,
    scheduler::{
        Scheduler,
        config::Config,
        port::{Effect, Event},
    },
    task::{Checkpoint, OpenTask, TaskSpec, TaskState},
    time::Time,
    worker::{Announcement, AttemptState, Sample, TaskReport, WorkerCommand},
};

use crate::experiment::{arrivals::Job, host::Host, setup::Setup};

/// The epoch of the scheduler's leadership during the whole experiment.
const EPOCH: Epoch = Epoch(1);
/// An allowance larger than any data centre of the experiment.
const UNLIMITED: Resources =
    Resources { millicores: 1_000_000_000, memory_mib: 1_000_000_000, accelerators: 0 };
/// Evictions of one customer's tasks that a plan allows per hour.
const HOURLY_EVICTIONS: u32 = 1_000;
/// Evictions of one task that a plan allows.
pub(crate) const TASK_EVICTIONS: u32 = 3;
/// The work since the last checkpoint that an eviction loses, in seconds at full speed.
pub(crate) const LOST_WORK_S: f64 = 10.0;

/// The scheduler with simulated implementations of its ports.
pub(crate) struct SchedulerDriver {
    scheduler: Scheduler,
    /// The open tasks, as the replicated state holds them.
    open: BTreeMap<TaskId, OpenTask>,
    /// The batch tasks that are not running.
    waiting: BTreeMap<TaskId, Job>,
    /// For each worker, the samples for its next announcement.
    samples: Vec<Vec<(Time, Sample)>>,
    /// For each worker, the reports of ended attempts that aren't acknowledged yet.
    ended: Vec<Vec<TaskReport>>,
    /// The events to deliver to the scheduler.
    events: Vec<Event>,
    /// Evictions since the caller last reset the counter.
    pub(crate) evictions: u64,
    /// Throttles since the caller last reset the counter.
    pub(crate) throttles: u64,
}

fn centre() -> DataCentre {
    "centre".into()
}

impl SchedulerDriver {
    /// A scheduler with leadership of its data centre and the replicas already running.
    pub(crate) fn new(setup: &Setup, hosts: &[Host], objective: impl Fn(usize) -> f64) -> Self {
        let mut driver = Self {
            scheduler: Scheduler::new(Config::new(centre()), Time::default(), 7),
            open: BTreeMap::new(),
            waiting: BTreeMap::new(),
            samples: vec![Vec::new(); hosts.len()],
            ended: vec![Vec::new(); hosts.len()],
            events: vec![Event::Policy(Arc::new(policy(setup, objective)))],
            evictions: 0,
            throttles: 0,
        };
        for host in hosts {
            for replica in &host.replicas {
                let service = ServiceName::from(setup.user.services()[replica.service]);
                let running = TaskState::Running {
                    attempt: replica.attempt.attempt,
                    worker: host.name.clone(),
                    centre: centre(),
                };
                let task = OpenTask {
                    state: running,
                    next: Attempt(replica.attempt.attempt.0 + 1),
                    ..open_task(replica.attempt.task, "services", setup.user.replica())
                };
                let spec = TaskSpec { service: Some(service), ..task.spec.clone() };
                driver.submit_task(OpenTask { spec, ..task });
            }
        }
        driver.events.push(Event::Leadership { centre: centre(), epoch: Some(EPOCH) });
        driver
    }

    /// Submits a batch task.
    pub(crate) fn submit(&mut self, job: Job, customer: &CustomerName, kind: &str) {
        let mut task = open_task(TaskId(job.id), customer.as_str(), job.size);
        task.spec.kind = kind.into();
        self.waiting.insert(task.task, job);
        self.submit_task(task);
    }

    fn submit_task(&mut self, task: OpenTask) {
        self.open.insert(task.task, task.clone());
        self.events.push(Event::TaskOpened(Box::new(task)));
    }

    /// Adds a sample to a worker's next announcement.
    pub(crate) fn add_sample(&mut self, at: usize, taken: Time, sample: Sample) {
        self.samples[at].push((taken, sample));
    }

    /// Adds the report of a completed task to a worker's announcements.
    pub(crate) fn add_completed(&mut self, at: usize, attempt: TaskAttempt) {
        let state = AttemptState::Completed { output: Vec::new().into() };
        self.ended[at].push(TaskReport { attempt, state });
    }

    /// The number of batch tasks that are not running.
    pub(crate) fn queued(&self) -> u64 {
        self.waiting.len() as u64
    }

    /// Advances the scheduler by a second: half of the workers announce themselves, and the effects
    /// are applied until no events remain.
    pub(crate) fn step(&mut self, now: Time, second: u64, hosts: &mut [Host]) {
        self.events.push(Event::LeadershipConfirmed);
        for (at, host) in hosts.iter().enumerate() {
            if (at as u64 + second).is_multiple_of(2) {
                let announcement = Box::new(self.announcement(now, at, host));
                self.events.push(Event::Announced { ticket: at as u64, announcement });
            }
        }
        self.events.push(Event::Timer);
        while !self.events.is_empty() {
            let mut effects = Vec::new();
            for event in std::mem::take(&mut self.events) {
                self.scheduler.handle(now, event, &mut effects);
            }
            for effect in effects {
                self.apply(effect, hosts);
            }
        }
    }

    fn announcement(&mut self, now: Time, at: usize, host: &Host) -> Announcement {
        let replicas = host.replicas.iter().map(|replica| replica.attempt);
        let running = replicas.chain(host.running.iter().map(|running| running.attempt()));
        let running = running.map(|attempt| TaskReport { attempt, state: AttemptState::Running });
        let samples = std::mem::take(&mut self.samples[at]);
        let samples = samples.into_iter().map(|(taken, mut sample)| {
            sample.age = now.since(taken);
            sample
        });
        Announcement {
            worker: host.name.clone(),
            incarnation: Incarnation(1),
            clock: None,
            centre: centre(),
            rack: format!("rack-{}", at / 8).as_str().into(),
            address: "10.0.0.1:7000".into(),
            capacity: host.capacity,
            leaving: false,
            epoch: EPOCH,
            tasks: running.chain(self.ended[at].iter().cloned()).collect(),
            targets: Vec::new(),
            samples: samples.collect(),
        }
    }

    fn apply(&mut self, effect: Effect, hosts: &mut [Host]) {
        match effect {
            Effect::RecordStart { epoch: _, attempt, worker } => {
                self.record_start(attempt, worker);
            }
            Effect::RecordYield { epoch: _, attempt, checkpoint, cause } => {
                let Some(task) = self.open.get_mut(&attempt.task) else { return };
                task.state = TaskState::Queued;
                task.checkpoint = checkpoint.or(task.checkpoint.take());
                task.evictions += u32::from(matches!(cause, YieldCause::Evicted(_)));
                let open = Event::TaskOpened(Box::new(task.clone()));
                self.events.extend([Event::YieldRecorded { attempt }, open]);
            }
            Effect::RecordEnd { epoch: _, attempt, outcome: _ } => {
                self.open.remove(&attempt.task);
                self.events.push(Event::EndRecorded { attempt });
            }
            Effect::Command { worker, commands, .. } => {
                let Some(at) = hosts.iter().position(|host| host.name == worker) else { return };
                for command in commands {
                    self.execute(at, &mut hosts[at], command);
                }
            }
            Effect::Answer { ticket, answer } => {
                let acknowledged = answer.expect("the announcement is valid").acknowledged;
                let ended = &mut self.ended[ticket as usize];
                ended.retain(|report| !acknowledged.contains(&report.attempt));
            }
        }
    }

    fn record_start(&mut self, attempt: TaskAttempt, worker: WorkerName) {
        let Some(task) = self.open.get_mut(&attempt.task) else { return };
        task.next = Attempt(attempt.attempt.0 + 1);
        task.state = TaskState::Running { attempt: attempt.attempt, worker, centre: centre() };
        self.events.push(Event::StartRecorded { attempt });
    }

    fn execute(&mut self, at: usize, host: &mut Host, command: WorkerCommand) {
        match command {
            WorkerCommand::Start(start) => {
                if let Some(mut job) = self.waiting.remove(&start.attempt.task) {
                    job.attempt = start.attempt.attempt.0;
                    host.start(job);
                }
            }
            WorkerCommand::Throttle { attempt, permille } => {
                let mut running = host.running.iter_mut();
                if let Some(running) = running.find(|running| running.attempt() == attempt) {
                    running.permille = permille;
                    self.throttles += 1;
                }
            }
            WorkerCommand::Checkpoint { .. } => {}
            WorkerCommand::Stop { attempt, grace: _ } => {
                let Some(mut stopped) = host.stop(attempt) else { return };
                let handle = attempt.to_string();
                let checkpoint = Checkpoint { attempt: attempt.attempt, permille: 500, handle };
                let state = AttemptState::Stopped { checkpoint: Some(checkpoint) };
                self.ended[at].push(TaskReport { attempt, state });
                stopped.job.work += LOST_WORK_S;
                self.waiting.insert(attempt.task, stopped.job);
                self.evictions += 1;
            }
        }
    }
}

fn open_task(task: TaskId, customer: &str, size: Resources) -> OpenTask {
    OpenTask {
        task,
        customer: customer.into(),
        spec: TaskSpec {
            kind: "replica".into(),
            size,
            run_time: Duration::from_secs(180),
            urgent: false,
            idempotent: true,
            centre: None,
            service: None,
            payload: Vec::new().into(),
        },
        state: TaskState::Queued,
        next: Attempt(1),
        checkpoint: None,
        evictions: 0,
        failures: 0,
        cancelled: false,
    }
}

fn policy(setup: &Setup, objective: impl Fn(usize) -> f64) -> Policy {
    let plan = |allowance| Plan {
        objective: setup.user.objective(),
        urgent: false,
        weight: 1,
        retry_permille: 100,
        exact_counts: false,
        task_evictions: TASK_EVICTIONS,
        hourly_evictions: HOURLY_EVICTIONS,
        services: Vec::new(),
        allowance,
    };
    let reserved = Allowance { guaranteed: UNLIMITED, ..Allowance::default() };
    let shared = Allowance { burst: UNLIMITED, ..Allowance::default() };
    let customer = |name: &str, plan: &str| {
        let credential = CredentialHash::of(name);
        (CustomerName::from(name), Customer { plan: plan.into(), credential })
    };
    let services = setup.user.services().into_iter().enumerate().map(|(at, name)| {
        let service = Service {
            owner: "services".into(),
            size: setup.user.replica(),
            replicas: BTreeMap::new(),
            latency: Duration::from_secs_f64(objective(at)),
            good_ppm: 990_000,
        };
        (ServiceName::from(name), service)
    });
    Policy {
        plans: BTreeMap::from([
            ("reserved".into(), plan(reserved)),
            ("shared".into(), plan(shared)),
        ]),
        customers: BTreeMap::from([
            customer("services", "reserved"),
            customer("customer-0", "shared"),
            customer("customer-1", "shared"),
            customer("customer-2", "shared"),
        ]),
        services: services.collect(),
        ..Policy::default()
    }
}
