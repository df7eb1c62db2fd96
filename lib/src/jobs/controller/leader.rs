//! The leader's working state, beyond the replicated state.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::{Epoch, Incarnation, ServiceName, WorkerName},
    jobs::{
        controller::{
            Answer, Config, Effect, LogEvent, Ticket, Timing, evacuate::Drain, near::Places,
            proposal::RECORD_INTERVAL, unqueued::Unqueued, wait_reports::WaitReports,
        },
        crash::CrashEntry,
        evacuation::EvacuationOrder,
        fleet::{Departure, Fleet, RunView, Worker},
        model::{JobId, StepKey, TaskKey, WorkerNumber},
        outlook::{Outlook, Outlooks},
        pace::Interference,
        rank::{Rank, rank},
        record::{Node, Record},
        report::Ended,
        response_size::ResponseLimits,
        retention::Retention,
        send_budget::SendBudget,
        state::{Change, State},
        suspects::Suspects,
        turn_work::TurnWork,
        voters::VoterWatch,
        waiting::{Demand, WaitingSteps},
    },
    symbols,
    time::{Time, WallTime, earliest},
};

/// The interval between two checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between two attempts to place all waiting steps on any worker. Between them, a step
/// that found no worker is placed only on workers that have sent a heartbeat since.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// The maximum number of waiting steps that are ranked again in a turn; the others follow in later turns.
const MAX_RANKED: usize = 8192;

/// The number of steps over which outlooks are computed in a turn before earlier ones are used.
const MAX_ESTIMATED: usize = 16_384;

/// How long a silent worker without runs is kept.
const IDLE_WORKER_RETENTION: Duration = Duration::from_secs(30);

/// How much longer than its lease a worker may need to find a new leader. It asks one controller after
/// another, a second each, and many of them may be gone.
const SEARCH_TIME: Duration = Duration::from_secs(4);

/// How long a worker takes at most to exit after its leave message.
const EXIT_TIMEOUT: Duration = Duration::from_millis(500);

/// The interval between two checks for jobs whose retention time has passed.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);

symbols! {
    /// Why an incarnation of a worker is removed.
    pub enum Removal {
        /// A later incarnation has its name.
        Reborn = "was born again",
        /// A later incarnation has its address.
        Replaced = "was replaced at its address",
        /// It was silent for longer than its lease.
        Lapsed = "lost: its lease has run out",
        /// It has said that it leaves.
        Left = "left",
    }
}

/// The leader's working state.
#[derive(Debug)]
pub struct Leader {
    /// The replicated state including uncommitted decisions.
    pub state: State,
    /// The known workers.
    pub fleet: Fleet,
    /// The learned interference between images.
    pub interference: Interference,
    /// Whether enough controllers vote.
    pub voters: VoterWatch,
    pub(super) epoch: Epoch,
    pub(super) timing: Timing,
    pub(super) responses: ResponseLimits,
    /// Steps that have tasks to place.
    pub(super) waiting: WaitingSteps,
    /// The outlooks of occurrences with steps to place.
    pub(super) outlooks: Outlooks,
    /// Occurrences whose steps are still to be queued.
    pub(super) unqueued: Unqueued,
    /// The work of the current turn.
    pub(super) work: TurnWork,
    /// The work of the last turn.
    pub(super) last_work: TurnWork,
    /// Workers whose runs or held heartbeat have changed in this turn.
    pub(super) changed: BTreeSet<WorkerNumber>,
    /// Services that used less than half of their processors at the last check.
    pub(super) idle_services: Vec<ServiceName>,
    /// When the last run of each long-running task that waits has ended.
    pub(super) stopped: BTreeMap<TaskKey, Time>,
    /// Occurrences that aren't due yet, or wait until earlier ones of their job are finished.
    pub(super) upcoming: BTreeSet<(WallTime, JobId, u32)>,
    /// The workers on which each task has failed or was refused.
    pub(super) failed_on: BTreeMap<TaskKey, Vec<WorkerNumber>>,
    /// Starts that are sent with the next answer to their worker.
    pub(super) pending_starts: BTreeMap<WorkerNumber, Vec<TaskKey>>,
    /// Limits the rate at which they are sent.
    pub(super) start_budget: SendBudget,
    /// The worker that receives starts next if the budget doesn't suffice for all.
    pub(super) next_served: WorkerNumber,
    /// The number of starts that were decided on.
    pub(super) starts: u64,
    /// The gangs of which a member's run has ended without being done in this turn.
    pub(super) broken_gangs: BTreeSet<StepKey>,
    /// The runs that may have crashed their worker.
    pub(super) suspects: Suspects,
    pub(super) records: Vec<Record>,
    pub(super) crashes: Vec<CrashEntry>,
    pub(super) orders: Vec<EvacuationOrder>,
    /// Cancellations of jobs that aren't known.
    pub(super) cancels: Vec<JobId>,
    /// The progress of the evacuations.
    pub(super) drain: Drain,
    pub(super) answers: Vec<(Ticket, Answer)>,
    pub(super) log_events: Vec<LogEvent>,
    pub(super) changes: Vec<Change>,
    /// When ended jobs and early cancellations are forgotten.
    retention: Retention,
    /// When estimates of interference are compared with the recorded ones next.
    pub(super) next_estimates: Time,
    next_expiry: Time,
    next_forget: Time,
    /// When places for throttled runs are searched again.
    pub(super) next_move: Time,
    /// When all workers are considered for all waiting steps again, unless the search is still in
    /// progress.
    next_retry: Time,
    /// The waits for better placements.
    pub(super) places: Places,
    /// The periodic reports on tasks that wait.
    pub(super) reports: WaitReports,
    /// Whether all waiting steps were considered for placement since all workers were last considered.
    pub(super) search_ended: bool,
    /// The wall clock of the current turn.
    pub(super) wall: WallTime,
}

