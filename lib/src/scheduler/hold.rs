//! The right to place work in the data centre.

use crate::{ids::Epoch, scheduler::config::Config, time::Time};

/// What this instance knows of the data centre's epoch.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    /// The epoch that this instance holds.
    pub(super) epoch: Option<Epoch>,
    /// When it was taken.
    pub(super) taken: Time,
    /// When the council last confirmed it.
    pub(super) confirmed: Time,
}

impl Hold {
    /// No epoch is held.
    pub(super) fn none(now: Time) -> Self {
        Self { epoch: None, taken: now, confirmed: now }
    }

    /// The epoch, if leases may be renewed under it.
    pub(super) fn renews(&self, now: Time, config: &Config) -> Option<Epoch> {
        self.epoch.filter(|_| now.since(self.confirmed) <= config.cutoff)
    }

    /// The epoch, if the council is likely to record something under it.
    pub(super) fn records(&self, now: Time, config: &Config) -> Option<Epoch> {
        self.epoch.filter(|_| now.since(self.confirmed) <= config.confirm)
    }

    /// Whether enough time has passed since the hold was taken to judge what is unknown.
    pub(super) fn settled(&self, now: Time, config: &Config) -> bool {
        self.epoch.is_some() && now.since(self.taken) >= config.settle
    }

    /// When the holder before this one has surely stopped renewing leases and the leases that it
    /// gave have surely run out.
    pub(super) fn cleared(&self, config: &Config) -> Time {
        self.taken + config.cutoff + config.lapse()
    }
}
