//! The workers as the leading controller sees them. Nothing here is agreed on: a new leader
//! learns it from the workers' heartbeats.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    ids::{DataCentre, Incarnation, ServiceName, WorkerName},
    jobs::{
        controller::Ticket,
        model::{Image, Label, Run, Step, StepKey, TaskKey, WorkerNumber},
        report::Report,
    },
    resources::Resources,
    time::Time,
};

/// The part of their reservation that tasks which serve users leave unused, in percent; their
/// load swings around one half.
const SERVING_IDLE: u64 = 50;

/// What a run may do at its start, in percent.
pub const FULL_PACE: u8 = 100;

/// All workers, by their numbers.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The workers.
    pub workers: BTreeMap<WorkerNumber, Worker>,
    names: HashMap<WorkerName, WorkerNumber>,
}

/// One incarnation of a worker.
#[derive(Debug)]
pub struct Worker {
    /// Its name.
    pub name: WorkerName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// What it said of itself last; nothing before its first heartbeat to this leader.
    pub profile: Option<Profile>,
    /// The number of its last heartbeat.
    pub sequence: u64,
    /// When that came.
    pub heard: Time,
    /// Until when its runs may go on, by this controller's clock.
    pub lease_until: Time,
    /// The heartbeat that waits for an answer.
    pub open: Option<Open>,
    /// What it runs, or was told to run.
    pub runs: BTreeMap<TaskKey, RunView>,
    /// What these runs reserve.
    pub reserved: Resources,
    /// What the filling ones among them wish for, in thousandths of a processor.
    pub wished: u64,
    /// How many of them serve users.
    pub serving: u32,
    /// What those reserve, in thousandths of a processor.
    pub serving_reserved: u64,
    /// Runs that it lists and that it shouldn't run.
    pub strays: Vec<(TaskKey, Run)>,
    /// Ends up to this number were passed on for agreement.
    pub ended: u64,
    /// Ends from this number on are never acknowledged; see [`Worker::acknowledged`].
    pub withheld: Option<u64>,
    /// How its runs have ended lately.
    pub health: Health,
}

/// What a worker said of itself.
#[derive(Debug)]
pub struct Profile {
    /// Its pool.
    pub service: ServiceName,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its properties and its rack.
    pub labels: Vec<Label>,
    /// Where it is reached.
    pub address: Box<str>,
    /// What it has.
    pub capacity: Resources,
    /// When it may leave, if it does.
    pub leaves: Option<Time>,
}

/// A heartbeat that waits for an answer.
#[derive(Clone, Copy, Debug)]
pub struct Open {
    /// Matches the answer.
    pub ticket: Ticket,
    /// When it came.
    pub since: Time,
    /// When it is answered at the latest.
    pub until: Time,
}

/// A run on a worker.
#[derive(Debug)]
pub struct RunView {
    /// Its number.
    pub run: Run,
    /// What it reserves.
    pub reserved: Resources,
    /// What it wishes for besides, in thousandths of a processor.
    pub wished: u64,
    /// The bound on its response times in milliseconds, if it serves users.
    pub target_latency: Option<u64>,
    /// Whether it runs until its job is cancelled.
    pub long_running: bool,
    /// Whether it saves its progress.
    pub checkpoints: bool,
    /// What it executes.
    pub image: Option<Image>,
    /// The customer's estimate of its duration.
    pub estimate: Duration,
    /// When it was sent, or first seen.
    pub since: Time,
    /// Whether the worker has listed it.
    pub listed: bool,
    /// Whether the worker has listed it before, and didn't in its last heartbeat.
    pub missing: bool,
    /// Whether it is to be stopped.
    pub stopping: bool,
    /// How far it is, in percent, and since when.
    pub percent: u8,
    /// When that changed last.
    pub moved: Time,
    /// Its last gauge; see [`Running::gauge`](crate::jobs::report::Running::gauge).
    pub gauge: u64,
    /// Since when its response times have been above the bound.
    pub over: Option<Time>,
    /// The share at which it should work, in percent.
    pub pace: u8,
    /// The share that the worker was told, in percent.
    pub told_pace: u8,
    /// Since when it should stand still.
    pub paused: Option<Time>,
}

