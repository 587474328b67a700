//! Sends operators' requests to the controllers until one gives a final reply or the timeout has passed.
//!
//! Used by the command line. A controller that is not the leader replies with the leader's address, and the request is sent
//! there. Controllers that don't reply are retried in turn.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dappleshore_drain::operator::{Problem, ProblemKind, Reply, Request};
use tracing::debug;

use crate::http::{self, decode_body, encode_body};

/// The path of operators' requests, on the address that controllers use for messages to each other.
const OPERATE_PATH: &str = "/operate";
/// Longer than a controller takes to reply to any request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Why one controller gave no reply.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    #[error(transparent)]
    Http(#[from] http::ClientError),
    #[error("status {0}")]
    Status(u16),
    #[error(transparent)]
    Malformed(#[from] http::MalformedBody),
}

/// Sends requests to the controllers of one service.
pub struct OperatorClient {
    http: http::Client,
    controllers: Vec<SocketAddr>,
    /// The timeout of a request, including all retries.
    timeout: Duration,
}

impl OperatorClient {
    /// Creates a client that tries these controllers in this order. `timeout` applies to a request with all its retries.
    pub fn new(controllers: Vec<SocketAddr>, timeout: Duration) -> Self {
        OperatorClient {
            http: http::Client::new(REQUEST_TIMEOUT),
            controllers,
            timeout,
        }
    }

    /// Sends a request and returns the first final reply. The request may be sent several times; requests are idempotent.
    ///
    /// # Errors
    ///
    /// The problem that a controller reports, or `Unavailable` if none could decide the request in time.
    pub async fn send(&self, request: &Request) -> Result<Reply, Problem> {
        let deadline = Instant::now() + self.timeout;
        let mut last_problem = self.no_reply();
        loop {
            for controller in &self.controllers {
                match self
                    .send_following_leader(*controller, request, deadline)
                    .await
                {
                    Ok(Reply::Problem(problem)) if problem.kind == ProblemKind::Unavailable => {
                        last_problem = problem;
                    }
                    Ok(Reply::Problem(problem)) => return Err(problem),
                    Ok(Reply::NotLeader { leader, .. }) => {
                        let message = format!("{leader} is the leader, but does not reply");
                        last_problem = Problem::new(ProblemKind::Unavailable, message);
                    }
                    Ok(reply) => return Ok(reply),
                    Err(error) => debug!(%controller, %error, "no reply from controller"),
                }
                if Instant::now() >= deadline {
                    return Err(last_problem);
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
            if Instant::now() >= deadline {
                return Err(last_problem);
            }
        }
    }

    fn no_reply(&self) -> Problem {
        let addresses: Vec<String> = self.controllers.iter().map(SocketAddr::to_string).collect();
        let message = format!("no controller replies at {}", addresses.join(", "));
        Problem::new(ProblemKind::Unavailable, message)
    }

    /// Sends a request to a controller, and to the leader if the controller names another one.
    async fn send_following_leader(
        &self,
        controller: SocketAddr,
        request: &Request,
        deadline: Instant,
    ) -> Result<Reply, ExchangeError> {
        let reply = self.exchange(controller, request, deadline).await?;
        if let Reply::NotLeader { addr, .. } = &reply
            && let Ok(leader) = addr.parse()
            && let Ok(answer) = self.exchange(leader, request, deadline).await
        {
            return Ok(answer);
        }
        Ok(reply)
    }

    async fn exchange(
        &self,
        controller: SocketAddr,
        request: &Request,
        deadline: Instant,
    ) -> Result<Reply, ExchangeError> {
        let left = deadline.saturating_duration_since(Instant::now());
        let timeout = left.min(REQUEST_TIMEOUT);
        let request = http::Request::post(OPERATE_PATH.to_owned(), encode_body(request), timeout);
        let reply = self.http.send(controller, request).await?;
        if reply.status != 200 {
            return Err(ExchangeError::Status(reply.status));
        }
        Ok(decode_body(&reply.body)?)
    }
}
