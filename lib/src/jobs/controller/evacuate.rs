//! Evacuation of data centres: nothing more is started on their workers, and what can continue elsewhere is
//! moved away as fast as other workers have room for it.
//!
//! A round of the drain stops a run only if it finds a worker for it. The rooms of the runs that were
//! stopped before and haven't started again count as taken, so that two rounds don't count on the same one.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::DataCentre,
    jobs::{
        call::OperatorReply,
        controller::{LogEvent, leader::Leader, relieve::Mobility},
        evacuation::{EvacuationOrder, is_valid_name},
        fleet::Worker,
        lifecycle::TaskPhase,
        model::{Run, StepKey, TaskKey, WorkerNumber},
        placement::{Unplaceable, choose_worker},
        pool::{Candidates, LIVE_TIMEOUT, Pool},
        state::State,
        waiting::Demand,
    },
    time::Time,
};

mod progress;

pub use self::progress::{CentreLoad, EvacuationState};

use self::progress::{COUNT_INTERVAL, LOG_INTERVAL, Progress};

/// The interval between two rounds of the drain.
const DRAIN_INTERVAL: Duration = Duration::from_millis(200);

/// How long the first round waits after an order. Several data centres are evacuated by several requests, and
/// what the first of them moved might have no place after the last one.
const ORDER_DELAY: Duration = Duration::from_secs(1);

/// The maximum number of runs that were stopped by the drain and haven't started again. The leader sends
/// starts at a limited rate, and a run that is stopped earlier than it can start again is away for longer.
const MAX_MOVES: usize = 128;

/// The work after which a round ends, in evaluated workers. The next one goes on with the next worker.
const MAX_WORK: usize = 20_000;

/// The work of looking at one run of an evacuated worker, in evaluated workers.
const WORK_PER_RUN: usize = 2;

/// The number of workers without room that are as much work to skip as one is to evaluate.
const SKIPPED_PER_EVALUATION: usize = 8;

/// A run that was stopped so that its task continues elsewhere.
#[derive(Clone, Copy, Debug)]
struct Move {
    run: Run,
    /// A worker that had room for it.
    destination: WorkerNumber,
}

/// The progress of all evacuations. None of this is replicated.
#[derive(Debug)]
pub(super) struct Drain {
    next_round: Time,
    next_count: Time,
    /// The worker that the next round begins with.
    next_worker: WorkerNumber,
    /// The runs that haven't ended or whose tasks haven't started again.
    moves: BTreeMap<TaskKey, Move>,
    centres: BTreeMap<DataCentre, Progress>,
}

impl Drain {
    /// The drain of a leader that has just begun to lead.
    pub(super) fn new(now: Time) -> Self {
        Self {
            next_round: now + ORDER_DELAY,
            next_count: now + COUNT_INTERVAL,
            next_worker: WorkerNumber::default(),
            moves: BTreeMap::new(),
            centres: BTreeMap::new(),
        }
    }
}

/// The rooms that a round of the drain counts on.
#[derive(Debug)]
struct Plan {
    pool: Pool,
    unplaceable: Unplaceable,
    /// The tasks for which a room was found. They count as runs of these workers during the round.
    reserved: Vec<(TaskKey, WorkerNumber)>,
    /// The steps of which no further task can be moved in this round.
    staying: BTreeSet<StepKey>,
    work: usize,
}

impl Plan {
    fn new(pool: Pool) -> Self {
        let (unplaceable, reserved) = (Unplaceable::default(), Vec::new());
        Self { pool, unplaceable, reserved, staying: BTreeSet::new(), work: 0 }
    }

    fn is_exhausted(&self) -> bool {
        self.work >= MAX_WORK
    }
}

