//! How many controllers vote, and whether they are enough: what a leader reports to operators.

use core::net::SocketAddr;

use crate::{data, ids::InstanceId, time::Time};

data! {
    /// The controllers of a deployment, as its leader counts them.
    #[derive(Copy, Default)]
    pub struct MemberCounts {
        /// Those that vote.
        pub voters: usize,
        /// Those that vote, were heard recently and aren't shutting down.
        pub live_voters: usize,
        /// Those that were heard recently and could become voters.
        pub standbys: usize,
        /// How many voters the leader aims at.
        pub wanted: usize,
    }

    /// A voter that is silent or shuts down.
    pub struct AbsentVoter {
        /// Its identity.
        pub id: InstanceId,
        /// Its address, if it is known.
        pub peer: Option<SocketAddr>,
    }
}

impl MemberCounts {
    /// Whether the deployment bears fewer losses than it is meant to.
    pub fn too_few_vote(&self) -> bool {
        self.live_voters < self.wanted
    }
}

/// Reports when live voters become too few, and when they are enough again.
#[derive(Debug, Default)]
pub struct VoterWatch {
    counts: MemberCounts,
    /// Since when there are too few.
    since: Option<Time>,
}

/// A change that [`VoterWatch`] reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// Too few controllers vote from now on.
    TooFew,
    /// Enough controllers vote again.
    Enough {
        /// Since when there were too few.
        since: Time,
    },
}

impl VoterWatch {
    /// The latest counts.
    pub fn counts(&self) -> MemberCounts {
        self.counts
    }

    /// Records the present counts.
    pub fn update(&mut self, now: Time, counts: MemberCounts) -> Option<VoterChange> {
        self.counts = counts;
        match self.since {
            None if counts.too_few_vote() => {
                self.since = Some(now);
                Some(VoterChange::TooFew)
            }
            Some(since) if !counts.too_few_vote() => {
                self.since = None;
                Some(VoterChange::Enough { since })
            }
            None | Some(_) => None,
        }
    }
}
