//! Moves runs away from a worker that is slow.

use crate::{
    jobs::{
        controller::{LogEvent, leader::Leader},
        lifecycle::TaskPhase,
        model::{StepKey, TaskKey, WorkerNumber},
        placement::{Request, SpeedRequirement, choose_worker},
        pool::{Candidates, Pool},
    },
    time::Time,
};

impl Leader {
    /// Stops runs on a slow worker that can continue elsewhere: opportunistic tasks with
    /// checkpoints, and serving tasks above their target, as many as their steps allow to be
    /// disrupted at the same time and as long as another worker has room. The first time in a row
    /// is logged.
    pub(super) fn relocate(&mut self, now: Time, number: WorkerNumber, was_slow: bool) {
        let Some(worker) = self.fleet.workers.get_mut(&number) else { return };
        if !was_slow {
            let (name, runs) = (worker.name.to_string(), worker.runs.len());
            self.log_events.push(LogEvent::Worker { name, state: "is slow", silent_ms: 0, runs });
        }
        for view in worker.runs.values_mut() {
            view.stopping |= view.listed && view.checkpoints && view.is_opportunistic();
        }
        let over = worker.runs.iter().filter(|(_, view)| view.over_since.is_some());
        let over: Vec<TaskKey> =
            over.filter(|(_, view)| !view.stopping).map(|(task, _)| *task).collect();
        if over.is_empty() {
            return;
        }
        let pool = Pool::all(&self.fleet, now, Candidates::Live);
        for task in over {
            if !self.may_move(&pool, &task.step_key()) {
                continue;
            }
            let worker = self.fleet.workers.get_mut(&number);
            if let Some(view) = worker.and_then(|worker| worker.runs.get_mut(&task)) {
                view.stopping = true;
            }
        }
    }

    /// Whether another worker has room for a task of the step, and the step allows a further task to
    /// be disrupted. The slow worker itself is no candidate.
    fn may_move(&self, pool: &Pool, key: &StepKey) -> bool {
        self.may_disrupt(key) && self.destination(pool, key).is_some()
    }

    /// Whether the step allows a further task to be disrupted.
    pub(super) fn may_disrupt(&self, key: &StepKey) -> bool {
        let step = self.state.step(key);
        step.is_some_and(|step| self.disrupted(key) < step.options.disruptable)
    }

    /// The best worker of the pool for a task of the step.
    pub(super) fn destination(&self, pool: &Pool, key: &StepKey) -> Option<WorkerNumber> {
        choose_worker(&self.fleet, pool, &self.request(key)?, &mut 0)
    }

    /// A request to place any task of the step at full speed.
    pub(super) fn request(&self, key: &StepKey) -> Option<Request<'_>> {
        let job = self.state.jobs.get(&key.job)?;
        let queue = self.state.queue_of(job)?;
        let step = job.spec.steps.get(usize::from(key.step))?;
        let (service, interference) = (&queue.service, &self.interference);
        let speed = SpeedRequirement::FullSpeed;
        Some(Request {
            service,
            step,
            key: *key,
            avoid: &[],
            interference,
            speed,
            probation: false,
        })
    }

    /// The number of a step's tasks that aren't at work.
    fn disrupted(&self, key: &StepKey) -> u32 {
        let Some(progress) = self.state.progress(key) else { return u32::MAX };
        let away = (0..).zip(&progress.tasks).filter(|(index, task)| {
            let worker = self.fleet.workers.get(&task.worker);
            let view = worker.and_then(|worker| worker.runs.get(&key.task(*index)));
            let at_work = view.is_some_and(|view| view.run == task.run && view.is_at_work());
            task.phase != TaskPhase::Running || !at_work
        });
        u32::try_from(away.count()).unwrap_or(u32::MAX)
    }
}
