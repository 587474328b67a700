//! The users' API: submits, polls and cancels jobs.
//!
//! Owns the pending requests. The controller passes in each request, the response to each transaction that this module
//! queued, and, at each event, the current watch cache; the controller sends the responses that this module returns.
//!
//! Invariants: a job is reported as accepted or cancelled only after the transaction is committed. A state that is not
//! final is read from a watch cache at least as new as the request, so that no controller reports an older state than
//! another controller has already reported.

mod admission;
mod responses;
pub mod wire;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::cloud::InstanceCatalog;
use crate::config::Config;
use crate::domain::{Job, JobId, JobKind, Now};
use crate::peer::CancelledJob;
use crate::store::rate_limiter::{RequestPriority, RequestRateLimiter};
use crate::store::records::{JobRecord, PARTS_FORMAT, encode, job_key, json_size};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache};
use admission::unschedulable_reason;
use responses::{final_state, idle_state, open_state, reject, retry_later};

pub use responses::Response;

/// The number of a request, unique in this process.
pub type RequestId = u64;

/// The operation that a user requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Operation {
    Submit,
    Poll,
    Cancel,
}

#[derive(Debug, Clone)]
enum RequestState {
    /// Waits until the watch cache is at least as new as the request.
    Refreshing,
    /// Waits for the response to the transaction, which is kept because it is sent again if the state service refuses
    /// it. `recorded_ms` is the time of day stored in the record, in milliseconds of Unix time.
    Committing {
        transaction: Transaction,
        recorded_ms: u64,
    },
}

#[derive(Debug)]
struct PendingRequest {
    operation: Operation,
    job: JobId,
    state: RequestState,
    /// The watch cache must be at least this new.
    fresh_since: Instant,
    deadline: Instant,
}

/// Users wait 5 s for a response to a submission or a cancellation, and 2 s for one to a poll.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(4);
const POLL_TIMEOUT: Duration = Duration::from_millis(1600);
/// A write with a longer estimated queueing delay is refused at once.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(1500);
/// Requests beyond this number of pending ones are refused at once.
const MAX_PENDING_REQUESTS: usize = 500;

/// The pending requests of users.
#[derive(Debug, Default)]
pub struct JobApi {
    pending: BTreeMap<RequestId, PendingRequest>,
}

/// The data that requests are decided from, and the queue for their transactions.
pub struct Context<'a, Tag> {
    /// The settings.
    pub config: &'a Config,
    /// The machine types that the cloud offers.
    pub catalog: &'a InstanceCatalog,
    /// The watch cache of the records.
    pub cache: &'a mut WatchCache,
    /// Queues transactions for the state service.
    pub rate_limiter: &'a mut RequestRateLimiter<Tag>,
    /// Makes the tag of a request's transaction, by which the controller passes the response to
    /// [`JobApi::handle_store_response`].
    pub store_tag: fn(RequestId) -> Tag,
}

impl<Tag> Context<'_, Tag> {
    fn queue_commit(&mut self, id: RequestId, transaction: Transaction) -> Result<(), Response> {
        let commit = StoreRequest::Commit(transaction);
        self.rate_limiter
            .push(RequestPriority::User, (self.store_tag)(id), commit)
            .map_err(|_| retry_later(429, "too many requests"))
    }
}

impl JobApi {
    /// Creates the API without pending requests.
    pub fn new() -> Self {
        JobApi::default()
    }

