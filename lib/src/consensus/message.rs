//! The messages between the members of a consensus group.

use bytes::Bytes;

use crate::{
    consensus::log::{Entry, Members},
    data,
    ids::{Index, Term},
};

data! {
    /// A message between two members.
    #[derive(Hash)]
    pub struct Message {
        /// The sender's term; in a pre-vote request the term that the candidate would start.
        pub term: Term,
        /// The contents.
        pub body: Body,
    }

    /// The contents of a message.
    #[derive(Hash)]
    pub enum Body {
        /// Asks whether the receiver would vote for the sender.
        PreVote {
            /// The index of the candidate's last entry.
            last: Index,
            /// The term of the candidate's last entry.
            last_term: Term,
        },
        /// The answer to a pre-vote request.
        PreVoteAnswer {
            /// Whether the vote would be granted.
            granted: bool,
        },
        /// Asks for a vote.
        Vote {
            /// The index of the candidate's last entry.
            last: Index,
            /// That entry's term.
            last_term: Term,
        },
        /// The answer to a vote request.
        VoteAnswer {
            /// Whether the vote is granted.
            granted: bool,
        },
        /// Appends entries; without entries it is a heartbeat.
        Append {
            /// The index of the entry that precedes them.
            previous: Index,
            /// That entry's term.
            previous_term: Term,
            /// The entries.
            entries: Vec<Entry>,
            /// The leader's commit index.
            commit: Index,
            /// The leader's heartbeat round, which confirms reads and its lease.
            round: u64,
        },
        /// The answer to an append.
        AppendAnswer {
            /// The last index up to which the follower's log is synced and matches the leader's; if
            /// `rejected`, a hint where the logs may match.
            matched: Index,
            /// Whether the preceding entry didn't match.
            rejected: bool,
            /// The heartbeat round that is answered.
            round: u64,
        },
        /// A chunk of a snapshot.
        SnapshotChunk {
            /// The index of the last entry that the snapshot covers.
            index: Index,
            /// The term of that entry.
            index_term: Term,
            /// The members as of that entry.
            members: Members,
            /// The chunk's offset within the state, in bytes.
            offset: u64,
            /// The size of the whole state, in bytes.
            total: u64,
            /// The chunk's contents.
            data: Bytes,
        },
        /// The answer to a snapshot chunk.
        SnapshotAnswer {
            /// The index of the last entry that the snapshot covers.
            index: Index,
            /// How much has been received without gaps, in bytes.
            received: u64,
        },
        /// Asks the leader for a read index.
        ReadIndex {
            /// Identifies the read in the answer.
            ticket: u64,
        },
        /// The answer to a read index request.
        ReadAnswer {
            /// The ticket of the request.
            ticket: u64,
            /// The index that must be applied before the read; `None` if the sender can't confirm
            /// one.
            index: Option<Index>,
        },
    }
}
