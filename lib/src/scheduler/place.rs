//! Which worker a task goes to.

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
        index::{Order, WorkerSlot},
        port::Effect,
        queue::{CustomerSlot, Lane, WaitReason},
        tasks::{Stage, Task, Try},
    },
    task::TaskOutcome,
    time::Time,
};

/// Workers that are weighed against each other for one task.
const CANDIDATES: usize = 8;
/// Racks that are looked at for a replica.
const RACKS: usize = 16;
/// Workers of a rack that are looked at for a replica.
const RACK_PROBES: usize = 4;

/// How often those that wait for room look again.
pub(super) const SWEEP: Duration = Duration::from_millis(500);

/// What became of the attempt to place a task.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Placing {
    /// It left the queue.
    Done,
    /// It must wait.
    Wait(WaitReason),
}

impl Scheduler {
    /// Places waiting tasks as long as there is one that can be placed.
    pub(super) fn schedule(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.hold.records(now, &self.config).is_none() {
            return;
        }
        let mut started = 0;
        for lane in Lane::ALL {
            while let Some((customer, id)) = self.queue.first(lane) {
                if started == self.config.batch {
                    self.sweep_at(now);
                    return;
                }
                started += 1;
                match self.place(now, id, effects) {
                    Placing::Done => {}
                    Placing::Wait(reason) => {
                        self.queue.block(lane, customer, reason);
                        self.backfill(now, lane, customer, effects);
                        self.sweep_at(now + SWEEP);
                    }
                }
            }
        }
    }

    /// Places smaller tasks behind one that finds no room. That one isn't starved by them: a
    /// worker is kept free for it after a while.
    fn backfill(
        &mut self,
        now: Time,
        lane: Lane,
        customer: CustomerSlot,
        effects: &mut Vec<Effect>,
    ) {
        match self.queue.reason(lane, customer) {
            Some(WaitReason::Room | WaitReason::Clearing { .. }) => {}
            Some(_) | None => return,
        }
        let followers: Vec<_> = self.queue.followers(lane, customer).collect();
        for id in followers {
            let Some(task) = self.tasks.get(id) else { continue };
            let size = task.size();
            if let Some(tier) = self.quota.tier(customer, &size)
                && let Some((slot, choice)) = self.choose(now, id)
            {
                self.start(now, id, Try::new(now, slot, tier, choice), effects);
            }
        }
    }

    fn place(&mut self, now: Time, id: TaskId, effects: &mut Vec<Effect>) -> Placing {
        let Some(task) = self.tasks.get(id) else { return Placing::Wait(WaitReason::Ledger) };
        let (customer, size, lane) = (task.customer, task.size(), task.lane);
        if self.quota[customer].terms.is_none() {
            return Placing::Wait(WaitReason::NoPlan);
        }
        let Some(tier) = self.quota.tier(customer, &size) else {
            if let Some(reason) = self.impossible(now, customer, &size) {
                self.close(now, id, TaskOutcome::Impossible { reason }, effects);
                return Placing::Done;
            }
            return Placing::Wait(match self.quota.share_short(customer, &size) {
                true => WaitReason::Share,
                false => WaitReason::Allowance,
            });
        };
        if let Some((slot, choice)) = self.choose(now, id) {
            self.start(now, id, Try::new(now, slot, tier, choice), effects);
            return Placing::Done;
        }
        if let Some(reason) = self.impossible(now, customer, &size) {
            self.close(now, id, TaskOutcome::Impossible { reason }, effects);
            return Placing::Done;
        }
        match self.clear_room(now, id, lane, tier, effects) {
            Some(slot) => {
                Placing::Wait(WaitReason::Clearing { worker: self.fleet[slot].name.clone() })
            }
            None => Placing::Wait(WaitReason::Room),
        }
    }

