//! The replicated log on disk: a segmented write-ahead log, and snapshots.
//!
//! All files are in one folder. A batch of writes becomes one frame, which is synced once before
//! the next batch is appended. A crash can therefore tear only the last frame of the last segment;
//! recovery truncates it. Anything else that can't be read is corruption of durable data and gives
//! an error.

use hickorylink_lib::{
    consensus::log::{HardState, Recovered, Write},
    ids::{Index, InstanceId},
};
use snafu::{ResultExt as _, ensure};

use crate::storage::{
    frame::{Frame, LoggedWrite, SegmentId, SnapshotId},
    recovery::Contents,
    segment::Base,
};

pub mod counts;
pub mod disk;
mod error;
mod frame;
mod identity;
mod recovery;
mod segment;
mod snapshot;

use self::error::{FileSnafu, OutOfOrderSnafu, PoisonedSnafu};
pub use self::{
    disk::{Disk, Folder},
    error::StoreError,
    identity::Identity,
    recovery::Truncation,
};

/// The size beyond which the next write starts a new segment. Tests use a smaller one.
pub const MAX_SEGMENT_BYTES: u64 = 16 << 20;

/// The durable state of a replicated log.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    instance: InstanceId,
    max_segment: u64,
    hard: HardState,
    snapshot: Option<SnapshotId>,
    segments: Vec<Segment>,
    /// The index of the next entry.
    next: Index,
    /// The sequence number of the last write.
    sequence: u64,
    /// Whether a write failed, so that the state of the disk is unknown.
    poisoned: bool,
}

/// The metadata of a segment.
#[derive(Clone, Copy, Debug)]
struct Segment {
    number: u64,
    size: u64,
    /// The largest index of its entries.
    last: Index,
}

/// An opened store and its recovered state.
#[derive(Debug)]
pub struct Opened<D> {
    /// The store, ready for writes.
    pub store: Store<D>,
    /// The state recovered from the disk.
    pub recovered: Recovered,
    /// The identity stored in the folder.
    pub identity: Identity,
    /// The torn write that was truncated, if there was one.
    pub truncation: Option<Truncation>,
}

impl<D: Disk> Store<D> {
    /// Recovers the state in the folder and opens it for writes. An empty folder is initialized
    /// with the identity `fresh`.
    ///
    /// A write after more than `max_segment` bytes in a segment starts a new one.
    ///
    /// # Errors
    ///
    /// Another process has locked the folder, the disk fails, or durable data can't be read; the
    /// error names the file and the offset.
    pub fn open(mut disk: D, fresh: Identity, max_segment: u64) -> Result<Opened<D>, StoreError> {
        let (identity, contents) = recovery::open(&mut disk, fresh)?;
        let Contents { segments, recovered, snapshot, sequence, truncation } = contents;
        let last = recovered.entries.last().map(|entry| entry.index);
        let last = last.unwrap_or(covered(snapshot));
        let store = Self {
            disk,
            instance: identity.instance,
            max_segment,
            hard: recovered.hard,
            snapshot,
            segments,
            next: Index(last.0 + 1),
            sequence,
            poisoned: false,
        };
        Ok(Opened { store, recovered, identity, truncation })
    }

