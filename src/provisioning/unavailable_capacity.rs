//! Capacity that the cloud does not have at present, according to its responses to scale-out requests.
//!
//! An entry is valid for a time (`unavailable_capacity_ttl` of the policy), then the capacity is requested again.
//! Entries are not recorded: a new leader builds them up again from its own requests.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::ZonedPool;
use crate::domain::{InstanceTypeName, Now, since};

/// While writes are scarce, a type that is unavailable everywhere is requested again at this interval instead of in
/// each round, because each request costs two changes.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Capacity that is believed to be unavailable.
#[derive(Debug, Default)]
pub(super) struct UnavailableCapacity {
    unavailable_until: HashMap<ZonedPool, Instant>,
    /// When a type was last requested although it was believed unavailable.
    last_probe_at: BTreeMap<InstanceTypeName, Instant>,
}

impl UnavailableCapacity {
    /// Whether machines of the pool are believed to be available.
    pub(super) fn is_available(&self, now: Now, pool: &ZonedPool) -> bool {
        self.unavailable_until(pool)
            .is_none_or(|at| now.monotonic >= at)
    }

    /// Until when the pool is or was believed unavailable. None: it was never found unavailable.
    pub(super) fn unavailable_until(&self, pool: &ZonedPool) -> Option<Instant> {
        self.unavailable_until.get(pool).copied()
    }

    /// Marks a pool as unavailable for `duration` after the cloud could not grant all machines requested.
    pub(super) fn mark_unavailable(&mut self, now: Now, pool: ZonedPool, duration: Duration) {
        self.unavailable_until
            .insert(pool, now.monotonic + duration);
    }

    /// Whether a type that is believed unavailable may be requested again now; if so, records the time.
    /// `has_spare_writes`: whether the rate limit of the state service leaves writes to spare.
    pub(super) fn try_probe(
        &mut self,
        now: Now,
        type_name: &InstanceTypeName,
        has_spare_writes: bool,
    ) -> bool {
        let last = self.last_probe_at.get(type_name);
        if !has_spare_writes && last.is_some_and(|at| since(now, *at) < PROBE_INTERVAL) {
            return false;
        }
        self.last_probe_at.insert(type_name.clone(), now.monotonic);
        true
    }
}
