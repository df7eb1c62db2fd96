//! The identity of an instance. It is stored in the data folder, so that an instance whose folder
//! was emptied joins as a new instance.

use hickorylink_lib::{data, ids::InstanceId, time::WallTime};
use snafu::ResultExt as _;

use crate::storage::{
    Disk, StoreError,
    error::{DamagedSnafu, FileSnafu},
    snapshot::replace,
};

/// The name of the identity file.
pub(super) const NAME: &str = "identity";

/// The length of the checksum at the end of the file, in bytes.
const CHECKSUM_LEN: usize = 4;

data! {
    /// The identity of the instance that owns a folder.
    #[derive(Copy)]
    pub struct Identity {
        /// The instance's identifier, chosen when the folder was initialized.
        pub instance: InstanceId,
        /// When the folder was initialized.
        pub created: WallTime,
    }
}

/// Writes the identity file.
pub(super) fn save(disk: &mut impl Disk, identity: Identity) -> Result<(), StoreError> {
    let bytes = postcard::to_allocvec(&identity).expect("an identity can be encoded into memory");
    let sum = crc32c::crc32c(&bytes).to_le_bytes();
    replace(disk, NAME, &[&bytes, &sum])
}

/// Reads the identity file.
pub(super) fn load(disk: &mut impl Disk) -> Result<Identity, StoreError> {
    let bytes = disk.read(NAME).context(FileSnafu { name: NAME })?;
    let decoded = bytes.split_last_chunk::<CHECKSUM_LEN>().and_then(|(body, sum)| {
        let valid = crc32c::crc32c(body) == u32::from_le_bytes(*sum);
        valid.then(|| postcard::from_bytes(body).ok()).flatten()
    });
    match decoded {
        Some(identity) => Ok(identity),
        None => {
            let reason = "the checksum doesn't match";
            DamagedSnafu { name: NAME, offset: 0_u64, reason }.fail()
        }
    }
}
