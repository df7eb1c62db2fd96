//! What workers say of themselves and of the tries on them.

use crate::{
    ids::{Epoch, Fence, TaskAttempt, TaskId},
    resources::Resources,
    scheduler::{
        Scheduler,
        attempt::Cause,
        charts::{Health, HealthEvent, Phase, PhaseEvent},
        index::WorkerSlot,
        port::Effect,
    },
    task::EvictionReason,
    time::Time,
    worker::{Announcement, AttemptState, LeaseAnswer, WorkerCommand},
};

/// No worker has more than this.
const LARGEST: Resources =
    Resources { millicores: 100_000_000, memory_mib: 1 << 30, accelerators: 4_096 };
/// No worker runs more tries at a time than this.
const MOST_TRIES: usize = 10_000;
/// No data centre has more workers than this.
const MOST_WORKERS: usize = 65_536;
/// Samples that are taken from one announcement.
const MOST_SAMPLES: usize = 4_096;

impl Scheduler {
    /// Takes in an announcement and answers it.
    pub(super) fn announced(
        &mut self,
        now: Time,
        ticket: u64,
        said: &Announcement,
        effects: &mut Vec<Effect>,
    ) {
        let answer = match self.check(said) {
            Err(finding) => Err(finding),
            Ok(()) => Ok(self.take_in(now, said, effects)),
        };
        effects.push(Effect::Answer { ticket, answer });
    }

    /// What is wrong with an announcement.
    fn check(&self, said: &Announcement) -> Result<(), String> {
        let known = self.fleet.find(&said.worker).map(|slot| &self.fleet[slot]);
        if said.worker.as_str().is_empty() {
            return Err("the worker's name is empty".into());
        }
        if said.centre != self.config.centre {
            return Err(format!(
                "the worker is in data centre \"{}\"; this is \"{}\"",
                said.centre, self.config.centre
            ));
        }
        if said.address.is_empty() {
            return Err("the address for commands is empty".into());
        }
        if said.capacity.millicores == 0 || said.capacity.memory_mib == 0 {
            return Err("the capacity has no processors or no memory".into());
        }
        if !LARGEST.fits(&said.capacity) {
            return Err("the capacity is more than any worker has".into());
        }
        if said.tasks.len() > MOST_TRIES {
            return Err(format!("more than {MOST_TRIES} tasks are reported"));
        }
        if known.is_none() && self.fleet.len() >= MOST_WORKERS {
            return Err(format!("{MOST_WORKERS} workers are known already"));
        }
        if let Some(worker) = known
            && let Some(newest) = worker.incarnation
            && said.incarnation < newest
        {
            return Err(format!(
                "incarnation {} is older than {newest}, which was announced before",
                said.incarnation
            ));
        }
        Ok(())
    }

    fn take_in(
        &mut self,
        now: Time,
        said: &Announcement,
        effects: &mut Vec<Effect>,
    ) -> LeaseAnswer {
        let epoch = self.hold.renews(now, &self.config);
        let Some(epoch) = epoch.filter(|epoch| said.epoch <= *epoch) else {
            return self.refuse_lease();
        };
        let slot = self.fleet.slot(now, &said.worker);
        let known = self.fleet[slot].incarnation;
        let rebooted = known.is_some_and(|known| said.incarnation > known);
        if rebooted {
            self.restart(now, slot, effects);
        }
        let overdue = self.fleet[slot].health == Health::Suspect;
        self.update(now, slot, said);
        self.fleet[slot].answered = Some(now);
        if overdue {
            // The timer that is set may be the one for the end of the lease.
            self.fleet[slot].watched = false;
        }
        let acknowledged = self.take_reports(now, slot, said, rebooted, epoch, effects);
        self.step_worker(now, slot, HealthEvent::Announced, effects);
        self.arm_worker(now, slot);
        for sample in said.samples.iter().take(MOST_SAMPLES) {
            self.sampled(now, slot, sample);
        }
        self.shed_overfull(now, slot, effects);
        LeaseAnswer {
            epoch,
            fence: self.fleet[slot].fence,
            lease: Some(self.config.lease),
            holder: None,
            interval: self.config.announce_interval,
            acknowledged,
        }
    }

