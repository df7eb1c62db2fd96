//! The leadership of each data centre, with epochs that only increase.

use std::collections::BTreeMap;

use crate::{
    command::{Refusal, Reply},
    data,
    ids::{DataCentre, Epoch, InstanceId, TaskId},
    ledger::change::Change,
};

data! {
    /// The epochs of all data centres; none is ever removed.
    #[derive(Default)]
    pub(super) struct Centres {
        by_name: BTreeMap<DataCentre, Centre>,
    }

    struct Centre {
        newest: Epoch,
        /// The epoch that the newest one took over from.
        previous: Epoch,
        holder: Option<InstanceId>,
    }
}

impl Centres {
    /// The newest epoch and its holder, unless it was released.
    pub(super) fn holder(&self, name: &DataCentre) -> Option<(Epoch, InstanceId)> {
        let centre = self.by_name.get(name)?;
        Some((centre.newest, centre.holder?))
    }

    /// The newest epoch, held or released; 0 if there was none.
    pub(super) fn newest(&self, name: &DataCentre) -> Epoch {
        self.by_name.get(name).map(|centre| centre.newest).unwrap_or_default()
    }

    /// All data centres that have a holder, with the epoch and the holder.
    pub(super) fn held(&self) -> impl Iterator<Item = (&DataCentre, Epoch, InstanceId)> {
        self.by_name.iter().filter_map(|(name, centre)| Some((name, centre.newest, centre.holder?)))
    }

    /// Checks that `epoch` is the newest one and still held.
    ///
    /// # Errors
    ///
    /// [`Refusal::StaleEpoch`] with the newest epoch.
    pub(super) fn check(&self, name: &DataCentre, epoch: Epoch) -> Result<(), Refusal> {
        match self.holder(name) {
            Some((newest, _)) if newest == epoch => Ok(()),
            Some(_) | None => Err(Refusal::StaleEpoch { newest: self.newest(name) }),
        }
    }

    /// Grants the next epoch to `holder` if `previous` is the newest. A resend gets the same
    /// epoch again, as long as it is held.
    pub(super) fn grant(
        &mut self,
        name: &DataCentre,
        holder: InstanceId,
        previous: Epoch,
        changes: &mut Vec<Change>,
    ) -> Reply {
        let newest = self.newest(name);
        if previous == newest {
            let epoch = Epoch(newest.0 + 1);
            let centre = Centre { newest: epoch, previous, holder: Some(holder) };
            self.by_name.insert(name.clone(), centre);
            changes.push(Change::CentreGranted { centre: name.clone(), epoch, holder });
            return Reply::Granted { epoch };
        }
        match self.by_name.get(name) {
            Some(centre) if centre.holder == Some(holder) && centre.previous == previous => {
                Reply::Granted { epoch: newest }
            }
            Some(_) | None => Reply::Refused(Refusal::StaleEpoch { newest }),
        }
    }

    /// Releases an epoch before another instance takes over.
    pub(super) fn release(
        &mut self,
        name: &DataCentre,
        epoch: Epoch,
        changes: &mut Vec<Change>,
    ) -> Reply {
        let newest = self.newest(name);
        match self.by_name.get_mut(name) {
            Some(centre) if centre.newest == epoch => {
                if centre.holder.take().is_some() {
                    changes.push(Change::CentreReleased { centre: name.clone(), epoch });
                }
                Reply::Done
            }
            Some(_) | None => Reply::Refused(Refusal::StaleEpoch { newest }),
        }
    }

    /// The data centre that is responsible for a task that may run anywhere. Chosen by rendezvous
    /// hashing, so that few tasks move when a data centre is added or removed.
    pub(super) fn home_centre(&self, task: TaskId) -> Option<&DataCentre> {
        let weight = |name: &DataCentre| mix(task.0, crc32c::crc32c(name.as_str().as_bytes()));
        self.held().map(|(name, ..)| name).max_by_key(|name| weight(name))
    }
}

/// Hashes a number and a salt (the finalizer of `splitmix64`).
fn mix(number: u64, salt: u32) -> u64 {
    let mut mixed = number ^ (u64::from(salt) << 32 | u64::from(salt));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
