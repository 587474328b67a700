//! The encoding of names and amounts in messages and records.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize};

/// Serializes a type as text with its `Display` and `FromStr` implementations.
macro_rules! serialize_as_text {
    ($name:ty) => {
        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }
        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <String as serde::Deserialize>::deserialize(deserializer)?;
                text.parse()
                    .map_err(|error: crate::ParseIdError| serde::de::Error::custom(error))
            }
        }
    };
}
pub(crate) use serialize_as_text;

/// Defines a name that is used without any parsing. `Arc<str>` makes clones cheap, because these
/// names are keys of most maps.
macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        pub struct $name(
            /// The text of the name.
            pub std::sync::Arc<str>,
        );

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.into())
            }
        }
    };
}
pub(crate) use text_name;

/// A decimal amount on the wire. CBOR distinguishes 8 from 8.0, and senders may write either.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize)]
#[serde(transparent)]
pub struct Amount(
    /// The amount.
    pub f64,
);

impl<'de> Deserialize<'de> for Amount {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Visitor;
        impl serde::de::Visitor<'_> for Visitor {
            type Value = Amount;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a number")
            }
            fn visit_f64<E>(self, value: f64) -> Result<Amount, E> {
                Ok(Amount(value))
            }
            fn visit_u64<E>(self, value: u64) -> Result<Amount, E> {
                Ok(Amount(value as f64))
            }
            fn visit_i64<E>(self, value: i64) -> Result<Amount, E> {
                Ok(Amount(value as f64))
            }
        }
        deserializer.deserialize_any(Visitor)
    }
}
