//! The file of the burn report's counts, in a folder of its own.
//!
//! An instance that can't read the file starts counting from zero. The replicated log doesn't
//! depend on it, so [`Store`](crate::storage::Store) doesn't check it.

use hickorylink_lib::burn::Snapshot;
use snafu::{ResultExt as _, Snafu, ensure};

use crate::storage::{
    Disk, StoreError,
    error::{FileSnafu, FolderSnafu, LockedSnafu},
    snapshot::{TEMPORARY, replace},
};

/// The folder's name in the data folder.
pub const FOLDER: &str = "burn";

/// The file's name.
pub const NAME: &str = "counts.bin";

/// The magic bytes at the start of the file.
const MAGIC: [u8; 8] = *b"hkBURN1\n";

/// The reason why the counts can't be read.
#[derive(Debug, Snafu)]
pub enum CountsError {
    /// The folder or the file can't be used.
    #[snafu(display("{FOLDER}/{source}"))]
    Unusable {
        /// The cause.
        source: StoreError,
    },
    /// The file is corrupted.
    #[snafu(display("{FOLDER}/{NAME} is damaged"))]
    Damaged,
}

/// The locked folder with the counts.
#[derive(Debug)]
pub struct CountsFile<D> {
    disk: D,
}

impl<D: Disk> CountsFile<D> {
    /// Locks the folder, and creates it if it doesn't exist.
    ///
    /// # Errors
    ///
    /// [`CountsError::Unusable`] if the disk fails or another process has locked the folder.
    pub fn open(mut disk: D) -> Result<Self, CountsError> {
        lock_folder(&mut disk).context(UnusableSnafu)?;
        Ok(Self { disk })
    }

    /// Reads the counts; returns `None` if none have been saved.
    ///
    /// # Errors
    ///
    /// [`CountsError`] if the file can't be read or is corrupted.
    pub fn load(&mut self) -> Result<Option<Snapshot>, CountsError> {
        let names = self.disk.list().context(FolderSnafu).context(UnusableSnafu)?;
        if !names.iter().any(|name| name == NAME) {
            return Ok(None);
        }
        let read = self.disk.read(NAME).context(FileSnafu { name: NAME });
        let bytes = read.context(UnusableSnafu)?;
        let snapshot = decode(&bytes);
        ensure!(snapshot.is_some(), DamagedSnafu);
        Ok(snapshot)
    }

    /// Replaces the saved counts, atomically and durably.
    ///
    /// # Errors
    ///
    /// The disk fails; the file then holds either the previous counts or the new ones.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let temporary = format!("{NAME}{TEMPORARY}");
        // An interrupted save leaves its temporary file behind, and `replace` would append to it.
        if self.disk.list().context(FolderSnafu)?.contains(&temporary) {
            self.disk.remove(&temporary).context(FileSnafu { name: temporary })?;
        }
        let body = postcard::to_allocvec(snapshot).expect("counts can be encoded into memory");
        let sum = crc32c::crc32c(&body).to_le_bytes();
        replace(&mut self.disk, NAME, &[&MAGIC, &sum, &body])
    }
}

fn lock_folder(disk: &mut impl Disk) -> Result<(), StoreError> {
    ensure!(disk.lock().context(FolderSnafu)?, LockedSnafu);
    Ok(())
}

fn decode(bytes: &[u8]) -> Option<Snapshot> {
    let (magic, rest) = bytes.split_first_chunk::<8>()?;
    let (sum, body) = rest.split_first_chunk::<4>()?;
    if *magic != MAGIC || crc32c::crc32c(body) != u32::from_le_bytes(*sum) {
        return None;
    }
    postcard::from_bytes(body).ok()
}
