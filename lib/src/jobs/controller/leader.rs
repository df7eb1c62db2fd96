//! What a leader knows and has decided beyond the agreed state.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    ids::{Epoch, Incarnation, ServiceName, WorkerName},
    jobs::{
        controller::{Answer, Effect, LogEvent, Ticket, Timing},
        fleet::{Fleet, RunView, Worker},
        lifecycle::TaskPhase,
        model::{JobId, StepKey, TaskKey, WorkerNumber},
        pace::Pressure,
        rank::{Queued, Rank, rank},
        record::{Node, Record},
        report::Ended,
        state::{Change, State},
    },
    time::{Time, WallTime, earliest},
};

/// How often the leader looks for leases that have run out.
const LOOK: Duration = Duration::from_millis(100);

/// How long a worker that runs nothing is remembered in silence.
const FORGET_WORKER: Duration = Duration::from_secs(30);

/// How often jobs that ended long ago are looked for.
const RETENTION_LOOK: Duration = Duration::from_secs(5);

/// A leader's own part.
#[derive(Debug)]
pub struct Leader {
    /// The state with all that was decided, committed or not.
    pub state: State,
    /// The workers.
    pub fleet: Fleet,
    /// How images disturb each other.
    pub pressure: Pressure,
    pub(super) epoch: Epoch,
    pub(super) timing: Timing,
    /// Steps with tasks that may start, in the order of their ranks.
    pub(super) ready: BTreeSet<(Rank, StepKey)>,
    pub(super) queued: HashMap<StepKey, Queued>,
    /// Services of which less than half was in use at the last look.
    pub(super) idle: Vec<ServiceName>,
    /// Occurrences that aren't due yet.
    pub(super) upcoming: BTreeSet<(WallTime, JobId, u32)>,
    /// Workers on which tasks have failed.
    pub(super) failed: HashMap<TaskKey, Vec<WorkerNumber>>,
    /// Starts that leave with the next answer to their worker.
    pub(super) outgoing: BTreeMap<WorkerNumber, Vec<TaskKey>>,
    pub(super) records: Vec<Record>,
    pub(super) answers: Vec<(Ticket, Answer)>,
    pub(super) notes: Vec<LogEvent>,
    changes: Vec<Change>,
    /// Jobs that have ended, with the time at which they are forgotten.
    ended: BTreeSet<(Time, JobId)>,
    look: Time,
    retention: Time,
    /// Whether something happened that may let a task start.
    pub(super) unsettled: bool,
    /// The wall clock of this turn.
    pub(super) wall: WallTime,
}

/// What a turn of the leader comes to.
#[derive(Debug)]
pub(super) struct Turn {
    pub(super) records: Vec<Record>,
    /// What may leave once the records are committed.
    pub(super) answers: Vec<(Ticket, Answer)>,
}

impl Leader {
    /// Begins to lead with the agreed state: what is recorded as running may be running, on
    /// workers that haven't been heard yet.
    pub(super) fn new(
        state: State,
        epoch: Epoch,
        timing: Timing,
        now: Time,
        wall: WallTime,
        out: &mut Vec<Effect>,
    ) -> Self {
        let mut leader = Self {
            fleet: Fleet::default(),
            pressure: Pressure::default(),
            ready: BTreeSet::new(),
            queued: HashMap::new(),
            idle: Vec::new(),
            upcoming: BTreeSet::new(),
            failed: HashMap::new(),
            outgoing: BTreeMap::new(),
            records: Vec::new(),
            answers: Vec::new(),
            notes: Vec::new(),
            changes: Vec::new(),
            ended: BTreeSet::new(),
            look: now + LOOK,
            retention: now + RETENTION_LOOK,
            unsettled: true,
            state,
            epoch,
            timing,
            wall,
        };
        let runs = leader.adopt(now);
        let open = leader.state.jobs.iter().filter(|(_, job)| job.phase.is_open());
        let open: Vec<_> = open.map(|(id, _)| *id).collect();
        for id in &open {
            leader.admit(*id);
        }
        let closed = leader.state.jobs.iter().filter(|(_, job)| !job.phase.is_open());
        leader.ended = closed.map(|(id, _)| (now + timing.retain, *id)).collect();
        out.push(Effect::LogEvent(LogEvent::Leading { epoch, jobs: open.len(), runs }));
        leader
    }

