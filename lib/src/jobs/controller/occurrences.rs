//! Occurrences of repeated jobs, which begin when they are due.

use crate::jobs::{controller::leader::Leader, model::JobId};

impl Leader {
    /// Admits a job and schedules its next occurrence.
    pub(super) fn admit_job(&mut self, id: JobId) {
        let Some(job) = self.state.jobs.get(&id) else { return };
        let spec = job.spec.clone();
        if spec.schedule.is_none() {
            return self.unqueued.push(id, 0);
        }
        let begun: Vec<u32> = job.occurrences.keys().copied().collect();
        for occurrence in begun {
            self.unqueued.push(id, occurrence);
        }
        let first = self.state.jobs.get(&id).map_or(0, |job| {
            (0..spec.occurrences())
                .find(|occurrence| !job.occurrences.contains_key(occurrence))
                .unwrap_or(u32::MAX)
        });
        self.schedule_occurrence(id, first);
    }

    /// Schedules an occurrence for its due time.
    fn schedule_occurrence(&mut self, id: JobId, occurrence: u32) {
        let Some(job) = self.state.jobs.get(&id) else { return };
        if occurrence < job.spec.occurrences()
            && let Some(due) = job.spec.due(occurrence)
        {
            self.upcoming.insert((due, id, occurrence));
        }
    }

    /// Admits the occurrences that are due.
    pub(super) fn start_due_occurrences(&mut self) {
        let mut blocked = Vec::new();
        while let Some(next) = self.upcoming.first().copied().filter(|(due, ..)| *due <= self.wall)
        {
            self.upcoming.pop_first();
            let (_, id, occurrence) = next;
            if self.state.jobs.get(&id).is_some_and(|job| !job.may_begin(occurrence)) {
                blocked.push(next);
                continue;
            }
            self.unqueued.push(id, occurrence);
            self.schedule_occurrence(id, occurrence + 1);
        }
        self.upcoming.extend(blocked);
    }
}
