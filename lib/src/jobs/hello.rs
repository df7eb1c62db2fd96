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
}

impl<'de> Deserialize<'de> for Hello {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        const FIELDS: &[&str] = &["node", "known"];
        struct Fields;
        impl<'de> Visitor<'de> for Fields {
            type Value = Hello;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a hello with its fields")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Hello, A::Error> {
                let node = seq.next_element()?;
                let node = node.ok_or_else(|| A::Error::custom("a hello is cut short"))?;
                // The message of an older release ends after the node, which is an error of the
                // binary format.
                let known = seq.next_element().ok().flatten().unwrap_or_default();
                Ok(Hello { node, known })
            }
        }
        deserializer.deserialize_struct("Hello", FIELDS, Fields)
    }
}