impl Leader {
    /// Starts to lead from the replicated state. Runs recorded as in progress may still be
    /// executing on workers that this leader hasn't heard from.
    pub(super) fn new(
        state: State,
        epoch: Epoch,
        config: &Config,
        now: Time,
        wall: WallTime,
        out: &mut Vec<Effect>,
    ) -> Self {
        let (timing, responses) = (config.timing, config.responses);
        let mut leader = Self {
            fleet: Fleet::default(),
            interference: Interference::restore(&state.estimates, now),
            voters: VoterWatch::default(),
            waiting: WaitingSteps::default(),
            outlooks: Outlooks::default(),
            unqueued: Unqueued::default(),
            work: TurnWork::default(),
            last_work: TurnWork::default(),
            changed: BTreeSet::new(),
            idle_services: Vec::new(),
            stopped: BTreeMap::new(),
            upcoming: BTreeSet::new(),
            failed_on: BTreeMap::new(),
            pending_starts: BTreeMap::new(),
            start_budget: SendBudget::new(responses.bytes_per_second, now),
            next_served: WorkerNumber::default(),
            starts: 0,
            broken_gangs: BTreeSet::new(),
            suspects: Suspects::default(),
            records: Vec::new(),
            crashes: Vec::new(),
            orders: Vec::new(),
            cancels: Vec::new(),
            drain: Drain::new(now),
            answers: Vec::new(),
            log_events: Vec::new(),
            changes: Vec::new(),
            retention: Retention::default(),
            next_estimates: now + RECORD_INTERVAL,
            next_expiry: now + EXPIRY_INTERVAL,
            next_forget: now + FORGET_INTERVAL,
            next_move: now,
            next_retry: now,
            places: Places::new(config.locality, now, wall),
            reports: WaitReports::default(),
            search_ended: true,
            state,
            epoch,
            timing,
            responses,
            wall,
        };
        let runs = leader.restore_runs(now);
        leader.restore_delays(now);
        let open = leader.state.jobs.iter().filter(|(_, job)| job.phase.is_open());
        let open: Vec<_> = open.map(|(id, _)| *id).collect();
        for id in &open {
            leader.admit_job(*id);
        }
        let closed = leader.state.jobs.iter().filter(|(_, job)| !job.phase.is_open());
        let kept = closed.map(|(id, _)| *id).chain(leader.state.cancels.iter());
        kept.for_each(|id| leader.retention.keep(id, now + timing.retain));
        out.push(Effect::LogEvent(LogEvent::Leading { epoch, jobs: open.len(), runs }));
        let estimates = &leader.state.estimates;
        if !estimates.is_empty() {
            let (pairs, images) = (estimates.len(), estimates.baselines().count());
            out.push(Effect::LogEvent(LogEvent::EstimatesRestored { pairs, images }));
        }
        leader
    }

