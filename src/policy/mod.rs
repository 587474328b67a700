//! What an operator may tune. The defaults are the design's starting values.

use std::time::Duration;

use crate::config::Config;

/// Tunable values, always within the bounds that the rules need.
#[derive(Debug, Clone)]
pub struct Policy {
    /// How often the provisioning rule runs.
    pub round: Duration,
    /// How long a controller may act on a grant without having read the state service.
    pub grant_life: Duration,
    /// How long a controller may be silent before its blocks are granted to others.
    pub suspect_after: Duration,
    /// How long a worker may be silent before its machine is given up, if a question went unanswered too.
    pub silent_after: Duration,
    /// The same for a worker that can't be asked.
    pub unheard_after: Duration,
    /// A machine is returned only after it has been idle for this many times its boot time.
    pub idle_boots: f64,
    /// A rented machine is kept at least this long, since a deleted machine costs a minute anyway.
    pub least_rental: Duration,
    /// How long a stock-out is believed.
    pub stockout_memory: Duration,
}

/// What is kept free between the last renewal of a worker's lease and the time a cancelled task must be gone.
const CANCEL_MARGIN: Duration = Duration::from_secs(4);
/// The design's starting value for the life of a grant.
const GRANT_LIFE: Duration = Duration::from_secs(30);

impl Policy {
    pub fn defaults(config: &Config) -> Self {
        Policy {
            round: Duration::from_millis(1000),
            grant_life: Self::longest_grant(config).min(GRANT_LIFE),
            suspect_after: Duration::from_millis(2500),
            silent_after: config.report_every.mul_f64(2.5),
            unheard_after: config.report_every * 4,
            idle_boots: 0.4,
            least_rental: Duration::from_secs(60),
            stockout_memory: Duration::from_secs(15),
        }
    }

    /// A holder that is cut off renews leases for the life of its grant, and a worker keeps its tasks for a
    /// lease longer. Both together must be over when a cancelled task has to be gone.
    pub fn longest_grant(config: &Config) -> Duration {
        config.cancel_within.saturating_sub(config.lease).saturating_sub(CANCEL_MARGIN).max(config.report_every)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::tests::SETTINGS;

    #[test]
    fn a_cut_off_holder_is_over_before_a_cancelled_task_must_be_gone() {
        let config = Config::parse("s.toml", SETTINGS).expect("valid");
        let policy = Policy::defaults(&config);
        assert!(policy.grant_life + config.lease < config.cancel_within);
        assert!(policy.grant_life > Duration::from_secs(20));
    }
}
