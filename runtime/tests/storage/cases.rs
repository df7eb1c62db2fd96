//! Single faults and what the store says about them.

use hickorylink_lib::{
    consensus::log::Write,
    ids::{Index, InstanceId},
    time::WallTime,
};
use hickorylink_runtime::storage::{
    Folder, Identity, MAX_SEGMENT_BYTES, Opened, Store, StoreError,
};

use crate::{
    fake::FakeDisk,
    model::{Model, batch, entry, snapshot},
};

const FIRST: &str = "wal-0000000000000001.log";
const SECOND: &str = "wal-0000000000000002.log";

fn identity(instance: u64) -> Identity {
    Identity { instance: InstanceId(instance), created: WallTime(instance) }
}

fn open(disk: &FakeDisk) -> Result<Opened<FakeDisk>, StoreError> {
    Store::open(disk.clone(), identity(9), MAX_SEGMENT_BYTES)
}

fn append(from: u64, sequence: u64) -> Write {
    Write { sequence, entries: vec![entry(from, 1, 100)], ..Write::default() }
}

/// A stopped disk with three entries, each synced for itself.
fn three_entries() -> FakeDisk {
    let disk = FakeDisk::default();
    let mut opened = open(&disk).expect("an empty folder opens");
    for at in 1..=3 {
        opened.store.write(&[append(at, at)]).expect("the disk works");
    }
    disk.stop();
    disk
}

#[test]
fn damage_is_named_and_a_torn_tail_is_cut() {
    struct Case {
        name: &'static str,
        harm: fn(&FakeDisk),
        /// The last entry and how much was cut, or the error.
        want: Result<(u64, u64), &'static str>,
    }
    let cases = [
        Case { name: "no harm", harm: |_| {}, want: Ok((3, 0)) },
        Case {
            name: "the last frame is short",
            harm: |disk| disk.lose(FIRST, Some(disk.len(FIRST) - 1)),
            want: Ok((2, 126)),
        },
        Case {
            name: "zeros follow the last frame",
            harm: |disk| disk.add(FIRST, &[0; 700]),
            want: Ok((3, 700)),
        },
        Case {
            name: "a flipped bit in the middle",
            harm: |disk| disk.flip(FIRST, 8 * 200),
            want: Err("wal-0000000000000001.log: damaged at byte 178: \
                a frame can't be read, but later ones can"),
        },
        Case {
            name: "a flipped bit in the last frame",
            harm: |disk| disk.flip(FIRST, 8 * (disk.len(FIRST) - 40)),
            want: Err("wal-0000000000000001.log: damaged at byte 305: \
                the last frame was written whole and can't be read"),
        },
        Case {
            name: "a flipped bit in the header",
            harm: |disk| disk.flip(FIRST, 3),
            want: Err("wal-0000000000000001.log: damaged at byte 0: the header is wrong"),
        },
        Case {
            name: "the segment is gone",
            harm: |disk| disk.lose(FIRST, None),
            want: Err("wal-0000000000000001.log is missing"),
        },
        Case {
            name: "the identity is gone",
            harm: |disk| disk.lose("identity", None),
            want: Err("identity is missing"),
        },
        Case {
            name: "a flipped bit in the identity",
            harm: |disk| disk.flip("identity", 3),
            want: Err("identity: damaged at byte 0: the checksum is wrong"),
        },
    ];
    for case in cases {
        let disk = three_entries();
        (case.harm)(&disk);
        match (open(&disk), case.want) {
            (Ok(opened), Ok((last, bytes))) => {
                let entries = &opened.recovered.entries;
                let found = entries.last().map(|entry| entry.index);
                assert_eq!(found, Some(Index(last)), "{}", case.name);
                assert_eq!(opened.truncation.map_or(0, |cut| cut.bytes), bytes, "{}", case.name);
            }
            (Err(error), Err(want)) => {
                let error = error.to_string();
                assert!(error.starts_with(want), "{}: {error}", case.name);
            }
            (found, want) => panic!("{}: {found:?} instead of {want:?}", case.name),
        }
    }
}

#[test]
fn a_batch_is_synced_once() {
    let disk = FakeDisk::default();
    let mut opened = open(&disk).expect("an empty folder opens");
    let before = disk.syncs();
    let writes: Vec<_> = (1..=100).map(|at| append(at, at)).collect();
    assert_eq!(opened.store.write(&writes).expect("the disk works"), 100);
    assert_eq!(disk.syncs() - before, 1);
}

