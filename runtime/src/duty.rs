//! Threads and runtimes of the duties; each duty runs in a thread of its own.

use std::{
    io,
    thread::{self, JoinHandle},
};

use tokio::runtime::{Builder, Runtime};

/// Starts the thread of a duty.
///
/// # Errors
///
/// The system can't start another thread.
pub fn spawn(name: &str, duty: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(duty)
}

/// Creates the single-threaded runtime of a duty that waits for sockets.
///
/// # Errors
///
/// The system can't provide another file descriptor.
pub fn runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
