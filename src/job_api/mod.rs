//! The users' API: submit, poll, cancel.
//!
//! Accepted, cancelled and done are told only after their commit. Whatever is not final is answered from a
//! copy that is at least as new as the question, so that no controller tells less than another already has.

pub mod wire;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::cloud::InstanceCatalog;
use crate::config::Config;
use crate::domain::{Job, JobId, JobKind, JobOutcome, Now, Resources};
use crate::peer::CancelledJob;
use crate::store::rate_limiter::{RequestRateLimiter, WritePriority};
use crate::store::records::{JobRecord, PARTS_FORMAT, encode, job_key, json_size};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache};
use wire::{JobState, Malformed};

/// A question, told apart from all others of this process.
pub type RequestId = u64;

#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    State {
        status: u16,
        state: JobState,
    },
    /// `retry_after`: when to come back.
    Problem {
        status: u16,
        problem: &'static str,
        retry_after: Option<Duration>,
    },
}

#[derive(Debug, Clone)]
enum Question {
    Submit(JobId),
    Poll(JobId),
    Cancel(JobId),
}

#[derive(Debug, Clone)]
enum State {
    /// Until our copy is newer than the question.
    Refreshing,
    /// The transaction is kept, for it is sent again if the state service refuses it. `at_ms`: the time of day that it
    /// holds.
    Committing { txn: Transaction, at_ms: u64 },
}

#[derive(Debug)]
struct Pending {
    question: Question,
    state: State,
    /// The copy must be at least this new.
    asked: Instant,
    deadline: Instant,
}

/// Users wait 5 s for submissions and cancellations, and 2 s for polls.
const SUBMIT_WITHIN: Duration = Duration::from_secs(4);
const POLL_WITHIN: Duration = Duration::from_millis(1600);
/// A write that would wait longer than this is refused at once.
const LONGEST_QUEUE: Duration = Duration::from_millis(1500);
/// More open questions than this are refused at once.
const MOST_PENDING: usize = 500;

#[derive(Debug, Default)]
pub struct JobApi {
    pending: BTreeMap<RequestId, Pending>,
}

pub struct Context<'a, Tag> {
    pub config: &'a Config,
    pub catalog: &'a InstanceCatalog,
    pub cache: &'a mut WatchCache,
    pub rate_limiter: &'a mut RequestRateLimiter<Tag>,
    pub tag: fn(RequestId) -> Tag,
}

fn later(status: u16, problem: &'static str) -> Response {
    Response::Problem {
        status,
        problem,
        retry_after: Some(Duration::from_secs(1)),
    }
}

fn refuse(status: u16, problem: &'static str) -> Response {
    Response::Problem {
        status,
        problem,
        retry_after: None,
    }
}

impl JobApi {
    pub fn new() -> Self {
        JobApi::default()
    }