#[test]
fn a_snapshot_makes_old_files_go() {
    let disk = three_entries();
    let mut opened = open(&disk).expect("the folder opens");
    for (index, sequence) in [(2, 4), (3, 5)] {
        let snapshot = Some(snapshot(index, 1, 50));
        let write = Write { sequence, snapshot, ..Write::default() };
        opened.store.write(&[write]).expect("the disk works");
    }
    let names = disk.names();
    let snapshot = "snapshot-0000000000000003-0000000000000001.bin";
    assert_eq!(names, ["identity", snapshot, "wal-0000000000000003.log"]);
    disk.stop();
    let opened = open(&disk).expect("the folder opens");
    assert_eq!(opened.recovered.entries, []);
    assert_eq!(opened.recovered.snapshot.map(|snapshot| snapshot.index), Some(Index(3)));
    disk.stop();
    disk.flip(snapshot, 400);
    let error = open(&disk).expect_err("the snapshot is damaged").to_string();
    assert!(error.starts_with(&format!("{snapshot}: damaged at byte 0")), "{error}");
}

#[test]
fn a_segment_in_the_middle_must_be_whole() {
    let disk = FakeDisk::default();
    let mut opened = Store::open(disk.clone(), identity(9), 1).expect("an empty folder opens");
    for at in 1..=3 {
        opened.store.write(&[append(at, at)]).expect("the disk works");
    }
    disk.stop();
    disk.lose(SECOND, Some(disk.len(SECOND) - 1));
    let error = open(&disk).expect_err("a frame is lost").to_string();
    assert!(error.starts_with(&format!("{SECOND}: damaged at byte 28: it ends early")), "{error}");
    disk.stop();
    disk.lose(SECOND, None);
    let error = open(&disk).expect_err("a segment is lost").to_string();
    assert!(error.starts_with(&format!("{SECOND} is missing")), "{error}");
}

#[test]
fn entries_must_follow_each_other() {
    struct Case {
        name: &'static str,
        write: Write,
        want: &'static str,
    }
    let at = |sequence| Write { sequence, ..Write::default() };
    let cases = [
        Case {
            name: "a gap",
            write: append(5, 5),
            want: "entry 5 was to be stored where entry 4 must follow",
        },
        Case {
            name: "an entry twice",
            write: append(3, 5),
            want: "entry 3 was to be stored where entry 4 must follow",
        },
        Case {
            name: "a cut into a snapshot",
            write: Write { truncate: Some(Index(2)), ..at(5) },
            want: "entry 2 was to be stored where entry 3 must follow",
        },
    ];
    let disk = three_entries();
    let mut opened = open(&disk).expect("the folder opens");
    let write = Write { snapshot: Some(snapshot(2, 1, 50)), ..at(4) };
    opened.store.write(&[write]).expect("the disk works");
    for case in cases {
        let error = opened.store.write(&[case.write]).expect_err(case.name).to_string();
        assert_eq!(error, case.want, "{}", case.name);
    }
    opened.store.write(&[append(4, 5)]).expect("a write that was refused harms nothing");
    let mut empty = open(&FakeDisk::default()).expect("an empty folder opens");
    let error = empty.store.write(&[append(2, 1)]).expect_err("the log starts at 1").to_string();
    assert_eq!(error, "entry 2 was to be stored where entry 1 must follow");
}

#[test]
fn a_folder_has_one_process_and_one_identity() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let path = folder.path().join("data");
    let model = Model::default();
    let (writes, after) = batch(&model, &[(0, 9), (4, 0), (6, 9), (1, 9)]);
    let mut first =
        Store::open(Folder::new(&path), identity(1), MAX_SEGMENT_BYTES).expect("it opens");
    assert_eq!(first.identity, identity(1));
    first.store.write(&writes).expect("the disk works");
    let second = Store::open(Folder::new(&path), identity(2), MAX_SEGMENT_BYTES);
    assert!(matches!(second, Err(StoreError::Locked)), "{second:?}");
    drop(first);
    let again = Store::open(Folder::new(&path), identity(2), MAX_SEGMENT_BYTES).expect("it opens");
    assert_eq!(again.identity, identity(1), "the identity stays");
    assert!(after.is(&again.recovered), "{:?} isn't {after:?}", again.recovered);
    drop(again);
    std::fs::remove_dir_all(&path).expect("the folder can be emptied");
    let emptied =
        Store::open(Folder::new(&path), identity(3), MAX_SEGMENT_BYTES).expect("it opens");
    assert_eq!(emptied.identity, identity(3), "an emptied folder is another instance's");
}

#[test]
fn files_of_another_instance_are_refused() {
    let (ours, theirs) = (tempfile::tempdir(), tempfile::tempdir());
    let (ours, theirs) = (ours.expect("a folder"), theirs.expect("a folder"));
    for (folder, instance) in [(&ours, 1), (&theirs, 2)] {
        let disk = Folder::new(folder.path());
        drop(Store::open(disk, identity(instance), MAX_SEGMENT_BYTES).expect("it opens"));
    }
    std::fs::copy(theirs.path().join(FIRST), ours.path().join(FIRST)).expect("it can be copied");
    let error = Store::open(Folder::new(ours.path()), identity(3), MAX_SEGMENT_BYTES)
        .expect_err("the segment is another instance's")
        .to_string();
    assert_eq!(error, format!("{FIRST} belongs to instance 2, the folder to instance 1"));
}
