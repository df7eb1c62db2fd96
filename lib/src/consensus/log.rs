//! The contents of the log, and the writes that storage makes durable.

use bytes::Bytes;

use crate::{
    data,
    ids::{Index, InstanceId, Term},
};

data! {
    /// An entry of the log.
    #[derive(Hash)]
    pub struct Entry {
        /// Its position in the log.
        pub index: Index,
        /// The term of the leader that appended it.
        pub term: Term,
        /// Its contents.
        pub payload: Payload,
    }

    /// The contents of an entry.
    #[derive(Hash)]
    pub enum Payload {
        /// Nothing; a new leader appends it first, to commit an entry of its own term.
        Empty,
        /// An encoded command, opaque to consensus.
        Command(Bytes),
        /// A new set of members.
        Members(Members),
    }

    /// The members of the consensus group; both lists are sorted.
    #[derive(Hash, Default)]
    pub struct Members {
        /// Members that vote and count towards a quorum.
        pub voters: Vec<InstanceId>,
        /// Members that receive the log and don't count towards a quorum.
        pub learners: Vec<InstanceId>,
    }

    /// The state that must be durable before any message that depends on it is sent.
    #[derive(Hash, Copy, Default)]
    pub struct HardState {
        /// The newest known term.
        pub term: Term,
        /// The candidate voted for in that term.
        pub vote: Option<InstanceId>,
    }

    /// The state up to an entry, in place of the entries up to it.
    #[derive(Hash)]
    pub struct Snapshot {
        /// The index of the last entry that it covers.
        pub index: Index,
        /// The term of that entry.
        pub term: Term,
        /// The members as of that entry.
        pub members: Members,
        /// The encoded state, opaque to consensus.
        pub state: Bytes,
    }

    /// A write to storage: the fields are applied in order, then synced.
    ///
    /// Storage may sync several writes at once and then reports the sequence number of the last.
    #[derive(Hash, Default)]
    pub struct Write {
        /// The sequence number, which increases with each write.
        pub sequence: u64,
        /// A snapshot, which replaces all entries up to its index.
        pub snapshot: Option<Snapshot>,
        /// The hard state, if it changed.
        pub hard: Option<HardState>,
        /// The index from which existing entries are removed, if any are.
        pub truncate: Option<Index>,
        /// Entries to append.
        pub entries: Vec<Entry>,
    }

    /// The state that storage recovers at start.
    #[derive(Hash, Default)]
    pub struct Recovered {
        /// The hard state.
        pub hard: HardState,
        /// The newest snapshot.
        pub snapshot: Option<Snapshot>,
        /// The entries after the snapshot, without gaps.
        pub entries: Vec<Entry>,
    }
}
