//! Client of the state service, which holds all state that outlives a process.
//!
//! [`records`] defines the stored records, [`cache`] keeps a local copy of them, [`writer`] limits
//! each module to one transaction at a time, [`rate_limiter`] keeps requests within the service's
//! rates, and [`wire`] encodes them. This module does no input or output: the controller's event
//! loop sends the requests and passes the responses back.

pub mod cache;
pub mod rate_limiter;
pub mod records;
pub mod wire;
pub mod writer;

use std::time::Duration;

pub use cache::{Machine, Versioned, WatchCache};
pub use records::{Change, Record, RecordKey};
pub use writer::WriterState;

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads the keys under a prefix, page by page.
    Range {
        /// The prefix.
        prefix: String,
        /// The last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Applies a transaction.
    Commit(Transaction),
    /// Waits for changes under a prefix.
    Watch {
        /// The prefix.
        prefix: String,
        /// Only changes after this revision are returned.
        after: u64,
        /// How long the service may wait for a change.
        wait: Duration,
    },
    /// Grants a new lease.
    GrantLease {
        /// Lifetime of the lease unless it is kept alive.
        life: Duration,
    },
    /// Renews a lease for its full lifetime from now on.
    KeepAliveLease {
        /// The id of the lease.
        id: u64,
    },
}

/// A transaction. It is applied as a whole if each key in its conditions still has the required
/// version.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Transaction {
    /// Keys with their required versions; 0: the key must not exist.
    pub conditions: Vec<(String, u64)>,
    /// The changes to apply.
    pub changes: Vec<TransactionChange>,
}

/// A change of one key in a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionChange {
    /// Sets the key.
    Put {
        /// The key.
        key: String,
        /// Its new value.
        value: ciborium::Value,
        /// The lease with whose end the key is removed; `None`: the key stays.
        lease: Option<u64>,
    },
    /// Removes the key.
    Delete {
        /// The key.
        key: String,
    },
}

impl Transaction {
    /// Requires a key to have this version; 0: the key must not exist.
    pub fn require_version(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push((key.into(), version));
        self
    }

    /// Sets a key to a record.
    pub fn put(self, key: impl Into<String>, record: &impl Record) -> Self {
        self.put_with_lease(key, record, None)
    }

    /// Sets a key to a record. With a lease, the key is removed when the lease ends.
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

    /// Removes a key.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.changes
            .push(TransactionChange::Delete { key: key.into() });
        self
    }
}

/// A stored key with its value.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// Its value.
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

/// The outcome of a request, including that no response arrived.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreResponse {
    /// The key's value.
    Value {
        /// The value.
        value: ciborium::Value,
        /// The revision of its last change.
        version: u64,
    },
    /// The key does not exist.
    Missing {
        /// The service's revision.
        revision: u64,
    },
    /// A page of a range read.
    RangePage {
        /// The keys with their values, in the order of the keys.
        key_values: Vec<KeyValue>,
        /// Whether more keys follow.
        more: bool,
        /// The service's revision.
        revision: u64,
    },
    /// The transaction was applied.
    Committed {
        /// The revision that the transaction created.
        revision: u64,
    },
    /// A condition failed; nothing was changed.
    Conflict,
    /// The changes that a watch returned.
    WatchEvents {
        /// The revision up to which the changes are complete.
        revision: u64,
        /// The changes; empty if none occurred before the timeout.
        changes: Vec<Change>,
    },
    /// The service no longer keeps the requested changes; all keys have to be read again.
    Compacted,
    /// The lease was granted or renewed.
    LeaseGranted {
        /// The id of the lease.
        id: u64,
    },
    /// The lease has ended.
    LeaseExpired,
    /// Not executed, because of the rate limit or an outage.
    Refused,
    /// Not executed: the request is malformed or too large, or refers to a lease that has ended.
    Invalid,
    /// No usable response arrived; the request may have been executed or may still be.
    Unknown,
}

#[cfg(test)]
pub(crate) mod tests;