    /// The worker with the least cost among a few that have room.
    fn choose(&mut self, now: Time, id: TaskId) -> Option<(WorkerSlot, Choice)> {
        let task = self.tasks.get(id)?;
        let size = task.size();
        if let Some(slot) = self.reservations.get(&id)
            && self.fleet[*slot].free().fits(&size)
        {
            return Some((*slot, Choice { candidates: 1, ..Choice::default() }));
        }
        let mut found = std::mem::take(&mut self.candidates);
        found.clear();
        let order = match task.lane {
            Lane::Urgent => Order::Roomy,
            Lane::Normal => Order::Tight,
        };
        if task.open.spec.service.is_some() {
            self.search_racks(&size, &mut found);
        }
        let fleet = &self.fleet;
        let limit = found.len() + CANDIDATES;
        let fits = |slot: WorkerSlot| fleet[slot].free().fits(&size);
        fleet.index.search(&size, order, limit, &mut self.rng, fits, &mut found);
        let neighbour = self.neighbour(id);
        let best = found
            .iter()
            .filter_map(|slot| Some((*slot, self.cost(now, id, *slot, neighbour.as_ref())?)))
            .min_by_key(|(_, cost)| cost.total());
        let candidates = found.len() as u32;
        self.candidates = found;
        best.map(|(slot, cost)| (slot, Choice { candidates, cost }))
    }

    /// Adds workers with room from several racks.
    fn search_racks(&mut self, size: &Resources, found: &mut Vec<WorkerSlot>) {
        let racks = self.fleet.members.len();
        if racks == 0 {
            return;
        }
        let start = self.rng.random_range(0..racks);
        for step in 0..racks.min(RACKS) {
            let members = &self.fleet.members[(start + step) % racks];
            if members.is_empty() {
                continue;
            }
            let first = self.rng.random_range(0..members.len());
            let fitting = (0..members.len().min(RACK_PROBES))
                .map(|probe| members[(first + probe) % members.len()])
                .filter(|slot| self.fleet.index.contains(*slot))
                .find(|slot| self.fleet[*slot].free().fits(size));
            found.extend(fitting);
        }
    }

    /// Holds room for a task's next try and asks for its record.
    fn start(&mut self, now: Time, id: TaskId, mut chosen: Try, effects: &mut Vec<Effect>) {
        let Some(mut task) = self.tasks.remove(id) else { return };
        self.queue.start(now, task.lane, task.customer, id, &self.quota);
        self.unreserve(id);
        chosen.attempt = task.open.next;
        let slot = chosen.worker;
        task.since = now;
        task.stage = Stage::Active(Box::new(chosen));
        self.hold_room(now, id, task);
        self.step_worker(now, slot, HealthEvent::Placed, effects);
        self.record_start(now, id, effects);
    }

    /// Holds the room and the quota of a task's current try.
    pub(super) fn hold_room(&mut self, now: Time, id: TaskId, mut task: Task) {
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

    /// A task's next or current try, as its neighbours see it.
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
                    // Stopping it could end it without a result.
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

    /// Why a task of this size can never run, and the nearest that could.
    pub(super) fn impossible(
        &self,
        now: Time,
        customer: CustomerSlot,
        size: &Resources,
    ) -> Option<String> {
        if now.since(self.hold.taken) < self.config.census {
            return None;
        }
        if !self.quota.possible(customer, size) {
            return Some(self.allowed_at_most(customer));
        }
        let mut shapes = self.fleet.shapes().peekable();
        shapes.peek()?;
        let mut nearest: Option<Resources> = None;
        for shape in shapes {
            if shape.fits(size) {
                return None;
            }
            let closer = nearest
                .is_none_or(|known| size.dominant_share(&shape) < size.dominant_share(&known));
            if closer {
                nearest = Some(shape);
            }
        }
        nearest.map(|shape| format!("no worker is large enough; the nearest has {}", show(&shape)))
    }

    fn allowed_at_most(&self, customer: CustomerSlot) -> String {
        let Some(allowance) = self.quota[customer].allowance() else {
            return "its customer is on no plan".into();
        };
        let tiers = Tier::ALL
            .iter()
            .map(|tier| format!("{tier} {}", show(&super::quota::limit(&allowance, *tier))));
        let tiers: Vec<_> = tiers.collect();
        format!("its customer's plan allows at most {}", tiers.join(", or "))
    }
}

/// An amount as operators read it.
pub(super) fn show(room: &Resources) -> String {
    format!(
        "{}.{:03} processors, {} MiB of memory and {} accelerators",
        room.millicores / 1_000,
        room.millicores % 1_000,
        room.memory_mib,
        room.accelerators
    )
}
