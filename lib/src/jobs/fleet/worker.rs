//! One incarnation of a worker as the leader sees it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    ids::{DataCentre, Incarnation, ServiceName, WorkerName},
    jobs::{
        controller::Ticket,
        delivery::DeliveryWindow,
        fleet::{Orphan, RunView},
        health::Health,
        model::{Label, Run, StepKey, TaskKey},
        neighbours::Neighbours,
        report::Report,
    },
    resources::Resources,
    time::Time,
};

/// The percentage of their reserved processors that serving tasks are assumed to use until their
/// load is known.
const ASSUMED_LOAD_PERCENT: u64 = 50;

/// The percentage of the processors of a worker with serving tasks that all its tasks may use
/// together, counting opportunistic tasks by their requests, which few of them reach. Tail latencies
/// rise steeply once all processors are in use.
const MAX_USED_PERCENT: u64 = 104;

/// The maximum number of runs on a worker. Its heartbeats list them all, and a frontend limits the size of
/// heartbeats.
const MAX_RUNS: usize = 8000;

/// One incarnation of a worker.
#[derive(Debug)]
pub struct Worker {
    /// Its name.
    pub name: WorkerName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The properties it reported last; `None` before its first heartbeat to this leader.
    pub profile: Option<Profile>,
    /// The sequence number of its last heartbeat.
    pub sequence: u64,
    /// When that heartbeat arrived.
    pub last_heartbeat: Time,
    /// Whether that heartbeat is known to have been timely.
    pub confirmed: bool,
    /// The time until which the worker may still execute its runs, by this controller's clock.
    pub lease_until: Time,
    /// Whether its lease is one of an earlier leader: it may still search for this one.
    pub searching: bool,
    /// The heartbeat that is held open until there is something to send.
    pub held: Option<HeldHeartbeat>,
    /// How many starts a response may carry.
    pub delivery: DeliveryWindow,
    /// The runs that it lists, and those that it was sent.
    pub runs: BTreeMap<TaskKey, RunView>,
    /// The sum of what these runs and the orphans reserve.
    pub reserved: Resources,
    /// The processors that its opportunistic runs request, in millicores.
    pub demand: u64,
    /// The number of its serving runs.
    pub serving: u32,
    /// The processors that its serving runs reserve, in millicores.
    pub serving_reserved: u64,
    /// The processors that its serving runs use at their present load, in millicores; an estimate.
    pub serving_used: u64,
    /// Runs that the worker lists but should not execute, and that aren't among `runs`.
    pub orphans: BTreeMap<(TaskKey, Run), Orphan>,
    /// The number of the last reported end that was processed.
    pub last_end: u64,
    /// Whether its last list of ends was full, so that further runs may have ended.
    pub more_ends: bool,
    /// The ends that aren't acknowledged, by their numbers, with their tasks; see
    /// [`Worker::acknowledged`].
    pub withheld: BTreeMap<u64, TaskKey>,
    /// Whether withheld ends fill its list, so that it can't report others.
    pub blocked: bool,
    /// Since when it has reported that it leaves.
    pub leaving_since: Option<Time>,
    /// `None` if it hasn't left.
    pub departure: Option<Departure>,
    /// Since when its runs have reserved more than it has, or when some were last moved away for it.
    pub excess_since: Option<Time>,
    /// A summary of its runs for placement.
    pub neighbours: Neighbours,
    /// The recent outcomes of its runs.
    pub health: Health,
    /// Whether its data centre is evacuated.
    pub evacuated: bool,
    /// The task that runs here alone until it has settled, or for which the worker is reserved.
    pub probation: Option<TaskKey>,
}

/// The properties that a worker reports.
#[derive(Debug)]
pub struct Profile {
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its labels; one of them names its rack.
    pub labels: Vec<Label>,
    /// The address that other processes reach it at.
    pub address: SocketAddr,
    /// Its total resources.
    pub capacity: Resources,
    /// The earliest time at which it leaves; `None` if it stays.
    pub leaves_at: Option<Time>,
}

/// When the runs of a worker that has left are given up.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    /// When it has surely exited, and its long-running runs with it.
    pub exited: Time,
    /// When the lease that it held runs out. Until then, a heartbeat that its leave message overtook
    /// may still report the ends of its other runs.
    pub lapsed: Time,
}

/// A heartbeat that is held open.
#[derive(Clone, Copy, Debug)]
pub struct HeldHeartbeat {
    /// Identifies the request to answer.
    pub ticket: Ticket,
    /// When it arrived.
    pub since: Time,
    /// When it has to be answered at the latest.
    pub until: Time,
}

impl Worker {
    /// An incarnation without a heartbeat to this leader yet; its lease may last until
    /// `lease_until`.
    pub fn new(name: WorkerName, incarnation: Incarnation, now: Time, lease_until: Time) -> Self {
        Self {
            name,
            incarnation,
            profile: None,
            sequence: 0,
            last_heartbeat: now,
            confirmed: true,
            lease_until,
            searching: false,
            held: None,
            delivery: DeliveryWindow::default(),
            runs: BTreeMap::new(),
            reserved: Resources::ZERO,
            demand: 0,
            serving: 0,
            serving_reserved: 0,
            serving_used: 0,
            orphans: BTreeMap::new(),
            last_end: 0,
            more_ends: false,
            withheld: BTreeMap::new(),
            blocked: false,
            leaving_since: None,
            departure: None,
            excess_since: None,
            neighbours: Neighbours::default(),
            health: Health::default(),
            evacuated: false,
            probation: None,
        }
    }

