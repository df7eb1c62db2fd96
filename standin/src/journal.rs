//! What really ran, where and when, for tests to compare with what was promised.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use hickorylink_lib::ids::{CustomerName, RequestId, TaskAttempt, WorkerName};

/// One thing that really happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Happened {
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
    OverSlots {
        /// How many.
        requests: u32,
    },
}

/// A thing that happened, with its place and time.
#[derive(Clone, Debug)]
pub struct Line {
    /// The worker.
    pub worker: WorkerName,
    /// How long after the journal's start.
    pub at: Duration,
    /// What happened.
    pub what: Happened,
}

/// A journal that all stand-ins of a process share.
#[derive(Clone, Debug)]
pub struct Journal {
    start: Instant,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Default for Journal {
    fn default() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }
}

impl Journal {
    fn lock(&self) -> MutexGuard<'_, Vec<Line>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line.
    pub fn add(&self, worker: &WorkerName, what: Happened) {
        let line = Line { worker: worker.clone(), at: self.start.elapsed(), what };
        self.lock().push(line);
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<Line> {
        self.lock().clone()
    }

    /// How often a request with this body ran.
    pub fn served(&self, body: &str) -> usize {
        let is_it = |line: &&Line| match &line.what {
            Happened::Served { body: served, .. } => served == body,
            Happened::Started(_) | Happened::Stopped(_) | Happened::OverSlots { .. } => false,
        };
        self.lock().iter().filter(is_it).count()
    }

    /// Tasks that ran in two places at once, or a try that started twice; a line each.
    pub fn doubled(&self) -> Vec<String> {
        let mut running = std::collections::BTreeMap::new();
        let mut seen = std::collections::BTreeSet::new();
        let mut doubled = Vec::new();
        for line in self.lock().iter() {
            match &line.what {
                Happened::Started(attempt) => {
                    if !seen.insert(*attempt) {
                        doubled.push(format!("{attempt} started twice, again on {}", line.worker));
                    }
                    if let Some((other, worker)) =
                        running.insert(attempt.task, (*attempt, line.worker.clone()))
                    {
                        doubled.push(format!(
                            "{attempt} started on {} while {other} ran on {worker}",
                            line.worker
                        ));
                    }
                }
                Happened::Stopped(attempt) => {
                    if running.get(&attempt.task).is_some_and(|(other, _)| other == attempt) {
                        running.remove(&attempt.task);
                    }
                }
                Happened::Served { .. } | Happened::OverSlots { .. } => {}
            }
        }
        doubled
    }
}
