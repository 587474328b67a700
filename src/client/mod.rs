//! The operators' side of the exchange: asks controllers until one of them has answered or the time is over.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dappleshore_drain::operator::{Problem, ProblemKind, Reply, Request};

use crate::http::{self, read, write};

/// Where controllers take operators' requests, on the address that they use among themselves.
const PATH: &str = "/operate";
/// Longer than a controller takes for any answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Asks the controllers of one service.
pub struct Client {
    http: http::Client,
    controllers: Vec<SocketAddr>,
    /// How long a request may take in all.
    within: Duration,
}

impl Client {
    /// Of the controllers at these addresses.
    pub fn new(controllers: Vec<SocketAddr>, within: Duration) -> Self {
        Client {
            http: http::Client::new(REQUEST_TIMEOUT),
            controllers,
            within,
        }
    }

    /// The first answer that settles the request. Asking again is harmless: no request acts twice.
    pub async fn ask(&self, request: &Request) -> Result<Reply, Problem> {
        let deadline = Instant::now() + self.within;
        let mut last = self.nobody_answered();
        loop {
            for controller in &self.controllers {
                match self.ask_one(*controller, request, deadline).await {
                    Some(Reply::Problem(problem)) if problem.kind == ProblemKind::Unavailable => {
                        last = problem;
                    }
                    Some(Reply::Problem(problem)) => return Err(problem),
                    Some(Reply::Elsewhere { leader, .. }) => {
                        let message = format!("{leader} leads, but does not answer");
                        last = Problem::new(ProblemKind::Unavailable, message);
                    }
                    Some(reply) => return Ok(reply),
                    None => {}
                }
                if Instant::now() >= deadline {
                    return Err(last);
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
            if Instant::now() >= deadline {
                return Err(last);
            }
        }
    }

    fn nobody_answered(&self) -> Problem {
        let asked: Vec<String> = self.controllers.iter().map(SocketAddr::to_string).collect();
        let message = format!("no controller answers at {}", asked.join(", "));
        Problem::new(ProblemKind::Unavailable, message)
    }

    /// Asks one controller, and the one that it names as the leader.
    async fn ask_one(
        &self,
        controller: SocketAddr,
        request: &Request,
        deadline: Instant,
    ) -> Option<Reply> {
        let reply = self.exchange(controller, request, deadline).await?;
        if let Reply::Elsewhere { addr, .. } = &reply
            && let Ok(leader) = addr.parse()
            && let Some(answer) = self.exchange(leader, request, deadline).await
        {
            return Some(answer);
        }
        Some(reply)
    }

    async fn exchange(
        &self,
        controller: SocketAddr,
        request: &Request,
        deadline: Instant,
    ) -> Option<Reply> {
        let left = deadline.saturating_duration_since(Instant::now());
        let timeout = left.min(REQUEST_TIMEOUT);
        let request = http::Request::post(PATH.to_owned(), write(request), timeout);
        let reply = self.http.send(controller, request).await?;
        if reply.status == 200 {
            read(&reply.body)
        } else {
            None
        }
    }
}
