//! The workers of the data centre and the resources allocated on them.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{Attempt, Epoch, Fence, Incarnation, Rack, TaskAttempt, TaskId, WorkerName},
    policy::Tier,
    resources::Resources,
    scheduler::{
        charts::{Health, WORKER},
        failures::WorkerOutcomes,
        index::{Index, WorkerSlot},
    },
    time::Time,
    transit::{Arrival, Transit},
    worker::Announcement,
};

/// The state of a worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) name: WorkerName,
    pub(super) rack: usize,
    pub(super) address: String,
    pub(super) incarnation: Option<Incarnation>,
    /// The largest epoch that the worker announced.
    pub(super) epoch: Option<Epoch>,
    pub(super) fence: Fence,
    pub(super) health: Health,
    pub(super) leaving: bool,
    pub(super) capacity: Resources,
    /// Since when its announcements have carried more than `capacity`.
    pub(super) growing_since: Option<Time>,
    pub(super) committed: Resources,
    /// The expected use of its attempts.
    pub(super) expected: Resources,
    /// The part of `committed` that is charged to each tier.
    pub(super) tiers: [Resources; Tier::ALL.len()],
    /// The attempts that hold resources on it.
    pub(super) allocations: BTreeMap<TaskId, Allocation>,
    /// How many of its announcements were handled.
    pub(super) announcements: u64,
    /// Tasks whose attempts on it were presumed stopped because its lease expired.
    pub(super) presumed_stopped: BTreeSet<TaskId>,
    /// When the last announcement was answered with a lease.
    pub(super) leased_at: Option<Time>,
    pub(super) last_heard: Time,
    /// The transit of the announcements of its incarnation; `None` if they don't tell its clock.
    pub(super) transit: Option<Transit>,
    /// The task that the worker is reserved for.
    pub(super) reserved: Option<TaskId>,
    pub(super) outcomes: WorkerOutcomes,
    /// When its quarantine is over.
    pub(super) quarantined_until: Time,
    /// Whether a timer is set for it.
    pub(super) timer_set: bool,
}

/// The resources that an attempt holds on a worker, with what is needed to handle most reports
/// without looking up the task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allocation {
    pub(super) attempt: Attempt,
    /// The number of its task's kind.
    pub(super) kind: u32,
    /// The allocated resources.
    pub(super) size: Resources,
    /// Whether a report that it runs changes nothing.
    pub(super) steady: bool,
    /// The number of the last announcement that listed it.
    pub(super) listed_in: u64,
}

impl Worker {
    /// Classifies an announcement by the time that it was in transit.
    pub(super) fn arrive(&mut self, now: Time, announcement: &Announcement) -> Arrival {
        match (&mut self.transit, announcement.clock) {
            (Some(transit), Some(clock)) => transit.arrive(now, clock),
            (transit, clock) => {
                *transit = clock.map(|clock| Transit::new(now, clock));
                Arrival::Unconfirmed
            }
        }
    }

    /// Marks an attempt as listed by the current announcement, and returns its allocation as it
    /// was.
    pub(super) fn mark_listed(&mut self, attempt: TaskAttempt) -> Option<Allocation> {
        let allocation = self.allocations.get_mut(&attempt.task)?;
        if allocation.attempt != attempt.attempt {
            return None;
        }
        let before = *allocation;
        allocation.listed_in = self.announcements;
        Some(before)
    }

    /// The tasks whose attempts the current announcement doesn't list.
    pub(super) fn unlisted(&self) -> Vec<TaskId> {
        let unlisted = self
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.listed_in != self.announcements);
        unlisted.map(|(id, _)| *id).collect()
    }

    /// The capacity that isn't allocated.
    pub(super) fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.committed)
    }

    /// Whether the allocations exceed the capacity.
    pub(super) fn overcommitted(&self) -> bool {
        !self.capacity.fits(&self.committed)
    }

    /// The resources held by tiers below `tier`.
    pub(super) fn held_below(&self, tier: Tier) -> Resources {
        Tier::ALL
            .iter()
            .filter(|other| **other > tier)
            .fold(Resources::ZERO, |sum, other| sum.saturating_add(&self.tiers[*other as usize]))
    }

    /// Moves an attempt's resources from one tier to another.
    pub(super) fn change_tier(&mut self, from: Tier, to: Tier, size: &Resources) {
        let source = &mut self.tiers[from as usize];
        *source = source.saturating_sub(size);
        let destination = &mut self.tiers[to as usize];
        *destination = destination.saturating_add(size);
    }

    /// Whether it was given a lease that may still be valid.
    pub(super) fn leased(&self) -> bool {
        self.health != Health::Silent
    }
}

