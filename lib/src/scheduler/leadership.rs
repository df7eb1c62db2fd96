//! The leadership of the data centre.

use crate::{ids::Epoch, scheduler::config::Config, time::Time};

/// The data centre's epoch, as far as this instance holds it.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    /// The epoch that this instance holds.
    pub(super) epoch: Option<Epoch>,
    /// When it was acquired.
    pub(super) acquired: Time,
    /// When the consensus group last confirmed it.
    pub(super) confirmed: Time,
}

impl Leadership {
    /// No leadership.
    pub(super) fn none(now: Time) -> Self {
        Self { epoch: None, acquired: now, confirmed: now }
    }

    /// The epoch under which leases may be renewed, if any.
    pub(super) fn renewal_epoch(&self, now: Time, config: &Config) -> Option<Epoch> {
        self.epoch.filter(|_| now.since(self.confirmed) <= config.renewal_cutoff)
    }

    /// The epoch under which records may be proposed, if any.
    pub(super) fn record_epoch(&self, now: Time, config: &Config) -> Option<Epoch> {
        self.epoch.filter(|_| now.since(self.confirmed) <= config.record_cutoff)
    }

    /// Whether leadership has lasted long enough to act on reports of unknown attempts.
    pub(super) fn settled(&self, now: Time, config: &Config) -> bool {
        self.epoch.is_some() && now.since(self.acquired) >= config.settle_time
    }

    /// When the previous holder has stopped renewing leases and those that it gave have expired.
    pub(super) fn prior_leases_expire(&self, config: &Config) -> Time {
        self.acquired + config.renewal_cutoff + config.lease_expiry()
    }
}
