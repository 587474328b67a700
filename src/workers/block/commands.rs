//! Prepares the commands to workers: which tasks to launch, stop and reap.

use std::collections::BTreeMap;
use std::time::Duration;

use tracing::debug;

use super::heartbeats::ReportSource;
use super::{Block, EndedAttempt, job_is_active};
use crate::domain::{AgentEpoch, Attempt, JobKind, MachineId, Now, TaskId};
use crate::store::WatchCache;
use crate::workers::wire::{TaskState, WorkerCommand, WorkerCommands};
use crate::workers::worker::{LaunchOutcome, ObservedTask, Worker};
use crate::workers::{CommandOutcome, DirectCommand};

/// The agent epoch of a worker that has not lost its lease yet.
const FIRST_AGENT_EPOCH: AgentEpoch = AgentEpoch(1);

/// How commands reach a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::workers) enum CommandChannel {
    /// In the response to its heartbeat. Launches are not sent this way, so that each launch gets a response.
    HeartbeatResponse,
    /// In a request from this controller.
    Direct {
        /// The worker rejects the request in any other agent epoch.
        agent_epoch: AgentEpoch,
        /// Whether the block lease is known to be still valid, so that tasks may be launched.
        may_launch: bool,
    },
}

impl Block {
    /// Prepares the direct command to a worker, if one is due and can be sent now: it contains the commands that should
    /// not wait for the next heartbeat, or is a probe.
    ///
    /// `lease_valid`: whether the block lease is known to be still valid. `overdue_after`: the age of the last
    /// heartbeat after which the next one is overdue.
    pub(in crate::workers) fn direct_command(
        &mut self,
        now: Now,
        machine: MachineId,
        cache: &WatchCache,
        lease_valid: bool,
        overdue_after: Duration,
    ) -> Option<DirectCommand> {
        let worker = self.workers.get(&machine)?;
        let probe = lease_valid && worker.probe_due(now, overdue_after);
        if worker.command_in_flight || !(worker.command_pending || probe) {
            // It is considered again after the outcome of the command in flight, or after its first heartbeat.
            return None;
        }
        let addr = worker.addr.clone()?;
        let channel = CommandChannel::Direct {
            // Only the address is known of a worker that has not reported yet. If its epoch is not the first one, it
            // rejects the command and responds with its epoch.
            agent_epoch: worker.agent_epoch.max(FIRST_AGENT_EPOCH),
            may_launch: lease_valid,
        };
        let mut body = self.prepare_commands(now, &machine, cache, channel);
        if !lease_valid {
            body.commands
                .retain(|command| stops_ended_job(command, cache));
        }
        let token = self.token;
        let worker = self.workers.get_mut(&machine)?;
        // Other commands wait until the lease is known to be valid again; the next review requests them.
        worker.command_pending = !lease_valid;
        if body.commands.is_empty() && (worker.token >= token || !lease_valid) && !probe {
            return None;
        }
        if probe {
            worker.liveness.record_probe(now);
        }
        worker.command_in_flight = true;
        Some(DirectCommand {
            block: self.id.clone(),
            machine,
            addr,
            body,
        })
    }

    /// Prepares all commands that the worker of a machine should get now. Launches are recorded as sent.
    pub(in crate::workers) fn prepare_commands(
        &mut self,
        now: Now,
        machine: &MachineId,
        cache: &WatchCache,
        channel: CommandChannel,
    ) -> WorkerCommands {
        let recorded = self.recorded.attempt_numbers_on(machine);
        let mut commands = self.stop_and_reap_commands(machine, &recorded, cache);
        let agent_epoch = match channel {
            CommandChannel::HeartbeatResponse => None,
            CommandChannel::Direct {
                agent_epoch,
                may_launch,
            } => {
                if may_launch {
                    commands.extend(self.prepare_launches(now, machine, &recorded, cache));
                }
                Some(agent_epoch)
            }
        };
        WorkerCommands {
            token: self.token,
            agent_epoch,
            commands,
        }
    }

    /// Returns the commands for the tasks that the worker reports: tasks that it should not run are stopped, and ended
    /// tasks whose entries it no longer needs are reaped.
    fn stop_and_reap_commands(
        &self,
        machine: &MachineId,
        recorded: &BTreeMap<TaskId, u64>,
        cache: &WatchCache,
    ) -> Vec<WorkerCommand> {
        let Some(worker) = self.workers.get(machine) else {
            return Vec::new();
        };
        let command = |(task, observed): (&TaskId, &ObservedTask)| {
            let is_recorded = recorded.get(task) == Some(&observed.number);
            self.stop_or_reap_command(worker, *task, observed, is_recorded, cache)
        };
        worker.tasks.iter().filter_map(command).collect()
    }