    /// Notes all recorded workers and runs; gives the number of runs.
    fn adopt(&mut self, now: Time) -> usize {
        let lease_until = now + self.timing.lease + self.timing.lease_margin;
        for (number, lifecycle) in &self.state.workers {
            let worker =
                Worker::unheard(lifecycle.name.clone(), lifecycle.incarnation, now, lease_until);
            self.fleet.insert(*number, worker);
        }
        let mut runs = 0;
        for (id, job) in self.state.jobs.iter().filter(|(_, job)| job.phase.is_open()) {
            for (occurrence, progress) in &job.occurrences {
                for (at, (spec, step)) in job.spec.steps.iter().zip(&progress.steps).enumerate() {
                    let step_at = u16::try_from(at).unwrap_or(u16::MAX);
                    let key = StepKey { job: *id, occurrence: *occurrence, step: step_at };
                    for (index, task) in (0..).zip(&step.tasks) {
                        if task.phase != TaskPhase::Running {
                            continue;
                        }
                        if let Some(worker) = self.fleet.workers.get_mut(&task.worker) {
                            worker.add(key.task(index), RunView::new(spec, task.run, now));
                            runs += 1;
                        }
                    }
                }
            }
        }
        runs
    }

    /// When the leader wants to act next.
    pub(super) fn next_deadline(&self) -> Option<Time> {
        let open = self.fleet.workers.values().filter_map(|worker| worker.open);
        earliest(open.map(|open| open.until).min(), Some(self.look))
    }

    /// How many steps have tasks that wait for a place.
    pub fn waiting_steps(&self) -> usize {
        self.ready.len()
    }

    /// Everyone who waits for this leader.
    pub(super) fn into_tickets(self) -> Vec<Ticket> {
        let open = self.fleet.workers.values().filter_map(|worker| worker.open);
        let open = open.map(|open| open.ticket);
        open.chain(self.answers.iter().map(|(ticket, _)| *ticket)).collect()
    }

    /// Records where a controller is.
    pub(super) fn introduce(&mut self, node: &Node) {
        if self.state.nodes.get(&node.id) != Some(node) {
            self.record(Record::Node(node.clone()));
        }
    }

    /// Takes a decision into the working copy, to be agreed on at the end of the turn.
    pub(super) fn record(&mut self, record: Record) {
        let mut changes = std::mem::take(&mut self.changes);
        self.state.apply(&record, &mut changes);
        self.records.push(record);
        for change in changes.drain(..) {
            match change {
                Change::Accepted(id) => self.admit(id),
                Change::Ready(step) => self.enqueue(step),
                Change::Ended(id) => self.close(id),
            }
        }
        self.changes = changes;
    }

    /// Queues what may start of a job, and notes what will be due.
    pub(super) fn admit(&mut self, id: JobId) {
        let Some(job) = self.state.jobs.get(&id) else { return };
        let spec = job.spec.clone();
        if spec.schedule.is_none() {
            for step in self.state.ready_steps(id, 0) {
                self.enqueue(step);
            }
            return;
        }
        let begun: Vec<u32> = job.occurrences.keys().copied().collect();
        for occurrence in begun {
            for step in self.state.ready_steps(id, occurrence) {
                self.enqueue(step);
            }
        }
        let first = self.state.jobs.get(&id).map_or(0, |job| {
            (0..spec.occurrences())
                .find(|occurrence| !job.occurrences.contains_key(occurrence))
                .unwrap_or(u32::MAX)
        });
        self.schedule_occurrence(id, first);
    }

    /// Notes when an occurrence is due.
    fn schedule_occurrence(&mut self, id: JobId, occurrence: u32) {
        let Some(job) = self.state.jobs.get(&id) else { return };
        if occurrence < job.spec.occurrences()
            && let Some(due) = job.spec.due(occurrence)
        {
            self.upcoming.insert((due, id, occurrence));
        }
    }

    /// Queues the occurrences that are due.
    pub(super) fn start_due_occurrences(&mut self) {
        while let Some((due, id, occurrence)) = self.upcoming.first().copied() {
            if due > self.wall {
                return;
            }
            self.upcoming.pop_first();
            for step in self.state.ready_steps(id, occurrence) {
                self.enqueue(step);
            }
            self.schedule_occurrence(id, occurrence + 1);
        }
    }

    fn enqueue(&mut self, step: StepKey) {
        let Some(job) = self.state.jobs.get(&step.job).filter(|job| job.phase.is_open()) else {
            return;
        };
        let Some(queue) = self.state.queue_of(job) else { return };
        let rank = rank(job, queue, &step, self.wall);
        let queued = self.queued.entry(step).or_insert(Queued { rank, since: self.wall });
        let old = std::mem::replace(&mut queued.rank, rank);
        self.ready.remove(&(old, step));
        self.ready.insert((rank, step));
        self.unsettled = true;
    }