    fn refuse_lease(&self) -> LeaseAnswer {
        LeaseAnswer {
            epoch: self.hold.epoch.unwrap_or_default(),
            fence: Fence::default(),
            lease: None,
            holder: None,
            interval: self.config.announce_interval,
            acknowledged: Vec::new(),
        }
    }

    /// A worker was restarted: what was sent to its earlier boot must not reach this one.
    fn restart(&mut self, now: Time, slot: WorkerSlot, effects: &mut Vec<Effect>) {
        self.step_worker(now, slot, HealthEvent::Reset, effects);
        self.fleet.raise_fence(slot);
        let worker = &mut self.fleet[slot];
        worker.leaving = false;
        worker.growing = None;
    }

    fn update(&mut self, now: Time, slot: WorkerSlot, said: &Announcement) {
        let worker = &self.fleet[slot];
        // A new boot, or a worker that is new to this instance, is believed at once.
        let capacity = match Some(said.incarnation) > worker.incarnation {
            true => said.capacity,
            false => self.believed_capacity(now, slot, &said.capacity),
        };
        if capacity != self.fleet[slot].capacity {
            self.fleet.resize(slot, &capacity);
            self.quota.total = self.fleet.total;
        }
        let before = self.fleet[slot].rack;
        self.fleet.move_to(slot, &said.rack);
        self.move_replicas(slot, before);
        let worker = &mut self.fleet[slot];
        worker.incarnation = Some(said.incarnation);
        worker.epoch = worker.epoch.max(Some(said.epoch));
        // An announcement that arrives late must not bring a leaving worker back.
        worker.leaving |= said.leaving;
        worker.heard = now;
        if worker.address != said.address {
            worker.address.clone_from(&said.address);
        }
    }

    /// The capacity that is counted on: less counts at once, more only when every announcement
    /// has carried it for as long as a late one may be on its way.
    fn believed_capacity(&mut self, now: Time, slot: WorkerSlot, said: &Resources) -> Resources {
        let worker = &mut self.fleet[slot];
        let believed = worker.capacity;
        let least = Resources {
            millicores: believed.millicores.min(said.millicores),
            memory_mib: believed.memory_mib.min(said.memory_mib),
            accelerators: believed.accelerators.min(said.accelerators),
        };
        if least != believed || *said == believed {
            worker.growing = None;
            return least;
        }
        let since = *worker.growing.get_or_insert(now);
        if now.since(since) < self.config.lapse() {
            return believed;
        }
        worker.growing = None;
        *said
    }

    fn move_replicas(&mut self, slot: WorkerSlot, before: usize) {
        let after = self.fleet[slot].rack;
        if before == after {
            return;
        }
        for id in self.tries_on(slot) {
            let Some(task) = self.tasks.get(id) else { continue };
            if let Some(service) = &task.open.spec.service {
                self.spread.remove(service, before);
                self.spread.add(service, after);
            }
        }
    }

    /// Takes in what a worker says of tries, and gives those that it need not report again.
    fn take_reports(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        said: &Announcement,
        rebooted: bool,
        epoch: Epoch,
        effects: &mut Vec<Effect>,
    ) -> Vec<TaskAttempt> {
        let mut acknowledged = Vec::new();
        self.fleet[slot].round += 1;
        let (round, held) = (self.fleet[slot].round, self.fleet[slot].tries.len());
        let mut listed = 0;
        for report in &said.tasks {
            let seat = self.fleet[slot].list(report.attempt);
            listed += usize::from(seat.is_some_and(|seat| seat.round != round));
            if report.state == AttemptState::Running && seat.is_some_and(|seat| seat.steady) {
                continue;
            }
            if self.is_current(report.attempt, slot) {
                self.take_report(now, slot, report.attempt, &report.state, effects);
            } else {
                self.disown(now, slot, report.attempt, &report.state, &mut acknowledged);
            }
        }
        let obeys = said.epoch == epoch;
        if obeys {
            self.confirm_surmises(slot);
        }
        if listed < held {
            self.take_unlisted(now, slot, rebooted, obeys, effects);
        }
        acknowledged
    }

