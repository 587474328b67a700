//! The routes of the two listeners: users, workers and health checks on one address, other controllers and operators on
//! the other.
//!
//! A handler decodes the request, queues it for the service's event loop with a channel for the reply, and encodes that
//! reply. It decides nothing itself but what it can refuse: malformed or too large bodies, unknown paths, and requests
//! beyond [`MAX_QUEUED_REQUESTS`].

use std::convert::Infallible;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dappleshore_drain::operator;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use warp::http::StatusCode;
use warp::reply::Response as HttpResponse;
use warp::{Filter, Rejection};

use super::connections::ConnectionLimiter;
use super::{decode_body, encode_body};
use crate::domain::Now;
use crate::job_api::Response;
use crate::peer::Message;
use crate::workers::HeartbeatResponse;
use crate::workers::wire::{Heartbeat, RedirectBody};

/// A request for the state machine, with the channel for its reply.
#[derive(Debug)]
pub enum IncomingRequest {
    /// A user's submission, still encoded.
    Submit(Bytes, oneshot::Sender<Response>),
    /// A user's question about the job of this id.
    Poll(String, oneshot::Sender<Response>),
    /// A user's cancellation of the job of this id.
    Cancel(String, oneshot::Sender<Response>),
    /// Whether this controller should get requests.
    Health(oneshot::Sender<bool>),
    /// A worker's heartbeat. The reply comes with the time until which it may be sent.
    Heartbeat(Heartbeat, oneshot::Sender<(HeartbeatResponse, Instant)>),
    /// Another controller's message, which has no reply.
    Peer(Message),
    /// An operator's request.
    Operate(operator::Request, oneshot::Sender<operator::Reply>),
    /// The metrics as text.
    Metrics(oneshot::Sender<String>),
}

/// The protocol's limit for request bodies.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// The largest messages between controllers list all assignments of a block.
const MAX_PEER_BODY_BYTES: u64 = 1 << 20;
/// Requests that wait for the state machine; more than these are refused at once.
pub const MAX_QUEUED_REQUESTS: usize = 1024;

#[derive(Serialize)]
struct ErrorBody {
    error: &'static str,
}

fn cbor_response(status: u16, value: &impl Serialize) -> HttpResponse {
    let mut response = HttpResponse::new(encode_body(value).into());
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let cbor = warp::http::HeaderValue::from_static("application/cbor");
    response
        .headers_mut()
        .insert(warp::http::header::CONTENT_TYPE, cbor);
    response
}

fn unavailable() -> HttpResponse {
    job_response(Response::Problem {
        status: 503,
        message: "busy",
        retry_after: Some(Duration::from_secs(1)),
    })
}

