//! A model of the store's state, and generated batches of writes as consensus could issue them.

use bytes::Bytes;
use hickorylink_lib::{
    consensus::log::{Entry, HardState, Members, Payload, Recovered, Snapshot, Write},
    ids::{Index, InstanceId, Term},
};

/// The expected state after a sequence of writes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Model {
    pub(crate) hard: HardState,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) sequence: u64,
}

impl Model {
    pub(crate) fn covered(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index.0)
    }

    pub(crate) fn last(&self) -> u64 {
        self.entries.last().map_or(self.covered(), |entry| entry.index.0)
    }

    /// Applies a write.
    pub(crate) fn apply(&mut self, write: &Write) {
        if let Some(snapshot) = &write.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot.clone());
        }
        self.hard = write.hard.unwrap_or(self.hard);
        if let Some(from) = write.truncate {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(write.entries.iter().cloned());
        self.sequence = write.sequence;
    }

    pub(crate) fn matches(&self, recovered: &Recovered) -> bool {
        (&self.hard, &self.snapshot, &self.entries)
            == (&recovered.hard, &recovered.snapshot, &recovered.entries)
    }
}

/// Creates an entry with a payload of `size` bytes, some of them zero.
pub(crate) fn entry(index: u64, term: u64, size: usize) -> Entry {
    let bytes: Vec<u8> = (0..size).map(|at| (at as u64 % 7 * (index + term)) as u8).collect();
    let payload = Payload::Command(Bytes::from(bytes));
    Entry { index: Index(index), term: Term(term), payload }
}

pub(crate) fn snapshot(index: u64, term: u64, size: usize) -> Snapshot {
    let voters = vec![InstanceId(1), InstanceId(index)];
    Snapshot {
        index: Index(index),
        term: Term(term),
        members: Members { voters, learners: Vec::new() },
        state: Bytes::from(vec![index as u8 | 1; size]),
    }
}

/// Creates a write that consensus could issue in the state `model`; `kind` and `size` select it.
pub(crate) fn write(model: &Model, kind: u8, size: u8) -> Write {
    let sequence = model.sequence + 1;
    let (term, size) = (model.hard.term.0, usize::from(size) * 8);
    let next = model.last() + 1;
    let append = |from: u64| (from..from + 1 + u64::from(kind) % 3).map(|at| entry(at, term, size));
    let plain = Write { sequence, ..Write::default() };
    match kind % 8 {
        0..=3 => Write { entries: append(next).collect(), ..plain },
        4 => {
            let hard = HardState { term: Term(term + 1), vote: Some(InstanceId(kind.into())) };
            Write { hard: Some(hard), ..plain }
        }
        5 => {
            let from = next.saturating_sub(u64::from(kind) % 4).max(model.covered() + 1);
            let entries = append(from).collect();
            Write { truncate: Some(Index(from)), entries, ..plain }
        }
        6 if next > model.covered() + 1 => {
            let behind = u64::from(kind) % (next - model.covered() - 1);
            Write { snapshot: Some(snapshot(next - 1 - behind, term, size)), ..plain }
        }
        _ => {
            // A snapshot from the leader, beyond the end of the log.
            let index = next + u64::from(kind) % 5;
            let truncate = Some(Index(index + 1));
            let entries = append(index + 1).collect();
            Write { snapshot: Some(snapshot(index, term, size)), truncate, entries, ..plain }
        }
    }
}

/// Creates a batch of writes and the state after it.
pub(crate) fn batch(model: &Model, choices: &[(u8, u8)]) -> (Vec<Write>, Model) {
    let mut after = model.clone();
    let mut writes = Vec::new();
    for (kind, size) in choices {
        let write = write(&after, *kind, *size);
        after.apply(&write);
        writes.push(write);
    }
    (writes, after)
}
