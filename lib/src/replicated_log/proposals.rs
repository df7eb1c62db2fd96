//! Commands of this instance that wait for an answer.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    command::Command,
    ids::Ticket,
    replicated_log::port::Requester,
    time::{Time, earliest},
};

/// How long a claim that was given up is remembered, so that a late answer is still heard.
const LATE_ANSWER_RETENTION: Duration = Duration::from_secs(120);

/// A command that waits for its answer.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Who waits.
    pub requester: Requester,
    command: Command,
    deadline: Option<Time>,
    sent: Option<Time>,
    expired: bool,
}

impl Pending {
    /// A command that hasn't been sent; without a deadline it waits for ever.
    pub fn new(requester: Requester, command: Command, deadline: Option<Time>) -> Self {
        Self { requester, command, deadline, sent: None, expired: false }
    }

    fn sheddable(&self) -> bool {
        matches!(self.requester, Requester::Front { .. } | Requester::Claim { .. })
    }
}

/// Commands that wait for their answers.
#[derive(Clone, Debug)]
pub struct Proposals {
    max: usize,
    last: Ticket,
    pending: BTreeMap<Ticket, Pending>,
    resend: Option<Time>,
}

impl Proposals {
    /// Takes in at most `max` commands that may be shed.
    ///
    /// Tickets are numbered from `seed`, which each start draws anew: the log may still hold
    /// commands of an earlier start of this instance, and an answer to one of those must not be
    /// taken for the answer to a new one.
    pub fn new(max: usize, seed: u64) -> Self {
        Self { max, last: Ticket(seed), pending: BTreeMap::new(), resend: None }
    }

    /// Takes a command in and numbers it.
    ///
    /// # Errors
    ///
    /// Who asked, if too many commands wait and this one may be shed.
    pub fn add(&mut self, now: Time, pending: Pending) -> Result<Ticket, Requester> {
        if pending.sheddable() && self.pending.len() >= self.max {
            return Err(pending.requester);
        }
        self.last.0 = self.last.0.wrapping_add(1);
        self.pending.insert(self.last, pending);
        self.resend = earliest(self.resend, Some(now));
        Ok(self.last)
    }

    /// Notes that a command is sent now, and gives it.
    pub fn sent(&mut self, now: Time, ticket: Ticket) -> Option<&Command> {
        let pending = self.pending.get_mut(&ticket)?;
        pending.sent = Some(now);
        Some(&pending.command)
    }

    /// The agreement didn't take the command in; it is sent again when that is due.
    pub fn rejected(&mut self, ticket: Ticket) {
        if let Some(pending) = self.pending.get_mut(&ticket) {
            pending.sent = pending.sent.and(Some(Time::default()));
        }
    }

    /// Everything is sent again at the next turn: there is another leader.
    pub fn retry_all(&mut self) {
        for pending in self.pending.values_mut() {
            pending.sent = pending.sent.and(Some(Time::default()));
        }
        if !self.pending.is_empty() {
            self.resend = Some(Time::default());
        }
    }

    /// Commands that weren't sent, or whose last sending was `resend` ago.
    pub fn due(&mut self, now: Time, resend: Duration) -> Vec<Ticket> {
        if self.resend.is_none_or(|at| at > now) {
            return Vec::new();
        }
        self.resend = (!self.pending.is_empty()).then(|| now + resend);
        self.pending
            .iter()
            .filter(|(_, pending)| !pending.expired)
            .filter(|(_, pending)| pending.sent.is_none_or(|sent| now.since(sent) >= resend))
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    /// Those whose time is over, and whether their command may have reached a leader.
    pub fn expire(&mut self, now: Time) -> Vec<(Requester, bool)> {
        let mut expired = Vec::new();
        for pending in self.pending.values_mut() {
            if !pending.expired && pending.deadline.is_some_and(|deadline| deadline <= now) {
                pending.expired = true;
                expired.push((pending.requester.clone(), pending.sent.is_some()));
            }
        }
        self.pending.retain(|_, pending| {
            let late = pending
                .deadline
                .is_some_and(|deadline| now.since(deadline) >= LATE_ANSWER_RETENTION);
            let heard =
                matches!(pending.requester, Requester::Claim { .. }) && pending.sent.is_some();
            !pending.expired || (heard && !late)
        });
        expired
    }

    /// The command was applied; who waits for it, if anybody still does.
    pub fn answered(&mut self, ticket: Ticket) -> Option<Pending> {
        self.pending.remove(&ticket)
    }

    /// When a command is due or over.
    pub fn next_deadline(&self) -> Option<Time> {
        let expired = self.pending.values().filter(|p| !p.expired).filter_map(|p| p.deadline).min();
        earliest(self.resend, expired)
    }
}
