//! Workers that list room for a long-running task that has run before and waits.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use crate::{
    jobs::{
        controller::{LogEvent, leader::Leader, stranded::RestartedStep, unlisted::UnlistedStarts},
        fleet::Worker,
        model::WorkerNumber,
        obstacle::Obstacle,
        placement::may_run,
    },
    time::Time,
};

/// The maximum number of workers in a report.
const MAX_VACANT: usize = 8;

/// The workers that list room for a task, each with the smallest step that fits.
pub(super) type Vacancies<'a> = BTreeMap<WorkerNumber, RestartedStep<'a>>;

impl Leader {
    /// The workers that list room for a task of one of the steps. `steps` is in the order of
    /// [`Leader::restarted_steps`].
    pub(super) fn vacancies<'a>(&self, steps: &[RestartedStep<'a>]) -> Vacancies<'a> {
        let workers = self.fleet.present();
        let fitting = workers
            .filter_map(|(number, worker)| Some((number, self.fitting_step(worker, steps)?)));
        fitting.collect()
    }

    fn fitting_step<'a>(
        &self,
        worker: &Worker,
        steps: &[RestartedStep<'a>],
    ) -> Option<RestartedStep<'a>> {
        let room = worker.listed_room();
        let mut fitting = steps.iter().filter(|step| room.fits(step.needs()));
        fitting.find(|step| may_run(worker, &step.request)).copied()
    }

    /// Reports the workers that had room before and still have it: first those that stay, and among
    /// them those with the largest room.
    pub(super) fn report_vacancies(
        &self,
        now: Time,
        vacancies: &Vacancies<'_>,
        before: &BTreeSet<WorkerNumber>,
    ) -> Vec<LogEvent> {
        let lasting = vacancies.iter().filter(|(number, _)| before.contains(number));
        let mut lasting: Vec<_> = lasting
            .filter_map(|(number, step)| Some((self.fleet.workers.get(number)?, step)))
            .collect();
        lasting.sort_by_key(|(worker, step)| {
            (worker.is_leaving(), Reverse(worker.listed_room().covered_percent(step.needs())))
        });
        let reported = lasting.into_iter().take(MAX_VACANT);
        reported.map(|(worker, step)| self.vacant(now, worker, step)).collect()
    }

    fn vacant(&self, now: Time, worker: &Worker, step: &RestartedStep<'_>) -> LogEvent {
        let avoided = worker.health.avoid_until.filter(|until| now < *until);
        let unlisted = UnlistedStarts::of(worker, now);
        LogEvent::Vacant {
            worker: worker.name.to_string(),
            listed: worker.listed_room(),
            free: worker.free(),
            step: step.request.key.to_string(),
            needs: *step.needs(),
            obstacle: Obstacle::of(worker, now, &step.request).name(),
            avoided: avoided.map(|until| now.until(until)),
            unlisted: unlisted.count,
            oldest: unlisted.oldest.map(|(_, _, age)| age).unwrap_or_default(),
        }
    }
}
