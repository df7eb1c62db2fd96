//! Deadlines that can be taken back.

use std::collections::BTreeSet;

use crate::{ids::RequestId, router::port::TryId, time::Time};

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
#[derive(Debug, Default)]
pub(super) struct Timers {
    set: BTreeSet<(Time, Alarm)>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Time, alarm: Alarm) {
        self.set.insert((at, alarm));
    }

    pub(super) fn cancel(&mut self, at: Time, alarm: Alarm) {
        self.set.remove(&(at, alarm));
    }

    pub(super) fn next(&self) -> Option<Time> {
        self.set.first().map(|(at, _)| *at)
    }

    /// The earliest alarm that is due, which is thereby taken off.
    pub(super) fn due(&mut self, now: Time) -> Option<Alarm> {
        let (at, alarm) = *self.set.first()?;
        (at <= now).then(|| {
            self.set.pop_first();
            alarm
        })
    }
}
