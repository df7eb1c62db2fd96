//! The stream of a connection, which notes when bytes arrive and leave.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use hickorylink_lib::clients::{Cause, Phase};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

use crate::clients::Slot;

/// The size of the smallest buffer for an incomplete head.
const MIN_HEAD_BUFFER: usize = 8192;

/// The progress of a connection, which only its task updates.
#[derive(Debug)]
pub(super) struct Progress {
    slot: Slot,
    phase: AtomicU8,
    /// The bytes of an incomplete head, while it is received.
    head: AtomicUsize,
    /// Wakes a request that waits until the previous response has been written.
    flushed: Notify,
}

impl Progress {
    pub(super) fn new(slot: Slot) -> Self {
        Self {
            slot,
            phase: AtomicU8::new(Phase::Idle as u8),
            head: AtomicUsize::new(0),
            flushed: Notify::new(),
        }
    }

    pub(super) fn slot(&self) -> &Slot {
        &self.slot
    }

    pub(super) fn enter(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
        self.slot.enter(phase);
    }

    /// Waits until the previous response has been written.
    pub(super) async fn written(&self) {
        while self.is(Phase::Writing) {
            self.flushed.notified().await;
        }
    }

    fn is(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::Relaxed) == phase as u8
    }

    /// Bytes arrived. Fails if a head takes more room than there is.
    fn received(&self, bytes: usize) -> io::Result<()> {
        if self.is(Phase::Idle) {
            self.head.store(bytes, Ordering::Relaxed);
            self.enter(Phase::Head);
            self.slot.progress(bytes);
        } else if self.is(Phase::Head) {
            // The head wasn't complete before, so the buffer is kept until the rest arrives.
            self.slot.progress(bytes);
            let head = self.head.fetch_add(bytes, Ordering::Relaxed) + bytes;
            if !self.slot.hold(head.max(MIN_HEAD_BUFFER) as u64) {
                self.slot.refuse(Cause::Bytes);
                return Err(io::ErrorKind::OutOfMemory.into());
            }
        } else if self.is(Phase::Body) {
            self.slot.progress(bytes);
        }
        Ok(())
    }

    fn sent(&self, bytes: usize) {
        if self.is(Phase::Writing) {
            self.slot.progress(bytes);
        }
    }

    /// The server calls this when its write buffer is empty.
    fn flushed(&self) {
        if self.is(Phase::Writing) {
            self.enter(Phase::Idle);
            self.flushed.notify_waiters();
        }
    }
}

/// The stream of a connection.
#[derive(Debug)]
pub(super) struct Stream {
    socket: TcpStream,
    progress: Arc<Progress>,
}

impl Stream {
    pub(super) fn new(socket: TcpStream, progress: Arc<Progress>) -> Self {
        Self { socket, progress }
    }

    fn note_sent(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written
            && *bytes > 0
        {
            self.progress.sent(*bytes);
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(context, buffer);
        match buffer.filled().len() - before {
            0 => read,
            bytes => Poll::Ready(self.progress.received(bytes)),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.note_sent(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, parts);
        self.note_sent(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.flushed();
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
