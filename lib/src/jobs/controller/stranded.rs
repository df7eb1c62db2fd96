//! Long-running tasks that have run before and wait, and what keeps the workers from running them.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    jobs::{
        controller::{LogEvent, leader::Leader},
        obstacle::{Obstacle, ObstacleGroup},
        placement::{Request, may_run},
        rank::Class,
        waiting::WaitingStep,
    },
    resources::Resources,
    time::Time,
};

/// How long a step must have waited to be reported.
const STRANDED_TIMEOUT: Duration = Duration::from_secs(3);

/// A step with long-running tasks that wait and of which at least one has run before.
#[derive(Clone, Copy, Debug)]
pub(super) struct RestartedStep<'a> {
    /// A request to place one of its tasks.
    pub(super) request: Request<'a>,
    /// The number of tasks that wait.
    pub(super) tasks: usize,
    /// The number of these that may have crashed a worker.
    pub(super) suspects: usize,
    /// For how long it has waited.
    pub(super) waited: Duration,
}

impl RestartedStep<'_> {
    /// Whether it has waited for long.
    pub(super) fn is_stranded(&self) -> bool {
        self.waited >= STRANDED_TIMEOUT
    }

    /// What one of its tasks needs.
    pub(super) fn needs(&self) -> &Resources {
        &self.request.step.needs
    }
}

impl Leader {
    /// The steps with long-running tasks that have run before and wait; the smallest tasks come first.
    pub(super) fn restarted_steps(&self, now: Time) -> Vec<RestartedStep<'_>> {
        let restarted = self.waiting.of_class(Class::Restarted);
        let mut steps: Vec<_> =
            restarted.filter_map(|step| self.restarted_step(now, &step)).collect();
        steps.sort_by_key(|step| (step.needs().millicores, step.needs().memory_mib));
        steps
    }

    fn restarted_step(&self, now: Time, waiting: &WaitingStep) -> Option<RestartedStep<'_>> {
        let key = waiting.key;
        let request = self.request(&key)?;
        let tasks = self.waiting_tasks(&key, request.step);
        let suspects = tasks.iter().filter(|index| self.is_suspect(&key.task(**index))).count();
        let waited = now.since(waiting.since);
        Some(RestartedStep { request, tasks: tasks.len(), suspects, waited })
    }

    /// Reports the step that has waited longest, the smallest tasks of all steps, and what keeps the
    /// workers from running them. `steps` is in the order of [`Leader::restarted_steps`].
    pub(super) fn stranded(&self, now: Time, steps: &[RestartedStep<'_>]) -> Option<LogEvent> {
        let smallest = steps.first()?;
        let longest = steps.iter().max_by_key(|step| step.waited)?;
        let groups = self.group_workers(now, smallest, steps);
        Some(LogEvent::Stranded {
            step: longest.request.key.to_string(),
            tasks: longest.tasks,
            suspects: longest.suspects,
            waited_ms: millis(longest.waited),
            all_steps: steps.len(),
            all_tasks: steps.iter().map(|step| step.tasks).sum(),
            smallest: smallest.request.key.to_string(),
            needs: *smallest.needs(),
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
        for (_, worker) in self.fleet.present() {
            let allowed = steps.iter().find(|step| may_run(worker, &step.request));
            let request = allowed.unwrap_or(smallest).request;
            let group = groups.entry(Obstacle::of(worker, now, &request)).or_default();
            group.add(worker, smallest.needs());
        }
        groups
    }
}

/// A duration in milliseconds.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
