//! The right to place work in this instance's data centre: when to take it, and whether it still
//! stands.
//!
//! An epoch that was granted before this process started is not held: what the scheduler knew of
//! workers' leases is gone, and workers refuse commands that are older than those they have seen.
//! The process takes the next epoch instead.

use std::time::Duration;

use crate::{
    command::Command,
    directory::port::InstanceInfo,
    ids::{DataCentre, Epoch, Index, InstanceId, Ticket},
    ledger::Ledger,
    replicated_log::Config,
    time::Time,
};

/// How often it is weighed whether to take the right.
const WEIGH: Duration = Duration::from_millis(250);

/// How old a question may be for its answer to confirm the right.
const FRESH: Duration = Duration::from_secs(1);

/// Takes, confirms and gives back the right to place.
#[derive(Clone, Debug)]
pub struct Leadership {
    me: InstanceId,
    centre: DataCentre,
    /// The newest epoch that this process was granted.
    granted: Option<Epoch>,
    takeover: Duration,
    every: Duration,
    draining: bool,
    /// The holder was alive, or there was nothing to take, at this time.
    content: Time,
    weigh: Time,
    asked: bool,
    confirm: Time,
    reads: u64,
    read: Option<(Ticket, Time)>,
}

impl Leadership {
    /// Starts without the right.
    pub fn new(config: &Config, now: Time) -> Self {
        Self {
            me: config.me.instance,
            centre: config.me.centre.clone(),
            granted: None,
            takeover: config.takeover,
            every: config.confirm,
            draining: false,
            content: now,
            weigh: now,
            asked: false,
            confirm: now,
            reads: 0,
            read: None,
        }
    }

    /// Gives the right back and takes it no more.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// The command that takes or gives back the right, if that is due.
    pub fn take(&mut self, now: Time, ledger: &Ledger, alive: &[InstanceInfo]) -> Option<Command> {
        if now < self.weigh {
            return None;
        }
        self.weigh = now + WEIGH;
        if self.asked {
            self.asked = false;
            return None;
        }
        let standing = ledger.centre(&self.centre);
        if self.draining {
            let epoch = self.held(ledger)?;
            self.asked = true;
            return Some(Command::ReleaseCentre { centre: self.centre.clone(), epoch });
        }
        let held = self.held(ledger).is_some();
        if held || standing.is_some_and(|(_, holder)| self.lives(holder, alive)) {
            self.content = now;
            return None;
        }
        if now.since(self.content) < self.patience(standing.is_some(), alive) {
            return None;
        }
        self.asked = true;
        let previous = ledger.last_epoch(&self.centre);
        Some(Command::GrantCentre { centre: self.centre.clone(), holder: self.me, previous })
    }

    fn lives(&self, holder: InstanceId, alive: &[InstanceInfo]) -> bool {
        let alive = alive.iter().any(|info| info.instance == holder && !info.draining);
        holder != self.me && alive
    }

    /// How long to wait before taking the right: the instances of the data centre do so one
    /// after the other, by identity.
    fn patience(&self, held: bool, alive: &[InstanceInfo]) -> Duration {
        let earlier = alive
            .iter()
            .filter(|info| info.centre == self.centre && info.instance < self.me && !info.draining)
            .count();
        let turn = WEIGH * 2 * u32::try_from(earlier).unwrap_or(u32::MAX);
        if held { self.takeover + turn } else { turn }
    }

    /// The command was answered, with an epoch if the right was taken; weigh anew.
    pub fn answered(&mut self, now: Time, granted: Option<Epoch>) {
        self.asked = false;
        self.content = now;
        self.granted = granted.or(self.granted);
    }

    /// The epoch that this process holds.
    pub fn held(&self, ledger: &Ledger) -> Option<Epoch> {
        let (epoch, holder) = ledger.centre(&self.centre)?;
        (holder == self.me && self.granted == Some(epoch)).then_some(epoch)
    }

    /// A read to start, if the right is held and its confirmation is due.
    pub fn confirm(&mut self, now: Time, ledger: &Ledger) -> Option<Ticket> {
        if now < self.confirm {
            return None;
        }
        self.confirm = now + self.every;
        self.held(ledger)?;
        self.reads += 1;
        let ticket = Ticket(self.reads);
        self.read = Some((ticket, now));
        Some(ticket)
    }

    /// Whether the right is confirmed by a read that is current at `index`.
    ///
    /// An answer that took long says nothing of now, and one that is ahead of what is applied says
    /// nothing yet; the next read will.
    pub fn confirmed(&mut self, now: Time, ticket: Ticket, index: Index, ledger: &Ledger) -> bool {
        let Some((_, asked)) = self.read.take_if(|(known, _)| *known == ticket) else {
            return false;
        };
        if now.since(asked) > FRESH || ledger.applied() < index {
            return false;
        }
        self.held(ledger).is_some()
    }

    /// The read found no leader.
    pub fn failed(&mut self, ticket: Ticket) {
        if self.read.as_ref().is_some_and(|(asked, _)| *asked == ticket) {
            self.read = None;
        }
    }

    /// When [`Self::take`] or [`Self::confirm`] is due.
    pub fn next_deadline(&self) -> Time {
        self.weigh.min(self.confirm)
    }
}
