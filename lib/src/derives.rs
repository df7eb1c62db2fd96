//! The sets of derives that the project's types share.

/// Declares plain data types that are compared, printed, stored and sent.
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

/// Declares small keys: copied, ordered and hashed besides what [`data!`](crate::data) gives.
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

/// Declares names: shared text that is cheap to clone, ordered and hashed.
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

/// Declares a closed set whose members have names in files: states, events, guards, actions.
///
/// Gives `ALL`, `NAMES` (in the same order), `name()` and a conversion to the index.
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
                /// Every member, in the order of declaration.
                pub const ALL: &'static [Self] = &[$(Self::$member),+];

                /// The names of all members, in the same order.
                pub const NAMES: &'static [&'static str] = &[$($text),+];

                /// The member's name in files and logs.
                pub fn name(self) -> &'static str {
                    Self::NAMES[usize::from(self)]
                }

                /// The member with this name.
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