    /// Updates the properties from a heartbeat.
    pub fn update_profile(&mut self, now: Time, report: &Report) {
        self.sequence = report.sequence;
        self.last_heartbeat = now;
        self.more_ends = report.more_ends;
        let leaves_at = report.leaving.map(|left| now + Duration::from_millis(left));
        self.profile = Some(Profile {
            service: report.service.clone(),
            centre: report.centre.clone(),
            labels: report.labels.clone(),
            address: report.address,
            capacity: report.capacity,
            leaves_at,
        });
        if leaves_at.is_some() {
            self.leaving_since.get_or_insert(now);
        } else {
            self.leaving_since = None;
            // The leave message was that of an earlier incarnation with the same name.
            self.departure = None;
        }
    }

    /// Adds a run. An older run of the task that the worker still lists becomes an orphan.
    pub fn add(&mut self, task: TaskKey, view: RunView) {
        if let Some(older) = self.remove(&task)
            && older.listed
            && older.run != view.run
        {
            let orphan = Orphan { reserved: older.reserved, missing: older.missing };
            self.add_orphan(task, older.run, orphan);
        }
        self.reserved = self.reserved.saturating_add(&view.reserved);
        self.demand = self.demand.saturating_add(view.demand);
        if view.target_latency.is_some() {
            self.serving += 1;
            self.serving_reserved = self.serving_reserved.saturating_add(view.reserved.millicores);
            self.serving_used = self.serving_used.saturating_add(assumed_use(&view));
        }
        if view.probation {
            self.probation = Some(task);
        }
        self.runs.insert(task, view);
    }

    /// Removes a run.
    pub fn remove(&mut self, task: &TaskKey) -> Option<RunView> {
        let view = self.runs.remove(task)?;
        if self.probation == Some(*task) {
            self.probation = None;
        }
        self.reserved = self.reserved.saturating_sub(&view.reserved);
        self.demand = self.demand.saturating_sub(view.demand);
        if view.target_latency.is_some() {
            self.serving -= 1;
            self.serving_reserved = self.serving_reserved.saturating_sub(view.reserved.millicores);
            self.serving_used = self.serving_used.saturating_sub(assumed_use(&view));
        }
        Some(view)
    }

    /// Adds an orphan.
    pub fn add_orphan(&mut self, task: TaskKey, run: Run, orphan: Orphan) {
        self.remove_orphan(&task, run);
        self.reserved = self.reserved.saturating_add(&orphan.reserved);
        self.orphans.insert((task, run), orphan);
    }

    /// Removes an orphan.
    pub fn remove_orphan(&mut self, task: &TaskKey, run: Run) -> Option<Orphan> {
        let orphan = self.orphans.remove(&(*task, run))?;
        self.reserved = self.reserved.saturating_sub(&orphan.reserved);
        Some(orphan)
    }

    /// Marks the orphans that the worker doesn't list, and removes those that were missing before.
    pub fn expire_orphans(&mut self, listed: &BTreeSet<(TaskKey, Run)>) {
        let missing: Vec<_> =
            self.orphans.keys().filter(|key| !listed.contains(key)).copied().collect();
        for (task, run) in missing {
            if let Some(orphan) = self.orphans.get_mut(&(task, run))
                && !std::mem::replace(&mut orphan.missing, true)
            {
                continue;
            }
            self.remove_orphan(&task, run);
        }
    }

    /// The resources that aren't reserved; zero before the first heartbeat.
    pub fn free(&self) -> Resources {
        self.capacity().saturating_sub(&self.reserved)
    }

    /// The resources that the runs and orphans in its last list don't reserve. Starts that it hasn't
    /// listed take none of them, other than in [`Worker::free`].
    pub fn listed_room(&self) -> Resources {
        let runs = self.runs.values().filter(|view| view.listed && !view.missing);
        let orphans = self.orphans.values().filter(|orphan| !orphan.missing);
        let reserved =
            runs.map(|view| &view.reserved).chain(orphans.map(|orphan| &orphan.reserved));
        let reserved = reserved.fold(Resources::ZERO, |sum, each| sum.saturating_add(each));
        self.capacity().saturating_sub(&reserved)
    }

    /// The starts that it hasn't listed. Before its first heartbeat to this leader none is known.
    pub fn unlisted(&self) -> impl Iterator<Item = (&TaskKey, &RunView)> {
        let runs = self.runs.iter().filter(|_| self.profile.is_some());
        runs.filter(|(_, view)| !view.listed)
    }

    /// Whether its runs reserve more than it has. It may have shrunk since they were started.
    pub fn is_overcommitted(&self) -> bool {
        !self.capacity().fits(&self.reserved)
    }

