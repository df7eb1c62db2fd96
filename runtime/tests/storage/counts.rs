//! The file of the burn report's counts.

use hickorylink_lib::{
    burn::{BurnTracker, Snapshot},
    time::{Time, WallTime},
};
use hickorylink_runtime::storage::{
    Disk,
    counts::{CountsFile, NAME},
};

use crate::fake::{FakeDisk, Rng};

/// Creates counts that are identified by the time at which they were taken.
fn counts(at: u64) -> Snapshot {
    BurnTracker::new(Time::from_nanos(0)).snapshot(Time::from_nanos(at), WallTime(at))
}

/// Opens the folder after the process that had locked it has exited.
fn open(disk: &FakeDisk) -> CountsFile<FakeDisk> {
    disk.exit_process();
    CountsFile::open(disk.clone()).expect("the folder opens")
}

#[test]
fn the_last_saved_counts_are_loaded_and_damage_is_reported() {
    struct Case {
        name: &'static str,
        corrupt: fn(&FakeDisk),
        /// The time of the loaded counts, or the error.
        want: Result<Option<u64>, &'static str>,
    }
    let damaged = Err("burn/counts.bin is damaged");
    let cases = [
        Case { name: "no corruption", corrupt: |_| {}, want: Ok(Some(2)) },
        Case {
            name: "no file",
            corrupt: |disk| disk.truncate_or_remove(NAME, None),
            want: Ok(None),
        },
        Case {
            name: "an empty file",
            corrupt: |disk| disk.truncate_or_remove(NAME, Some(0)),
            want: damaged,
        },
        Case {
            name: "a truncated file",
            corrupt: |disk| disk.truncate_or_remove(NAME, Some(13)),
            want: damaged,
        },
        Case { name: "wrong magic bytes", corrupt: |disk| disk.flip_bit(NAME, 0), want: damaged },
        Case { name: "wrong checksum", corrupt: |disk| disk.flip_bit(NAME, 8 * 8), want: damaged },
        Case {
            name: "corrupted counts",
            corrupt: |disk| disk.flip_bit(NAME, 12 * 8),
            want: damaged,
        },
        Case {
            name: "an interrupted save",
            corrupt: |disk| drop(disk.clone().append("counts.bin.tmp", b"half")),
            want: Ok(Some(2)),
        },
    ];
    for case in cases {
        let disk = FakeDisk::default();
        let mut file = open(&disk);
        for at in [1, 2] {
            file.save(&counts(at)).expect("the disk works");
        }
        drop(file);
        disk.reboot(&mut Rng(1));
        (case.corrupt)(&disk);
        let read = open(&disk).load().map_err(|error| error.to_string());
        let want = case.want.map(|at| at.map(counts)).map_err(str::to_owned);
        assert_eq!(read, want, "{}", case.name);
        open(&disk).save(&counts(3)).expect("the disk works");
        assert_eq!(
            open(&disk).load().expect("the counts are loaded"),
            Some(counts(3)),
            "{}",
            case.name
        );
    }
}
