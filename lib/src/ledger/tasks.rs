//! The open and ended tasks of the ledger, and the keys of their submissions.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use bytes::Bytes;

use crate::{
    command::{Refusal, Reply},
    data,
    ids::{Attempt, CustomerName, DataCentre, Epoch, ServiceName, TaskAttempt, TaskId, WorkerName},
    ledger::{
        Limits,
        change::Change,
        intern::{Digest, Interner, spec_digest},
        lifecycle::Phase,
        quota::Quota,
    },
    task::{Checkpoint, OpenTask, Submission, TaskOutcome, TaskSpec, TaskState},
    time::WallTime,
};

data! {
    /// All tasks.
    #[derive(Default)]
    pub(super) struct Tasks {
        last: TaskId,
        pub(super) open: BTreeMap<TaskId, Box<Record>>,
        pub(super) ended: BTreeMap<TaskId, Box<Record>>,
        /// Submissions by the digest of customer and key.
        keys: BTreeMap<Digest, KeyEntry>,
        /// Ended tasks in the order in which they ended, with the time.
        ended_order: VecDeque<(WallTime, TaskId)>,
        /// Keys of tasks that were removed, with the time at which the task ended.
        retired_keys: VecDeque<(WallTime, Digest)>,
        /// The total size of all retained outcomes.
        outcome_bytes: usize,
        /// Open replicas by service and data centre; rebuilt from the open tasks after decoding.
        #[serde(skip)]
        pub(super) replicas: BTreeMap<(ServiceName, DataCentre), BTreeSet<TaskId>>,
        /// The capacity that the open tasks of customers take; rebuilt after decoding as well.
        #[serde(skip)]
        quota: Quota,
    }

    struct KeyEntry {
        task: TaskId,
        /// A digest of the submitted specification.
        spec: u64,
    }

    /// A task.
    pub(super) struct Record {
        pub(super) customer: CustomerName,
        /// The digest of customer and key; `None` for a replica.
        key: Option<Digest>,
        /// The specification without the payload, so that similar tasks can share it.
        pub(super) spec: Arc<TaskSpec>,
        payload: Bytes,
        pub(super) phase: Phase,
        /// The last attempt.
        pub(super) last: Option<Placement>,
        pub(super) checkpoint: Option<Box<Checkpoint>>,
        pub(super) evictions: u32,
        pub(super) failures: u32,
        pub(super) cancelled: bool,
        outcome: Option<Box<TaskOutcome>>,
    }

    /// Where an attempt runs or ran.
    pub(super) struct Placement {
        pub(super) attempt: Attempt,
        pub(super) epoch: Epoch,
        pub(super) centre: DataCentre,
        pub(super) worker: WorkerName,
    }
}

/// A view of a task in the ledger.
#[derive(Clone, Copy, Debug)]
pub struct TaskView<'a> {
    task: TaskId,
    record: &'a Record,
}

impl<'a> TaskView<'a> {
    /// The task's number.
    pub fn task(&self) -> TaskId {
        self.task
    }

    /// The customer that submitted it, or that owns the service.
    pub fn customer(&self) -> &'a CustomerName {
        &self.record.customer
    }

    /// The specification, without the payload.
    pub fn spec(&self) -> &'a TaskSpec {
        &self.record.spec
    }

    /// The outcome, if the task has ended.
    pub fn outcome(&self) -> Option<&'a TaskOutcome> {
        self.record.outcome()
    }

    /// Whether an attempt was recorded and may be running.
    pub fn is_running(&self) -> bool {
        self.record.phase == Phase::Running
    }

    /// Returns a copy in the form that the scheduler takes; the payload is retained only until the
    /// task ends.
    pub fn to_open(&self) -> OpenTask {
        self.record.to_open(self.task)
    }
}

impl Record {
    /// The number of the last attempt; 0 if there was none.
    pub(super) fn attempt(&self) -> Attempt {
        self.last.as_ref().map(|last| last.attempt).unwrap_or_default()
    }

    /// The number of the next attempt.
    pub(super) fn next(&self) -> Attempt {
        Attempt(self.attempt().0 + 1)
    }

