//! The identity in the folder: an instance whose folder was emptied is another instance.

use hickorylink_lib::{data, ids::InstanceId, time::WallTime};
use snafu::ResultExt as _;

use crate::storage::{
    Disk, StoreError,
    error::{DamagedSnafu, FileSnafu},
    snapshot::replace,
};

/// The name of the identity's file.
pub(super) const NAME: &str = "identity";

/// Bytes of the checksum at the file's end.
const SUM_LEN: usize = 4;

data! {
    /// Who the instance with this folder is.
    #[derive(Copy)]
    pub struct Identity {
        /// Its number, drawn at random when the folder was empty.
        pub instance: InstanceId,
        /// When that was.
        pub created: WallTime,
    }
}

/// Writes the identity.
pub(super) fn save(disk: &mut impl Disk, identity: Identity) -> Result<(), StoreError> {
    let bytes = postcard::to_allocvec(&identity).expect("it can be encoded into memory");
    let sum = crc32c::crc32c(&bytes).to_le_bytes();
    replace(disk, NAME, &[&bytes, &sum])
}

/// Reads the identity.
pub(super) fn load(disk: &mut impl Disk) -> Result<Identity, StoreError> {
    let bytes = disk.read(NAME).context(FileSnafu { name: NAME })?;
    let decoded = bytes.split_last_chunk::<SUM_LEN>().and_then(|(body, sum)| {
        let valid = crc32c::crc32c(body) == u32::from_le_bytes(*sum);
        valid.then(|| postcard::from_bytes(body).ok()).flatten()
    });
    match decoded {
        Some(identity) => Ok(identity),
        None => {
            let reason = "the checksum is wrong";
            DamagedSnafu { name: NAME, offset: 0_u64, reason }.fail()
        }
    }
}
