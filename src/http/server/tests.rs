use ciborium::cbor;

use super::*;
use crate::job_api::wire::JobState;

/// Answers every request that reaches the state machine, so that a rejection is known to come from the routes.
pub fn spawn_event_loop_stub() -> mpsc::Sender<IncomingRequest> {
    let (sender, mut receiver) = mpsc::channel(8);
    tokio::spawn(async move {
        while let Some(incoming) = receiver.recv().await {
            let state = JobState {
                id: crate::domain::JobId(1),
                status: "queued",
                done: 0,
                running: 0,
            };
            let job_state = Response::State { status: 200, state };
            let unavailable = Response::Problem {
                status: 503,
                message: "later",
                retry_after: Some(Duration::from_secs(2)),
            };
            let _ = match incoming {
                IncomingRequest::Submit(_, reply) => reply.send(unavailable).is_ok(),
                IncomingRequest::Poll(_, reply) | IncomingRequest::Cancel(_, reply) => {
                    reply.send(job_state).is_ok()
                }
                IncomingRequest::Health(reply) => reply.send(true).is_ok(),
                IncomingRequest::Heartbeat(_, reply) => {
                    let authority_until = Instant::now() + Duration::from_secs(9);
                    reply
                        .send((
                            HeartbeatResponse::Redirect(Some("node-2".into())),
                            authority_until,
                        ))
                        .is_ok()
                }
                IncomingRequest::Metrics(reply) => {
                    reply.send("accept_ms_count 0\n".to_owned()).is_ok()
                }
                IncomingRequest::Peer(_) => true,
                IncomingRequest::Operate(_, reply) => {
                    reply.send(operator::Reply::Drains(Vec::new())).is_ok()
                }
            };
        }
    });
    sender
}

#[tokio::test]
async fn invalid_requests_are_rejected_by_the_routes_and_503_has_a_retry_after_header() {
    let routes = public_routes(spawn_event_loop_stub(), ConnectionLimiter::new(10));
    let large = vec![0u8; 64 * 1024 + 1];
    let cases: [(&str, &str, &[u8], u16); 10] = [
        ("POST", "/submissions", b"x", 503),
        ("POST", "/submissions", &large, 400),
        ("GET", "/submissions", b"", 405),
        ("GET", "/submissions/j-000001", b"", 200),
        ("POST", "/submissions/j-000001/cancel", b"", 200),
        ("GET", "/up", b"", 200),
        ("POST", "/v1/report", b"\xa1", 400),
        ("POST", "/v1/report", &large, 400),
        ("GET", "/nowhere", b"", 404),
        ("POST", "/peer", b"", 404),
    ];
    for (method, path, body, status) in cases {
        let reply = warp::test::request()
            .method(method)
            .path(path)
            .body(body)
            .reply(&routes)
            .await;
        assert_eq!(reply.status().as_u16(), status, "{method} {path}");
        let retry_after = reply
            .headers()
            .get("retry-after")
            .map(|value| value.as_bytes());
        assert_eq!(
            retry_after,
            (status == 503).then_some(b"2".as_slice()),
            "{method} {path}"
        );
    }
}

fn heartbeat() -> Vec<u8> {
    let heartbeat = cbor!({
        "berth" => "m-000231", "endpoint" => "10.1.0.232:9000", "berthKind" => "g8", "wing" => "a",
        "loaner" => true, "shift" => 1, "folio" => 88, "seal" => 41, "entries" => []
    });
    encode_body(&heartbeat.expect("the heartbeat is valid CBOR"))
}

/// With one and a half times the machines of the fleets, a single controller that serves all of them has more workers
/// than sockets.
#[tokio::test]
async fn workers_are_asked_to_close_near_the_connection_limit() {
    let limiter = ConnectionLimiter::new(10);
    let routes = public_routes(spawn_event_loop_stub(), limiter.clone());
    let asked_to_close = async || {
        let reply = warp::test::request()
            .method("POST")
            .path("/v1/report")
            .body(heartbeat())
            .reply(&routes)
            .await;
        reply
            .headers()
            .get("connection")
            .is_some_and(|value| value == "close")
    };
    assert!(!asked_to_close().await);
    let _permits: Vec<_> = (0..8)
        .map(|_| limiter.try_acquire().expect("the limit is not reached"))
        .collect();
    assert!(asked_to_close().await);
}

#[tokio::test]
async fn a_heartbeat_for_another_holder_is_redirected_there() {
    let reply = warp::test::request()
        .method("POST")
        .path("/v1/report")
        .body(heartbeat())
        .reply(&public_routes(
            spawn_event_loop_stub(),
            ConnectionLimiter::new(10),
        ))
        .await;
    assert_eq!(reply.status().as_u16(), 421);
    assert_eq!(
        decode_body::<ciborium::Value>(reply.body()).ok(),
        cbor!({"clerk" => "node-2"}).ok()
    );
}

#[tokio::test]
async fn metrics_are_served_on_the_peer_address_only() {
    let reply = warp::test::request()
        .path("/metrics")
        .reply(&peer_routes(spawn_event_loop_stub()))
        .await;
    assert_eq!(
        (reply.status().as_u16(), &reply.body()[..]),
        (200, b"accept_ms_count 0\n".as_slice())
    );
    let reply = warp::test::request()
        .path("/metrics")
        .reply(&public_routes(
            spawn_event_loop_stub(),
            ConnectionLimiter::new(10),
        ))
        .await;
    assert_eq!(reply.status().as_u16(), 404);
}
