//! What the log is made of, and what storage is asked to make durable.

use bytes::Bytes;

use crate::{
    data,
    ids::{Index, InstanceId, Term},
};

data! {
    /// An entry of the log.
    #[derive(Hash)]
    pub struct Entry {
        /// Its position.
        pub index: Index,
        /// The term of the leader that made it.
        pub term: Term,
        /// What it carries.
        pub payload: Payload,
    }

    /// What an entry carries.
    #[derive(Hash)]
    pub enum Payload {
        /// Nothing; a new leader's first entry.
        Empty,
        /// An encoded command, opaque to the council.
        Command(Bytes),
        /// New members.
        Members(Members),
    }

    /// The instances that take part in agreement, each list sorted.
    #[derive(Hash, Default)]
    pub struct Members {
        /// They vote and count for a quorum.
        pub voters: Vec<InstanceId>,
        /// They follow the log and don't count.
        pub learners: Vec<InstanceId>,
    }

    /// What an instance must remember before it says anything that rests on it.
    #[derive(Hash, Copy, Default)]
    pub struct HardState {
        /// The newest term it knows.
        pub term: Term,
        /// Whom it voted for in that term.
        pub vote: Option<InstanceId>,
    }

    /// The state up to an entry, in place of the entries.
    #[derive(Hash)]
    pub struct Snapshot {
        /// The last entry that it holds.
        pub index: Index,
        /// That entry's term.
        pub term: Term,
        /// The members at that entry.
        pub members: Members,
        /// The encoded state, opaque to the council.
        pub state: Bytes,
    }

    /// A write for storage: its parts are applied in the order of the fields, then synced.
    ///
    /// Storage may sync several writes at once, and answers with the last one's number.
    #[derive(Hash, Default)]
    pub struct Write {
        /// The number of the write; each is larger than the one before.
        pub sequence: u64,
        /// A snapshot that replaces all entries up to its index.
        pub snapshot: Option<Snapshot>,
        /// The hard state, if it changed.
        pub hard: Option<HardState>,
        /// The position from which older entries are replaced, if any are.
        pub truncate: Option<Index>,
        /// Entries to append.
        pub entries: Vec<Entry>,
    }

    /// What storage found at the start.
    #[derive(Hash, Default)]
    pub struct Recovered {
        /// The hard state.
        pub hard: HardState,
        /// The newest snapshot.
        pub snapshot: Option<Snapshot>,
        /// Entries after the snapshot, without gaps.
        pub entries: Vec<Entry>,
    }
}