/// The workers of a data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    workers: Vec<Worker>,
    names: BTreeMap<WorkerName, WorkerSlot>,
    /// Slots of removed workers, for reuse.
    free_slots: Vec<WorkerSlot>,
    /// The largest fence that was issued, so that a worker that was removed and comes back never
    /// gets a smaller one.
    fence: u64,
    racks: BTreeMap<Rack, usize>,
    /// The workers of each rack.
    pub(super) rack_members: Vec<Vec<WorkerSlot>>,
    /// The workers that are eligible for placement.
    pub(super) index: Index,
    /// The number of workers by capacity.
    capacities: BTreeMap<(u64, u64, u32), u32>,
    /// The capacity of all workers with a lease.
    pub(super) total: Resources,
}

impl std::ops::Index<WorkerSlot> for Fleet {
    type Output = Worker;

    fn index(&self, slot: WorkerSlot) -> &Worker {
        &self.workers[slot.at()]
    }
}

impl std::ops::IndexMut<WorkerSlot> for Fleet {
    fn index_mut(&mut self, slot: WorkerSlot) -> &mut Worker {
        &mut self.workers[slot.at()]
    }
}

impl Fleet {
    /// The slot of a worker, if it is known.
    pub(super) fn find(&self, name: &WorkerName) -> Option<WorkerSlot> {
        self.names.get(name).copied()
    }

