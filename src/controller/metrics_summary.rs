//! Periodic log lines that summarize the metrics of this process and, on the leader, the state of the cluster.

use std::collections::BTreeMap;
use std::time::Duration;

use tracing::info;

use super::Controller;
use super::leader_round::LeaderRound;
use crate::domain::{Now, since};
use crate::metrics::Metrics;

/// The time between two summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(60);

impl Controller {
    /// Logs the metrics of this process when a summary is due.
    pub(super) fn log_metrics(&mut self, now: Now) {
        if since(now, self.last_metrics_summary) < SUMMARY_INTERVAL {
            return;
        }
        self.last_metrics_summary = now.monotonic;
        let Metrics {
            accept_ms,
            start_ms,
            event_duration_us,
            error_responses,
            transactions,
            ..
        } = &self.metrics;
        let transactions: BTreeMap<String, u64> = transactions
            .iter()
            .map(|(labels, count)| (format!("{} {}", labels.module, labels.outcome), *count))
            .collect();
        info!(
            accepted = accept_ms.count(),
            accept_p90_ms = accept_ms.quantile(0.9),
            started = start_ms.count(),
            start_p50_ms = start_ms.quantile(0.5),
            start_p90_ms = start_ms.quantile(0.9),
            step_p99_us = event_duration_us.quantile(0.99),
            step_max_us = event_duration_us.quantile(1.0),
            refused = error_responses.values().sum::<u64>(),
            ?transactions,
            "metrics"
        );
    }
}

impl LeaderRound<'_> {
    /// Updates the leader's gauges and logs the state of the cluster when a summary is due.
    pub(super) fn log_summary(&mut self) {
        let state = &mut *self.state;
        let last = state.last_summary;
        if last.is_some_and(|at| since(self.now, at) < SUMMARY_INTERVAL) {
            return;
        }
        state.last_summary = Some(self.now.monotonic);
        let gauges = &mut self.metrics.gauges;
        gauges.clear();
        state
            .provisioner
            .report_pool_metrics(self.cache, &state.demand, gauges);
        if let Some(draining) = state.scheduler.draining() {
            draining.record_gauges(self.cache, gauges);
        }
        for (team, count) in &state.scheduler.pending_tasks {
            gauges.insert(format!("waiting{{team=\"{team}\"}}"), *count as f64);
        }
        let outdated_leases = state.scheduler.outdated_lease_count(self.cache);
        gauges.insert("leases_outdated".to_owned(), outdated_leases as f64);
        gauges.insert("jobs_open".to_owned(), self.cache.open_jobs.len() as f64);
        gauges.insert("jobs_ended".to_owned(), self.cache.ended_jobs.len() as f64);
        let waiting: u64 = state.scheduler.pending_tasks.values().sum();
        info!(
            open = self.cache.open_jobs.len(),
            ended = self.cache.ended_jobs.len(),
            waiting,
            "jobs"
        );
    }
}