/// How a worker's runs have ended lately.
#[derive(Debug, Default)]
pub struct Health {
    /// Failed runs of different jobs since the last one that was done.
    pub failures: u32,
    /// The job that failed last.
    pub last_failed: Option<crate::jobs::model::JobId>,
    /// Until when nothing is started there.
    pub avoid_until: Option<Time>,
}

/// Failures of different jobs in a row after which a worker is avoided.
const FAILURES: u32 = 3;

/// How long a worker that fails what it starts is avoided before it is tried again.
const AVOID: Duration = Duration::from_secs(6);

impl Health {
    /// Notes that a run was done.
    pub fn done(&mut self) {
        self.failures = 0;
        self.last_failed = None;
    }

    /// Notes that a run failed.
    pub fn failed(&mut self, now: Time, job: crate::jobs::model::JobId) {
        if self.last_failed != Some(job) {
            self.failures += 1;
            self.last_failed = Some(job);
        }
        if self.failures >= FAILURES {
            self.avoid_until = Some(now + AVOID);
            // One more failure is enough to avoid it again.
            self.failures = FAILURES - 1;
        }
    }

    /// Notes that a run stands still.
    pub fn stuck(&mut self, now: Time) {
        self.avoid_until = Some(now + AVOID);
    }

    /// Whether something may be started there.
    pub fn is_sound(&self, now: Time) -> bool {
        self.avoid_until.is_none_or(|until| until <= now)
    }
}

impl RunView {
    /// A run of `step` that is sent or seen now.
    pub fn new(step: &Step, run: Run, now: Time) -> Self {
        Self {
            run,
            reserved: step.reserved(),
            wished: if step.options.opportunistic { step.needs.millicores } else { 0 },
            target_latency: if step.options.long_running { step.target_latency } else { None },
            long_running: step.options.long_running,
            checkpoints: step.options.checkpoints,
            image: step.image.clone(),
            estimate: Duration::from_millis(step.estimate),
            since: now,
            listed: false,
            missing: false,
            stopping: false,
            percent: 0,
            moved: now,
            gauge: 0,
            over: None,
            pace: FULL_PACE,
            told_pace: FULL_PACE,
            paused: None,
        }
    }

    /// Whether it uses what others leave.
    pub fn fills(&self) -> bool {
        self.wished > 0
    }

    /// When it may be done, if it ends by itself.
    pub fn expected_end(&self) -> Option<Time> {
        (!self.long_running).then(|| self.since + self.estimate)
    }
}

impl Worker {
    /// An incarnation that this leader hasn't heard yet, whose lease may last until `lease_until`.
    pub fn unheard(
        name: WorkerName,
        incarnation: Incarnation,
        now: Time,
        lease_until: Time,
    ) -> Self {
        Self {
            name,
            incarnation,
            profile: None,
            sequence: 0,
            heard: now,
            lease_until,
            open: None,
            runs: BTreeMap::new(),
            reserved: Resources::ZERO,
            wished: 0,
            serving: 0,
            serving_reserved: 0,
            strays: Vec::new(),
            ended: 0,
            withheld: None,
            health: Health::default(),
        }
    }

    /// Takes over what the worker says of itself.
    pub fn describe(&mut self, now: Time, report: &Report) {
        self.sequence = report.sequence;
        self.heard = now;
        let leaves = report.leaving.map(|left| now + Duration::from_millis(left));
        self.profile = Some(Profile {
            service: report.service.clone(),
            centre: report.centre.clone(),
            labels: report.labels.clone(),
            address: report.address.clone(),
            capacity: report.capacity,
            leaves,
        });
    }

