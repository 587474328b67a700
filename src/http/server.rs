//! The routes of the two listeners: users, workers and health checks on one address, other controllers and operators on
//! the other.
//!
//! A handler decodes the request, queues it for the service's event loop with a channel for the reply, and encodes that
//! reply. By itself it only rejects malformed or too large bodies, unknown paths, and requests beyond
//! [`MAX_QUEUED_REQUESTS`].

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
    /// A user's poll of the job with this id.
    Poll(String, oneshot::Sender<Response>),
    /// A user's cancellation of the job with this id.
    Cancel(String, oneshot::Sender<Response>),
    /// A health check. The reply says whether this controller should receive requests.
    Health(oneshot::Sender<bool>),
    /// A worker's heartbeat. The reply comes with the time at which the authority to send it expires.
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
/// The body limit for messages between controllers, the largest of which list all assignments of a block.
const MAX_PEER_BODY_BYTES: u64 = 1 << 20;
/// The maximum number of requests queued for the state machine; requests beyond it are refused at once.
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

fn unavailable_response() -> HttpResponse {
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
            if let Some(delay) = retry_after {
                let seconds = delay.as_secs().max(1).into();
                response
                    .headers_mut()
                    .insert(warp::http::header::RETRY_AFTER, seconds);
            }
            response
        }
    }
}

async fn await_reply<T>(
    requests: mpsc::Sender<IncomingRequest>,
    make_request: impl FnOnce(oneshot::Sender<T>) -> IncomingRequest,
    to_response: impl FnOnce(T) -> HttpResponse,
) -> Result<HttpResponse, Infallible> {
    let (sender, receiver) = oneshot::channel();
    if requests.try_send(make_request(sender)).is_err() {
        return Ok(unavailable_response());
    }
    Ok(receiver
        .await
        .map_or_else(|_| unavailable_response(), to_response))
}

fn limited_body(limit: u64) -> impl Filter<Extract = (Bytes,), Error = Rejection> + Clone {
    warp::body::content_length_limit(limit).and(warp::body::bytes())
}

/// The routes for users, workers and health checks. Responses ask workers to close their connection while the limiter
/// is near its limit.
pub fn public_routes(
    requests: mpsc::Sender<IncomingRequest>,
    limiter: ConnectionLimiter,
) -> impl Filter<Extract = (HttpResponse,), Error = Infallible> + Clone {
    let request_sender = warp::any().map(move || requests.clone());
    let submit = warp::path!("submissions")
        .and(warp::post())
        .and(limited_body(MAX_BODY_BYTES))
        .and(request_sender.clone())
        .and_then(|body, requests| {
            await_reply(
                requests,
                |reply| IncomingRequest::Submit(body, reply),
                job_response,
            )
            .with_rejection_error()
        });
    let poll = warp::path!("submissions" / String)
        .and(warp::get())
        .and(request_sender.clone())
        .and_then(|job, requests| {
            await_reply(
                requests,
                |reply| IncomingRequest::Poll(job, reply),
                job_response,
            )
            .with_rejection_error()
        });
    let cancel = warp::path!("submissions" / String / "cancel")
        .and(warp::post())
        .and(request_sender.clone())
        .and_then(|job, requests| {
            await_reply(
                requests,
                |reply| IncomingRequest::Cancel(job, reply),
                job_response,
            )
            .with_rejection_error()
        });
    let health = warp::path!("up")
        .and(warp::get())
        .and(request_sender.clone())
        .and_then(|requests| {
            let to_response = |healthy| {
                if healthy {
                    cbor_response(200, &"up")
                } else {
                    unavailable_response()
                }
            };
            await_reply(requests, IncomingRequest::Health, to_response).with_rejection_error()
        });
    heartbeat_route(request_sender, limiter)
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
    request_sender: impl Filter<Extract = (mpsc::Sender<IncomingRequest>,), Error = Infallible>
    + Clone
    + Send
    + Sync
    + 'static,
    limiter: ConnectionLimiter,
) -> impl Filter<Extract = (HttpResponse,), Error = Rejection> + Clone {
    warp::path!("v1" / "report")
        .and(warp::post())
        .and(limited_body(MAX_BODY_BYTES))
        .and(request_sender)
        .and_then(move |body: Bytes, requests| {
            handle_heartbeat(body, requests, limiter.clone()).with_rejection_error()
        })
}

async fn handle_heartbeat(
    body: Bytes,
    requests: mpsc::Sender<IncomingRequest>,
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
    // The process may have been paused since the response was decided. A worker's lease must not be renewed after the
    // controller's own lease has expired.
    let to_response = |(response, authority_until)| {
        heartbeat_response(
            if Now::read().monotonic < authority_until
                || !matches!(response, HeartbeatResponse::Commands(_))
            {
                response
            } else {
                HeartbeatResponse::Unavailable
            },
        )
    };
    let mut response = await_reply(
        requests,
        |reply| IncomingRequest::Heartbeat(heartbeat, reply),
        to_response,
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

fn heartbeat_response(response: HeartbeatResponse) -> HttpResponse {
    match response {
        HeartbeatResponse::Commands(commands) => cbor_response(200, &commands),
        HeartbeatResponse::Redirect(holder) => cbor_response(421, &RedirectBody { holder }),
        HeartbeatResponse::Unavailable => unavailable_response(),
    }
}

/// The routes for other controllers, operators and the metrics collector.
pub fn peer_routes(
    requests: mpsc::Sender<IncomingRequest>,
) -> impl Filter<Extract = (HttpResponse,), Error = Infallible> + Clone {
    let request_sender = requests.clone();
    let operator_request_sender = requests.clone();
    let operate = warp::path!("operate")
        .and(warp::post())
        .and(limited_body(MAX_BODY_BYTES))
        .and_then(move |body: Bytes| {
            handle_operator_request(body, operator_request_sender.clone()).with_rejection_error()
        });
    let metrics = warp::path!("metrics").and(warp::get()).and_then(move || {
        await_reply(request_sender.clone(), IncomingRequest::Metrics, |text| {
            HttpResponse::new(text.into())
        })
        .with_rejection_error()
    });
    warp::path!("peer")
        .and(warp::post())
        .and(limited_body(MAX_PEER_BODY_BYTES))
        .map(move |body: Bytes| match decode_body::<Message>(&body) {
            Ok(message) => match requests.try_send(IncomingRequest::Peer(message)) {
                Ok(()) => cbor_response(200, &"taken"),
                Err(_) => unavailable_response(),
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

async fn handle_operator_request(
    body: Bytes,
    requests: mpsc::Sender<IncomingRequest>,
) -> Result<HttpResponse, Infallible> {
    let Ok(request) = decode_body::<operator::Request>(&body) else {
        let error = "malformed request";
        return Ok(cbor_response(400, &ErrorBody { error }));
    };
    let to_response = |reply: operator::Reply| cbor_response(200, &reply);
    await_reply(
        requests,
        |reply| IncomingRequest::Operate(request, reply),
        to_response,
    )
    .await
}

/// Converts a handler's error type to the one that filters require. Handlers never fail: they answer every error
/// themselves.
trait WithRejectionError {
    fn with_rejection_error(self) -> impl Future<Output = Result<HttpResponse, Rejection>> + Send;
}

impl<F: Future<Output = Result<HttpResponse, Infallible>> + Send> WithRejectionError for F {
    async fn with_rejection_error(self) -> Result<HttpResponse, Rejection> {
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
