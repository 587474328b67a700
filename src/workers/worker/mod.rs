//! The state of a machine's worker, as the holder of its block knows it.
//!
//! Holds a worker's last report, its [`Liveness`], the [`Launches`] sent to it and the [`TaskFailures`] of its machine.
//! The block updates it as heartbeats and responses arrive, and reads it to prepare commands, placements and the status
//! for the leader. Nothing here is stored: a new holder rebuilds it from heartbeats.
//!
//! Invariants: agent epoch and sequence number of the last report only increase; `launches` holds nothing that was sent
//! under an earlier token of the block or an earlier agent epoch.

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

/// The number of ended tasks that a worker may keep, to reject duplicates of their launches, before the block requests
/// a new token so that they can be reaped.
const MAX_REMEMBERED_TASKS: usize = 40;

/// An attempt in the worker's last report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ObservedTask {
    /// The number of the attempt.
    pub(super) number: u64,
    pub(super) state: TaskState,
    /// Why it exited, if it did and the worker reports a cause.
    pub(super) cause: Option<ExitCause>,
}

impl ObservedTask {
    /// Returns the observed attempt of the task.
    pub(super) fn attempt(&self, task: TaskId) -> Attempt {
        Attempt {
            task,
            number: self.number,
        }
    }
}

/// The last status of a worker for the leader. It is sent until the leader acknowledges it.
#[derive(Debug)]
pub(super) struct ReportedStatus {
    pub(super) status: MachineStatus,
    /// The sequence number of the first block status that contains it.
    pub(super) sequence_number: u64,
}

/// The state of a machine's worker, as the holder of its block knows it.
#[derive(Debug)]
pub(super) struct Worker {
    /// The address at which it accepts commands; unknown until a report or the leader provides it.
    pub(super) addr: Option<String>,
    pub(super) agent_epoch: AgentEpoch,
    /// The sequence number of its last report.
    sequence_number: u64,
    /// The fencing token in its last report.
    pub(super) token: FencingToken,
    pub(super) liveness: Liveness,
    /// The cloud has announced that it will terminate the machine.
    pub(super) termination_notice: bool,
    /// The tasks in its last report.
    pub(super) tasks: BTreeMap<TaskId, ObservedTask>,
    pub(super) launches: Launches,
    pub(super) failures: TaskFailures,
    /// The images that its tasks have fetched.
    pub(super) images: BTreeSet<Image>,
    /// A direct command has been sent and its outcome is not known yet.
    pub(super) command_in_flight: bool,
    /// There may be commands that should not wait for the next heartbeat.
    pub(super) command_pending: bool,
    pub(super) reported_status: Option<ReportedStatus>,
}

impl Worker {
    /// Creates the state of a worker that has not reported yet.
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

    /// Whether a report is newer than the last one that was applied.
    pub(super) fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.agent_epoch, heartbeat.sequence_number)
            > (self.agent_epoch, self.sequence_number)
    }

    /// Whether a report shows a new agent epoch, which the worker begins when its lease has expired.
    pub(super) fn has_new_epoch(&self, heartbeat: &Heartbeat) -> bool {
        self.agent_epoch != AgentEpoch(0) && heartbeat.agent_epoch != self.agent_epoch
    }

    /// Applies the parts of a report that concern the worker itself, not its tasks or token.
    pub(super) fn apply_report(&mut self, heartbeat: &Heartbeat) {
        self.agent_epoch = heartbeat.agent_epoch;
        self.sequence_number = heartbeat.sequence_number;
        self.termination_notice = heartbeat.termination_notice_s.is_some();
        self.addr = Some(heartbeat.addr.clone());
    }

    /// Applies the token in a report. Requests a command if the worker still has to be sent the block's token, or has
    /// just confirmed it, so that tasks can be launched.
    pub(super) fn apply_token(&mut self, shown: FencingToken, block_token: FencingToken) {
        let newly_shown = shown >= block_token && self.token < block_token;
        self.token = shown;
        if self.token < block_token || newly_shown {
            self.command_pending = true;
        }
    }

    /// Records the images of its tasks, which the machine must have fetched or be fetching.
    pub(super) fn record_images(&mut self, cache: &WatchCache) {
        for (task, observed) in &self.tasks {
            let has_image = matches!(
                observed.state,
                TaskState::Running | TaskState::Checkpointing | TaskState::Waiting
            );
            if has_image && let Some(open) = cache.open_jobs.get(&task.job) {
                self.images.insert(open.job.image.clone());
            }
        }
    }

    /// Returns the observed task if it is this attempt.
    pub(super) fn observed(&self, attempt: &Attempt) -> Option<&ObservedTask> {
        self.tasks
            .get(&attempt.task)
            .filter(|observed| observed.number == attempt.number)
    }

    /// Whether a probe should be sent to it now.
    pub(super) fn probe_due(&self, now: Now, overdue_after: Duration) -> bool {
        (self.liveness.has_reported() || self.addr.is_some())
            && self.liveness.probe_due(now, overdue_after)
    }

    /// Whether tasks can be placed on it: it has confirmed the token, sends heartbeats, answers commands, and has no
    /// termination notice.
    pub(super) fn is_usable(&self, now: Now, token: FencingToken) -> bool {
        let reachable = self.token >= token && self.liveness.answers_commands();
        self.liveness.has_reported()
            && reachable
            && !self.termination_notice
            && self.liveness.heartbeat_is_recent(now)
    }

    /// Whether it counts as unresponsive by the policy's timeouts.
    pub(super) fn is_unresponsive(&self, now: Now, policy: &Policy) -> bool {
        self.liveness
            .is_unresponsive(now, policy, self.addr.is_some())
    }

    /// Whether the worker may remove its entry for an attempt that has ended: no launch of it, nor a duplicate of one,
    /// could run it a second time.
    pub(super) fn may_forget(&self, attempt: &Attempt, cause: Option<ExitCause>) -> bool {
        let restart_is_harmless =
            cause == Some(ExitCause::Done) || !self.launches.was_sent(attempt);
        restart_is_harmless && !self.launches.may_still_execute(attempt)
    }

    /// Removes the launches of attempts that the worker no longer lists.
    pub(super) fn forget_launches(&mut self, placed: impl Fn(&Attempt) -> bool) {
        let tasks = &self.tasks;
        let listed = |attempt: &Attempt| {
            tasks
                .get(&attempt.task)
                .is_some_and(|observed| observed.number == attempt.number)
        };
        self.launches.forget_unlisted(listed, placed);
    }

    /// Whether a new token is needed: a launch got no response, or it keeps too many ended tasks that can't be reaped.
    pub(super) fn needs_new_token(&self) -> bool {
        let ended = self
            .tasks
            .values()
            .filter(|observed| observed.state == TaskState::Exited)
            .count();
        self.launches.any_unacknowledged() || ended > MAX_REMEMBERED_TASKS
    }
}
