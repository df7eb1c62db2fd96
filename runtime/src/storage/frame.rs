//! Frames: what a batch of writes is on disk, and how a torn one is told from a damaged one.
//!
//! A frame is a mark, the payload's length, a checksum, the payload and an end mark. Checksum and
//! marks take in the instance, the segment and the frame's place, so that nothing that a customer
//! can put into a payload looks like a frame.

use bytes::Bytes;
use hickorylink_lib::{
    consensus::log::{Entry, HardState, Write},
    data,
    ids::{Index, InstanceId, Term},
};

use crate::storage::segment::Base;

/// Bytes of a mark.
const MARK_LEN: usize = 4;

/// Bytes before the payload: mark, length, checksum.
const HEADER_LEN: usize = MARK_LEN + 8;

/// What a disk writes whole or not at all, in bytes.
const SECTOR: usize = 512;

data! {
    /// A batch of writes.
    pub(super) struct Frame {
        /// In the first frame of a segment: on what the segment builds.
        pub(super) base: Option<Base>,
        /// The number of the last write.
        pub(super) sequence: u64,
        /// The writes.
        pub(super) writes: Vec<LoggedWrite>,
    }

    /// A write as it is logged: its snapshot is in a file of its own.
    pub(super) struct LoggedWrite {
        pub(super) snapshot: Option<SnapshotId>,
        pub(super) hard: Option<HardState>,
        pub(super) truncate: Option<Index>,
        pub(super) entries: Vec<Entry>,
    }

    /// Which snapshot.
    #[derive(Copy)]
    pub(super) struct SnapshotId {
        pub(super) index: Index,
        pub(super) term: Term,
    }
}

/// Whose frame it is, and in which segment.
#[derive(Clone, Copy, Debug)]
pub(super) struct SegmentId {
    pub(super) instance: InstanceId,
    pub(super) segment: u64,
}

/// What stands at a place of a segment.
#[derive(Debug)]
pub(super) enum Scanned {
    /// A whole frame, and where the next one starts.
    Frame(Box<Frame>, usize),
    /// The end of the segment.
    End,
    /// A frame that a crash cut short, and nothing after it.
    Torn,
    /// Something that was whole once.
    Damaged(&'static str),
}

impl From<&Write> for LoggedWrite {
    fn from(write: &Write) -> Self {
        let snapshot = write.snapshot.as_ref();
        Self {
            snapshot: snapshot.map(|snap| SnapshotId { index: snap.index, term: snap.term }),
            hard: write.hard,
            truncate: write.truncate,
            entries: write.entries.clone(),
        }
    }
}

impl Frame {
    /// The largest position of an entry in the frame; 0 without entries.
    pub(super) fn last(&self) -> Index {
        let entries = self.writes.iter().flat_map(|write| &write.entries);
        entries.map(|entry| entry.index).max().unwrap_or_default()
    }

