//! A machine's worker as the holder of its block knows it.
//!
//! Owns what a worker reported last, its [`Liveness`], the [`Launches`] sent to it and the [`TaskFailures`] of its machine.
//! The block changes it as heartbeats and responses arrive, and reads it when it prepares commands, placements and the
//! status for the leader. Nothing here is stored: a new holder learns it anew from heartbeats.
//!
//! Invariants: agent epoch and sequence number of the last report only grow; `launches` holds nothing that was sent under an
//! earlier token of the block or an earlier agent epoch.

mod failures;
mod launches;
mod liveness;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::wire::{ExitCause, Heartbeat, TaskState};
use crate::domain::{AgentEpoch, Attempt, FencingToken, Image, Now, TaskId};
use crate::peer::MachineStatus;
use crate::policy::Policy;
use crate::store::WatchCache;
use failures::TaskFailures;
pub(super) use launches::LaunchOutcome;
use launches::Launches;
use liveness::Liveness;
#[cfg(test)]
pub(super) use liveness::PROBE_INTERVAL;

/// Ended tasks that a worker remembers, so that no copy of a launch starts them again, before a new token lets it forget
/// them.
const MAX_REMEMBERED_TASKS: usize = 40;

/// An attempt as the worker's last report shows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ObservedTask {
    /// The number of the attempt.
    pub(super) number: u64,
    pub(super) state: TaskState,
    /// How it ended, if it did and the worker says.
    pub(super) cause: Option<ExitCause>,
}

impl ObservedTask {
    /// The attempt of the task that is observed.
    pub(super) fn attempt(&self, task: TaskId) -> Attempt {
        Attempt {
            task,
            number: self.number,
        }
    }
}

/// The status of a worker that the leader is told, until it acknowledges it.
#[derive(Debug)]
pub(super) struct ReportedStatus {
    pub(super) status: MachineStatus,
    /// The number of the first block status that holds it.
    pub(super) sequence_number: u64,
}

/// A machine's worker as the holder of its block knows it.
#[derive(Debug)]
pub(super) struct Worker {
    /// Where it takes commands; unknown until it, or the leader, has told it.
    pub(super) addr: Option<String>,
    pub(super) agent_epoch: AgentEpoch,
    /// The sequence number of its last report.
    sequence_number: u64,
    /// The highest fencing token that it has shown.
    pub(super) token: FencingToken,
    pub(super) liveness: Liveness,
    /// The cloud is about to take the machine away.
    pub(super) termination_notice: bool,
    /// The tasks of its last report.
    pub(super) tasks: BTreeMap<TaskId, ObservedTask>,
    pub(super) launches: Launches,
    pub(super) failures: TaskFailures,
    /// Images that its tasks have fetched.
    pub(super) images: BTreeSet<Image>,
    /// A direct command is on its way.
    pub(super) command_in_flight: bool,
    /// There may be a command that should not wait for the next heartbeat.
    pub(super) command_pending: bool,
    pub(super) reported_status: Option<ReportedStatus>,
}

impl Worker {
    /// A worker that has not reported yet.
    pub(super) fn new(now: Now) -> Self {
        Worker {
            addr: None,
            agent_epoch: AgentEpoch(0),
            sequence_number: 0,
            token: FencingToken(0),
            liveness: Liveness::new(now),
            termination_notice: false,
            tasks: BTreeMap::new(),
            launches: Launches::default(),
            failures: TaskFailures::default(),
            images: BTreeSet::new(),
            command_in_flight: false,
            command_pending: false,
            reported_status: None,
        }
    }

    /// Whether a report was made after the last one that was applied.
    pub(super) fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.agent_epoch, heartbeat.sequence_number)
            > (self.agent_epoch, self.sequence_number)
    }

    /// Whether a report shows that the worker has begun a new agent epoch: its lease had expired.
    pub(super) fn has_new_epoch(&self, heartbeat: &Heartbeat) -> bool {
        self.agent_epoch != AgentEpoch(0) && heartbeat.agent_epoch != self.agent_epoch
    }

    /// Takes over what a report says of the worker itself; its tasks apart.
    pub(super) fn apply_report(&mut self, heartbeat: &Heartbeat) {
        self.agent_epoch = heartbeat.agent_epoch;
        self.sequence_number = heartbeat.sequence_number;
        self.termination_notice = heartbeat.termination_notice_s.is_some();
        self.addr = Some(heartbeat.addr.clone());
    }

    /// Takes over the token that a report shows. A worker that has to be shown the block's token, or has just shown it, so
    /// that tasks can be launched, gets a command.
    pub(super) fn apply_token(&mut self, shown: FencingToken, block_token: FencingToken) {
        let newly_shown = shown >= block_token && self.token < block_token;
        self.token = shown;
        if self.token < block_token || newly_shown {
            self.command_pending = true;
        }
    }

    /// Notes the images of its tasks, which the machine must have fetched or be fetching.
    pub(super) fn record_images(&mut self, cache: &WatchCache) {
        for (task, observed) in &self.tasks {
            let has_image = matches!(
                observed.state,
                TaskState::Running | TaskState::Checkpointing | TaskState::Waiting
            );
            if has_image && let Some(open) = cache.open.get(&task.job) {
                self.images.insert(open.job.image.clone());
            }
        }
    }

    /// The observed task, if it is this attempt.
    pub(super) fn observed(&self, attempt: &Attempt) -> Option<&ObservedTask> {
        self.tasks
            .get(&attempt.task)
            .filter(|observed| observed.number == attempt.number)
    }

    /// Whether it should be probed now.
    pub(super) fn probe_due(&self, now: Now, overdue_after: Duration) -> bool {
        (self.liveness.has_reported() || self.addr.is_some())
            && self.liveness.probe_due(now, overdue_after)
    }

    /// Whether tasks can be placed here: it has shown the token, reports, answers commands, and the machine stays.
    pub(super) fn is_usable(&self, now: Now, token: FencingToken) -> bool {
        let reachable = self.token >= token && self.liveness.answers_commands();
        self.liveness.has_reported()
            && reachable
            && !self.termination_notice
            && self.liveness.heartbeat_is_recent(now)
    }

    /// Whether it is taken for unresponsive.
    pub(super) fn is_unresponsive(&self, now: Now, policy: &Policy) -> bool {
        self.liveness
            .is_unresponsive(now, policy, self.addr.is_some())
    }

    /// Whether the worker may forget an attempt that has ended: no launch of it, nor a copy of one, could start it again.
    pub(super) fn may_forget(&self, attempt: &Attempt, cause: Option<ExitCause>) -> bool {
        let restart_is_harmless =
            cause == Some(ExitCause::Done) || !self.launches.was_sent(attempt);
        restart_is_harmless && !self.launches.may_still_execute(attempt)
    }

    /// Forgets the launches of attempts that the worker has forgotten too.
    pub(super) fn forget_launches(&mut self, placed: impl Fn(&Attempt) -> bool) {
        let tasks = &self.tasks;
        let listed = |attempt: &Attempt| {
            tasks
                .get(&attempt.task)
                .is_some_and(|observed| observed.number == attempt.number)
        };
        self.launches.forget_unlisted(listed, placed);
    }

    /// Whether only a new token lets it forget what it must remember now.
    pub(super) fn needs_new_token(&self) -> bool {
        let ended = self
            .tasks
            .values()
            .filter(|observed| observed.state == TaskState::Exited)
            .count();
        self.launches.any_unacknowledged() || ended > MAX_REMEMBERED_TASKS
    }
}
