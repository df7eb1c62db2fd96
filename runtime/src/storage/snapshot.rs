//! Snapshot files. Each is written to a temporary file, synced and then renamed.

use bytes::Bytes;
use hickorylink_lib::{
    consensus::log::{Members, Snapshot},
    data,
};
use snafu::ResultExt as _;

use crate::storage::{
    Disk, StoreError,
    error::{DamagedSnafu, FileSnafu},
    frame::SnapshotId,
};

/// The magic bytes at the start of a snapshot file.
const MAGIC: [u8; 8] = *b"hkSNAP1\n";

/// The length of the header, in bytes: magic bytes, length of the metadata, checksum of all that
/// follows.
const HEADER_LEN: usize = 16;

/// The suffix of temporary files.
pub(super) const TEMPORARY: &str = ".tmp";

const PREFIX: &str = "snapshot-";
const SUFFIX: &str = ".bin";

data! {
    /// The metadata before the state.
    struct Meta {
        id: SnapshotId,
        members: Members,
        /// The length of the state, in bytes.
        size: u64,
    }
}

impl SnapshotId {
    /// Returns the file name of the snapshot.
    pub(super) fn name(self) -> String {
        format!("{PREFIX}{:016x}-{:016x}{SUFFIX}", self.index.0, self.term.0)
    }
}

/// Returns whether this is the file name of a snapshot.
pub(super) fn is_snapshot(name: &str) -> bool {
    name.starts_with(PREFIX) && name.ends_with(SUFFIX)
}

/// Writes a snapshot file. Recovery uses it only once a frame refers to it.
pub(super) fn save(disk: &mut impl Disk, snapshot: &Snapshot) -> Result<SnapshotId, StoreError> {
    let id = SnapshotId { index: snapshot.index, term: snapshot.term };
    let members = snapshot.members.clone();
    let meta = Meta { id, members, size: snapshot.state.len() as u64 };
    let meta = postcard::to_allocvec(&meta).expect("metadata can be encoded into memory");
    let sum = crc32c::crc32c_append(crc32c::crc32c(&meta), &snapshot.state);
    let mut bytes = MAGIC.to_vec();
    bytes.extend((meta.len() as u32).to_le_bytes());
    bytes.extend(sum.to_le_bytes());
    bytes.extend(meta);
    replace(disk, &id.name(), &[&bytes, &snapshot.state])?;
    Ok(id)
}

/// Writes a file or replaces it, atomically and durably.
pub(super) fn replace(disk: &mut impl Disk, name: &str, parts: &[&[u8]]) -> Result<(), StoreError> {
    let temporary = format!("{name}{TEMPORARY}");
    let written = parts.iter().try_for_each(|part| disk.append(&temporary, part));
    written.context(FileSnafu { name: &temporary })?;
    disk.sync(&temporary).context(FileSnafu { name: &temporary })?;
    disk.rename(&temporary, name).context(FileSnafu { name })?;
    disk.sync_folder().context(FileSnafu { name })
}

/// Reads the snapshot that a frame refers to.
pub(super) fn load(disk: &mut impl Disk, id: SnapshotId) -> Result<Snapshot, StoreError> {
    let name = id.name();
    let bytes = Bytes::from(disk.read(&name).context(FileSnafu { name: &name })?);
    match decode(&bytes, id) {
        Some(snapshot) => Ok(snapshot),
        None => {
            let reason = "the checksum doesn't match";
            DamagedSnafu { name, offset: 0_u64, reason }.fail()
        }
    }
}

fn decode(bytes: &Bytes, id: SnapshotId) -> Option<Snapshot> {
    let (magic, rest) = bytes.split_first_chunk::<8>()?;
    let (len, rest) = rest.split_first_chunk::<4>()?;
    let (sum, body) = rest.split_first_chunk::<4>()?;
    let len = u32::from_le_bytes(*len) as usize;
    if *magic != MAGIC || crc32c::crc32c(body) != u32::from_le_bytes(*sum) {
        return None;
    }
    let meta: Meta = postcard::from_bytes(body.get(..len)?).ok()?;
    let state = bytes.slice(HEADER_LEN + len..);
    let valid = meta.id == id && meta.size == state.len() as u64;
    valid.then_some(Snapshot { index: id.index, term: id.term, members: meta.members, state })
}
