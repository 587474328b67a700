//! HTTP/1.1 with CBOR bodies: what a controller sends, what it serves, and how both are encoded.
//!
//! `client` sends requests to the state service, the cloud, workers and other controllers; `server` holds the routes of
//! the two listeners; `connections` accepts connections and bounds their number. The wire modules of `store`, `cloud` and
//! the job API build [`Request`]s and read [`Reply`]s; the service's event loop sends and serves them.
//!
//! Invariant: a request is sent at most once. Whether a lost reply is worth another request is for the caller to decide,
//! as the first may have been executed.

mod client;
pub mod connections;
pub mod server;

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tracing::debug;

pub use client::{Client, ClientError};

/// The methods that the protocols use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Reads; sent without a body.
    Get,
    /// Changes something, or carries a body.
    Post,
}

/// A request as it is to be sent, without the address it goes to.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query, from the slash on.
    pub path: String,
    /// The encoded body; empty for a GET.
    pub body: Vec<u8>,
    /// For connecting, sending and reading the reply together.
    pub timeout: Duration,
    /// Whether the connection is of no more use afterwards.
    pub close: bool,
}

impl Request {
    /// A GET whose connection is kept.
    pub fn get(path: String, timeout: Duration) -> Self {
        Request {
            method: Method::Get,
            path,
            body: Vec::new(),
            timeout,
            close: false,
        }
    }

    /// A POST whose connection is kept.
    pub fn post(path: String, body: Vec<u8>, timeout: Duration) -> Self {
        Request {
            method: Method::Post,
            path,
            body,
            timeout,
            close: false,
        }
    }
}

/// A reply that arrived whole.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The body, still encoded.
    pub body: Bytes,
}

/// The body is not the CBOR of what was expected.
#[derive(Debug, thiserror::Error)]
#[error("malformed body: {0}")]
pub struct MalformedBody(#[from] ciborium::de::Error<std::io::Error>);

/// Encodes a body.
pub fn encode_body(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing our own types to memory can't fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

/// Decodes a body. What is wrong with it is logged at debug level, as most callers answer all faults alike.
///
/// # Errors
///
/// The body is not CBOR, or not of the expected form.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, MalformedBody> {
    ciborium::from_reader(body)
        .map_err(MalformedBody)
        .inspect_err(|error| debug!(%error, bytes = body.len(), "body could not be decoded"))
}
