//! Checks whether a well-formed job can ever run.

use crate::cloud::InstanceCatalog;
use crate::config::Config;
use crate::domain::{Job, JobKind, Resources};

/// Tolerance for rounding errors, because the compared amounts are products and sums of decimal fractions.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The reason why a job can never run under these settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub(super) enum UnschedulableReason {
    UnknownTeam,
    NoFittingInstanceType,
    TeamLimitExceeded,
}

impl UnschedulableReason {
    /// The error text in the response to the user.
    pub fn message(self) -> &'static str {
        match self {
            UnschedulableReason::UnknownTeam => "unknown team",
            UnschedulableReason::NoFittingInstanceType => "a task fits no allowed machine type",
            UnschedulableReason::TeamLimitExceeded => "needs more than the team's limit",
        }
    }
}

/// Returns the reason why a job can never run, if there is one.
pub(super) fn unschedulable_reason(
    config: &Config,
    catalog: &InstanceCatalog,
    job: &Job,
) -> Option<UnschedulableReason> {
    let Some(limits) = config.team_limits(&job.team) else {
        return Some(UnschedulableReason::UnknownTeam);
    };
    if !catalog.fits_job(job) {
        return Some(UnschedulableReason::NoFittingInstanceType);
    }
    let concurrent_tasks = match job.kind {
        JobKind::Service | JobKind::Gang => f64::from(job.tasks),
        JobKind::Array => 1.0,
    };
    let Resources { cpus, gpus, .. } = job.need;
    let exceeds = |need: f64, limit: f64| need * concurrent_tasks > limit + ROUNDING_TOLERANCE;
    (exceeds(cpus, limits.max_cpus) || exceeds(gpus, limits.max_gpus))
        .then_some(UnschedulableReason::TeamLimitExceeded)
}
