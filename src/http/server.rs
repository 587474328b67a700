//! The two listeners: users, workers and health checks on one address, other controllers on the other.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dappleshore_drain::operator;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tracing::{debug, warn};
use warp::http::StatusCode;
use warp::reply::Response as HttpResponse;
use warp::{Filter, Rejection, Reply};

use super::{read, write};
use crate::domain::Now;
use crate::job_api::Response;
use crate::peer::Message;
use crate::workers::HeartbeatResponse;
use crate::workers::wire::{Heartbeat, Redirect};

/// A request with the place its answer goes to.
#[derive(Debug)]
pub enum IncomingRequest {
    Submit(Bytes, oneshot::Sender<Response>),
    Poll(String, oneshot::Sender<Response>),
    Cancel(String, oneshot::Sender<Response>),
    Health(oneshot::Sender<bool>),
    /// The answer comes with the time until which it may be given.
    Heartbeat(Heartbeat, oneshot::Sender<(HeartbeatResponse, Instant)>),
    Peer(Message),
    Operate(operator::Request, oneshot::Sender<operator::Reply>),
    Metrics(oneshot::Sender<String>),
}

/// The protocol's limit for request bodies.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// Work messages list everything that is wanted of a block.
const MAX_PEER_BODY_BYTES: u64 = 1 << 20;
/// A request must arrive within this; a connection that dawdles is closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);
const ACCEPT_WARNING_INTERVAL: Duration = Duration::from_secs(10);
/// Answers that the state machine owes; more waiting than this are refused at once.
pub const MAX_QUEUED_REQUESTS: usize = 1024;

#[derive(Serialize)]
struct Problem {
    error: &'static str,
}

fn reply_cbor(status: u16, value: &impl Serialize) -> HttpResponse {
    let mut response = HttpResponse::new(write(value).into());
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let cbor = warp::http::HeaderValue::from_static("application/cbor");
    response
        .headers_mut()
        .insert(warp::http::header::CONTENT_TYPE, cbor);
    response
}

fn busy() -> HttpResponse {
    answer(Response::Problem {
        status: 503,
        problem: "busy",
        retry_after: Some(Duration::from_secs(1)),
    })
}

fn answer(response: Response) -> HttpResponse {
    match response {
        Response::State { status, state } => reply_cbor(status, &state),
        Response::Problem {
            status,
            problem,
            retry_after,
        } => {
            let mut response = reply_cbor(status, &Problem { error: problem });
            if let Some(after) = retry_after {
                let seconds = after.as_secs().max(1).into();
                response
                    .headers_mut()
                    .insert(warp::http::header::RETRY_AFTER, seconds);
            }
            response
        }
    }
}

async fn ask<T>(
    events: mpsc::Sender<IncomingRequest>,
    make: impl FnOnce(oneshot::Sender<T>) -> IncomingRequest,
    show: impl FnOnce(T) -> HttpResponse,
) -> Result<HttpResponse, Infallible> {
    let (sender, receiver) = oneshot::channel();
    if events.try_send(make(sender)).is_err() {
        return Ok(busy());
    }
    Ok(receiver.await.map_or_else(|_| busy(), show))
}

fn body(limit: u64) -> impl Filter<Extract = (Bytes,), Error = Rejection> + Clone {
    warp::body::content_length_limit(limit).and(warp::body::bytes())
}

/// How many connections may be open at a time.
#[derive(Debug, Clone)]
pub struct ConnectionLimiter {
    open: Arc<Semaphore>,
    limit: usize,
}

/// The part of all connections beyond which workers are asked to close theirs after each answer. There are more workers
/// than sockets when one controller stands in for others, and users and health checks must still get in.
const NEAR_LIMIT_FRACTION: f64 = 0.7;

impl ConnectionLimiter {
    pub fn new(limit: usize) -> Self {
        ConnectionLimiter {
            open: Arc::new(Semaphore::new(limit)),
            limit,
        }
    }

    fn near_limit(&self) -> bool {
        (self.open.available_permits() as f64) < self.limit as f64 * (1.0 - NEAR_LIMIT_FRACTION)
    }
}

pub fn public_routes(
    events: mpsc::Sender<IncomingRequest>,
    limiter: ConnectionLimiter,
) -> impl Filter<Extract = (HttpResponse,), Error = Infallible> + Clone {
    let with = warp::any().map(move || events.clone());
    let submit = warp::path!("submissions")
        .and(warp::post())
        .and(body(MAX_BODY_BYTES))
        .and(with.clone())
        .and_then(|body, events| {
            ask(events, |reply| IncomingRequest::Submit(body, reply), answer).into_rejection()
        });
    let poll = warp::path!("submissions" / String)
        .and(warp::get())
        .and(with.clone())
        .and_then(|job, events| {
            ask(events, |reply| IncomingRequest::Poll(job, reply), answer).into_rejection()
        });
    let cancel = warp::path!("submissions" / String / "cancel")
        .and(warp::post())
        .and(with.clone())
        .and_then(|job, events| {
            ask(events, |reply| IncomingRequest::Cancel(job, reply), answer).into_rejection()
        });
    let health = warp::path!("up")
        .and(warp::get())
        .and(with.clone())
        .and_then(|events| {
            let show = |healthy| {
                if healthy {
                    reply_cbor(200, &"up")
                } else {
                    busy()
                }
            };
            ask(events, IncomingRequest::Health, show).into_rejection()
        });
    let heartbeat = warp::path!("v1" / "report")
        .and(warp::post())
        .and(body(MAX_BODY_BYTES))
        .and(with)
        .and_then(move |body: Bytes, events| {
            apply_heartbeat(body, events, limiter.clone()).into_rejection()
        });
    heartbeat
        .or(poll)
        .unify()
        .or(submit)
        .unify()
        .or(health)
        .unify()
        .or(cancel)
        .unify()
        .recover(refused)
        .unify()
}

