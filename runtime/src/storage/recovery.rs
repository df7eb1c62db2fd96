//! What a folder holds, after a clean stop or a crash.

use std::collections::BTreeSet;

use hickorylink_lib::{
    consensus::log::{Entry, HardState, Recovered},
    ids::Index,
};
use snafu::{OptionExt as _, ResultExt as _, ensure};

use crate::storage::{
    Disk, Identity, Segment, StoreError,
    error::{DamagedSnafu, FileSnafu, FolderSnafu, ForeignSnafu, LockedSnafu, MissingSnafu},
    frame::{Frame, LoggedWrite, Scanned, SegmentId, SnapshotId, scan},
    identity,
    segment::{self, Base, HEADER_LEN, Header},
    snapshot::{self, TEMPORARY, is_snapshot},
};

/// What a crash left half written: it was never promised, and is gone now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Truncation {
    /// The file.
    pub name: String,
    /// Where the cut is, in bytes from the file's start.
    pub offset: u64,
    /// How much was cut, in bytes.
    pub bytes: u64,
}

/// What a folder holds.
pub(super) struct Contents {
    pub(super) segments: Vec<Segment>,
    pub(super) recovered: Recovered,
    pub(super) snapshot: Option<SnapshotId>,
    pub(super) sequence: u64,
    pub(super) truncation: Option<Truncation>,
}

/// A segment that was read.
struct SegmentContents {
    segment: Segment,
    frames: Vec<Frame>,
    truncation: Option<Truncation>,
}

/// Reads the folder, makes an empty one `fresh`'s, and cuts off what a crash left.
pub(super) fn open(
    disk: &mut impl Disk,
    fresh: Identity,
) -> Result<(Identity, Contents), StoreError> {
    ensure!(disk.lock().context(FolderSnafu)?, LockedSnafu);
    let mut names: BTreeSet<String> = disk.list().context(FolderSnafu)?.into_iter().collect();
    for name in names.extract_if(.., |name| name.ends_with(TEMPORARY)) {
        disk.remove(&name).context(FileSnafu { name })?;
    }
    if !names.contains(identity::NAME) {
        initialize(disk, &names, fresh)?;
        names = disk.list().context(FolderSnafu)?.into_iter().collect();
    }
    let identity = identity::load(disk)?;
    let numbers = names.iter().filter_map(|name| segment::number(name)).collect();
    let (contents, truncation) = read_segments(disk, identity, numbers)?;
    let found = replay(disk, contents, truncation)?;
    remove_stale(disk, &names, &found)?;
    Ok((identity, found))
}

/// Makes an empty folder an instance's. The first segment comes before the identity, so that an
/// identity without segments is a folder that lost them.
fn initialize(
    disk: &mut impl Disk,
    names: &BTreeSet<String>,
    fresh: Identity,
) -> Result<(), StoreError> {
    let first = segment::name(1);
    let leftover = names.iter().filter(|name| segment::number(name).is_some() || is_snapshot(name));
    for name in leftover {
        // A crash in the middle of this function leaves a first segment without writes.
        let unused = *name == first && is_unused(&disk.read(name).context(FileSnafu { name })?);
        ensure!(unused, MissingSnafu { name: identity::NAME });
        disk.remove(name).context(FileSnafu { name })?;
        disk.sync_folder().context(FolderSnafu)?;
    }
    let base = Base { oldest: 1, hard: HardState::default(), snapshot: None };
    let frame = Frame { base: Some(base), sequence: 0, writes: Vec::new() };
    segment::create(disk, fresh.instance, 1, &frame)?;
    identity::save(disk, fresh)
}

fn is_unused(bytes: &[u8]) -> bool {
    let Header::Valid(instance, segment) = segment::read_header(bytes) else {
        return segment::read_header(bytes) == Header::Torn;
    };
    match scan(bytes, HEADER_LEN, SegmentId { instance, segment }) {
        Scanned::Frame(frame, next) => frame.writes.is_empty() && next == bytes.len(),
        Scanned::End | Scanned::Torn => true,
        Scanned::Damaged(_) => false,
    }
}

/// Reads all segments that the newest one needs, in order.
fn read_segments(
    disk: &mut impl Disk,
    identity: Identity,
    mut numbers: BTreeSet<u64>,
) -> Result<(Vec<SegmentContents>, Option<Truncation>), StoreError> {
    let last = numbers.pop_last().context(MissingSnafu { name: segment::name(1) })?;
    let mut newest = read_segment(disk, identity, last)?;
    let mut truncation = newest.truncation.take();
    if newest.frames.is_empty() {
        // The segment was being made: the one before it is the newest.
        let name = segment::name(last);
        disk.remove(&name).context(FileSnafu { name: &name })?;
        disk.sync_folder().context(FolderSnafu)?;
        let last = numbers.pop_last().context(MissingSnafu { name })?;
        newest = read_sealed(disk, identity, last)?;
    } else if let Some(truncation) = &truncation {
        disk.truncate(&truncation.name, truncation.offset)
            .context(FileSnafu { name: &truncation.name })?;
        disk.sync(&truncation.name).context(FileSnafu { name: &truncation.name })?;
    }
    let base = newest.frames.first().and_then(|frame| frame.base.as_ref());
    let oldest = base.map_or(newest.segment.number, |base| base.oldest);
    let mut contents = Vec::new();
    for number in oldest..newest.segment.number {
        ensure!(numbers.contains(&number), MissingSnafu { name: segment::name(number) });
        contents.push(read_sealed(disk, identity, number)?);
    }
    contents.push(newest);
    truncation.take_if(|truncation| truncation.bytes == 0);
    Ok((contents, truncation))
}