    fn stop_or_reap_command(
        &self,
        worker: &Worker,
        task: TaskId,
        observed: &ObservedTask,
        is_recorded: bool,
        cache: &WatchCache,
    ) -> Option<WorkerCommand> {
        let attempt = observed.attempt(task);
        let wire_number = attempt.wire_number();
        if observed.state == TaskState::Exited {
            // Reaped only after its end is recorded, and never while a launch of it may still arrive.
            let reap = !is_recorded && worker.may_forget(&attempt, observed.cause);
            return reap.then_some(WorkerCommand::Reap { task, wire_number });
        }
        if is_recorded && self.should_run(cache, &attempt) {
            return None;
        }
        Some(WorkerCommand::Stop {
            task,
            wire_number,
            grace_s: grace_s(cache, task, is_recorded),
        })
    }

    /// Prepares the launches of recorded attempts that the worker does not report. Returns none before the worker has
    /// confirmed the block's token.
    fn prepare_launches(
        &mut self,
        now: Now,
        machine: &MachineId,
        recorded: &BTreeMap<TaskId, u64>,
        cache: &WatchCache,
    ) -> Vec<WorkerCommand> {
        let Some(worker) = self.workers.get(machine) else {
            return Vec::new();
        };
        if worker.token < self.token {
            return Vec::new();
        }
        let attempts: Vec<Attempt> = recorded
            .iter()
            .map(|(task, number)| Attempt {
                task: *task,
                number: *number,
            })
            .filter(|attempt| {
                let ended = EndedAttempt {
                    machine: machine.clone(),
                    attempt: *attempt,
                };
                worker.observed(attempt).is_none()
                    && worker.launches.may_send(now, attempt)
                    && self.should_run(cache, attempt)
                    && !self.proven_ended.contains_key(&ended)
            })
            .collect();
        let token = self.token;
        let Some(worker) = self.workers.get_mut(machine) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for attempt in attempts {
            debug!(%attempt, %machine, %token, agent_epoch = %worker.agent_epoch, "task launch sent");
            worker.launches.record_sent(attempt);
            commands.push(WorkerCommand::Launch {
                task: attempt.task,
                wire_number: attempt.wire_number(),
            });
        }
        commands
    }

    /// Whether a recorded attempt should run: its job is active and the leader has not requested a stop.
    fn should_run(&self, cache: &WatchCache, attempt: &Attempt) -> bool {
        job_is_active(cache, attempt.task.job) && !self.assignments.is_stop_requested(attempt)
    }

    /// Applies the outcome of a direct command.
    pub(in crate::workers) fn apply_command_outcome(
        &mut self,
        now: Now,
        machine: &MachineId,
        body: &WorkerCommands,
        outcome: CommandOutcome,
        cache: &WatchCache,
    ) {
        let token = self.token;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        worker.command_in_flight = false;
        if worker.command_pending {
            self.workers_to_command.insert(machine.clone());
        }
        if body.agent_epoch == Some(worker.agent_epoch) && body.token == token {
            record_launch_outcomes(worker, now, machine, body, &outcome);
        }
        match outcome {
            CommandOutcome::Executed(heartbeat) | CommandOutcome::Rejected(heartbeat) => {
                if heartbeat.machine == *machine {
                    worker.liveness.record_answered_command();
                    self.apply_report(now, heartbeat, cache, ReportSource::CommandResponse);
                }
            }
            CommandOutcome::Unknown => {
                worker.liveness.record_unanswered_command(now);
                self.workers_to_report.insert(machine.clone());
            }
        }
    }
}

/// Records the outcomes of the launches in a direct command that was sent under the current token and agent epoch.
fn record_launch_outcomes(
    worker: &mut Worker,
    now: Now,
    machine: &MachineId,
    body: &WorkerCommands,
    outcome: &CommandOutcome,
) {
    let outcome = match outcome {
        CommandOutcome::Executed(_) => LaunchOutcome::Executed,
        CommandOutcome::Rejected(_) => LaunchOutcome::Rejected,
        CommandOutcome::Unknown => LaunchOutcome::Unknown,
    };
    for command in &body.commands {
        let WorkerCommand::Launch { task, wire_number } = command else {
            continue;
        };
        let attempt = Attempt::from_wire(*task, *wire_number);
        if outcome == LaunchOutcome::Unknown {
            debug!(%attempt, %machine, "task launch unacknowledged");
        }
        worker.launches.record_outcome(now, attempt, outcome);
    }
}

/// Whether a command stops a task whose job is known to be cancelled or to have ended.
fn stops_ended_job(command: &WorkerCommand, cache: &WatchCache) -> bool {
    let has_ended = |job| {
        cache.ended_jobs.contains_key(&job)
            || cache.open_jobs.contains_key(&job) && !job_is_active(cache, job)
    };
    matches!(command, WorkerCommand::Stop { task, .. } if has_ended(task.job))
}

/// How long a stopped task may take to write its checkpoint, in seconds.
fn grace_s(cache: &WatchCache, task: TaskId, is_recorded: bool) -> f64 {
    let job = cache
        .open_jobs
        .get(&task.job)
        .filter(|open| !open.cancelled)
        .map(|open| &open.job);
    // The remaining tasks of a gang that has lost one can't write a checkpoint.
    job.filter(|job| job.kind != JobKind::Gang)
        .filter(|job| job.checkpoint_every_s > 0.0 && is_recorded)
        .map_or(0.0, |job| job.checkpoint_s)
}
