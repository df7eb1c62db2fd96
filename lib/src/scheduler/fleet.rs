//! The workers of the data centre and the room that is committed on them.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{Attempt, Epoch, Fence, Incarnation, Rack, TaskAttempt, TaskId, WorkerName},
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
    /// The tries that hold room on it.
    pub(super) tries: BTreeMap<TaskId, Seat>,
    /// The number of its announcements.
    pub(super) round: u64,
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

/// What is kept of a try beside its worker, so that most reports need no look at its task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seat {
    pub(super) attempt: Attempt,
    /// The number of its task's kind.
    pub(super) kind: u32,
    /// The room that it holds.
    pub(super) size: Resources,
    /// Whether a report that it runs changes nothing.
    pub(super) steady: bool,
    /// The last announcement that listed it.
    pub(super) round: u64,
}

impl Worker {
    /// Takes in that the current announcement lists a try, and gives what was known of it.
    pub(super) fn list(&mut self, attempt: TaskAttempt) -> Option<Seat> {
        let round = self.round;
        let seat = self.tries.get_mut(&attempt.task)?;
        if seat.attempt != attempt.attempt {
            return None;
        }
        let before = *seat;
        seat.round = round;
        Some(before)
    }

    /// The tries that the current announcement doesn't list.
    pub(super) fn unlisted(&self) -> Vec<TaskId> {
        let unlisted = self.tries.iter().filter(|(_, seat)| seat.round != self.round);
        unlisted.map(|(id, _)| *id).collect()
    }

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

    /// Moves room of a try from one tier to another.
    pub(super) fn charge_again(&mut self, from: Tier, to: Tier, size: &Resources) {
        let left = &mut self.tiers[from as usize];
        *left = left.saturating_sub(size);
        let right = &mut self.tiers[to as usize];
        *right = right.saturating_add(size);
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
    /// Slots of workers that were forgotten.
    vacant: Vec<WorkerSlot>,
    /// The largest fence that was given. A worker that was forgotten and comes back gets no
    /// smaller one.
    fence: u64,
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
        let worker = unknown(now, name, Fence(self.fence));
        let slot = match self.vacant.pop() {
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

    /// Forgets a worker that has no lease and holds no try.
    pub(super) fn forget(&mut self, slot: WorkerSlot) {
        let name = self[slot].name.clone();
        if self.names.get(&name) != Some(&slot) {
            return;
        }
        self.names.remove(&name);
        self.vacant.push(slot);
        self.resize(slot, &Resources::ZERO);
        let rack = std::mem::replace(&mut self[slot].rack, usize::MAX);
        if let Some(members) = self.members.get_mut(rack) {
            members.retain(|member| *member != slot);
        }
    }

    /// Makes commands that were sent to a worker until now void.
    pub(super) fn raise_fence(&mut self, slot: WorkerSlot) {
        self.fence += 1;
        self[slot].fence = Fence(self.fence);
    }

    /// How many workers are known.
    pub(super) fn len(&self) -> usize {
        self.names.len()
    }

    /// Every worker that is known.
    pub(super) fn known(&self) -> impl Iterator<Item = &Worker> {
        self.names.values().map(|slot| &self[*slot])
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
        if *capacity != Resources::ZERO {
            *self.shapes.entry(shape(capacity)).or_default() += 1;
        }
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
        let seat = Seat { attempt: attempt.attempt, kind, size: *size, steady: false, round: 0 };
        worker.tries.insert(attempt.task, seat);
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

fn unknown(now: Time, name: &WorkerName, fence: Fence) -> Worker {
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
        growing: None,
        committed: Resources::ZERO,
        expected: Resources::ZERO,
        tiers: [Resources::ZERO; Tier::ALL.len()],
        tries: BTreeMap::new(),
        round: 0,
        surmised: BTreeSet::new(),
        answered: None,
        heard: now,
        reserved: None,
        failures: Record::default(),
        release: now,
        watched: false,
    }
}