    /// Adds all recorded workers and runs to the fleet. Returns the number of runs.
    fn restore_runs(&mut self, now: Time) -> usize {
        let lease_until = now + self.timing.lease + self.timing.lease_margin;
        for (number, recorded) in &self.state.workers {
            let worker = Worker::new(recorded.name.clone(), recorded.incarnation, now, lease_until);
            self.fleet.insert(*number, Worker { searching: true, ..worker });
        }
        let mut runs = 0;
        for (id, job) in self.state.jobs.iter().filter(|(_, job)| job.phase.is_open()) {
            for (key, task) in job.runs(*id) {
                let Some(spec) = job.spec.steps.get(usize::from(key.step)) else { continue };
                if let Some(worker) = self.fleet.workers.get_mut(&task.worker) {
                    let probation = self.state.crashes.of(&key) > 0 && !spec.options.gang;
                    let view = RunView::new(spec, task.run, now);
                    let sent_pace = view.sent_pace.filter(|_| !view.is_opportunistic());
                    let (sent, restored) = (true, true);
                    worker.add(key, RunView { sent, restored, sent_pace, probation, ..view });
                    runs += 1;
                }
            }
        }
        runs
    }

    /// The next time at which the leader has something to do.
    pub(super) fn next_deadline(&self) -> Option<Time> {
        let deadline = earliest(self.fleet.next_deadline(), self.unqueued.next_deadline());
        let deadline = earliest(deadline, self.places.waits.next_end());
        earliest(deadline, Some(self.next_expiry))
    }

    /// The work of the last turn.
    pub fn last_work(&self) -> &TurnWork {
        &self.last_work
    }

    /// The number of steps with tasks that wait for placement.
    pub fn waiting_steps(&self) -> usize {
        self.waiting.len()
    }

    /// The tickets of all unanswered requests.
    pub(super) fn into_tickets(self) -> Vec<Ticket> {
        let held = self.fleet.workers.values().filter_map(|worker| worker.held);
        let held = held.map(|held| held.ticket);
        held.chain(self.answers.iter().map(|(ticket, _)| *ticket)).collect()
    }

    /// Records the addresses of a controller if they have changed.
    pub(super) fn record_node(&mut self, now: Time, node: &Node) {
        if self.state.nodes.get(&node.id) != Some(node) {
            self.record(now, Record::Node(node.clone()));
        }
    }

    /// The outlook of the step's occurrence. An earlier one is used if this turn has computed enough.
    pub(super) fn outlook(&mut self, key: &StepKey) -> Option<Outlook> {
        let StepKey { job: id, occurrence, .. } = *key;
        let known = self.outlooks.get(id, occurrence);
        if let Some((outlook, current)) = known
            && (current || self.work.estimated >= MAX_ESTIMATED)
        {
            return Some(outlook);
        }
        let job = self.state.jobs.get(&id)?;
        let outlook = Outlook::new(job, self.state.queue_of(job)?, occurrence);
        self.work.estimated += job.spec.steps.len();
        self.outlooks.insert(id, occurrence, outlook);
        Some(outlook)
    }

    /// The rank of a step of an open job, and what its tasks ask for.
    fn rank(&mut self, key: &StepKey) -> Option<(Rank, Demand)> {
        let outlook = self.outlook(key)?;
        let job = self.state.jobs.get(&key.job).filter(|job| job.phase.is_open())?;
        let queue = self.state.queue_of(job)?;
        let step = job.spec.steps.get(usize::from(key.step))?;
        let largest = self.fleet.largest_worker(&queue.service);
        Some((rank(job, queue, key, &outlook, &largest, self.wall), Demand::new(step)))
    }

    pub(super) fn enqueue(&mut self, now: Time, step: StepKey) {
        if let Some((rank, demand)) = self.rank(&step) {
            let since = self.unqueued.waits_since(&step, now);
            self.waiting.insert(step, rank, demand, since);
        }
    }

    /// Removes a step from the queue.
    pub(super) fn dequeue(&mut self, step: &StepKey) {
        self.waiting.remove(step);
        // A repeated job may have any number of occurrences.
        let job = self.state.jobs.get(&step.job);
        if job.is_some_and(|job| job.spec.schedule.is_some())
            && !self.waiting.has_occurrence(step.job, step.occurrence)
        {
            self.outlooks.remove(step.job, step.occurrence);
        }
    }

