//! Preempts lower tiers for tasks that find no worker, and reserves workers for tasks that wait
//! long.

use std::time::Duration;

use rand::Rng;

use crate::{
    ids::TaskId,
    policy::Tier,
    resources::Resources,
    scheduler::{
        Scheduler,
        attempt::EventData,
        charts::{Health, Phase, PhaseEvent},
        index::WorkerSlot,
        place::SWEEP_INTERVAL,
        port::Effect,
        queue::{CustomerSlot, Priority},
        tasks::{ActiveAttempt, Task},
    },
    task::EvictionReason,
    time::Time,
};

/// The largest number of workers that are examined for one preemption or reservation.
const MAX_PROBES: usize = 24;
/// At most one worker in this many is reserved for tasks that wait long.
const WORKERS_PER_RESERVATION: usize = 16;
/// The largest number of customers of a priority that a worker's free capacity is offered to, or
/// that a sweep wakes.
const MAX_OFFERS: usize = 32;

/// An attempt that could be evicted.
struct Victim {
    task: TaskId,
    tier: Tier,
    size: Resources,
    placed: Time,
    within_budget: bool,
}

impl Scheduler {
    /// Reserves a worker for a task: by evictions if its priority or tier allows them, or after a
    /// long wait.
    pub(super) fn reserve_worker(
        &mut self,
        now: Time,
        id: TaskId,
        priority: Priority,
        tier: Tier,
        effects: &mut Vec<Effect>,
    ) -> Option<WorkerSlot> {
        if let Some(slot) = self.reservations.get(&id) {
            return Some(*slot);
        }
        let task = self.tasks.get(id)?;
        let size = task.size();
        let waited = now.since(task.stage_since);
        if (priority == Priority::Urgent || tier == Tier::Guaranteed)
            && let Some((slot, victims)) = self.cheapest_preemption(now, tier, &size)
        {
            self.reserve(id, slot);
            for victim in victims {
                let data = EventData::Evict(EvictionReason::Preemption);
                self.step_attempt(now, victim, PhaseEvent::Evict, data, effects);
            }
            return Some(slot);
        }
        let below_limit =
            self.reservations.len() * WORKERS_PER_RESERVATION < self.fleet.workers().len();
        if waited < self.config.reserve_after || !below_limit {
            return None;
        }
        let slot = self.earliest_free_worker(now, &size)?;
        self.reserve(id, slot);
        Some(slot)
    }

    fn cheapest_preemption(
        &mut self,
        now: Time,
        tier: Tier,
        size: &Resources,
    ) -> Option<(WorkerSlot, Vec<TaskId>)> {
        let mut best: Option<(WorkerSlot, Vec<TaskId>)> = None;
        for slot in self.probe_workers() {
            let worker = &self.fleet[slot];
            if !worker.free().saturating_add(&worker.held_below(tier)).fits(size) {
                continue;
            }
            let missing = size.saturating_sub(&worker.free());
            let victims = self.preemption_victims(now, slot, tier, &missing);
            let Some(victims) = victims else { continue };
            if victims.is_empty() {
                // The attempts that are stopping there free enough.
                return Some((slot, victims));
            }
            if best.as_ref().is_none_or(|(_, known)| victims.len() < known.len()) {
                best = Some((slot, victims));
            }
        }
        best
    }

    /// Of a few workers that are large enough, the one expected to have free capacity first.
    fn earliest_free_worker(&mut self, now: Time, size: &Resources) -> Option<WorkerSlot> {
        self.probe_workers()
            .into_iter()
            .filter(|slot| self.fleet[*slot].capacity.fits(size))
            .min_by_key(|slot| self.time_until_fit(now, *slot, size))
    }

