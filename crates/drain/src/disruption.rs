//! Determines which tasks are disrupted: evicted, lost, or on an unusable machine, and not yet observed running again.
//!
//! The planner calls it in each pass. [`DisruptionTracker`] holds the leader's observations that the ledgers do not contain
//! yet. [`Disruptions`] is the count at one time, which is compared with the budgets.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use dappleshore_domain::{Attempt, TaskId, Team};

use crate::budget::Budgets;
use crate::fleet::Fleet;
use crate::ledger::{Eviction, EvictionTarget, Ledger};

/// Observations of disruptions that are not recorded in the ledgers yet.
#[derive(Debug, Default)]
pub struct DisruptionTracker {
    /// Tasks lost for other reasons than a drain, with the number of the lost attempt.
    lost: BTreeMap<TaskId, u64>,
    /// Recorded evictions whose replacements were observed running.
    replaced: BTreeSet<EvictionTarget>,
    /// Tasks recorded as lost that were observed running again.
    recovered: BTreeSet<TaskId>,
}

/// Bounds the memory for losses. When it is reached, new losses are not tracked.
const MAX_TRACKED_LOSSES: usize = 20_000;

impl DisruptionTracker {
    /// Records that a task's attempt ended without having succeeded or been stopped by the scheduler.
    pub fn record_lost_attempt(&mut self, attempt: Attempt) {
        if self.lost.len() < MAX_TRACKED_LOSSES {
            self.recovered.remove(&attempt.task);
            self.lost.insert(attempt.task, attempt.number);
        }
    }

    /// Removes losses of tasks that need not run any more, and all observations of recorded disruptions.
    pub fn retain_needed(&mut self, is_needed: impl Fn(TaskId) -> bool) {
        self.lost.retain(|task, _| is_needed(*task));
        self.replaced.clear();
        self.recovered.clear();
    }

    /// Updates the losses, and the recorded disruptions whose tasks run again, from the observed state.
    pub fn observe(&mut self, ledgers: &BTreeMap<Team, Ledger>, fleet: &impl Fleet) {
        // These are recorded as lost before the attempts are proven ended, because a new leader could not find out later
        // that they existed.
        let failed = fleet.machines().iter().filter(|machine| machine.failed);
        for attempt in failed.flat_map(|machine| &machine.tasks) {
            self.record_lost_attempt(*attempt);
        }
        self.lost
            .retain(|task, lost| !is_restored(fleet, *task, |attempt| attempt.number == *lost));
        let recorded: BTreeSet<EvictionTarget> = evictions(ledgers).map(|e| e.target).collect();
        self.replaced.retain(|target| recorded.contains(target));
        for target in recorded {
            if target
                .tasks()
                .all(|task| is_restored(fleet, task, |attempt| target.includes(attempt)))
            {
                self.replaced.insert(target);
            }
        }
        let recorded: BTreeSet<TaskId> = ledgers.values().flat_map(|l| &l.lost).copied().collect();
        self.recovered.retain(|task| recorded.contains(task));
        for task in recorded {
            if !self.lost.contains_key(&task) && is_restored(fleet, task, |_| false) {
                self.recovered.insert(task);
            }
        }
    }

    /// Whether an eviction's replacements have not been observed running yet.
    pub fn is_outstanding(&self, eviction: &Eviction) -> bool {
        !self.replaced.contains(&eviction.target)
    }

    /// Recorded evictions whose replacements have not been observed running yet.
    pub fn outstanding<'l>(
        &self,
        ledgers: &'l BTreeMap<Team, Ledger>,
    ) -> impl Iterator<Item = &'l Eviction> {
        evictions(ledgers).filter(|eviction| self.is_outstanding(eviction))
    }

    /// Tasks that were lost and have not been observed running again, whether recorded or not.
    pub fn lost(&self, ledgers: &BTreeMap<Team, Ledger>) -> BTreeSet<TaskId> {
        let recorded = ledgers.values().flat_map(|ledger| &ledger.lost).copied();
        let missing = recorded.filter(|task| !self.recovered.contains(task));
        missing.chain(self.lost.keys().copied()).collect()
    }
}

fn evictions(ledgers: &BTreeMap<Team, Ledger>) -> impl Iterator<Item = &Eviction> {
    ledgers.values().flat_map(|ledger| &ledger.evictions)
}

/// Whether a task has ended, or an attempt other than the old one runs.
fn is_restored(fleet: &impl Fleet, task: TaskId, is_old: impl Fn(&Attempt) -> bool) -> bool {
    let runs = |attempt: &Attempt| !is_old(attempt) && fleet.is_running(attempt);
    fleet.job(task.job).is_none() || fleet.is_done(task) || fleet.attempts(task).iter().any(runs)
}

