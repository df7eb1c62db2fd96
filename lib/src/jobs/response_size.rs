//! The sizes of responses to heartbeats, and their limits.

use crate::jobs::response::RunStart;

/// The limits on the size of responses. The frontend that encodes them decides about their sizes.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLimits {
    /// The maximum size of a response, in bytes. It has to exceed that of a response with one start.
    pub max_bytes: usize,
    /// The rate at which starts are sent to all workers together, in bytes per second.
    pub bytes_per_second: u64,
    /// The sizes of encoded responses.
    pub sizes: ResponseSizes,
}

/// Upper bounds of the encoded sizes of a response and its parts, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct ResponseSizes {
    /// A response without starts, stops and paces.
    pub envelope: usize,
    /// A start without its texts.
    pub start: usize,
    /// A stop.
    pub stop: usize,
    /// A pace.
    pub pace: usize,
    /// Each byte of a text, by its value. Encodings escape some bytes.
    pub text: [u8; 256],
}

impl ResponseSizes {
    /// The size of a start.
    pub fn start(&self, start: &RunStart) -> usize {
        self.start + self.text(&start.spec.text) + self.text(&start.checkpoint)
    }

    /// The size of a text without its delimiters.
    pub fn text(&self, text: &str) -> usize {
        text.bytes().map(|byte| usize::from(self.text[usize::from(byte)])).sum()
    }
}