    /// Computes the ranks of queued steps again, since lateness and remaining work change with time.
    fn rerank(&mut self) {
        let steps = self.waiting.next_ranked(MAX_RANKED);
        self.work.ranked += steps.len();
        for step in steps {
            if let Some((rank, _)) = self.rank(&step) {
                self.waiting.update_rank(&step, rank);
            }
        }
    }

    /// Stops the runs of a job that has ended and removes its queued steps.
    pub(super) fn close_job(&mut self, id: JobId) {
        for step in self.waiting.of_job(id) {
            self.waiting.remove(&step);
        }
        self.outlooks.remove_job(id);
        self.places.remove_job(id);
        let job = self.state.jobs.get(&id);
        if job.is_none_or(|job| job.spec.schedule.is_some()) {
            self.upcoming.retain(|(_, job, _)| *job != id);
        }
        remove_job(&mut self.failed_on, id);
        remove_job(&mut self.stopped, id);
        self.interference.forget(id);
        self.suspects.forget(id);
        self.stop_runs(id);
        let Some(job) = self.state.jobs.get(&id) else { return };
        let age_ms = self.wall.0.saturating_sub(job.accepted.0);
        let (state, queue) = (job.phase.name(), job.queue.to_string());
        self.log_events.push(LogEvent::Job { id: id.hex(), state, queue, age_ms });
    }

    /// Stops the recorded runs of a job. Others are already being stopped.
    fn stop_runs(&mut self, id: JobId) {
        let Some(job) = self.state.jobs.get(&id) else { return };
        for (task, run) in job.runs(id) {
            let Some(worker) = self.fleet.workers.get_mut(&run.worker) else { continue };
            if let Some(view) = worker.runs.get_mut(&task) {
                view.stopping = true;
                self.changed.insert(run.worker);
            }
        }
    }

