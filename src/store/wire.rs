//! The state service's protocol: encodes requests and parses responses.
//!
//! The event loop turns a [`StoreRequest`] into an HTTP request with [`http_request`] and its reply
//! into a [`StoreResponse`] with [`parse_response`]. The names on the wire occur in this module
//! only.

use std::time::Duration;

use ciborium::Value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{Change, KeyValue, StoreRequest, StoreResponse, Transaction, TransactionChange};
use crate::http::{Reply, Request, decode_body, encode_body};

#[derive(Serialize)]
struct ConditionBody<'a> {
    k: &'a str,
    amended: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum ChangeBody<'a> {
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
struct TransactionBody<'a> {
    when: Vec<ConditionBody<'a>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    apply: Vec<ChangeBody<'a>>,
}

#[derive(Serialize)]
struct GrantLeaseBody {
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
struct RevisionBody {
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
struct LeaseBody {
    tenure: u64,
}

/// Maximum number of keys in a page, as the service limits it.
const MAX_KEYS_PER_PAGE: u32 = 1000;
/// Timeout of a request. A page has twice as long, and a watch its own waiting time in addition.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn transaction_body(txn: &Transaction) -> Vec<u8> {
    let when = txn
        .conditions
        .iter()
        .map(|(k, amended)| ConditionBody {
            k,
            amended: *amended,
        })
        .collect();
    let apply = txn.changes.iter().map(|change| match change {
        TransactionChange::Put { key, value, lease } => ChangeBody::Put {
            put: key,
            value,
            tenure: *lease,
        },
        TransactionChange::Delete { key } => ChangeBody::Remove { remove: key },
    });
    encode_body(&TransactionBody {
        when,
        apply: apply.collect(),
    })
}

/// Encodes a request as an HTTP request.
pub fn http_request(request: &StoreRequest) -> Request {
    match request {
        StoreRequest::Get { key } => Request::get(format!("/keys/{key}"), REQUEST_TIMEOUT),
        StoreRequest::Range { prefix, after } => {
            let after = after
                .as_ref()
                .map(|key| format!("&after={key}"))
                .unwrap_or_default();
            Request::get(
                format!("/keys?prefix={prefix}{after}&most={MAX_KEYS_PER_PAGE}"),
                REQUEST_TIMEOUT * 2,
            )
        }
        StoreRequest::Commit(txn) => {
            Request::post("/multi".to_owned(), transaction_body(txn), REQUEST_TIMEOUT)
        }
        StoreRequest::Watch {
            prefix,
            after,
            wait,
        } => {
            let path = format!(
                "/follow?prefix={prefix}&after={after}&holdMs={}",
                millis(*wait)
            );
            Request::get(path, *wait + REQUEST_TIMEOUT)
        }
        StoreRequest::GrantLease { life } => Request::post(
            "/holds".to_owned(),
            encode_body(&GrantLeaseBody {
                life_ms: millis(*life),
            }),
            REQUEST_TIMEOUT,
        ),
        StoreRequest::KeepAliveLease { id } => {
            Request::post(format!("/holds/{id}/extend"), Vec::new(), REQUEST_TIMEOUT)
        }
    }
}

/// Parses the reply to a request. `None` means that no reply arrived in time.
pub fn parse_response(request: &StoreRequest, reply: Option<&Reply>) -> StoreResponse {
    let Some(reply) = reply else {
        return StoreResponse::Unknown;
    };
    match (reply.status, request) {
        (429 | 503, _) => StoreResponse::Refused,
        (200, StoreRequest::Get { .. }) => parse::<KeyValueBody>(reply),
        (404, StoreRequest::Get { .. }) => {
            parse_revision(reply, |revision| StoreResponse::Missing { revision })
        }
        (200, StoreRequest::Range { .. }) => parse::<RangePage>(reply),
        (200, StoreRequest::Commit(_)) => {
            parse_revision(reply, |revision| StoreResponse::Committed { revision })
        }
        (409, StoreRequest::Commit(_)) => StoreResponse::Conflict,
        (200, StoreRequest::Watch { .. }) => parse::<WatchResponse>(reply),
        (410, StoreRequest::Watch { .. }) => StoreResponse::Compacted,
        (200, StoreRequest::GrantLease { .. }) => parse::<LeaseBody>(reply),
        (200, StoreRequest::KeepAliveLease { id }) => StoreResponse::LeaseGranted { id: *id },
        (404, StoreRequest::KeepAliveLease { .. }) => StoreResponse::LeaseExpired,
        (400 | 404, _) => StoreResponse::Invalid,
        _ => StoreResponse::Unknown,
    }
}

/// Parses the body of a reply. A malformed body is [`StoreResponse::Unknown`], because it does not
/// tell whether the request was executed.
fn parse<T: DeserializeOwned + Into<StoreResponse>>(reply: &Reply) -> StoreResponse {
    decode_body::<T>(&reply.body).map_or(StoreResponse::Unknown, Into::into)
}

fn parse_revision(reply: &Reply, response: fn(u64) -> StoreResponse) -> StoreResponse {
    decode_body(&reply.body).map_or(StoreResponse::Unknown, |body: RevisionBody| {
        response(body.revision)
    })
}

impl From<KeyValueBody> for StoreResponse {
    fn from(body: KeyValueBody) -> Self {
        StoreResponse::Value {
            value: body.value,
            version: body.amended,
        }
    }
}

impl From<KeyValueBody> for KeyValue {
    fn from(body: KeyValueBody) -> Self {
        KeyValue {
            key: body.k,
            value: body.value,
            version: body.amended,
        }
    }
}

impl From<RangePage> for StoreResponse {
    fn from(page: RangePage) -> Self {
        StoreResponse::RangePage {
            key_values: page.rows.into_iter().map(KeyValue::from).collect(),
            more: page.more,
            revision: page.revision,
        }
    }
}

impl From<LeaseBody> for StoreResponse {
    fn from(lease: LeaseBody) -> Self {
        StoreResponse::LeaseGranted { id: lease.tenure }
    }
}

impl From<WatchResponse> for StoreResponse {
    fn from(response: WatchResponse) -> Self {
        StoreResponse::WatchEvents {
            revision: response.revision,
            changes: response
                .news
                .into_iter()
                .filter_map(change_from_event)
                .collect(),
        }
    }
}

/// Converts an event of a watch to a change. Returns `None` if the event names no key.
fn change_from_event(event: WatchEvent) -> Option<Change> {
    let (key, value) = match (event.put, event.remove) {
        (Some(key), _) => (key, event.value),
        (None, Some(key)) => (key, None),
        (None, None) => return None,
    };
    Some(Change {
        key,
        version: event.amended,
        value,
    })
}

#[cfg(test)]
mod tests;
