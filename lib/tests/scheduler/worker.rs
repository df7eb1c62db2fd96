//! A fake worker that keeps to the protocol by its own clock, which drifts.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    ids::{Attempt, Epoch, Fence, Incarnation, TaskAttempt, TaskId},
    resources::Resources,
    task::Checkpoint,
    worker::{Announcement, AttemptState, LeaseAnswer, StartCommand, TaskReport, WorkerCommand},
};

use crate::desk::announcement;

/// A try on a worker.
pub(crate) struct Job {
    pub(crate) start: StartCommand,
    pub(crate) state: AttemptState,
    /// Milliseconds of work that are left, by the worker's clock.
    left: u64,
    /// When it stops, if it was told to.
    stops: Option<u64>,
}

impl Job {
    pub(crate) fn runs(&self) -> bool {
        matches!(self.state, AttemptState::Running)
    }
}

/// A worker.
pub(crate) struct Worker {
    pub(crate) name: String,
    pub(crate) capacity: Resources,
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    /// Until when it is down, in milliseconds of the world's time.
    pub(crate) down: u64,
    /// Whether it fails whatever it starts.
    pub(crate) broken: bool,
    /// The speed of its clock, in thousandths.
    rate: u64,
    /// Its clock, in thousandths of a millisecond.
    clock: u64,
    next: u64,
    epoch: Epoch,
    fence: Fence,
    lease: u64,
    pub(crate) jobs: BTreeMap<TaskAttempt, Job>,
    newest: BTreeMap<TaskId, Attempt>,
}

impl Worker {
    pub(crate) fn new(name: &str, capacity: Resources, rate: u64) -> Self {
        Self {
            name: name.to_owned(),
            capacity,
            incarnation: 1,
            leaving: false,
            down: 0,
            broken: false,
            rate,
            clock: 0,
            next: 0,
            epoch: Epoch(0),
            fence: Fence(0),
            lease: 0,
            jobs: BTreeMap::new(),
            newest: BTreeMap::new(),
        }
    }

    fn millis(&self) -> u64 {
        self.clock / 1_000
    }

    /// It dies, and comes back after a while without any memory.
    pub(crate) fn restart(&mut self, until: u64) {
        self.down = until;
        self.incarnation += 1;
        self.leaving = false;
        self.epoch = Epoch(0);
        self.fence = Fence(0);
        self.lease = 0;
        self.jobs.clear();
        self.newest.clear();
    }

    /// Lets time pass; gives what it announces, with its own time of that.
    pub(crate) fn tick(&mut self, millis: u64) -> Option<(u64, Announcement)> {
        self.clock += millis * self.rate;
        let now = self.millis();
        for (attempt, job) in &mut self.jobs {
            if !job.runs() {
                continue;
            }
            job.left = job.left.saturating_sub(millis);
            let lapsed = now >= self.lease && job.start.service.is_none();
            let stopped = job.stops.is_some_and(|at| now >= at);
            if lapsed || stopped {
                let checkpoint = Checkpoint {
                    attempt: attempt.attempt,
                    permille: 500,
                    handle: format!("{attempt}"),
                };
                // Every other checkpoint can't be written in time.
                let written = (attempt.task.0 + u64::from(attempt.attempt.0)) % 2 == 0;
                job.state = AttemptState::Stopped { checkpoint: written.then_some(checkpoint) };
            } else if self.broken {
                job.state = AttemptState::Failed { reason: "it fails here".into() };
            } else if job.left == 0 && job.start.service.is_none() {
                job.state = AttemptState::Completed { output: Vec::new().into() };
            }
        }
        (now >= self.next).then(|| {
            self.next = now + 2_000;
            (now, self.say())
        })
    }

    fn say(&self) -> Announcement {
        let reports = self
            .jobs
            .iter()
            .map(|(attempt, job)| TaskReport { attempt: *attempt, state: job.state.clone() });
        Announcement {
            incarnation: Incarnation(self.incarnation),
            leaving: self.leaving,
            epoch: self.epoch,
            tasks: reports.collect(),
            ..announcement(&self.name, self.capacity)
        }
    }

    /// Takes in the answer to what it announced at `sent`, by its own clock.
    pub(crate) fn answered(&mut self, sent: u64, incarnation: u64, answer: &LeaseAnswer) {
        if incarnation != self.incarnation || !self.obeys(answer.epoch, answer.fence) {
            return;
        }
        if let Some(lease) = answer.lease {
            let lease = u64::try_from(lease.as_millis()).expect("a short lease");
            self.lease = self.lease.max(sent + lease);
        }
        for attempt in &answer.acknowledged {
            if self.jobs.get(attempt).is_some_and(|job| !job.runs()) {
                self.jobs.remove(attempt);
            }
        }
    }

    fn obeys(&mut self, epoch: Epoch, fence: Fence) -> bool {
        if (epoch, fence) < (self.epoch, self.fence) {
            return false;
        }
        (self.epoch, self.fence) = (epoch, fence);
        true
    }

    /// Takes in commands; gives the tries that it starts.
    pub(crate) fn command(
        &mut self,
        epoch: Epoch,
        fence: Fence,
        commands: Vec<WorkerCommand>,
        work: impl Fn(TaskId) -> u64,
    ) -> Vec<StartCommand> {
        if !self.obeys(epoch, fence) {
            return Vec::new();
        }
        let mut started = Vec::new();
        for command in commands {
            match command {
                WorkerCommand::Start(start) => {
                    if self.start(&start, work(start.attempt.task)) {
                        started.push(*start);
                    }
                }
                WorkerCommand::Stop { attempt, grace } => self.stop(attempt, grace),
                WorkerCommand::Throttle { .. } | WorkerCommand::Checkpoint { .. } => {}
            }
        }
        started
    }

    fn start(&mut self, start: &StartCommand, work: u64) -> bool {
        let newest = self.newest.get(&start.attempt.task);
        if self.millis() >= self.lease
            || newest.is_some_and(|newest| *newest >= start.attempt.attempt)
        {
            return false;
        }
        self.newest.insert(start.attempt.task, start.attempt.attempt);
        let job =
            Job { start: start.clone(), state: AttemptState::Running, left: work, stops: None };
        self.jobs.insert(start.attempt, job);
        true
    }

    fn stop(&mut self, attempt: TaskAttempt, grace: Duration) {
        let now = self.millis();
        let grace = u64::try_from(grace.as_millis()).expect("a short grace");
        match self.jobs.get_mut(&attempt) {
            Some(job) => {
                job.stops.get_or_insert(now + grace);
            }
            None => {
                let newest = self.newest.entry(attempt.task).or_default();
                *newest = (*newest).max(attempt.attempt);
                let start = StartCommand {
                    attempt,
                    kind: "unknown".into(),
                    size: Resources::ZERO,
                    service: None,
                    checkpoint: None,
                    payload: Vec::new().into(),
                };
                let state = AttemptState::Stopped { checkpoint: None };
                self.jobs.insert(attempt, Job { start, state, left: 0, stops: None });
            }
        }
    }
}
