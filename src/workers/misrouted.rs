//! Machines of other controllers' blocks whose workers report here.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::config::Config;
use crate::domain::{MachineId, Now, since};

/// A worker whose holder does not respond comes round once in its time-out (4 s), a second's pause and the way there and
/// back.
const RETRY_CYCLE: Duration = Duration::from_secs(8);
/// Misrouted workers named in one message to the leader.
const MAX_MISROUTED_PER_STATUS: usize = 64;

/// For how long a machine counts as misrouted after its worker has reported to another controller than its holder.
pub fn misrouted_window(config: &Config) -> Duration {
    config.heartbeat_interval + RETRY_CYCLE
}

/// The misrouted workers that this controller has heard of, by machine.
#[derive(Debug, Default)]
pub(super) struct MisroutedWorkers {
    last_heartbeats: HashMap<MachineId, Instant>,
}

impl MisroutedWorkers {
    /// Notes a heartbeat that should have gone to the machine's holder.
    pub(super) fn record(&mut self, now: Now, machine: MachineId) {
        self.last_heartbeats.insert(machine, now.monotonic);
    }

    /// Some of the machines whose workers have reported here recently. Forgets the others.
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
