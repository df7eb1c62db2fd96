//! The workers as the leader sees them. None of this is replicated: a new leader rebuilds it from
//! the workers' heartbeats.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    ids::{Incarnation, ServiceName, WorkerName},
    jobs::{model::WorkerNumber, report::Report},
    resources::Resources,
    time::Time,
    transit::{Arrival, Transit},
};

mod run_view;
mod worker;

pub use self::{
    run_view::{FULL_PACE_PERCENT, Orphan, RunView},
    worker::{Departure, HeldHeartbeat, Profile, Worker},
};

/// All known workers.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The workers by their numbers.
    pub workers: BTreeMap<WorkerNumber, Worker>,
    names: HashMap<WorkerName, WorkerNumber>,
    /// The transit of the heartbeats of the last incarnation of each worker, known or removed.
    transits: HashMap<WorkerName, IncarnationTransit>,
    /// The most of each resource that a worker of each service has.
    largest: BTreeMap<ServiceName, Resources>,
    /// The deadlines of the held heartbeats.
    deadlines: BTreeSet<(Time, WorkerNumber)>,
}

/// The transit of the heartbeats of one incarnation of a worker.
#[derive(Debug)]
struct IncarnationTransit {
    incarnation: Incarnation,
    /// `None` if its heartbeats don't tell its clock.
    transit: Option<Transit>,
    /// When the last heartbeat arrived.
    arrived: Time,
}

/// How long the transit of heartbeats is kept after the last one. The network may deliver one of a
/// worker that is gone until then.
const TRANSIT_RETENTION: Duration = Duration::from_secs(300);

impl Fleet {
    /// The newest incarnation of the worker with this name.
    pub fn find(&self, name: &WorkerName) -> Option<WorkerNumber> {
        self.names.get(name).copied()
    }

    /// The workers that haven't left.
    pub fn present(&self) -> impl Iterator<Item = (WorkerNumber, &Worker)> {
        let present = self.workers.iter().filter(|(_, worker)| worker.departure.is_none());
        present.map(|(number, worker)| (*number, worker))
    }

    /// The worker with this name and incarnation. It isn't the newest one if it has left and the name was
    /// taken again.
    pub fn find_incarnation(
        &self,
        name: &WorkerName,
        incarnation: Incarnation,
    ) -> Option<WorkerNumber> {
        let newest = self.find(name)?;
        if self.workers.get(&newest).is_some_and(|worker| worker.incarnation == incarnation) {
            return Some(newest);
        }
        let mut workers = self.workers.iter();
        let found =
            workers.find(|(_, worker)| worker.incarnation == incarnation && worker.name == *name);
        found.map(|(number, _)| *number)
    }

    /// Classifies a heartbeat by the time that it was in transit. Without the worker's clock that isn't
    /// known; the first heartbeat after a worker was removed may then be one that was held up.
    pub fn arrive(&mut self, now: Time, report: &Report) -> Arrival {
        let is_known = self.names.contains_key(&report.name);
        let before = self.transits.get_mut(&report.name);
        let without_clock =
            if is_known || before.is_none() { Arrival::Timely } else { Arrival::Unconfirmed };
        match before {
            Some(known) if known.incarnation == report.incarnation => {
                known.arrived = now;
                return match (&mut known.transit, report.clock) {
                    (Some(transit), Some(clock)) => transit.arrive(now, clock),
                    (Some(_) | None, None | Some(_)) => without_clock,
                };
            }
            // It is ignored while the later incarnation is known.
            Some(known) if is_known && known.incarnation > report.incarnation => {
                return Arrival::Timely;
            }
            Some(_) | None => {}
        }
        let transit = IncarnationTransit {
            incarnation: report.incarnation,
            transit: report.clock.map(|clock| Transit::new(now, clock)),
            arrived: now,
        };
        let arrival = if transit.transit.is_some() { Arrival::Unconfirmed } else { without_clock };
        self.transits.insert(report.name.clone(), transit);
        arrival
    }

