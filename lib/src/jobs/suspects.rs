//! The runs that may have crashed their worker, as the leader sees them. None of this is replicated.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    ids::{Incarnation, WorkerName},
    jobs::{
        crash::MAX_CRASHES,
        fleet::{Fleet, Worker},
        model::{JobId, Run, StepKey, TaskKey, WorkerNumber},
        report::Report,
    },
    time::Time,
};

/// How long a worker must list a run before a crash isn't attributed to the run any more.
pub const SETTLING: Duration = Duration::from_millis(500);

/// How long a worker may be reserved for a task that is to run without other unsettled runs.
const RESERVATION: Duration = Duration::from_secs(2);

/// How long the suspects of a silent worker are remembered after its lease has run out.
const LAPSED_RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of silent workers whose suspects are remembered.
const MAX_LAPSED: usize = 512;

/// The delay before a long-running task starts again after [`MAX_CRASHES`] crashes. It doubles with
/// each further crash.
const FIRST_DELAY: Duration = Duration::from_secs(10);

/// The maximum delay before a long-running task starts again.
const MAX_DELAY: Duration = Duration::from_secs(600);

/// The suspects of all workers, and the workers that are reserved for suspects.
#[derive(Debug, Default)]
pub struct Suspects {
    /// The workers whose lease has run out; the oldest come first.
    lapsed: VecDeque<Lapsed>,
    reserved: BTreeMap<TaskKey, Reservation>,
    /// When each delayed task may start again.
    delayed: HashMap<TaskKey, Time>,
}

/// A worker whose lease has run out. Whether it has crashed or is cut off isn't known yet.
#[derive(Debug)]
pub struct Lapsed {
    /// Its name.
    pub name: WorkerName,
    /// The runs that hadn't settled.
    pub runs: Vec<(TaskKey, Run)>,
    incarnation: Incarnation,
    address: Option<SocketAddr>,
    at: Time,
}

/// A worker that takes no other starts until its runs have settled and the task has started there.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    worker: WorkerNumber,
    until: Time,
}

impl Suspects {
    /// Remembers the unsettled runs of a worker whose lease has run out.
    pub fn lapse(&mut self, now: Time, worker: &Worker, runs: Vec<(TaskKey, Run)>) {
        if runs.is_empty() {
            return;
        }
        if self.lapsed.len() >= MAX_LAPSED {
            self.lapsed.pop_front();
        }
        self.lapsed.push_back(Lapsed {
            name: worker.name.clone(),
            runs,
            incarnation: worker.incarnation,
            address: worker.profile.as_ref().map(|profile| profile.address),
            at: now,
        });
    }

    /// Takes the lapsed workers that are known to have crashed, since a later incarnation has the
    /// same name or address. Forgets a lapsed worker that is heard again.
    pub fn identify(&mut self, now: Time, report: &Report) -> Vec<Lapsed> {
        let (mut crashed, mut others) = (Vec::new(), VecDeque::new());
        for lapsed in self.lapsed.drain(..) {
            let named = lapsed.name == report.name;
            let addressed = lapsed.address == Some(report.address);
            let heard = named && lapsed.incarnation == report.incarnation;
            if heard || now.since(lapsed.at) > LAPSED_RETENTION {
                continue;
            }
            if (named || addressed) && lapsed.incarnation < report.incarnation {
                crashed.push(lapsed);
            } else {
                others.push_back(lapsed);
            }
        }
        self.lapsed = others;
        crashed
    }

    /// Delays the next start of a long-running task that has caused this number of crashes.
    pub fn delay(&mut self, now: Time, task: TaskKey, crashes: u32) {
        if let Some(doublings) = crashes.checked_sub(MAX_CRASHES) {
            let delay = FIRST_DELAY.saturating_mul(2_u32.saturating_pow(doublings)).min(MAX_DELAY);
            self.delayed.insert(task, now + delay);
        }
    }

    /// Whether the task may not start yet.
    pub fn is_delayed(&self, now: Time, task: &TaskKey) -> bool {
        self.delayed.get(task).is_some_and(|until| now < *until)
    }

    /// The worker that is reserved for the task.
    pub fn reserved(&self, task: &TaskKey) -> Option<WorkerNumber> {
        self.reserved.get(task).map(|reservation| reservation.worker)
    }

    /// Reserves a worker for the task.
    pub fn reserve(&mut self, now: Time, task: TaskKey, worker: WorkerNumber) {
        self.reserved.insert(task, Reservation { worker, until: now + RESERVATION });
    }

    /// Ends the reservation of a task that starts.
    pub fn release(&mut self, task: &TaskKey) {
        self.reserved.remove(task);
    }

    /// The steps of tasks whose reserved worker has no unsettled run left.
    pub fn startable(&self, fleet: &Fleet) -> BTreeSet<StepKey> {
        let ready = self.reserved.iter().filter(|(_, reservation)| {
            let worker = fleet.workers.get(&reservation.worker);
            worker.is_some_and(|worker| worker.held.is_some() && worker.is_settled())
        });
        ready.map(|(task, _)| task.step_key()).collect()
    }

    /// Ends the reservations that have expired, or for which `keep` doesn't hold. Returns their
    /// workers.
    pub fn expire(
        &mut self,
        now: Time,
        keep: impl Fn(&TaskKey, WorkerNumber) -> bool,
    ) -> Vec<(TaskKey, WorkerNumber)> {
        let ended = self.reserved.iter().filter(|(task, reservation)| {
            reservation.until <= now || !keep(task, reservation.worker)
        });
        let ended: Vec<_> = ended.map(|(task, reservation)| (*task, reservation.worker)).collect();
        for (task, _) in &ended {
            self.reserved.remove(task);
        }
        ended
    }

    /// Forgets a task that has settled.
    pub fn absolve(&mut self, task: &TaskKey) {
        self.delayed.remove(task);
    }

    /// Forgets a job that has ended.
    pub fn forget(&mut self, id: JobId) {
        self.delayed.retain(|task, _| task.job != id);
    }
}
