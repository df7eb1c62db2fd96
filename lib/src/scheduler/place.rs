//! Chooses workers for waiting tasks.

use std::time::Duration;

use rand::Rng;

use crate::{
    ids::{TaskAttempt, TaskId},
    interference::port::{Neighbour, Role},
    policy::{Objective, Tier},
    resources::Resources,
    scheduler::{
        Scheduler,
        charts::HealthEvent,
        cost::Choice,
        index::{Fit, WorkerSlot},
        port::Effect,
        queue::{CustomerSlot, Priority, WaitReason},
        tasks::{ActiveAttempt, Stage, Task},
    },
    task::TaskOutcome,
    time::Time,
};

/// The largest number of workers that are compared for one task.
const MAX_CANDIDATES: usize = 8;
/// The largest number of racks that are searched for a replica.
const MAX_RACKS: usize = 16;
/// The largest number of workers in a rack that are probed for a replica.
const MAX_RACK_PROBES: usize = 4;

/// The interval at which tasks that wait for free capacity are retried.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The result of trying to place a task.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Placement {
    /// The task left the queue.
    Done,
    /// The task has to wait.
    Blocked(WaitReason),
}

impl Scheduler {
    /// Places waiting tasks until none can be placed.
    pub(super) fn schedule(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.leadership.record_epoch(now, &self.config).is_none() {
            return;
        }
        let mut placements = 0;
        for priority in Priority::ALL {
            while let Some((customer, id)) = self.queue.first(priority) {
                if placements == self.config.max_placements {
                    self.schedule_sweep(now);
                    return;
                }
                placements += 1;
                match self.place(now, id, effects) {
                    Placement::Done => {}
                    Placement::Blocked(reason) => {
                        self.queue.block(priority, customer, reason);
                        self.backfill(now, priority, customer, effects);
                        self.schedule_sweep(now + SWEEP_INTERVAL);
                    }
                }
            }
        }
    }

    /// Places smaller tasks behind one that has to wait for free capacity. They can't starve it,
    /// because a worker is reserved for it after a while.
    fn backfill(
        &mut self,
        now: Time,
        priority: Priority,
        customer: CustomerSlot,
        effects: &mut Vec<Effect>,
    ) {
        match self.queue.reason(priority, customer) {
            Some(WaitReason::Room | WaitReason::Clearing { .. }) => {}
            Some(_) | None => return,
        }
        let followers: Vec<_> = self.queue.followers(priority, customer).collect();
        for id in followers {
            let Some(task) = self.tasks.get(id) else { continue };
            let size = task.size();
            if let Some(tier) = self.quota.tier(customer, &size)
                && let Some((slot, choice)) = self.choose(now, id)
            {
                self.start_attempt(now, id, ActiveAttempt::new(now, slot, tier, choice), effects);
            }
        }
    }

    fn place(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) -> Placement {
        let Some(task) = self.tasks.get(id) else { return Placement::Blocked(WaitReason::Ledger) };
        let (customer, size, priority) = (task.customer, task.size(), task.priority);
        if self.quota[customer].terms.is_none() {
            return Placement::Blocked(WaitReason::NoPlan);
        }
        let Some(tier) = self.quota.tier(customer, &size) else {
            if let Some(reason) = self.infeasible(now, customer, &size) {
                self.end_unplaced(now, id, TaskOutcome::Impossible { reason }, effects);
                return Placement::Done;
            }
            return Placement::Blocked(match self.quota.share_too_small(customer, &size) {
                true => WaitReason::Share,
                false => WaitReason::Allowance,
            });
        };
        if let Some((slot, choice)) = self.choose(now, id) {
            self.start_attempt(now, id, ActiveAttempt::new(now, slot, tier, choice), effects);
            return Placement::Done;
        }
        if let Some(reason) = self.infeasible(now, customer, &size) {
            self.end_unplaced(now, id, TaskOutcome::Impossible { reason }, effects);
            return Placement::Done;
        }
        match self.reserve_worker(now, id, priority, tier, effects) {
            Some(slot) => {
                Placement::Blocked(WaitReason::Clearing { worker: self.fleet[slot].name.clone() })
            }
            None => Placement::Blocked(WaitReason::Room),
        }
    }

    /// Chooses the worker of lowest cost among a few with enough free capacity.
    fn choose(&mut self, now: Time, id: TaskId) -> Option<(WorkerSlot, Choice)> {
        let task = self.tasks.get(id)?;
        let size = task.size();
        if let Some(slot) = self.reservations.get(&id)
            && self.fleet[*slot].free().fits(&size)
        {
            return Some((*slot, Choice { candidates: 1, ..Choice::default() }));
        }
        let mut found = std::mem::take(&mut self.candidate_buffer);
        found.clear();
        let fit = match task.priority {
            Priority::Urgent => Fit::Worst,
            Priority::Normal => Fit::Best,
        };
        if task.open.spec.service.is_some() {
            self.search_racks(&size, &mut found);
        }
        let fleet = &self.fleet;
        let limit = found.len() + MAX_CANDIDATES;
        let fits = |slot: WorkerSlot| fleet[slot].free().fits(&size);
        fleet.index.search(&size, fit, limit, &mut self.rng, fits, &mut found);
        let neighbour = self.neighbour(id);
        let best = found
            .iter()
            .filter_map(|slot| Some((*slot, self.cost(now, id, *slot, neighbour.as_ref())?)))
            .min_by_key(|(_, cost)| cost.total());
        let candidates = found.len() as u32;
        self.candidate_buffer = found;
        best.map(|(slot, cost)| (slot, Choice { candidates, cost }))
    }

