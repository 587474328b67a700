//! A simulated state service that follows the published protocol.

use std::collections::BTreeMap;
use std::time::Duration;

use ciborium::Value;
use dappleshore::config::StateLimits;
use dappleshore::domain::{BlockId, MachineId};
use dappleshore::store::records::{
    FORMAT_KEY, FormatSwitch, LEADER_KEY, Leader, MachineInventory, RecordKey, TOKEN_KEY,
    TokenCounter,
};
use dappleshore::store::{Change, KeyValue, StoreRequest, StoreResponse, Transaction};
use dappleshore_drain::{Eviction, Ledger};

use super::recorded_attempts::RecordedAttempts;

/// The value stored under a key.
struct Entry {
    value: Value,
    /// The revision of its last change.
    version: u64,
    /// The lease with which it is removed.
    lease: Option<u64>,
}

/// The stored keys and leases, and counts of the requests.
pub struct StateService {
    keys: BTreeMap<String, Entry>,
    /// All changes, in the order of their revisions.
    change_log: Vec<Change>,
    pub revision: u64,
    /// The duration of each lease and when it expires.
    leases: BTreeMap<u64, (Duration, Duration)>,
    next_lease: u64,
    limits: StateLimits,
    /// Token buckets for requests and for changes: the tokens left, and when they were counted.
    request_tokens: (f64, Duration),
    write_tokens: (f64, Duration),
    /// Requests refused by the rate limits.
    pub refused: usize,
    /// The limits were lowered: a transaction above them is refused. Before that it fails the test.
    limits_lowered: bool,
    /// Transactions refused as too large.
    pub too_large: usize,
    /// The size of the largest written value, in bytes.
    pub largest: usize,
    /// Changes that were committed.
    pub changes: usize,
    /// Requests for a key or a page of keys.
    pub reads: usize,
    /// The block that each machine is recorded in.
    blocks_of_machines: BTreeMap<MachineId, BlockId>,
    recorded_attempts: RecordedAttempts,
    /// Evictions that were recorded and not yet checked.
    pub recorded_evictions: Vec<Eviction>,
    /// Whether the production version can read a record.
    readable_by_production: fn(&str, &Value) -> bool,
}

/// Takes tokens from a bucket that holds those of one second. False if too few are left.
fn take_tokens(bucket: &mut (f64, Duration), now: Duration, rate: f64, count: f64) -> bool {
    bucket.0 = (bucket.0 + (now - bucket.1).as_secs_f64() * rate).min(rate);
    bucket.1 = now;
    if bucket.0 < count {
        return false;
    }
    bucket.0 -= count;
    true
}

impl StateService {
    pub fn new(limits: StateLimits, readable_by_production: fn(&str, &Value) -> bool) -> Self {
        StateService {
            keys: BTreeMap::new(),
            change_log: Vec::new(),
            revision: 0,
            leases: BTreeMap::new(),
            next_lease: 0,
            request_tokens: (limits.rps, Duration::ZERO),
            write_tokens: (limits.write_rps, Duration::ZERO),
            limits,
            refused: 0,
            limits_lowered: false,
            too_large: 0,
            largest: 0,
            changes: 0,
            reads: 0,
            blocks_of_machines: BTreeMap::new(),
            recorded_attempts: RecordedAttempts::default(),
            recorded_evictions: Vec::new(),
            readable_by_production,
        }
    }

    /// Records the evictions that are in a ledger's new value and not in its old one.
    fn record_evictions(&mut self, key: &str, value: Option<&Value>) {
        if !key.starts_with("dappleshore/drain_ledger/") {
            return;
        }
        let ledger = |value: &Value| {
            value
                .deserialized::<Ledger>()
                .expect("the value is a ledger")
        };
        let old_ledger = self.keys.get(key).map(|entry| ledger(&entry.value));
        let old = old_ledger.unwrap_or_default().evictions;
        let new = value.map(ledger).unwrap_or_default().evictions;
        self.recorded_evictions
            .extend(new.into_iter().filter(|eviction| !old.contains(eviction)));
    }

