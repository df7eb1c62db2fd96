//! The file of the burn report's counts.

use hickorylink_lib::{
    burn::{BurnTracker, Snapshot},
    time::{Time, WallTime},
};
use hickorylink_runtime::storage::{
    Disk,
    counts::{CountsFile, NAME},
};

use crate::fake::{Dice, FakeDisk};

/// Counts that were taken at a moment, told apart by it.
fn counts(at: u64) -> Snapshot {
    BurnTracker::new(Time::from_nanos(0)).snapshot(Time::from_nanos(at), WallTime(at))
}

/// Opens the folder after another process has left it.
fn open(disk: &FakeDisk) -> CountsFile<FakeDisk> {
    disk.stop();
    CountsFile::open(disk.clone()).expect("the folder opens")
}

#[test]
fn what_was_saved_last_is_read_and_damage_is_told() {
    struct Case {
        name: &'static str,
        harm: fn(&FakeDisk),
        /// The moment of the counts that are read, or the error.
        want: Result<Option<u64>, &'static str>,
    }
    let damaged = Err("burn/counts.bin is damaged");
    let cases = [
        Case { name: "no harm", harm: |_| {}, want: Ok(Some(2)) },
        Case { name: "no file", harm: |disk| disk.lose(NAME, None), want: Ok(None) },
        Case { name: "an empty file", harm: |disk| disk.lose(NAME, Some(0)), want: damaged },
        Case { name: "half a file", harm: |disk| disk.lose(NAME, Some(13)), want: damaged },
        Case { name: "another mark", harm: |disk| disk.flip(NAME, 0), want: damaged },
        Case { name: "another sum", harm: |disk| disk.flip(NAME, 8 * 8), want: damaged },
        Case { name: "other counts", harm: |disk| disk.flip(NAME, 12 * 8), want: damaged },
        Case {
            name: "a save that broke off",
            harm: |disk| drop(disk.clone().append("counts.bin.tmp", b"half")),
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
        disk.restart(&mut Dice(1));
        (case.harm)(&disk);
        let read = open(&disk).load().map_err(|error| error.to_string());
        let want = case.want.map(|at| at.map(counts)).map_err(str::to_owned);
        assert_eq!(read, want, "{}", case.name);
        open(&disk).save(&counts(3)).expect("the disk works");
        assert_eq!(open(&disk).load().expect("it is read"), Some(counts(3)), "{}", case.name);
    }
}
