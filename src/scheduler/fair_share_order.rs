//! Fair share: the order in which waiting tasks are served, by the teams' guarantees, the priorities and the shares.
//!
//! Made anew for each plan, which asks for the next task after each release: the usage of the teams changes with it.

use std::collections::{BTreeMap, VecDeque};

use super::usage::Usage;
use super::waiting::WaitingJob;
use crate::domain::{Job, JobKind, Priority, Team};
use crate::leader_context::LeaderContext;

/// The order in which waiting tasks are served: replicas first, then teams within their guarantee, then by priority,
/// then the team that has the least for its share, then the class of that team that has the least. Jobs of one team,
/// priority, kind and class are served in their order, so only the first of each such line has to be compared.
pub(super) struct FairShareOrder {
    groups: Vec<VecDeque<usize>>,
}

/// What the lines are compared by; the least is served first.
#[derive(Debug, PartialEq, PartialOrd)]
struct Rank {
    not_replica: bool,
    beyond_guarantee: bool,
    priority: Priority,
    team_share: f64,
    class_usage: f64,
}

impl FairShareOrder {
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

/// None: its team is unknown.
fn rank(job: &Job, usage: &Usage, leader: &LeaderContext<'_>) -> Option<Rank> {
    let limits = leader.config.team(&job.team)?;
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
        team_share: usage.ratio_to_guarantee(limits) / weight,
        class_usage: class_usage.cpus + class_usage.gpus,
    })
}

pub(super) fn is_replica(job: &Job) -> bool {
    job.kind == JobKind::Service && job.priority == Priority::Production
}
