//! The shutdown of a controller: a voter hands its vote over to a standby before it stops.
//!
//! A voter that just stops counts as a voter until it has been silent for a while, and for that time
//! the deployment bears one loss less than it should.

use crate::{
    consensus::chart::Role,
    jobs::controller::{Controller, Effect},
    time::Time,
};

/// The progress of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shutdown {
    /// The controller isn't shutting down.
    None,
    /// It waits until the leader has replaced it.
    HandingOver,
    /// It may stop.
    Done,
}

impl Controller {
    /// Starts the shutdown, and announces it to the others.
    pub(super) fn shut_down(&mut self, now: Time) {
        if self.shutdown == Shutdown::None {
            self.shutdown = Shutdown::HandingOver;
            self.membership.set_leaving(self.config.me.id, true);
            self.next_hello = now;
        }
    }

    /// Reports once that this controller may stop: it doesn't vote any more, or no other controller
    /// can take its place.
    pub(super) fn check_handover(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.shutdown != Shutdown::HandingOver {
            return;
        }
        let status = self.consensus.status();
        let members = &status.members;
        let replaced = !members.is_voter(self.config.me.id) && status.role != Role::Leader;
        // While the replacement is in progress, there is one more voter than is aimed at.
        let standbys = self.membership.counts(now, members).standbys;
        let replaceable = standbys > 0 || members.voters.len() > self.config.voters;
        if replaced || !replaceable {
            self.shutdown = Shutdown::Done;
            out.push(Effect::MayStop { votes: !replaced });
        }
    }
}
