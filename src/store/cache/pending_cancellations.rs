//! Cancellations that other controllers have reported and the copy is too old to show.
//!
//! Owned by [`super::WatchCache`], which applies them to open jobs and forgets them once its revision has reached them. They
//! outlive a reload: pages may have been read before a cancellation was committed.

use std::collections::BTreeMap;

use crate::domain::JobId;

/// Cancellations kept at most. A job's tasks that are not stopped by them end with their block lease.
pub(super) const MAX_PENDING_CANCELLATIONS: usize = 10_000;

/// A committed cancellation of a job.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cancellation {
    /// The version of the job's record that says so.
    pub(super) version: u64,
    /// Milliseconds since the Unix epoch, by the clock of the controller that accepted it.
    pub(super) at_ms: u64,
}

/// The cancellations by job, at most [`MAX_PENDING_CANCELLATIONS`].
#[derive(Debug, Default)]
pub(super) struct PendingCancellations {
    by_job: BTreeMap<JobId, Cancellation>,
}

impl PendingCancellations {
    /// Keeps a cancellation, in place of an earlier one of the same job. False: there is no room for it.
    #[must_use]
    pub(super) fn insert(&mut self, job: JobId, cancellation: Cancellation) -> bool {
        let full = self.by_job.len() >= MAX_PENDING_CANCELLATIONS;
        if full && !self.by_job.contains_key(&job) {
            return false;
        }
        self.by_job.insert(job, cancellation);
        true
    }

    /// The cancellation of a job, if one is pending.
    pub(super) fn get(&self, job: JobId) -> Option<Cancellation> {
        self.by_job.get(&job).copied()
    }

    /// Forgets what a copy at `revision` shows by itself.
    pub(super) fn remove_up_to(&mut self, revision: u64) {
        self.by_job
            .retain(|_, cancellation| cancellation.version > revision);
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }
}
