//! Fair-share order: the order in which waiting jobs get releases, by guarantee, priority and usage.
//!
//! It is created for each plan. The next job is computed after each release, since a release changes the usage of teams.

use std::collections::{BTreeMap, VecDeque};

use super::usage::Usage;
use super::waiting::WaitingJob;
use crate::domain::{Job, JobKind, Priority, Team};
use crate::leader_context::LeaderContext;

/// Selects the job that gets the next release: replicas first, then teams within their guarantee, then by priority,
/// then the team with the least usage relative to its guarantee and share, then the class with the least usage.
pub(super) struct FairShareOrder {
    /// Indexes of waiting jobs, grouped by team, priority, kind and class. Jobs of a group keep their order, so only the
    /// first of each group is compared.
    groups: Vec<VecDeque<usize>>,
}

/// The sort key of a job, compared in the order of the fields. The least is served first.
#[derive(Debug, PartialEq, PartialOrd)]
struct Rank {
    not_replica: bool,
    beyond_guarantee: bool,
    priority: Priority,
    weighted_team_usage: f64,
    class_usage: f64,
}

impl FairShareOrder {
    /// Groups the waiting jobs, which are sorted by the order within a group.
    pub(super) fn new(waiting_jobs: &[WaitingJob<'_>]) -> Self {
        let mut groups: BTreeMap<(&Team, Priority, bool, &str), VecDeque<usize>> = BTreeMap::new();
        for (index, waiting) in waiting_jobs.iter().enumerate() {
            let job = &waiting.open.job;
            groups
                .entry((&job.team, job.priority, is_replica(job), &job.class))
                .or_default()
                .push_back(index);
        }
        FairShareOrder {
            groups: groups.into_values().collect(),
        }
    }

    /// Returns the index of the job that gets the next release, or `None` if no job is left.
    pub(super) fn next_index(
        &mut self,
        waiting_jobs: &[WaitingJob<'_>],
        usage: &Usage,
        leader: &LeaderContext<'_>,
    ) -> Option<usize> {
        let mut best: Option<(usize, Rank)> = None;
        for group in &mut self.groups {
            while group.front().is_some_and(|index| {
                waiting_jobs[*index].blocked || waiting_jobs[*index].pending_tasks == 0
            }) {
                group.pop_front();
            }
            let Some(index) = group.front().copied() else {
                continue;
            };
            let Some(rank) = rank(&waiting_jobs[index].open.job, usage, leader) else {
                continue;
            };
            if best.as_ref().is_none_or(|(_, best_rank)| rank < *best_rank) {
                best = Some((index, rank));
            }
        }
        best.map(|(index, _)| index)
    }
}

/// Returns the sort key of a job, or `None` if its team is unknown.
fn rank(job: &Job, usage: &Usage, leader: &LeaderContext<'_>) -> Option<Rank> {
    let limits = leader.config.team_limits(&job.team)?;
    let weight = leader
        .policy
        .team_shares
        .get(&job.team)
        .copied()
        .unwrap_or(1.0);
    let class_usage = usage.of_class(job);
    Some(Rank {
        not_replica: !is_replica(job),
        beyond_guarantee: !usage.within_guarantee(leader.config, job),
        priority: job.priority,
        weighted_team_usage: usage.ratio_to_guarantee(limits) / weight,
        class_usage: class_usage.cpus + class_usage.gpus,
    })
}

/// Whether the job's tasks are replicas of a production service.
pub(super) fn is_replica(job: &Job) -> bool {
    job.kind == JobKind::Service && job.priority == Priority::Production
}
