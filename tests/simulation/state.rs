//! A stand-in for the state service, by its published protocol.

use std::collections::BTreeMap;
use std::time::Duration;

use ciborium::Value;
use dappleshore::config::StateLimits;
use dappleshore::store::records::{
    FORMAT_KEY, FormatSwitch, LEADER_KEY, Leader, TOKEN_KEY, TokenCounter,
};
use dappleshore::store::{Change, KeyValue, StoreRequest, StoreResponse, Transaction};
use dappleshore_drain::{Eviction, Ledger};

struct Key {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

pub struct StateService {
    keys: BTreeMap<String, Key>,
    log: Vec<Change>,
    pub revision: u64,
    leases: BTreeMap<u64, (Duration, Duration)>,
    next_lease: u64,
    limits: StateLimits,
    requests: (f64, Duration),
    writes: (f64, Duration),
    pub refused: usize,
    /// The limits were lowered: what is above them is refused, not a mistake of the test's.
    lowered: bool,
    /// Transactions refused as too large.
    pub too_large: usize,
    pub largest: usize,
    pub changes: usize,
    /// Requests that only read.
    pub reads: usize,
    /// Evictions that were recorded and not yet looked at.
    pub recorded_evictions: Vec<Eviction>,
    /// Whether the production version reads a record.
    production_reads: fn(&str, &Value) -> bool,
}

fn bucket(slot: &mut (f64, Duration), now: Duration, rate: f64, cost: f64) -> bool {
    slot.0 = (slot.0 + (now - slot.1).as_secs_f64() * rate).min(rate);
    slot.1 = now;
    if slot.0 < cost {
        return false;
    }
    slot.0 -= cost;
    true
}

impl StateService {
    pub fn new(limits: StateLimits, production_reads: fn(&str, &Value) -> bool) -> Self {
        StateService {
            keys: BTreeMap::new(),
            log: Vec::new(),
            revision: 0,
            leases: BTreeMap::new(),
            next_lease: 0,
            requests: (limits.rps, Duration::ZERO),
            writes: (limits.write_rps, Duration::ZERO),
            limits,
            refused: 0,
            lowered: false,
            too_large: 0,
            largest: 0,
            changes: 0,
            reads: 0,
            recorded_evictions: Vec::new(),
            production_reads,
        }
    }

    /// Notes the evictions that a ledger's new value has and its old one had not.
    fn note_evictions(&mut self, key: &str, value: Option<&Value>) {
        if !key.starts_with("dappleshore/drain_ledger/") {
            return;
        }
        let read = |value: &Value| value.deserialized::<Ledger>().expect("a ledger");
        let old = self.keys.get(key).map(|key| read(&key.value));
        let known = old.unwrap_or_default().evictions;
        let new = value.map(read).unwrap_or_default().evictions;
        self.recorded_evictions
            .extend(new.into_iter().filter(|eviction| !known.contains(eviction)));
    }