    /// Ranks all steps that wait anew: with time, jobs get late and their work gets less.
    fn rerank(&mut self) {
        let steps: Vec<_> = self.queued.keys().copied().collect();
        for step in steps {
            self.enqueue(step);
        }
    }

    /// Takes a step from the queue.
    pub(super) fn dequeue(&mut self, step: &StepKey) {
        if let Some(queued) = self.queued.remove(step) {
            self.ready.remove(&(queued.rank, *step));
        }
    }

    /// Stops what runs of a job that has ended, and forgets what waits.
    fn close(&mut self, id: JobId) {
        let first = StepKey { job: id, occurrence: 0, step: 0 };
        let last = StepKey { job: id, occurrence: u32::MAX, step: u16::MAX };
        let steps: Vec<_> =
            self.queued.keys().filter(|key| (first..=last).contains(key)).copied().collect();
        for step in steps {
            self.dequeue(&step);
        }
        self.upcoming.retain(|(_, job, _)| *job != id);
        self.failed.retain(|task, _| task.job != id);
        self.pressure.forget(id);
        let tasks = first.task(0)..=last.task(u32::MAX);
        for worker in self.fleet.workers.values_mut() {
            for (_, view) in worker.runs.range_mut(tasks.clone()) {
                view.stopping = true;
            }
        }
        let Some(job) = self.state.jobs.get(&id) else { return };
        let age_ms = self.wall.0.saturating_sub(job.accepted.0);
        let (state, queue) = (job.phase.name(), job.queue.to_string());
        self.notes.push(LogEvent::Job { id: id.hex(), state, queue, age_ms });
    }

    /// Looks for leases that have run out, and for what can be forgotten.
    pub(super) fn expire(&mut self, now: Time) {
        if now < self.look {
            return;
        }
        self.look = now + LOOK;
        self.unsettled = true;
        self.rerank();
        self.idle = self.fleet.idle_services();
        let workers = self.fleet.workers.iter();
        let lost = workers.filter(|(_, worker)| {
            let silent = now.since(worker.heard) > FORGET_WORKER;
            worker.open.is_none() && now > worker.lease_until && (silent || !worker.runs.is_empty())
        });
        let lost: Vec<_> = lost.map(|(number, _)| *number).collect();
        for number in lost {
            self.lose(now, number, "lost: its lease has run out");
        }
        if now >= self.retention {
            self.retention = now + RETENTION_LOOK;
            self.forget_jobs(now);
        }
    }

    fn forget_jobs(&mut self, now: Time) {
        let mut jobs = Vec::new();
        while let Some((at, id)) = self.ended.first().copied().filter(|(at, _)| *at <= now) {
            self.ended.remove(&(at, id));
            jobs.push(id);
        }
        if !jobs.is_empty() {
            self.record(Record::Forget { jobs });
        }
    }

    /// Remembers when a job that has ended may be forgotten.
    pub(super) fn retain(&mut self, now: Time, id: JobId) {
        self.ended.insert((now + self.timing.retain, id));
    }

    /// Gives up an incarnation of a worker whose runs have surely ended.
    pub(super) fn lose(&mut self, now: Time, number: WorkerNumber, state: &'static str) {
        let Some(worker) = self.fleet.remove(number) else { return };
        self.outgoing.remove(&number);
        if let Some(open) = worker.open {
            self.answers.push((open.ticket, Answer::Acknowledged));
        }
        let silent = now.since(worker.heard).as_millis();
        self.notes.push(LogEvent::Worker {
            name: worker.name.to_string(),
            state,
            silent_ms: u64::try_from(silent).unwrap_or(u64::MAX),
            runs: worker.runs.len(),
        });
        self.record(Record::RemoveWorker { worker: number });
        self.unsettled = true;
    }

    /// A worker is gone by its own word; what it still says of ends counts.
    pub(super) fn leave(
        &mut self,
        now: Time,
        ticket: Ticket,
        (name, incarnation): (&WorkerName, Option<Incarnation>),
        ended: &[Ended],
    ) {
        let number = self.fleet.find(name).filter(|number| {
            let worker = self.fleet.workers.get(number);
            worker.is_some_and(|worker| {
                incarnation.is_none_or(|incarnation| incarnation == worker.incarnation)
            })
        });
        if let Some(number) = number {
            for ended in ended {
                self.take_end(now, number, ended);
            }
            self.lose(now, number, "left");
        }
        self.answers.push((ticket, Answer::Acknowledged));
    }
}
