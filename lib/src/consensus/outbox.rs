//! Writes on their way to storage, and the messages that wait for them.

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

/// Collects the writes of one event into one, and holds messages back until what they rest on
/// is synced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Outbox {
    sequence: u64,
    synced: u64,
    /// The write that holds the newest hard state.
    hard: u64,
    draft: Option<Write>,
    writes: VecDeque<Pending>,
    durable: Index,
    held: VecDeque<Held>,
    /// Since when storage has synced nothing although writes wait.
    waiting: Option<Time>,
}

/// A write that isn't synced yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    sequence: u64,
    /// The last entry in storage after the write.
    last: Index,
    /// Whether the write appends entries.
    appends: bool,
}

/// A message that may leave after a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    after: u64,
    to: InstanceId,
    message: Message,
}

impl Outbox {
    /// An outbox of an instance whose storage holds entries up to `durable`.
    pub(super) fn new(durable: Index) -> Self {
        Self { durable, ..Self::default() }
    }

    /// The last entry that is synced.
    pub(super) fn durable(&self) -> Index {
        self.durable
    }

    /// Whether the newest hard state is synced.
    pub(super) fn hard_synced(&self) -> bool {
        self.hard <= self.synced
    }

    /// Whether entries are on their way to storage. A snapshot alone doesn't count: it may take
    /// long, and the followers can commit entries meanwhile.
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
        self.hard = self.sequence;
    }

    pub(super) fn write_snapshot(&mut self, snapshot: Snapshot) {
        self.draft().snapshot = Some(snapshot);
    }

    pub(super) fn write_entry(&mut self, entry: Entry) {
        self.draft().entries.push(entry);
    }

    /// Replaces the entries from `from` on, which are no longer durable.
    pub(super) fn truncate(&mut self, from: Index) {
        self.draft().truncate = Some(from);
        let kept = Index(from.0.saturating_sub(1));
        self.durable = self.durable.min(kept);
        for write in &mut self.writes {
            write.last = write.last.min(kept);
        }
    }

    /// Sends a message once the newest term and vote are synced. What it says of the log must be
    /// [`durable`](Self::durable) already.
    pub(super) fn send(&mut self, to: InstanceId, message: Message) {
        let after = self.hard;
        self.held.push_back(Held { after, to, message });
    }

    /// Whether storage has synced nothing for `span` although writes wait.
    pub(super) fn is_stalled(&self, now: Time, span: Duration) -> bool {
        self.waiting.is_some_and(|since| now.since(since) >= span)
    }

    /// Notes that storage synced all writes up to `sequence`.
    pub(super) fn stored(&mut self, now: Time, sequence: u64) {
        self.synced = self.synced.max(sequence.min(self.sequence));
        while let Some(write) = self.writes.front().filter(|write| write.sequence <= self.synced) {
            self.durable = write.last;
            self.writes.pop_front();
        }
        self.waiting = (!self.writes.is_empty()).then_some(now);
    }

    /// Gives the write of this event and the messages that nothing holds back any more.
    ///
    /// `last` is the last entry of the log; at most `limit` messages are held back, and the
    /// oldest are dropped as if the network had lost them.
    pub(super) fn flush(
        &mut self,
        now: Time,
        last: Index,
        limit: usize,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(write) = self.draft.take() {
            let (sequence, appends) = (write.sequence, !write.entries.is_empty());
            self.waiting.get_or_insert(now);
            self.writes.push_back(Pending { sequence, last, appends });
            effects.push(Effect::Store(write));
        }
        let synced = self.synced;
        self.held.retain(|held| {
            let free = held.after <= synced;
            if free {
                effects.push(Effect::Send { to: held.to, message: held.message.clone() });
            }
            !free
        });
        let excess = self.held.len().saturating_sub(limit);
        self.held.drain(..excess);
    }
}