    /// The slot of a worker; adds the worker if it isn't known.
    pub(super) fn slot(&mut self, now: Time, name: &WorkerName) -> WorkerSlot {
        if let Some(slot) = self.find(name) {
            return slot;
        }
        let worker = new_worker(now, name, Fence(self.fence));
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                self[slot] = worker;
                slot
            }
            None => {
                let count = u32::try_from(self.workers.len());
                self.workers.push(worker);
                WorkerSlot(count.expect("fewer than 2^32 workers"))
            }
        };
        self.names.insert(name.clone(), slot);
        slot
    }

    /// Removes a worker that has no lease and holds no attempt.
    pub(super) fn remove(&mut self, slot: WorkerSlot) {
        let name = self[slot].name.clone();
        if self.names.get(&name) != Some(&slot) {
            return;
        }
        self.names.remove(&name);
        self.free_slots.push(slot);
        self.resize(slot, &Resources::ZERO);
        let rack = std::mem::replace(&mut self[slot].rack, usize::MAX);
        if let Some(rack_members) = self.rack_members.get_mut(rack) {
            rack_members.retain(|member| *member != slot);
        }
    }

    /// Invalidates the commands that were sent to a worker so far.
    pub(super) fn raise_fence(&mut self, slot: WorkerSlot) {
        self.fence += 1;
        self[slot].fence = Fence(self.fence);
    }

    /// The number of known workers.
    pub(super) fn len(&self) -> usize {
        self.names.len()
    }

    /// All known workers.
    pub(super) fn known(&self) -> impl Iterator<Item = &Worker> {
        self.names.values().map(|slot| &self[*slot])
    }

    /// All slots, including those of removed workers.
    pub(super) fn slots(&self) -> impl Iterator<Item = WorkerSlot> + use<> {
        (0..self.workers.len()).map(|at| WorkerSlot(at as u32))
    }

    /// The workers of all slots, including removed ones.
    pub(super) fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Sets the rack of a worker.
    pub(super) fn set_rack(&mut self, slot: WorkerSlot, rack: &Rack) {
        let fresh = self.racks.len();
        let at = *self.racks.entry(rack.clone()).or_insert(fresh);
        if self.rack_members.len() <= at {
            self.rack_members.resize_with(at + 1, Vec::new);
        }
        let old = std::mem::replace(&mut self[slot].rack, at);
        if old == at {
            return;
        }
        if let Some(rack_members) = self.rack_members.get_mut(old) {
            rack_members.retain(|member| *member != slot);
        }
        self.rack_members[at].push(slot);
    }

    /// The rack of a worker.
    pub(super) fn rack_of(&self, slot: WorkerSlot) -> Option<&Rack> {
        self.racks.iter().find(|(_, at)| **at == self[slot].rack).map(|(rack, _)| rack)
    }

    /// Adds a worker's capacity to the total.
    pub(super) fn add_capacity(&mut self, slot: WorkerSlot) {
        self.total = self.total.saturating_add(&self[slot].capacity);
    }

    /// Subtracts a worker's capacity from the total.
    pub(super) fn subtract_capacity(&mut self, slot: WorkerSlot) {
        self.total = self.total.saturating_sub(&self[slot].capacity);
    }

    /// Sets a worker's capacity.
    pub(super) fn resize(&mut self, slot: WorkerSlot, capacity: &Resources) {
        let counted = self[slot].leased();
        if counted {
            self.subtract_capacity(slot);
        }
        let old = std::mem::replace(&mut self[slot].capacity, *capacity);
        if let Some(count) = self.capacities.get_mut(&capacity_key(&old)) {
            *count -= 1;
            if *count == 0 {
                self.capacities.remove(&capacity_key(&old));
            }
        }
        if *capacity != Resources::ZERO {
            *self.capacities.entry(capacity_key(capacity)).or_default() += 1;
        }
        if counted {
            self.add_capacity(slot);
        }
        self.refresh(slot);
    }

    /// The distinct capacities of all known workers, including those without a lease.
    pub(super) fn capacities(&self) -> impl Iterator<Item = Resources> + '_ {
        self.capacities.keys().map(|(millicores, memory_mib, accelerators)| Resources {
            millicores: *millicores,
            memory_mib: *memory_mib,
            accelerators: *accelerators,
        })
    }

    /// Allocates resources on a worker to an attempt.
    pub(super) fn commit(
        &mut self,
        slot: WorkerSlot,
        attempt: TaskAttempt,
        kind: u32,
        size: &Resources,
        tier: Tier,
    ) {
        let worker = &mut self[slot];
        worker.committed = worker.committed.saturating_add(size);
        worker.tiers[tier as usize] = worker.tiers[tier as usize].saturating_add(size);
        let allocation =
            Allocation { attempt: attempt.attempt, kind, size: *size, steady: false, listed_in: 0 };
        worker.allocations.insert(attempt.task, allocation);
        self.refresh(slot);
    }

    /// Releases an attempt's resources on a worker.
    pub(super) fn release(&mut self, slot: WorkerSlot, task: TaskId, size: &Resources, tier: Tier) {
        let worker = &mut self[slot];
        worker.committed = worker.committed.saturating_sub(size);
        worker.tiers[tier as usize] = worker.tiers[tier as usize].saturating_sub(size);
        worker.allocations.remove(&task);
        self.refresh(slot);
    }

    /// Updates a worker's entry in the index after its free capacity changed.
    pub(super) fn refresh(&mut self, slot: WorkerSlot) {
        if self.index.contains(slot) {
            let free = self[slot].free();
            self.index.insert(slot, &free);
        }
    }

    /// Makes a worker eligible for placement, unless it is reserved or overcommitted.
    pub(super) fn admit(&mut self, slot: WorkerSlot) {
        if self[slot].reserved.is_none() && !self[slot].overcommitted() {
            let free = self[slot].free();
            self.index.insert(slot, &free);
        }
    }
}

fn capacity_key(capacity: &Resources) -> (u64, u64, u32) {
    (capacity.millicores, capacity.memory_mib, capacity.accelerators)
}

fn new_worker(now: Time, name: &WorkerName, fence: Fence) -> Worker {
    Worker {
        name: name.clone(),
        rack: usize::MAX,
        address: String::new(),
        incarnation: None,
        epoch: None,
        fence,
        health: WORKER.initial(),
        leaving: false,
        capacity: Resources::ZERO,
        growing_since: None,
        committed: Resources::ZERO,
        expected: Resources::ZERO,
        tiers: [Resources::ZERO; Tier::ALL.len()],
        allocations: BTreeMap::new(),
        announcements: 0,
        presumed_stopped: BTreeSet::new(),
        leased_at: None,
        last_heard: now,
        transit: None,
        reserved: None,
        outcomes: WorkerOutcomes::default(),
        quarantined_until: now,
        timer_set: false,
    }
}
