//! Interning of names and task specifications, so that equal ones share memory.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    data,
    ids::{CustomerName, DataCentre, WorkerName},
    task::TaskSpec,
};

/// The maximum number of interned names of each type; beyond it, the set is cleared.
const MAX_NAMES: usize = 100_000;

/// The minimum number of interned checksums at which unused specifications are dropped.
const MIN_SWEEP_SPECS: usize = 1_024;

/// The maximum number of interned specifications with the same checksum. It bounds the lookup time
/// even if collisions are created on purpose.
const MAX_SPECS_PER_CHECKSUM: usize = 16;

/// An interner of names and task specifications.
///
/// It only saves memory: nothing depends on what is interned, and it isn't part of a snapshot.
#[derive(Clone, Debug, Default)]
pub(super) struct Interner {
    customers: BTreeSet<CustomerName>,
    centres: BTreeSet<DataCentre>,
    workers: BTreeSet<WorkerName>,
    /// Specifications by checksum; collisions are rare.
    specs: BTreeMap<u32, Vec<Arc<TaskSpec>>>,
    /// The number of checksums at which unused specifications are next dropped.
    sweep_at: usize,
}

impl Interner {
    /// Interns the name of a customer.
    pub(super) fn customer(&mut self, name: &CustomerName) -> CustomerName {
        intern(&mut self.customers, name)
    }

    /// Interns the name of a data centre.
    pub(super) fn centre(&mut self, name: &DataCentre) -> DataCentre {
        intern(&mut self.centres, name)
    }

    /// Interns the name of a worker.
    pub(super) fn worker(&mut self, name: &WorkerName) -> WorkerName {
        intern(&mut self.workers, name)
    }

    /// Interns a task specification.
    pub(super) fn spec(&mut self, spec: TaskSpec) -> Arc<TaskSpec> {
        if self.specs.len() >= self.sweep_at.max(MIN_SWEEP_SPECS) {
            self.specs.retain(|_, specs| {
                specs.retain(|spec| Arc::strong_count(spec) > 1);
                !specs.is_empty()
            });
            self.sweep_at = 2 * self.specs.len();
        }
        let specs = self.specs.entry(checksum(&spec)).or_default();
        if let Some(known) = specs.iter().find(|known| ***known == spec) {
            return known.clone();
        }
        let shared = Arc::new(spec);
        if specs.len() < MAX_SPECS_PER_CHECKSUM {
            specs.push(shared.clone());
        }
        shared
    }
}

/// A checksum of a specification without its payload.
fn checksum(spec: &TaskSpec) -> u32 {
    let parts: [&[u8]; 8] = [
        spec.kind.as_str().as_bytes(),
        spec.centre.as_ref().map_or("", |centre| centre.as_str()).as_bytes(),
        spec.service.as_ref().map_or("", |service| service.as_str()).as_bytes(),
        &spec.size.millicores.to_le_bytes(),
        &spec.size.memory_mib.to_le_bytes(),
        &spec.size.accelerators.to_le_bytes(),
        &spec.run_time.as_nanos().to_le_bytes(),
        &[spec.urgent.into(), spec.idempotent.into()],
    ];
    parts.iter().fold(0, |sum, part| crc32c::crc32c_append(sum, part))
}

fn intern<T: Ord + Clone>(names: &mut BTreeSet<T>, name: &T) -> T {
    if let Some(known) = names.get(name) {
        return known.clone();
    }
    if names.len() >= MAX_NAMES {
        names.clear();
    }
    names.insert(name.clone());
    name.clone()
}

/// A digest of a specification.
pub(super) fn spec_digest(spec: &TaskSpec) -> Digest {
    let encoded = postcard::to_allocvec(spec).expect("a specification can be encoded");
    Digest::of(&[&encoded])
}

data! {
    /// A digest that is stored in place of a key. A byte array has alignment 1, which avoids
    /// padding.
    #[derive(Copy, PartialOrd, Ord)]
    pub(super) struct Digest {
        bytes: [u8; 16],
    }
}

impl Digest {
    /// The digest of several parts; their lengths are included, so that moving a byte from one part
    /// to the next changes the digest.
    pub(super) fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self { bytes }
    }

    /// The first half of the digest, as an integer.
    pub(super) fn to_u64(self) -> u64 {
        let half = self.bytes.first_chunk::<8>().copied().unwrap_or_default();
        u64::from_le_bytes(half)
    }
}