    /// The outcome, if the task has ended.
    pub(super) fn outcome(&self) -> Option<&TaskOutcome> {
        self.outcome.as_deref()
    }

    /// Whether the task ended with an unknown outcome.
    pub(super) fn is_unknown(&self) -> bool {
        matches!(self.outcome(), Some(TaskOutcome::Unknown { .. }))
    }

    /// Returns a copy in the form that the scheduler takes.
    pub(super) fn to_open(&self, task: TaskId) -> OpenTask {
        OpenTask {
            task,
            customer: self.customer.clone(),
            spec: TaskSpec { payload: self.payload.clone(), ..TaskSpec::clone(&self.spec) },
            state: self.state(),
            next: self.next(),
            checkpoint: self.checkpoint.as_deref().cloned(),
            evictions: self.evictions,
            failures: self.failures,
            cancelled: self.cancelled,
        }
    }

    fn state(&self) -> TaskState {
        match (self.phase, &self.last, &self.outcome) {
            (Phase::Ended, _, Some(outcome)) => TaskState::Ended(TaskOutcome::clone(outcome)),
            (Phase::Running, Some(last), _) => TaskState::Running {
                attempt: last.attempt,
                worker: last.worker.clone(),
                centre: last.centre.clone(),
            },
            (Phase::Queued | Phase::Running | Phase::Ended, ..) => TaskState::Queued,
        }
    }
}

fn outcome_size(outcome: &TaskOutcome) -> usize {
    match outcome {
        TaskOutcome::Completed { output } => output.len(),
        TaskOutcome::Failed { reason }
        | TaskOutcome::Impossible { reason }
        | TaskOutcome::Unknown { reason } => reason.len(),
        TaskOutcome::Cancelled => 0,
    }
}

