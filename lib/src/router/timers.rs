//! Deadlines that can be taken back.

use std::collections::{BTreeSet, VecDeque};

use crate::{
    ids::RequestId,
    router::port::TryId,
    time::{Time, earliest},
};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Alarm {
    /// The deadline of a request.
    Deadline(RequestId),
    /// A request is to be sent again or hedged.
    Request(RequestId),
    /// A claim whose answer didn't come is forgotten.
    Release(RequestId),
    /// A try may have gone silent.
    Silence(TryId),
    /// An abandoned try gives its slot back.
    Linger(TryId),
    /// A target is warm, or its ejection is over.
    Target(usize),
    /// Parts of slots may grow.
    Settle,
    /// A drain waits no longer for records.
    Depart,
}

/// All timers, in the order in which they come due.
///
/// Nearly every try sets a timer for silence that never rings. Those are set in the order in
/// which they come due, so that they stand in a line of their own, and one that was taken back is
/// dropped when it reaches the front.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    set: BTreeSet<(Time, Alarm)>,
    line: VecDeque<(Time, TryId)>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Time, alarm: Alarm) {
        self.set.insert((at, alarm));
    }

    /// Sets a timer for silence.
    pub(super) fn set_silence(&mut self, at: Time, attempt: TryId) {
        match self.line.back() {
            Some((last, _)) if *last > at => self.set(at, Alarm::Silence(attempt)),
            Some(_) | None => self.line.push_back((at, attempt)),
        }
    }

    /// Drops timers for silence that were taken back from the front of their line; `counts` says
    /// which weren't.
    pub(super) fn prune(&mut self, counts: impl Fn(Time, TryId) -> bool) {
        while self.line.front().is_some_and(|(at, attempt)| !counts(*at, *attempt)) {
            self.line.pop_front();
        }
    }

    pub(super) fn cancel(&mut self, at: Time, alarm: Alarm) {
        self.set.remove(&(at, alarm));
    }

    pub(super) fn next(&self) -> Option<Time> {
        let set = self.set.first().map(|(at, _)| *at);
        earliest(set, self.line.front().map(|(at, _)| *at))
    }

    /// The earliest alarm that is due, which is thereby taken off.
    pub(super) fn due(&mut self, now: Time) -> Option<Alarm> {
        if let Some((_, attempt)) = self.line.pop_front_if(|(at, _)| *at <= now) {
            return Some(Alarm::Silence(attempt));
        }
        let (at, alarm) = *self.set.first()?;
        (at <= now).then(|| {
            self.set.pop_first();
            alarm
        })
    }
}