    /// How long until `size` fits a worker, by the expected run times of its attempts.
    fn time_until_fit(&self, now: Time, slot: WorkerSlot, size: &Resources) -> Duration {
        let attempts = self.fleet[slot].allocations.keys().filter_map(|id| {
            let task = self.tasks.get(*id)?;
            let current = task.current()?;
            let expected = match task.is_batch() {
                true => self.estimates.run_time(task.kind, task.open.spec.run_time),
                // A replica never ends by itself.
                false => Duration::MAX,
            };
            Some((expected.saturating_sub(now.since(current.placed)), task.size()))
        });
        let mut ends: Vec<_> = attempts.collect();
        ends.sort_by_key(|(left, _)| *left);
        let mut free = self.fleet[slot].free();
        for (left, freed) in ends {
            if free.fits(size) {
                return Duration::ZERO;
            }
            free = free.saturating_add(&freed);
            if free.fits(size) {
                return left;
            }
        }
        Duration::MAX
    }

    /// A few eligible workers, starting at a random one.
    fn probe_workers(&mut self) -> Vec<WorkerSlot> {
        let all = self.fleet.workers().len();
        if all == 0 {
            return Vec::new();
        }
        let start = self.rng.random_range(0..all);
        (0..all.min(MAX_PROBES))
            .map(|step| WorkerSlot(((start + step) % all) as u32))
            .filter(|slot| self.fleet.index.contains(*slot))
            .collect()
    }

    /// The attempts to evict for work of a tier so that `missing` becomes free; none if that can't
    /// be freed.
    ///
    /// Guaranteed work takes back borrowed capacity, whatever the eviction budgets.
    fn preemption_victims(
        &self,
        now: Time,
        slot: WorkerSlot,
        tier: Tier,
        missing: &Resources,
    ) -> Option<Vec<TaskId>> {
        let mut victims = self.evictable_attempts(now, slot);
        victims.retain(|victim| {
            victim.tier > tier && (victim.within_budget || tier == Tier::Guaranteed)
        });
        select_victims(&victims, missing, &self.stopping(slot))
    }

    /// The attempts to evict from a worker whose allocations exceed its capacity by `over`: as few
    /// and of as low a tier as suffice, or all that can be evicted if they don't.
    pub(super) fn overcommit_victims(
        &self,
        now: Time,
        slot: WorkerSlot,
        over: &Resources,
    ) -> Vec<TaskId> {
        let all = self.evictable_attempts(now, slot);
        let chosen = select_victims(&all, over, &self.stopping(slot));
        chosen.unwrap_or_else(|| all.iter().map(|victim| victim.task).collect())
    }

    /// Attempts that can be evicted: the lowest tier first, then those within the eviction budgets
    /// of their customers, then those placed last, which lose the least work.
    fn evictable_attempts(&self, now: Time, slot: WorkerSlot) -> Vec<Victim> {
        let attempts = self.fleet[slot].allocations.keys().filter_map(|id| {
            let task = self.tasks.get(*id)?;
            let current = task.current()?;
            is_evictable(task, current).then(|| Victim {
                task: *id,
                tier: current.tier,
                size: task.size(),
                placed: current.placed,
                within_budget: self.quota.evictable(now, task.customer, task.open.evictions),
            })
        });
        let mut attempts: Vec<_> = attempts.collect();
        attempts.sort_by_key(|victim| {
            (
                std::cmp::Reverse(victim.tier),
                !victim.within_budget,
                std::cmp::Reverse(victim.placed),
            )
        });
        attempts
    }

    /// Whether a task has an attempt that can be evicted.
    pub(super) fn is_evictable(&self, id: TaskId) -> bool {
        let task = self.tasks.get(id);
        task.is_some_and(|task| task.current().is_some_and(|current| is_evictable(task, current)))
    }

    /// The resources of attempts on a worker that were told to stop.
    fn stopping(&self, slot: WorkerSlot) -> Resources {
        let attempts = self.fleet[slot].allocations.keys().filter_map(|id| self.tasks.get(*id));
        let attempts = attempts
            .filter(|task| task.current().is_some_and(|current| current.phase == Phase::Stopping));
        attempts.fold(Resources::ZERO, |sum, task| sum.saturating_add(&task.size()))
    }