/// Reads a segment that another one follows.
fn read_sealed(
    disk: &mut impl Disk,
    identity: Identity,
    number: u64,
) -> Result<SegmentContents, StoreError> {
    let content = read_segment(disk, identity, number)?;
    match content.truncation {
        None => Ok(content),
        Some(Truncation { name, offset, .. }) => {
            let reason = "it ends early, but another segment follows";
            DamagedSnafu { name, offset, reason }.fail()
        }
    }
}

fn read_segment(
    disk: &mut impl Disk,
    identity: Identity,
    number: u64,
) -> Result<SegmentContents, StoreError> {
    let name = segment::name(number);
    let bytes = disk.read(&name).context(FileSnafu { name: &name })?;
    let size = bytes.len() as u64;
    let mut content = SegmentContents {
        segment: Segment { number, size, last: Index(0) },
        frames: Vec::new(),
        truncation: None,
    };
    match segment::read_header(&bytes) {
        Header::Torn => {
            content.truncation = Some(Truncation { name, offset: 0, bytes: size });
            return Ok(content);
        }
        Header::Valid(found, _) if found != identity.instance => {
            return ForeignSnafu { name, found, expected: identity.instance }.fail();
        }
        Header::Valid(_, found) if found == number => {}
        Header::Valid(..) | Header::Damaged => {
            let reason = "the header is wrong";
            return DamagedSnafu { name, offset: 0_u64, reason }.fail();
        }
    }
    let segment_id = SegmentId { instance: identity.instance, segment: number };
    read_frames(&bytes, segment_id, name, &mut content)?;
    Ok(content)
}

fn read_frames(
    bytes: &[u8],
    segment_id: SegmentId,
    name: String,
    content: &mut SegmentContents,
) -> Result<(), StoreError> {
    let mut at = HEADER_LEN;
    loop {
        match scan(bytes, at, segment_id) {
            Scanned::Frame(frame, next) => {
                content.segment.last = content.segment.last.max(frame.last());
                content.frames.push(*frame);
                at = next;
            }
            Scanned::End => break,
            Scanned::Torn => {
                let truncation =
                    Truncation { name, offset: at as u64, bytes: (bytes.len() - at) as u64 };
                content.segment.size = truncation.offset;
                content.truncation = Some(truncation);
                break;
            }
            Scanned::Damaged(reason) => {
                return DamagedSnafu { name, offset: at as u64, reason }.fail();
            }
        }
    }
    Ok(())
}

/// Does all writes again, on top of the newest snapshot.
fn replay(
    disk: &mut impl Disk,
    contents: Vec<SegmentContents>,
    truncation: Option<Truncation>,
) -> Result<Contents, StoreError> {
    let mut state = Replay::default();
    let mut segments = Vec::new();
    for content in contents {
        let name = segment::name(content.segment.number);
        segments.push(content.segment);
        for frame in content.frames {
            if state.apply_frame(frame).is_none() {
                let reason = "its entries don't follow each other";
                return DamagedSnafu { name, offset: HEADER_LEN as u64, reason }.fail();
            }
        }
    }
    let snapshot = state.snapshot.map(|id| snapshot::load(disk, id)).transpose()?;
    let covered = state.snapshot.map_or(0, |id| id.index.0);
    state.entries.retain(|entry| entry.index.0 > covered);
    if let Some(first) = state.entries.first() {
        let name = segment::name(segments.first().map_or(0, |segment| segment.number));
        let reason = format!("entry {} can't follow entry {covered}", first.index);
        let offset = HEADER_LEN as u64;
        ensure!(first.index.0 == covered + 1, DamagedSnafu { name, offset, reason });
    }
    let Replay { hard, snapshot: id, entries, sequence } = state;
    let recovered = Recovered { hard, snapshot, entries };
    Ok(Contents { segments, recovered, snapshot: id, sequence, truncation })
}

/// The state that writes add up to.
#[derive(Default)]
struct Replay {
    hard: HardState,
    snapshot: Option<SnapshotId>,
    entries: Vec<Entry>,
    sequence: u64,
}

impl Replay {
    /// Does a frame's writes; `None` if an entry doesn't follow the one before it.
    fn apply_frame(&mut self, frame: Frame) -> Option<()> {
        if let Some(base) = frame.base {
            self.hard = base.hard;
            self.snapshot = base.snapshot;
        }
        self.sequence = frame.sequence;
        frame.writes.into_iter().try_for_each(|write| self.apply_write(write))
    }

    fn apply_write(&mut self, write: LoggedWrite) -> Option<()> {
        if let Some(id) = write.snapshot {
            self.entries.retain(|entry| entry.index > id.index);
            self.snapshot = Some(id);
        }
        self.hard = write.hard.unwrap_or(self.hard);
        if let Some(from) = write.truncate {
            let kept = self.entries.partition_point(|entry| entry.index < from);
            self.entries.truncate(kept);
        }
        for entry in write.entries {
            let last = self.entries.last().map(|last| last.index.0);
            if last.is_some_and(|last| entry.index.0 != last + 1) {
                return None;
            }
            self.entries.push(entry);
        }
        Some(())
    }
}

/// Removes the files that nothing needs: those that a crash kept from being removed.
fn remove_stale(
    disk: &mut impl Disk,
    names: &BTreeSet<String>,
    found: &Contents,
) -> Result<(), StoreError> {
    let oldest = found.segments.first().map_or(0, |segment| segment.number);
    let kept = found.snapshot.map(SnapshotId::name);
    let old_segment = |name: &str| segment::number(name).is_some_and(|number| number < oldest);
    let old_snapshot = |name: &str| is_snapshot(name) && kept.as_deref() != Some(name);
    for name in names.iter().filter(|name| old_segment(name) || old_snapshot(name)) {
        disk.remove(name).context(FileSnafu { name })?;
    }
    disk.sync_folder().context(FolderSnafu)
}
