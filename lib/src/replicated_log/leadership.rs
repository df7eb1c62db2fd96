//! Leadership of this instance's data centre, which is the right to place work there: when to take
//! it over, and whether it is still confirmed.
//!
//! An epoch that was granted before this process started doesn't count as held: the scheduler's
//! knowledge of the workers' leases is lost, and workers refuse commands that are older than those
//! they have seen. The process takes the next epoch instead.

use std::time::Duration;

use crate::{
    command::Command,
    directory::port::InstanceInfo,
    ids::{DataCentre, Epoch, Index, InstanceId, Ticket},
    ledger::Ledger,
    replicated_log::Config,
    time::Time,
};

/// How often to check whether leadership should be taken over or released.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum time between a read and its answer for the answer to confirm leadership.
const MAX_READ_AGE: Duration = Duration::from_secs(1);

/// Takes over, confirms and releases leadership of the data centre.
#[derive(Clone, Debug)]
pub struct Leadership {
    me: InstanceId,
    centre: DataCentre,
    /// The newest epoch that this process was granted.
    granted: Option<Epoch>,
    takeover_after: Duration,
    confirm_interval: Duration,
    draining: bool,
    /// When a live holder was last seen, or the last command was answered.
    last_settled: Time,
    next_check: Time,
    command_pending: bool,
    next_confirm: Time,
    read_count: u64,
    /// The unanswered read that confirms leadership, and when it started.
    pending_read: Option<(Ticket, Time)>,
}

impl Leadership {
    /// Starts without leadership.
    pub fn new(config: &Config, now: Time) -> Self {
        Self {
            me: config.me.instance,
            centre: config.me.centre.clone(),
            granted: None,
            takeover_after: config.takeover_after,
            confirm_interval: config.confirm_interval,
            draining: false,
            last_settled: now,
            next_check: now,
            command_pending: false,
            next_confirm: now,
            read_count: 0,
            pending_read: None,
        }
    }

    /// Releases leadership and doesn't take it over again.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// The command that takes over or releases leadership, if one is due.
    pub fn next_command(
        &mut self,
        now: Time,
        ledger: &Ledger,
        alive: &[InstanceInfo],
    ) -> Option<Command> {
        if now < self.next_check {
            return None;
        }
        self.next_check = now + CHECK_INTERVAL;
        // A command has two check intervals for its reply: this check only stops waiting, and the
        // next one may return another command.
        if self.command_pending {
            self.command_pending = false;
            return None;
        }
        let current = ledger.epoch_holder(&self.centre);
        if self.draining {
            let epoch = self.held(ledger)?;
            self.command_pending = true;
            return Some(Command::ReleaseCentre { centre: self.centre.clone(), epoch });
        }
        let held = self.held(ledger).is_some();
        if held || current.is_some_and(|(_, holder)| self.is_alive_elsewhere(holder, alive)) {
            self.last_settled = now;
            return None;
        }
        if now.since(self.last_settled) < self.takeover_delay(current.is_some(), alive) {
            return None;
        }
        self.command_pending = true;
        let previous = ledger.newest_epoch(&self.centre);
        Some(Command::GrantCentre { centre: self.centre.clone(), holder: self.me, previous })
    }

    fn is_alive_elsewhere(&self, holder: InstanceId, alive: &[InstanceInfo]) -> bool {
        let alive = alive.iter().any(|info| info.instance == holder && !info.draining);
        holder != self.me && alive
    }

    /// How long to wait before taking over. The instances of the data centre are staggered by their
    /// identities, so that usually only one of them takes over.
    fn takeover_delay(&self, has_holder: bool, alive: &[InstanceInfo]) -> Duration {
        let earlier = alive
            .iter()
            .filter(|info| info.centre == self.centre && info.instance < self.me && !info.draining)
            .count();
        let stagger = CHECK_INTERVAL * 2 * u32::try_from(earlier).unwrap_or(u32::MAX);
        if has_holder { self.takeover_after + stagger } else { stagger }
    }

    /// Records the reply to the command; `granted` is the new epoch, if one was granted.
    pub fn command_answered(&mut self, now: Time, granted: Option<Epoch>) {
        self.command_pending = false;
        self.last_settled = now;
        self.granted = granted.or(self.granted);
    }

    /// The epoch that this process holds, if any.
    pub fn held(&self, ledger: &Ledger) -> Option<Epoch> {
        let (epoch, holder) = ledger.epoch_holder(&self.centre)?;
        (holder == self.me && self.granted == Some(epoch)).then_some(epoch)
    }

    /// The ticket of a read to start, if leadership is held and its confirmation is due.
    pub fn start_confirmation(&mut self, now: Time, ledger: &Ledger) -> Option<Ticket> {
        if now < self.next_confirm {
            return None;
        }
        self.next_confirm = now + self.confirm_interval;
        self.held(ledger)?;
        self.read_count += 1;
        let ticket = Ticket(self.read_count);
        self.pending_read = Some((ticket, now));
        Some(ticket)
    }

    /// Whether a read that is current at `index` confirms leadership.
    ///
    /// An answer that took too long says nothing about the present, and an index that isn't applied
    /// yet can't be checked against the ledger. The next read decides in both cases.
    pub fn finish_confirmation(
        &mut self,
        now: Time,
        ticket: Ticket,
        index: Index,
        ledger: &Ledger,
    ) -> bool {
        let Some((_, started)) = self.pending_read.take_if(|(known, _)| *known == ticket) else {
            return false;
        };
        if now.since(started) > MAX_READ_AGE || ledger.applied() < index {
            return false;
        }
        self.held(ledger).is_some()
    }

    /// Drops a read that failed.
    pub fn read_failed(&mut self, ticket: Ticket) {
        if self.pending_read.as_ref().is_some_and(|(pending, _)| *pending == ticket) {
            self.pending_read = None;
        }
    }

    /// When [`Self::next_command`] or [`Self::start_confirmation`] is due.
    pub fn next_deadline(&self) -> Time {
        self.next_check.min(self.next_confirm)
    }
}