    /// Deals with the tries that hold room on a worker and that it doesn't list.
    fn take_unlisted(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        rebooted: bool,
        obeys: bool,
        effects: &mut Vec<Effect>,
    ) {
        for id in self.fleet[slot].unlisted() {
            let Some((_, phase)) = self.phase_of(id) else { continue };
            // A worker that obeys this epoch can't get a start from an earlier one any more.
            let event = match phase == Phase::Inherited {
                true if obeys => PhaseEvent::Gone,
                false if rebooted => PhaseEvent::Gone,
                true | false => PhaseEvent::Missing,
            };
            self.step_try(now, id, event, Cause::Plain, effects);
        }
    }

    fn take_report(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        attempt: TaskAttempt,
        state: &AttemptState,
        effects: &mut Vec<Effect>,
    ) {
        let id = attempt.task;
        let held = self
            .tasks
            .active(attempt)
            .is_some_and(|(_, current)| current.holds_room() && current.phase != Phase::Recording);
        let event = match state {
            AttemptState::Running => PhaseEvent::Seen,
            AttemptState::Completed { .. } => PhaseEvent::Completed,
            AttemptState::Failed { .. } => PhaseEvent::Failed,
            AttemptState::Stopped { .. } => PhaseEvent::Stopped,
            AttemptState::NotStarted { .. } => PhaseEvent::NotStarted,
        };
        self.step_try(now, id, event, Cause::Report(state), effects);
        if !held {
            return;
        }
        match state {
            AttemptState::Completed { .. } => self.judge(now, slot, id, false, effects),
            AttemptState::Failed { .. } | AttemptState::NotStarted { .. } => {
                self.judge(now, slot, id, true, effects);
            }
            AttemptState::Running | AttemptState::Stopped { .. } => {}
        }
    }

    /// Counts how a try ended for or against its worker.
    fn judge(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        id: TaskId,
        failed: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(task) = self.tasks.get_mut(id) else { return };
        match (failed, task.current()) {
            (true, _) => task.avoid = Some(slot),
            (false, Some(current)) => {
                self.estimates.completed(task.kind, now.since(current.placed));
            }
            (false, None) => {}
        }
        self.kinds.judge(&mut self.fleet[slot].failures, task.kind, failed);
        let event = if failed { HealthEvent::Failure } else { HealthEvent::Success };
        self.step_worker(now, slot, event, effects);
    }

    /// Deals with a try that isn't its task's current one on this worker.
    fn disown(
        &mut self,
        now: Time,
        slot: WorkerSlot,
        attempt: TaskAttempt,
        state: &AttemptState,
        acknowledged: &mut Vec<TaskAttempt>,
    ) {
        if !self.hold.settled(now, &self.config) {
            return;
        }
        match state {
            AttemptState::Running => {
                let stop = WorkerCommand::Stop { attempt, grace: self.config.grace };
                self.send(slot, stop);
            }
            AttemptState::Completed { .. }
            | AttemptState::Failed { .. }
            | AttemptState::Stopped { .. }
            | AttemptState::NotStarted { .. } => acknowledged.push(attempt),
        }
    }

    /// Evicts work until the worker's tries fit what it has.
    fn shed_overfull(&mut self, now: Time, slot: WorkerSlot, effects: &mut Vec<Effect>) {
        if !self.fleet[slot].overfull() {
            return;
        }
        self.fleet.index.remove(slot);
        let over = self.fleet[slot].committed.saturating_sub(&self.fleet[slot].capacity);
        for id in self.victims(now, slot, &over) {
            let cause = Cause::Evict(EvictionReason::Preemption);
            self.step_try(now, id, PhaseEvent::Evict, cause, effects);
        }
    }
}