    fn reserve(&mut self, id: TaskId, slot: WorkerSlot) {
        self.fleet[slot].reserved = Some(id);
        self.fleet.index.remove(slot);
        self.reservations.insert(id, slot);
    }

    /// Drops a task's reservation.
    pub(super) fn unreserve(&mut self, id: TaskId) {
        let Some(slot) = self.reservations.remove(&id) else { return };
        self.fleet[slot].reserved = None;
        self.offer_capacity(slot);
    }

    /// Offers the free capacity of a worker to the tasks that wait for it.
    pub(super) fn offer_capacity(&mut self, slot: WorkerSlot) {
        let worker = &self.fleet[slot];
        if let Some(id) = worker.reserved {
            if let Some(task) = self.tasks.get(id)
                && worker.free().fits(&task.size())
            {
                self.queue.wake(task.priority, task.customer, &self.quota);
            }
            return;
        }
        match worker.health {
            Health::Fresh | Health::Healthy => self.fleet.admit(slot),
            Health::Suspect
            | Health::Quarantined
            | Health::Probation
            | Health::Leaving
            | Health::Silent => {}
        }
        if !self.fleet.index.contains(slot) {
            return;
        }
        let free = self.fleet[slot].free();
        for priority in Priority::ALL {
            let fitting: Vec<_> = self
                .queue
                .blocked(priority)
                .take(MAX_OFFERS)
                .filter(|(customer, id)| {
                    let mut candidates =
                        std::iter::once(*id).chain(self.queue.followers(priority, *customer));
                    candidates
                        .any(|id| self.tasks.get(id).is_some_and(|task| free.fits(&task.size())))
                })
                .map(|(customer, _)| customer)
                .collect();
            for customer in fitting {
                self.queue.wake(priority, customer, &self.quota);
            }
        }
    }

    /// Wakes the queues of a customer whose usage decreased.
    pub(super) fn wake_customer(&mut self, customer: CustomerSlot) {
        for priority in Priority::ALL {
            self.queue.wake(priority, customer, &self.quota);
        }
    }

    /// Retries blocked tasks, because each search looks at a few workers only.
    pub(super) fn sweep(&mut self, now: Time) {
        self.sweep_pending = false;
        for priority in Priority::ALL {
            let waiting: Vec<_> = self
                .queue
                .blocked(priority)
                .take(MAX_OFFERS)
                .map(|(customer, _)| customer)
                .collect();
            for customer in waiting {
                self.queue.wake(priority, customer, &self.quota);
            }
        }
        if self.queue.len() > 0 {
            self.schedule_sweep(now + SWEEP_INTERVAL);
        }
    }
}

/// Whether an attempt can be stopped now without ending its task.
fn is_evictable(task: &Task, current: &ActiveAttempt) -> bool {
    match current.phase {
        Phase::Recording => current.eviction.is_none(),
        Phase::Starting | Phase::Running | Phase::Throttled => task.open.spec.idempotent,
        Phase::Stopping | Phase::Inherited | Phase::Yielding | Phase::Ending | Phase::Closed => {
            false
        }
    }
}

/// Selects victims in order until they free `missing`, then drops those that turn out not to be
/// needed.
fn select_victims(
    victims: &[Victim],
    missing: &Resources,
    stopping: &Resources,
) -> Option<Vec<TaskId>> {
    let mut freed = *stopping;
    let mut chosen: Vec<&Victim> = Vec::new();
    for victim in victims {
        if freed.fits(missing) {
            break;
        }
        freed = freed.saturating_add(&victim.size);
        chosen.push(victim);
    }
    if !freed.fits(missing) {
        return None;
    }
    chosen.retain(|victim| {
        let without = freed.saturating_sub(&victim.size);
        let unneeded = without.fits(missing);
        if unneeded {
            freed = without;
        }
        !unneeded
    });
    Some(chosen.iter().map(|victim| victim.task).collect())
}
