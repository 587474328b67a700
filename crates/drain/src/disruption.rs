//! Which tasks are disrupted: evicted, lost, or on machines that are not usable, and not seen to run again.
//!
//! The planner calls it in each pass. [`DisruptionTracker`] is the leader's memory of what the ledgers do not show yet;
//! [`Disruptions`] is the count at one time, which is compared with the budgets.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use dappleshore_domain::{Attempt, TaskId, Team};

use crate::budget::Budgets;
use crate::fleet::Fleet;
use crate::ledger::{Eviction, EvictionTarget, Ledger};

/// What is known of disruptions beyond what is recorded.
#[derive(Debug, Default)]
pub struct DisruptionTracker {
    /// Tasks lost by no decision of a drain, with the attempt that was lost.
    lost: BTreeMap<TaskId, u64>,
    /// Recorded evictions whose replacement was seen to run.
    replaced: BTreeSet<EvictionTarget>,
    /// Recorded losses that were seen to run again.
    recovered: BTreeSet<TaskId>,
}

/// Losses kept in mind. Beyond that the oldest jobs' are kept.
const MAX_TRACKED_LOSSES: usize = 20_000;

impl DisruptionTracker {
    /// Notes that a task's attempt has gone, neither done nor stopped by us.
    pub fn record_lost_attempt(&mut self, attempt: Attempt) {
        if self.lost.len() < MAX_TRACKED_LOSSES {
            self.recovered.remove(&attempt.task);
            self.lost.insert(attempt.task, attempt.number);
        }
    }

    /// Forgets losses of tasks that are not wanted any more.
    pub fn retain_needed(&mut self, is_needed: impl Fn(TaskId) -> bool) {
        self.lost.retain(|task, _| is_needed(*task));
        self.replaced.clear();
        self.recovered.clear();
    }

    /// Takes in what runs again.
    pub fn observe(&mut self, ledgers: &BTreeMap<Team, Ledger>, fleet: &impl Fleet) {
        // Noted, and so recorded, before they are proven gone: a new leader could not tell that they were there.
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

    /// Whether an eviction's replacement has not been seen to run yet.
    pub fn is_outstanding(&self, eviction: &Eviction) -> bool {
        !self.replaced.contains(&eviction.target)
    }

    /// Recorded evictions whose replacements were not seen to run yet.
    pub fn outstanding<'l>(
        &self,
        ledgers: &'l BTreeMap<Team, Ledger>,
    ) -> impl Iterator<Item = &'l Eviction> {
        evictions(ledgers).filter(|eviction| self.is_outstanding(eviction))
    }

    /// Tasks that were lost and not seen to run again, recorded or not.
    pub fn lost(&self, ledgers: &BTreeMap<Team, Ledger>) -> BTreeSet<TaskId> {
        let recorded = ledgers.values().flat_map(|ledger| &ledger.lost).copied();
        let missing = recorded.filter(|task| !self.recovered.contains(task));
        missing.chain(self.lost.keys().copied()).collect()
    }
}

fn evictions(ledgers: &BTreeMap<Team, Ledger>) -> impl Iterator<Item = &Eviction> {
    ledgers.values().flat_map(|ledger| &ledger.evictions)
}

/// Whether a task has ended, or another attempt than the old one runs.
fn is_restored(fleet: &impl Fleet, task: TaskId, is_old: impl Fn(&Attempt) -> bool) -> bool {
    let runs = |attempt: &Attempt| !is_old(attempt) && fleet.is_running(attempt);
    fleet.job(task.job).is_none() || fleet.is_done(task) || fleet.attempts(task).iter().any(runs)
}

/// Tasks that exist and those that are disrupted.
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

/// A budget that leaves no room for another disruption.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExceededBudget {
    /// Whose budget it is.
    pub team: Team,
    /// None: the budget of the whole team.
    pub class: Option<Arc<str>>,
    /// Tasks that are disrupted already.
    pub disrupted: u64,
    /// How many the eviction would add.
    pub additional: u64,
    /// How many may be disrupted.
    pub allowed: u64,
}

impl Disruptions {
    /// Counts all tasks there are, and those that are disrupted.
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

    /// Counts a task as disrupted; of a gang, all its tasks.
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

    /// What each team has.
    pub fn teams(&self) -> &BTreeMap<Team, DisruptionCount> {
        &self.teams
    }

    /// What a team has.
    pub fn team_count(&self, team: &Team) -> DisruptionCount {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// What a team has of a class.
    pub fn class_count(&self, team: &Team, class: &Arc<str>) -> DisruptionCount {
        let key = (team.clone(), class.clone());
        self.classes.get(&key).copied().unwrap_or_default()
    }

    /// Whether a budget forbids to disrupt these tasks as well.
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
        // Also for tasks that count as disrupted already, since their machine does not answer: it may come back, and
        // then they run.
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
