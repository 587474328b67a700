//! The client of the state service, which holds all state that outlives a process.
//!
//! [`records`] says what is stored, [`cache`] keeps a copy of it, [`writer`] paces each module's transactions, [`rate_limiter`]
//! keeps requests within the service's rates, and [`wire`] spells them. Nothing here does input or output: the controller's event
//! loop sends the requests and brings back the answers.

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
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads the keys under a prefix, page by page.
    Range {
        /// The prefix.
        prefix: String,
        /// The last key of the page before; None for the first page.
        after: Option<String>,
    },
    /// Applies a transaction.
    Commit(Transaction),
    /// Waits for changes under a prefix.
    Watch {
        /// The prefix.
        prefix: String,
        /// The revision after which changes are wanted.
        after: u64,
        /// How long the service may wait for one.
        wait: Duration,
    },
    /// Grants a new lease.
    GrantLease {
        /// How long it lives unless it is kept alive.
        life: Duration,
    },
    /// Keeps a lease alive for its life from now on.
    KeepAliveLease {
        /// The lease.
        id: u64,
    },
}

/// A transaction: applied as a whole if every key still has the version that its writer saw.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Transaction {
    /// Keys with the versions that they must have; 0: the key must not exist.
    pub conditions: Vec<(String, u64)>,
    /// What is changed.
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
        /// The lease with which the key goes; None: it stays.
        lease: Option<u64>,
    },
    /// Removes the key.
    Delete {
        /// The key.
        key: String,
    },
}

impl Transaction {
    /// Conditions the transaction on a key's version; 0: it must not exist.
    pub fn require_version(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push((key.into(), version));
        self
    }

    /// Sets a key to a record.
    pub fn put(self, key: impl Into<String>, record: &impl Record) -> Self {
        self.put_with_lease(key, record, None)
    }

    /// Sets a key to a record that goes with a lease.
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

/// A stored key.
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

/// The answer to a request, or that there was none.
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
    /// A page of keys.
    RangePage {
        /// The keys in order.
        key_values: Vec<KeyValue>,
        /// Whether there are more after them.
        more: bool,
        /// The service's revision.
        revision: u64,
    },
    /// The transaction was applied.
    Committed {
        /// The revision that it made.
        revision: u64,
    },
    /// A condition failed: nothing was changed.
    Conflict,
    /// The changes that a watch waited for.
    WatchEvents {
        /// The revision up to which these are all.
        revision: u64,
        /// The changes; none if there were none in time.
        changes: Vec<Change>,
    },
    /// The changes asked for are no longer kept: everything has to be read again.
    Compacted,
    /// The lease was granted or kept alive.
    LeaseGranted {
        /// The lease.
        id: u64,
    },
    /// The lease has ended.
    LeaseExpired,
    /// Not executed: rate limit or outage.
    Refused,
    /// Malformed, or attached to a lease that has ended. Not executed.
    Invalid,
    /// No answer: may have been executed, or may still be.
    Unknown,
}
