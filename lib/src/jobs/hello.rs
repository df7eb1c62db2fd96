//! The message by which controllers announce themselves to each other.

use core::{fmt, net::SocketAddr};

use serde::{
    Deserialize, Deserializer, Serialize,
    de::{Error as _, SeqAccess, Visitor},
};

use crate::jobs::record::Node;

/// A controller announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Hello {
    /// The sender.
    pub node: Node,
    /// The peer addresses of the controllers from which the sender has a recent hello. Older
    /// releases neither write nor read them.
    pub known: Vec<SocketAddr>,
    /// Whether the sender is shutting down. Older releases neither write nor read it.
    pub leaving: bool,
}

impl<'de> Deserialize<'de> for Hello {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        const FIELDS: &[&str] = &["node", "known", "leaving"];
        struct Fields;
        impl<'de> Visitor<'de> for Fields {
            type Value = Hello;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a hello with its fields")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Hello, A::Error> {
                let node = seq.next_element()?;
                let node = node.ok_or_else(|| A::Error::custom("a hello is cut short"))?;
                let known = appended(&mut seq);
                let leaving = appended(&mut seq);
                Ok(Hello { node, known, leaving })
            }
        }
        deserializer.deserialize_struct("Hello", FIELDS, Fields)
    }
}

/// Decodes a field that older releases don't write. Their message ends before it, which is an error
/// of the binary format.
fn appended<'de, T: Deserialize<'de> + Default>(seq: &mut impl SeqAccess<'de>) -> T {
    seq.next_element().ok().flatten().unwrap_or_default()
}
