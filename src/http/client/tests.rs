use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

/// The outcome of a request that is answered with these bytes before the connection is closed, or never if there are none.
async fn reply_to(sent: &'static [u8], timeout: Duration) -> Result<Reply, ClientError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 1024];
        let read = stream.read(&mut head).await.expect("a request");
        assert!(read > 0, "a request");
        if sent.is_empty() {
            return std::future::pending().await;
        }
        stream.write_all(sent).await.expect("sent");
    });
    Client::new(Duration::from_secs(1))
        .send(addr, Request::get("/".to_owned(), timeout))
        .await
}

#[tokio::test]
async fn a_refused_connection_a_timeout_and_a_truncated_reply_are_told_apart() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let closed = listener.local_addr().expect("bound");
    drop(listener);
    let patient = Duration::from_secs(5);
    let refused = Client::new(patient)
        .send(closed, Request::get("/".to_owned(), patient))
        .await;
    assert!(
        matches!(refused, Err(ClientError::Connect(_))),
        "{refused:?}"
    );
    let silent = reply_to(b"", Duration::from_millis(50)).await;
    assert!(
        matches!(silent, Err(ClientError::TimedOut(_))),
        "{silent:?}"
    );
    let garbage = reply_to(b"garbage\r\n\r\n", patient).await;
    assert!(
        matches!(garbage, Err(ClientError::Exchange(_))),
        "{garbage:?}"
    );
    let truncated = reply_to(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", patient).await;
    assert!(
        matches!(truncated, Err(ClientError::Body(_))),
        "{truncated:?}"
    );
    let invalid = Client::new(patient)
        .send(closed, Request::get("/ ".to_owned(), patient))
        .await;
    assert!(
        matches!(invalid, Err(ClientError::InvalidRequest(_))),
        "{invalid:?}"
    );
    let whole = reply_to(b"HTTP/1.1 404 No\r\ncontent-length: 4\r\n\r\nbody", patient).await;
    let whole = whole.expect("a status is no error");
    assert_eq!((whole.status, &whole.body[..]), (404, b"body".as_slice()));
}
