//! Deadlines that can be taken back.

use std::collections::{BTreeSet, VecDeque};

use crate::{
    ids::RequestId,
    router::port::AttemptId,
    time::{Time, earliest},
};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The deadline of a request.
    Deadline(RequestId),
    /// A request is to be sent again or hedged.
    RetryOrHedge(RequestId),
    /// A claim whose answer didn't come is forgotten.
    ClaimTimeout(RequestId),
    /// A try may have gone silent.
    Stall(AttemptId),
    /// An abandoned try gives its slot back.
    Linger(AttemptId),
    /// A target is warm, or its ejection is over.
    Target(usize),
    /// Parts of slots may grow.
    ViewExpiry,
    /// A drain waits no longer for records.
    DrainTimeout,
}

/// All timers, in the order in which they come due.
///
/// Nearly every try sets a timer for silence that never rings. Those are set in the order in
/// which they come due, so that they stand in a line of their own, and one that was taken back is
/// dropped when it reaches the front.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    scheduled: BTreeSet<(Time, TimerKind)>,
    stalls: VecDeque<(Time, AttemptId)>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Time, timer: TimerKind) {
        self.scheduled.insert((at, timer));
    }

    /// Sets a timer for silence.
    pub(super) fn set_stall(&mut self, at: Time, attempt: AttemptId) {
        match self.stalls.back() {
            Some((last, _)) if *last > at => self.set(at, TimerKind::Stall(attempt)),
            Some(_) | None => self.stalls.push_back((at, attempt)),
        }
    }

    /// Drops timers for silence that were taken back from the front of their line; `counts` says
    /// which weren't.
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

    /// The earliest alarm that is due, which is thereby taken off.
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
