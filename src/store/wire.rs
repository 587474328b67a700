//! The state service's protocol, as PROTOCOL spells it.

use std::time::Duration;

use ciborium::Value;
use serde::{Deserialize, Serialize};

use super::{Change, StoreRequest, StoreResponse, Transaction, TransactionChange};
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
struct Row {
    k: String,
    value: Value,
    amended: u64,
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
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
struct News {
    #[serde(rename = "ledgerLine")]
    revision: u64,
    news: Vec<NewsItem>,
}

#[derive(Deserialize)]
struct NewsItem {
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
        StoreRequest::List { prefix, after } => {
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
        StoreRequest::Follow {
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
            read(&reply.body).map_or(StoreResponse::Unknown, |row: Row| StoreResponse::Value {
                value: row.value,
                version: row.amended,
            })
        }
        (404, StoreRequest::Get { .. }) => {
            read(&reply.body).map_or(StoreResponse::Unknown, |r: Revision| {
                StoreResponse::Missing {
                    revision: r.revision,
                }
            })
        }
        (200, StoreRequest::List { .. }) => {
            read(&reply.body).map_or(StoreResponse::Unknown, |list: Rows| StoreResponse::Rows {
                rows: list
                    .rows
                    .into_iter()
                    .map(|row| (row.k, row.value, row.amended))
                    .collect(),
                more: list.more,
                revision: list.revision,
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
        (200, StoreRequest::Follow { .. }) => {
            read(&reply.body).map_or(StoreResponse::Unknown, news)
        }
        (410, StoreRequest::Follow { .. }) => StoreResponse::TooOld,
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

fn news(news: News) -> StoreResponse {
    let changes = news
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
    StoreResponse::News {
        revision: news.revision,
        changes: changes.collect(),
    }
}

#[cfg(test)]
mod tests;
