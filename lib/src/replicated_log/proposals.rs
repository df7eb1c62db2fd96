//! Commands of this instance that await their replies.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    command::Command,
    ids::Ticket,
    replicated_log::port::Requester,
    time::{Time, earliest},
};

/// How long a claim is kept after its deadline, so that a late reply is still delivered.
const LATE_REPLY_RETENTION: Duration = Duration::from_secs(120);

/// A command that awaits its reply.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The component that awaits the reply.
    pub requester: Requester,
    command: Command,
    deadline: Option<Time>,
    /// When it was last sent; zero if it is to be sent again at the next resend.
    sent: Option<Time>,
    /// Whether its requester was told that it wasn't committed in time.
    expired: bool,
}

impl Pending {
    /// A command that hasn't been sent. Without a deadline it is resent until it is answered.
    pub fn new(requester: Requester, command: Command, deadline: Option<Time>) -> Self {
        Self { requester, command, deadline, sent: None, expired: false }
    }

    /// Whether the command may be refused if too many are pending. A caller waits for such a
    /// command and learns of the refusal.
    fn sheddable(&self) -> bool {
        matches!(self.requester, Requester::Front { .. } | Requester::Claim { .. })
    }
}

/// Commands that await their replies.
#[derive(Clone, Debug)]
pub struct Proposals {
    max_pending: usize,
    last: Ticket,
    pending: BTreeMap<Ticket, Pending>,
    next_resend: Option<Time>,
}

impl Proposals {
    /// Creates an empty set that refuses sheddable commands once it has `max_pending` commands.
    ///
    /// Tickets are numbered from `seed`, which is random for each process: the log may still
    /// contain commands of an earlier process of this instance, whose replies must not be mistaken
    /// for replies to new commands.
    pub fn new(max_pending: usize, seed: u64) -> Self {
        Self { max_pending, last: Ticket(seed), pending: BTreeMap::new(), next_resend: None }
    }

    /// Adds a command and returns its ticket.
    ///
    /// # Errors
    ///
    /// The requester, if too many commands are pending and this one may be shed.
    pub fn add(&mut self, now: Time, pending: Pending) -> Result<Ticket, Requester> {
        if pending.sheddable() && self.pending.len() >= self.max_pending {
            return Err(pending.requester);
        }
        self.last.0 = self.last.0.wrapping_add(1);
        self.pending.insert(self.last, pending);
        self.next_resend = earliest(self.next_resend, Some(now));
        Ok(self.last)
    }

    /// Records that a command is sent now, and returns it.
    pub fn mark_sent(&mut self, now: Time, ticket: Ticket) -> Option<&Command> {
        let pending = self.pending.get_mut(&ticket)?;
        pending.sent = Some(now);
        Some(&pending.command)
    }

    /// Records that consensus rejected the command, so that it is sent again at the next resend.
    pub fn mark_rejected(&mut self, ticket: Ticket) {
        if let Some(pending) = self.pending.get_mut(&ticket) {
            pending.sent = pending.sent.and(Some(Time::default()));
        }
    }

    /// Makes all commands due at once, after the leader or the term changed.
    pub fn retry_all(&mut self) {
        for pending in self.pending.values_mut() {
            pending.sent = pending.sent.and(Some(Time::default()));
        }
        if !self.pending.is_empty() {
            self.next_resend = Some(Time::default());
        }
    }

    /// The commands that weren't sent yet, or were last sent at least `resend` ago.
    pub fn due(&mut self, now: Time, resend: Duration) -> Vec<Ticket> {
        if self.next_resend.is_none_or(|at| at > now) {
            return Vec::new();
        }
        self.next_resend = (!self.pending.is_empty()).then(|| now + resend);
        self.pending
            .iter()
            .filter(|(_, pending)| !pending.expired)
            .filter(|(_, pending)| pending.sent.is_none_or(|sent| now.since(sent) >= resend))
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    /// Marks commands whose deadline has passed. Returns their requesters, each with whether the
    /// command was sent and may therefore still be applied.
    pub fn expire(&mut self, now: Time) -> Vec<(Requester, bool)> {
        let mut expired = Vec::new();
        for pending in self.pending.values_mut() {
            if !pending.expired && pending.deadline.is_some_and(|deadline| deadline <= now) {
                pending.expired = true;
                expired.push((pending.requester.clone(), pending.sent.is_some()));
            }
        }
        self.pending.retain(|_, pending| {
            let too_late = pending
                .deadline
                .is_some_and(|deadline| now.since(deadline) >= LATE_REPLY_RETENTION);
            let awaits_late_reply =
                matches!(pending.requester, Requester::Claim { .. }) && pending.sent.is_some();
            !pending.expired || (awaits_late_reply && !too_late)
        });
        expired
    }

    /// Removes and returns an applied command, if it is still pending.
    pub fn take_answered(&mut self, ticket: Ticket) -> Option<Pending> {
        self.pending.remove(&ticket)
    }

    /// When a command must next be sent or expires.
    pub fn next_deadline(&self) -> Option<Time> {
        let expired = self.pending.values().filter(|p| !p.expired).filter_map(|p| p.deadline).min();
        earliest(self.next_resend, expired)
    }
}