impl Tasks {
    /// Returns a task that is open or retained.
    pub(super) fn get(&self, task: TaskId) -> Option<TaskView<'_>> {
        let record = self.open.get(&task).or_else(|| self.ended.get(&task))?;
        Some(TaskView { task, record })
    }

    /// All tasks that haven't ended, ordered by number.
    pub(super) fn open(&self) -> impl Iterator<Item = TaskView<'_>> {
        self.open.iter().map(|(task, record)| TaskView { task: *task, record })
    }

    /// The reply to a submission whose key is known.
    pub(super) fn earlier_reply(&self, submission: &Submission) -> Option<Reply> {
        let entry = self.keys.get(&submission_key(submission))?;
        Some(match entry.spec == submission_digest(&submission.spec) {
            true => Reply::Submitted { task: entry.task },
            false => Reply::Refused(Refusal::KeyReused),
        })
    }

    /// Whether there is capacity for a submission.
    pub(super) fn has_capacity(&self, submission: &Submission, max: u64) -> bool {
        self.quota.has_capacity(&submission.customer, &submission.spec.payload, max)
    }

    /// Adds the task of a submission whose key is new.
    pub(super) fn submit(
        &mut self,
        submission: &Submission,
        interner: &mut Interner,
        changes: &mut Vec<Change>,
    ) -> Reply {
        let key = submission_key(submission);
        let spec = TaskSpec { service: None, ..submission.spec.clone() };
        let task = self.add(&submission.customer, Some(key), spec, interner, changes);
        let spec = submission_digest(&submission.spec);
        self.keys.insert(key, KeyEntry { task, spec });
        Reply::Submitted { task }
    }

    /// Adds a task, which waits to be placed.
    pub(super) fn add(
        &mut self,
        customer: &CustomerName,
        key: Option<Digest>,
        mut spec: TaskSpec,
        interner: &mut Interner,
        changes: &mut Vec<Change>,
    ) -> TaskId {
        self.last.0 += 1;
        let task = self.last;
        let payload = std::mem::take(&mut spec.payload);
        let record = Box::new(Record {
            customer: interner.customer(customer),
            key,
            spec: interner.spec(spec),
            payload,
            phase: Phase::Queued,
            last: None,
            checkpoint: None,
            evictions: 0,
            failures: 0,
            cancelled: false,
            outcome: None,
        });
        changes.push(Change::Queued(Box::new(record.to_open(task))));
        self.index(task, &record);
        self.open.insert(task, record);
        task
    }

    /// Adds an open task to the indexes that aren't part of a snapshot.
    fn index(&mut self, task: TaskId, record: &Record) {
        match replica_set_of(&record.spec) {
            Some(set) => drop(self.replicas.entry(set).or_default().insert(task)),
            None => self.quota.add(&record.customer, &record.payload),
        }
    }

    fn unindex(&mut self, task: TaskId, record: &Record) {
        match replica_set_of(&record.spec) {
            Some(set) => {
                if let Some(open) = self.replicas.get_mut(&set) {
                    open.remove(&task);
                }
            }
            None => self.quota.remove(&record.customer, &record.payload),
        }
    }

    /// Ends a task, or replaces the outcome of an ended one.
    pub(super) fn end(
        &mut self,
        task: TaskId,
        outcome: TaskOutcome,
        now: WallTime,
        changes: &mut Vec<Change>,
    ) {
        let mut record = match self.open.remove(&task) {
            Some(record) => {
                self.ended_order.push_back((now, task));
                self.unindex(task, &record);
                record
            }
            None => match self.ended.remove(&task) {
                Some(record) => record,
                None => return,
            },
        };
        self.outcome_bytes -= record.outcome.as_deref().map_or(0, outcome_size);
        self.outcome_bytes += outcome_size(&outcome);
        let attempt = TaskAttempt { task, attempt: record.attempt() };
        changes.push(Change::Ended { attempt, outcome: outcome.clone() });
        record.phase = Phase::Ended;
        record.payload = Bytes::new();
        record.checkpoint = None;
        record.outcome = Some(Box::new(outcome));
        self.ended.insert(task, record);
    }

    /// Removes ended tasks and keys that exceed the limits on age or number.
    pub(super) fn prune(&mut self, now: WallTime, limits: &Limits) {
        let age = |at: WallTime| u128::from(now.0.saturating_sub(at.0));
        while let Some((at, task)) = self.ended_order.front().copied() {
            let excess = self.ended_order.len() > limits.max_ended
                || self.outcome_bytes > limits.ended_bytes;
            if !excess && age(at) < limits.ended_retention.as_millis() {
                break;
            }
            self.ended_order.pop_front();
            let Some(record) = self.ended.remove(&task) else { continue };
            self.outcome_bytes -= record.outcome.as_deref().map_or(0, outcome_size);
            self.retired_keys.extend(record.key.map(|key| (at, key)));
        }
        while let Some((at, key)) = self.retired_keys.front().copied() {
            if self.retired_keys.len() <= limits.max_keys
                && age(at) < limits.key_retention.as_millis()
            {
                break;
            }
            self.retired_keys.pop_front();
            self.keys.remove(&key);
        }
    }

    /// Rebuilds what isn't part of a snapshot: interned names, and the indexes of open tasks.
    pub(super) fn restore(&mut self, interner: &mut Interner) {
        for record in self.open.values_mut().chain(self.ended.values_mut()) {
            record.customer = interner.customer(&record.customer);
            record.spec = interner.spec(TaskSpec::clone(&record.spec));
            if let Some(last) = &mut record.last {
                last.centre = interner.centre(&last.centre);
                last.worker = interner.worker(&last.worker);
            }
        }
        let open = std::mem::take(&mut self.open);
        for (task, record) in &open {
            self.index(*task, record);
        }
        self.open = open;
    }
}

fn replica_set_of(spec: &TaskSpec) -> Option<(ServiceName, DataCentre)> {
    Some((spec.service.clone()?, spec.centre.clone()?))
}

fn submission_key(submission: &Submission) -> Digest {
    Digest::of(&[submission.customer.as_str().as_bytes(), submission.key.as_str().as_bytes()])
}

fn submission_digest(spec: &TaskSpec) -> u64 {
    spec_digest(spec).to_u64()
}
