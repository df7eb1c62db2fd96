//! The storage duty of a controller: makes the writes of the consensus state machine durable.

use std::time::Duration;

use crossbeam_channel::Receiver;
use hickorylink_lib::{
    consensus::log::{Recovered, Write},
    jobs::controller::Event,
};
use slog::{Logger, error, warn};

use crate::{
    clock::Clock,
    ring::RingSender,
    storage::{Disk, Opened, Store, StoreError},
};

/// The maximum number of writes that share one sync.
const MAX_BATCH: usize = 1024;

/// The pause before a failed write is retried.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The pause before a confirmation is sent again when control's ring is full.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// The shortest time for which a write is logged as slow. Leadership is given up after one that is
/// several times slower.
const SLOW_WRITE: Duration = Duration::from_millis(250);

/// Runs until the ring is closed.
///
/// Writes to a failing disk are retried. Until one succeeds the controller can't vote, and another
/// member leads.
pub fn run<D: Disk>(
    ring: &Receiver<Write>,
    control: &RingSender<Event>,
    store: Store<D>,
    reopen: impl Fn() -> Result<Opened<D>, StoreError>,
    clock: Clock,
    log: &Logger,
) {
    let mut store = Some(store);
    while let Ok(first) = ring.recv() {
        let mut writes = vec![first];
        writes.extend(ring.try_iter().take(MAX_BATCH - 1));
        let since = clock.now();
        let sequence = loop {
            match write(&mut store, &writes, &reopen) {
                Ok(sequence) => break sequence,
                Err(error) => {
                    if store.is_some() {
                        error!(log, "a write to disk failed; retrying"; "error" => %error);
                    }
                    // Only reopening the store shows which writes have reached the disk.
                    store = None;
                    std::thread::sleep(DISK_RETRY_INTERVAL);
                }
            }
        };
        warn_if_slow(log, clock.now().since(since), writes.len());
        let mut event = Event::Stored { sequence };
        while let Err(rejected) = control.push(event) {
            event = rejected;
            std::thread::sleep(RETRY_INTERVAL);
        }
    }
}

/// Logs that a batch took long to become durable.
pub fn warn_if_slow(log: &Logger, took: Duration, writes: usize) {
    if took >= SLOW_WRITE {
        let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        warn!(log, "a write to disk was slow"; "took_ms" => took_ms, "writes" => writes);
    }
}

/// Makes a batch durable and returns the sequence number of its last write. Reopens the store first
/// if a failure has closed it.
fn write<D: Disk>(
    store: &mut Option<Store<D>>,
    writes: &[Write],
    reopen: impl Fn() -> Result<Opened<D>, StoreError>,
) -> Result<u64, StoreError> {
    if let Some(open) = store {
        return open.write(writes);
    }
    let opened = reopen()?;
    let open = store.insert(opened.store);
    match writes.last() {
        Some(last) if contains_batch(&opened.recovered, writes) => Ok(last.sequence),
        Some(_) | None => open.write(writes),
    }
}

/// Returns whether a batch whose write failed is on disk nevertheless. Batches are atomic, so the
/// last entry decides.
fn contains_batch(recovered: &Recovered, writes: &[Write]) -> bool {
    let last = writes.iter().rev().find_map(|write| write.entries.last());
    last.is_some_and(|last| {
        recovered
            .entries
            .last()
            .is_some_and(|stored| stored.index == last.index && stored.term == last.term)
    })
}
