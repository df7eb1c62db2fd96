//! Snapshot files: written beside, synced, then given their names.

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

/// What a snapshot file starts with.
const MAGIC: [u8; 8] = *b"hkSNAP1\n";

/// Bytes before the encoded part: mark, its length, checksum of all that follows.
const HEADER_LEN: usize = 16;

/// The ending of files that are being written.
pub(super) const TEMPORARY: &str = ".tmp";

const PREFIX: &str = "snapshot-";
const SUFFIX: &str = ".bin";

data! {
    /// What is encoded before the state.
    struct Meta {
        id: SnapshotId,
        members: Members,
        size: u64,
    }
}

impl SnapshotId {
    /// The name of the snapshot's file.
    pub(super) fn name(self) -> String {
        format!("{PREFIX}{:016x}-{:016x}{SUFFIX}", self.index.0, self.term.0)
    }
}

/// Whether this is the name of a snapshot's file.
pub(super) fn is_snapshot(name: &str) -> bool {
    name.starts_with(PREFIX) && name.ends_with(SUFFIX)
}

/// Writes a snapshot; it counts once a frame names it.
pub(super) fn save(disk: &mut impl Disk, snapshot: &Snapshot) -> Result<SnapshotId, StoreError> {
    let id = SnapshotId { index: snapshot.index, term: snapshot.term };
    let members = snapshot.members.clone();
    let meta = Meta { id, members, size: snapshot.state.len() as u64 };
    let meta = postcard::to_allocvec(&meta).expect("it can be encoded into memory");
    let sum = crc32c::crc32c_append(crc32c::crc32c(&meta), &snapshot.state);
    let mut bytes = MAGIC.to_vec();
    bytes.extend((meta.len() as u32).to_le_bytes());
    bytes.extend(sum.to_le_bytes());
    bytes.extend(meta);
    replace(disk, &id.name(), &[&bytes, &snapshot.state])?;
    Ok(id)
}

/// Writes a file beside the one of this name and puts it in its place, durably.
pub(super) fn replace(disk: &mut impl Disk, name: &str, parts: &[&[u8]]) -> Result<(), StoreError> {
    let temporary = format!("{name}{TEMPORARY}");
    let written = parts.iter().try_for_each(|part| disk.append(&temporary, part));
    written.context(FileSnafu { name: &temporary })?;
    disk.sync(&temporary).context(FileSnafu { name: &temporary })?;
    disk.rename(&temporary, name).context(FileSnafu { name })?;
    disk.sync_folder().context(FileSnafu { name })
}

/// Reads a snapshot that a frame names.
pub(super) fn load(disk: &mut impl Disk, id: SnapshotId) -> Result<Snapshot, StoreError> {
    let name = id.name();
    let bytes = Bytes::from(disk.read(&name).context(FileSnafu { name: &name })?);
    match decode(&bytes, id) {
        Some(snapshot) => Ok(snapshot),
        None => {
            let reason = "the checksum is wrong";
            DamagedSnafu { name, offset: 0_u64, reason }.fail()
        }
    }
}

fn decode(bytes: &Bytes, id: SnapshotId) -> Option<Snapshot> {
    let (mark, rest) = bytes.split_first_chunk::<8>()?;
    let (len, rest) = rest.split_first_chunk::<4>()?;
    let (sum, body) = rest.split_first_chunk::<4>()?;
    let len = u32::from_le_bytes(*len) as usize;
    if *mark != MAGIC || crc32c::crc32c(body) != u32::from_le_bytes(*sum) {
        return None;
    }
    let meta: Meta = postcard::from_bytes(body.get(..len)?).ok()?;
    let state = bytes.slice(HEADER_LEN + len..);
    let valid = meta.id == id && meta.size == state.len() as u64;
    valid.then_some(Snapshot { index: id.index, term: id.term, members: meta.members, state })
}
