//! The workers that a round of placement considers, with the room that each of them has left.

use std::time::Duration;

use crate::{
    jobs::{
        fleet::{Fleet, Worker},
        model::WorkerNumber,
        waiting::Demand,
    },
    resources::Resources,
    time::Time,
};

/// The percentage of its requested processors that must be unused for an opportunistic task to be
/// placed.
const MIN_UNUSED_PERCENT: u64 = 80;

/// The age of the last heartbeat up to which a worker counts as live. Covers the longest interval
/// between two heartbeats (held for 0.7 s, then sent again after 0.9 s) and the network latency.
pub(crate) const LIVE_TIMEOUT: Duration = Duration::from_millis(1800);

/// The workers that are considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidates {
    /// Workers whose heartbeat is held open: they receive a start at once.
    Held,
    /// Workers with a recent heartbeat: they receive a start with the answer to their next one.
    Live,
    /// Workers with a recent heartbeat that are avoided, since their runs fail, stall or are slow.
    Avoided,
}

impl Candidates {
    /// Whether runs may be started on the worker.
    pub(super) fn include(self, worker: &Worker, now: Time) -> bool {
        let live = worker.held.is_some() || now.since(worker.last_heartbeat) < LIVE_TIMEOUT;
        match self {
            Self::Held => worker.held.is_some() && worker.is_usable(now),
            Self::Live => live && worker.is_usable(now),
            Self::Avoided => !worker.health.is_healthy(now) && live && worker.can_start(),
        }
    }
}

/// What is left on a worker, or the most that is left on any of several workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// The resources that aren't reserved.
    pub free: Resources,
    /// The processors that are left for opportunistic tasks, in millicores.
    pub unused: u64,
}

impl Room {
    /// No room.
    pub const NONE: Self = Self { free: Resources::ZERO, unused: 0 };

    /// The room on a worker; none while it is on probation.
    pub fn of(worker: &Worker) -> Self {
        if worker.probation.is_some() { Self::NONE } else { Self::left(worker) }
    }

    /// What is left on a worker, on probation or not.
    pub fn left(worker: &Worker) -> Self {
        if worker.is_full() {
            return Self::NONE;
        }
        Self { free: worker.free(), unused: worker.unused() }
    }

    /// Whether a task with this demand fits.
    pub fn fits(&self, demand: &Demand) -> bool {
        *self != Self::NONE
            && self.free.fits(&demand.reserved)
            && self.unused.saturating_mul(100)
                >= demand.unreserved.saturating_mul(MIN_UNUSED_PERCENT)
    }

    fn max(&self, other: &Self) -> Self {
        Self { free: self.free.max(&other.free), unused: self.unused.max(other.unused) }
    }
}

/// Workers, in the order of their numbers, with their rooms.
#[derive(Debug)]
pub struct Pool {
    members: Vec<(WorkerNumber, Room)>,
    /// An upper bound of the rooms of all members.
    largest: Room,
}

impl Pool {
    /// All workers of the fleet that are candidates.
    pub fn all(fleet: &Fleet, now: Time, candidates: Candidates) -> Self {
        Self::new(fleet.workers.iter(), now, candidates)
    }

    /// Those of the named workers that are candidates.
    pub fn of(
        fleet: &Fleet,
        now: Time,
        candidates: Candidates,
        numbers: impl IntoIterator<Item = WorkerNumber>,
    ) -> Self {
        let numbers = numbers.into_iter();
        let workers = numbers.filter_map(|number| fleet.workers.get_key_value(&number));
        Self::new(workers, now, candidates)
    }

    fn new<'a>(
        workers: impl Iterator<Item = (&'a WorkerNumber, &'a Worker)>,
        now: Time,
        candidates: Candidates,
    ) -> Self {
        let included = workers.filter(|(_, worker)| candidates.include(worker, now));
        let mut members: Vec<_> =
            included.map(|(number, worker)| (*number, Room::of(worker))).collect();
        members.sort_unstable_by_key(|(number, _)| *number);
        let mut pool = Self { members, largest: Room::NONE };
        pool.tighten();
        pool
    }

    /// Whether a member may have room for the demand. `false` is certain.
    pub fn may_fit(&self, demand: &Demand) -> bool {
        self.largest.fits(demand)
    }

    /// The members that have room for the demand.
    pub fn fitting(&self, demand: Demand) -> impl Iterator<Item = WorkerNumber> {
        let fitting = self.members.iter().filter(move |(_, room)| room.fits(&demand));
        fitting.map(|(number, _)| *number)
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no worker is a member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether a worker is a member that has room for the demand.
    pub fn has_room(&self, number: WorkerNumber, demand: &Demand) -> bool {
        let at = self.members.binary_search_by_key(&number, |(member, _)| *member);
        at.is_ok_and(|at| self.members[at].1.fits(demand))
    }

    /// Takes a worker out of the candidates.
    pub fn exclude(&mut self, number: WorkerNumber) {
        if let Ok(at) = self.members.binary_search_by_key(&number, |(member, _)| *member) {
            self.members[at].1 = Room::NONE;
        }
    }

    /// Updates the room of a worker whose runs have changed.
    pub fn update(&mut self, number: WorkerNumber, worker: &Worker) {
        if let Ok(at) = self.members.binary_search_by_key(&number, |(member, _)| *member) {
            self.members[at].1 = Room::of(worker);
            self.largest = self.largest.max(&self.members[at].1);
        }
    }

    /// Takes the room that a task with this demand needs from a member.
    pub fn take(&mut self, number: WorkerNumber, demand: &Demand) {
        if let Ok(at) = self.members.binary_search_by_key(&number, |(member, _)| *member) {
            let room = &mut self.members[at].1;
            let processors = demand.unreserved.saturating_add(demand.reserved.millicores);
            room.free = room.free.saturating_sub(&demand.reserved);
            room.unused = room.unused.saturating_sub(processors);
        }
    }

    /// Computes the bound of all rooms again, after some of them have shrunk.
    pub fn tighten(&mut self) {
        let rooms = self.members.iter().map(|(_, room)| room);
        self.largest = rooms.fold(Room::NONE, |largest, room| largest.max(room));
    }
}
