//! The cost of placing a task on a worker, and the explanation of a choice.

use std::fmt;

use crate::{
    data,
    ids::TaskId,
    interference::port::Neighbour,
    scheduler::{
        Scheduler, charts::Health, fleet::Worker, index::WorkerSlot, queue::Priority, tasks::Task,
    },
    time::Time,
};

/// The cost of each further replica in a rack; filling an empty worker costs 1,000.
const RACK_COST: u32 = 4_000;
/// The cost of the worker on which the last attempt failed.
const AVOID_COST: u32 = 2_000;
/// The cost of a worker in probation for an urgent task.
const UNPROVEN_COST: u32 = 8_000;
/// The cost of a worker whose attempts are expected to use twice its capacity.
const OVERLOAD_COST: f64 = 2_000.0;
/// The cost of doubling a service's expected latency.
const HARM_COST: f64 = 1_000.0;

data! {
    /// The cost of placing a task on a worker, in thousandths of a worker's capacity.
    #[derive(Copy, Default)]
    pub struct Cost {
        /// For batch work, the capacity that would be left; otherwise, the capacity that is taken.
        pub room: u32,
        /// Replicas of the same service in the rack.
        pub rack: u32,
        /// Whether the last attempt failed there.
        pub failed: u32,
        /// Whether an urgent task would go to a worker in probation.
        pub unproven: u32,
        /// The expected rise of service latency.
        pub interference: u32,
        /// By how much the expected use of the worker's attempts exceeds its capacity.
        pub overload: u32,
    }

    /// Why a worker was chosen.
    #[derive(Copy, Default)]
    pub struct Choice {
        /// How many workers were compared.
        pub candidates: u32,
        /// The cost of the chosen one.
        pub cost: Cost,
    }
}

impl Cost {
    /// The sum of all parts.
    pub fn total(&self) -> u32 {
        [self.room, self.rack, self.failed, self.unproven, self.interference, self.overload]
            .into_iter()
            .fold(0, u32::saturating_add)
    }
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Cost { room, rack, failed, unproven, interference, overload } = self.cost;
        write!(f, "cheapest of {} at {}", self.candidates, self.cost.total())?;
        let parts = [
            ("room", room),
            ("rack", rack),
            ("failed there", failed),
            ("unproven", unproven),
            ("interference", interference),
            ("overload", overload),
        ];
        for (name, part) in parts.into_iter().filter(|(_, part)| *part > 0) {
            write!(f, ", {name} {part}")?;
        }
        Ok(())
    }
}

impl Scheduler {
    /// The cost of placing a task on a worker; the lowest is best.
    pub(super) fn cost(
        &self,
        now: Time,
        id: TaskId,
        slot: WorkerSlot,
        neighbour: Option<&Neighbour>,
    ) -> Option<Cost> {
        let task = self.tasks.get(id)?;
        let worker = &self.fleet[slot];
        let left = worker.free().saturating_sub(&task.size());
        let empty = (left.dominant_share(&worker.capacity).min(1.0) * 1_000.0) as u32;
        let same = match &task.open.spec.service {
            Some(service) => self.spread.count(service, worker.rack),
            None => 0,
        };
        let harm = neighbour
            .map_or(0.0, |neighbour| self.interference.penalty(now, &worker.name, neighbour));
        let failed = task.failed_on == Some(slot);
        let unproven = task.priority == Priority::Urgent && worker.health == Health::Probation;
        Some(Cost {
            // Normal work is packed onto nearly full workers, which keeps large blocks of capacity
            // free; urgent work goes to the emptiest.
            room: match task.priority {
                Priority::Normal => empty,
                Priority::Urgent => 1_000 - empty,
            },
            rack: same.saturating_mul(RACK_COST),
            failed: if failed { AVOID_COST } else { 0 },
            unproven: if unproven { UNPROVEN_COST } else { 0 },
            interference: (harm * HARM_COST) as u32,
            overload: self.overload(task, worker),
        })
    }

    /// The cost of exceeding a worker's capacity, by the use that was observed for the kinds of its
    /// attempts.
    fn overload(&self, task: &Task, worker: &Worker) -> u32 {
        let expected = self.estimates.expected(task.kind, &task.size());
        let expected = expected.saturating_add(&worker.expected);
        let load = expected.dominant_share(&worker.capacity).min(2.0);
        (OVERLOAD_COST * (load - 1.0).max(0.0)) as u32
    }
}