fn job_response(response: Response) -> HttpResponse {
    match response {
        Response::State { status, state } => cbor_response(status, &state),
        Response::Problem {
            status,
            message,
            retry_after,
        } => {
            let mut response = cbor_response(status, &ErrorBody { error: message });
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

async fn await_reply<T>(
    events: mpsc::Sender<IncomingRequest>,
    make: impl FnOnce(oneshot::Sender<T>) -> IncomingRequest,
    show: impl FnOnce(T) -> HttpResponse,
) -> Result<HttpResponse, Infallible> {
    let (sender, receiver) = oneshot::channel();
    if events.try_send(make(sender)).is_err() {
        return Ok(unavailable());
    }
    Ok(receiver.await.map_or_else(|_| unavailable(), show))
}

fn body(limit: u64) -> impl Filter<Extract = (Bytes,), Error = Rejection> + Clone {
    warp::body::content_length_limit(limit).and(warp::body::bytes())
}

/// What users, workers and health checks may ask. Workers are asked to close their connection while the limiter is near its
/// limit.
pub fn public_routes(
    events: mpsc::Sender<IncomingRequest>,
    limiter: ConnectionLimiter,
) -> impl Filter<Extract = (HttpResponse,), Error = Infallible> + Clone {
    let event_sender = warp::any().map(move || events.clone());
    let submit = warp::path!("submissions")
        .and(warp::post())
        .and(body(MAX_BODY_BYTES))
        .and(event_sender.clone())
        .and_then(|body, events| {
            await_reply(
                events,
                |reply| IncomingRequest::Submit(body, reply),
                job_response,
            )
            .into_rejection()
        });
    let poll = warp::path!("submissions" / String)
        .and(warp::get())
        .and(event_sender.clone())
        .and_then(|job, events| {
            await_reply(
                events,
                |reply| IncomingRequest::Poll(job, reply),
                job_response,
            )
            .into_rejection()
        });
    let cancel = warp::path!("submissions" / String / "cancel")
        .and(warp::post())
        .and(event_sender.clone())
        .and_then(|job, events| {
            await_reply(
                events,
                |reply| IncomingRequest::Cancel(job, reply),
                job_response,
            )
            .into_rejection()
        });
    let health = warp::path!("up")
        .and(warp::get())
        .and(event_sender.clone())
        .and_then(|events| {
            let show = |healthy| {
                if healthy {
                    cbor_response(200, &"up")
                } else {
                    unavailable()
                }
            };
            await_reply(events, IncomingRequest::Health, show).into_rejection()
        });
    heartbeat_route(event_sender, limiter)
        .or(poll)
        .unify()
        .or(submit)
        .unify()
        .or(health)
        .unify()
        .or(cancel)
        .unify()
        .recover(rejection_response)
        .unify()
}

fn heartbeat_route(
    event_sender: impl Filter<Extract = (mpsc::Sender<IncomingRequest>,), Error = Infallible>
    + Clone
    + Send
    + Sync
    + 'static,
    limiter: ConnectionLimiter,
) -> impl Filter<Extract = (HttpResponse,), Error = Rejection> + Clone {
    warp::path!("v1" / "report")
        .and(warp::post())
        .and(body(MAX_BODY_BYTES))
        .and(event_sender)
        .and_then(move |body: Bytes, events| {
            apply_heartbeat(body, events, limiter.clone()).into_rejection()
        })
}

async fn apply_heartbeat(
    body: Bytes,
    events: mpsc::Sender<IncomingRequest>,
    limiter: ConnectionLimiter,
) -> Result<HttpResponse, Infallible> {
    let Ok(heartbeat) = decode_body::<Heartbeat>(&body) else {
        return Ok(cbor_response(
            400,
            &ErrorBody {
                error: "malformed report",
            },
        ));
    };
    // The process may have been paused since the reply was decided: a worker's lease is not renewed after the
    // controller's own has expired.
    let show = |(answer, until)| {
        heartbeat_response(
            if Now::read().monotonic < until || !matches!(answer, HeartbeatResponse::Commands(_)) {
                answer
            } else {
                HeartbeatResponse::Unavailable
            },
        )
    };
    let mut response = await_reply(
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

fn heartbeat_response(answer: HeartbeatResponse) -> HttpResponse {
    match answer {
        HeartbeatResponse::Commands(commands) => cbor_response(200, &commands),
        HeartbeatResponse::Redirect(holder) => cbor_response(421, &RedirectBody { holder }),
        HeartbeatResponse::Unavailable => unavailable(),
    }
}

/// What other controllers, operators and the collector of metrics may ask.
pub fn peer_routes(
    events: mpsc::Sender<IncomingRequest>,
) -> impl Filter<Extract = (HttpResponse,), Error = Infallible> + Clone {
    let event_sender = events.clone();
    let operation_sender = events.clone();
    let operate = warp::path!("operate")
        .and(warp::post())
        .and(body(MAX_BODY_BYTES))
        .and_then(move |body: Bytes| {
            apply_operation(body, operation_sender.clone()).into_rejection()
        });
    let metrics = warp::path!("metrics").and(warp::get()).and_then(move || {
        await_reply(event_sender.clone(), IncomingRequest::Metrics, |text| {
            HttpResponse::new(text.into())
        })
        .into_rejection()
    });
    warp::path!("peer")
        .and(warp::post())
        .and(body(MAX_PEER_BODY_BYTES))
        .map(move |body: Bytes| match decode_body::<Message>(&body) {
            Ok(message) => match events.try_send(IncomingRequest::Peer(message)) {
                Ok(()) => cbor_response(200, &"taken"),
                Err(_) => unavailable(),
            },
            Err(_) => cbor_response(
                400,
                &ErrorBody {
                    error: "malformed message",
                },
            ),
        })
        .or(metrics)
        .unify()
        .or(operate)
        .unify()
        .recover(rejection_response)
        .unify()
}

async fn apply_operation(
    body: Bytes,
    events: mpsc::Sender<IncomingRequest>,
) -> Result<HttpResponse, Infallible> {
    let Ok(request) = decode_body::<operator::Request>(&body) else {
        let error = "malformed request";
        return Ok(cbor_response(400, &ErrorBody { error }));
    };
    let show = |reply: operator::Reply| cbor_response(200, &reply);
    await_reply(
        events,
        |reply| IncomingRequest::Operate(request, reply),
        show,
    )
    .await
}

/// Gives a handler the error type that filters need: handlers answer everything themselves.
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

async fn rejection_response(rejection: Rejection) -> Result<HttpResponse, Infallible> {
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
    Ok(cbor_response(status, &ErrorBody { error }))
}

#[cfg(test)]
pub(super) mod tests;
