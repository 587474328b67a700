//! HTTP/1.1 with CBOR bodies: the client, the server and the encoding of bodies.
//!
//! `client` sends requests to the state service, the cloud, workers and other controllers; `server` holds the routes
//! of the two listeners; `connections` accepts connections and bounds their number. The wire modules of `store`,
//! `cloud` and the job API build [`Request`]s and read [`Reply`]s; the service's event loop sends and serves them.
//!
//! Invariant: a request is sent at most once. After a lost reply the caller decides whether to retry, because the
//! request may have been executed.

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
    /// Changes state or has a body.
    Post,
}

/// A request to be sent, without its destination address.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query, with the leading slash.
    pub path: String,
    /// The encoded body; empty for a GET.
    pub body: Vec<u8>,
    /// The timeout for connecting, sending and reading the reply together.
    pub timeout: Duration,
    /// Whether to close the connection after the reply.
    pub close: bool,
}

impl Request {
    /// Builds a GET that keeps its connection open.
    pub fn get(path: String, timeout: Duration) -> Self {
        Request {
            method: Method::Get,
            path,
            body: Vec::new(),
            timeout,
            close: false,
        }
    }

    /// Builds a POST that keeps its connection open.
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

/// A complete reply.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The body, still encoded.
    pub body: Bytes,
}

/// The body is not CBOR of the expected type.
#[derive(Debug, thiserror::Error)]
#[error("malformed body: {0}")]
pub struct MalformedBody(#[from] ciborium::de::Error<std::io::Error>);

/// Encodes a value as a CBOR body.
pub fn encode_body(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Encoding these types to memory can't fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

/// Decodes a CBOR body. The fault is logged at debug level, because most callers handle all faults alike.
///
/// # Errors
///
/// The body is not CBOR or not of the expected type.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, MalformedBody> {
    ciborium::from_reader(body)
        .map_err(MalformedBody)
        .inspect_err(|error| debug!(%error, bytes = body.len(), "body could not be decoded"))
}
