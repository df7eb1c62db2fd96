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

/// How long a step must have waited to be reported, in milliseconds.
const STRANDED_MS: u64 = 3000;

/// The interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

impl Leader {
    /// Reports the step that has waited longest, with what keeps the workers from running its tasks.
    pub(super) fn report_stranded(&mut self, now: Time) {
        if now < self.next_stranded {
            return;
        }
        self.next_stranded = now + REPORT_INTERVAL;
        self.trace(now);
        let restarted = self.waiting.of_class(Class::Restarted);
        let Some(step) = restarted.min_by_key(|step| step.since).copied() else { return };
        let waited_ms = self.wall.0.saturating_sub(step.since.0);
        if waited_ms < STRANDED_MS {
            return;
        }
        if let Some(event) = self.stranded(now, &step, waited_ms) {
            self.log_events.push(event);
        }
    }

    fn trace(&mut self, now: Time) {
        use crate::{jobs::{fleet::Worker, waiting::Demand, placement::may_run}, resources::Resources};
        let mut lines = Vec::new();
        if self.wall.0 % 3000 < 100 { lines.push(format!("ends {:?}", self.ends)); }
        let listed = |worker: &Worker| {
            let runs = worker.runs.values().filter(|view| view.listed);
            let orphans = worker.orphans.values().map(|orphan| orphan.reserved);
            let used = runs.map(|view| view.reserved).chain(orphans);
            worker.capacity().saturating_sub(&used.fold(Resources::ZERO, |sum, r| sum.saturating_add(&r)))
        };
        let steps: Vec<_> = self.waiting.of_class(Class::Restarted).copied().filter(|step| self.wall.0.saturating_sub(step.since.0) >= 2500).collect();
        let mut total = 0;
        let mut summary = String::new();
        for step in &steps {
            let spec = self.state.step(&step.key);
            let Some(spec) = spec else { continue };
            let n = self.waiting_tasks(&step.key, spec).len();
            total += n;
            let d = step.demand.reserved;
            summary += &format!(" {}x{}:{}/{}{}", step.key, n, d.millicores, d.memory_mib, if spec.spread.is_some() {"s"} else {""});
        }
        if self.wall.0 % 3000 < 100 { lines.push(format!("waiting steps {} tasks {}:{}", steps.len(), total, summary)); }
        for (number, worker) in &self.fleet.workers {
            if worker.is_leaving() || worker.profile.is_none() { continue }
            let room = listed(worker);
            for step in &steps {
                let WaitingStep { key, demand, .. } = step;
                let Some(job) = self.state.jobs.get(&key.job) else { continue };
                let Some(queue) = self.state.queue_of(job) else { continue };
                let Some(spec) = job.spec.steps.get(usize::from(key.step)) else { continue };
                let request = Request { service: &queue.service, step: spec, key: *key, avoid: &[], interference: &self.interference, speed: SpeedRequirement::FullSpeed, probation: false };
                let Demand { reserved, .. } = *demand;
                if !room.fits(&reserved) || !may_run(worker, &request) { continue }
                let twice = room.fits(&reserved.saturating_add(&reserved));
                let unlisted: Vec<_> = worker.runs.iter().filter(|(_, view)| !view.listed).map(|(task, view)| format!("{task}r{} {}ms sent={} long={} {}/{}", view.run.0, now.since(view.since).as_millis(), view.sent, view.long_running, view.reserved.millicores, view.reserved.memory_mib)).collect();
                lines.push(format!("room on {} #{}{}: {} listed {}/{} books {}/{} obstacle {} avoid {:?} held {} hb {}ms runs {} stopping {} orphans {} probation {} unlisted [{}]",
                    worker.name, number.0, if twice {" TWICE"} else {""}, key, room.millicores, room.memory_mib, worker.free().millicores, worker.free().memory_mib,
                    Obstacle::of(worker, now, &request).name(), worker.health.avoid_until.map(|until| if until > now { now.until(until).as_millis() } else { 0 }), worker.held.is_some(), now.since(worker.last_heartbeat).as_millis(),
                    worker.runs.len(), worker.runs.values().filter(|v| v.stopping).count(), worker.orphans.len(), worker.probation.is_some(), unlisted.join("; ")));
                break;
            }
        }
        for text in lines { self.log_events.push(LogEvent::Trace { text }); }
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
