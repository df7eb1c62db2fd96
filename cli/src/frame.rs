//! Frames between instances: messages in postcard, a keyed hash before them, in base64.

use std::sync::Arc;

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Separates this use of a key from any other.
const CONTEXT: &str = "hickorylink peer frames 1";

/// The length of the keyed hash, in bytes.
const HASH_BYTES: usize = blake3::OUT_LEN;

/// The key by which instances know each other.
#[derive(Clone)]
pub struct PeerKey(Arc<[u8; blake3::KEY_LEN]>);

impl PeerKey {
    /// The key made from the text in the settings.
    pub fn new(text: &str) -> Self {
        Self(Arc::new(blake3::derive_key(CONTEXT, text.as_bytes())))
    }
}

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey")
    }
}

/// A frame that is refused.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// It isn't base64.
    #[snafu(display("the frame isn't base64: {source}"))]
    Text {
        /// What is wrong.
        source: base64::DecodeError,
    },
    /// It is shorter than its hash.
    #[snafu(display("the frame is too short"))]
    Short,
    /// Its hash was made with another key.
    #[snafu(display("the frame was made with another peer key"))]
    Key,
    /// Its messages can't be read.
    #[snafu(display("the frame can't be read: {source}"))]
    Content {
        /// What is wrong.
        source: postcard::Error,
    },
}

/// Makes a frame.
pub fn seal(key: &PeerKey, messages: &impl Serialize) -> String {
    let content = postcard::to_allocvec(messages).unwrap_or_default();
    let hash = blake3::keyed_hash(&key.0, &content);
    let mut bytes = Vec::with_capacity(HASH_BYTES + content.len());
    bytes.extend_from_slice(hash.as_bytes());
    bytes.extend_from_slice(&content);
    STANDARD.encode(bytes)
}

/// Reads a frame.
///
/// # Errors
///
/// [`FrameError`] if it isn't whole or wasn't made with the same key.
pub fn open<T: DeserializeOwned>(key: &PeerKey, text: &str) -> Result<T, FrameError> {
    let bytes = STANDARD.decode(text).context(TextSnafu)?;
    let (hash, content) = bytes.split_first_chunk::<HASH_BYTES>().context(ShortSnafu)?;
    // The comparison of two hashes takes the same time wherever they differ.
    ensure!(blake3::keyed_hash(&key.0, content) == blake3::Hash::from_bytes(*hash), KeySnafu);
    postcard::from_bytes(content).context(ContentSnafu)
}
