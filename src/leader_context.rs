//! What every component of the leader needs to act: settings, the catalogue and the authority of its term.

use crate::cloud::InstanceCatalog;
use crate::config::Config;
use crate::domain::Term;
use crate::policy::Policy;

/// What the leader's modules need to know to act in its term. The controller makes one for each round.
#[derive(Clone, Copy)]
pub struct LeaderContext<'a> {
    /// The settings.
    pub config: &'a Config,
    /// What operators may tune.
    pub policy: &'a Policy,
    /// The instance types that the cloud offers.
    pub catalog: &'a InstanceCatalog,
    /// The term in which the leader acts.
    pub term: Term,
    /// The leader record's version: the authority of every write.
    pub record_version: u64,
    /// The changes that one transaction should not exceed, by the state service's rate.
    pub max_changes: usize,
    /// Whether there are writes to spare just now.
    pub has_spare_writes: bool,
}
