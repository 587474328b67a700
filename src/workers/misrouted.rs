//! Tracks workers that report to this controller although another one holds their block.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::config::Config;
use crate::domain::{MachineId, Now, since};

/// The longest time between two heartbeats of a worker to this controller while its holder does not respond: the worker's
/// timeout of 4 s, its pause of 1 s before it tries the next controller, and the round trips.
const RETRY_CYCLE: Duration = Duration::from_secs(8);
/// The maximum number of misrouted workers in one status message to the leader.
const MAX_MISROUTED_PER_STATUS: usize = 64;

/// How long a machine counts as misrouted after its worker reported to a controller that is not its holder.
pub fn misrouted_window(config: &Config) -> Duration {
    config.heartbeat_interval + RETRY_CYCLE
}

/// The misrouted workers that have reported to this controller, by machine.
#[derive(Debug, Default)]
pub(super) struct MisroutedWorkers {
    last_heartbeats: HashMap<MachineId, Instant>,
}

impl MisroutedWorkers {
    /// Records a heartbeat that should have gone to the holder of the machine's block.
    pub(super) fn record(&mut self, now: Now, machine: MachineId) {
        self.last_heartbeats.insert(machine, now.monotonic);
    }

    /// Returns up to `MAX_MISROUTED_PER_STATUS` machines whose workers reported here within the window, and removes the
    /// entries that are older.
    pub(super) fn recent(&mut self, now: Now, config: &Config) -> Vec<MachineId> {
        let window = misrouted_window(config);
        self.last_heartbeats
            .retain(|_, at| since(now, *at) < window);
        self.last_heartbeats
            .keys()
            .take(MAX_MISROUTED_PER_STATUS)
            .cloned()
            .collect()
    }
}
