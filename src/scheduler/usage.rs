//! Resource usage by team and by class of jobs, compared with the teams' guarantees and limits.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::config::{Config, TeamLimits};
use crate::domain::{Job, Resources, Team};

/// Tolerance for rounding errors of floating-point sums: a task that fits exactly must still fit.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Resources in use by team, and within each team by class.
#[derive(Debug, Clone, Default)]
pub(super) struct Usage {
    teams: BTreeMap<Team, Resources>,
    classes: HashMap<(Team, Arc<str>), Resources>,
}

impl Usage {
    /// Adds one task of the job.
    pub(super) fn add(&mut self, job: &Job) {
        self.add_tasks(job, 1.0);
    }

    /// Adds `count` tasks of the job.
    pub(super) fn add_tasks(&mut self, job: &Job, count: f64) {
        let need = job.need.scaled(count);
        self.teams.entry(job.team.clone()).or_default().add(&need);
        self.classes
            .entry((job.team.clone(), job.class.clone()))
            .or_default()
            .add(&need);
    }

    /// Removes one task of the job.
    pub(super) fn remove(&mut self, job: &Job) {
        self.teams
            .entry(job.team.clone())
            .or_default()
            .subtract(&job.need);
        self.classes
            .entry((job.team.clone(), job.class.clone()))
            .or_default()
            .subtract(&job.need);
    }

    /// The resources that the team uses.
    pub(super) fn of_team(&self, team: &Team) -> Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// The resources that the class of the job uses within its team.
    pub(super) fn of_class(&self, job: &Job) -> Resources {
        self.classes
            .get(&(job.team.clone(), job.class.clone()))
            .copied()
            .unwrap_or_default()
    }

    /// How many more tasks of the job its team's limit allows.
    pub(super) fn tasks_within_limit(&self, config: &Config, job: &Job) -> u64 {
        let Some(limits) = config.team_limits(&job.team) else {
            return 0;
        };
        let used = self.of_team(&job.team);
        let left = Resources {
            cpus: (limits.max_cpus - used.cpus).max(0.0),
            gpus: (limits.max_gpus - used.gpus).max(0.0),
            memory_gb: f64::INFINITY,
        };
        u64::from(left.max_tasks(&job.need))
    }

    /// Whether one more task of the job stays within its team's limit.
    pub(super) fn within_limit(&self, config: &Config, job: &Job) -> bool {
        let Some(limits) = config.team_limits(&job.team) else {
            return false;
        };
        let used = self.of_team(&job.team);
        used.cpus + job.need.cpus <= limits.max_cpus + ROUNDING_TOLERANCE
            && used.gpus + job.need.gpus <= limits.max_gpus + ROUNDING_TOLERANCE
    }

    /// Whether one more task of the job stays within its team's guarantee.
    pub(super) fn within_guarantee(&self, config: &Config, job: &Job) -> bool {
        let Some(limits) = config.team_limits(&job.team) else {
            return false;
        };
        let used = self.of_team(&job.team);
        used.cpus + job.need.cpus <= limits.guaranteed_cpus + ROUNDING_TOLERANCE
            && used.gpus + job.need.gpus <= limits.guaranteed_gpus + ROUNDING_TOLERANCE
    }

    /// Whether the job's team would still use at least its guarantee without one of the job's tasks.
    pub(super) fn beyond_guarantee(&self, config: &Config, job: &Job) -> bool {
        let Some(limits) = config.team_limits(&job.team) else {
            return true;
        };
        let used = self.of_team(&job.team);
        used.cpus - job.need.cpus >= limits.guaranteed_cpus - ROUNDING_TOLERANCE
            && used.gpus - job.need.gpus >= limits.guaranteed_gpus - ROUNDING_TOLERANCE
    }

    /// The sum of the team's CPU usage and its GPU usage, each relative to its guarantee.
    pub(super) fn ratio_to_guarantee(&self, limits: &TeamLimits) -> f64 {
        let used = self.of_team(&limits.name);
        used.cpus / limits.guaranteed_cpus.max(1.0) + used.gpus / limits.guaranteed_gpus.max(1.0)
    }
}
