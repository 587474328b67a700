use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

/// Sends a request to a stub that replies with these bytes and closes the connection, or never replies if there are
/// none.
async fn send_to_stub(reply: &'static [u8], timeout: Duration) -> Result<Reply, ClientError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut head = [0; 1024];
        let read = stream
            .read(&mut head)
            .await
            .expect("the client sends a request");
        assert!(read > 0, "the client sends a request");
        if reply.is_empty() {
            return std::future::pending().await;
        }
        stream.write_all(reply).await.expect("the reply is sent");
    });
    Client::new(Duration::from_secs(1))
        .send(addr, Request::get("/".to_owned(), timeout))
        .await
}

#[tokio::test]
async fn a_refused_connection_a_timeout_and_a_truncated_reply_are_different_errors() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let closed_addr = listener.local_addr().expect("the listener is bound");
    drop(listener);
    let long_timeout = Duration::from_secs(5);
    let refused = Client::new(long_timeout)
        .send(closed_addr, Request::get("/".to_owned(), long_timeout))
        .await;
    assert!(
        matches!(refused, Err(ClientError::Connect(_))),
        "{refused:?}"
    );
    let silent = send_to_stub(b"", Duration::from_millis(50)).await;
    assert!(
        matches!(silent, Err(ClientError::TimedOut(_))),
        "{silent:?}"
    );
    let garbage = send_to_stub(b"garbage\r\n\r\n", long_timeout).await;
    assert!(
        matches!(garbage, Err(ClientError::Exchange(_))),
        "{garbage:?}"
    );
    let truncated = send_to_stub(
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        long_timeout,
    )
    .await;
    assert!(
        matches!(truncated, Err(ClientError::Body(_))),
        "{truncated:?}"
    );
    let invalid = Client::new(long_timeout)
        .send(closed_addr, Request::get("/ ".to_owned(), long_timeout))
        .await;
    assert!(
        matches!(invalid, Err(ClientError::InvalidRequest(_))),
        "{invalid:?}"
    );
    let complete = send_to_stub(
        b"HTTP/1.1 404 No\r\ncontent-length: 4\r\n\r\nbody",
        long_timeout,
    )
    .await;
    let complete = complete.expect("a reply of any status is not an error");
    assert_eq!(
        (complete.status, &complete.body[..]),
        (404, b"body".as_slice())
    );
}