    /// Adds a run.
    pub fn add(&mut self, task: TaskKey, view: RunView) {
        self.remove(&task);
        self.reserved = self.reserved.saturating_add(&view.reserved);
        self.wished += view.wished;
        if view.target_latency.is_some() {
            self.serving += 1;
            self.serving_reserved += view.reserved.millicores;
        }
        self.runs.insert(task, view);
    }

    /// Removes a run.
    pub fn remove(&mut self, task: &TaskKey) -> Option<RunView> {
        let view = self.runs.remove(task)?;
        self.reserved = self.reserved.saturating_sub(&view.reserved);
        self.wished -= view.wished;
        if view.target_latency.is_some() {
            self.serving -= 1;
            self.serving_reserved -= view.reserved.millicores;
        }
        Some(view)
    }

    /// What isn't reserved; nothing before the first heartbeat.
    pub fn free(&self) -> Resources {
        let capacity = self.profile.as_ref().map_or(Resources::ZERO, |profile| profile.capacity);
        capacity.saturating_sub(&self.reserved)
    }

    /// What filling tasks may find unused, in thousandths of a processor.
    pub fn unused(&self) -> u64 {
        let idle = self.serving_reserved * SERVING_IDLE / 100;
        (self.free().millicores + idle).saturating_sub(self.wished)
    }

    /// What is in use as far as it is known, in thousandths of a processor: what filling tasks
    /// reported, what serving tasks use on average, and what all others reserve.
    pub fn used(&self) -> u64 {
        let fills = self.runs.values().filter(|view| view.fills());
        let filled: u64 = fills.map(|view| view.gauge.min(view.wished)).sum();
        let idle = self.serving_reserved * SERVING_IDLE / 100;
        filled + self.reserved.millicores.saturating_sub(idle)
    }

    /// How many of a step's tasks are there.
    pub fn count(&self, step: &StepKey) -> u32 {
        let range = step.task(0)..=step.task(u32::MAX);
        u32::try_from(self.runs.range(range).count()).unwrap_or(u32::MAX)
    }

    /// Up to which number the worker's ends may be acknowledged.
    ///
    /// A run that was done after it had been given up counts for nothing: the task runs again.
    /// Such an end isn't acknowledged, so that nobody takes it for the task's.
    pub fn acknowledged(&self) -> u64 {
        self.withheld.map_or(self.ended, |first| self.ended.min(first - 1))
    }

    /// Whether something may be started there.
    pub fn is_usable(&self, now: Time) -> bool {
        let stays = self.profile.as_ref().is_some_and(|profile| profile.leaves.is_none());
        stays && self.health.is_sound(now)
    }
}

impl Fleet {
    /// The worker with this name, in its newest incarnation.
    pub fn find(&self, name: &WorkerName) -> Option<WorkerNumber> {
        self.names.get(name).copied()
    }

    /// The services of which less than half of the processors are in use.
    pub fn idle_services(&self) -> Vec<ServiceName> {
        let mut services: BTreeMap<&ServiceName, (u64, u64)> = BTreeMap::new();
        for worker in self.workers.values() {
            let Some(profile) = &worker.profile else { continue };
            let (used, capacity) = services.entry(&profile.service).or_default();
            *used += worker.used();
            *capacity += profile.capacity.millicores;
        }
        let idle = services.into_iter().filter(|(_, (used, capacity))| used * 2 < *capacity);
        idle.map(|(service, _)| service.clone()).collect()
    }

    /// Adds an incarnation.
    pub fn insert(&mut self, number: WorkerNumber, worker: Worker) {
        let newest = self.find(&worker.name).and_then(|known| self.workers.get(&known));
        if newest.is_none_or(|known| known.incarnation <= worker.incarnation) {
            self.names.insert(worker.name.clone(), number);
        }
        self.workers.insert(number, worker);
    }

    /// Removes an incarnation.
    pub fn remove(&mut self, number: WorkerNumber) -> Option<Worker> {
        let worker = self.workers.remove(&number)?;
        if self.find(&worker.name) == Some(number) {
            self.names.remove(&worker.name);
        }
        Some(worker)
    }
}
