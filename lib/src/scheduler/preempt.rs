//! Room for a task that finds none: evictions of weaker work, and workers kept free.

use std::time::Duration;

use rand::Rng;

use crate::{
    ids::TaskId,
    policy::Tier,
    resources::Resources,
    scheduler::{
        Scheduler,
        attempt::Cause,
        charts::{Health, Phase, PhaseEvent},
        index::WorkerSlot,
        place::SWEEP,
        port::Effect,
        queue::{CustomerSlot, Lane},
        tasks::{Task, Try},
    },
    task::EvictionReason,
    time::Time,
};

/// Workers that are looked at.
const PROBES: usize = 24;
/// One worker in so many may be kept free for tasks that wait long.
const RESERVED_PART: usize = 16;
/// Customers that a hole in a worker is offered to.
const OFFERS: usize = 32;

/// Work that could be evicted from a worker.
struct Victim {
    task: TaskId,
    tier: Tier,
    size: Resources,
    placed: Time,
    within: bool,
}

impl Scheduler {
    /// Starts to clear a worker for a task and keeps it free, if that is in order.
    pub(super) fn clear_room(
        &mut self,
        now: Time,
        id: TaskId,
        lane: Lane,
        tier: Tier,
        effects: &mut Vec<Effect>,
    ) -> Option<WorkerSlot> {
        if let Some(slot) = self.reservations.get(&id) {
            return Some(*slot);
        }
        let task = self.tasks.get(id)?;
        let size = task.size();
        let waited = now.since(task.since);
        if (lane == Lane::Urgent || tier == Tier::Guaranteed)
            && let Some((slot, victims)) = self.cheapest_victims(now, tier, &size)
        {
            self.reserve(id, slot);
            for victim in victims {
                let cause = Cause::Evict(EvictionReason::Preemption);
                self.step_try(now, victim, PhaseEvent::Evict, cause, effects);
            }
            return Some(slot);
        }
        let room_left = self.reservations.len() * RESERVED_PART < self.fleet.workers().len();
        if waited < self.config.patience || !room_left {
            return None;
        }
        let slot = self.soonest_free(now, &size)?;
        self.reserve(id, slot);
        Some(slot)
    }

    fn cheapest_victims(
        &mut self,
        now: Time,
        tier: Tier,
        size: &Resources,
    ) -> Option<(WorkerSlot, Vec<TaskId>)> {
        let mut best: Option<(WorkerSlot, Vec<TaskId>)> = None;
        for slot in self.probe_workers() {
            let worker = &self.fleet[slot];
            if !worker.free().saturating_add(&worker.weaker(tier)).fits(size) {
                continue;
            }
            let missing = size.saturating_sub(&worker.free());
            let victims = self.victims_for(now, slot, tier, &missing);
            let Some(victims) = victims else { continue };
            if victims.is_empty() {
                // What was told to stop there is enough.
                return Some((slot, victims));
            }
            if best.as_ref().is_none_or(|(_, known)| victims.len() < known.len()) {
                best = Some((slot, victims));
            }
        }
        best
    }

    /// A worker large enough, of a few the one whose tries are expected to make room first.
    fn soonest_free(&mut self, now: Time, size: &Resources) -> Option<WorkerSlot> {
        self.probe_workers()
            .into_iter()
            .filter(|slot| self.fleet[*slot].capacity.fits(size))
            .min_by_key(|slot| self.frees_in(now, *slot, size))
    }