impl Leader {
    /// The reply to an order that is refused; `None` if it is accepted. An order that was accepted before
    /// is accepted again. `centres` are the known data centres; empty if they aren't known.
    pub(super) fn evacuation_refusal(
        &self,
        order: &EvacuationOrder,
        centres: &[DataCentre],
    ) -> Option<OperatorReply> {
        let (centre, evacuations) = (order.centre(), &self.state.evacuations);
        if evacuations.contains(centre) {
            return None;
        }
        let known = if centres.is_empty() {
            is_valid_name(centre.as_str())
        } else {
            centres.contains(centre)
        };
        if !known {
            return Some(OperatorReply::NoCentre);
        }
        match order {
            EvacuationOrder::Begin { .. } if evacuations.is_full() => {
                Some(OperatorReply::TooManyCentres)
            }
            EvacuationOrder::Begin { .. } | EvacuationOrder::Cancel { .. } => None,
        }
    }

    /// Applies an order to the working copy and adds it to the next proposal, unless it changes nothing.
    pub(super) fn order_evacuation(&mut self, now: Time, order: &EvacuationOrder) {
        if !self.state.evacuations.apply(order) {
            return;
        }
        self.orders.push(order.clone());
        let (centre, evacuated) = (order.centre(), matches!(order, EvacuationOrder::Begin { .. }));
        let mut load = CentreLoad::default();
        let mut numbers = Vec::new();
        for (number, worker) in &mut self.fleet.workers {
            if worker.profile.as_ref().is_some_and(|profile| profile.centre == *centre) {
                worker.evacuated = evacuated;
                load.add(worker);
                numbers.push(*number);
            }
        }
        let state = if evacuated {
            self.withdraw_unsent(now, &numbers);
            // Starts that were lost on the way to their worker aren't sent again.
            for number in &numbers {
                self.pending_starts.remove(number);
            }
            let progress = Progress { load, next_log: now + LOG_INTERVAL, complete: false };
            self.drain.centres.insert(centre.clone(), progress);
            EvacuationState::Begun
        } else {
            self.drain.centres.remove(centre);
            // All steps are tried on all workers again, in this turn.
            self.waiting.retry_all();
            self.search_ended = false;
            EvacuationState::Cancelled
        };
        self.drain.next_round = now + ORDER_DELAY;
        self.log_events.push(LogEvent::Evacuation { centre: centre.clone(), state, left: load });
    }

    /// Withdraws the starts that weren't sent to these workers. Others are withdrawn once their worker has
    /// shown that it hasn't received them.
    fn withdraw_unsent(&mut self, now: Time, numbers: &[WorkerNumber]) {
        let mut gangs = BTreeSet::new();
        for number in numbers {
            let Some(worker) = self.fleet.workers.get(number) else { continue };
            let unsent = worker.runs.iter().filter(|(_, view)| !view.sent);
            let unsent: Vec<_> = unsent.map(|(task, _)| *task).collect();
            for task in unsent {
                let key = task.step_key();
                if self.state.step(&key).is_some_and(|step| step.options.gang) {
                    gangs.insert(key);
                }
                self.withdraw_start(now, *number, &task);
            }
        }
        for gang in &gangs {
            self.stop_gang(now, gang);
        }
    }

    /// Stops runs in evacuated data centres that can continue on other workers, at most once per
    /// `DRAIN_INTERVAL`.
    pub(super) fn drain_centres(&mut self, now: Time) {
        if self.state.evacuations.is_empty() {
            self.drain.moves.clear();
            return;
        }
        if self.drain.next_count <= now {
            self.drain.next_count = now + COUNT_INTERVAL;
            self.count_left(now);
        }
        if now < self.drain.next_round {
            return;
        }
        self.drain.next_round = now + DRAIN_INTERVAL;
        let mut plan = Plan::new(Pool::all(&self.fleet, now, Candidates::Live));
        if !plan.pool.is_empty() {
            self.renew_moves(now, &mut plan);
            self.drain_workers(now, &mut plan);
            self.release(&mut plan, 0);
        }
        self.work.evaluated += plan.work;
    }

