//! Whether a worker fails what it starts, judged against the same kinds of tasks elsewhere.
//!
//! Each outcome moves a worker's score by the logarithm of how much likelier it is on a worker
//! that fails nearly everything than on the others. A kind that fails everywhere moves no score
//! up: its failures are the job's fault.

use std::collections::BTreeMap;

use crate::ids::{CustomerName, TaskKind};

/// The rate of failures that a broken worker is taken to have.
const BROKEN_RATE: f64 = 0.9;
/// The score from which a worker counts as broken.
const THRESHOLD: f64 = 6.0;
/// Failures and outcomes that a kind is taken to have had before its first.
const PRIOR: Tally = Tally { failures: 0.2, outcomes: 4.0 };
/// From this many outcomes on, older ones count half.
const WINDOW: f64 = 200.0;
/// Kinds that a worker's record holds.
const OWN_KINDS: usize = 16;
/// Kinds that are told apart.
const KINDS: usize = 16_384;

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

/// One worker's outcomes.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    score: f64,
    own: Vec<(u32, Tally)>,
    /// How often it was set aside since it last proved itself.
    pub(super) rounds: u32,
}

impl Record {
    /// Whether the worker counts as broken.
    pub(super) fn failing(&self) -> bool {
        self.score > THRESHOLD
    }

    /// Forgets what spoke against the worker.
    pub(super) fn forgive(&mut self) {
        *self = Self::default();
    }

    fn own(&mut self, kind: u32) -> &mut Tally {
        let at = self.own.iter().position(|(known, _)| *known == kind).unwrap_or_else(|| {
            if self.own.len() == OWN_KINDS {
                self.own.remove(0);
            }
            self.own.push((kind, Tally::default()));
            self.own.len() - 1
        });
        &mut self.own[at].1
    }
}

/// The outcomes of each kind of task on all workers.
#[derive(Clone, Debug, Default)]
pub(super) struct Kinds {
    numbers: BTreeMap<CustomerName, BTreeMap<TaskKind, u32>>,
    tallies: Vec<Tally>,
}

impl Kinds {
    /// The number of a kind; kinds above the bound share one.
    pub(super) fn number(&mut self, customer: &CustomerName, kind: &TaskKind) -> u32 {
        if let Some(number) = self.numbers.get(customer).and_then(|kinds| kinds.get(kind)) {
            return *number;
        }
        if self.tallies.len() >= KINDS {
            return (KINDS - 1) as u32;
        }
        let number = self.tallies.len() as u32;
        self.numbers.entry(customer.clone()).or_default().insert(kind.clone(), number);
        self.tallies.push(Tally::default());
        number
    }

    /// Takes in how a try of a kind ended on the worker that `record` is of.
    pub(super) fn judge(&mut self, record: &mut Record, kind: u32, failed: bool) {
        let whole = &mut self.tallies[kind as usize];
        let own = record.own(kind);
        let failures = (whole.failures - own.failures).max(0.0) + PRIOR.failures;
        let outcomes = (whole.outcomes - own.outcomes).max(0.0) + PRIOR.outcomes;
        let rate = (failures / outcomes).clamp(0.02, 0.98);
        whole.add(failed);
        own.add(failed);
        let likelihood = match failed {
            true => (BROKEN_RATE / rate).ln(),
            false => ((1.0 - BROKEN_RATE) / (1.0 - rate)).ln(),
        };
        record.score = (record.score + likelihood).max(0.0);
    }
}
