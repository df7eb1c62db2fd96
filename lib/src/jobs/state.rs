//! The replicated state of the controllers. It is deterministic: applying the same records in the
//! same order gives the same state on every replica.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    codec::{DecodeError, Extensions, append, decode_extension, decode_first},
    data,
    ids::{Incarnation, InstanceId, WorkerName},
    jobs::{
        config::{Config, Queue},
        crash::CrashCounts,
        dependents::Dependents,
        early_cancels::EarlyCancels,
        estimates::Estimates,
        evacuation::Evacuations,
        gang::Gangs,
        lifecycle::{JobEvent, JobPhase, TaskEvent, TaskPhase},
        model::{JobId, JobSpec, QueueName, Run, Step, StepKey, TaskKey, WorkerNumber},
        progress::{JobInput, TaskInput},
        record::{Batch, Ending, Node, Record},
        returns::Returns,
    },
    time::WallTime,
};

data! {
    /// The replicated state.
    #[derive(Default)]
    pub struct State {
        /// The configuration in force.
        pub config: Option<Arc<Config>>,
        /// All jobs, including ended ones within the retention time.
        pub jobs: BTreeMap<JobId, Job>,
        /// The known worker incarnations; only these may have running tasks.
        pub workers: BTreeMap<WorkerNumber, WorkerIncarnation>,
        /// The controllers and their addresses.
        pub nodes: BTreeMap<InstanceId, Node>,
        /// The number of jobs in each queue of which no task has started yet.
        pub pending: BTreeMap<QueueName, u32>,
        /// The largest worker number assigned so far.
        pub last_worker: WorkerNumber,
        /// The crashes that tasks may have caused. They are encoded behind the state.
        #[serde(skip)]
        pub crashes: CrashCounts,
        /// What the members of each gang share. It is encoded behind the crash counts.
        #[serde(skip)]
        pub gangs: Gangs,
        /// The workers that were removed, and those that have returned. They are encoded behind the gangs.
        #[serde(skip)]
        pub returns: Returns,
        /// The evacuated data centres. They are encoded behind the returns.
        #[serde(skip)]
        pub evacuations: Evacuations,
        /// The estimates of interference between images. They are encoded behind the evacuations.
        #[serde(skip)]
        pub estimates: Estimates,
        /// The jobs that were cancelled before they were submitted. They are encoded behind the estimates.
        #[serde(skip)]
        pub cancels: EarlyCancels,
    }

    /// One incarnation of a worker.
    pub struct WorkerIncarnation {
        /// The worker's name.
        pub name: WorkerName,
        /// The process incarnation; a restarted worker has a larger one.
        pub incarnation: Incarnation,
    }

    /// A job and its progress.
    pub struct Job {
        /// The queue it was submitted to.
        pub queue: QueueName,
        /// When it was accepted.
        pub accepted: WallTime,
        /// The job as submitted.
        pub spec: Arc<JobSpec>,
        /// The state of the job.
        pub phase: JobPhase,
        /// The occurrences with at least one started task, by their index.
        pub occurrences: BTreeMap<u32, Occurrence>,
        /// The number of completed occurrences.
        pub done: u32,
        /// The steps by those that they wait for.
        #[serde(skip)]
        pub dependents: Dependents,
    }

    /// One occurrence of a job; a job that isn't repeated has only one.
    pub struct Occurrence {
        /// The progress of each step, in the order of the job's steps.
        pub steps: Vec<Progress>,
    }

    /// The progress of a step.
    pub struct Progress {
        /// The step's tasks.
        pub tasks: Vec<Task>,
        /// The number of tasks that are done.
        pub done: u32,
    }

    /// The state of a task and its latest run.
    #[derive(Default)]
    pub struct Task {
        /// The state of the task.
        pub phase: TaskPhase,
        /// The latest run that was recorded.
        pub run: Run,
        /// The worker of that run.
        pub worker: WorkerNumber,
        /// The number of failed runs.
        pub failures: u32,
        /// The latest checkpoint; empty if there is none. That of a gang is in [`State::gangs`].
        pub checkpoint: Box<str>,
    }
}

