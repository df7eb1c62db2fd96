//! What really ran, where and when, for tests to compare with what was promised.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use hickorylink_lib::ids::{CustomerName, RequestId, TaskAttempt, WorkerName};

/// One thing that really happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A try began to run.
    Started(TaskAttempt),
    /// A try stopped running.
    Stopped(TaskAttempt),
    /// A target ran a request.
    Served {
        /// The request.
        request: RequestId,
        /// The customer.
        customer: CustomerName,
        /// The body.
        body: String,
    },
    /// A target had more requests at once than it has slots.
    SlotsExceeded {
        /// How many.
        requests: u32,
    },
}

/// A thing that happened, with its place and time.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The worker.
    pub worker: WorkerName,
    /// How long after the journal's start.
    pub at: Duration,
    /// What happened.
    pub event: Event,
}

/// A journal that all stand-ins of a process share.
#[derive(Clone, Debug)]
pub struct History {
    start: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Default for History {
    fn default() -> Self {
        Self { start: Instant::now(), entries: Arc::default() }
    }
}

impl History {
    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a entry.
    pub fn record(&self, worker: &WorkerName, event: Event) {
        let entry = Entry { worker: worker.clone(), at: self.start.elapsed(), event };
        self.lock().push(entry);
    }

    /// All entries so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().clone()
    }

    /// How often a request with this body ran.
    pub fn served_count(&self, body: &str) -> usize {
        let is_it = |entry: &&Entry| match &entry.event {
            Event::Served { body: served, .. } => served == body,
            Event::Started(_) | Event::Stopped(_) | Event::SlotsExceeded { .. } => false,
        };
        self.lock().iter().filter(is_it).count()
    }

    /// Tasks that ran in two places at once, or a try that started twice; a entry each.
    pub fn overlapping_runs(&self) -> Vec<String> {
        let mut running = std::collections::BTreeMap::new();
        let mut seen = std::collections::BTreeSet::new();
        let mut overlapping = Vec::new();
        for entry in self.lock().iter() {
            match &entry.event {
                Event::Started(attempt) => {
                    if !seen.insert(*attempt) {
                        overlapping
                            .push(format!("{attempt} started twice, again on {}", entry.worker));
                    }
                    if let Some((other, worker)) =
                        running.insert(attempt.task, (*attempt, entry.worker.clone()))
                    {
                        overlapping.push(format!(
                            "{attempt} started on {} while {other} ran on {worker}",
                            entry.worker
                        ));
                    }
                }
                Event::Stopped(attempt) => {
                    if running.get(&attempt.task).is_some_and(|(other, _)| other == attempt) {
                        running.remove(&attempt.task);
                    }
                }
                Event::Served { .. } | Event::SlotsExceeded { .. } => {}
            }
        }
        overlapping
    }
}
