//! The in-memory log: the newest snapshot and the entries that are kept.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::{
    consensus::log::{Entry, Members, Payload, Snapshot},
    ids::{Index, Term},
};

/// The largest encoded size of an entry without its payload.
const MAX_ENTRY_OVERHEAD_BYTES: usize = 24;

/// The largest encoded size of one member in an entry.
const MAX_MEMBER_BYTES: usize = 10;

/// The maximum size of the entries before a snapshot that are kept, in bytes. They are for followers that
/// lag behind.
const MAX_TAIL_BYTES: usize = 8 << 20;

/// The entries after `base`, in order and without gaps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Log {
    snapshot: Snapshot,
    /// The index before the first kept entry, at most the snapshot's.
    base: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
}

impl Log {
    pub(super) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let snapshot = snapshot.unwrap_or_else(|| Snapshot {
            index: Index(0),
            term: Term(0),
            members: Members::default(),
            state: Bytes::new(),
        });
        let (base, base_term) = (snapshot.index, snapshot.term);
        Self { snapshot, base, base_term, entries: entries.into() }
    }

    /// The newest snapshot; its index is 0 if none was taken.
    pub(super) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(super) fn last(&self) -> Index {
        Index(self.base.0 + self.entries.len() as u64)
    }

    pub(super) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub(super) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The term of the entry at `index`; `None` if the entry isn't in memory.
    pub(super) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entries after `after` up to and including `upto`, limited to about `bytes` in total but
    /// at least one, if there is any.
    pub(super) fn batch(&self, after: Index, upto: Index, bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut size = 0;
        for at in after.0 + 1..=upto.0.min(self.last().0) {
            let Some(entry) = self.get(Index(at)) else { break };
            size += entry_bytes(entry);
            if size > bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    pub(super) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index.0, self.last().0 + 1, "entries have no gaps");
        self.entries.push_back(entry);
    }

    /// Removes the entry at `from` and all later ones.
    pub(super) fn truncate(&mut self, from: Index) {
        let keep = from.0.saturating_sub(self.base.0 + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// The hint for a leader whose entry at `index` didn't match: the last index before the run of
    /// entries that share the conflicting term.
    pub(super) fn before_conflict(&self, index: Index) -> Index {
        if index > self.last() {
            return self.last();
        }
        let Some(term) = self.term_at(index) else { return self.base };
        let mut at = index;
        while at > self.base && self.term_at(at) == Some(term) {
            at = Index(at.0 - 1);
        }
        at
    }

    /// Records a snapshot and drops the entries that are more than `tail` behind it, or more than
    /// [`MAX_TAIL_BYTES`].
    pub(super) fn compact(&mut self, snapshot: Snapshot, tail: u64) {
        let oldest = snapshot.index.0.saturating_sub(tail).max(self.base.0);
        let mut base = snapshot.index;
        let mut bytes = 0;
        while base.0 > oldest
            && let Some(entry) = self.get(base)
        {
            bytes += entry_bytes(entry);
            if bytes > MAX_TAIL_BYTES {
                break;
            }
            base = Index(base.0 - 1);
        }
        if let Some(term) = self.term_at(base) {
            let dropped = usize::try_from(base.0 - self.base.0).unwrap_or(usize::MAX);
            self.entries.drain(..dropped.min(self.entries.len()));
            self.base = base;
            self.base_term = term;
        }
        self.snapshot = snapshot;
    }

    /// Replaces the whole log with a snapshot.
    pub(super) fn reset(&mut self, snapshot: Snapshot) {
        *self = Self::new(Some(snapshot), Vec::new());
    }
}

/// An upper estimate of an entry's encoded size, in bytes.
pub(super) fn entry_bytes(entry: &Entry) -> usize {
    let payload = match &entry.payload {
        Payload::Empty => 0,
        Payload::Command(command) => command.len(),
        Payload::Members(members) => {
            MAX_MEMBER_BYTES * (members.voters.len() + members.learners.len())
        }
    };
    MAX_ENTRY_OVERHEAD_BYTES + payload
}
