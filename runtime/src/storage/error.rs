//! What goes wrong with the folder.

use std::io;

use hickorylink_lib::ids::{Index, InstanceId};
use snafu::Snafu;

/// Why the folder can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StoreError {
    /// The folder can't be read or locked.
    #[snafu(display("the data folder can't be used: {source}"))]
    Folder {
        /// What the system said.
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
        /// What the system said.
        source: io::Error,
    },
    /// What was synced can't be read any more.
    #[snafu(display(
        "{name}: damaged at byte {offset}: {reason}; replace this instance's disk by an empty one"
    ))]
    Damaged {
        /// The file.
        name: String,
        /// Where the damage starts, in bytes from the file's start.
        offset: u64,
        /// What is wrong there.
        reason: String,
    },
    /// A file that must be there is missing.
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
        /// Who wrote it.
        found: InstanceId,
        /// Whose folder it is.
        expected: InstanceId,
    },
    /// The entries of a write don't follow what is stored.
    #[snafu(display("entry {found} was to be stored where entry {wanted} must follow"))]
    OutOfOrder {
        /// The entry's position.
        found: Index,
        /// The position that must come next.
        wanted: Index,
    },
    /// An earlier write failed.
    #[snafu(display("an earlier write failed; restart the process to find out what was stored"))]
    Poisoned,
}