    /// Checks that no machine is recorded in two blocks. Its tasks in one of them would count as ended once it is
    /// removed from the other.
    fn record_machines(&mut self, key: &str, value: Option<&Value>) {
        let Some(RecordKey::MachineInventory(block, _)) = RecordKey::of(key) else {
            return;
        };
        let is_of_block = |key: &str| matches!(RecordKey::of(key), Some(RecordKey::MachineInventory(other, _)) if other == block);
        let other_parts = self
            .keys
            .iter()
            .filter(|(other, _)| *other != key && is_of_block(other))
            .map(|(_, entry)| &entry.value);
        let machines: Vec<MachineId> = other_parts
            .chain(value)
            .flat_map(|value| {
                let inventory = value.deserialized::<MachineInventory>();
                inventory.expect("the value is an inventory").machines
            })
            .map(|(id, _)| id)
            .collect();
        self.blocks_of_machines.retain(|_, other| *other != block);
        for id in machines {
            let other = self.blocks_of_machines.insert(id.clone(), block.clone());
            let is_in_one_block = other.as_ref().is_none_or(|other| *other == block);
            assert!(
                is_in_one_block,
                "{id} is recorded in {block} and in {other:?}"
            );
        }
    }

    /// Writes or removes a key at the current revision. `None` removes it.
    fn apply_change(&mut self, key: &str, value: Option<Value>, lease: Option<u64>) {
        let version = self.revision;
        self.record_evictions(key, value.as_ref());
        self.record_machines(key, value.as_ref());
        let readable = value
            .as_ref()
            .is_none_or(|value| (self.readable_by_production)(key, value));
        assert!(
            readable || self.format() > 0,
            "the production version can't read {key}: {value:?}"
        );
        match value.clone() {
            Some(value) => {
                self.keys.insert(
                    key.to_owned(),
                    Entry {
                        value,
                        version,
                        lease,
                    },
                );
            }
            None => {
                self.keys.remove(key);
            }
        }
        self.change_log.push(Change {
            key: key.to_owned(),
            version,
            value,
        });
    }

    /// The recorded leader.
    pub fn leader(&self) -> Option<Leader> {
        self.keys.get(LEADER_KEY)?.value.deserialized().ok()
    }

    /// Lowers the limits for requests. Stored values stay readable, whatever their size.
    pub fn lower_limits(&mut self, limits: StateLimits) {
        self.limits = limits;
        self.limits_lowered = true;
    }

    /// The record format that is switched on. 0: that of the production version.
    pub fn format(&self) -> u32 {
        let record = self.keys.get(FORMAT_KEY);
        let switch = record.and_then(|entry| entry.value.deserialized::<FormatSwitch>().ok());
        switch.map_or(0, |switch| switch.version)
    }

    /// Number of stored values that are not the first part of their record.
    pub fn divided_values(&self) -> usize {
        self.keys
            .keys()
            .filter(|key| key.contains("_part/"))
            .count()
    }

    /// Whether a transaction has too many changes or conditions, or a value that is too large.
    fn exceeds_limits(&self, transaction: &Transaction) -> bool {
        use dappleshore::store::TransactionChange::Put;
        let is_too_large = |change: &dappleshore::store::TransactionChange| matches!(change, Put { value, .. } if json_size(value) > self.limits.value_bytes);
        transaction.changes.len() > self.limits.txn_ops
            || transaction.conditions.len() > 4 * self.limits.txn_ops
            || transaction.changes.iter().any(is_too_large)
    }

    /// The last fencing token that was recorded.
    pub fn last_token(&self) -> u64 {
        let token = self
            .keys
            .get(TOKEN_KEY)
            .and_then(|entry| entry.value.deserialized::<TokenCounter>().ok());
        token.map_or(0, |token| token.last)
    }

