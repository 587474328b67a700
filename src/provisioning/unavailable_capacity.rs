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
const ASK_AGAIN: Duration = Duration::from_secs(5);

/// Capacity that is believed to be unavailable.
#[derive(Debug, Default)]
pub(super) struct UnavailableCapacity {
    until: HashMap<ZonedPool, Instant>,
    /// When a type was last requested although it was believed unavailable.
    last_probe: BTreeMap<InstanceTypeName, Instant>,
}

impl UnavailableCapacity {
    /// Whether machines can be had, as far as is known.
    pub(super) fn is_available(&self, now: Now, capacity: &ZonedPool) -> bool {
        self.until(capacity).is_none_or(|at| now.monotonic >= at)
    }

    /// Until when machines are or were believed unavailable. None: they never were found so.
    pub(super) fn until(&self, capacity: &ZonedPool) -> Option<Instant> {
        self.until.get(capacity).copied()
    }

    /// Notes that the cloud could not grant all that was requested.
    pub(super) fn mark(&mut self, now: Now, capacity: ZonedPool, memory: Duration) {
        self.until.insert(capacity, now.monotonic + memory);
    }

    /// Whether a type that is believed unavailable may be requested again; if so, notes that it is. `spare`: whether
    /// there are writes to spare.
    pub(super) fn try_probe(
        &mut self,
        now: Now,
        type_name: &InstanceTypeName,
        spare: bool,
    ) -> bool {
        let last = self.last_probe.get(type_name);
        if !spare && last.is_some_and(|at| since(now, *at) < ASK_AGAIN) {
            return false;
        }
        self.last_probe.insert(type_name.clone(), now.monotonic);
        true
    }
}
