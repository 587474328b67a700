//! Applies the reports of workers, from heartbeats and from the responses to commands.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use tracing::{debug, info};

use super::{AttemptOutcome, Block, EndedAttempt, job_is_active};
use crate::domain::{Attempt, MachineId, Now, TaskId};
use crate::store::WatchCache;
use crate::workers::wire::{ExitCause, Heartbeat, TaskState, TaskStatus};
use crate::workers::worker::ObservedTask;

/// How a report was received. Only a heartbeat can renew a worker's lease: a worker that answers commands but can't reach
/// a controller loses its tasks repeatedly, so its responses do not show that it is healthy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::workers) enum ReportSource {
    /// The worker sent it as a heartbeat.
    Heartbeat,
    /// It came with the response to a direct command.
    CommandResponse,
}

impl Block {
    /// Applies a worker's report. All reports are applied here.
    ///
    /// A report that is not newer than the last one is ignored, because its list of tasks is stale.
    pub(in crate::workers) fn apply_report(
        &mut self,
        now: Now,
        heartbeat: Heartbeat,
        cache: &WatchCache,
        source: ReportSource,
    ) {
        let Some(worker) = self.workers.get_mut(&heartbeat.machine) else {
            return;
        };
        if !worker.is_newer(&heartbeat) {
            return;
        }
        if worker.has_new_epoch(&heartbeat) {
            // The worker no longer executes commands for the old epoch.
            info!(machine = %heartbeat.machine, agent_epoch = %heartbeat.agent_epoch, "worker lease expired");
            worker.launches.clear();
        }
        worker.apply_report(&heartbeat);
        match source {
            ReportSource::Heartbeat => worker.liveness.record_heartbeat(now),
            ReportSource::CommandResponse => worker.liveness.record_response(),
        }
        let tasks = observed_tasks(&heartbeat.tasks);
        let machine = heartbeat.machine;
        self.workers_to_report.insert(machine.clone());
        self.record_starts(&machine, &tasks, cache);
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        worker.tasks = tasks;
        worker.apply_token(heartbeat.token, self.token);
        worker.record_images(cache);
        let recorded = &self.recorded;
        worker.forget_launches(|attempt| recorded.contains(&machine, attempt));
        let placed: Vec<Attempt> = recorded.attempts_on(&machine).collect();
        for attempt in placed {
            self.reconcile_placement(&machine, attempt, cache);
        }
        let reporting_worker = self.workers.get(&machine);
        if reporting_worker.is_some_and(|worker| worker.command_pending) {
            self.workers_to_command.insert(machine);
        }
    }

    /// Records the starts of tasks that this holder launched and that did not run before. The start times of other
    /// tasks are not known.
    fn record_starts(
        &mut self,
        machine: &MachineId,
        tasks: &BTreeMap<TaskId, ObservedTask>,
        cache: &WatchCache,
    ) {
        let Some(worker) = self.workers.get(machine) else {
            return;
        };
        for (task, observed) in tasks {
            let previous_state = worker.tasks.get(task).map(|previous| previous.state);
            let started = observed.state == TaskState::Running
                && previous_state != Some(TaskState::Running)
                && worker.launches.has_state(&observed.attempt(*task));
            if started && let Some(open) = cache.open_jobs.get(&task.job) {
                self.started_accepted_ms.push(open.job.accepted_ms);
            }
        }
    }

    /// Compares a recorded attempt with the worker's report, and records whether it has ended or needs a command.
    fn reconcile_placement(&mut self, machine: &MachineId, attempt: Attempt, cache: &WatchCache) {
        let token = self.token;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let job_active = job_is_active(cache, attempt.task.job);
        let key = EndedAttempt {
            machine: machine.clone(),
            attempt,
        };
        let Some(observed) = worker.observed(&attempt).copied() else {
            let unwanted = !job_active || self.assignments.is_stop_requested(&attempt);
            if unwanted && worker.token >= token && !worker.launches.may_still_execute(&attempt) {
                // The worker does not list it, and no launch of it can still be executed.
                self.proven_ended.insert(key, AttemptOutcome::Unfinished);
            } else if worker.token >= token {
                worker.command_pending = true;
            }
            return;
        };
        if observed.state != TaskState::Exited {
            // Started by a command that was in flight when its job was cancelled. Workers with a newer token belong to
            // another holder and would reject the stop every time.
            worker.command_pending |= !job_active && worker.token <= token;
            return;
        }
        if worker.token < token {
            // A previous holder can still send it commands.
            return;
        }
        if let Entry::Vacant(entry) = self.proven_ended.entry(key) {
            debug!(%attempt, cause = ?observed.cause, "task ended");
            worker
                .failures
                .record_exit(attempt.task.job, observed.cause);
            entry.insert(if observed.cause == Some(ExitCause::Done) {
                AttemptOutcome::Done
            } else {
                AttemptOutcome::Unfinished
            });
        }
    }
}

/// Returns the tasks of a report. If a task has several entries, the last one counts.
fn observed_tasks(reported: &[TaskStatus]) -> BTreeMap<TaskId, ObservedTask> {
    let observed = |status: &TaskStatus| ObservedTask {
        number: Attempt::from_wire(status.task, status.wire_number).number,
        state: status.state,
        cause: status.cause,
    };
    reported
        .iter()
        .map(|status| (status.task, observed(status)))
        .collect()
}
