//! Sharing of equal names and specifications, so that each is stored once.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    ids::{CustomerName, DataCentre, WorkerName},
    task::TaskSpec,
};

/// How many names of a kind are shared; past that, sharing starts anew.
const NAMES_MAX: usize = 100_000;

/// How many specifications are known before unused ones are dropped for the first time.
const SPECS_FIRST: usize = 1_024;

/// Names and specifications that are in use.
///
/// Nothing depends on what is shared: it only saves memory, and isn't part of a snapshot.
#[derive(Clone, Debug, Default)]
pub(super) struct Names {
    customers: BTreeSet<CustomerName>,
    centres: BTreeSet<DataCentre>,
    workers: BTreeSet<WorkerName>,
    specs: BTreeMap<u128, Arc<TaskSpec>>,
    /// The number of specifications at which unused ones are dropped.
    sweep: usize,
}

impl Names {
    /// The shared customer's name.
    pub(super) fn customer(&mut self, name: &CustomerName) -> CustomerName {
        share(&mut self.customers, name)
    }

    /// The shared data centre.
    pub(super) fn centre(&mut self, name: &DataCentre) -> DataCentre {
        share(&mut self.centres, name)
    }

    /// The shared worker's name.
    pub(super) fn worker(&mut self, name: &WorkerName) -> WorkerName {
        share(&mut self.workers, name)
    }

    /// The shared specification.
    pub(super) fn spec(&mut self, spec: TaskSpec) -> Arc<TaskSpec> {
        if self.specs.len() >= self.sweep.max(SPECS_FIRST) {
            self.specs.retain(|_, spec| Arc::strong_count(spec) > 1);
            self.sweep = 2 * self.specs.len();
        }
        self.specs.entry(spec_digest(&spec)).or_insert_with(|| Arc::new(spec)).clone()
    }
}

fn share<T: Ord + Clone>(names: &mut BTreeSet<T>, name: &T) -> T {
    if let Some(known) = names.get(name) {
        return known.clone();
    }
    if names.len() >= NAMES_MAX {
        names.clear();
    }
    names.insert(name.clone());
    name.clone()
}

/// A digest of the specification.
pub(super) fn spec_digest(spec: &TaskSpec) -> u128 {
    let encoded = postcard::to_allocvec(spec).expect("a specification can be encoded");
    digest(&[&encoded])
}

/// A digest of several parts, which tells where one ends and the next begins.
pub(super) fn digest(parts: &[&[u8]]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut short = [0; 16];
    hasher.finalize_xof().fill(&mut short);
    u128::from_le_bytes(short)
}
