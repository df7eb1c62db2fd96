//! What is left in evacuated data centres.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::DataCentre,
    jobs::{
        controller::{LogEvent, leader::Leader},
        fleet::Worker,
    },
    symbols,
    time::Time,
};

/// The interval between two counts of what is left in the data centres.
pub(super) const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between two log lines about a data centre with runs.
pub(super) const LOG_INTERVAL: Duration = Duration::from_secs(10);

symbols! {
    /// The state of the evacuation of a data centre.
    pub enum EvacuationState {
        /// It was ordered.
        Begun = "begins",
        /// There are runs left.
        Draining = "goes on",
        /// No run is left.
        Complete = "is complete",
        /// It was cancelled.
        Cancelled = "is cancelled",
    }
}

/// What is on the workers of a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CentreLoad {
    /// The number of workers.
    pub workers: usize,
    /// The number of their runs.
    pub runs: usize,
    /// The number of runs that are being stopped.
    pub stopping: usize,
}

impl CentreLoad {
    pub(super) fn add(&mut self, worker: &Worker) {
        self.workers += 1;
        self.runs += worker.runs.len();
        self.stopping += worker.runs.values().filter(|view| view.stopping).count();
    }
}

/// The evacuation of a data centre as the leader sees it.
#[derive(Debug, Default)]
pub(super) struct Progress {
    pub(super) load: CentreLoad,
    pub(super) next_log: Time,
    pub(super) complete: bool,
}

impl Leader {
    /// What is left in each evacuated data centre.
    pub fn evacuations(&self) -> impl Iterator<Item = (&DataCentre, CentreLoad)> {
        self.drain.centres.iter().map(|(centre, progress)| (centre, progress.load))
    }

    /// Counts what is left in the evacuated data centres and reports it to the log.
    pub(super) fn count_left(&mut self, now: Time) {
        let mut loads: BTreeMap<_, _> =
            self.state.evacuations.iter().map(|centre| (centre, CentreLoad::default())).collect();
        let mut unheard = false;
        for worker in self.fleet.workers.values() {
            match &worker.profile {
                Some(profile) => {
                    if let Some(load) = loads.get_mut(&profile.centre) {
                        load.add(worker);
                    }
                }
                // Its data centre isn't known yet.
                None => unheard |= !worker.runs.is_empty(),
            }
        }
        for (centre, load) in loads {
            let progress = self.drain.centres.entry(centre.clone()).or_default();
            progress.load = load;
            let complete = load.runs == 0 && !unheard;
            let was_complete = std::mem::replace(&mut progress.complete, complete);
            let state =
                if complete { EvacuationState::Complete } else { EvacuationState::Draining };
            let due = if complete { !was_complete } else { progress.next_log <= now };
            if !due {
                continue;
            }
            progress.next_log = now + LOG_INTERVAL;
            let (centre, left) = (centre.clone(), load);
            self.log_events.push(LogEvent::Evacuation { centre, state, left });
        }
    }
}
