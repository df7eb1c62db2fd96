//! Reports long-running tasks that wait for long although they have run before.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    jobs::{
        controller::{LogEvent, leader::Leader},
        obstacle::Obstacle,
        placement::{Request, SpeedRequirement},
        rank::Class,
        waiting::WaitingStep,
    },
    time::Time,
};

/// How long a step must have waited to be reported.
const STRANDED_TIMEOUT: Duration = Duration::from_secs(3);

/// The interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

impl Leader {
    /// Reports the step that has waited longest, with what keeps the workers from running its tasks.
    pub(super) fn report_stranded(&mut self, now: Time) {
        if now < self.next_stranded {
            return;
        }
        self.next_stranded = now + REPORT_INTERVAL;
        let restarted = self.waiting.of_class(Class::Restarted);
        let Some(step) = restarted.min_by_key(|step| step.since).copied() else { return };
        let waited = now.since(step.since);
        if waited < STRANDED_TIMEOUT {
            return;
        }
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        if let Some(event) = self.stranded(now, &step, waited_ms) {
            self.log_events.push(event);
        }
    }

    fn stranded(&self, now: Time, waiting: &WaitingStep, waited_ms: u64) -> Option<LogEvent> {
        let key = waiting.key;
        let job = self.state.jobs.get(&key.job)?;
        let service = &self.state.queue_of(job)?.service;
        let step = job.spec.steps.get(usize::from(key.step))?;
        let tasks = self.waiting_tasks(&key, step);
        let (interference, speed) = (&self.interference, SpeedRequirement::FullSpeed);
        let request =
            Request { service, step, key, avoid: &[], interference, speed, probation: false };
        let mut workers: BTreeMap<Obstacle, u32> = BTreeMap::new();
        for worker in self.fleet.workers.values() {
            *workers.entry(Obstacle::of(worker, now, &request)).or_default() += 1;
        }
        let suspects = tasks.iter().filter(|index| self.is_suspect(&key.task(**index))).count();
        Some(LogEvent::Stranded {
            step: key.to_string(),
            tasks: tasks.len(),
            suspects,
            waited_ms,
            workers: workers.into_iter().map(|(what, count)| (what.name(), count)).collect(),
        })
    }
}
