//! A stand-in for the state service, by its published protocol.

use std::collections::BTreeMap;
use std::time::Duration;

use ciborium::Value;
use dappleshore::config::StateLimits;
use dappleshore::store::records::{FORMAT_KEY, FormatSwitch, LEADER, Leader, TOKEN, Token};
use dappleshore::store::{Change, KeyValue, StoreRequest, StoreResponse, Transaction};
use dappleshore_drain::{Eviction, Ledger};

struct Entry {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

pub struct StateService {
    keys: BTreeMap<String, Entry>,
    change_log: Vec<Change>,
    pub revision: u64,
    leases: BTreeMap<u64, (Duration, Duration)>,
    next_lease: u64,
    limits: StateLimits,
    request_tokens: (f64, Duration),
    write_tokens: (f64, Duration),
    pub refused: usize,
    /// The limits were lowered: what is above them is refused, not a mistake of the test's.
    limits_lowered: bool,
    /// Transactions refused as too large.
    pub too_large: usize,
    pub largest: usize,
    pub changes: usize,
    /// Requests that only read.
    pub reads: usize,
    /// Evictions that were recorded and not yet looked at.
    pub recorded_evictions: Vec<Eviction>,
    /// Whether the production version reads a record.
    readable_by_production: fn(&str, &Value) -> bool,
}

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
            recorded_evictions: Vec::new(),
            readable_by_production,
        }
    }

    /// Notes the evictions that a ledger's new value has and its old one had not.
    fn record_evictions(&mut self, key: &str, value: Option<&Value>) {
        if !key.starts_with("dappleshore/drain_ledger/") {
            return;
        }
        let ledger = |value: &Value| value.deserialized::<Ledger>().expect("a ledger");
        let old_ledger = self.keys.get(key).map(|entry| ledger(&entry.value));
        let old = old_ledger.unwrap_or_default().evictions;
        let new = value.map(ledger).unwrap_or_default().evictions;
        self.recorded_evictions
            .extend(new.into_iter().filter(|eviction| !old.contains(eviction)));
    }

    fn apply_change(&mut self, key: &str, value: Option<Value>, lease: Option<u64>) {
        let version = self.revision;
        self.record_evictions(key, value.as_ref());
        let readable = value
            .as_ref()
            .is_none_or(|value| (self.readable_by_production)(key, value));
        assert!(
            readable || self.format() > 0,
            "production can't read {key}: {value:?}"
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

    pub fn leader(&self) -> Option<Leader> {
        self.keys.get(LEADER)?.value.deserialized().ok()
    }

    /// What is stored stays readable, whatever its size.
    pub fn lower_limits(&mut self, limits: StateLimits) {
        self.limits = limits;
        self.limits_lowered = true;
    }

    pub fn format(&self) -> u32 {
        let record = self.keys.get(FORMAT_KEY);
        let switch = record.and_then(|entry| entry.value.deserialized::<FormatSwitch>().ok());
        switch.map_or(0, |switch| switch.version)
    }

    /// Values that are not the first part of their record.
    pub fn divided_values(&self) -> usize {
        self.keys
            .keys()
            .filter(|key| key.contains("_part/"))
            .count()
    }

    fn exceeds_limits(&self, transaction: &Transaction) -> bool {
        use dappleshore::store::TransactionChange::Put;
        let is_too_large = |change: &dappleshore::store::TransactionChange| matches!(change, Put { value, .. } if json_size(value) > self.limits.value_bytes);
        transaction.changes.len() > self.limits.txn_ops
            || transaction.conditions.len() > 4 * self.limits.txn_ops
            || transaction.changes.iter().any(is_too_large)
    }

    pub fn last_token(&self) -> u64 {
        let token = self
            .keys
            .get(TOKEN)
            .and_then(|entry| entry.value.deserialized::<Token>().ok());
        token.map_or(0, |token| token.last)
    }

    /// Ends leases that were not extended. Returns whether anything changed.
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

    /// After an outage every lease has its full time again.
    pub fn renew_leases_after_outage(&mut self, now: Duration) {
        for (life, until) in self.leases.values_mut() {
            *until = now + *life;
        }
    }

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

    /// Any request but a watch.
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
                // Small pages, so that reading in pages is tried.
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
            StoreRequest::Watch { .. } => unreachable!("watches are served by the world"),
        }
    }

    fn commit(&mut self, now: Duration, transaction: &Transaction) -> StoreResponse {
        use dappleshore::store::TransactionChange::{Delete, Put};
        let change_count = transaction.changes.len();
        if self.limits_lowered && self.exceeds_limits(transaction) {
            self.too_large += 1;
            return StoreResponse::Invalid;
        }
        assert!(
            change_count <= self.limits.txn_ops,
            "too many changes in a transaction: {change_count}"
        );
        assert!(
            transaction.conditions.len() <= 4 * self.limits.txn_ops,
            "too many conditions"
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
        for change in &transaction.changes {
            match change {
                Put { key, value, lease } => {
                    let size = json_size(value);
                    assert!(size <= self.limits.value_bytes, "{key} is {size} bytes");
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
