//! The id of a drain or a cordon. The client chooses it, so that a repeated request with the same id is carried out once.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Limits the size of the record's key and of each recorded eviction, which both contain the id.
pub const MAX_ID_CHARACTERS: usize = 40;

/// The id of a drain or a cordon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DrainId(Arc<str>);

/// The text is not a valid id of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "an id has 1 to {MAX_ID_CHARACTERS} of the characters a-z, 0-9, `-`, `_` and `.`, and begins with a letter or digit"
)]
pub struct MalformedId;

impl FromStr for DrainId {
    type Err = MalformedId;

    fn from_str(text: &str) -> Result<Self, MalformedId> {
        let allowed =
            |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
        let valid_start = text
            .chars()
            .next()
            .is_some_and(|c| c.is_ascii_lowercase() || c.is_ascii_digit());
        if valid_start && text.len() <= MAX_ID_CHARACTERS && text.chars().all(allowed) {
            Ok(DrainId(text.into()))
        } else {
            Err(MalformedId)
        }
    }
}

impl fmt::Display for DrainId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Serialize for DrainId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for DrainId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(serde::de::Error::custom)
    }
}
