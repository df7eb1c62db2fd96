//! What a controller reports about the group of controllers: voters that are missing, and the loss
//! of the leader.

use std::{net::SocketAddr, time::Duration};

use crate::{
    consensus::port::Status,
    jobs::{
        controller::{Controller, Effect, LogEvent},
        voters::VoterChange,
    },
    time::Time,
};

/// How long no leader is known before it is reported; an election takes less.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(5);

/// For how long a controller has known no leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Leaderless {
    /// It knows one.
    No,
    /// None is known since this time.
    Since(Time),
    /// The loss was reported.
    Reported,
}

impl Controller {
    /// Records whether a leader is known.
    pub(super) fn record_leader(&mut self, now: Time, known: bool) {
        self.leaderless = match (known, self.leaderless) {
            (true, _) => Leaderless::No,
            (false, Leaderless::No) => Leaderless::Since(now),
            (false, unchanged @ (Leaderless::Since(_) | Leaderless::Reported)) => unchanged,
        };
    }

    /// Reports once that no leader has been known for long.
    pub(super) fn report_leaderless(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Leaderless::Since(since) = self.leaderless else { return };
        let waited = now.since(since);
        if waited < LEADERLESS_TIMEOUT {
            return;
        }
        self.leaderless = Leaderless::Reported;
        let asked = self.contacts.recipients(now, self.member_peers()).into_iter().collect();
        let heard = self.contacts.live(now).collect();
        out.push(Effect::LogEvent(LogEvent::NoLeader { waited, asked, heard }));
    }

    /// Reports controllers of which a hello is the first sign of life.
    pub(super) fn report_heard(from: SocketAddr, new: &[SocketAddr], out: &mut Vec<Effect>) {
        out.extend(
            new.iter()
                .map(|peer| Effect::LogEvent(LogEvent::ControllerHeard { peer: *peer, from })),
        );
    }

    /// Counts the voters, and reports when they become too few or enough.
    pub(super) fn watch_voters(&mut self, now: Time, status: &Status, out: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader else { return };
        let counts = self.membership.counts(now, &status.members);
        let event = match leader.voters.update(now, counts) {
            Some(VoterChange::TooFew) => {
                let absent = self.membership.absent_voters(now, &status.members, &self.addresses);
                LogEvent::TooFewVoters { counts, absent }
            }
            Some(VoterChange::Enough { since }) => {
                LogEvent::EnoughVoters { counts, after: now.since(since) }
            }
            None => return,
        };
        out.push(Effect::LogEvent(event));
    }
}