    /// Makes the writes durable with one sync of the log and returns the sequence number of the last.
    ///
    /// # Errors
    ///
    /// The disk fails, or the writes don't continue the stored log. After a disk failure it is
    /// unknown which bytes are durable, so all later writes fail until the folder is opened again.
    pub fn write(&mut self, writes: &[Write]) -> Result<u64, StoreError> {
        ensure!(!self.poisoned, PoisonedSnafu);
        let next = next_index(self.next, covered(self.snapshot), writes)?;
        let Some(last) = writes.last() else { return Ok(self.sequence) };
        // Only recovery can determine the state of the disk after a failure from here on.
        self.poisoned = true;
        let mut newest = None;
        for snapshot in writes.iter().filter_map(|write| write.snapshot.as_ref()) {
            newest = Some(snapshot::save(&mut self.disk, snapshot)?);
        }
        let hard = writes.iter().rev().find_map(|write| write.hard).unwrap_or(self.hard);
        let logged = writes.iter().map(LoggedWrite::from).collect();
        let mut frame = Frame { base: None, sequence: last.sequence, writes: logged };
        let full = self.segments.last().is_none_or(|segment| segment.size > self.max_segment);
        let previous = self.snapshot;
        self.snapshot = newest.or(previous);
        if newest.is_some() || full {
            self.start_segment(&mut frame)?;
        } else {
            self.append(&frame)?;
        }
        (self.hard, self.next, self.sequence) = (hard, next, last.sequence);
        if newest.is_some() {
            self.remove_unneeded(previous)?;
        }
        self.poisoned = false;
        Ok(last.sequence)
    }

    fn append(&mut self, frame: &Frame) -> Result<(), StoreError> {
        let segment = self.segments.last_mut().expect("an open store has a segment");
        let name = segment::name(segment.number);
        let segment_id = SegmentId { instance: self.instance, segment: segment.number };
        let bytes = frame.encode(segment_id, segment.size);
        self.disk.append(&name, &bytes).context(FileSnafu { name: &name })?;
        self.disk.sync(&name).context(FileSnafu { name: &name })?;
        segment.size += bytes.len() as u64;
        segment.last = segment.last.max(frame.last());
        Ok(())
    }

    /// Starts a segment with `frame` as its first frame, and sets the frame's base.
    fn start_segment(&mut self, frame: &mut Frame) -> Result<(), StoreError> {
        let number = self.segments.last().map_or(1, |segment| segment.number + 1);
        let covered = covered(self.snapshot);
        let needed = self.segments.iter().find(|segment| segment.last > covered);
        frame.base = Some(Base {
            oldest: needed.map_or(number, |segment| segment.number),
            hard: self.hard,
            snapshot: self.snapshot,
        });
        let size = segment::create(&mut self.disk, self.instance, number, frame)?;
        self.segments.push(Segment { number, size, last: frame.last() });
        Ok(())
    }

    /// Removes the segments and the snapshot that the newest segment no longer needs.
    fn remove_unneeded(&mut self, previous: Option<SnapshotId>) -> Result<(), StoreError> {
        let covered = covered(self.snapshot);
        let newest = self.segments.len() - 1;
        let needed = self.segments.iter().position(|segment| segment.last > covered);
        for segment in self.segments.drain(..needed.unwrap_or(newest).min(newest)) {
            let name = segment::name(segment.number);
            self.disk.remove(&name).context(FileSnafu { name })?;
        }
        if let Some(previous) = previous.filter(|previous| Some(*previous) != self.snapshot) {
            let name = previous.name();
            self.disk.remove(&name).context(FileSnafu { name })?;
        }
        Ok(())
    }
}

/// Returns the last index that a snapshot covers; 0 without a snapshot.
fn covered(snapshot: Option<SnapshotId>) -> Index {
    snapshot.map_or(Index(0), |snapshot| snapshot.index)
}

/// Returns the index of the next entry after the writes.
fn next_index(mut next: Index, mut covered: Index, writes: &[Write]) -> Result<Index, StoreError> {
    for write in writes {
        if let Some(snapshot) = &write.snapshot {
            covered = covered.max(snapshot.index);
            next = next.max(Index(covered.0 + 1));
        }
        if let Some(from) = write.truncate {
            let expected = Index(covered.0 + 1);
            ensure!(from >= expected, OutOfOrderSnafu { found: from, expected });
            next = next.min(from);
        }
        for entry in &write.entries {
            ensure!(entry.index == next, OutOfOrderSnafu { found: entry.index, expected: next });
            next = Index(next.0 + 1);
        }
    }
    Ok(next)
}