    /// How long until a worker has room for `size`, by the expected run times of its tries.
    fn frees_in(&self, now: Time, slot: WorkerSlot, size: &Resources) -> Duration {
        let tries = self.fleet[slot].tries.keys().filter_map(|id| {
            let task = self.tasks.get(*id)?;
            let current = task.current()?;
            let expected = match task.batch() {
                true => self.estimates.run_time(task.kind, task.open.spec.run_time),
                // A replica never ends by itself.
                false => Duration::MAX,
            };
            Some((expected.saturating_sub(now.since(current.placed)), task.size()))
        });
        let mut ends: Vec<_> = tries.collect();
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

    /// A few workers that may get work, from all over the data centre.
    fn probe_workers(&mut self) -> Vec<WorkerSlot> {
        let all = self.fleet.workers().len();
        if all == 0 {
            return Vec::new();
        }
        let start = self.rng.random_range(0..all);
        (0..all.min(PROBES))
            .map(|step| WorkerSlot(((start + step) % all) as u32))
            .filter(|slot| self.fleet.index.contains(*slot))
            .collect()
    }

    /// The tries whose eviction frees `missing` for work of a tier; nothing if they don't.
    ///
    /// Guaranteed work gets back what others borrowed, whatever their budgets say.
    fn victims_for(
        &self,
        now: Time,
        slot: WorkerSlot,
        tier: Tier,
        missing: &Resources,
    ) -> Option<Vec<TaskId>> {
        let mut weaker = self.evictable_tries(now, slot);
        weaker.retain(|victim| victim.tier > tier && (victim.within || tier == Tier::Guaranteed));
        pick(&weaker, missing, &self.stopping(slot))
    }

    /// The tries to evict from a worker that holds `over` more than it has: as few and as weak as
    /// do, and all that can be evicted if they don't.
    pub(super) fn victims(&self, now: Time, slot: WorkerSlot, over: &Resources) -> Vec<TaskId> {
        let all = self.evictable_tries(now, slot);
        let chosen = pick(&all, over, &self.stopping(slot));
        chosen.unwrap_or_else(|| all.iter().map(|victim| victim.task).collect())
    }

    /// Tries that could be evicted: the weakest first, then those within the budgets of their
    /// customers, then those that would lose the least work.
    fn evictable_tries(&self, now: Time, slot: WorkerSlot) -> Vec<Victim> {
        let tries = self.fleet[slot].tries.keys().filter_map(|id| {
            let task = self.tasks.get(*id)?;
            let current = task.current()?;
            may_stop(task, current).then(|| Victim {
                task: *id,
                tier: current.tier,
                size: task.size(),
                placed: current.placed,
                within: self.quota.evictable(now, task.customer, task.open.evictions),
            })
        });
        let mut tries: Vec<_> = tries.collect();
        tries.sort_by_key(|victim| {
            (std::cmp::Reverse(victim.tier), !victim.within, std::cmp::Reverse(victim.placed))
        });
        tries
    }

    /// The room of tries on a worker that were told to stop.
    fn stopping(&self, slot: WorkerSlot) -> Resources {
        let tries = self.fleet[slot].tries.keys().filter_map(|id| self.tasks.get(*id));
        let tries = tries
            .filter(|task| task.current().is_some_and(|current| current.phase == Phase::Stopping));
        tries.fold(Resources::ZERO, |sum, task| sum.saturating_add(&task.size()))
    }

    fn reserve(&mut self, id: TaskId, slot: WorkerSlot) {
        self.fleet[slot].reserved = Some(id);
        self.fleet.index.remove(slot);
        self.reservations.insert(id, slot);
    }

    /// No longer keeps a worker free for a task.
    pub(super) fn unreserve(&mut self, id: TaskId) {
        let Some(slot) = self.reservations.remove(&id) else { return };
        self.fleet[slot].reserved = None;
        self.freed_room(slot);
    }

    /// Offers the free room of a worker to those that wait for it.
    pub(super) fn freed_room(&mut self, slot: WorkerSlot) {
        let worker = &self.fleet[slot];
        if let Some(id) = worker.reserved {
            if let Some(task) = self.tasks.get(id)
                && worker.free().fits(&task.size())
            {
                self.queue.wake(task.lane, task.customer, &self.quota);
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
        for lane in Lane::ALL {
            let fitting: Vec<_> = self
                .queue
                .short(lane)
                .take(OFFERS)
                .filter(|(customer, id)| {
                    let mut line =
                        std::iter::once(*id).chain(self.queue.followers(lane, *customer));
                    line.any(|id| self.tasks.get(id).is_some_and(|task| free.fits(&task.size())))
                })
                .map(|(customer, _)| customer)
                .collect();
            for customer in fitting {
                self.queue.wake(lane, customer, &self.quota);
            }
        }
    }

    /// Lets a customer whose use has shrunk be tried again.
    pub(super) fn freed_quota(&mut self, customer: CustomerSlot) {
        for lane in Lane::ALL {
            self.queue.wake(lane, customer, &self.quota);
        }
    }

    /// Lets those that wait for room look again: a search looks at a few workers only.
    pub(super) fn sweep(&mut self, now: Time) {
        self.sweeping = false;
        for lane in Lane::ALL {
            let waiting: Vec<_> =
                self.queue.short(lane).take(OFFERS).map(|(customer, _)| customer).collect();
            for customer in waiting {
                self.queue.wake(lane, customer, &self.quota);
            }
        }
        if self.queue.len() > 0 {
            self.sweep_at(now + SWEEP);
        }
    }
}

/// Whether a try can be stopped now without ending its task.
fn may_stop(task: &Task, current: &Try) -> bool {
    match current.phase {
        Phase::Recording => current.eviction.is_none(),
        Phase::Starting | Phase::Running | Phase::Throttled => task.open.spec.idempotent,
        Phase::Stopping | Phase::Inherited | Phase::Yielding | Phase::Ending | Phase::Closed => {
            false
        }
    }
}

/// As many victims from the front as free `missing`, without those that turn out not to matter.
fn pick(victims: &[Victim], missing: &Resources, stopping: &Resources) -> Option<Vec<TaskId>> {
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
        let spare = without.fits(missing);
        if spare {
            freed = without;
        }
        !spare
    });
    Some(chosen.iter().map(|victim| victim.task).collect())
}
