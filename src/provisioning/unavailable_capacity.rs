//! Which capacity the cloud does not have at present, as its responses to scale-out requests showed.
//!
//! An entry is believed for a while (`stockout_memory` of the policy) and then tried again. It is not recorded: a new
//! leader finds out anew.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::ZonedPool;
use crate::domain::{InstanceTypeName, Now, since};

/// When writes are scarce, a type that is unavailable everywhere is requested again this often, not in each round: each
/// request costs two changes.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Capacity that is believed to be unavailable.
#[derive(Debug, Default)]
pub(super) struct UnavailableCapacity {
    unavailable_until: HashMap<ZonedPool, Instant>,
    /// When a type was last requested although it was believed unavailable.
    last_probe_at: BTreeMap<InstanceTypeName, Instant>,
}

impl UnavailableCapacity {
    /// Whether machines can be had, as far as is known.
    pub(super) fn is_available(&self, now: Now, pool: &ZonedPool) -> bool {
        self.unavailable_until(pool)
            .is_none_or(|at| now.monotonic >= at)
    }

    /// Until when machines are or were believed unavailable. None: they never were found so.
    pub(super) fn unavailable_until(&self, pool: &ZonedPool) -> Option<Instant> {
        self.unavailable_until.get(pool).copied()
    }

    /// Notes that the cloud could not grant all that was requested.
    pub(super) fn mark_unavailable(&mut self, now: Now, pool: ZonedPool, duration: Duration) {
        self.unavailable_until
            .insert(pool, now.monotonic + duration);
    }

    /// Whether a type that is believed unavailable may be requested again; if so, notes that it is. `has_spare_writes`: whether
    /// there are writes to spare.
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
