//! What keeps a worker from running a waiting task.

use crate::{
    jobs::{
        fleet::Worker,
        placement::{Request, may_run},
        pool::{Candidates, Room},
        waiting::Demand,
    },
    resources::Resources,
    symbols,
    time::Time,
};

symbols! {
    /// What keeps a worker from running a waiting task; the first reason that applies.
    pub enum Obstacle {
        /// Its service, its labels or the spread of the step exclude it.
        Excluded = "excluded",
        /// It leaves.
        Leaving = "leaving",
        /// Its data centre is evacuated.
        Evacuated = "evacuated",
        /// It is avoided, since its runs fail, stall or are slow.
        Avoided = "avoided",
        /// Its runs reserve more than it has.
        Overcommitted = "overcommitted",
        /// Its last heartbeat is too old, or may have been held up.
        Unheard = "unheard",
        /// It is reserved for a task that may crash it.
        Probation = "probation",
        /// It has too little memory.
        Memory = "memory",
        /// It has too few processors or accelerators.
        Processors = "processors",
        /// None that is known.
        None = "none",
    }
}

impl Obstacle {
    /// The first reason why the worker doesn't run a task of the request.
    pub fn of(worker: &Worker, now: Time, request: &Request<'_>) -> Self {
        let demand = Demand::new(request.step);
        let room = Room::left(worker);
        match () {
            () if !may_run(worker, request) => Self::Excluded,
            () if worker.is_leaving() => Self::Leaving,
            () if worker.evacuated => Self::Evacuated,
            () if !worker.health.is_healthy(now) => Self::Avoided,
            () if worker.is_overcommitted() => Self::Overcommitted,
            () if !Candidates::Live.include(worker, now) => Self::Unheard,
            () if worker.probation.is_some() => Self::Probation,
            () if room.free.memory_mib < demand.reserved.memory_mib => Self::Memory,
            () if !room.fits(&demand) => Self::Processors,
            () => Self::None,
        }
    }
}

/// The workers with the same obstacle.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObstacleGroup {
    /// The number of workers.
    pub count: u32,
    /// The largest room that one of them lists.
    pub room: Resources,
    /// The name of that worker.
    pub worker: String,
}

impl ObstacleGroup {
    /// Adds a worker. Its room is compared with that of the others by how much of `needs` it covers.
    pub fn add(&mut self, worker: &Worker, needs: &Resources) {
        let room = worker.listed_room();
        if self.count == 0 || room.covered_percent(needs) > self.room.covered_percent(needs) {
            self.room = room;
            self.worker = worker.name.to_string();
        }
        self.count += 1;
    }
}
