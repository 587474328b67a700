//! Accepts connections on a listener and bounds how many are open at a time.
//!
//! The service runs [`serve`] once for each of its two listeners. A connection over the limit is closed at once,
//! without a reply. A connection that does not send the headers of a request in time is closed too, so that idle or
//! slow clients can't exhaust the limit.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tracing::{debug, warn};
use warp::{Filter, Reply};

const HEADER_TIMEOUT: Duration = Duration::from_secs(20);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const ACCEPT_WARNING_INTERVAL: Duration = Duration::from_secs(10);
const MAX_HEADER_BUFFER_BYTES: usize = 32 * 1024;
/// The fraction of the limit above which workers are asked to close their connection after each reply, so that users
/// and health checks can still connect.
const NEAR_LIMIT_FRACTION: f64 = 0.7;

/// Bounds the number of connections that are open at a time. Clones share the count.
#[derive(Debug, Clone)]
pub struct ConnectionLimiter {
    available: Arc<Semaphore>,
    limit: usize,
}

impl ConnectionLimiter {
    /// Allows at most `limit` open connections.
    pub fn new(limit: usize) -> Self {
        ConnectionLimiter {
            available: Arc::new(Semaphore::new(limit)),
            limit,
        }
    }

    /// Returns a permit for one connection, which is released on drop, or none at the limit.
    pub(super) fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.available.clone().try_acquire_owned().ok()
    }

    /// Whether the open connections exceed `NEAR_LIMIT_FRACTION` of the limit.
    pub(super) fn near_limit(&self) -> bool {
        (self.available.available_permits() as f64)
            < self.limit as f64 * (1.0 - NEAR_LIMIT_FRACTION)
    }
}

/// Listens on an address and serves the routes to all connections that the limiter admits. Never returns without an
/// error.
///
/// # Errors
///
/// The address can't be bound. A failure to accept a connection is logged and retried.
pub async fn serve<F>(
    addr: SocketAddr,
    limiter: ConnectionLimiter,
    routes: F,
) -> std::io::Result<Infallible>
where
    F: Filter<Error = Infallible> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    let listener = TcpListener::bind(addr).await?;
    let service = warp::service(routes);
    let mut last_warning: Option<Instant> = None;
    loop {
        let (stream, remote) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                // The usual cause is a lack of sockets, which ends as connections are closed.
                if last_warning.is_none_or(|at| at.elapsed() > ACCEPT_WARNING_INTERVAL) {
                    last_warning = Some(Instant::now());
                    warn!(%addr, %error, "failed to accept connection");
                }
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(permit) = limiter.try_acquire() else {
            debug!(%remote, "connection rejected: connection limit reached");
            continue;
        };
        // Nagle's algorithm would delay a small reply until the previous one is acknowledged.
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(service.clone());
        tokio::spawn(async move {
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(MAX_HEADER_BUFFER_BYTES);
            let result = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = result {
                debug!(%remote, %error, "connection closed with an error");
            }
            drop(permit);
        });
    }
}

#[cfg(test)]
mod tests;
