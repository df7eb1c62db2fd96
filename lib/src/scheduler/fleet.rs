//! The workers of the data centre and the room that is committed on them.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{Epoch, Fence, Incarnation, Rack, TaskId, WorkerName},
    policy::Tier,
    resources::Resources,
    scheduler::{
        charts::{Health, WORKER},
        failures::Record,
        index::{Index, WorkerSlot},
    },
    time::Time,
};

/// What is known of a worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) name: WorkerName,
    pub(super) rack: usize,
    pub(super) address: String,
    pub(super) incarnation: Option<Incarnation>,
    /// The largest epoch that it said it has seen.
    pub(super) epoch: Option<Epoch>,
    pub(super) fence: Fence,
    pub(super) health: Health,
    pub(super) leaving: bool,
    pub(super) capacity: Resources,
    /// Since when its announcements have carried more than `capacity`.
    pub(super) growing: Option<Time>,
    pub(super) committed: Resources,
    /// What its tries are expected to use.
    pub(super) expected: Resources,
    /// The part of `committed` that each tier holds.
    pub(super) tiers: [Resources; Tier::ALL.len()],
    pub(super) tries: BTreeSet<TaskId>,
    /// Tasks whose tries on it were counted as stopped because its lease ran out.
    pub(super) surmised: BTreeSet<TaskId>,
    /// When the last announcement was answered with a lease.
    pub(super) answered: Option<Time>,
    pub(super) heard: Time,
    /// The task that the worker is kept free for.
    pub(super) reserved: Option<TaskId>,
    pub(super) failures: Record,
    /// When its quarantine is over.
    pub(super) release: Time,
    /// Whether a timer is set for it.
    pub(super) watched: bool,
}

impl Worker {
    /// The room that nothing holds.
    pub(super) fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.committed)
    }

    /// Whether what it holds is more than what it has.
    pub(super) fn overfull(&self) -> bool {
        !self.capacity.fits(&self.committed)
    }

    /// The room that work weaker than `tier` holds.
    pub(super) fn weaker(&self, tier: Tier) -> Resources {
        Tier::ALL
            .iter()
            .filter(|other| **other > tier)
            .fold(Resources::ZERO, |sum, other| sum.saturating_add(&self.tiers[*other as usize]))
    }

    /// Whether a lease was given whose time hasn't surely run out.
    pub(super) fn leased(&self) -> bool {
        self.health != Health::Silent
    }
}

