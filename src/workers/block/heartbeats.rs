//! What workers report, in heartbeats and in the responses to commands.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use tracing::{debug, info};

use super::{AttemptOutcome, Block, EndedAttempt, job_is_active};
use crate::domain::{Attempt, MachineId, Now, TaskId};
use crate::store::WatchCache;
use crate::workers::wire::{ExitCause, Heartbeat, TaskState, TaskStatus};
use crate::workers::worker::ObservedTask;

/// How a report reached us. Only a heartbeat can renew a worker's lease: a worker that answers commands and reaches no
/// controller loses its tasks again and again, so that its responses are no sign of its health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::workers) enum HeartbeatSource {
    /// The worker sent it.
    Heartbeat,
    /// It is the response to a direct command.
    CommandResponse,
}

impl Block {
    /// Applies a worker's report: the one place where what workers report is taken in.
    ///
    /// A report that is not newer than the last one is dropped: its list of tasks is as old as it is.
    pub(in crate::workers) fn apply_heartbeat(
        &mut self,
        now: Now,
        heartbeat: Heartbeat,
        cache: &WatchCache,
        source: HeartbeatSource,
    ) {
        let Some(worker) = self.workers.get_mut(&heartbeat.machine) else {
            return;
        };
        if !worker.is_newer(&heartbeat) {
            return;
        }
        if worker.has_new_epoch(&heartbeat) {
            // Commands for the old epoch are not executed any more.
            info!(machine = %heartbeat.machine, agent_epoch = %heartbeat.agent_epoch, "worker lease expired");
            worker.launches.clear();
        }
        worker.apply_report(&heartbeat);
        match source {
            HeartbeatSource::Heartbeat => worker.liveness.record_heartbeat(now),
            HeartbeatSource::CommandResponse => worker.liveness.record_response(),
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
        let worker = self.workers.get(&machine);
        if worker.is_some_and(|worker| worker.command_pending) {
            self.workers_to_command.insert(machine);
        }
    }

    /// Records the starts of tasks that we have launched and that did not run before. Nobody knows when others started.
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
            if started && let Some(open) = cache.open.get(&task.job) {
                self.started_accepted_ms.push(open.job.accepted_ms);
            }
        }
    }

    /// Compares a recorded attempt with the worker's report, and notes whether it has ended or needs a command.
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
                // Not there, and nothing that could start it is under way.
                self.ended.insert(key, AttemptOutcome::Unfinished);
            } else if worker.token >= token {
                worker.command_pending = true;
            }
            return;
        };
        if observed.state != TaskState::Exited {
            // Started by a command that was under way when its job was cancelled. Workers that show a newer token are
            // another holder's, and would refuse this for ever.
            worker.command_pending |= !job_active && worker.token <= token;
            return;
        }
        if worker.token < token {
            // An older holder could still give it commands.
            return;
        }
        if let Entry::Vacant(entry) = self.ended.entry(key) {
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

/// The tasks of a report; of each the last entry.
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
