//! The targets announced to this instance, those of other authorities, and the merged view.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    directory::port::{TargetChange, TargetRecord, TargetsMessage},
    ids::InstanceId,
    instance::port::Output,
    router::port::{Event, Target},
    time::Time,
    worker::Announcement,
};

/// The targets that workers announced to this instance.
#[derive(Clone, Debug, Default)]
pub struct LocalTargets {
    version: u64,
    items: BTreeMap<String, AnnouncedTarget>,
}

#[derive(Clone, Debug)]
struct AnnouncedTarget {
    record: TargetRecord,
    /// When it was last announced.
    announced: Time,
}

/// The targets of another authority.
#[derive(Clone, Debug)]
pub struct RemoteTargets {
    /// The number of the newest change received without a gap.
    pub version: u64,
    /// When a heartbeat last confirmed that no change is missing.
    pub heard: Time,
    items: BTreeMap<String, TargetRecord>,
}

/// The merged targets, as published to the router.
#[derive(Clone, Debug, Default)]
pub struct MergedTargets {
    published: BTreeMap<String, Target>,
}

impl LocalTargets {
    /// The number of the newest change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records an announcement; returns the resulting changes, if any.
    pub fn record_announcement(
        &mut self,
        now: Time,
        announcement: &Announcement,
    ) -> Option<TargetsMessage> {
        let mut changes = Vec::new();
        let gone: Vec<_> = self
            .items
            .iter()
            .filter(|(address, item)| {
                item.record.target.worker == announcement.worker
                    && item.record.incarnation <= announcement.incarnation
                    && !announcement.targets.iter().any(|report| report.address == **address)
            })
            .map(|(address, _)| address.clone())
            .collect();
        for address in gone {
            self.items.remove(&address);
            changes.push(TargetChange::Remove { address });
        }
        for record in records(announcement) {
            let address = record.target.address.clone();
            let old = self.items.get(&address).map(|item| &item.record);
            if old.is_some_and(|old| old.incarnation > record.incarnation) {
                continue;
            }
            if old != Some(&record) {
                changes.push(TargetChange::Put(Box::new(record.clone())));
            }
            self.items.insert(address, AnnouncedTarget { record, announced: now });
        }
        self.number_changes(changes)
    }

    /// Removes targets that were not announced for `after`; returns the changes, if any.
    pub fn expire(&mut self, now: Time, after: Duration) -> Option<TargetsMessage> {
        let mut changes = Vec::new();
        self.items.retain(|address, item| {
            let keep = now.since(item.announced) < after;
            if !keep {
                changes.push(TargetChange::Remove { address: address.clone() });
            }
            keep
        });
        self.number_changes(changes)
    }

    /// The targets that were announced within `span`.
    pub fn confirmed(&self, now: Time, span: Duration) -> impl Iterator<Item = &TargetRecord> {
        self.items
            .values()
            .filter(move |item| now.since(item.announced) < span)
            .map(|item| &item.record)
    }

    /// A message with all targets.
    pub fn all(&self, me: InstanceId) -> TargetsMessage {
        let items = self.items.values().map(|item| item.record.clone()).collect();
        TargetsMessage::All { from: me, version: self.version, items }
    }

    fn number_changes(&mut self, changes: Vec<TargetChange>) -> Option<TargetsMessage> {
        if changes.is_empty() {
            return None;
        }
        self.version += 1;
        let from = InstanceId::default();
        Some(TargetsMessage::Changes { from, version: self.version, changes })
    }
}

fn records(announcement: &Announcement) -> impl Iterator<Item = TargetRecord> {
    announcement.targets.iter().map(|report| TargetRecord {
        incarnation: announcement.incarnation,
        target: Target {
            address: report.address.clone(),
            worker: announcement.worker.clone(),
            centre: announcement.centre.clone(),
            service: report.service.clone(),
            slots: report.slots,
            connections: report.connections,
            leaving: announcement.leaving,
        },
    })
}

impl RemoteTargets {
    /// An authority whose targets aren't known yet.
    pub fn new(now: Time) -> Self {
        Self { version: 0, heard: now, items: BTreeMap::new() }
    }

    /// The authority's targets.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.items.values()
    }

    /// Replaces all targets, unless newer changes are already known.
    pub fn replace(&mut self, version: u64, items: Vec<TargetRecord>) {
        if version < self.version {
            return;
        }
        self.version = version;
        self.items = items.into_iter().map(|item| (item.target.address.clone(), item)).collect();
    }

    /// Applies a change if it directly follows the last one; a gap is detected at the next
    /// heartbeat.
    pub fn apply(&mut self, version: u64, changes: Vec<TargetChange>) {
        if self.version.checked_add(1) != Some(version) {
            return;
        }
        self.version = version;
        for change in changes {
            match change {
                TargetChange::Put(record) => {
                    self.items.insert(record.target.address.clone(), *record);
                }
                TargetChange::Remove { address } => {
                    self.items.remove(&address);
                }
            }
        }
    }
}

impl MergedTargets {
    /// Merges the records of all authorities and sends the changes to the router.
    ///
    /// Of two conflicting records the one with the newer incarnation wins; with the same
    /// incarnation, the one that says that the target is leaving, because a leaving target doesn't
    /// return within an incarnation.
    pub fn update<'r>(
        &mut self,
        records: impl Iterator<Item = &'r TargetRecord>,
        out: &mut Vec<Output>,
    ) {
        let mut newest: BTreeMap<&str, &TargetRecord> = BTreeMap::new();
        for record in records {
            let rank = |record: &TargetRecord| (record.incarnation, record.target.leaving);
            let best = newest.entry(&record.target.address).or_insert(record);
            if rank(record) > rank(best) {
                *best = record;
            }
        }
        self.published.retain(|address, _| {
            let keep = newest.contains_key(address.as_str());
            if !keep {
                out.push(Output::router(Event::TargetGone { address: address.clone() }));
            }
            keep
        });
        for (address, record) in newest {
            if self.published.get(address) != Some(&record.target) {
                self.published.insert(address.to_owned(), record.target.clone());
                out.push(Output::router(Event::Target(Box::new(record.target.clone()))));
            }
        }
    }

    /// The targets that were published to the router.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.published.values()
    }
}
