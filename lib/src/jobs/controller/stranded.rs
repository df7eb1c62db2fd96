//! Long-running tasks that have run before and wait, and what keeps the workers from running them.

use std::collections::BTreeMap;

use crate::{
    ids::ServiceName,
    jobs::{
        controller::{LogEvent, leader::Leader},
        fleet::Worker,
        model::{Step, StepKey},
        obstacle::{Obstacle, ObstacleGroup},
        pace::Interference,
        placement::{Request, SpeedRequirement, may_run},
        rank::Class,
        waiting::WaitingStep,
    },
    time::Time,
};

/// How long a step must have waited to be reported, in milliseconds.
const STRANDED_MS: u64 = 3000;

/// A step with long-running tasks that wait and of which at least one has run before.
#[derive(Clone, Copy, Debug)]
pub(super) struct RestartedStep<'a> {
    /// The key of the step.
    pub(super) key: StepKey,
    /// The step as submitted.
    pub(super) step: &'a Step,
    /// The service whose workers may run its tasks.
    pub(super) service: &'a ServiceName,
    /// The number of tasks that wait.
    pub(super) tasks: usize,
    /// The number of these that may have crashed a worker.
    pub(super) suspects: usize,
    /// For how long it has waited, in milliseconds.
    pub(super) waited_ms: u64,
}

impl RestartedStep<'_> {
    /// Whether it has waited for long.
    pub(super) fn is_stranded(&self) -> bool {
        self.waited_ms >= STRANDED_MS
    }

    /// A request to place one of its tasks.
    pub(super) fn request<'a>(&'a self, interference: &'a Interference) -> Request<'a> {
        Request {
            service: self.service,
            step: self.step,
            key: self.key,
            avoid: &[],
            interference,
            speed: SpeedRequirement::FullSpeed,
            probation: false,
        }
    }
}

impl Leader {
    /// The steps with long-running tasks that have run before and wait; the smallest tasks come first.
    pub(super) fn restarted_steps(&self) -> Vec<RestartedStep<'_>> {
        let restarted = self.waiting.of_class(Class::Restarted);
        let mut steps: Vec<_> = restarted.filter_map(|step| self.restarted_step(step)).collect();
        steps.sort_by_key(|step| (step.step.needs.millicores, step.step.needs.memory_mib));
        steps
    }

    fn restarted_step(&self, waiting: &WaitingStep) -> Option<RestartedStep<'_>> {
        let key = waiting.key;
        let job = self.state.jobs.get(&key.job)?;
        let service = &self.state.queue_of(job)?.service;
        let step = job.spec.steps.get(usize::from(key.step))?;
        let tasks = self.waiting_tasks(&key, step);
        let suspects = tasks.iter().filter(|index| self.is_suspect(&key.task(**index))).count();
        let waited_ms = self.wall.0.saturating_sub(waiting.since.0);
        Some(RestartedStep { key, step, service, tasks: tasks.len(), suspects, waited_ms })
    }

    /// Reports the step that has waited longest, the smallest tasks of all steps, and what keeps the
    /// workers from running them. `steps` is in the order of [`Leader::restarted_steps`].
    pub(super) fn stranded(&self, now: Time, steps: &[RestartedStep<'_>]) -> Option<LogEvent> {
        let smallest = steps.first()?;
        let longest = steps.iter().max_by_key(|step| step.waited_ms)?;
        let groups = self.group_workers(now, smallest, steps);
        Some(LogEvent::Stranded {
            step: longest.key.to_string(),
            tasks: longest.tasks,
            suspects: longest.suspects,
            waited_ms: longest.waited_ms,
            all_steps: steps.len(),
            all_tasks: steps.iter().map(|step| step.tasks).sum(),
            smallest: smallest.key.to_string(),
            needs: smallest.step.needs,
            workers: groups.into_iter().map(|(what, group)| (what.name(), group)).collect(),
        })
    }

    /// The workers by what keeps each of them from running the smallest task that it may run.
    fn group_workers(
        &self,
        now: Time,
        smallest: &RestartedStep<'_>,
        steps: &[RestartedStep<'_>],
    ) -> BTreeMap<Obstacle, ObstacleGroup> {
        let mut groups: BTreeMap<Obstacle, ObstacleGroup> = BTreeMap::new();
        for worker in self.fleet.workers.values() {
            let allowed = steps.iter().find(|step| self.allows(worker, step));
            let request = allowed.unwrap_or(smallest).request(&self.interference);
            let group = groups.entry(Obstacle::of(worker, now, &request)).or_default();
            group.add(worker, &smallest.step.needs);
        }
        groups
    }

    /// Whether the service, the labels and the spread allow a task of the step on a worker.
    pub(super) fn allows(&self, worker: &Worker, step: &RestartedStep<'_>) -> bool {
        may_run(worker, &step.request(&self.interference))
    }
}