/// The number of tasks, and of disrupted ones among them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DisruptionCount {
    /// Disrupted tasks.
    pub disrupted: u64,
    /// All tasks that exist, disrupted or not.
    pub tasks: u64,
}

/// The disrupted tasks of each team and class.
#[derive(Debug, Default)]
pub struct Disruptions {
    disrupted: HashSet<TaskId>,
    counted: HashSet<TaskId>,
    teams: BTreeMap<Team, DisruptionCount>,
    classes: BTreeMap<(Team, Arc<str>), DisruptionCount>,
}

/// A budget that an eviction would exceed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExceededBudget {
    /// The team that the budget belongs to.
    pub team: Team,
    /// The class that the budget belongs to. `None`: it is the budget of the whole team.
    pub class: Option<Arc<str>>,
    /// The number of tasks that are already disrupted.
    pub disrupted: u64,
    /// The number of disrupted tasks that the eviction would add.
    pub additional: u64,
    /// The number of tasks that may be disrupted.
    pub allowed: u64,
}

impl Disruptions {
    /// Counts all tasks and the disrupted ones.
    pub fn count(
        tracker: &DisruptionTracker,
        ledgers: &BTreeMap<Team, Ledger>,
        fleet: &impl Fleet,
    ) -> Self {
        let mut count = Disruptions::default();
        for machine in fleet.machines() {
            for attempt in &machine.tasks {
                count.count_task(fleet, attempt.task);
                if !machine.usable {
                    count.mark_disrupted(fleet, attempt.task);
                }
            }
        }
        for eviction in tracker.outstanding(ledgers) {
            for task in eviction.target.tasks() {
                count.mark_disrupted(fleet, task);
            }
        }
        for task in tracker.lost(ledgers) {
            count.mark_disrupted(fleet, task);
        }
        count
    }

    fn count_task(&mut self, fleet: &impl Fleet, task: TaskId) {
        if !self.counted.insert(task) {
            return;
        }
        if let Some(job) = fleet.job(task.job) {
            self.teams.entry(job.team.clone()).or_default().tasks += 1;
            self.classes.entry((job.team, job.class)).or_default().tasks += 1;
        }
    }

    /// Counts a task as disrupted. If it belongs to a gang, counts all tasks of the gang.
    pub fn mark_disrupted(&mut self, fleet: &impl Fleet, task: TaskId) {
        let Some(job) = fleet.job(task.job) else {
            return;
        };
        let indices = match job.gang_tasks {
            Some(tasks) => 0..tasks,
            None => task.index..task.index + 1,
        };
        for index in indices {
            let task = TaskId { index, ..task };
            if fleet.is_done(task) || !self.disrupted.insert(task) {
                continue;
            }
            self.count_task(fleet, task);
            self.teams.entry(job.team.clone()).or_default().disrupted += 1;
            let class = (job.team.clone(), job.class.clone());
            self.classes.entry(class).or_default().disrupted += 1;
        }
    }

    /// The counts of each team.
    pub fn teams(&self) -> &BTreeMap<Team, DisruptionCount> {
        &self.teams
    }

    /// The counts of a team.
    pub fn team_count(&self, team: &Team) -> DisruptionCount {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// The counts of a team's tasks of a class.
    pub fn class_count(&self, team: &Team, class: &Arc<str>) -> DisruptionCount {
        let key = (team.clone(), class.clone());
        self.classes.get(&key).copied().unwrap_or_default()
    }

    /// The first budget that disrupting these tasks as well would exceed, if any.
    pub fn exceeded_budget(
        &self,
        fleet: &impl Fleet,
        budgets: &Budgets,
        target: &EvictionTarget,
    ) -> Option<ExceededBudget> {
        let job = fleet.job(target.job())?;
        let additional = target
            .tasks()
            .filter(|task| !self.disrupted.contains(task))
            .count() as u64;
        // The budget is also checked for tasks that already count as disrupted because their machine does not respond:
        // the machine may respond again, and then these tasks are running.
        let within = |count: DisruptionCount, allowed: u64| count.disrupted + additional <= allowed;
        let team_count = self.team_count(&job.team);
        let allowed = budgets.team_limit(&job.team).resolve(team_count.tasks);
        if !within(team_count, allowed) {
            return Some(ExceededBudget {
                team: job.team,
                class: None,
                disrupted: team_count.disrupted,
                additional,
                allowed,
            });
        }
        let limit = budgets.class_limit(&job.team, &job.class)?;
        let class_count = self.class_count(&job.team, &job.class);
        let allowed = limit.resolve(class_count.tasks);
        (!within(class_count, allowed)).then_some(ExceededBudget {
            team: job.team,
            class: Some(job.class),
            disrupted: class_count.disrupted,
            additional,
            allowed,
        })
    }
}