    fn change(&mut self, key: &str, value: Option<Value>, lease: Option<u64>) {
        let version = self.revision;
        self.note_evictions(key, value.as_ref());
        let readable = value
            .as_ref()
            .is_none_or(|value| (self.production_reads)(key, value));
        assert!(
            readable || self.format() > 0,
            "production can't read {key}: {value:?}"
        );
        match value.clone() {
            Some(value) => {
                self.keys.insert(
                    key.to_owned(),
                    Key {
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
        self.log.push(Change {
            key: key.to_owned(),
            version,
            value,
        });
    }

    pub fn leader(&self) -> Option<Leader> {
        self.keys.get(LEADER_KEY)?.value.deserialized().ok()
    }

    /// What is stored stays readable, whatever its size.
    pub fn lower_limits(&mut self, limits: StateLimits) {
        self.limits = limits;
        self.lowered = true;
    }

    pub fn format(&self) -> u32 {
        let record = self.keys.get(FORMAT_KEY);
        let switch = record.and_then(|key| key.value.deserialized::<FormatSwitch>().ok());
        switch.map_or(0, |switch| switch.version)
    }

    /// Values that are not the first part of their record.
    pub fn divided_values(&self) -> usize {
        self.keys
            .keys()
            .filter(|key| key.contains("_part/"))
            .count()
    }

    fn above_limits(&self, txn: &Transaction) -> bool {
        use dappleshore::store::TransactionChange::Put;
        let large = |change: &dappleshore::store::TransactionChange| matches!(change, Put { value, .. } if json_size(value) > self.limits.value_bytes);
        txn.changes.len() > self.limits.txn_ops
            || txn.conditions.len() > 4 * self.limits.txn_ops
            || txn.changes.iter().any(large)
    }

    pub fn last_token(&self) -> u64 {
        let token = self
            .keys
            .get(TOKEN_KEY)
            .and_then(|key| key.value.deserialized::<TokenCounter>().ok());
        token.map_or(0, |token| token.last)
    }

    /// Ends leases that were not extended. Returns whether anything changed.
    pub fn expire(&mut self, now: Duration) -> bool {
        let gone: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        let mut changed = false;
        for id in gone {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, key)| key.lease == Some(id))
                .map(|(name, _)| name.clone())
                .collect();
            for key in keys {
                self.revision += 1;
                self.change(&key, None, None);
                changed = true;
            }
        }
        changed
    }

    /// After an outage every lease has its full time again.
    pub fn outage_over(&mut self, now: Duration) {
        for (life, until) in self.leases.values_mut() {
            *until = now + *life;
        }
    }

    pub fn changes_after(&self, prefix: &str, after: u64) -> Vec<Change> {
        let from = self.log.partition_point(|change| change.version <= after);
        self.log[from..]
            .iter()
            .filter(|change| change.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Any request but a watch.
    pub fn serve(&mut self, now: Duration, op: &StoreRequest) -> StoreResponse {
        self.expire(now);
        self.reads += usize::from(matches!(
            op,
            StoreRequest::Get { .. } | StoreRequest::Range { .. }
        ));
        if !bucket(&mut self.requests, now, self.limits.rps, 1.0) {
            self.refused += 1;
            return StoreResponse::Refused;
        }
        match op {
            StoreRequest::Get { key } => match self.keys.get(key) {
                Some(found) => StoreResponse::Value {
                    value: found.value.clone(),
                    version: found.version,
                },
                None => StoreResponse::Missing {
                    revision: self.revision,
                },
            },
            StoreRequest::Range { prefix, after } => {
                let from = after.clone().unwrap_or_default();
                let mut key_values: Vec<KeyValue> = self
                    .keys
                    .range(from.clone()..)
                    .filter(|(key, _)| key.starts_with(prefix) && **key > from)
                    .map(|(key, found)| KeyValue {
                        key: key.clone(),
                        value: found.value.clone(),
                        version: found.version,
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
            StoreRequest::Commit(txn) => self.commit(now, txn),
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

    fn commit(&mut self, now: Duration, txn: &Transaction) -> StoreResponse {
        use dappleshore::store::TransactionChange::{Delete, Put};
        let cost = txn.changes.len();
        if self.lowered && self.above_limits(txn) {
            self.too_large += 1;
            return StoreResponse::Invalid;
        }
        assert!(
            cost <= self.limits.txn_ops,
            "too many changes in a transaction: {cost}"
        );
        assert!(
            txn.conditions.len() <= 4 * self.limits.txn_ops,
            "too many conditions"
        );
        if !bucket(&mut self.writes, now, self.limits.write_rps, cost as f64) {
            self.refused += 1;
            return StoreResponse::Refused;
        }
        let version = |key: &String| self.keys.get(key).map_or(0, |found| found.version);
        if txn
            .conditions
            .iter()
            .any(|(key, expected)| version(key) != *expected)
        {
            return StoreResponse::Conflict;
        }
        let unknown_hold =
            |lease: &Option<u64>| lease.is_some_and(|id| !self.leases.contains_key(&id));
        if txn
            .changes
            .iter()
            .any(|change| matches!(change, Put { lease, .. } if unknown_hold(lease)))
        {
            return StoreResponse::Invalid;
        }
        self.revision += 1;
        self.changes += cost;
        for change in &txn.changes {
            match change {
                Put { key, value, lease } => {
                    let size = json_size(value);
                    assert!(size <= self.limits.value_bytes, "{key} is {size} bytes");
                    self.largest = self.largest.max(size);
                    self.change(key, Some(value.clone()), *lease);
                }
                Delete { key } => self.change(key, None, None),
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
