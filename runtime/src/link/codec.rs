//! The frames of a connection between instances: four bytes of length, most significant first, and
//! the message.

use std::io;

use bytes::{Buf as _, Bytes, BytesMut};
use hickorylink_lib::clients::{Cause, Phase};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::clients::Slot;

/// The largest frame; it fits a snapshot chunk or a batch of log entries.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// The bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// The least room that is added for the rest of a frame.
const MIN_ROOM: usize = 8192;

/// The largest frame after which its buffer is used again.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// Reads and writes frames. Room for a frame is added as its bytes arrive, and those of an incomplete
/// frame of a peer are held in the budget.
#[derive(Debug)]
pub(super) struct FrameCodec {
    encoder: LengthDelimitedCodec,
    /// The slot of a connection that a peer opened.
    slot: Option<Slot>,
    /// Whether a part of a frame has been received.
    partial: bool,
    /// The bytes of that part.
    received: usize,
    /// Whether a whole frame has been received.
    proven: bool,
}

impl FrameCodec {
    pub(super) fn new(slot: Option<Slot>) -> Self {
        let encoder = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { encoder, slot, partial: false, received: 0, proven: false }
    }

    /// `received` bytes of an incomplete frame have arrived, for which `room` is in use. Fails with
    /// `OutOfMemory` if the budget has no room for them.
    fn wait(&mut self, received: usize, room: usize) -> io::Result<()> {
        let Some(slot) = &self.slot else { return Ok(()) };
        if !self.partial {
            (self.partial, self.received) = (true, 0);
            slot.enter(Phase::Head);
        }
        if received > self.received {
            slot.progress(received - self.received);
            self.received = received;
        }
        if slot.hold(room as u64) {
            return Ok(());
        }
        slot.refuse(Cause::Bytes);
        Err(io::ErrorKind::OutOfMemory.into())
    }

    fn complete(&mut self) {
        if let Some(slot) = &self.slot
            && (self.partial || !self.proven)
        {
            slot.enter(Phase::Idle);
            (self.partial, self.proven) = (false, true);
        }
    }
}

impl Decoder for FrameCodec {
    type Item = Bytes;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<Bytes>> {
        let Some(length) = source.first_chunk::<LENGTH_BYTES>() else {
            if !source.is_empty() {
                self.wait(source.len(), LENGTH_BYTES)?;
            }
            return Ok(None);
        };
        let length = usize::try_from(u32::from_be_bytes(*length)).unwrap_or(usize::MAX);
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a frame is too long"));
        }
        let missing = (LENGTH_BYTES + length).saturating_sub(source.len());
        if missing > 0 {
            let room = missing.min(source.len().max(MIN_ROOM));
            self.wait(source.len(), source.len() + room)?;
            source.reserve(room);
            return Ok(None);
        }
        self.complete();
        source.advance(LENGTH_BYTES);
        let frame = source.split_to(length).freeze();
        if length > MAX_KEPT_BYTES {
            // Otherwise every connection keeps a buffer of the size of its largest frame.
            let mut rest = BytesMut::with_capacity(source.len().max(MIN_ROOM));
            rest.extend_from_slice(source);
            *source = rest;
        }
        Ok(Some(frame))
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, message: Bytes, target: &mut BytesMut) -> io::Result<()> {
        self.encoder.encode(message, target)
    }
}
