//! The messages between members of the council.

use bytes::Bytes;

use crate::{
    consensus::log::{Entry, Members},
    data,
    ids::{Index, Term},
};

data! {
    /// A message; `term` is the sender's, except in a pre-vote, where it is the term asked for.
    #[derive(Hash)]
    pub struct Message {
        /// The term.
        pub term: Term,
        /// What is said.
        pub body: Body,
    }

    /// What a message says.
    #[derive(Hash)]
    pub enum Body {
        /// Would you vote for me?
        PreVote {
            /// The candidate's last entry.
            last: Index,
            /// That entry's term.
            last_term: Term,
        },
        /// The answer to a pre-vote.
        PreVoteAnswer {
            /// Whether the vote would be given.
            granted: bool,
        },
        /// Vote for me.
        Vote {
            /// The candidate's last entry.
            last: Index,
            /// That entry's term.
            last_term: Term,
        },
        /// The answer to a vote.
        VoteAnswer {
            /// Whether the vote is given.
            granted: bool,
        },
        /// Entries, or none as a heartbeat.
        Append {
            /// The entry before them.
            previous: Index,
            /// That entry's term.
            previous_term: Term,
            /// The entries.
            entries: Vec<Entry>,
            /// How far the leader has committed.
            commit: Index,
            /// The leader's round of heartbeats, for reads and its lease.
            round: u64,
        },
        /// The answer to entries.
        AppendAnswer {
            /// How far the follower's log is the leader's and is synced, or, if `rejected`,
            /// where the leader should try next.
            matched: Index,
            /// Whether the entry before them didn't match.
            rejected: bool,
            /// The round it answers.
            round: u64,
        },
        /// A part of a snapshot.
        SnapshotChunk {
            /// The last entry in the snapshot.
            index: Index,
            /// That entry's term.
            index_term: Term,
            /// The members at that entry.
            members: Members,
            /// Where in the state the part starts, in bytes.
            offset: u64,
            /// The size of the whole state, in bytes.
            total: u64,
            /// The part.
            part: Bytes,
        },
        /// The answer to a part of a snapshot.
        SnapshotAnswer {
            /// The last entry in the snapshot.
            index: Index,
            /// How much has arrived without gaps, in bytes.
            received: u64,
        },
        /// Asks the leader for an index up to which a read is current.
        ReadIndex {
            /// Matches the answer.
            ticket: u64,
        },
        /// The answer to a read.
        ReadAnswer {
            /// Matches the question.
            ticket: u64,
            /// The index to wait for; nothing if the sender doesn't lead.
            index: Option<Index>,
        },
    }
}
