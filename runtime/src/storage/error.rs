//! The errors of the store.

use std::io;

use hickorylink_lib::ids::{Index, InstanceId};
use snafu::Snafu;

/// The reason why the data folder can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StoreError {
    /// The folder can't be read or locked.
    #[snafu(display("the data folder can't be used: {source}"))]
    Folder {
        /// The system's error.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[snafu(display("another process uses the data folder; stop it, or give this one its own"))]
    Locked,
    /// A file can't be read or written.
    #[snafu(display("{name}: {source}"))]
    File {
        /// The file.
        name: String,
        /// The system's error.
        source: io::Error,
    },
    /// Durable data is corrupted.
    #[snafu(display(
        "{name}: damaged at byte {offset}: {reason}; replace this instance's disk by an empty one"
    ))]
    Damaged {
        /// The file.
        name: String,
        /// The byte offset in the file at which the damage starts.
        offset: u64,
        /// What is wrong there.
        reason: String,
    },
    /// A required file is missing.
    #[snafu(display("{name} is missing; replace this instance's disk by an empty one"))]
    Missing {
        /// The file.
        name: String,
    },
    /// A file was written by another instance.
    #[snafu(display("{name} belongs to instance {found}, the folder to instance {expected}"))]
    Foreign {
        /// The file.
        name: String,
        /// The instance that wrote the file.
        found: InstanceId,
        /// The instance that owns the folder.
        expected: InstanceId,
    },
    /// A write doesn't continue the stored log.
    #[snafu(display("log entry out of order: found index {found}, expected {expected}"))]
    OutOfOrder {
        /// The index of the entry, or from which the write truncates.
        found: Index,
        /// The next index of the log, or the lowest one that may be truncated.
        expected: Index,
    },
    /// An earlier write failed.
    #[snafu(display("an earlier write failed; restart the process to find out what was stored"))]
    Poisoned,
}
