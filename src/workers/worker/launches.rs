//! Tracks the launch commands that were sent to a worker, and which of them may still be executed.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::domain::{Attempt, Now, TaskId, since};

/// The delay before a launch without a response is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(1500);

/// The outcome of a launch command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::workers) enum LaunchOutcome {
    /// The worker executed it.
    Executed,
    /// The worker rejected it, because its token or agent epoch is not the one in the command.
    Rejected,
    /// No response arrived: it may still be executed.
    Unknown,
}

/// The state of the last launch of an attempt under the current token and agent epoch.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LaunchState {
    /// Sent, and no response has arrived yet.
    InFlight,
    /// The worker executed it.
    Confirmed,
    /// The request ended without a response.
    Unacknowledged { at: Instant },
}

/// The launches sent to a worker under the current token and agent epoch.
///
/// The network may deliver a launch late or twice. A worker executes no launch that was sent under an earlier token or
/// agent epoch, so all entries are cleared when either changes.
#[derive(Debug, Default)]
pub(in crate::workers) struct Launches {
    states: HashMap<Attempt, LaunchState>,
    /// Attempts with at least one launch without a response. It may still be executed minutes later, as long as token and
    /// agent epoch stay the same. Only the worker's entry for the attempt prevents a second start.
    unacknowledged: HashSet<Attempt>,
    /// All attempts for which a launch was sent. A duplicate of a launch may arrive after its response, so the worker
    /// has to keep its entry for an attempt until the token changes, unless the attempt ended as done: a finished task
    /// that is started again ends at once, any other would run a second time.
    sent: HashSet<Attempt>,
}

impl Launches {
    /// Clears all entries after a change of the token or the agent epoch.
    pub(in crate::workers) fn clear(&mut self) {
        self.states.clear();
        self.unacknowledged.clear();
        self.sent.clear();
    }

    /// Records that a launch of the attempt is being sent.
    pub(in crate::workers) fn record_sent(&mut self, attempt: Attempt) {
        self.states.insert(attempt, LaunchState::InFlight);
        self.sent.insert(attempt);
    }

    /// Records the outcome of a launch that was sent under the current token and agent epoch.
    pub(in crate::workers) fn record_outcome(
        &mut self,
        now: Now,
        attempt: Attempt,
        outcome: LaunchOutcome,
    ) {
        match outcome {
            LaunchOutcome::Executed => {
                self.states.insert(attempt, LaunchState::Confirmed);
            }
            LaunchOutcome::Rejected => {
                self.states.remove(&attempt);
            }
            LaunchOutcome::Unknown => {
                self.unacknowledged.insert(attempt);
                let at = now.monotonic;
                self.states
                    .insert(attempt, LaunchState::Unacknowledged { at });
            }
        }
    }

    /// Removes the states of attempts that are no longer placed on the machine.
    pub(in crate::workers) fn retain_states(&mut self, placed: impl Fn(&Attempt) -> bool) {
        self.states.retain(|attempt, _| placed(attempt));
    }

    /// Removes the attempts that the worker no longer lists, are not placed on it, and have no launch without a response.
    /// Otherwise an entry for every task that ever ran on the machine would be kept.
    pub(in crate::workers) fn forget_unlisted(
        &mut self,
        listed: impl Fn(&Attempt) -> bool,
        placed: impl Fn(&Attempt) -> bool,
    ) {
        let unacknowledged = &self.unacknowledged;
        self.sent.retain(|attempt| {
            listed(attempt) || unacknowledged.contains(attempt) || placed(attempt)
        });
    }

    /// Whether a launch of the attempt is tracked.
    pub(in crate::workers) fn has_state(&self, attempt: &Attempt) -> bool {
        self.states.contains_key(attempt)
    }

    /// Whether earlier launches of the attempt allow another one to be sent now.
    pub(in crate::workers) fn may_send(&self, now: Now, attempt: &Attempt) -> bool {
        match self.states.get(attempt) {
            Some(LaunchState::InFlight) => false,
            Some(LaunchState::Unacknowledged { at }) => since(now, *at) >= RESEND_INTERVAL,
            Some(LaunchState::Confirmed) | None => true,
        }
    }

    /// Whether any launch without a response is due to be sent again.
    pub(in crate::workers) fn resend_due(&self, now: Now) -> bool {
        self.states.values().any(|state| {
            matches!(state, LaunchState::Unacknowledged { at } if since(now, *at) >= RESEND_INTERVAL)
        })
    }

    /// Whether any launch got no response. Only a new token guarantees that it is not executed.
    pub(in crate::workers) fn any_unacknowledged(&self) -> bool {
        !self.unacknowledged.is_empty()
    }

    /// Whether a launch of the attempt that has no response yet may still be executed.
    pub(in crate::workers) fn may_still_execute(&self, attempt: &Attempt) -> bool {
        self.unacknowledged.contains(attempt)
            || matches!(self.states.get(attempt), Some(LaunchState::InFlight))
    }

    /// Whether a launch of the attempt, or a duplicate of one, could start it again if the worker removed its entry for
    /// it.
    pub(in crate::workers) fn was_sent(&self, attempt: &Attempt) -> bool {
        self.sent.contains(attempt)
    }

    /// Whether a launch of any attempt of the task, or a duplicate of one, may still arrive. A new attempt would
    /// replace the worker's entry for the earlier one, which could then start in parallel with the new one.
    pub(in crate::workers) fn was_sent_for_task(&self, task: TaskId) -> bool {
        self.sent.iter().any(|attempt| attempt.task == task)
    }

    /// The number of attempts for which a sent launch is tracked.
    #[cfg(test)]
    pub(in crate::workers) fn attempts_sent(&self) -> usize {
        self.sent.len()
    }
}
