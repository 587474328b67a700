//! The state service's protocol, as PROTOCOL spells it.

use std::time::Duration;

use ciborium::Value;
use serde::{Deserialize, Serialize};

use super::{Change, KeyValue, StoreRequest, StoreResponse, Transaction, TransactionChange};
use crate::http::{Reply, Request, read, write};

#[derive(Serialize)]
struct Condition<'a> {
    k: &'a str,
    amended: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Apply<'a> {
    Put {
        put: &'a str,
        value: &'a Value,
        #[serde(skip_serializing_if = "Option::is_none")]
        tenure: Option<u64>,
    },
    Remove {
        remove: &'a str,
    },
}

#[derive(Serialize)]
struct Multi<'a> {
    when: Vec<Condition<'a>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    apply: Vec<Apply<'a>>,
}

#[derive(Serialize)]
struct NewLease {
    #[serde(rename = "lifeMs")]
    life_ms: u64,
}

#[derive(Deserialize)]
struct KeyValueBody {
    k: String,
    value: Value,
    amended: u64,
}

#[derive(Deserialize)]
struct RangePage {
    rows: Vec<KeyValueBody>,
    #[serde(default)]
    more: bool,
    #[serde(rename = "ledgerLine")]
    revision: u64,
}

#[derive(Deserialize)]
struct Revision {
    #[serde(rename = "ledgerLine")]
    revision: u64,
}

#[derive(Deserialize)]
struct WatchResponse {
    #[serde(rename = "ledgerLine")]
    revision: u64,
    news: Vec<WatchEvent>,
}

#[derive(Deserialize)]
struct WatchEvent {
    #[serde(default)]
    put: Option<String>,
    #[serde(default)]
    remove: Option<String>,
    #[serde(default)]
    value: Option<Value>,
    amended: u64,
}

#[derive(Deserialize)]
struct LeaseId {
    tenure: u64,
}

/// Rows in a page: the service's own limit.
const PAGE: u32 = 1000;
const TIMEOUT: Duration = Duration::from_millis(1500);

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn multi(txn: &Transaction) -> Vec<u8> {
    let when = txn
        .conditions
        .iter()
        .map(|(k, amended)| Condition {
            k,
            amended: *amended,
        })
        .collect();
    let apply = txn.changes.iter().map(|change| match change {
        TransactionChange::Put { key, value, lease } => Apply::Put {
            put: key,
            value,
            tenure: *lease,
        },
        TransactionChange::Delete { key } => Apply::Remove { remove: key },
    });
    write(&Multi {
        when,
        apply: apply.collect(),
    })
}

pub fn request(op: &StoreRequest) -> Request {
    match op {
        StoreRequest::Get { key } => Request::get(format!("/keys/{key}"), TIMEOUT),
        StoreRequest::Range { prefix, after } => {
            let after = after
                .as_ref()
                .map(|key| format!("&after={key}"))
                .unwrap_or_default();
            Request::get(
                format!("/keys?prefix={prefix}{after}&most={PAGE}"),
                TIMEOUT * 2,
            )
        }
        StoreRequest::Commit(txn) => Request::post("/multi".to_owned(), multi(txn), TIMEOUT),
        StoreRequest::Watch {
            prefix,
            after,
            wait,
        } => {
            let path = format!(
                "/follow?prefix={prefix}&after={after}&holdMs={}",
                millis(*wait)
            );
            Request::get(path, *wait + TIMEOUT)
        }
        StoreRequest::GrantLease { life } => Request::post(
            "/holds".to_owned(),
            write(&NewLease {
                life_ms: millis(*life),
            }),
            TIMEOUT,
        ),
        StoreRequest::KeepAliveLease { id } => {
            Request::post(format!("/holds/{id}/extend"), Vec::new(), TIMEOUT)
        }
    }
}

pub fn outcome(op: &StoreRequest, reply: Option<&Reply>) -> StoreResponse {
    let Some(reply) = reply else {
        return StoreResponse::Unknown;
    };
    match (reply.status, op) {
        (429 | 503, _) => StoreResponse::Refused,
        (200, StoreRequest::Get { .. }) => {
            read(&reply.body).map_or(StoreResponse::Unknown, |row: KeyValueBody| {
                StoreResponse::Value {
                    value: row.value,
                    version: row.amended,
                }
            })
        }
        (404, StoreRequest::Get { .. }) => {
            read(&reply.body).map_or(StoreResponse::Unknown, |r: Revision| {
                StoreResponse::Missing {
                    revision: r.revision,
                }
            })
        }
        (200, StoreRequest::Range { .. }) => {
            read(&reply.body).map_or(StoreResponse::Unknown, |page: RangePage| {
                StoreResponse::RangePage {
                    key_values: page
                        .rows
                        .into_iter()
                        .map(|row| KeyValue {
                            key: row.k,
                            value: row.value,
                            version: row.amended,
                        })
                        .collect(),
                    more: page.more,
                    revision: page.revision,
                }
            })
        }
        (200, StoreRequest::Commit(_)) => {
            read(&reply.body).map_or(StoreResponse::Unknown, |r: Revision| {
                StoreResponse::Committed {
                    revision: r.revision,
                }
            })
        }
        (409, StoreRequest::Commit(_)) => StoreResponse::Conflict,
        (200, StoreRequest::Watch { .. }) => {
            read(&reply.body).map_or(StoreResponse::Unknown, watch_events)
        }
        (410, StoreRequest::Watch { .. }) => StoreResponse::Compacted,
        (200, StoreRequest::GrantLease { .. }) => read(&reply.body)
            .map_or(StoreResponse::Unknown, |lease: LeaseId| {
                StoreResponse::LeaseGranted { id: lease.tenure }
            }),
        (200, StoreRequest::KeepAliveLease { id }) => StoreResponse::LeaseGranted { id: *id },
        (404, StoreRequest::KeepAliveLease { .. }) => StoreResponse::LeaseExpired,
        (400 | 404, _) => StoreResponse::Invalid,
        _ => StoreResponse::Unknown,
    }
}

fn watch_events(response: WatchResponse) -> StoreResponse {
    let changes = response
        .news
        .into_iter()
        .filter_map(|item| match (item.put, item.remove) {
            (Some(key), _) => Some(Change {
                key,
                version: item.amended,
                value: item.value,
            }),
            (None, Some(key)) => Some(Change {
                key,
                version: item.amended,
                value: None,
            }),
            (None, None) => None,
        });
    StoreResponse::WatchEvents {
        revision: response.revision,
        changes: changes.collect(),
    }
}

#[cfg(test)]
mod tests;
