//! The storage duty on a disk that fails temporarily.

use std::cell::Cell;

use hickorylink_lib::{
    consensus::log::Write,
    ids::{Index, InstanceId},
    jobs::controller::Event,
    time::WallTime,
};
use hickorylink_runtime::{
    clock::Clock,
    persist,
    ring::thread_ring,
    storage::{Identity, MAX_SEGMENT_BYTES, Opened, Store, StoreError},
};
use slog::{Discard, Logger, o};

use crate::{
    fake::{FakeDisk, Fault},
    model::entry,
};

const IDENTITY: Identity = Identity { instance: InstanceId(9), created: WallTime(9) };

fn open(disk: &FakeDisk) -> Result<Opened<FakeDisk>, StoreError> {
    Store::open(disk.clone(), IDENTITY, MAX_SEGMENT_BYTES)
}

#[test]
fn failed_writes_are_retried_until_the_disk_recovers() {
    struct Case {
        name: &'static str,
        /// The fault after the store was opened.
        fault: fn(&FakeDisk) -> Option<Fault>,
        /// How many times the store is reopened before the fault is removed.
        failed_reopens: u32,
    }
    let cases = [
        Case { name: "no fault", fault: |_| None, failed_reopens: 0 },
        Case {
            name: "a sync fails once",
            fault: |disk| Some(Fault::SyncFailureAt(disk.operations() + 2)),
            failed_reopens: 0,
        },
        Case {
            name: "the disk is temporarily full",
            fault: |disk| {
                let names = disk.names();
                Some(Fault::FullAfter(names.iter().map(|name| disk.len(name)).sum::<usize>() + 50))
            },
            failed_reopens: 2,
        },
    ];
    for case in cases {
        let disk = FakeDisk::default();
        let store = open(&disk).expect("an empty folder opens").store;
        disk.set_fault((case.fault)(&disk));
        let (writes, ring) = thread_ring("storage", 16);
        let (control, events) = thread_ring::<Event>("control", 16);
        for at in 1..=3 {
            let entries = vec![entry(at, 1, 100)];
            let write = Write { sequence: at, entries, ..Write::default() };
            writes.push(write).expect("there is room");
        }
        drop(writes);
        let remaining = Cell::new(case.failed_reopens);
        let reopen = || {
            disk.exit_process();
            match remaining.get() {
                0 => disk.set_fault(None),
                attempts => remaining.set(attempts - 1),
            }
            open(&disk)
        };
        persist::run(&ring, &control, store, reopen, Clock::start(), &Logger::root(Discard, o!()));
        let stored: Vec<_> = events
            .try_iter()
            .map(|event| match event {
                Event::Stored { sequence } => sequence,
                other => panic!("{other:?}"),
            })
            .collect();
        assert_eq!(stored.last(), Some(&3), "{}: all writes are confirmed", case.name);
        disk.exit_process();
        let entries = open(&disk).expect("it opens").recovered.entries;
        let entries: Vec<_> = entries.iter().map(|entry| entry.index).collect();
        assert_eq!(entries, [Index(1), Index(2), Index(3)], "{}: each entry once", case.name);
    }
}
