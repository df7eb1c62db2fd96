//! Segments: files of frames, numbered in order.

use hickorylink_lib::{consensus::log::HardState, data, ids::InstanceId};
use snafu::ResultExt as _;

use crate::storage::{
    Disk, StoreError,
    error::FileSnafu,
    frame::{Frame, SegmentId, SnapshotId},
};

/// What a segment starts with.
const MAGIC: [u8; 8] = *b"hkWAL-1\n";

/// Bytes before the first frame: mark, instance, number, checksum.
pub(super) const HEADER_LEN: usize = 28;

const PREFIX: &str = "wal-";
const SUFFIX: &str = ".log";

data! {
    /// On what a segment builds: with it, older segments can be removed.
    pub(super) struct Base {
        /// The oldest segment that is still needed.
        pub(super) oldest: u64,
        /// The hard state.
        pub(super) hard: HardState,
        /// The newest snapshot.
        pub(super) snapshot: Option<SnapshotId>,
    }
}

/// What the header of a segment says.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Header {
    /// It was written by this instance under this number.
    Valid(InstanceId, u64),
    /// A crash cut it short.
    Torn,
    /// It was whole once.
    Damaged,
}

/// The name of a segment's file.
pub(super) fn name(number: u64) -> String {
    format!("{PREFIX}{number:016x}{SUFFIX}")
}

/// The number in a segment's file name.
pub(super) fn number(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?, 16).ok()
}

fn header(instance: InstanceId, number: u64) -> [u8; HEADER_LEN] {
    let mut bytes = [0; HEADER_LEN];
    bytes[..8].copy_from_slice(&MAGIC);
    bytes[8..16].copy_from_slice(&instance.0.to_le_bytes());
    bytes[16..24].copy_from_slice(&number.to_le_bytes());
    let sum = crc32c::crc32c(&bytes[..24]);
    bytes[24..].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// Reads a segment's header.
pub(super) fn read_header(bytes: &[u8]) -> Header {
    let Some(found) = bytes.first_chunk::<HEADER_LEN>() else { return Header::Torn };
    let field = |at: usize| {
        let bytes = found[at..at + 8].first_chunk::<8>().copied().unwrap_or_default();
        u64::from_le_bytes(bytes)
    };
    let (instance, number) = (InstanceId(field(8)), field(16));
    if *found == header(instance, number) {
        return Header::Valid(instance, number);
    }
    match found.iter().all(|byte| *byte == 0) {
        true => Header::Torn,
        false => Header::Damaged,
    }
}

/// Makes a segment with its first frame, and gives its size in bytes.
pub(super) fn create(
    disk: &mut impl Disk,
    instance: InstanceId,
    number: u64,
    frame: &Frame,
) -> Result<u64, StoreError> {
    let name = name(number);
    let mut bytes = header(instance, number).to_vec();
    let segment_id = SegmentId { instance, segment: number };
    bytes.extend(frame.encode(segment_id, HEADER_LEN as u64));
    disk.append(&name, &bytes).context(FileSnafu { name: &name })?;
    disk.sync(&name).context(FileSnafu { name: &name })?;
    disk.sync_folder().context(FileSnafu { name })?;
    Ok(bytes.len() as u64)
}
