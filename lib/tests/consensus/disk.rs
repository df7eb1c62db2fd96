//! A member's storage, which survives a crash.

use hickorylink_lib::consensus::log::{Entry, HardState, Recovered, Snapshot, Write};

/// The synced contents of storage.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Disk {
    pub(crate) hard: HardState,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) entries: Vec<Entry>,
}

impl Disk {
    pub(crate) fn write(&mut self, write: &Write) {
        if let Some(snapshot) = &write.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot.clone());
        }
        if let Some(hard) = write.hard {
            self.hard = hard;
        }
        if let Some(from) = write.truncate {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(write.entries.iter().cloned());
    }

    pub(crate) fn recover(&self) -> Recovered {
        let Self { hard, snapshot, entries } = self.clone();
        Recovered { hard, snapshot, entries }
    }
}
