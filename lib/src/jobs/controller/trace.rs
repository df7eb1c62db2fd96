//! Trial.

use crate::{
    jobs::{controller::{LogEvent, leader::Leader}, obstacle::Obstacle, placement::may_run},
    time::Time,
};

impl Leader {
    pub(super) fn trace(&mut self, now: Time) {
        let mut steps = self.restarted_steps(now);
        steps.retain(|step| step.waited.as_millis() >= 2500);
        let mut lines = Vec::new();
        if self.wall.0 % 1500 < 100 {
            let list: Vec<_> = steps.iter().take(25).map(|step| format!("{}x{}:{}/{}{}", step.request.key, step.tasks, step.needs().millicores, step.needs().memory_mib, if step.request.step.spread.is_some() { "s" } else { "" })).collect();
            lines.push(format!("waiting steps {} tasks {}: {}", steps.len(), steps.iter().map(|step| step.tasks).sum::<usize>(), list.join(" ")));
        }
        for (number, worker) in &self.fleet.workers {
            if worker.is_leaving() || worker.profile.is_none() { continue }
            let room = worker.listed_room();
            let Some(step) = steps.iter().find(|step| room.fits(step.needs()) && may_run(worker, &step.request)) else { continue };
            let unlisted: Vec<_> = worker.runs.iter().filter(|(_, view)| !view.listed).map(|(task, view)| format!("{task}r{} {}ms sent={} long={} {}/{}", view.run.0, now.since(view.since).as_millis(), view.sent, view.long_running, view.reserved.millicores, view.reserved.memory_mib)).collect();
            lines.push(format!("room on {} #{}: {} {}/{} listed {}/{} books {}/{} obstacle {} avoid {:?} held {} hb {}ms runs {} stopping {} unlisted [{}]",
                worker.name, number.0, step.request.key, step.needs().millicores, step.needs().memory_mib, room.millicores, room.memory_mib, worker.free().millicores, worker.free().memory_mib,
                Obstacle::of(worker, now, &step.request).name(), worker.health.avoid_until.map(|until| if until > now { now.until(until).as_millis() } else { 0 }), worker.held.is_some(), now.since(worker.last_heartbeat).as_millis(),
                worker.runs.len(), worker.runs.values().filter(|v| v.stopping).count(), unlisted.join("; ")));
        }
        for text in lines { self.log_events.push(LogEvent::Trace { text }); }
    }
}
