//! Writes the changes of a pass to the teams' ledgers.

use std::collections::{BTreeMap, BTreeSet};

use dappleshore_domain::{TaskId, Team};

use super::Effect;
use super::pass::Pass;
use crate::disruption::DisruptionTracker;
use crate::fleet::Fleet;
use crate::ledger::Ledger;
use crate::record::DrainRecord;

impl<F: Fleet> Pass<'_, F> {
    /// Writes the ledgers that change: adds the decided evictions, removes evictions whose replacements run, and updates
    /// the losses. Ledgers with new evictions come first, because the number of ledgers in a transaction is limited.
    pub(super) fn write_ledgers(&mut self, tracker: &DisruptionTracker) {
        let lost = tracker.lost(self.records.ledgers);
        let mut lost_by_team: BTreeMap<Team, Vec<TaskId>> = BTreeMap::new();
        for task in lost {
            if let Some(job) = self.fleet.job(task.job) {
                lost_by_team.entry(job.team).or_default().push(task);
            }
        }
        let any_in_progress = self
            .records
            .drains
            .values()
            .any(DrainRecord::is_in_progress);
        let mut teams: BTreeSet<&Team> = self.records.ledgers.keys().collect();
        teams.extend(self.evictions.keys());
        if any_in_progress {
            teams.extend(lost_by_team.keys());
        }
        let mut ledgers_written = 0;
        let has_no_evictions = |team: &&Team| !self.evictions.contains_key(*team);
        let mut order: Vec<&Team> = teams.into_iter().collect();
        order.sort_by_key(has_no_evictions);
        let mut effects = Vec::new();
        for team in order {
            let old = self.records.ledgers.get(team).cloned().unwrap_or_default();
            let mut ledger = Ledger {
                evictions: old.evictions.clone(),
                lost: lost_by_team.get(team).cloned().unwrap_or_default(),
            };
            ledger.evictions.retain(|e| tracker.is_outstanding(e));
            ledger
                .evictions
                .extend(self.evictions.get(team).cloned().unwrap_or_default());
            let remaining = self
                .limits
                .max_ledger_entries
                .saturating_sub(ledger.evictions.len());
            ledger.lost.truncate(remaining);
            if ledger != old && ledgers_written < self.limits.max_ledgers_per_transaction {
                ledgers_written += 1;
                let team = team.clone();
                effects.push(Effect::WriteLedger { team, ledger });
            }
        }
        self.effects.extend(effects);
    }
}
