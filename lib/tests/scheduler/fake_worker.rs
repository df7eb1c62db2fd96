//! A fake worker that follows the protocol by its own drifting clock.

use std::{collections::BTreeMap, time::Duration};

use hickorylink_lib::{
    ids::{Attempt, Epoch, Fence, Incarnation, TaskAttempt, TaskId},
    resources::Resources,
    task::Checkpoint,
    worker::{Announcement, AttemptState, LeaseAnswer, StartCommand, TaskReport, WorkerCommand},
};

use crate::harness::announcement_of;

/// An attempt on a worker.
pub(crate) struct Execution {
    pub(crate) start: StartCommand,
    pub(crate) state: AttemptState,
    /// Work that remains, in milliseconds of simulated time.
    remaining: u64,
    /// When it stops, if it was told to, in milliseconds of the worker's clock.
    stop_at: Option<u64>,
}

impl Execution {
    pub(crate) fn runs(&self) -> bool {
        matches!(self.state, AttemptState::Running)
    }
}

/// A worker.
pub(crate) struct FakeWorker {
    pub(crate) name: String,
    pub(crate) capacity: Resources,
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    /// The end of its downtime, in milliseconds of simulated time.
    pub(crate) down_until: u64,
    /// Whether it fails whatever it starts.
    pub(crate) broken: bool,
    /// The speed of its clock, in thousandths.
    clock_rate: u64,
    /// Its clock, in thousandths of a millisecond.
    clock: u64,
    next_announcement: u64,
    epoch: Epoch,
    fence: Fence,
    lease_end: u64,
    pub(crate) executions: BTreeMap<TaskAttempt, Execution>,
    newest_attempts: BTreeMap<TaskId, Attempt>,
}

impl FakeWorker {
    pub(crate) fn new(name: &str, capacity: Resources, clock_rate: u64) -> Self {
        Self {
            name: name.to_owned(),
            capacity,
            incarnation: 1,
            leaving: false,
            down_until: 0,
            broken: false,
            clock_rate,
            clock: 0,
            next_announcement: 0,
            epoch: Epoch(0),
            fence: Fence(0),
            lease_end: 0,
            executions: BTreeMap::new(),
            newest_attempts: BTreeMap::new(),
        }
    }

    fn millis(&self) -> u64 {
        self.clock / 1_000
    }

    /// Crashes, and restarts at `until` without any state.
    pub(crate) fn restart(&mut self, until: u64) {
        self.down_until = until;
        self.incarnation += 1;
        self.leaving = false;
        self.epoch = Epoch(0);
        self.fence = Fence(0);
        self.lease_end = 0;
        self.executions.clear();
        self.newest_attempts.clear();
    }

    /// Advances the clock; returns the announcement that is due, with the time on the worker's
    /// clock.
    pub(crate) fn tick(&mut self, millis: u64) -> Option<(u64, Announcement)> {
        self.clock += millis * self.clock_rate;
        let now = self.millis();
        for (attempt, execution) in &mut self.executions {
            if !execution.runs() {
                continue;
            }
            execution.remaining = execution.remaining.saturating_sub(millis);
            let expired = now >= self.lease_end && execution.start.service.is_none();
            let stop_due = execution.stop_at.is_some_and(|at| now >= at);
            if expired || stop_due {
                let checkpoint = Checkpoint {
                    attempt: attempt.attempt,
                    permille: 500,
                    handle: format!("{attempt}"),
                };
                // Half of the checkpoints aren't written in time.
                let written = (attempt.task.0 + u64::from(attempt.attempt.0)) % 2 == 0;
                execution.state =
                    AttemptState::Stopped { checkpoint: written.then_some(checkpoint) };
            } else if self.broken {
                execution.state = AttemptState::Failed { reason: "the worker is broken".into() };
            } else if execution.remaining == 0 && execution.start.service.is_none() {
                execution.state = AttemptState::Completed { output: Vec::new().into() };
            }
        }
        (now >= self.next_announcement).then(|| {
            self.next_announcement = now + 2_000;
            (now, self.announcement())
        })
    }

    fn announcement(&self) -> Announcement {
        let reports = self.executions.iter().map(|(attempt, execution)| TaskReport {
            attempt: *attempt,
            state: execution.state.clone(),
        });
        Announcement {
            incarnation: Incarnation(self.incarnation),
            clock: Some(Duration::from_millis(self.millis())),
            leaving: self.leaving,
            epoch: self.epoch,
            tasks: reports.collect(),
            ..announcement_of(&self.name, self.capacity)
        }
    }

    /// Handles the answer to the announcement that it made at `sent` on its own clock.
    pub(crate) fn apply_answer(&mut self, sent: u64, incarnation: u64, answer: &LeaseAnswer) {
        if incarnation != self.incarnation || !self.accept(answer.epoch, answer.fence) {
            return;
        }
        let interval = u64::try_from(answer.interval.as_millis()).expect("a short interval");
        self.next_announcement = self.next_announcement.min(self.millis() + interval);
        if let Some(lease) = answer.lease {
            let lease = u64::try_from(lease.as_millis()).expect("a short lease");
            self.lease_end = self.lease_end.max(sent + lease);
        }
        for attempt in &answer.acknowledged {
            if self.executions.get(attempt).is_some_and(|execution| !execution.runs()) {
                self.executions.remove(attempt);
            }
        }
    }

    fn accept(&mut self, epoch: Epoch, fence: Fence) -> bool {
        if (epoch, fence) < (self.epoch, self.fence) {
            return false;
        }
        (self.epoch, self.fence) = (epoch, fence);
        true
    }

    /// Handles commands and returns the attempts that it starts.
    pub(crate) fn command(
        &mut self,
        epoch: Epoch,
        fence: Fence,
        commands: Vec<WorkerCommand>,
        work: impl Fn(TaskId) -> u64,
    ) -> Vec<StartCommand> {
        if !self.accept(epoch, fence) {
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
        let newest = self.newest_attempts.get(&start.attempt.task);
        if self.millis() >= self.lease_end
            || newest.is_some_and(|newest| *newest >= start.attempt.attempt)
        {
            return false;
        }
        self.newest_attempts.insert(start.attempt.task, start.attempt.attempt);
        let execution = Execution {
            start: start.clone(),
            state: AttemptState::Running,
            remaining: work,
            stop_at: None,
        };
        self.executions.insert(start.attempt, execution);
        true
    }

    fn stop(&mut self, attempt: TaskAttempt, grace: Duration) {
        let now = self.millis();
        let grace = u64::try_from(grace.as_millis()).expect("a short grace");
        match self.executions.get_mut(&attempt) {
            Some(execution) => {
                execution.stop_at.get_or_insert(now + grace);
            }
            None => {
                let newest = self.newest_attempts.entry(attempt.task).or_default();
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
                self.executions
                    .insert(attempt, Execution { start, state, remaining: 0, stop_at: None });
            }
        }
    }
}
