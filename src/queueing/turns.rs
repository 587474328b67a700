//! Whose turn it is, within the teams' limits and by their guarantees and shares.

use std::collections::{BTreeMap, VecDeque};

use super::Waiting;
use crate::config::Config;
use crate::domain::{Job, Kind, Priority, Room, Team};
use crate::leadership::Lead;

/// How many more tasks of the job its team's limit allows.
pub(super) fn room_within_limit(config: &Config, job: &Job, usage: &BTreeMap<Team, Room>) -> u64 {
    let Some(limits) = config.team(&job.team) else { return 0 };
    let used = usage.get(&job.team).copied().unwrap_or_default();
    let left = Room {
        cpus: (limits.cpus_max - used.cpus).max(0.0),
        gpus: (limits.gpus_max - used.gpus).max(0.0),
        memory_gb: f64::INFINITY,
    };
    u64::from(left.count_of(&job.need))
}

/// Whether one more task of the job stays within its team's guarantee.
pub(super) fn within_guarantee(config: &Config, job: &Job, usage: &BTreeMap<Team, Room>) -> bool {
    let Some(limits) = config.team(&job.team) else { return false };
    let used = usage.get(&job.team).copied().unwrap_or_default();
    used.cpus + job.need.cpus <= limits.cpus + 1e-6 && used.gpus + job.need.gpus <= limits.gpus + 1e-6
}

/// Whether a task's team uses more than its guarantee, and would still use it all without the task.
pub(super) fn beyond_guarantee(config: &Config, job: &Job, usage: &BTreeMap<Team, Room>) -> bool {
    let Some(limits) = config.team(&job.team) else { return true };
    let used = usage.get(&job.team).copied().unwrap_or_default();
    used.cpus - job.need.cpus >= limits.cpus - 1e-6 && used.gpus - job.need.gpus >= limits.gpus - 1e-6
}

pub(super) fn within_limit(config: &Config, job: &Job, usage: &BTreeMap<Team, Room>) -> bool {
    let Some(limits) = config.team(&job.team) else { return false };
    let used = usage.get(&job.team).copied().unwrap_or_default();
    let slack = 1e-6;
    used.cpus + job.need.cpus <= limits.cpus_max + slack && used.gpus + job.need.gpus <= limits.gpus_max + slack
}

/// Whose turn it is: replicas first, then teams within their guarantee, then by priority, then the team that has
/// the least for its share. Jobs of one team, priority and kind are served in their order, so only the first of
/// each such line has to be compared.
pub(super) struct Turns {
    pub(super) lines: Vec<VecDeque<usize>>,
}

impl Turns {
    pub(super) fn new(queue: &[Waiting<'_>]) -> Self {
        let mut lines: BTreeMap<(&Team, Priority, bool), VecDeque<usize>> = BTreeMap::new();
        for (index, waiting) in queue.iter().enumerate() {
            let job = &waiting.open.job;
            lines.entry((&job.team, job.priority, is_replica(job))).or_default().push_back(index);
        }
        Turns { lines: lines.into_values().collect() }
    }

    pub(super) fn next(
        &mut self,
        queue: &[Waiting<'_>],
        usage: &BTreeMap<Team, Room>,
        lead: &Lead<'_>,
    ) -> Option<usize> {
        let Lead { config, policy, .. } = *lead;
        let mut best: Option<(usize, (bool, bool, Priority, f64))> = None;
        for line in &mut self.lines {
            while line.front().is_some_and(|index| queue[*index].blocked || queue[*index].left == 0) {
                line.pop_front();
            }
            let Some(index) = line.front().copied() else { continue };
            let job = &queue[index].open.job;
            let Some(limits) = config.team(&job.team) else { continue };
            let used = usage.get(&job.team).copied().unwrap_or_default();
            let beyond = !within_guarantee(config, job, usage);
            let weight = policy.team_shares.get(&job.team).copied().unwrap_or(1.0);
            let share = (used.cpus / limits.cpus.max(1.0) + used.gpus / limits.gpus.max(1.0)) / weight;
            let rank = (!is_replica(job), beyond, job.priority, share);
            if best.as_ref().is_none_or(|(_, least)| rank < *least) {
                best = Some((index, rank));
            }
        }
        best.map(|(index, _)| index)
    }
}

pub(super) fn is_replica(job: &Job) -> bool {
    job.kind == Kind::Service && job.priority == Priority::Production
}
