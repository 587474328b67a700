//! Cancellations that other controllers have reported and that the cache does not contain yet.
//!
//! [`super::WatchCache`] owns them, applies them to open jobs and removes them once its revision
//! has reached them. They are kept across a reload, since pages may have been read before a
//! cancellation was committed.

use std::collections::BTreeMap;

use crate::domain::JobId;

/// Maximum number of pending cancellations. If a cancellation cannot be stored, the job's tasks end
/// with their block lease.
pub(super) const MAX_PENDING_CANCELLATIONS: usize = 10_000;

/// A committed cancellation of a job.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cancellation {
    /// The version of the job's record that contains the cancellation.
    pub(super) version: u64,
    /// Milliseconds since the Unix epoch, by the clock of the controller that accepted it.
    pub(super) at_ms: u64,
}

/// Pending cancellations by job, at most [`MAX_PENDING_CANCELLATIONS`].
#[derive(Debug, Default)]
pub(super) struct PendingCancellations {
    by_job: BTreeMap<JobId, Cancellation>,
}

impl PendingCancellations {
    /// Stores a cancellation in place of an earlier one of the same job. Returns false if the limit
    /// is reached.
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

    /// Removes the cancellations that a cache at `revision` contains.
    pub(super) fn remove_up_to(&mut self, revision: u64) {
        self.by_job
            .retain(|_, cancellation| cancellation.version > revision);
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }
}
