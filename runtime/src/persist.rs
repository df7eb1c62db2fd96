//! The storage duty of a controller: it syncs what the agreement must remember.

use std::time::Duration;

use crossbeam_channel::Receiver;
use hickorylink_lib::{
    consensus::log::{Recovered, Write},
    jobs::controller::Event,
};
use slog::{Logger, error};

use crate::{
    ring::RingSender,
    storage::{Disk, Opened, Store, StoreError},
};

/// How many writes are synced at once.
const MAX_BATCH: usize = 1024;

/// How long storage waits before it tries a disk again that refuses writes.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// How long storage waits before it tells control again what found no room.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// Runs until the ring is closed.
///
/// A disk that refuses writes is tried again: the controller goes on as a member that can't vote
/// meanwhile, and the others lead.
pub fn run<D: Disk>(
    ring: &Receiver<Write>,
    control: &RingSender<Event>,
    store: Store<D>,
    reopen: impl Fn() -> Result<Opened<D>, StoreError>,
    log: &Logger,
) {
    let mut store = Some(store);
    while let Ok(first) = ring.recv() {
        let mut writes = vec![first];
        writes.extend(ring.try_iter().take(MAX_BATCH - 1));
        let sequence = loop {
            match write(&mut store, &writes, &reopen) {
                Ok(sequence) => break sequence,
                Err(error) => {
                    if store.is_some() {
                        error!(log, "the disk fails; it is tried again"; "error" => %error);
                    }
                    // The store is opened anew: only that tells what has reached the disk.
                    store = None;
                    std::thread::sleep(DISK_RETRY_INTERVAL);
                }
            }
        };
        let mut event = Event::Stored { sequence };
        while let Err(back) = control.push(event) {
            event = back;
            std::thread::sleep(RETRY_INTERVAL);
        }
    }
}

/// Makes a batch durable, after opening the store if a failure has closed it; gives the number of
/// its last write.
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

/// Whether a batch that failed had reached the disk all the same; a batch does so whole or not.
fn contains_batch(recovered: &Recovered, writes: &[Write]) -> bool {
    let last = writes.iter().rev().find_map(|write| write.entries.last());
    last.is_some_and(|last| {
        recovered
            .entries
            .last()
            .is_some_and(|held| held.index == last.index && held.term == last.term)
    })
}