    /// Forgets the transit of heartbeats of workers that haven't been heard for a long time.
    pub fn forget_transits(&mut self, now: Time) {
        self.transits.retain(|_, known| now.since(known.arrived) < TRANSIT_RETENTION);
    }

    /// The services that use less than half of their processors. Workers that are evacuated don't count.
    pub fn idle_services(&self) -> Vec<ServiceName> {
        let mut services: BTreeMap<&ServiceName, (u64, u64)> = BTreeMap::new();
        for (_, worker) in self.present().filter(|(_, worker)| !worker.evacuated) {
            let Some(profile) = &worker.profile else { continue };
            let (used, capacity) = services.entry(&profile.service).or_default();
            *used = used.saturating_add(worker.used());
            *capacity = capacity.saturating_add(profile.capacity.millicores);
        }
        let idle =
            services.into_iter().filter(|(_, (used, capacity))| used.saturating_mul(2) < *capacity);
        idle.map(|(service, _)| service.clone()).collect()
    }

    /// The most of each resource that a worker of the service has.
    pub fn largest_worker(&self, service: &ServiceName) -> Resources {
        self.largest.get(service).copied().unwrap_or_default()
    }

    /// Takes the capacity of a worker into account for the largest worker of its service.
    pub fn add_capacity(&mut self, service: &ServiceName, capacity: &Resources) {
        match self.largest.get_mut(service) {
            Some(largest) => *largest = largest.max(capacity),
            None => drop(self.largest.insert(service.clone(), *capacity)),
        }
    }

    /// Computes the largest worker of each service again, after workers have shrunk or gone.
    pub fn update_largest(&mut self) {
        self.largest.clear();
        let profiles = self
            .workers
            .values()
            .filter(|worker| worker.departure.is_none())
            .filter_map(|worker| worker.profile.as_ref());
        for profile in profiles {
            let largest = self.largest.entry(profile.service.clone()).or_default();
            *largest = largest.max(&profile.capacity);
        }
    }

    /// Holds a worker's heartbeat. Returns the one that was held before, if any.
    pub fn hold(
        &mut self,
        number: WorkerNumber,
        heartbeat: HeldHeartbeat,
    ) -> Option<HeldHeartbeat> {
        let older = self.release(number);
        if let Some(worker) = self.workers.get_mut(&number) {
            worker.held = Some(heartbeat);
            self.deadlines.insert((heartbeat.until, number));
        }
        older
    }

    /// Takes the held heartbeat of a worker, if there is one.
    pub fn release(&mut self, number: WorkerNumber) -> Option<HeldHeartbeat> {
        let held = self.workers.get_mut(&number)?.held.take()?;
        self.deadlines.remove(&(held.until, number));
        Some(held)
    }

    /// When the first held heartbeat has to be answered.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(until, _)| *until)
    }

    /// The workers whose held heartbeats are due.
    pub fn due(&self, now: Time) -> impl Iterator<Item = WorkerNumber> {
        let due = self.deadlines.iter().take_while(move |(until, _)| *until <= now);
        due.map(|(_, number)| *number)
    }

    /// Adds an incarnation of a worker.
    pub fn insert(&mut self, number: WorkerNumber, worker: Worker) {
        let newest = self.find(&worker.name).and_then(|known| self.workers.get(&known));
        if newest.is_none_or(|known| known.incarnation <= worker.incarnation) {
            self.names.insert(worker.name.clone(), number);
        }
        self.workers.insert(number, worker);
    }

    /// Removes an incarnation of a worker.
    pub fn remove(&mut self, number: WorkerNumber) -> Option<Worker> {
        let worker = self.workers.remove(&number)?;
        if let Some(held) = worker.held {
            self.deadlines.remove(&(held.until, number));
        }
        if self.find(&worker.name) == Some(number) {
            self.names.remove(&worker.name);
        }
        Some(worker)
    }
}
