//! The encoding of the types that every command carries, and of whole commands.
//!
//! The visitors are written by hand for the types that the log is full of. They read and write
//! what a derive would: the fields in order in a compact format, and by name in JSON.

use std::fmt;

use bytes::Bytes;
use postcard::ser_flavors::Flavor;
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error as _, IgnoredAny, MapAccess, SeqAccess, Visitor},
    ser::SerializeStruct as _,
};
use snafu::{ResultExt as _, Snafu};

use crate::{
    command::{Command, Envelope},
    ids::{Attempt, InstanceId, TaskAttempt, TaskId, Ticket},
    resources::Resources,
    time::WallTime,
};

/// What most envelopes fit in, in bytes.
const ENVELOPE_BYTES: usize = 256;

/// Why bytes could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// The bytes are of another release's format.
    #[snafu(display("format {found} can't be read; this release reads format {expected}"))]
    Format {
        /// The format of the bytes.
        found: u8,
        /// The format that is read.
        expected: u8,
    },
    /// The bytes are damaged or cut short.
    #[snafu(display("the encoding is damaged: {source}"))]
    Malformed {
        /// What the decoder said.
        source: postcard::Error,
    },
}

/// Collects encoded bytes in a vector.
///
/// The codec's own adds a slice byte by byte.
struct VecFlavor {
    bytes: Vec<u8>,
}

impl Flavor for VecFlavor {
    type Output = Vec<u8>;

    fn try_push(&mut self, byte: u8) -> postcard::Result<()> {
        self.bytes.push(byte);
        Ok(())
    }

    fn try_extend(&mut self, bytes: &[u8]) -> postcard::Result<()> {
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn finalize(self) -> postcard::Result<Vec<u8>> {
        Ok(self.bytes)
    }
}

/// Adds the encoding of `value` to `bytes`.
///
/// # Panics
///
/// Never for the types of this crate: encoding into memory doesn't fail.
pub(crate) fn append(bytes: Vec<u8>, value: &impl Serialize) -> Vec<u8> {
    postcard::serialize_with_flavor(value, VecFlavor { bytes }).expect("it can be encoded")
}

/// Encodes a command for the log.
///
/// # Panics
///
/// Never: encoding into memory fails for no value of these types.
pub fn encode_envelope(envelope: &Envelope) -> Bytes {
    // The log keeps the bytes for long: they get an allocation of just their size.
    Bytes::copy_from_slice(&append(Vec::with_capacity(ENVELOPE_BYTES), envelope))
}

/// Decodes a command of the log.
///
/// # Errors
///
/// [`DecodeError::Malformed`] if the bytes aren't a whole envelope.
pub fn decode_envelope(bytes: &[u8]) -> Result<Envelope, DecodeError> {
    postcard::from_bytes(bytes).context(MalformedSnafu)
}

/// Implements `Serialize` and `Deserialize` for a struct from a list of its fields.
macro_rules! visitor {
    ($name:ident { $($field:ident: $type:ty),+ } as $visitor:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                const LEN: usize = [$(stringify!($field)),+].len();
                let mut out = serializer.serialize_struct(stringify!($name), LEN)?;
                $(out.serialize_field(stringify!($field), &self.$field)?;)+
                out.end()
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                const FIELDS: &[&str] = &[$(stringify!($field)),+];
                deserializer.deserialize_struct(stringify!($name), FIELDS, $visitor)
            }
        }

        struct $visitor;

        impl<'de> Visitor<'de> for $visitor {
            type Value = $name;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{} with its fields", stringify!($name))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<$name, A::Error> {
                let short = || A::Error::custom(concat!(stringify!($name), " is cut short"));
                $(let $field: $type = seq.next_element()?.ok_or_else(short)?;)+
                Ok($name { $($field),+ })
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<$name, A::Error> {
                $(let mut $field: Option<$type> = None;)+
                while let Some(key) = map.next_key::<std::borrow::Cow<'de, str>>()? {
                    match &*key {
                        $(stringify!($field) => $field = Some(map.next_value()?),)+
                        _ => drop(map.next_value::<IgnoredAny>()?),
                    }
                }
                Ok($name {
                    $($field: $field.ok_or_else(|| A::Error::missing_field(stringify!($field)))?),+
                })
            }
        }
    };
}

visitor!(Resources { millicores: u64, memory_mib: u64, accelerators: u32 } as ResourcesVisitor);
visitor!(TaskAttempt { task: TaskId, attempt: Attempt } as TaskAttemptVisitor);
visitor!(Envelope { origin: InstanceId, ticket: Ticket, at: WallTime, command: Command }
    as EnvelopeVisitor);
