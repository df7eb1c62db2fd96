//! Cancellable timers.

use std::collections::{BTreeSet, VecDeque};

use crate::{
    ids::RequestId,
    router::port::AttemptId,
    time::{Time, earliest},
};

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The deadline of a request.
    Deadline(RequestId),
    /// A request is due for a retry or a hedge.
    RetryOrHedge(RequestId),
    /// The wait for the result of a claim is over.
    ClaimTimeout(RequestId),
    /// An attempt must be checked for progress.
    Stall(AttemptId),
    /// An abandoned attempt releases its slot.
    Linger(AttemptId),
    /// A target's warm-up or ejection is over.
    Target(usize),
    /// An old view expires, so shares of slots may grow.
    ViewExpiry,
    /// A drain stops waiting for records.
    DrainTimeout,
}

/// All timers, ordered by due time.
///
/// Nearly every attempt sets a stall timer that never fires. Since stall timers are mostly set in
/// due order, they are kept in a separate FIFO queue, and cancelled ones are dropped when they
/// reach the front.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    scheduled: BTreeSet<(Time, TimerKind)>,
    stalls: VecDeque<(Time, AttemptId)>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Time, timer: TimerKind) {
        self.scheduled.insert((at, timer));
    }

    /// Sets a stall timer.
    pub(super) fn set_stall(&mut self, at: Time, attempt: AttemptId) {
        match self.stalls.back() {
            Some((last, _)) if *last > at => self.set(at, TimerKind::Stall(attempt)),
            Some(_) | None => self.stalls.push_back((at, attempt)),
        }
    }

    /// Drops cancelled stall timers from the front of their queue; `is_live` tells whether a timer
    /// is still in use.
    pub(super) fn prune(&mut self, is_live: impl Fn(Time, AttemptId) -> bool) {
        while self.stalls.front().is_some_and(|(at, attempt)| !is_live(*at, *attempt)) {
            self.stalls.pop_front();
        }
    }

    pub(super) fn cancel(&mut self, at: Time, timer: TimerKind) {
        self.scheduled.remove(&(at, timer));
    }

    pub(super) fn next(&self) -> Option<Time> {
        let scheduled = self.scheduled.first().map(|(at, _)| *at);
        earliest(scheduled, self.stalls.front().map(|(at, _)| *at))
    }

    /// Removes and returns a timer that is due.
    pub(super) fn due(&mut self, now: Time) -> Option<TimerKind> {
        if let Some((_, attempt)) = self.stalls.pop_front_if(|(at, _)| *at <= now) {
            return Some(TimerKind::Stall(attempt));
        }
        let (at, timer) = *self.scheduled.first()?;
        (at <= now).then(|| {
            self.scheduled.pop_first();
            timer
        })
    }
}
