//! Frames between instances: a keyed hash and messages encoded with postcard, in base64.

use std::sync::Arc;

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// The context of the key derivation, which separates this use of a key from any other.
const CONTEXT: &str = "hickorylink peer frames 1";

/// The length of the keyed hash, in bytes.
const HASH_BYTES: usize = blake3::OUT_LEN;

/// The shared key with which instances authenticate frames.
#[derive(Clone)]
pub struct PeerKey(Arc<[u8; blake3::KEY_LEN]>);

impl PeerKey {
    /// Derives the key from the secret in the settings.
    pub fn new(text: &str) -> Self {
        Self(Arc::new(blake3::derive_key(CONTEXT, text.as_bytes())))
    }
}

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey")
    }
}

/// The reason that a frame is refused.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// It isn't base64.
    #[snafu(display("the frame isn't base64: {source}"))]
    Text {
        /// The decoding error.
        source: base64::DecodeError,
    },
    /// It is shorter than its hash.
    #[snafu(display("the frame is too short"))]
    Short,
    /// Its hash doesn't match: it was made with another key, or was altered.
    #[snafu(display("the frame was made with another peer key"))]
    Key,
    /// Its number of messages can't be decoded.
    #[snafu(display("the frame can't be read: {source}"))]
    Content {
        /// The decoding error.
        source: postcard::Error,
    },
}

/// Encodes messages into a frame.
pub fn seal(key: &PeerKey, messages: &impl Serialize) -> String {
    let content = postcard::to_allocvec(messages).unwrap_or_default();
    let hash = blake3::keyed_hash(&key.0, &content);
    let mut bytes = Vec::with_capacity(HASH_BYTES + content.len());
    bytes.extend_from_slice(hash.as_bytes());
    bytes.extend_from_slice(&content);
    STANDARD.encode(bytes)
}

/// The messages of a frame.
#[derive(Debug)]
pub struct Opened<T> {
    /// Those before the first one that can't be decoded.
    pub messages: Vec<T>,
    /// Why the next one can't be decoded, such as one of a kind that only a later release knows. Where
    /// it ends isn't known.
    pub unread: Option<postcard::Error>,
}

/// Verifies a frame and decodes its messages, up to the first one that can't be decoded.
///
/// # Errors
///
/// [`FrameError`] if it is damaged or was made with another key.
pub fn open<T: DeserializeOwned>(key: &PeerKey, text: &str) -> Result<Opened<T>, FrameError> {
    let bytes = STANDARD.decode(text).context(TextSnafu)?;
    let (hash, content) = bytes.split_first_chunk::<HASH_BYTES>().context(ShortSnafu)?;
    // `blake3::Hash` compares in constant time.
    ensure!(blake3::keyed_hash(&key.0, content) == blake3::Hash::from_bytes(*hash), KeySnafu);
    let (count, mut rest): (usize, _) = postcard::take_from_bytes(content).context(ContentSnafu)?;
    let mut messages = Vec::new();
    for _ in 0..count {
        match postcard::take_from_bytes(rest) {
            Ok((message, behind)) => {
                messages.push(message);
                rest = behind;
            }
            Err(error) => return Ok(Opened { messages, unread: Some(error) }),
        }
    }
    Ok(Opened { messages, unread: None })
}
