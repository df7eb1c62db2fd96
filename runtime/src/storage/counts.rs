//! The file of the burn report's counts, in a folder of its own.
//!
//! The file is a convenience: an instance that can't read it starts to count anew. So nothing of
//! the council's state depends on it, and it lies outside of what [`Store`](crate::storage::Store) checks.

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

/// What the file starts with.
const MAGIC: [u8; 8] = *b"hkBURN1\n";

/// Why the counts can't be read.
#[derive(Debug, Snafu)]
pub enum CountsError {
    /// The folder or the file can't be used.
    #[snafu(display("{FOLDER}/{source}"))]
    Unusable {
        /// What is wrong.
        source: StoreError,
    },
    /// The file isn't what was written.
    #[snafu(display("{FOLDER}/{NAME} is damaged"))]
    Damaged,
}

/// The folder with the counts.
#[derive(Debug)]
pub struct CountsFile<D> {
    disk: D,
}

impl<D: Disk> CountsFile<D> {
    /// Takes the folder, which is made if need be.
    ///
    /// # Errors
    ///
    /// [`CountsError::Unusable`] if the disk fails or another process has the folder.
    pub fn open(mut disk: D) -> Result<Self, CountsError> {
        lock_folder(&mut disk).context(UnusableSnafu)?;
        Ok(Self { disk })
    }

    /// Reads the counts; nothing if none were written yet.
    ///
    /// # Errors
    ///
    /// [`CountsError`] if the file can't be read or isn't what was written.
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

    /// Puts the counts in the place of the earlier ones, durably.
    ///
    /// # Errors
    ///
    /// The disk fails; the earlier counts stand, or these do.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let temporary = format!("{NAME}{TEMPORARY}");
        // A save that failed in the middle left its file, and a write goes to a file's end.
        if self.disk.list().context(FolderSnafu)?.contains(&temporary) {
            self.disk.remove(&temporary).context(FileSnafu { name: temporary })?;
        }
        let body = postcard::to_allocvec(snapshot).expect("it can be encoded into memory");
        let sum = crc32c::crc32c(&body).to_le_bytes();
        replace(&mut self.disk, NAME, &[&MAGIC, &sum, &body])
    }
}

fn lock_folder(disk: &mut impl Disk) -> Result<(), StoreError> {
    ensure!(disk.lock().context(FolderSnafu)?, LockedSnafu);
    Ok(())
}

fn decode(bytes: &[u8]) -> Option<Snapshot> {
    let (mark, rest) = bytes.split_first_chunk::<8>()?;
    let (sum, body) = rest.split_first_chunk::<4>()?;
    if *mark != MAGIC || crc32c::crc32c(body) != u32::from_le_bytes(*sum) {
        return None;
    }
    postcard::from_bytes(body).ok()
}
