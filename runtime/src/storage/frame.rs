//! Frames: the encoding of a batch of writes on disk, and the distinction of a torn frame from a
//! corrupted one.
//!
//! A frame consists of a start mark, the length of the payload, a checksum, the payload and an end
//! mark. The checksum and the marks depend on the instance, the segment and the frame's offset, so
//! that no payload that a customer supplies can be mistaken for a frame.

use bytes::Bytes;
use hickorylink_lib::{
    consensus::log::{Entry, HardState, Write},
    data,
    ids::{Index, InstanceId, Term},
};

use crate::storage::segment::Base;

/// The length of a mark, in bytes.
const MARK_LEN: usize = 4;

/// The length of the header, in bytes: start mark, payload length, checksum.
const HEADER_LEN: usize = MARK_LEN + 8;

/// The unit that a disk writes atomically.
const SECTOR_BYTES: usize = 512;

data! {
    /// A batch of writes.
    pub(super) struct Frame {
        /// The state before the segment; only in a segment's first frame.
        pub(super) base: Option<Base>,
        /// The sequence number of the last write.
        pub(super) sequence: u64,
        /// The writes.
        pub(super) writes: Vec<LoggedWrite>,
    }

    /// A write as it is logged. Its snapshot is in a separate file.
    pub(super) struct LoggedWrite {
        pub(super) snapshot: Option<SnapshotId>,
        pub(super) hard: Option<HardState>,
        pub(super) truncate: Option<Index>,
        pub(super) entries: Vec<Entry>,
    }

    /// Identifies a snapshot.
    #[derive(Copy)]
    pub(super) struct SnapshotId {
        pub(super) index: Index,
        pub(super) term: Term,
    }
}

/// Identifies a segment of an instance; part of the checksum of each of its frames.
#[derive(Clone, Copy, Debug)]
pub(super) struct SegmentId {
    pub(super) instance: InstanceId,
    pub(super) segment: u64,
}

/// The result of reading a segment at an offset.
#[derive(Debug)]
pub(super) enum Scanned {
    /// A valid frame, and the offset of the next one.
    Frame(Box<Frame>, usize),
    /// The end of the segment.
    End,
    /// A frame that a crash left incomplete, and no valid frame after it.
    Torn,
    /// A frame that was written completely and is corrupted now, for the given reason.
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
    /// Returns the largest index of the frame's entries; 0 without entries.
    pub(super) fn last(&self) -> Index {
        let entries = self.writes.iter().flat_map(|write| &write.entries);
        entries.map(|entry| entry.index).max().unwrap_or_default()
    }

    /// Encodes the frame for byte `offset` of its segment.
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

/// Returns the start mark. Marks are never zero, because a disk returns zeros for bytes that were
/// never written.
fn start_mark(segment_id: SegmentId, offset: u64) -> [u8; MARK_LEN] {
    (!seed(segment_id, offset) | 1).to_le_bytes()
}

fn end_mark(segment_id: SegmentId, offset: u64) -> [u8; MARK_LEN] {
    (seed(segment_id, offset) | 1).to_le_bytes()
}

/// Reads the frame at byte `at` of a segment.
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
        true => Scanned::Damaged("the last frame was written completely and can't be read"),
        false => Scanned::Torn,
    }
}

/// Returns the payload of the complete and valid frame at `at`, and the offset of the next frame.
fn complete_frame(bytes: &[u8], at: usize, segment_id: SegmentId) -> Option<(&[u8], usize)> {
    let (payload, end) = verified_payload(bytes, at, segment_id)?;
    let next = end + MARK_LEN;
    (bytes.get(end..next)? == end_mark(segment_id, at as u64)).then_some((payload, next))
}

/// Returns the payload of the frame at `at` and its end, if the checksum matches.
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

/// Returns whether the unreadable last frame had been written completely.
///
/// A crash leaves a frame without its end, or with sectors of zeros that never reached the disk. A
/// frame that has its end mark and no sector of zeros was complete.
fn was_complete(bytes: &[u8], at: usize, segment_id: SegmentId) -> bool {
    let rest = &bytes[at..];
    if let Some((_, end)) = verified_payload(bytes, at, segment_id) {
        return bytes.get(end..end + MARK_LEN).is_some_and(|found| found != [0; MARK_LEN]);
    }
    let first = SECTOR_BYTES - at % SECTOR_BYTES;
    let (head, tail) = rest.split_at(first.min(rest.len()));
    let blank = |sector: &[u8]| sector.iter().all(|byte| *byte == 0);
    let holes = blank(head) || tail.chunks(SECTOR_BYTES).any(blank);
    rest.ends_with(&end_mark(segment_id, at as u64)) && !holes
}
