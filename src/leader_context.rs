//! The context that every leader component acts in: settings, the instance catalogue, the term and write limits.

use crate::cloud::InstanceCatalog;
use crate::config::Config;
use crate::domain::Term;
use crate::policy::Policy;

/// The settings, term and write limits that the leader's modules act with. The controller builds one per round.
#[derive(Clone, Copy)]
pub struct LeaderContext<'a> {
    /// The settings of this controller.
    pub config: &'a Config,
    /// The parameters that operators may tune.
    pub policy: &'a Policy,
    /// The instance types that the cloud offers.
    pub catalog: &'a InstanceCatalog,
    /// The term in which the leader acts.
    pub term: Term,
    /// The version of the leader record: every write of the leader is conditioned on it.
    pub record_version: u64,
    /// The maximum number of changes in one transaction, given the state service's rate limit.
    pub max_changes: usize,
    /// Whether the write rate limit currently leaves writes unused.
    pub has_spare_writes: bool,
}
