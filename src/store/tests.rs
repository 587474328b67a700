//! A stand-in for the state service, for the unit tests of modules that write.

use std::collections::HashMap;

use super::{Change, StoreResponse, Transaction, TransactionChange, WatchCache};

/// The versions of the keys in the state service. The values are in the watch cache to which all changes are applied.
#[derive(Debug, Default)]
pub(crate) struct StoredKeys {
    versions: HashMap<String, u64>,
    /// The revision of the last change.
    pub(crate) revision: u64,
}

impl StoredKeys {
    /// Creates keys with these versions.
    pub(crate) fn with_versions<const N: usize>(versions: [(&str, u64); N]) -> Self {
        let owned = versions.map(|(key, version)| (key.to_owned(), version));
        StoredKeys {
            versions: HashMap::from(owned),
            revision: 0,
        }
    }

    /// Sets a key, or removes it if there is no value, as a change of its own.
    pub(crate) fn set(
        &mut self,
        cache: &mut WatchCache,
        key: String,
        value: Option<ciborium::Value>,
    ) {
        self.revision += 1;
        self.apply(cache, key, value);
    }

    /// Whether the transaction would be committed now.
    pub(crate) fn conditions_hold(&self, txn: &Transaction) -> bool {
        let version = |key| self.versions.get(key).copied().unwrap_or(0);
        let mut conditions = txn.conditions.iter();
        conditions.all(|(key, required)| version(key) == *required)
    }

    /// Commits a transaction if its conditions hold.
    pub(crate) fn execute(&mut self, cache: &mut WatchCache, txn: &Transaction) -> StoreResponse {
        if !self.conditions_hold(txn) {
            return StoreResponse::Conflict;
        }
        self.revision += 1;
        for change in txn.changes.clone() {
            match change {
                TransactionChange::Put { key, value, .. } => self.apply(cache, key, Some(value)),
                TransactionChange::Delete { key } => self.apply(cache, key, None),
            }
        }
        StoreResponse::Committed {
            revision: self.revision,
        }
    }

    fn apply(&mut self, cache: &mut WatchCache, key: String, value: Option<ciborium::Value>) {
        let version = self.revision;
        match value {
            Some(_) => self.versions.insert(key.clone(), version),
            None => self.versions.remove(&key),
        };
        cache.apply(Change {
            key,
            version,
            value,
        });
    }
}