    /// Performs the periodic work, at most once per `EXPIRY_INTERVAL`: updates the ranks of the
    /// queued steps and the idle services, removes workers with expired leases, and forgets jobs
    /// past their retention time.
    pub(super) fn expire_leases(&mut self, now: Time) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        self.fleet.update_largest();
        self.rerank();
        // A search that begins again before it has reached the last step would never reach it.
        if now >= self.next_retry && self.search_ended {
            self.next_retry = now + RETRY_INTERVAL;
            self.search_ended = false;
            self.waiting.retry_all();
        }
        self.idle_services = self.fleet.idle_services();
        self.report_waits(now);
        self.move_stragglers(now);
        self.expire_silent(now);
        self.expire_searching(now);
        self.expire_departed(now);
        self.expire_reservations(now);
        if now >= self.next_forget {
            self.next_forget = now + FORGET_INTERVAL;
            self.forget_jobs(now);
            self.fleet.forget_transits(now);
            self.places.waits.forget(now);
        }
    }

    /// Removes the workers whose lease has run out: those with runs, those that are blocked by withheld ends,
    /// and those that have been silent for long.
    fn expire_silent(&mut self, now: Time) {
        let workers = self.fleet.workers.iter();
        let lost = workers.filter(|(_, worker)| {
            let silent = now.since(worker.last_heartbeat) > IDLE_WORKER_RETENTION;
            let wait = if worker.searching { SEARCH_TIME } else { Duration::ZERO };
            let expired = worker.held.is_none() && now > worker.lease_until + wait;
            let occupied = worker.blocked || !worker.runs.is_empty();
            expired && worker.departure.is_none() && (silent || occupied)
        });
        let lost: Vec<_> = lost.map(|(number, _)| *number).collect();
        for number in lost {
            self.remove_worker(now, number, Removal::Lapsed);
        }
    }

    /// Gives up the long-running runs of workers that haven't got a lease of this leader before that of an
    /// earlier one has run out. Their other runs may be done; they are given up [`SEARCH_TIME`] later.
    fn expire_searching(&mut self, now: Time) {
        let workers = self.fleet.workers.iter();
        let searching = workers.filter(|(_, worker)| worker.searching && now > worker.lease_until);
        let searching: Vec<_> = searching.map(|(number, _)| *number).collect();
        for number in searching {
            self.lose_long_running(now, number);
        }
    }

    /// Gives up the runs of workers that have left: the long-running ones once their worker has exited,
    /// the others, which may be done, once its lease has run out.
    fn expire_departed(&mut self, now: Time) {
        let workers = self.fleet.workers.iter();
        let departed = workers.filter_map(|(number, worker)| Some((*number, worker.departure?)));
        let departed: Vec<_> = departed.collect();
        for (number, departure) in departed {
            if departure.lapsed <= now {
                self.remove_worker(now, number, Removal::Left);
            } else if departure.exited <= now {
                self.lose_long_running(now, number);
            }
        }
    }

    /// Gives up the long-running runs of a worker that has exited or whose lease has run out. They start
    /// again however they have ended.
    fn lose_long_running(&mut self, now: Time, number: WorkerNumber) {
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        let lost = worker.runs.iter().filter(|(_, view)| view.long_running);
        let lost: Vec<_> = lost.map(|(task, _)| *task).collect();
        for task in lost {
            let worker = self.fleet.workers.get_mut(&number);
            let Some(view) = worker.and_then(|worker| worker.remove(&task)) else { continue };
            if self.is_current(number, &task, view.run) {
                self.record_lost_run(now, task, view.run, view.checkpoint);
            }
        }
    }

    fn forget_jobs(&mut self, now: Time) {
        let jobs = self.retention.take_expired(now);
        if !jobs.is_empty() {
            self.record(now, Record::Forget { jobs });
        }
    }

    /// Schedules the removal of a job that has ended, or of its early cancellation.
    pub(super) fn schedule_forget(&mut self, now: Time, id: JobId) {
        self.retention.keep(id, now + self.timing.retain);
    }

    /// Removes an incarnation of a worker none of whose runs can still be executing.
    pub(super) fn remove_worker(&mut self, now: Time, number: WorkerNumber, removal: Removal) {
        let Some(worker) = self.fleet.remove(number) else { return };
        self.record_suspects(now, number, &worker, removal);
        self.pending_starts.remove(&number);
        if let Some(held) = worker.held {
            self.answers.push((held.ticket, Answer::Acknowledged));
        }
        let silent = now.since(worker.last_heartbeat).as_millis();
        self.log_events.push(LogEvent::Worker {
            name: worker.name.to_string(),
            state: removal.name(),
            silent_ms: u64::try_from(silent).unwrap_or(u64::MAX),
            runs: worker.runs.len(),
        });
        for (task, view) in worker.runs {
            if !self.is_current(number, &task, view.run) {
                continue;
            }
            if view.checkpoint.is_empty() {
                self.note_broken(&task);
            } else {
                self.record_lost_run(now, task, view.run, view.checkpoint);
            }
        }
        self.record(now, Record::RemoveWorker { worker: number });
    }

    /// Handles a worker's message that it leaves, including its last ends. Its other runs are given
    /// up later: its last heartbeat is sent on another connection and may still arrive.
    pub(super) fn handle_leave(
        &mut self,
        now: Time,
        ticket: Ticket,
        (name, incarnation): (&WorkerName, Option<Incarnation>),
        ended: &[Ended],
    ) {
        let number = self.fleet.find(name).filter(|number| {
            let worker = self.fleet.workers.get(number);
            worker.is_some_and(|worker| match incarnation {
                Some(incarnation) => incarnation == worker.incarnation,
                // It may be that of an earlier incarnation. A worker reports that it leaves before.
                None => worker.profile.as_ref().is_some_and(|profile| profile.leaves_at.is_some()),
            })
        });
        if let Some(number) = number {
            for ended in ended {
                self.process_end(now, number, ended);
            }
            self.log_leave(now, number);
            if let Some(worker) = self.fleet.workers.get_mut(&number) {
                let exited = now + EXIT_TIMEOUT;
                let lapsed = worker.lease_until.max(exited);
                worker.departure.get_or_insert(Departure { exited, lapsed });
            }
            if let Some(held) = self.fleet.release(number) {
                self.answers.push((held.ticket, Answer::Acknowledged));
            }
        }
        self.answers.push((ticket, Answer::Acknowledged));
    }
}

/// Removes the tasks of a job.
fn remove_job<T>(tasks: &mut BTreeMap<TaskKey, T>, id: JobId) {
    let removed: Vec<_> = tasks.range(id.tasks()).map(|(task, _)| *task).collect();
    for task in removed {
        tasks.remove(&task);
    }
}