    pub fn submit<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        body: &[u8],
        cx: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        let (job_id, job) = match wire::parse(body, now.unix_ms()) {
            Ok(parsed) => parsed,
            Err(Malformed(problem)) => return Some(refuse(400, problem)),
        };
        if let Some(response) = ended(cx.cache, job_id) {
            return Some(response);
        }
        // What can't run is refused at once in an outage as well, unless it may be a job that was accepted once.
        let known = cx.cache.open.contains_key(&job_id);
        if cx.cache.ready()
            && cx.catalog.known()
            && !known
            && let Some(problem) = never_runs(cx.config, cx.catalog, &job)
        {
            return Some(refuse(422, problem));
        }
        let record = JobRecord::Open(job.clone());
        if !known && json_size(&encode(&record)) > cx.config.state_limits.value_bytes {
            return Some(refuse(400, "its names are too long to be kept"));
        }
        if let Some(response) = self.unable(now, cx) {
            return Some(response);
        }
        if job.kind == JobKind::Gang && cx.cache.format() < PARTS_FORMAT {
            return Some(later(503, "not all controllers know this shape yet"));
        }
        if known {
            return self.wait(now, id, Question::Submit(job_id), SUBMIT_WITHIN, cx);
        }
        if !cx.catalog.known() {
            return Some(later(503, "the machine types are not known yet"));
        }
        let delay = cx.rate_limiter.estimated_user_delay();
        if delay > LONGEST_QUEUE {
            let retry_after = Some(Duration::from_secs(delay.as_secs().clamp(1, 20)));
            return Some(Response::Problem {
                status: 429,
                problem: "too many submissions",
                retry_after,
            });
        }
        let at_ms = job.accepted_ms;
        let txn = Transaction::default()
            .when(job_key(job_id), 0)
            .put(job_key(job_id), &record);
        if cx
            .rate_limiter
            .push(
                WritePriority::User,
                (cx.tag)(id),
                StoreRequest::Commit(txn.clone()),
            )
            .is_err()
        {
            return Some(later(429, "too many requests"));
        }
        let question = Question::Submit(job_id);
        self.pending.insert(
            id,
            Pending {
                question,
                state: State::Committing { txn, at_ms },
                asked: now.monotonic,
                deadline: now.monotonic + SUBMIT_WITHIN,
            },
        );
        None
    }

    pub fn poll<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        job: &str,
        cx: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        let Ok(job) = job.parse() else {
            return Some(refuse(404, "no such job"));
        };
        self.ask(now, id, Question::Poll(job), job, POLL_WITHIN, cx)
    }

    pub fn cancel<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        job: &str,
        cx: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        let Ok(job) = job.parse() else {
            return Some(refuse(404, "no such job"));
        };
        self.ask(now, id, Question::Cancel(job), job, SUBMIT_WITHIN, cx)
    }

    fn ask<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        question: Question,
        job: JobId,
        within: Duration,
        cx: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        if let Some(response) = ended(cx.cache, job) {
            return Some(response);
        }
        if let Some(response) = self.unable(now, cx) {
            return Some(response);
        }
        self.wait(now, id, question, within, cx)
    }

    fn unable<Tag>(&self, now: Now, cx: &Context<'_, Tag>) -> Option<Response> {
        if !cx.cache.ready() || !cx.rate_limiter.available(now) {
            return Some(later(503, "the state service can't be reached"));
        }
        (self.pending.len() >= MOST_PENDING).then(|| later(429, "too many requests"))
    }

    fn wait<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        question: Question,
        within: Duration,
        cx: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        cx.cache.request_refresh();
        self.pending.insert(
            id,
            Pending {
                question,
                state: State::Refreshing,
                asked: now.monotonic,
                deadline: now.monotonic + within,
            },
        );
        None
    }

    /// The cancellation that this answer shows to be committed.
    pub fn cancelled(&self, id: RequestId, outcome: &StoreResponse) -> Option<CancelledJob> {
        let pending = self.pending.get(&id)?;
        match (&pending.question, &pending.state, outcome) {
            (
                Question::Cancel(job),
                State::Committing { at_ms, .. },
                StoreResponse::Committed { revision },
            ) => Some(CancelledJob::new(*job, *revision, *at_ms)),
            _ => None,
        }
    }

    /// What became of a commit.
    pub fn committed<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        outcome: &StoreResponse,
        cx: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        let pending = self.pending.get_mut(&id)?;
        let response = match (&pending.question, outcome) {
            (Question::Submit(job), StoreResponse::Committed { .. }) => Response::State {
                status: 201,
                state: JobState {
                    id: *job,
                    status: "queued",
                    done: 0,
                    running: 0,
                },
            },
            (Question::Cancel(job), StoreResponse::Committed { .. }) => Response::State {
                status: 200,
                state: JobState {
                    id: *job,
                    status: "cancelled",
                    done: 0,
                    running: 0,
                },
            },
            // Not executed, for all controllers together asked too much just then: most often it goes a moment later.
            (_, StoreResponse::Refused)
                if cx.rate_limiter.available(now)
                    && now.monotonic + LONGEST_QUEUE < pending.deadline =>
            {
                let State::Committing { txn, .. } = &pending.state else {
                    return None;
                };
                if cx
                    .rate_limiter
                    .push(
                        WritePriority::User,
                        (cx.tag)(id),
                        StoreRequest::Commit(txn.clone()),
                    )
                    .is_ok()
                {
                    return None;
                }
                later(429, "too many requests")
            }
            (_, StoreResponse::Conflict) => {
                // Somebody was first: see what they did.
                pending.state = State::Refreshing;
                pending.asked = now.monotonic;
                cx.cache.request_refresh();
                return None;
            }
            // It may or may not be committed. The user asks again, and either way gets the right answer then.
            _ => later(503, "the state service can't be reached"),
        };
        self.pending.remove(&id);
        Some(response)
    }

    /// Answers what can be answered by now.
    pub fn advance<Tag>(
        &mut self,
        now: Now,
        cx: &mut Context<'_, Tag>,
    ) -> Vec<(RequestId, Response)> {
        let mut answers = Vec::new();
        let available = cx.rate_limiter.available(now) && cx.cache.ready();
        let due: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| match pending.state {
                State::Refreshing => {
                    !available
                        || cx.cache.covers(pending.asked)
                        || now.monotonic >= pending.deadline
                }
                State::Committing { .. } => now.monotonic >= pending.deadline,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(pending) = self.pending.get_mut(&id) else {
                continue;
            };
            let covered =
                matches!(pending.state, State::Refreshing) && cx.cache.covers(pending.asked);
            if !covered {
                answers.push((id, later(503, "the state service is slow")));
                self.pending.remove(&id);
                continue;
            }
            let (Question::Submit(job) | Question::Poll(job) | Question::Cancel(job)) =
                pending.question;
            if let Some(response) = ended(cx.cache, job) {
                answers.push((id, response));
                self.pending.remove(&id);
                continue;
            }
            let Some(open) = cx.cache.open.get(&job) else {
                // A submission's conflict was with a job that we then don't see: never, but then not found.
                answers.push((id, refuse(404, "no such job")));
                self.pending.remove(&id);
                continue;
            };
            if matches!(pending.question, Question::Cancel(_)) && !open.cancelled {
                let at_ms = now.unix_ms();
                let value_bytes = cx.config.state_limits.value_bytes;
                let record = JobRecord::cancelled(&open.job, at_ms, value_bytes);
                let txn = Transaction::default()
                    .when(job_key(job), open.version)
                    .put(job_key(job), &record);
                pending.state = State::Committing {
                    txn: txn.clone(),
                    at_ms,
                };
                if cx
                    .rate_limiter
                    .push(WritePriority::User, (cx.tag)(id), StoreRequest::Commit(txn))
                    .is_err()
                {
                    answers.push((id, later(429, "too many requests")));
                    self.pending.remove(&id);
                }
                continue;
            }
            let running = cx.cache.placed(job).len() as u64;
            let status = match (open.cancelled, running) {
                (true, _) => "cancelled",
                (false, 0) => "queued",
                (false, _) => "running",
            };
            let state = JobState {
                id: job,
                status,
                done: open.done.len(),
                running,
            };
            answers.push((id, Response::State { status: 200, state }));
            self.pending.remove(&id);
        }
        answers
    }
}

