//! Unsynced writes, and the messages that must wait for them.

use std::{collections::VecDeque, time::Duration};

use crate::{
    consensus::{
        log::{Entry, HardState, Snapshot, Write},
        message::Message,
        port::Effect,
    },
    ids::{Index, InstanceId},
    time::Time,
};

/// Merges the writes of one event into one, and holds messages back until the hard state that they
/// depend on is synced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Outbox {
    /// The sequence number of the last write.
    sequence: u64,
    /// The sequence number of the last synced write.
    synced: u64,
    /// The sequence number of the write with the newest hard state.
    hard_sequence: u64,
    /// The write that collects the changes of the current event.
    draft: Option<Write>,
    writes: VecDeque<PendingWrite>,
    /// The index of the last synced entry.
    durable: Index,
    held: VecDeque<HeldMessage>,
    /// Since when storage has synced nothing although writes are pending.
    waiting_since: Option<Time>,
}

/// A write that isn't synced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    sequence: u64,
    /// The index of the last stored entry after the write.
    last: Index,
    /// Whether the write appends entries.
    appends: bool,
}

/// A message that is sent once a write is synced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldMessage {
    /// The sequence number of the write that must be synced first.
    after: u64,
    to: InstanceId,
    message: Message,
}

impl Outbox {
    /// An outbox for storage with entries up to `durable`.
    pub(super) fn new(durable: Index) -> Self {
        Self { durable, ..Self::default() }
    }

    /// The index of the last synced entry.
    pub(super) fn durable(&self) -> Index {
        self.durable
    }

    /// Whether the newest hard state is synced.
    pub(super) fn hard_synced(&self) -> bool {
        self.hard_sequence <= self.synced
    }

    /// Whether entries are being written. A snapshot alone doesn't count: writing it may take long,
    /// and followers can form a quorum for entries meanwhile.
    pub(super) fn is_appending(&self) -> bool {
        self.draft.as_ref().is_some_and(|draft| !draft.entries.is_empty())
            || self.writes.iter().any(|write| write.appends)
    }

    fn draft(&mut self) -> &mut Write {
        let sequence = &mut self.sequence;
        self.draft.get_or_insert_with(|| {
            *sequence += 1;
            Write { sequence: *sequence, ..Write::default() }
        })
    }

    pub(super) fn write_hard(&mut self, hard: HardState) {
        self.draft().hard = Some(hard);
        self.hard_sequence = self.sequence;
    }

    pub(super) fn write_snapshot(&mut self, snapshot: Snapshot) {
        self.draft().snapshot = Some(snapshot);
    }

    pub(super) fn write_entry(&mut self, entry: Entry) {
        self.draft().entries.push(entry);
    }

    /// Removes the entry at `from` and all later ones, which no longer count as durable.
    pub(super) fn truncate(&mut self, from: Index) {
        self.draft().truncate = Some(from);
        let kept = Index(from.0.saturating_sub(1));
        self.durable = self.durable.min(kept);
        for write in &mut self.writes {
            write.last = write.last.min(kept);
        }
    }

    /// Sends a message once the newest term and vote are synced. Entries that the message
    /// acknowledges must already be [`durable`](Self::durable).
    pub(super) fn send(&mut self, to: InstanceId, message: Message) {
        let after = self.hard_sequence;
        self.held.push_back(HeldMessage { after, to, message });
    }

    /// Whether storage has synced nothing for `span` although writes are pending.
    pub(super) fn is_stalled(&self, now: Time, span: Duration) -> bool {
        self.waiting_since.is_some() && self.wait(now) >= span
    }

    /// The time for which storage has synced nothing although writes are pending.
    pub(super) fn wait(&self, now: Time) -> Duration {
        self.waiting_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Records that storage has synced all writes up to `sequence`.
    pub(super) fn stored(&mut self, now: Time, sequence: u64) {
        self.synced = self.synced.max(sequence.min(self.sequence));
        while let Some(write) = self.writes.front().filter(|write| write.sequence <= self.synced) {
            self.durable = write.last;
            self.writes.pop_front();
        }
        self.waiting_since = (!self.writes.is_empty()).then_some(now);
    }

    /// Emits the write of this event and the messages whose write is synced.
    ///
    /// `last` is the index of the log's last entry. At most `limit` messages are held back; beyond
    /// that the oldest are dropped, which the protocol handles like a loss in the network.
    pub(super) fn flush(
        &mut self,
        now: Time,
        last: Index,
        limit: usize,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(write) = self.draft.take() {
            let (sequence, appends) = (write.sequence, !write.entries.is_empty());
            self.waiting_since.get_or_insert(now);
            self.writes.push_back(PendingWrite { sequence, last, appends });
            effects.push(Effect::Store(write));
        }
        let synced = self.synced;
        self.held.retain(|held| {
            let released = held.after <= synced;
            if released {
                effects.push(Effect::Send { to: held.to, message: held.message.clone() });
            }
            !released
        });
        let excess = self.held.len().saturating_sub(limit);
        self.held.drain(..excess);
    }
}
