//! The storage duty on a disk that refuses writes for a while.

use std::cell::Cell;

use hickorylink_lib::{
    consensus::log::Write,
    ids::{Index, InstanceId},
    jobs::controller::Event,
    time::WallTime,
};
use hickorylink_runtime::{
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
fn what_a_disk_refused_is_written_once_it_works_again() {
    /// What goes wrong after the store was opened, and how often it is opened again in vain.
    struct Case {
        name: &'static str,
        fault: fn(&FakeDisk) -> Option<Fault>,
        attempts: u32,
    }
    let cases = [
        Case { name: "nothing", fault: |_| None, attempts: 0 },
        Case {
            name: "a sync fails once",
            fault: |disk| Some(Fault::SyncAt(disk.operations() + 2)),
            attempts: 0,
        },
        Case {
            name: "the disk is full for a while",
            fault: |disk| {
                let names = disk.names();
                Some(Fault::Full(names.iter().map(|name| disk.len(name)).sum::<usize>() + 50))
            },
            attempts: 2,
        },
    ];
    for case in cases {
        let disk = FakeDisk::default();
        let store = open(&disk).expect("an empty folder opens").store;
        disk.set_fault((case.fault)(&disk));
        let (writes, ring) = thread_ring("storage", 16);
        let (control, told) = thread_ring::<Event>("control", 16);
        for at in 1..=3 {
            let entries = vec![entry(at, 1, 100)];
            let write = Write { sequence: at, entries, ..Write::default() };
            writes.push(write).expect("there is room");
        }
        drop(writes);
        let left = Cell::new(case.attempts);
        let reopen = || {
            disk.stop();
            match left.get() {
                0 => disk.set_fault(None),
                more => left.set(more - 1),
            }
            open(&disk)
        };
        persist::run(&ring, &control, store, reopen, &Logger::root(Discard, o!()));
        let stored: Vec<_> = told
            .try_iter()
            .map(|event| match event {
                Event::Stored { sequence } => sequence,
                other => panic!("{other:?}"),
            })
            .collect();
        assert_eq!(stored.last(), Some(&3), "{}: all is stored", case.name);
        disk.stop();
        let held = open(&disk).expect("it opens").recovered.entries;
        let held: Vec<_> = held.iter().map(|entry| entry.index).collect();
        assert_eq!(held, [Index(1), Index(2), Index(3)], "{}: each entry once", case.name);
    }
}