/// Final states are final: they can be told from any copy, however old.
fn ended(cache: &WatchCache, job: JobId) -> Option<Response> {
    if !cache.ready() {
        return None;
    }
    let (end, tasks) = cache.ended.get(&job)?;
    let (status, done) = match end {
        JobOutcome::Done => ("done", u64::from(*tasks)),
        JobOutcome::Cancelled => ("cancelled", 0),
    };
    Some(Response::State {
        status: 200,
        state: JobState {
            id: job,
            status,
            done,
            running: 0,
        },
    })
}

/// Why a well-formed job can never run.
fn never_runs(config: &Config, catalog: &InstanceCatalog, job: &Job) -> Option<&'static str> {
    let Some(limits) = config.team(&job.team) else {
        return Some("unknown team");
    };
    if !catalog.fit(job) {
        return Some("a task fits no allowed machine type");
    }
    let at_once = match job.kind {
        JobKind::Service | JobKind::Gang => f64::from(job.tasks),
        JobKind::Array => 1.0,
    };
    let Resources { cpus, gpus, .. } = job.need;
    if cpus * at_once > limits.cpus_max + 1e-6 || gpus * at_once > limits.gpus_max + 1e-6 {
        return Some("needs more than the team's limit");
    }
    None
}

#[cfg(test)]
mod tests;