    /// Takes the rooms for the runs that were stopped in earlier rounds. One whose task waits and has no
    /// room any more waits like any other.
    fn renew_moves(&mut self, now: Time, plan: &mut Plan) {
        let moves = std::mem::take(&mut self.drain.moves);
        for (task, old) in moves {
            let Some(phase) = phase_of(&self.state, &task, old.run) else { continue };
            // A member of a gang that starts again where it still runs.
            let own = phase == TaskPhase::Running
                && self.state.task(&task).is_some_and(|task| task.worker == old.destination);
            if own {
                self.drain.moves.insert(task, old);
                continue;
            }
            let reserved = if self.reserve(now, &task, old.destination, plan) {
                Some(old.destination)
            } else {
                self.find_room(now, &task, plan)
            };
            if reserved.is_none() && phase == TaskPhase::Waiting && !plan.is_exhausted() {
                continue;
            }
            let destination = reserved.unwrap_or(old.destination);
            self.drain.moves.insert(task, Move { destination, ..old });
        }
    }

    /// Moves runs away from the evacuated workers that are heard, beginning where the last round ended.
    fn drain_workers(&mut self, now: Time, plan: &mut Plan) {
        let next = self.drain.next_worker;
        let (workers, first) = (&self.fleet.workers, self.fleet.workers.range(..next));
        let numbers = workers.range(next..).chain(first).filter(|(_, worker)| {
            worker.evacuated && !worker.is_leaving() && is_heard(worker, now)
        });
        let numbers: Vec<_> = numbers.map(|(number, _)| *number).collect();
        for number in numbers {
            if plan.is_exhausted() || self.drain.moves.len() >= MAX_MOVES {
                self.drain.next_worker = number;
                return;
            }
            self.drain_gangs(now, number, plan);
            self.drain_runs(now, number, plan);
        }
    }

    fn drain_runs(&mut self, now: Time, number: WorkerNumber, plan: &mut Plan) {
        let runs = self.fleet.workers.get(&number).map_or(0, |worker| worker.runs.len());
        plan.work += runs * WORK_PER_RUN;
        for (mobility, task) in self.movable_runs(number) {
            if plan.is_exhausted() || self.drain.moves.len() >= MAX_MOVES {
                return;
            }
            let key = task.step_key();
            // A suspect starts elsewhere only after a delay or alone on a worker.
            if plan.staying.contains(&key) || self.is_suspect(&task) {
                continue;
            }
            let long_running = mobility == Mobility::LongRunning;
            if long_running {
                plan.work += self.state.progress(&key).map_or(0, |progress| progress.tasks.len());
            }
            let allowed = !long_running || self.may_disrupt(&key);
            let room = if allowed { self.find_room(now, &task, plan) } else { None };
            match room {
                Some(destination) => self.move_run(number, task, destination),
                None => drop(plan.staying.insert(key)),
            }
        }
    }

    /// Moves the gangs with a member on the worker that run until their job is cancelled.
    fn drain_gangs(&mut self, now: Time, number: WorkerNumber, plan: &mut Plan) {
        let runs = self.fleet.workers.get(&number).into_iter().flat_map(|worker| &worker.runs);
        let keys = runs.filter(|(_, view)| view.long_running).map(|(task, _)| task.step_key());
        let keys: BTreeSet<_> = keys.collect();
        let gangs = keys.into_iter().filter(|key| {
            let gang = self.state.step(key).is_some_and(|step| step.options.gang);
            gang && !plan.staying.contains(key)
        });
        let gangs: Vec<_> = gangs.collect();
        for key in gangs {
            if plan.is_exhausted() || self.drain.moves.len() >= MAX_MOVES {
                return;
            }
            plan.staying.insert(key);
            self.move_gang(now, &key, plan);
        }
    }

