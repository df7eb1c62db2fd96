//! Periodic reports on long-running tasks that wait although they have run before, and on starts that
//! their workers haven't listed.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    jobs::{
        controller::{leader::Leader, stranded::RestartedStep},
        model::WorkerNumber,
    },
    time::Time,
};

/// The interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The long-running tasks that have run before and wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestartBacklog {
    /// The number of tasks.
    pub tasks: usize,
    /// The longest time that one of their steps has waited.
    pub longest: Duration,
}

impl RestartBacklog {
    fn new(steps: &[RestartedStep<'_>]) -> Self {
        Self {
            tasks: steps.iter().map(|step| step.tasks).sum(),
            longest: steps.iter().map(|step| step.waited).max().unwrap_or_default(),
        }
    }
}

/// What is kept from one report to the next.
#[derive(Debug, Default)]
pub(super) struct WaitReports {
    /// When the next report is due.
    next: Time,
    /// What waited at the last report.
    backlog: RestartBacklog,
    /// The workers that listed room for a task that had waited for long.
    vacant: BTreeSet<WorkerNumber>,
}

impl Leader {
    /// The long-running tasks that had run before and waited at the last report.
    pub fn restart_backlog(&self) -> RestartBacklog {
        self.reports.backlog
    }

    /// Reports what waits, if a report is due.
    pub(super) fn report_waits(&mut self, now: Time) {
        if now < self.reports.next {
            return;
        }
        let mut steps = self.restarted_steps(now);
        let backlog = RestartBacklog::new(&steps);
        steps.retain(RestartedStep::is_stranded);
        let vacancies = self.vacancies(&steps);
        let mut events = self.report_vacancies(now, &vacancies, &self.reports.vacant);
        let vacant = vacancies.into_keys().collect();
        events.extend(self.stranded(now, &steps));
        events.extend(self.unlisted(now));
        self.log_events.append(&mut events);
        self.reports = WaitReports { next: now + REPORT_INTERVAL, backlog, vacant };
    }
}