    /// The frame as it is written at byte `offset` of its segment.
    pub(super) fn encode(&self, segment_id: SegmentId, offset: u64) -> Bytes {
        let mut bytes = vec![0; HEADER_LEN];
        bytes = postcard::to_extend(self, bytes).expect("a frame can be encoded into memory");
        let payload = &bytes[HEADER_LEN..];
        let len = u32::try_from(payload.len()).expect("a batch is smaller than 4 GiB");
        let sum = checksum(segment_id, offset, payload);
        bytes[..4].copy_from_slice(&start_mark(segment_id, offset));
        bytes[4..8].copy_from_slice(&len.to_le_bytes());
        bytes[8..HEADER_LEN].copy_from_slice(&sum.to_le_bytes());
        bytes.extend(end_mark(segment_id, offset));
        bytes.into()
    }
}

fn seed(segment_id: SegmentId, offset: u64) -> u32 {
    let sum = crc32c::crc32c(&segment_id.instance.0.to_le_bytes());
    let sum = crc32c::crc32c_append(sum, &segment_id.segment.to_le_bytes());
    crc32c::crc32c_append(sum, &offset.to_le_bytes())
}

fn checksum(segment_id: SegmentId, offset: u64, payload: &[u8]) -> u32 {
    let sum =
        crc32c::crc32c_append(seed(segment_id, offset), &(payload.len() as u64).to_le_bytes());
    crc32c::crc32c_append(sum, payload)
}

/// A mark is never zero: that is what a disk gives for bytes that it never wrote.
fn start_mark(segment_id: SegmentId, offset: u64) -> [u8; MARK_LEN] {
    (!seed(segment_id, offset) | 1).to_le_bytes()
}

fn end_mark(segment_id: SegmentId, offset: u64) -> [u8; MARK_LEN] {
    (seed(segment_id, offset) | 1).to_le_bytes()
}

/// Says what stands at byte `at` of a segment.
pub(super) fn scan(bytes: &[u8], at: usize, segment_id: SegmentId) -> Scanned {
    if at == bytes.len() {
        return Scanned::End;
    }
    if let Some((payload, next)) = complete_frame(bytes, at, segment_id) {
        return match postcard::from_bytes(payload) {
            Ok(frame) => Scanned::Frame(Box::new(frame), next),
            Err(_) => Scanned::Damaged("a frame can't be decoded"),
        };
    }
    let later = at + 1..bytes.len();
    if later.into_iter().any(|at| complete_frame(bytes, at, segment_id).is_some()) {
        return Scanned::Damaged("a frame can't be read, but later ones can");
    }
    match was_complete(bytes, at, segment_id) {
        true => Scanned::Damaged("the last frame was written whole and can't be read"),
        false => Scanned::Torn,
    }
}

/// The payload of the whole frame at `at`, and where the next frame starts.
fn complete_frame(bytes: &[u8], at: usize, segment_id: SegmentId) -> Option<(&[u8], usize)> {
    let (payload, end) = verified_payload(bytes, at, segment_id)?;
    let next = end + MARK_LEN;
    (bytes.get(end..next)? == end_mark(segment_id, at as u64)).then_some((payload, next))
}

/// The payload at `at` if its checksum is right, and where it ends.
fn verified_payload(bytes: &[u8], at: usize, segment_id: SegmentId) -> Option<(&[u8], usize)> {
    let header = bytes.get(at..at + HEADER_LEN)?;
    let (mark, rest) = header.split_first_chunk::<4>()?;
    if *mark != start_mark(segment_id, at as u64) {
        return None;
    }
    let (len, rest) = rest.split_first_chunk::<4>()?;
    let (sum, _) = rest.split_first_chunk::<4>()?;
    let end = (at + HEADER_LEN).checked_add(u32::from_le_bytes(*len) as usize)?;
    let payload = bytes.get(at + HEADER_LEN..end)?;
    let valid = checksum(segment_id, at as u64, payload) == u32::from_le_bytes(*sum);
    valid.then_some((payload, end))
}

/// Whether the last frame, which can't be read, was once written to its end.
///
/// A crash leaves a frame short, or without sectors that never reached the disk. A frame that
/// has its end and no sector of zeros was whole.
fn was_complete(bytes: &[u8], at: usize, segment_id: SegmentId) -> bool {
    let rest = &bytes[at..];
    if let Some((_, end)) = verified_payload(bytes, at, segment_id) {
        return bytes.get(end..end + MARK_LEN).is_some_and(|found| found != [0; MARK_LEN]);
    }
    let first = SECTOR - at % SECTOR;
    let (head, tail) = rest.split_at(first.min(rest.len()));
    let blank = |sector: &[u8]| sector.iter().all(|byte| *byte == 0);
    let holes = blank(head) || tail.chunks(SECTOR).any(blank);
    rest.ends_with(&end_mark(segment_id, at as u64)) && !holes
}
