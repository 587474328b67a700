use super::*;
use crate::http::server::public_routes;
use crate::http::server::tests::events;

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