    /// Removes expired leases and their keys. Returns whether a key was removed.
    pub fn expire(&mut self, now: Duration) -> bool {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        let mut changed = false;
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, entry)| entry.lease == Some(id))
                .map(|(name, _)| name.clone())
                .collect();
            for key in keys {
                self.revision += 1;
                self.apply_change(&key, None, None);
                changed = true;
            }
        }
        changed
    }

    /// Restarts every lease with its full duration when an outage is over.
    pub fn renew_leases_after_outage(&mut self, now: Duration) {
        for (life, until) in self.leases.values_mut() {
            *until = now + *life;
        }
    }

    /// The changes under a prefix after a revision.
    pub fn changes_after(&self, prefix: &str, after: u64) -> Vec<Change> {
        let first = self
            .change_log
            .partition_point(|change| change.version <= after);
        self.change_log[first..]
            .iter()
            .filter(|change| change.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Handles any request but a watch.
    pub fn serve(&mut self, now: Duration, request: &StoreRequest) -> StoreResponse {
        self.expire(now);
        self.reads += usize::from(matches!(
            request,
            StoreRequest::Get { .. } | StoreRequest::Range { .. }
        ));
        if !take_tokens(&mut self.request_tokens, now, self.limits.rps, 1.0) {
            self.refused += 1;
            return StoreResponse::Refused;
        }
        match request {
            StoreRequest::Get { key } => match self.keys.get(key) {
                Some(entry) => StoreResponse::Value {
                    value: entry.value.clone(),
                    version: entry.version,
                },
                None => StoreResponse::Missing {
                    revision: self.revision,
                },
            },
            StoreRequest::Range { prefix, after } => {
                let start = after.clone().unwrap_or_default();
                let mut key_values: Vec<KeyValue> = self
                    .keys
                    .range(start.clone()..)
                    .filter(|(key, _)| key.starts_with(prefix) && **key > start)
                    .map(|(key, entry)| KeyValue {
                        key: key.clone(),
                        value: entry.value.clone(),
                        version: entry.version,
                    })
                    .collect();
                // Small pages, so that clients have to read several.
                let more = key_values.len() > 20;
                key_values.truncate(20);
                StoreResponse::RangePage {
                    key_values,
                    more,
                    revision: self.revision,
                }
            }
            StoreRequest::Commit(transaction) => self.commit(now, transaction),
            StoreRequest::GrantLease { life } => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (*life, now + *life));
                StoreResponse::LeaseGranted {
                    id: self.next_lease,
                }
            }
            StoreRequest::KeepAliveLease { id } => match self.leases.get_mut(id) {
                Some((life, until)) => {
                    *until = now + *life;
                    StoreResponse::LeaseGranted { id: *id }
                }
                None => StoreResponse::LeaseExpired,
            },
            StoreRequest::Watch { .. } => {
                unreachable!("watches are handled by the simulated cluster")
            }
        }
    }

    /// Commits a transaction if its conditions hold.
    fn commit(&mut self, now: Duration, transaction: &Transaction) -> StoreResponse {
        use dappleshore::store::TransactionChange::{Delete, Put};
        let change_count = transaction.changes.len();
        if self.limits_lowered && self.exceeds_limits(transaction) {
            self.too_large += 1;
            return StoreResponse::Invalid;
        }
        assert!(
            change_count <= self.limits.txn_ops,
            "a transaction has {change_count} changes, above the limit"
        );
        assert!(
            transaction.conditions.len() <= 4 * self.limits.txn_ops,
            "a transaction has more than four conditions for each allowed change"
        );
        if !take_tokens(
            &mut self.write_tokens,
            now,
            self.limits.write_rps,
            change_count as f64,
        ) {
            self.refused += 1;
            return StoreResponse::Refused;
        }
        let version = |key: &String| self.keys.get(key).map_or(0, |entry| entry.version);
        if transaction
            .conditions
            .iter()
            .any(|(key, expected)| version(key) != *expected)
        {
            return StoreResponse::Conflict;
        }
        let is_unknown =
            |lease: &Option<u64>| lease.is_some_and(|id| !self.leases.contains_key(&id));
        if transaction
            .changes
            .iter()
            .any(|change| matches!(change, Put { lease, .. } if is_unknown(lease)))
        {
            return StoreResponse::Invalid;
        }
        self.revision += 1;
        self.changes += change_count;
        self.recorded_attempts.apply(&transaction.changes);
        for change in &transaction.changes {
            match change {
                Put { key, value, lease } => {
                    let size = json_size(value);
                    assert!(
                        size <= self.limits.value_bytes,
                        "the value of {key} has {size} bytes, above the limit"
                    );
                    self.largest = self.largest.max(size);
                    self.apply_change(key, Some(value.clone()), *lease);
                }
                Delete { key } => self.apply_change(key, None, None),
            }
        }
        StoreResponse::Committed {
            revision: self.revision,
        }
    }
}

/// The approximate size of a value in JSON, in bytes.
fn json_size(value: &Value) -> usize {
    match value {
        Value::Text(text) => text.len() + 2,
        Value::Array(list) => {
            1 + list
                .iter()
                .map(|item| json_size(item) + 1)
                .sum::<usize>()
                .max(1)
        }
        Value::Map(map) => {
            1 + map
                .iter()
                .map(|(k, v)| json_size(k) + json_size(v) + 2)
                .sum::<usize>()
                .max(1)
        }
        Value::Integer(number) => i128::from(*number).to_string().len(),
        Value::Float(number) => number.to_string().len(),
        _ => 5,
    }
}
