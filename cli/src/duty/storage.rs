//! Writes the replicated log and its snapshots to the instance's disk.

use crossbeam_channel::Receiver;
use hickorylink_lib::{consensus::log::Write, instance::port::Output, replicated_log::port::Event};
use hickorylink_runtime::persist::warn_if_slow;
use slog::{Logger, crit};

use crate::{
    clock::Clock,
    outboxes::Outboxes,
    storage::{Store, disk::Disk},
};

/// The maximum number of writes that share one sync.
const MAX_BATCH: usize = 1024;

/// Where an instance stores its log.
#[derive(Debug)]
pub enum LogStore<D> {
    /// On the instance's disk.
    Disk(Store<D>),
    /// Nowhere: an instance without a disk follows the log but makes nothing durable.
    Discard,
}

/// Runs until the ring is closed or the disk fails; returns whether it failed.
pub fn storage<D: Disk>(
    ring: &Receiver<Write>,
    mut outboxes: Outboxes,
    mut store: LogStore<D>,
    clock: Clock,
    log: &Logger,
) -> bool {
    while let Ok(first) = ring.recv() {
        let mut writes = vec![first];
        writes.extend(ring.try_iter().take(MAX_BATCH - 1));
        let since = clock.now();
        let sequence = match &mut store {
            LogStore::Disk(store) => match store.write(&writes) {
                Ok(sequence) => sequence,
                Err(error) => {
                    crit!(log, "the disk failed; the instance stops"; "error" => %error);
                    return true;
                }
            },
            LogStore::Discard => writes.last().map_or(0, |write| write.sequence),
        };
        warn_if_slow(log, clock.now().since(since), writes.len());
        outboxes.send(Output::replicated_log(Event::Stored { sequence }));
        while outboxes.flush() > 0 {
            std::thread::sleep(super::RETRY_DELAY);
        }
    }
    false
}
