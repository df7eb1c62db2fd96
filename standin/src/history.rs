//! The execution history of the simulated workers, against which tests check the system's
//! guarantees.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use hickorylink_lib::ids::{CustomerName, RequestId, TaskAttempt, WorkerName};

/// An event on a simulated worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An attempt started.
    Started(TaskAttempt),
    /// An attempt stopped, for whatever reason.
    Stopped(TaskAttempt),
    /// A target started to process a request.
    Served {
        /// The id that the system gave to the request.
        request: RequestId,
        /// The customer on whose behalf it was sent.
        customer: CustomerName,
        /// The request's body, by which tests identify it.
        body: String,
    },
    /// A target received more concurrent requests than it has slots.
    SlotsExceeded {
        /// Concurrent requests, including the one that exceeded the limit.
        requests: u32,
    },
}

/// An event with the worker on which it happened and its time.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The worker on which it happened.
    pub worker: WorkerName,
    /// Time since the history was created.
    pub at: Duration,
    /// The event.
    pub event: Event,
}

/// A history shared by the workers of a process; clones append to the same list.
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

    /// Appends an event, stamped with the current time.
    pub fn record(&self, worker: &WorkerName, event: Event) {
        let entry = Entry { worker: worker.clone(), at: self.start.elapsed(), event };
        self.lock().push(entry);
    }

    /// A copy of all entries so far, in the order of recording.
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().clone()
    }

    /// The number of times that a request with this body was processed.
    pub fn served_count(&self, body: &str) -> usize {
        let matches = |entry: &&Entry| match &entry.event {
            Event::Served { body: served, .. } => served == body,
            Event::Started(_) | Event::Stopped(_) | Event::SlotsExceeded { .. } => false,
        };
        self.lock().iter().filter(matches).count()
    }

    /// The bodies of the requests that targets started to process within the last `period`.
    pub fn served_within(&self, period: Duration) -> Vec<String> {
        let now = self.start.elapsed();
        let body = |entry: &Entry| match &entry.event {
            Event::Served { body, .. } => Some(body.clone()),
            Event::Started(_) | Event::Stopped(_) | Event::SlotsExceeded { .. } => None,
        };
        let entries = self.lock();
        let recent = entries.iter().rev().take_while(|entry| now.saturating_sub(entry.at) < period);
        recent.filter_map(body).collect()
    }

    /// Describes each violation of exclusive execution: a task with two concurrent attempts, or an
    /// attempt that started twice.
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