    /// Stops all members of a gang if there is room for all of them: those outside the evacuated data
    /// centres start again where they are.
    fn move_gang(&mut self, now: Time, key: &StepKey, plan: &mut Plan) {
        let Some(progress) = self.state.progress(key) else { return };
        plan.work += progress.tasks.len();
        let members = (0..).zip(&progress.tasks).map(|(index, task)| (key.task(index), task));
        let mut workers = Vec::new();
        for (task, recorded) in members {
            let worker = self.fleet.workers.get(&recorded.worker);
            let Some(worker) = worker.filter(|worker| is_heard(worker, now)) else { return };
            let listed = worker.runs.get(&task).is_some_and(|view| {
                view.run == recorded.run && view.listed && !view.missing && !view.stopping
            });
            if recorded.phase != TaskPhase::Running || !listed || self.is_suspect(&task) {
                return;
            }
            workers.push((task, recorded.worker, worker.is_usable(now)));
        }
        let before = plan.reserved.len();
        let mut places = Vec::new();
        for (task, number, keeps_room) in workers {
            let destination =
                if keeps_room { Some(number) } else { self.find_room(now, &task, plan) };
            let Some(destination) = destination else { return self.release(plan, before) };
            places.push((task, number, destination));
        }
        for (task, number, destination) in places {
            self.move_run(number, task, destination);
        }
    }

    /// Stops a run so that its task continues elsewhere.
    fn move_run(&mut self, number: WorkerNumber, task: TaskKey, destination: WorkerNumber) {
        let worker = self.fleet.workers.get_mut(&number);
        let Some(view) = worker.and_then(|worker| worker.runs.get_mut(&task)) else { return };
        view.stopping = true;
        self.drain.moves.insert(task, Move { run: view.run, destination });
        self.changed.insert(number);
    }

    /// Finds a worker with room for the task and takes the room.
    fn find_room(&mut self, now: Time, task: &TaskKey, plan: &mut Plan) -> Option<WorkerNumber> {
        let request = self.request(&task.step_key())?;
        let impossible = !plan.pool.may_fit(&Demand::new(request.step));
        if impossible || plan.is_exhausted() || plan.unplaceable.covers(&request) {
            return None;
        }
        plan.work += plan.pool.len() / SKIPPED_PER_EVALUATION;
        let found = choose_worker(&self.fleet, &plan.pool, &request, &mut plan.work);
        let Some(number) = found else {
            plan.unplaceable.add(&request);
            plan.pool.tighten();
            return None;
        };
        self.reserve(now, task, number, plan).then_some(number)
    }

    /// Takes the room for a task on a worker, if it has it: adds the task to its runs until
    /// [`Leader::release`], so that later searches see it.
    fn reserve(
        &mut self,
        now: Time,
        task: &TaskKey,
        number: WorkerNumber,
        plan: &mut Plan,
    ) -> bool {
        let Some(spec) = self.state.jobs.get(&task.job).map(|job| job.spec.clone()) else {
            return false;
        };
        let Some(step) = spec.steps.get(usize::from(task.step)) else { return false };
        let view = self.new_view(now, task, Run::default(), step);
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return false };
        // The worker may still list an older run of the task.
        if !plan.pool.has_room(number, &Demand::new(step)) || worker.runs.contains_key(task) {
            return false;
        }
        worker.add(*task, view);
        if step.options.opportunistic || step.serves() {
            self.interference.summarize(worker);
        }
        plan.pool.update(number, worker);
        plan.reserved.push((*task, number));
        true
    }

    /// Gives back the rooms that were taken after the first `keep`.
    fn release(&mut self, plan: &mut Plan, keep: usize) {
        for (task, number) in plan.reserved.drain(keep..) {
            let Some(worker) = self.fleet.workers.get_mut(&number) else { continue };
            worker.remove(&task);
            self.interference.summarize(worker);
            plan.pool.update(number, worker);
        }
    }
}

/// The phase of a task whose run was stopped and that hasn't started again; `None` if it has, or if it needn't.
fn phase_of(state: &State, key: &TaskKey, run: Run) -> Option<TaskPhase> {
    state.jobs.get(&key.job).filter(|job| job.phase.is_open())?;
    let task = state.task(key).filter(|task| task.run == run)?;
    (task.phase != TaskPhase::Done).then_some(task.phase)
}

/// Whether the worker has sent a heartbeat recently. Others wouldn't receive a stop.
fn is_heard(worker: &Worker, now: Time) -> bool {
    worker.held.is_some() || now.since(worker.last_heartbeat) < LIVE_TIMEOUT
}
