use ciborium::cbor;

use super::*;
use crate::job_api::wire::JobState;

/// Answers whatever reaches the state machine, so that the rest is seen to be refused before.
fn events() -> mpsc::Sender<IncomingRequest> {
    let (sender, mut receiver) = mpsc::channel(8);
    tokio::spawn(async move {
        while let Some(incoming) = receiver.recv().await {
            let state = JobState {
                id: crate::domain::JobId(1),
                status: "queued",
                done: 0,
                running: 0,
            };
            let found = Response::State { status: 200, state };
            let wait = Response::Problem {
                status: 503,
                problem: "later",
                retry_after: Some(Duration::from_secs(2)),
            };
            let _ = match incoming {
                IncomingRequest::Submit(_, reply) => reply.send(wait).is_ok(),
                IncomingRequest::Poll(_, reply) | IncomingRequest::Cancel(_, reply) => {
                    reply.send(found).is_ok()
                }
                IncomingRequest::Health(reply) => reply.send(true).is_ok(),
                IncomingRequest::Heartbeat(_, reply) => {
                    let until = Instant::now() + Duration::from_secs(9);
                    reply
                        .send((HeartbeatResponse::Redirect(Some("node-2".into())), until))
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
async fn bad_requests_are_refused_at_the_edge_and_refusals_say_when_to_come_back() {
    let routes = public_routes(events(), ConnectionLimiter::new(10));
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
        let retry = reply
            .headers()
            .get("retry-after")
            .map(|value| value.as_bytes());
        assert_eq!(
            retry,
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
    write(&heartbeat.expect("valid"))
}

/// At one and a half times the fleets' machines one controller for all has more workers than sockets.
#[tokio::test]
async fn workers_are_asked_to_close_when_connections_run_short() {
    let limiter = ConnectionLimiter::new(10);
    let routes = public_routes(events(), limiter.clone());
    let closes = async || {
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
    assert!(!closes().await);
    let _taken = limiter
        .open
        .clone()
        .try_acquire_many_owned(8)
        .expect("free");
    assert!(closes().await);
}

/// Connections that say nothing, or half a request, must not keep others out for good, and no more of them are held
/// than the limiter lets in.
#[tokio::test]
async fn stuck_connections_are_bounded_and_do_not_hold_up_others() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpStream;
    let probe = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = probe.local_addr().expect("bound");
    drop(probe);
    const LIMIT: usize = 60;
    tokio::spawn(serve(
        addr,
        ConnectionLimiter::new(LIMIT),
        public_routes(events(), ConnectionLimiter::new(LIMIT)),
    ));
    let connect = async || {
        loop {
            match TcpStream::connect(addr).await {
                Ok(stream) => return stream,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    };
    let healthy = async || {
        let mut stream = connect().await;
        stream
            .write_all(b"GET /up HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            .await
            .expect("sent");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.is_ok() && answer.starts_with(b"HTTP/1.1 200")
    };
    let mut stuck = Vec::new();
    for n in 0..LIMIT - 1 {
        let mut stream = connect().await;
        if n % 2 == 0 {
            let half = b"POST /v1/report HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\n\r\nhalf";
            stream.write_all(half).await.expect("sent");
        }
        stuck.push(stream);
    }
    assert!(healthy().await, "there is room for one more");
    for _ in 0..LIMIT * 2 {
        stuck.push(connect().await);
    }
    assert!(!healthy().await, "more than the limiter lets in");
    stuck.clear();
    while !healthy().await {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_heartbeat_for_another_holder_is_redirected_there() {
    let reply = warp::test::request()
        .method("POST")
        .path("/v1/report")
        .body(heartbeat())
        .reply(&public_routes(events(), ConnectionLimiter::new(10)))
        .await;
    assert_eq!(reply.status().as_u16(), 421);
    assert_eq!(
        read::<ciborium::Value>(reply.body()),
        cbor!({"clerk" => "node-2"}).ok()
    );
}

#[tokio::test]
async fn metrics_are_shown_to_peers_only() {
    let reply = warp::test::request()
        .path("/metrics")
        .reply(&peer_routes(events()))
        .await;
    assert_eq!(
        (reply.status().as_u16(), &reply.body()[..]),
        (200, b"accept_ms_count 0\n".as_slice())
    );
    let reply = warp::test::request()
        .path("/metrics")
        .reply(&public_routes(events(), ConnectionLimiter::new(10)))
        .await;
    assert_eq!(reply.status().as_u16(), 404);
}