/// An effect of a record that the leader has to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The step may have tasks to start.
    Ready(StepKey),
    /// The job has ended; its runs have to be stopped.
    Ended(JobId),
    /// A job was accepted.
    Accepted(JobId),
}

impl State {
    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// The bytes aren't a valid snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (state, rest): (Self, _) = decode_first(bytes)?;
        let (crashes, rest) = decode_extension(rest)?;
        let (gangs, rest) = decode_extension(rest)?;
        let (returns, rest) = decode_extension(rest)?;
        let (evacuations, rest) = decode_extension(rest)?;
        let (estimates, rest) = decode_extension(rest)?;
        let (cancels, _) = decode_extension(rest)?;
        Ok(Self { crashes, gangs, returns, evacuations, estimates, cancels, ..state })
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let mut extensions = Extensions::behind(append(Vec::new(), self));
        extensions.append(&self.crashes, self.crashes.is_empty());
        extensions.append(&self.gangs, self.gangs.is_empty());
        extensions.append(&self.returns, self.returns.is_empty());
        extensions.append(&self.evacuations, self.evacuations.is_empty());
        extensions.append(&self.estimates, self.estimates.is_empty());
        extensions.append(&self.cancels, self.cancels.is_empty());
        extensions.finish()
    }

    /// The queue of a job; `None` if the current configuration no longer has it.
    pub fn queue_of(&self, job: &Job) -> Option<&Queue> {
        self.config.as_ref()?.queue(&job.queue)
    }

    /// A task; `None` before the first task of its occurrence has started.
    pub fn task(&self, key: &TaskKey) -> Option<&Task> {
        let progress = self.progress(&key.step_key())?;
        progress.tasks.get(usize::try_from(key.index).ok()?)
    }

    /// The checkpoint that the next run of a task continues from; empty if there is none.
    pub fn checkpoint(&self, key: &TaskKey) -> &str {
        let step = key.step_key();
        if self.step(&step).is_some_and(|step| step.options.gang) {
            return self.gangs.checkpoint(&step);
        }
        self.task(key).map_or("", |task| &task.checkpoint)
    }

    /// The progress of a step; `None` before the first task of its occurrence has started.
    pub fn progress(&self, key: &StepKey) -> Option<&Progress> {
        let occurrence = self.jobs.get(&key.job)?.occurrences.get(&key.occurrence)?;
        occurrence.steps.get(usize::from(key.step))
    }

    /// The step as submitted.
    pub fn step(&self, key: &StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.spec.steps.get(usize::from(key.step))
    }

    /// Applies the records of a batch in order and appends their effects to `changes`.
    pub fn apply_batch(&mut self, batch: &Batch, changes: &mut Vec<Change>) {
        // No other record depends on them.
        for order in &batch.evacuations {
            self.evacuations.apply(order);
        }
        // A turn cancels before it forgets, and submits no job that is cancelled.
        for id in &batch.cancels {
            self.cancels.insert(*id);
        }
        let mut crashes = batch.crashes.iter().peekable();
        for (before, record) in (0..).zip(&batch.records) {
            while let Some(crash) = crashes.next_if(|crash| crash.after <= before) {
                self.apply_crash(&crash.record, changes);
            }
            self.apply(record, changes);
        }
        for crash in crashes {
            self.apply_crash(&crash.record, changes);
        }
        self.estimates.apply(&batch.estimates);
    }

    /// Applies a record and appends its effects to `changes`.
    pub fn apply(&mut self, record: &Record, changes: &mut Vec<Change>) {
        match record {
            Record::Configure(config) => self.configure(config),
            Record::Submit { id, queue, at, spec } => self.submit(*id, queue, *at, spec, changes),
            Record::Cancel { id } => self.end_job(*id, JobEvent::Cancel, changes),
            Record::AddWorker { number, name, incarnation } => {
                self.last_worker = self.last_worker.max(*number);
                self.returns.add(*number, name, *incarnation);
                self.workers.insert(
                    *number,
                    WorkerIncarnation { name: name.clone(), incarnation: *incarnation },
                );
            }
            Record::RemoveWorker { worker } => self.remove_worker(*worker, changes),
            Record::Start { task, run, worker } => self.start(*task, *run, *worker),
            Record::End { task, run, ending, checkpoint } => {
                self.end_run(*task, *run, *ending, checkpoint, changes);
            }
            Record::Node(node) => {
                self.nodes.insert(node.id, node.clone());
            }
            Record::Forget { jobs } => {
                for id in jobs {
                    self.cancels.remove(*id);
                    self.jobs.remove(id);
                    self.crashes.remove_job(*id);
                    self.gangs.remove_job(*id);
                }
            }
        }
    }

    /// The steps of an occurrence that have tasks to start. The due time of the occurrence isn't
    /// checked.
    pub fn ready_steps(&self, id: JobId, occurrence: u32) -> Vec<StepKey> {
        let Some(job) = self.jobs.get(&id).filter(|job| job.phase.is_open()) else {
            return Vec::new();
        };
        let steps = 0..job.spec.steps.len();
        let key =
            |step| StepKey { job: id, occurrence, step: u16::try_from(step).unwrap_or(u16::MAX) };
        steps.map(key).filter(|key| job.is_ready(key)).collect()
    }

    fn configure(&mut self, config: &Config) {
        if self.config.as_ref().is_none_or(|current| current.version < config.version) {
            self.config = Some(Arc::new(config.clone()));
        }
    }

    fn submit(
        &mut self,
        id: JobId,
        queue: &QueueName,
        at: WallTime,
        spec: &JobSpec,
        changes: &mut Vec<Change>,
    ) {
        if self.jobs.contains_key(&id) {
            return;
        }
        // Only a leader of a release that remembers no cancellations submits such a job.
        self.cancels.remove(id);
        let job = Job {
            queue: queue.clone(),
            accepted: at,
            spec: Arc::new(spec.clone()),
            phase: JobPhase::Queued,
            occurrences: BTreeMap::new(),
            done: 0,
            dependents: Dependents::default(),
        };
        self.jobs.insert(id, job);
        *self.pending.entry(queue.clone()).or_default() += 1;
        changes.push(Change::Accepted(id));
    }

    fn start(&mut self, key: TaskKey, run: Run, worker: WorkerNumber) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if !job.phase.is_open() {
            return;
        }
        let queued = job.phase == JobPhase::Queued;
        job.transition(JobEvent::Start);
        if queued {
            let queue = job.queue.clone();
            self.decrement_pending(&queue);
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if let Some(task) = job.task_mut(&key) {
            let input = TaskInput { event: TaskEvent::Start, run, worker, checkpoint: "" };
            task.transition(&input);
        }
    }

    fn decrement_pending(&mut self, queue: &QueueName) {
        if let Some(pending) = self.pending.get_mut(queue) {
            *pending = pending.saturating_sub(1);
        }
    }

    fn end_run(
        &mut self,
        key: TaskKey,
        run: Run,
        ending: Ending,
        checkpoint: &str,
        changes: &mut Vec<Change>,
    ) {
        let max_attempts = self.max_attempts(key.job);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(step) = job.spec.steps.get(usize::from(key.step)) else { return };
        let (gang, long_running) = (step.options.gang, step.options.long_running);
        let event = match ending {
            // Long-running tasks restart however they end, and their failures don't count.
            Ending::Done if long_running => TaskEvent::Interrupted,
            Ending::Done => TaskEvent::Done,
            Ending::Failed if long_running => TaskEvent::Interrupted,
            Ending::Failed => TaskEvent::Failed,
            Ending::Stopped
            | Ending::LeaseExpired
            | Ending::GangBroken
            | Ending::GangIncomplete
            | Ending::Refused => TaskEvent::Interrupted,
        };
        // A gang is done as soon as one of its members reports that it is done.
        let indexes = if gang && ending == Ending::Done {
            0..step.count
        } else {
            key.index..key.index.saturating_add(1)
        };
        // What a gang saves is kept for all members together.
        let own_checkpoint = if gang { "" } else { checkpoint };
        let (mut failed, mut done) = (0, 0);
        let mut changed = false;
        for index in indexes {
            let member = TaskKey { index, ..key };
            let Some(task) = job.task_mut(&member) else { continue };
            let (worker, checkpoint) = (task.worker, own_checkpoint);
            let input = TaskInput { event, run, worker, checkpoint };
            let ended = task.transition(&input);
            changed |= ended;
            done += u32::from(ended && task.phase == TaskPhase::Done);
            failed = failed.max(task.failures);
            if ended && matches!(ending, Ending::Done | Ending::Failed) {
                // Its worker has survived the run.
                self.crashes.remove(&member);
            }
        }
        if !changed {
            return;
        }
        job.add_done(&key.step_key(), done);
        match event {
            _ if !gang => {}
            TaskEvent::Done => self.gangs.remove(&key.step_key()),
            TaskEvent::Start | TaskEvent::Failed | TaskEvent::Interrupted => {
                failed = self.gangs.end(key.step_key(), run, ending, checkpoint);
            }
        }
        if failed >= max_attempts {
            self.end_job(key.job, JobEvent::Exhaust, changes);
            return;
        }
        self.push_ready_steps(&key.step_key(), event, changes);
    }

    /// Reports the steps that may have tasks to start after a run has ended, and ends the job after
    /// its last task.
    fn push_ready_steps(&mut self, key: &StepKey, event: TaskEvent, changes: &mut Vec<Change>) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if event != TaskEvent::Done {
            changes.push(Change::Ready(*key));
            return;
        }
        if !job.is_done(key) {
            return;
        }
        if job.finish_occurrence(key.occurrence) {
            self.end_job(key.job, JobEvent::Finish, changes);
            return;
        }
        for step in job.dependents.of(&job.spec, key.step) {
            let next = StepKey { step: *step, ..*key };
            if job.is_ready(&next) {
                changes.push(Change::Ready(next));
            }
        }
    }

    /// The number of failures of a task after which the job fails.
    fn max_attempts(&self, id: JobId) -> u32 {
        let job = self.jobs.get(&id);
        job.and_then(|job| self.queue_of(job)).map_or(u32::MAX, |queue| queue.max_attempts.max(1))
    }

    pub(super) fn end_job(
        &mut self,
        id: JobId,
        input: impl Into<JobInput>,
        changes: &mut Vec<Change>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let before = job.phase;
        job.transition(input);
        if !before.is_open() || job.phase.is_open() {
            return;
        }
        self.crashes.remove_job(id);
        self.gangs.remove_job(id);
        changes.push(Change::Ended(id));
        if before == JobPhase::Queued {
            let queue = job.queue.clone();
            self.decrement_pending(&queue);
        }
    }

    fn remove_worker(&mut self, worker: WorkerNumber, changes: &mut Vec<Change>) {
        let Some(removed) = self.workers.remove(&worker) else { return };
        self.returns.remove(worker, removed);
        let mut lost = BTreeSet::new();
        for (id, job) in &mut self.jobs {
            for (occurrence, progress) in &mut job.occurrences {
                for (at, step) in progress.steps.iter_mut().enumerate() {
                    if step.interrupt_runs(worker) && job.phase.is_open() {
                        let step = u16::try_from(at).unwrap_or(u16::MAX);
                        lost.insert(StepKey { job: *id, occurrence: *occurrence, step });
                    }
                }
            }
        }
        changes.extend(lost.into_iter().map(Change::Ready));
    }
}
