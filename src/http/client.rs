//! Sends requests over pooled connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::{Method, Reply, Request};

/// Larger than any response to a watch, which is the largest of all replies.
const MAX_REPLY_BYTES: usize = 16 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const MAX_IDLE_PER_HOST: usize = 4;

/// The reason why a request has no reply. After all errors but `InvalidRequest` and `Connect`, the request may have
/// been executed or may still be executed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The path and address don't form a valid URI.
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection was refused, the address is unreachable, or connecting timed out.
    #[error("connection failed: {0}")]
    Connect(#[source] hyper_util::client::legacy::Error),
    /// The connection ended before the headers of the reply arrived.
    #[error("no reply: {0}")]
    Exchange(#[source] hyper_util::client::legacy::Error),
    /// The body of the reply was truncated or is too large.
    #[error("incomplete reply: {0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The request's timeout passed before the reply was complete.
    #[error("no reply within {0:?}")]
    TimedOut(Duration),
}

/// A pool of connections. Clones share it.
#[derive(Clone)]
pub struct Client {
    pool: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a pool that closes a connection after it was idle for `idle_timeout`.
    pub fn new(idle_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pool = HyperClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout)
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .retry_canceled_requests(false)
            .build(connector);
        Client { pool }
    }

    /// Sends a request once and waits for the complete reply, of any status.
    ///
    /// # Errors
    ///
    /// There is no complete reply. [`ClientError`] says whether the request may have been executed.
    pub async fn send(&self, addr: SocketAddr, request: Request) -> Result<Reply, ClientError> {
        let timeout = request.timeout;
        tokio::time::timeout(timeout, self.exchange(build_request(addr, request)?))
            .await
            .unwrap_or(Err(ClientError::TimedOut(timeout)))
    }

    async fn exchange(&self, request: hyper::Request<Full<Bytes>>) -> Result<Reply, ClientError> {
        let response = self.pool.request(request).await.map_err(|error| {
            if error.is_connect() {
                ClientError::Connect(error)
            } else {
                ClientError::Exchange(error)
            }
        })?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES)
            .collect()
            .await
            .map_err(ClientError::Body)?
            .to_bytes();
        Ok(Reply { status, body })
    }
}

fn build_request(
    addr: SocketAddr,
    request: Request,
) -> Result<hyper::Request<Full<Bytes>>, hyper::http::Error> {
    let method = match request.method {
        Method::Get => hyper::Method::GET,
        Method::Post => hyper::Method::POST,
    };
    let mut builder = hyper::Request::builder()
        .method(method)
        .uri(format!("http://{addr}{}", request.path))
        .header(hyper::header::CONTENT_TYPE, "application/cbor");
    if request.close {
        builder = builder.header(hyper::header::CONNECTION, "close");
    }
    builder.body(Full::new(Bytes::from(request.body)))
}

#[cfg(test)]
mod tests;
