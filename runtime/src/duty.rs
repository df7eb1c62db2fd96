//! Duties: a thread each.

use std::{
    io,
    thread::{self, JoinHandle},
};

use tokio::runtime::{Builder, Runtime};

/// Starts a duty's thread.
///
/// # Errors
///
/// The system starts no more threads.
pub fn spawn(name: &str, duty: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(duty)
}

/// The runtime of a duty that waits for sockets.
///
/// # Errors
///
/// The system has no more descriptors.
pub fn runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