    /// Submits the job in an encoded body. Returns the response if it is known at once.
    pub fn submit<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        body: &[u8],
        context: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        let (job_id, job) = match wire::parse(body, now.unix_ms()) {
            Ok(parsed) => parsed,
            Err(error) => return Some(reject(400, error.message())),
        };
        if let Some(response) = final_state(context.cache, job_id) {
            return Some(response);
        }
        let already_open = context.cache.open_jobs.contains_key(&job_id);
        let record = JobRecord::Open(job.clone());
        if !already_open && let Some(response) = invalid_job_response(context, &job, &record) {
            return Some(response);
        }
        if let Some(response) = self.unavailable_response(now, context) {
            return Some(response);
        }
        if job.kind == JobKind::Gang && context.cache.format() < PARTS_FORMAT {
            return Some(retry_later(503, "not all controllers know this shape yet"));
        }
        if already_open {
            return self.await_refresh(now, id, Operation::Submit, job_id, context);
        }
        self.commit_job(now, id, job_id, job.accepted_ms, &record, context)
    }

    fn commit_job<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        job: JobId,
        recorded_ms: u64,
        record: &JobRecord,
        context: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        if !context.catalog.is_loaded() {
            return Some(retry_later(503, "the machine types are not known yet"));
        }
        let delay = context.rate_limiter.estimated_user_delay();
        if delay > MAX_WRITE_DELAY {
            return Some(Response::Problem {
                status: 429,
                message: "too many submissions",
                retry_after: Some(Duration::from_secs(delay.as_secs().clamp(1, 20))),
            });
        }
        let transaction = Transaction::default()
            .require_version(job_key(job), 0)
            .put(job_key(job), record);
        if let Err(response) = context.queue_commit(id, transaction.clone()) {
            return Some(response);
        }
        self.pending.insert(
            id,
            PendingRequest {
                operation: Operation::Submit,
                job,
                state: RequestState::Committing {
                    transaction,
                    recorded_ms,
                },
                fresh_since: now.monotonic,
                deadline: now.monotonic + SUBMIT_TIMEOUT,
            },
        );
        None
    }

    /// Requests the state of the job with this id. Returns the response if it is known at once.
    pub fn poll<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        job: &str,
        context: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        self.poll_or_cancel(now, id, Operation::Poll, job, context)
    }

    /// Cancels the job with this id. Returns the response if it is known at once.
    pub fn cancel<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        job: &str,
        context: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        self.poll_or_cancel(now, id, Operation::Cancel, job, context)
    }

    fn poll_or_cancel<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        operation: Operation,
        job: &str,
        context: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        let Ok(job) = job.parse() else {
            return Some(reject(404, "no such job"));
        };
        if let Some(response) = final_state(context.cache, job) {
            return Some(response);
        }
        if let Some(response) = self.unavailable_response(now, context) {
            return Some(response);
        }
        self.await_refresh(now, id, operation, job, context)
    }

    /// The error response if the state service is unreachable or too many requests are pending.
    fn unavailable_response<Tag>(&self, now: Now, context: &Context<'_, Tag>) -> Option<Response> {
        if !context.cache.is_loaded() || !context.rate_limiter.available(now) {
            return Some(retry_later(503, "the state service can't be reached"));
        }
        (self.pending.len() >= MAX_PENDING_REQUESTS).then(|| retry_later(429, "too many requests"))
    }

    /// Makes a request wait for a watch cache that is at least as new as the request.
    fn await_refresh<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        operation: Operation,
        job: JobId,
        context: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        let timeout = match operation {
            Operation::Submit | Operation::Cancel => SUBMIT_TIMEOUT,
            Operation::Poll => POLL_TIMEOUT,
        };
        context.cache.request_refresh();
        self.pending.insert(
            id,
            PendingRequest {
                operation,
                job,
                state: RequestState::Refreshing,
                fresh_since: now.monotonic,
                deadline: now.monotonic + timeout,
            },
        );
        None
    }

    /// The cancellation that is committed according to this response to a request's transaction.
    pub fn committed_cancellation(
        &self,
        id: RequestId,
        outcome: &StoreResponse,
    ) -> Option<CancelledJob> {
        let pending = self.pending.get(&id)?;
        match (pending.operation, &pending.state, outcome) {
            (
                Operation::Cancel,
                RequestState::Committing { recorded_ms, .. },
                StoreResponse::Committed { revision },
            ) => Some(CancelledJob::new(pending.job, *revision, *recorded_ms)),
            _ => None,
        }
    }

    /// Handles the response to a request's transaction. Returns the user's response unless the request stays pending.
    pub fn handle_store_response<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        outcome: &StoreResponse,
        context: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        let pending = self.pending.get_mut(&id)?;
        let response = match (pending.operation, outcome) {
            (Operation::Submit, StoreResponse::Committed { .. }) => {
                idle_state(201, pending.job, "queued", 0)
            }
            (Operation::Cancel, StoreResponse::Committed { .. }) => {
                idle_state(200, pending.job, "cancelled", 0)
            }
            // The transaction was not executed because all controllers together exceeded the request rate. A retry a
            // moment later usually succeeds.
            (_, StoreResponse::Refused)
                if context.rate_limiter.available(now)
                    && now.monotonic + MAX_WRITE_DELAY < pending.deadline =>
            {
                let RequestState::Committing { transaction, .. } = &pending.state else {
                    return None;
                };
                context.queue_commit(id, transaction.clone()).err()?
            }
            (_, StoreResponse::Conflict) => {
                // Another request changed the record first; read the new state.
                pending.state = RequestState::Refreshing;
                pending.fresh_since = now.monotonic;
                context.cache.request_refresh();
                return None;
            }
            // The transaction may or may not be committed. A repeated request gets the right response in both cases.
            _ => retry_later(503, "the state service can't be reached"),
        };
        self.pending.remove(&id);
        Some(response)
    }

    /// Returns the responses to pending requests that can be answered now or have timed out.
    pub fn resolve_pending<Tag>(
        &mut self,
        now: Now,
        context: &mut Context<'_, Tag>,
    ) -> Vec<(RequestId, Response)> {
        let available = context.rate_limiter.available(now) && context.cache.is_loaded();
        let due: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| match pending.state {
                RequestState::Refreshing => {
                    !available
                        || context.cache.is_current_as_of(pending.fresh_since)
                        || now.monotonic >= pending.deadline
                }
                RequestState::Committing { .. } => now.monotonic >= pending.deadline,
            })
            .map(|(id, _)| *id)
            .collect();
        let mut responses = Vec::new();
        for id in due {
            if let Some(response) = self.resolve(now, id, context) {
                self.pending.remove(&id);
                responses.push((id, response));
            }
        }
        responses
    }

    /// Returns the response to a due request, or none if the request now waits for a transaction.
    fn resolve<Tag>(
        &mut self,
        now: Now,
        id: RequestId,
        context: &mut Context<'_, Tag>,
    ) -> Option<Response> {
        let pending = self.pending.get_mut(&id)?;
        let refreshed = matches!(pending.state, RequestState::Refreshing)
            && context.cache.is_current_as_of(pending.fresh_since);
        if !refreshed {
            return Some(retry_later(503, "the state service is slow"));
        }
        let job = pending.job;
        if let Some(response) = final_state(context.cache, job) {
            return Some(response);
        }
        let Some(open) = context.cache.open_jobs.get(&job) else {
            // A submission conflicts only with an existing job, which the refreshed cache contains.
            return Some(reject(404, "no such job"));
        };
        if pending.operation != Operation::Cancel || open.cancelled {
            return Some(open_state(context.cache, job, open));
        }
        let recorded_ms = now.unix_ms();
        let value_bytes = context.config.state_limits.value_bytes;
        let record = JobRecord::cancelled(&open.job, recorded_ms, value_bytes);
        let transaction = Transaction::default()
            .require_version(job_key(job), open.version)
            .put(job_key(job), &record);
        pending.state = RequestState::Committing {
            transaction: transaction.clone(),
            recorded_ms,
        };
        context.queue_commit(id, transaction).err()
    }
}

/// The error response to an invalid job. It is sent during an outage of the state service too.
fn invalid_job_response<Tag>(
    context: &Context<'_, Tag>,
    job: &Job,
    record: &JobRecord,
) -> Option<Response> {
    // Without a loaded cache the job may already be accepted.
    if context.cache.is_loaded()
        && context.catalog.is_loaded()
        && let Some(reason) = unschedulable_reason(context.config, context.catalog, job)
    {
        return Some(reject(422, reason.message()));
    }
    (json_size(&encode(record)) > context.config.state_limits.value_bytes)
        .then(|| reject(400, "its names are too long to be kept"))
}

#[cfg(test)]
mod tests;
