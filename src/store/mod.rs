//! The state service: the only truth. Its records, our copy of them, its budget and its protocol.

pub mod cache;
pub mod rate_limiter;
pub mod records;
pub mod wire;
pub mod writer;

use std::time::Duration;

pub use cache::{Machine, Versioned, WatchCache};
pub use records::{Change, Record, RecordKey};
pub use writer::Writer;

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    Get {
        key: String,
    },
    Range {
        prefix: String,
        after: Option<String>,
    },
    Commit(Transaction),
    Watch {
        prefix: String,
        after: u64,
        wait: Duration,
    },
    GrantLease {
        life: Duration,
    },
    KeepAliveLease {
        id: u64,
    },
}

/// A transaction: applied as a whole if every key still has the version that its writer saw.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Transaction {
    /// 0: the key does not exist.
    pub conditions: Vec<(String, u64)>,
    pub changes: Vec<TransactionChange>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum TransactionChange {
    Put {
        key: String,
        value: ciborium::Value,
        lease: Option<u64>,
    },
    Delete {
        key: String,
    },
}

impl Transaction {
    pub fn when(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push((key.into(), version));
        self
    }

    pub fn put(self, key: impl Into<String>, record: &impl Record) -> Self {
        self.put_with_lease(key, record, None)
    }

    pub fn put_with_lease(
        mut self,
        key: impl Into<String>,
        record: &impl Record,
        lease: Option<u64>,
    ) -> Self {
        self.changes.push(TransactionChange::Put {
            key: key.into(),
            value: records::encode(record),
            lease,
        });
        self
    }

    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.changes
            .push(TransactionChange::Delete { key: key.into() });
        self
    }
}

/// A stored key.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyValue {
    pub key: String,
    pub value: ciborium::Value,
    /// The revision of its last change.
    pub version: u64,
}

impl From<KeyValue> for Change {
    fn from(entry: KeyValue) -> Self {
        Change {
            key: entry.key,
            version: entry.version,
            value: Some(entry.value),
        }
    }
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreResponse {
    Value {
        value: ciborium::Value,
        version: u64,
    },
    Missing {
        revision: u64,
    },
    RangePage {
        key_values: Vec<KeyValue>,
        more: bool,
        revision: u64,
    },
    Committed {
        revision: u64,
    },
    /// A condition failed: nothing was changed.
    Conflict,
    WatchEvents {
        revision: u64,
        changes: Vec<Change>,
    },
    /// The changes asked for are no longer kept: read everything again.
    Compacted,
    LeaseGranted {
        id: u64,
    },
    LeaseExpired,
    /// Not executed: rate limit or outage.
    Refused,
    /// Malformed, or attached to a lease that has ended. Not executed.
    Invalid,
    /// No answer: may have been executed, or may still be.
    Unknown,
}
