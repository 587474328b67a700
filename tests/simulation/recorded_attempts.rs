//! Checks the attempts that the placements of blocks record, after each transaction of the simulated state service.

use std::collections::{BTreeMap, BTreeSet};

use ciborium::Value;
use dappleshore::domain::BlockId;
use dappleshore::store::TransactionChange;
use dappleshore::store::records::{BlockPlacements, Part, RecordKey};

/// The numbers of attempts.
type Attempts = BTreeSet<u64>;

/// The attempts that are recorded, and those that were.
#[derive(Default)]
pub struct RecordedAttempts {
    parts: BTreeMap<BlockId, BTreeMap<Part, Attempts>>,
    by_block: BTreeMap<BlockId, Attempts>,
    /// The attempts that have been removed from the placements.
    ended: Attempts,
}

impl RecordedAttempts {
    /// Applies the changes of a transaction. Checks that none of them records an attempt again that was removed: its task
    /// may run elsewhere by now.
    pub fn apply(&mut self, changes: &[TransactionChange]) {
        let mut changed_blocks = BTreeSet::new();
        for change in changes {
            let (key, value) = match change {
                TransactionChange::Put { key, value, .. } => (key, Some(value)),
                TransactionChange::Delete { key } => (key, None),
            };
            let Some(RecordKey::BlockPlacements(block, part)) = RecordKey::of(key) else {
                continue;
            };
            let attempts = value.map(attempts_of).unwrap_or_default();
            let parts = self.parts.entry(block.clone()).or_default();
            parts.insert(part, attempts);
            changed_blocks.insert(block);
        }
        for block in changed_blocks {
            self.check(block);
        }
    }

    /// Compares the attempts of a block with those before the transaction.
    fn check(&mut self, block: BlockId) {
        let attempts: Attempts = self.parts[&block].values().flatten().copied().collect();
        let restored: Vec<u64> = attempts.intersection(&self.ended).copied().collect();
        assert!(
            restored.is_empty(),
            "attempts that had been removed are recorded in {block} again: {restored:?}"
        );
        let before = self.by_block.entry(block).or_default();
        self.ended.extend(before.difference(&attempts));
        *before = attempts;
    }
}

fn attempts_of(value: &Value) -> Attempts {
    let placements = value.deserialized::<BlockPlacements>();
    let placements = placements.expect("the value is a block's placements");
    let numbers = placements.attempts().map(|(_, attempt)| attempt.number);
    numbers.collect()
}