/// The workers of a data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    workers: Vec<Worker>,
    names: BTreeMap<WorkerName, WorkerSlot>,
    racks: BTreeMap<Rack, usize>,
    /// The workers of each rack.
    pub(super) members: Vec<Vec<WorkerSlot>>,
    /// Those that may get work.
    pub(super) index: Index,
    /// How many workers have a capacity.
    shapes: BTreeMap<(u64, u64, u32), u32>,
    /// The room of all workers with a lease.
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
    /// The slot of a worker that is known.
    pub(super) fn find(&self, name: &WorkerName) -> Option<WorkerSlot> {
        self.names.get(name).copied()
    }

    /// The slot of a worker, made if it isn't known.
    pub(super) fn slot(&mut self, now: Time, name: &WorkerName) -> WorkerSlot {
        if let Some(slot) = self.find(name) {
            return slot;
        }
        let slot = WorkerSlot(u32::try_from(self.workers.len()).expect("fewer than 2^32 workers"));
        self.workers.push(unknown(now, name));
        self.names.insert(name.clone(), slot);
        slot
    }

    /// Every slot.
    pub(super) fn slots(&self) -> impl Iterator<Item = WorkerSlot> + use<> {
        (0..self.workers.len()).map(|at| WorkerSlot(at as u32))
    }

    /// Every worker.
    pub(super) fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Puts a worker into a rack.
    pub(super) fn move_to(&mut self, slot: WorkerSlot, rack: &Rack) {
        let fresh = self.racks.len();
        let at = *self.racks.entry(rack.clone()).or_insert(fresh);
        if self.members.len() <= at {
            self.members.resize_with(at + 1, Vec::new);
        }
        let old = std::mem::replace(&mut self[slot].rack, at);
        if old == at {
            return;
        }
        if let Some(members) = self.members.get_mut(old) {
            members.retain(|member| *member != slot);
        }
        self.members[at].push(slot);
    }

    /// The rack of a worker.
    pub(super) fn rack_of(&self, slot: WorkerSlot) -> Option<&Rack> {
        self.racks.iter().find(|(_, at)| **at == self[slot].rack).map(|(rack, _)| rack)
    }

    /// Counts a worker's capacity among what there is.
    pub(super) fn count_in(&mut self, slot: WorkerSlot) {
        self.total = self.total.saturating_add(&self[slot].capacity);
    }

    /// No longer counts a worker's capacity.
    pub(super) fn count_out(&mut self, slot: WorkerSlot) {
        self.total = self.total.saturating_sub(&self[slot].capacity);
    }

    /// Sets a worker's capacity.
    pub(super) fn resize(&mut self, slot: WorkerSlot, capacity: &Resources) {
        let counted = self[slot].leased();
        if counted {
            self.count_out(slot);
        }
        let old = std::mem::replace(&mut self[slot].capacity, *capacity);
        if let Some(count) = self.shapes.get_mut(&shape(&old)) {
            *count -= 1;
            if *count == 0 {
                self.shapes.remove(&shape(&old));
            }
        }
        *self.shapes.entry(shape(capacity)).or_default() += 1;
        if counted {
            self.count_in(slot);
        }
        self.refresh(slot);
    }

    /// The distinct capacities of all workers that were heard of, also of those without a lease.
    pub(super) fn shapes(&self) -> impl Iterator<Item = Resources> + '_ {
        self.shapes.keys().map(|(millicores, memory_mib, accelerators)| Resources {
            millicores: *millicores,
            memory_mib: *memory_mib,
            accelerators: *accelerators,
        })
    }

    /// Holds room on a worker for a try.
    pub(super) fn commit(&mut self, slot: WorkerSlot, task: TaskId, size: &Resources, tier: Tier) {
        let worker = &mut self[slot];
        worker.committed = worker.committed.saturating_add(size);
        worker.tiers[tier as usize] = worker.tiers[tier as usize].saturating_add(size);
        worker.tries.insert(task);
        self.refresh(slot);
    }

    /// Gives room on a worker back.
    pub(super) fn release(&mut self, slot: WorkerSlot, task: TaskId, size: &Resources, tier: Tier) {
        let worker = &mut self[slot];
        worker.committed = worker.committed.saturating_sub(size);
        worker.tiers[tier as usize] = worker.tiers[tier as usize].saturating_sub(size);
        worker.tries.remove(&task);
        self.refresh(slot);
    }

    /// Moves a worker that may get work to where its free room belongs.
    pub(super) fn refresh(&mut self, slot: WorkerSlot) {
        if self.index.contains(slot) {
            let free = self[slot].free();
            self.index.insert(slot, &free);
        }
    }

    /// Lets a worker get work.
    pub(super) fn admit(&mut self, slot: WorkerSlot) {
        if self[slot].reserved.is_none() && !self[slot].overfull() {
            let free = self[slot].free();
            self.index.insert(slot, &free);
        }
    }
}

fn shape(capacity: &Resources) -> (u64, u64, u32) {
    (capacity.millicores, capacity.memory_mib, capacity.accelerators)
}

fn unknown(now: Time, name: &WorkerName) -> Worker {
    Worker {
        name: name.clone(),
        rack: usize::MAX,
        address: String::new(),
        incarnation: None,
        epoch: None,
        fence: Fence(0),
        health: WORKER.initial(),
        leaving: false,
        capacity: Resources::ZERO,
        growing: None,
        committed: Resources::ZERO,
        expected: Resources::ZERO,
        tiers: [Resources::ZERO; Tier::ALL.len()],
        tries: BTreeSet::new(),
        surmised: BTreeSet::new(),
        answered: None,
        heard: now,
        reserved: None,
        failures: Record::default(),
        release: now,
        watched: false,
    }
}