    /// Adds workers with enough free capacity from several racks.
    fn search_racks(&mut self, size: &Resources, found: &mut Vec<WorkerSlot>) {
        let racks = self.fleet.rack_members.len();
        if racks == 0 {
            return;
        }
        let start = self.rng.random_range(0..racks);
        for step in 0..racks.min(MAX_RACKS) {
            let rack_members = &self.fleet.rack_members[(start + step) % racks];
            if rack_members.is_empty() {
                continue;
            }
            let first = self.rng.random_range(0..rack_members.len());
            let fitting = (0..rack_members.len().min(MAX_RACK_PROBES))
                .map(|probe| rack_members[(first + probe) % rack_members.len()])
                .filter(|slot| self.fleet.index.contains(*slot))
                .find(|slot| self.fleet[*slot].free().fits(size));
            found.extend(fitting);
        }
    }

    /// Allocates resources for a task's next attempt and proposes its start.
    fn start_attempt(
        &mut self,
        now: Time,
        id: TaskId,
        mut chosen: ActiveAttempt,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut task) = self.tasks.remove(id) else { return };
        self.queue.start(now, task.priority, task.customer, id, &self.quota);
        self.unreserve(id);
        chosen.attempt = task.open.next;
        let slot = chosen.worker;
        task.stage_since = now;
        task.stage = Stage::Active(Box::new(chosen));
        self.allocate(now, id, task);
        self.step_worker(now, slot, HealthEvent::Placed, effects);
        self.propose_start(now, id, effects);
    }

    /// Allocates the resources and charges the quota of a task's current attempt.
    pub(super) fn allocate(&mut self, now: Time, id: TaskId, mut task: Task) {
        let size = task.size();
        let (customer, kind) = (task.customer, task.kind);
        let expected = self.estimates.expected(task.kind, &size);
        let Some(current) = task.current_mut() else { return };
        current.expected = expected;
        let (slot, tier) = (current.worker, current.tier);
        let attempt = TaskAttempt { task: id, attempt: current.attempt };
        let worker = &mut self.fleet[slot];
        worker.expected = worker.expected.saturating_add(&expected);
        if let Some(service) = &task.open.spec.service {
            self.spread.add(service, self.fleet[slot].rack);
        }
        self.tasks.insert(id, task);
        self.fleet.commit(slot, attempt, kind, &size, tier);
        self.quota.charge(customer, id, tier, &size);
        if let Some(neighbour) = self.neighbour(id) {
            self.interference.placed(now, &self.fleet[slot].name, &neighbour);
        }
    }

    /// A task's next or current attempt, as input for the interference policy.
    pub(super) fn neighbour(&self, id: TaskId) -> Option<Neighbour> {
        let task = self.tasks.get(id)?;
        let account = &self.quota[task.customer];
        let terms = account.terms.as_ref();
        let spec = &task.open.spec;
        let attempt = task.current().map_or(task.open.next, |current| current.attempt);
        let role = match &spec.service {
            Some(service) => Role::Service {
                service: service.clone(),
                latency: self
                    .policy
                    .services
                    .get(service)
                    .map_or(spec.run_time, |service| service.latency),
            },
            None => Role::Batch {
                kind: spec.kind.clone(),
                evictions: match spec.idempotent {
                    true => terms.map_or(0, |terms| {
                        terms.task_evictions.saturating_sub(task.open.evictions)
                    }),
                    // An eviction could end the task without a result.
                    false => 0,
                },
            },
        };
        Some(Neighbour {
            attempt: TaskAttempt { task: id, attempt },
            customer: account.name.clone(),
            size: spec.size,
            objective: terms.map_or(Objective::Throughput, |terms| terms.objective),
            role,
        })
    }

    /// Why a task of this size can never run, with the limits of its customer's plan or the nearest
    /// capacity of a worker. None if it can run, or while workers still have time to announce
    /// themselves.
    pub(super) fn infeasible(
        &self,
        now: Time,
        customer: CustomerSlot,
        size: &Resources,
    ) -> Option<String> {
        if now.since(self.leadership.acquired) < self.config.discovery {
            return None;
        }
        if !self.quota.ever_fits(customer, size) {
            return Some(self.plan_limits(customer));
        }
        let mut capacities = self.fleet.capacities().peekable();
        capacities.peek()?;
        let mut nearest: Option<Resources> = None;
        for shape in capacities {
            if shape.fits(size) {
                return None;
            }
            let closer = nearest
                .is_none_or(|known| size.dominant_share(&shape) < size.dominant_share(&known));
            if closer {
                nearest = Some(shape);
            }
        }
        nearest.map(|shape| {
            format!("no worker is large enough; the nearest has {}", format_resources(&shape))
        })
    }

    fn plan_limits(&self, customer: CustomerSlot) -> String {
        let Some(allowance) = self.quota[customer].allowance() else {
            return "its customer has no plan".into();
        };
        let tiers = Tier::ALL.iter().map(|tier| {
            format!("{tier} {}", format_resources(&super::quota::limit(&allowance, *tier)))
        });
        let tiers: Vec<_> = tiers.collect();
        format!("its customer's plan allows at most {}", tiers.join(", or "))
    }
}

/// Formats resources for operators.
pub(super) fn format_resources(resources: &Resources) -> String {
    format!(
        "{}.{:03} processors, {} MiB of memory and {} accelerators",
        resources.millicores / 1_000,
        resources.millicores % 1_000,
        resources.memory_mib,
        resources.accelerators
    )
}
