//! Waiting for a better placement: whether a task takes the free worker away from its data, or waits
//! for room on the rack of its data. The members of a rack-sensitive gang wait for one rack likewise.
//!
//! A wait reserves nothing. It has an end that is set when it begins, and is reconsidered whenever the
//! task has a choice again.

use std::time::Duration;

use crate::{symbols, time::Time};

pub mod forecast;
pub mod racks;
pub mod waits;

/// The settings for waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Locality {
    /// How many times as long a task takes away from its rack; above 1.
    pub remote_factor: f64,
    /// The longest wait; zero if tasks don't wait.
    pub max_wait: Duration,
}

impl Locality {
    /// No task waits.
    pub const OFF: Self = Self { remote_factor: 1.0, max_wait: Duration::ZERO };

    /// Whether tasks may wait.
    pub fn is_on(&self) -> bool {
        self.max_wait > Duration::ZERO && self.remote_factor > 1.0
    }

    /// How much longer a task with this work takes away from its rack.
    pub fn surplus(&self, work: Duration) -> Duration {
        let millis = (self.remote_factor - 1.0).max(0.0) * work.as_secs_f64() * 1000.0;
        // The conversion saturates; the result only has to exceed every wait.
        Duration::from_millis(millis as u64)
    }

    /// The longest wait of a task with this work. A longer one would cost more than it can save.
    pub fn longest_wait(&self, work: Duration) -> Duration {
        self.max_wait.min(self.surplus(work))
    }
}

/// The end of a wait that begins now. `longest` is from [`Locality::longest_wait`].
///
/// `age` is the time since the occurrence began, if an earlier leader may have begun the wait. When it did isn't
/// recorded, so the wait is taken to have begun with the occurrence. The end is then never later than the one
/// that the earlier leader has set.
pub fn wait_end(now: Time, longest: Duration, age: Option<Duration>) -> Time {
    now + longest.saturating_sub(age.unwrap_or(Duration::ZERO))
}

/// What a second by which a job is late costs, beside the second itself. A job may be late by less than the
/// estimates of its tasks are wrong, so that being late counts by its length.
const LATENESS_WEIGHT: f64 = 1.0;

/// What is known when a task can start away from its rack.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// The current time.
    pub now: Time,
    /// The end of the wait.
    pub until: Time,
    /// When room near the data is expected; `None` if none is expected.
    pub expected: Option<Time>,
    /// The probability that the expectation is right, from 0 to 1.
    pub right: f64,
    /// How much longer the task takes away from its rack.
    pub surplus: Duration,
    /// The time for which the start near the data may be put off with the job still ending in time, in
    /// milliseconds; negative if it will be late.
    pub slack_ms: i64,
    /// Whether other tasks wait that could use the free room.
    pub queued: bool,
}

symbols! {
    /// Why a task takes the free place away from its rack.
    pub enum Reason {
        /// The end of its wait has come.
        Expired = "expired",
        /// No room is expected near the data: the rack has no live worker, or only runs that don't end.
        Lost = "lost",
        /// Room near the data is expected after the end of the wait.
        TooLate = "too late",
        /// The wait isn't expected to save time.
        NotWorth = "not worth it",
    }
}

/// What a task does that can start away from its rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It takes the free place.
    Take(Reason),
    /// It waits, at most until this time.
    Wait(Time),
}

impl Choice {
    /// Whether the task takes the free place or waits.
    ///
    /// It waits if that is expected to cost its caller and the others less. If room doesn't come as expected,
    /// the wait ends between the expected time and its end: a run that is overdue is expected to need as long
    /// again. If others wait for the free room, a run there delays one of them by the surplus.
    pub fn decide(&self) -> Decision {
        let Self { now, until, expected, right, surplus, slack_ms, queued } = *self;
        if now >= until {
            return Decision::Take(Reason::Expired);
        }
        let Some(expected) = expected.map(|expected| now.until(expected)) else {
            return Decision::Take(Reason::Lost);
        };
        let left = now.until(until);
        if expected > left {
            return Decision::Take(Reason::TooLate);
        }
        let surplus = surplus.as_secs_f64();
        let slack = slack_ms as f64 / 1000.0;
        let delay = |delay: f64| delay + LATENESS_WEIGHT * (delay - slack).max(0.0);
        let others = if queued { surplus } else { 0.0 };
        let far = |begin: f64| delay(begin + surplus) + others;
        let near = delay(expected.as_secs_f64());
        let given_up = (expected + left).as_secs_f64() / 2.0;
        if right * near + (1.0 - right) * far(given_up) < far(0.0) {
            Decision::Wait(until)
        } else {
            Decision::Take(Reason::NotWorth)
        }
    }
}
