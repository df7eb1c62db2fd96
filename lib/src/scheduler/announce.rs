//! Handles the announcements of workers and the task reports in them.

use std::time::Duration;

use crate::{
    ids::{Epoch, Fence, TaskAttempt, TaskId},
    resources::Resources,
    scheduler::{
        Scheduler,
        attempt::EventData,
        charts::{Health, HealthEvent, Phase, PhaseEvent},
        index::WorkerSlot,
        port::Effect,
    },
    task::EvictionReason,
    time::Time,
    transit::Arrival,
    worker::{Announcement, AttemptState, LeaseAnswer, WorkerCommand},
};

/// The largest number of attempts that a worker may report at a time.
const MAX_ATTEMPTS: usize = 10_000;
/// The largest number of workers in a data centre.
const MAX_WORKERS: usize = 65_536;
/// The largest number of samples read from one announcement.
const MAX_SAMPLES: usize = 4_096;
/// How soon a worker announces itself again after an announcement that was late.
const LATE_INTERVAL: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Handles an announcement and answers it.
    pub(super) fn announced(
        &mut self,
        now: Time,
        ticket: u64,
        announcement: &Announcement,
        effects: &mut Vec<Effect>,
    ) {
        let answer = match self.validate(announcement) {
            Err(finding) => Err(finding),
            Ok(()) => Ok(self.apply_announcement(now, announcement, effects)),
        };
        effects.push(Effect::Answer { ticket, answer });
    }

    /// Checks an announcement, and returns the reason if it is invalid.
    fn validate(&self, announcement: &Announcement) -> Result<(), String> {
        let known = self.fleet.find(&announcement.worker).map(|slot| &self.fleet[slot]);
        if announcement.worker.as_str().is_empty() {
            return Err("the worker's name is empty".into());
        }
        if announcement.centre != self.config.centre {
            return Err(format!(
                "the worker is in data centre \"{}\"; this is \"{}\"",
                announcement.centre, self.config.centre
            ));
        }
        if announcement.address.is_empty() {
            return Err("the address for commands is empty".into());
        }
        if announcement.capacity.millicores == 0 || announcement.capacity.memory_mib == 0 {
            return Err("the capacity has no processors or no memory".into());
        }
        if !Resources::LARGEST_WORKER.fits(&announcement.capacity) {
            return Err("the capacity exceeds the largest allowed".into());
        }
        if announcement.tasks.len() > MAX_ATTEMPTS {
            return Err(format!("more than {MAX_ATTEMPTS} tasks are reported"));
        }
        if known.is_none() && self.fleet.len() >= MAX_WORKERS {
            return Err(format!("{MAX_WORKERS} workers are known already"));
        }
        if let Some(worker) = known
            && let Some(newest) = worker.incarnation
            && announcement.incarnation < newest
        {
            return Err(format!(
                "incarnation {} is older than {newest}, which was announced before",
                announcement.incarnation
            ));
        }
        Ok(())
    }

    fn apply_announcement(
        &mut self,
        now: Time,
        announcement: &Announcement,
        effects: &mut Vec<Effect>,
    ) -> LeaseAnswer {
        let epoch = self.leadership.renewal_epoch(now, &self.config);
        let Some(epoch) = epoch.filter(|epoch| announcement.epoch <= *epoch) else {
            return self.lease_denied();
        };
        let slot = self.fleet.slot(now, &announcement.worker);
        let known = self.fleet[slot].incarnation;
        let rebooted = known.is_some_and(|known| announcement.incarnation > known);
        if rebooted {
            self.reset_rebooted(now, slot, effects);
        }
        match self.fleet[slot].arrive(now, announcement) {
            Arrival::Late => return self.late_announcement(now, slot, announcement, effects),
            Arrival::Timely | Arrival::Unconfirmed => {}
        }
        let overdue = self.fleet[slot].health == Health::Suspect;
        self.update(now, slot, announcement);
        self.fleet[slot].leased_at = Some(now);
        if overdue {
            // The timer that is set may be the one for the expiry of the lease, which is later than
            // the next overdue check.
            self.fleet[slot].timer_set = false;
        }
        let acknowledged = self.apply_reports(now, slot, announcement, rebooted, epoch, effects);
        self.step_worker(now, slot, HealthEvent::Announced, effects);
        self.arm_worker_timer(now, slot);
        for sample in announcement.samples.iter().take(MAX_SAMPLES) {
            self.sampled(now, slot, sample);
        }
        self.evict_overcommitted(now, slot, effects);
        LeaseAnswer {
            epoch,
            fence: self.fleet[slot].fence,
            lease: Some(self.config.lease),
            holder: None,
            interval: self.config.announce_interval,
            acknowledged,
        }
    }

    /// Handles an announcement whose answer comes too late. The ends that it reports count, but it
    /// doesn't show that the worker is still up.
    fn late_announcement(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        announcement: &Announcement,
        effects: &mut Vec<Effect>,
    ) -> LeaseAnswer {
        for report in
            announcement.tasks.iter().filter(|report| report.state != AttemptState::Running)
        {
            if self.is_current(report.attempt, slot) {
                self.apply_report(now, slot, report.attempt, &report.state, effects);
            }
        }
        LeaseAnswer { interval: LATE_INTERVAL, ..self.lease_denied() }
    }

    fn lease_denied(&self) -> LeaseAnswer {
        LeaseAnswer {
            epoch: self.leadership.epoch.unwrap_or_default(),
            fence: Fence::default(),
            lease: None,
            holder: None,
            interval: self.config.announce_interval,
            acknowledged: Vec::new(),
        }
    }

    /// Handles a reboot: commands sent to the previous boot must not take effect on this one.
    fn reset_rebooted(&mut self, now: Time, slot: WorkerSlot, effects: &mut Vec<Effect>) {
        self.step_worker(now, slot, HealthEvent::Reset, effects);
        self.fleet.raise_fence(slot);
        let worker = &mut self.fleet[slot];
        worker.leaving = false;
        worker.growing_since = None;
        worker.transit = None;
    }

    fn update(&mut self, now: Time, slot: WorkerSlot, announcement: &Announcement) {
        let worker = &self.fleet[slot];
        // The capacity of a new boot, or of a worker that is new to this instance, is taken as
        // announced.
        let capacity = match Some(announcement.incarnation) > worker.incarnation {
            true => announcement.capacity,
            false => self.effective_capacity(now, slot, &announcement.capacity),
        };
        if capacity != self.fleet[slot].capacity {
            self.fleet.resize(slot, &capacity);
            self.quota.total = self.fleet.total;
        }
        let before = self.fleet[slot].rack;
        self.fleet.set_rack(slot, &announcement.rack);
        self.move_replicas(slot, before);
        let worker = &mut self.fleet[slot];
        worker.incarnation = Some(announcement.incarnation);
        worker.epoch = worker.epoch.max(Some(announcement.epoch));
        // A delayed announcement from before the worker was leaving must not make it schedulable
        // again.
        worker.leaving |= announcement.leaving;
        worker.last_heard = now;
        if worker.address != announcement.address {
            worker.address.clone_from(&announcement.address);
        }
    }

    /// The capacity to schedule against. A decrease applies at once. An increase applies only when
    /// every announcement has carried it for as long as a delayed one may be in flight.
    fn effective_capacity(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        announced: &Resources,
    ) -> Resources {
        let worker = &mut self.fleet[slot];
        let current = worker.capacity;
        let least = Resources {
            millicores: current.millicores.min(announced.millicores),
            memory_mib: current.memory_mib.min(announced.memory_mib),
            accelerators: current.accelerators.min(announced.accelerators),
        };
        if least != current || *announced == current {
            worker.growing_since = None;
            return least;
        }
        let since = *worker.growing_since.get_or_insert(now);
        if now.since(since) < self.config.lease_expiry() {
            return current;
        }
        worker.growing_since = None;
        *announced
    }

    fn move_replicas(&mut self, slot: WorkerSlot, before: usize) {
        let after = self.fleet[slot].rack;
        if before == after {
            return;
        }
        for id in self.tasks_on(slot) {
            let Some(task) = self.tasks.get(id) else { continue };
            if let Some(service) = &task.open.spec.service {
                self.spread.remove(service, before);
                self.spread.add(service, after);
            }
        }
    }

    /// Applies a worker's task reports, and returns the attempts that it need not report again.
    fn apply_reports(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        announcement: &Announcement,
        rebooted: bool,
        epoch: Epoch,
        effects: &mut Vec<Effect>,
    ) -> Vec<TaskAttempt> {
        let mut acknowledged = Vec::new();
        self.fleet[slot].announcements += 1;
        let (current, held) = (self.fleet[slot].announcements, self.fleet[slot].allocations.len());
        let mut listed = 0;
        for report in &announcement.tasks {
            let allocation = self.fleet[slot].mark_listed(report.attempt);
            listed +=
                usize::from(allocation.is_some_and(|allocation| allocation.listed_in != current));
            if report.state == AttemptState::Running
                && allocation.is_some_and(|allocation| allocation.steady)
            {
                continue;
            }
            if self.is_current(report.attempt, slot) {
                self.apply_report(now, slot, report.attempt, &report.state, effects);
            } else {
                self.handle_stale(now, slot, report.attempt, &report.state, &mut acknowledged);
            }
        }
        let on_epoch = announcement.epoch == epoch;
        if on_epoch {
            self.confirm_presumed_stops(slot);
        }
        if listed < held {
            self.handle_unlisted(now, slot, rebooted, on_epoch, effects);
        }
        acknowledged
    }

    /// Handles attempts that hold resources on a worker but aren't in its announcement.
    fn handle_unlisted(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        rebooted: bool,
        on_epoch: bool,
        effects: &mut Vec<Effect>,
    ) {
        for id in self.fleet[slot].unlisted() {
            let Some((_, phase)) = self.phase_of(id) else { continue };
            // A worker that has accepted this epoch drops start commands of earlier ones.
            let event = match phase == Phase::Inherited {
                true if on_epoch => PhaseEvent::Lost,
                false if rebooted => PhaseEvent::Lost,
                true | false => PhaseEvent::Unlisted,
            };
            // It is started once it fits or evicted to make room.
            let on_its_way = event == PhaseEvent::Unlisted && phase == Phase::Starting;
            if on_its_way && self.fleet[slot].overcommitted() && self.is_evictable(id) {
                continue;
            }
            self.step_attempt(now, id, event, EventData::None, effects);
        }
    }

    fn apply_report(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        attempt: TaskAttempt,
        state: &AttemptState,
        effects: &mut Vec<Effect>,
    ) {
        let id = attempt.task;
        let held = self.tasks.active(attempt).is_some_and(|(_, current)| {
            current.holds_resources() && current.phase != Phase::Recording
        });
        let event = match state {
            AttemptState::Running => PhaseEvent::ReportedRunning,
            AttemptState::Completed { .. } => PhaseEvent::Completed,
            AttemptState::Failed { .. } => PhaseEvent::Failed,
            AttemptState::Stopped { .. } => PhaseEvent::Stopped,
            AttemptState::NotStarted { .. } => PhaseEvent::NotStarted,
        };
        self.step_attempt(now, id, event, EventData::Report(state), effects);
        if !held {
            return;
        }
        match state {
            AttemptState::Completed { .. } => self.record_outcome(now, slot, id, false, effects),
            AttemptState::Failed { .. } | AttemptState::NotStarted { .. } => {
                self.record_outcome(now, slot, id, true, effects);
            }
            AttemptState::Running | AttemptState::Stopped { .. } => {}
        }
    }

    /// Counts an attempt's outcome in the statistics of its worker and its kind.
    fn record_outcome(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        id: TaskId,
        failed: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        match (failed, task.current()) {
            (true, _) => task.failed_on = Some(slot),
            (false, Some(current)) => {
                self.estimates.completed(task.kind, now.since(current.placed));
            }
            (false, None) => {}
        }
        self.kinds.record_outcome(&mut self.fleet[slot].outcomes, task.kind, failed);
        let event = if failed { HealthEvent::Failure } else { HealthEvent::Success };
        self.step_worker(now, slot, event, effects);
    }

    /// Handles a report of an attempt that isn't its task's current one on this worker.
    fn handle_stale(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        attempt: TaskAttempt,
        state: &AttemptState,
        acknowledged: &mut Vec<TaskAttempt>,
    ) {
        if !self.leadership.settled(now, &self.config) {
            return;
        }
        match state {
            AttemptState::Running => {
                let stop = WorkerCommand::Stop { attempt, grace: self.config.stop_grace };
                self.send(slot, stop);
            }
            AttemptState::Completed { .. }
            | AttemptState::Failed { .. }
            | AttemptState::Stopped { .. }
            | AttemptState::NotStarted { .. } => acknowledged.push(attempt),
        }
    }

    /// Evicts attempts until the rest fits the worker's capacity.
    fn evict_overcommitted(&mut self, now: Time, slot: WorkerSlot, effects: &mut Vec<Effect>) {
        if !self.fleet[slot].overcommitted() {
            return;
        }
        self.fleet.index.remove(slot);
        let over = self.fleet[slot].committed.saturating_sub(&self.fleet[slot].capacity);
        for id in self.overcommit_victims(now, slot, &over) {
            let data = EventData::Evict(EvictionReason::Preemption);
            self.step_attempt(now, id, PhaseEvent::Evict, data, effects);
        }
    }
}
