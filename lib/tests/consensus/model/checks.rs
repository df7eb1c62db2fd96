//! The safety properties of every state.

use hickorylink_lib::{
    consensus::log::Entry,
    ids::{Index, InstanceId, Term},
};

use crate::model::{
    shared::Shared,
    state::{History, State},
};

impl State {
    pub(super) fn fail(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    pub(super) fn record(&mut self, change: impl FnOnce(&mut History)) {
        let mut history = History::clone(&self.history.value);
        change(&mut history);
        self.history = Shared::new(history);
    }

    /// Election safety: a term has one leader. Leader completeness: the leader has all entries that
    /// were committed in earlier terms.
    pub(super) fn elect(&mut self, at: usize, term: Term) {
        let id = Self::id(at);
        if self.history.value.leaders.get(&term).is_some_and(|first| *first != id) {
            self.fail(format!("two leaders in term {term}"));
        }
        let log = &self.members[at].value.log;
        let first = log.snapshot.as_ref().map_or(0, |snapshot| snapshot.index.0);
        let missing = self.history.value.committed.iter().any(|(entry, since)| {
            *since < term && entry.index.0 > first && !log.entries.contains(entry)
        });
        if missing {
            self.fail(format!("{id} leads in term {term} without a committed entry"));
        }
        self.record(|history| {
            history.leaders.insert(term, id);
        });
    }

    /// State machine safety: all members apply the same entries. Durability: an entry is first
    /// applied after a quorum has synced it.
    pub(super) fn apply(&mut self, at: usize, entry: Entry) {
        let status = self.members[at].value.machine.status();
        let place = usize::try_from(entry.index.0 - 1).expect("few entries");
        match self.history.value.committed.get(place) {
            Some((known, _)) if *known != entry => {
                self.fail(format!("{} applies {entry:?} instead of {known:?}", Self::id(at)));
            }
            Some(_) => {}
            None => {
                let synced = |id: InstanceId| {
                    let at = usize::try_from(id.0 - 1).expect("few members");
                    let disk = &self.members[at].value.disk;
                    let covered = disk.snapshot.as_ref().is_some_and(|s| s.index >= entry.index);
                    covered || disk.entries.contains(&entry)
                };
                if !status.members.is_quorum(synced) {
                    self.fail(format!("{:?} is applied before a quorum synced it", entry.index));
                }
                self.record(|history| history.committed.push((entry, status.term)));
            }
        }
    }

    /// Log matching: if two logs share an entry with the same index and term, they are identical up
    /// to that entry.
    pub(super) fn check_log(&mut self, at: usize) {
        let log = &self.members[at].value.log.entries;
        if !self.members.iter().all(|other| matches(log, &other.value.log.entries)) {
            self.fail("two logs with a shared entry differ before it".to_owned());
        }
    }
}

/// Whether two logs are identical up to the last entry that they share.
fn matches(a: &[Entry], b: &[Entry]) -> bool {
    let first = |log: &[Entry]| log.first().map_or(Index(u64::MAX), |entry| entry.index);
    let start = first(a).max(first(b));
    let skip = |log: &[Entry]| log.iter().position(|entry| entry.index == start);
    let (Some(i), Some(j)) = (skip(a), skip(b)) else { return true };
    let pairs: Vec<_> = a[i..].iter().zip(&b[j..]).collect();
    let shared = pairs.iter().rposition(|(x, y)| x.term == y.term).map_or(0, |at| at + 1);
    pairs[..shared].iter().all(|(x, y)| x == y)
}