    /// What its runs reserve beyond its capacity, without those that are being stopped.
    pub fn excess(&self) -> Resources {
        let staying = self.runs.values().filter(|view| !view.stopping);
        let reserved =
            staying.fold(Resources::ZERO, |sum, view| sum.saturating_add(&view.reserved));
        reserved.saturating_sub(&self.capacity())
    }

    /// Its total resources; zero before the first heartbeat.
    pub fn capacity(&self) -> Resources {
        self.profile.as_ref().map_or(Resources::ZERO, |profile| profile.capacity)
    }

    /// The processors that all its tasks may use together, in millicores.
    fn usable_processors(&self) -> u64 {
        let millicores = self.capacity().millicores;
        if self.serving > 0 {
            millicores.saturating_mul(MAX_USED_PERCENT) / 100
        } else {
            millicores
        }
    }

    /// The processors that reservations and serving tasks take, in millicores.
    fn taken(&self) -> u64 {
        let others = self.reserved.millicores.saturating_sub(self.serving_reserved);
        others.saturating_add(self.serving_used)
    }

    /// The processors that are left for further opportunistic tasks, in millicores.
    pub fn unused(&self) -> u64 {
        self.usable_processors().saturating_sub(self.taken().saturating_add(self.demand))
    }

    /// The pace, from 0 to 1, at which the processors suffice for all opportunistic tasks; 1 before
    /// the first heartbeat.
    pub fn affordable_pace(&self) -> f64 {
        if self.profile.is_none() {
            return 1.0;
        }
        let left = self.usable_processors().saturating_sub(self.taken());
        if left >= self.demand { 1.0 } else { left as f64 / self.demand as f64 }
    }

    /// The estimated number of processors in use, in millicores: the reported usage of
    /// opportunistic tasks, the average usage of serving tasks and the reservations of all others.
    pub fn used(&self) -> u64 {
        let opportunistic = self.runs.values().filter(|view| view.is_opportunistic());
        let used = opportunistic.map(|view| view.gauge.min(view.demand));
        used.fold(self.taken(), u64::saturating_add)
    }

    /// Whether its tasks use all processors that they may use together.
    pub fn is_saturated(&self) -> bool {
        self.profile.is_some() && self.used() > self.usable_processors()
    }

    /// The number of the step's tasks on this worker.
    pub fn count(&self, step: &StepKey) -> u32 {
        let range = step.task(0)..=step.task(u32::MAX);
        u32::try_from(self.runs.range(range).count()).unwrap_or(u32::MAX)
    }

    /// The number up to which the worker's ends may be acknowledged.
    ///
    /// If a run is done after its lease has expired and its task was requeued, the result is
    /// discarded and the task runs again. The end of such a run is not acknowledged, so that it
    /// isn't taken for the completion of the task. Neither are later ends, because an
    /// acknowledgement covers all ends up to its number.
    ///
    /// A worker that was removed and has returned ([`crate::jobs::returns`]) has surely dropped its lease
    /// after such a run. Its ends are acknowledged once their tasks need no further run or they fill its
    /// list. The lease of any other worker isn't renewed once they do.
    pub fn acknowledged(&self) -> u64 {
        let first = self.withheld.keys().next();
        first.map_or(self.last_end, |first| self.last_end.min(first - 1))
    }

    /// Whether it has both opportunistic and serving tasks.
    pub fn is_mixed(&self) -> bool {
        self.serving > 0 && self.demand > 0
    }

    /// Whether it stops a run that reserves processors.
    pub fn is_stopping(&self) -> bool {
        self.runs.values().any(|view| view.listed && view.stopping && view.reserved.millicores > 0)
    }

    /// Whether all its runs have settled.
    pub fn is_settled(&self) -> bool {
        self.runs.values().all(|view| view.settled)
    }

    /// Whether it has as many runs as a worker may have.
    pub fn is_full(&self) -> bool {
        self.runs.len() + self.orphans.len() >= MAX_RUNS
    }

    /// Whether it leaves or has left.
    pub fn is_leaving(&self) -> bool {
        let leaves = self.profile.as_ref().is_some_and(|profile| profile.leaves_at.is_some());
        leaves || self.departure.is_some()
    }

    /// Whether it neither leaves nor is evacuated.
    pub fn takes_starts(&self) -> bool {
        !self.is_leaving() && !self.evacuated
    }

    /// Whether runs may be started on the worker.
    pub fn is_usable(&self, now: Time) -> bool {
        self.can_start() && self.health.is_healthy(now)
    }

    /// Whether runs could be started on the worker if its health allowed it.
    pub fn can_start(&self) -> bool {
        self.profile.is_some()
            && self.renews_lease()
            && self.takes_starts()
            && !self.is_overcommitted()
    }

    /// Whether responses to its heartbeats grant a lease.
    pub fn renews_lease(&self) -> bool {
        self.confirmed && !self.blocked
    }
}

/// The processors that a serving run is assumed to use, in millicores.
fn assumed_use(view: &RunView) -> u64 {
    view.reserved.millicores.saturating_mul(ASSUMED_LOAD_PERCENT) / 100
}
