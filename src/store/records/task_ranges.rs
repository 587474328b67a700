//! Sets of task indexes, kept and stored as ranges.
//!
//! They hold finished tasks in placements, in progress records and in the cache. Adjacent ranges
//! are merged.

use std::fmt::Write as _;
use std::num::ParseIntError;
use std::str::FromStr;

use rangemap::RangeInclusiveSet;
use serde::{Deserialize, Serialize};

use super::size::decimal_digits;

/// A set of task indexes, stored as, for example, `0-4,7`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TaskRanges(pub RangeInclusiveSet<u32>);

impl TaskRanges {
    /// Adds an index.
    pub fn insert(&mut self, index: u32) {
        self.0.insert(index..=index);
    }

    /// Whether an index is in the set.
    pub fn contains(&self, index: u32) -> bool {
        self.0.contains(&index)
    }

    /// The number of indexes in the set.
    pub fn len(&self) -> u64 {
        self.0
            .iter()
            .map(|range| u64::from(range.end() - range.start()) + 1)
            .sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds the indexes of another set.
    pub fn merge(&mut self, other: &TaskRanges) {
        for range in other.0.iter() {
            self.0.insert(range.clone());
        }
    }

    /// The first index below `end` that is not in the set.
    pub fn first_gap(&self, end: u32) -> Option<u32> {
        let last = end.checked_sub(1)?;
        self.0.gaps(&(0..=last)).next().map(|gap| *gap.start())
    }

    /// The maximum size of its text in bytes.
    pub fn size(&self) -> usize {
        self.0
            .iter()
            .map(|range| {
                decimal_digits(u64::from(*range.start()))
                    + decimal_digits(u64::from(*range.end()))
                    + 2
            })
            .sum()
    }
}

impl Serialize for TaskRanges {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut text = String::new();
        for range in self.0.iter() {
            let comma = if text.is_empty() { "" } else { "," };
            // Writing to a String can't fail.
            let _ = match (range.start(), range.end()) {
                (start, end) if start == end => write!(text, "{comma}{start}"),
                (start, end) => write!(text, "{comma}{start}-{end}"),
            };
        }
        serializer.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for TaskRanges {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Error in the text of a set of task indexes.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseTaskRangesError {
    /// A number is malformed.
    #[error("malformed number in task ranges: {0}")]
    MalformedNumber(#[from] ParseIntError),
    /// A range ends before it starts.
    #[error("the range {start}-{end} ends before it starts")]
    ReversedRange {
        /// The first index of the range.
        start: u32,
        /// The last index of the range.
        end: u32,
    },
}

impl FromStr for TaskRanges {
    type Err = ParseTaskRangesError;

    fn from_str(text: &str) -> Result<Self, ParseTaskRangesError> {
        let mut ranges = TaskRanges::default();
        for piece in text.split(',').filter(|piece| !piece.is_empty()) {
            let (start, end) = piece.split_once('-').unwrap_or((piece, piece));
            let (start, end) = (start.parse()?, end.parse()?);
            if start > end {
                return Err(ParseTaskRangesError::ReversedRange { start, end });
            }
            ranges.0.insert(start..=end);
        }
        Ok(ranges)
    }
}
