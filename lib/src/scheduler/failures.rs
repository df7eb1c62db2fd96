//! Detects workers that fail their attempts, compared with the same kinds of tasks elsewhere.
//!
//! Each outcome moves a worker's score by the log likelihood ratio of that outcome on a broken
//! worker and on the others. Failures of a kind that fails everywhere don't raise a score: they are
//! the fault of the job.

use std::collections::BTreeMap;

use crate::ids::{CustomerName, TaskKind};

/// The failure rate that a broken worker is assumed to have.
const BROKEN_RATE: f64 = 0.9;
/// The score above which a worker counts as broken.
const THRESHOLD: f64 = 6.0;
/// The prior of a kind before its first outcome.
const PRIOR: Tally = Tally { failures: 0.2, outcomes: 4.0 };
/// The number of outcomes above which earlier ones are halved.
const WINDOW: f64 = 200.0;
/// The largest number of kinds in a worker's statistics.
const MAX_WORKER_KINDS: usize = 16;
/// The largest number of kinds that are told apart.
const MAX_KINDS: usize = 16_384;

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    failures: f64,
    outcomes: f64,
}

impl Tally {
    fn add(&mut self, failed: bool) {
        self.failures += f64::from(u8::from(failed));
        self.outcomes += 1.0;
        if self.outcomes > WINDOW {
            self.failures /= 2.0;
            self.outcomes /= 2.0;
        }
    }
}

/// The outcomes of one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerOutcomes {
    score: f64,
    kinds: Vec<(u32, Tally)>,
    /// How often it was quarantined since its statistics were last reset.
    pub(super) quarantines: u32,
}

impl WorkerOutcomes {
    /// Whether the worker counts as broken.
    pub(super) fn failing(&self) -> bool {
        self.score > THRESHOLD
    }

    /// Resets the statistics.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    fn by_kind(&mut self, kind: u32) -> &mut Tally {
        let at = self.kinds.iter().position(|(known, _)| *known == kind).unwrap_or_else(|| {
            if self.kinds.len() == MAX_WORKER_KINDS {
                self.kinds.remove(0);
            }
            self.kinds.push((kind, Tally::default()));
            self.kinds.len() - 1
        });
        &mut self.kinds[at].1
    }
}

/// The outcomes of each kind of task on all workers.
#[derive(Clone, Debug, Default)]
pub(super) struct KindOutcomes {
    numbers: BTreeMap<CustomerName, BTreeMap<TaskKind, u32>>,
    tallies: Vec<Tally>,
}

impl KindOutcomes {
    /// The number of a kind; all kinds beyond the limit share one.
    pub(super) fn number(&mut self, customer: &CustomerName, kind: &TaskKind) -> u32 {
        if let Some(number) = self.numbers.get(customer).and_then(|kinds| kinds.get(kind)) {
            return *number;
        }
        if self.tallies.len() >= MAX_KINDS {
            return (MAX_KINDS - 1) as u32;
        }
        let number = self.tallies.len() as u32;
        self.numbers.entry(customer.clone()).or_default().insert(kind.clone(), number);
        self.tallies.push(Tally::default());
        number
    }

    /// Counts the outcome of an attempt of a kind on a worker.
    pub(super) fn record_outcome(&mut self, worker: &mut WorkerOutcomes, kind: u32, failed: bool) {
        let all = &mut self.tallies[kind as usize];
        let own = worker.by_kind(kind);
        let failures = (all.failures - own.failures).max(0.0) + PRIOR.failures;
        let outcomes = (all.outcomes - own.outcomes).max(0.0) + PRIOR.outcomes;
        let rate = (failures / outcomes).clamp(0.02, 0.98);
        all.add(failed);
        own.add(failed);
        let likelihood = match failed {
            true => (BROKEN_RATE / rate).ln(),
            false => ((1.0 - BROKEN_RATE) / (1.0 - rate)).ln(),
        };
        worker.score = (worker.score + likelihood).max(0.0);
    }
}