async fn apply_heartbeat(
    body: Bytes,
    events: mpsc::Sender<IncomingRequest>,
    limiter: ConnectionLimiter,
) -> Result<HttpResponse, Infallible> {
    let Some(heartbeat) = read::<Heartbeat>(&body) else {
        return Ok(reply_cbor(
            400,
            &Problem {
                error: "malformed report",
            },
        ));
    };
    // We may have stood still since the answer was decided: a worker's lease is not renewed on an authority that is over.
    let show = |(answer, until)| {
        answer_worker(
            if Now::read().monotonic < until
                || !matches!(answer, HeartbeatResponse::WorkerCommands(_))
            {
                answer
            } else {
                HeartbeatResponse::Unavailable
            },
        )
    };
    let mut response = ask(
        events,
        |reply| IncomingRequest::Heartbeat(heartbeat, reply),
        show,
    )
    .await?;
    if limiter.near_limit() {
        let close = warp::http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(warp::http::header::CONNECTION, close);
    }
    Ok(response)
}

fn answer_worker(answer: HeartbeatResponse) -> HttpResponse {
    match answer {
        HeartbeatResponse::WorkerCommands(commands) => reply_cbor(200, &commands),
        HeartbeatResponse::Redirect(holder) => reply_cbor(421, &Redirect { holder }),
        HeartbeatResponse::Unavailable => busy(),
    }
}

pub fn peer_routes(
    events: mpsc::Sender<IncomingRequest>,
) -> impl Filter<Extract = (HttpResponse,), Error = Infallible> + Clone {
    let with = events.clone();
    let with_operations = events.clone();
    let operate = warp::path!("operate")
        .and(warp::post())
        .and(body(MAX_BODY_BYTES))
        .and_then(move |body: Bytes| {
            take_operation(body, with_operations.clone()).into_rejection()
        });
    let metrics = warp::path!("metrics").and(warp::get()).and_then(move || {
        ask(with.clone(), IncomingRequest::Metrics, |text| {
            HttpResponse::new(text.into())
        })
        .into_rejection()
    });
    warp::path!("peer")
        .and(warp::post())
        .and(body(MAX_PEER_BODY_BYTES))
        .map(move |body: Bytes| match read::<Message>(&body) {
            Some(message) => match events.try_send(IncomingRequest::Peer(message)) {
                Ok(()) => reply_cbor(200, &"taken"),
                Err(_) => busy(),
            },
            None => reply_cbor(
                400,
                &Problem {
                    error: "malformed message",
                },
            ),
        })
        .or(metrics)
        .unify()
        .or(operate)
        .unify()
        .recover(refused)
        .unify()
}

async fn take_operation(
    body: Bytes,
    events: mpsc::Sender<IncomingRequest>,
) -> Result<HttpResponse, Infallible> {
    let Some(request) = read::<operator::Request>(&body) else {
        let error = "malformed request";
        return Ok(reply_cbor(400, &Problem { error }));
    };
    let show = |reply: operator::Reply| reply_cbor(200, &reply);
    ask(
        events,
        |reply| IncomingRequest::Operate(request, reply),
        show,
    )
    .await
}

/// Shortens the filters above: our handlers answer everything themselves.
trait IntoRejection {
    fn into_rejection(self) -> impl Future<Output = Result<HttpResponse, Rejection>> + Send;
}

impl<F: Future<Output = Result<HttpResponse, Infallible>> + Send> IntoRejection for F {
    async fn into_rejection(self) -> Result<HttpResponse, Rejection> {
        match self.await {
            Ok(response) => Ok(response),
            Err(never) => match never {},
        }
    }
}

async fn refused(rejection: Rejection) -> Result<HttpResponse, Infallible> {
    use warp::reject::{LengthRequired, MethodNotAllowed, PayloadTooLarge};
    let (status, error) = if rejection.is_not_found() {
        (404, "no such path")
    } else if rejection.find::<PayloadTooLarge>().is_some() {
        (400, "the body is too large")
    } else if rejection.find::<LengthRequired>().is_some() {
        (400, "the body's length is missing")
    } else if rejection.find::<MethodNotAllowed>().is_some() {
        (405, "no such method")
    } else {
        (400, "malformed request")
    };
    Ok(reply_cbor(status, &Problem { error }))
}

/// Accepts connections until the process ends. More than the limiter lets in are closed at once.
pub async fn serve<F>(
    addr: SocketAddr,
    limiter: ConnectionLimiter,
    routes: F,
) -> std::io::Result<()>
where
    F: Filter<Error = Infallible> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    let listener = TcpListener::bind(addr).await?;
    let service = warp::service(routes);
    let mut warned: Option<Instant> = None;
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                // Out of sockets, most likely: some will be closed.
                if warned.is_none_or(|at| at.elapsed() > ACCEPT_WARNING_INTERVAL) {
                    warned = Some(Instant::now());
                    warn!(%error, "can't accept connections");
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = limiter.open.clone().try_acquire_owned() else {
            debug!(%from, "too many connections");
            continue;
        };
        // Small answers must not wait for the last one's acknowledgement.
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(service.clone());
        tokio::spawn(async move {
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(32 * 1024);
            if let Err(error) = builder
                .serve_connection(TokioIo::new(stream), service)
                .await
            {
                debug!(%from, %error, "connection ended");
            }
            drop(permit);
        });
    }
}

#[cfg(test)]
mod tests;
