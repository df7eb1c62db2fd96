//! Macros that declare types with common sets of derives.

/// Declares plain data types that can be compared, printed and serialized.
#[macro_export]
macro_rules! data {
    ($($(#[$meta:meta])* $vis:vis $kind:ident $name:ident $body:tt $(;)?)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $(#[$meta])*
            $vis $kind $name $body
        )+
    };
}

/// Declares newtype identifiers; unlike those of [`data!`](crate::data), they can be copied,
/// ordered and hashed.
#[macro_export]
macro_rules! key {
    ($($(#[$meta:meta])* $vis:vis struct $name:ident($inner:ty);)+) => {
        $(
            #[derive(
                Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $(#[$meta])*
            $vis struct $name(pub $inner);

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    self.0.fmt(f)
                }
            }
        )+
    };
}

/// Declares newtype names: shared strings that are cheap to clone, and can be ordered and hashed.
#[macro_export]
macro_rules! name {
    ($($(#[$meta:meta])* $vis:vis struct $name:ident;)+) => {
        $(
            #[derive(
                Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $(#[$meta])*
            $vis struct $name(std::sync::Arc<str>);

            impl $name {
                /// The name as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self(text.into())
                }
            }

            impl std::borrow::Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    &self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.pad(&self.0)
                }
            }
        )+
    };
}

/// Declares enums whose variants have a name in files and logs, such as the states and events of
/// charts.
///
/// Generates `ALL`, `NAMES` (in the same order), `name()`, `from_name()` and a conversion to the
/// index.
#[macro_export]
macro_rules! symbols {
    ($($(#[$meta:meta])* $vis:vis enum $name:ident {
        $($(#[$member_meta:meta])* $member:ident = $text:literal),+ $(,)?
    })+) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $(#[$meta])*
            $vis enum $name {
                $($(#[$member_meta])* $member),+
            }

            impl $name {
                /// All variants, in order of declaration.
                pub const ALL: &'static [Self] = &[$(Self::$member),+];

                /// The names of all variants, in the same order.
                pub const NAMES: &'static [&'static str] = &[$($text),+];

                /// The variant's name in files and logs.
                pub fn name(self) -> &'static str {
                    Self::NAMES[usize::from(self)]
                }

                /// The variant with this name.
                pub fn from_name(name: &str) -> Option<Self> {
                    Self::NAMES.iter().position(|known| *known == name).map(|at| Self::ALL[at])
                }
            }

            impl From<$name> for usize {
                fn from(member: $name) -> usize {
                    member as usize
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.pad(self.name())
                }
            }
        )+
    };
}
