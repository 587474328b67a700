//! HTTP at the edge: one client for all we call, with CBOR bodies.

pub mod server;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

#[derive(Debug, Clone)]
pub struct Request {
    pub post: bool,
    pub path: String,
    pub body: Vec<u8>,
    pub timeout: Duration,
    /// Whether the connection is of no more use afterwards.
    pub close: bool,
}

impl Request {
    pub fn get(path: String, timeout: Duration) -> Self {
        Request {
            post: false,
            path,
            body: Vec::new(),
            timeout,
            close: false,
        }
    }

    pub fn post(path: String, body: Vec<u8>, timeout: Duration) -> Self {
        Request {
            post: true,
            path,
            body,
            timeout,
            close: false,
        }
    }
}

#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub body: Bytes,
}

pub fn write(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing our own types to memory can't fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

pub fn read<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    ciborium::from_reader(body).ok()
}

/// No answer that we ask for is larger: a watch has no limit, but this much is more than it can hold.
const MAX_REPLY_BYTES: usize = 16 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const MAX_IDLE_PER_HOST: usize = 4;

#[derive(Clone)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// `idle`: how long connections are kept that nothing goes over.
    pub fn new(idle: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = HyperClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle)
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            // A request is sent once: what to do about a lost answer is for the slices to decide.
            .retry_canceled_requests(false)
            .build(connector);
        Client { inner }
    }

    /// None: no answer. The request may have been executed, or may still be.
    pub async fn send(&self, addr: SocketAddr, request: Request) -> Option<Reply> {
        let method = if request.post {
            hyper::Method::POST
        } else {
            hyper::Method::GET
        };
        let mut built = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{addr}{}", request.path))
            .header(hyper::header::CONTENT_TYPE, "application/cbor");
        if request.close {
            built = built.header(hyper::header::CONNECTION, "close");
        }
        let built = built.body(Full::new(Bytes::from(request.body))).ok()?;
        let exchange = async {
            let response = self.inner.request(built).await.ok()?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_REPLY_BYTES)
                .collect()
                .await
                .ok()?
                .to_bytes();
            Some(Reply { status, body })
        };
        tokio::time::timeout(request.timeout, exchange)
            .await
            .ok()
            .flatten()
    }
}
