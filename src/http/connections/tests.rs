use super::*;
use crate::http::server::public_routes;
use crate::http::server::tests::spawn_event_loop_stub;

/// Connections that send nothing or an incomplete request must not block others permanently, and their number is
/// bounded by the limiter.
#[tokio::test]
async fn stalled_connections_are_bounded_and_do_not_block_others() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpStream;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("the listener is bound");
    drop(listener);
    const LIMIT: usize = 60;
    tokio::spawn(serve(
        addr,
        ConnectionLimiter::new(LIMIT),
        public_routes(spawn_event_loop_stub(), ConnectionLimiter::new(LIMIT)),
    ));
    let connect = async || {
        loop {
            match TcpStream::connect(addr).await {
                Ok(stream) => return stream,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    };
    let health_check_succeeds = async || {
        let mut stream = connect().await;
        stream
            .write_all(b"GET /up HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            .await
            .expect("the request is sent");
        let mut reply = Vec::new();
        stream.read_to_end(&mut reply).await.is_ok() && reply.starts_with(b"HTTP/1.1 200")
    };
    let mut open_connections = Vec::new();
    for n in 0..LIMIT - 1 {
        let mut stream = connect().await;
        if n % 2 == 0 {
            let incomplete_request =
                b"POST /v1/report HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\n\r\nhalf";
            stream
                .write_all(incomplete_request)
                .await
                .expect("the request is sent");
        }
        open_connections.push(stream);
    }
    assert!(
        health_check_succeeds().await,
        "one connection is left below the limit"
    );
    for _ in 0..LIMIT * 2 {
        open_connections.push(connect().await);
    }
    assert!(
        !health_check_succeeds().await,
        "connections beyond the limit are closed"
    );
    open_connections.clear();
    while !health_check_succeeds().await {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
