//! The launches that were sent to a worker, and which of them may still be executed.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::domain::{Attempt, Now, TaskId, since};

/// A launch that got no response is sent again after this long.
const RESEND_INTERVAL: Duration = Duration::from_millis(1500);

/// The response to a launch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::workers) enum LaunchOutcome {
    /// The worker executed it.
    Executed,
    /// The worker refused it: it shows another token or agent epoch.
    Rejected,
    /// There was no response: it may still be executed.
    Unknown,
}

/// The last launch of an attempt under the present token and agent epoch.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LaunchState {
    /// Sent; no response yet.
    InFlight,
    /// The worker executed it.
    Confirmed,
    /// No response came.
    Unacknowledged { at: Instant },
}

/// The launches sent to a worker under the present token and agent epoch.
///
/// The network may deliver a launch late or twice. A worker executes none that was sent under an earlier token or agent
/// epoch, so all is forgotten when one of them changes.
#[derive(Debug, Default)]
pub(in crate::workers) struct Launches {
    states: HashMap<Attempt, LaunchState>,
    /// Attempts of which some launch went unanswered: it may still be executed, minutes later, as long as token and agent
    /// epoch stay the same. Only the worker's memory of the attempt keeps it from starting again.
    unacknowledged: HashSet<Attempt>,
    /// Every attempt that a launch was sent for. Copies of a launch may come late though it was answered, so those that did
    /// not end as done are remembered by the worker until the token has changed: a finished task ends again at once, any
    /// other would run a second time.
    sent: HashSet<Attempt>,
}

impl Launches {
    /// Forgets all: the token or the agent epoch has changed.
    pub(in crate::workers) fn clear(&mut self) {
        self.states.clear();
        self.unacknowledged.clear();
        self.sent.clear();
    }

    /// Records that a launch is sent now.
    pub(in crate::workers) fn record_sent(&mut self, attempt: Attempt) {
        self.states.insert(attempt, LaunchState::InFlight);
        self.sent.insert(attempt);
    }

    /// Records the response to a launch that was sent under the present token and agent epoch.
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

    /// Drops the states of attempts that are no longer placed on the machine.
    pub(in crate::workers) fn retain_states(&mut self, placed: impl Fn(&Attempt) -> bool) {
        self.states.retain(|attempt, _| placed(attempt));
    }

    /// Forgets the attempts that the worker has forgotten too: those that it neither lists nor is to list. Without this
    /// every task that ever ran there would be kept.
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

    /// Whether the state of a launch of this attempt is known.
    pub(in crate::workers) fn has_state(&self, attempt: &Attempt) -> bool {
        self.states.contains_key(attempt)
    }

    /// Whether a launch of the attempt may be sent now, as far as earlier ones are concerned.
    pub(in crate::workers) fn may_send(&self, now: Now, attempt: &Attempt) -> bool {
        match self.states.get(attempt) {
            Some(LaunchState::InFlight) => false,
            Some(LaunchState::Unacknowledged { at }) => since(now, *at) >= RESEND_INTERVAL,
            Some(LaunchState::Confirmed) | None => true,
        }
    }

    /// Whether a launch that got no response is to be sent again.
    pub(in crate::workers) fn resend_due(&self, now: Now) -> bool {
        self.states.values().any(|state| {
            matches!(state, LaunchState::Unacknowledged { at } if since(now, *at) >= RESEND_INTERVAL)
        })
    }

    /// Whether some launch got no response, so that only a new token makes sure that it is not executed.
    pub(in crate::workers) fn any_unacknowledged(&self) -> bool {
        !self.unacknowledged.is_empty()
    }

    /// Whether a launch of this attempt may still be on its way.
    pub(in crate::workers) fn may_still_execute(&self, attempt: &Attempt) -> bool {
        self.unacknowledged.contains(attempt)
            || matches!(self.states.get(attempt), Some(LaunchState::InFlight))
    }

    /// Whether a launch of this attempt, or a copy of it, could start it again if the worker forgot it.
    pub(in crate::workers) fn was_sent(&self, attempt: &Attempt) -> bool {
        self.sent.contains(attempt)
    }

    /// Whether a launch of any attempt of the task, or a copy of one, may still be on its way. A new attempt would make the
    /// worker forget that one, and it could start beside the new one.
    pub(in crate::workers) fn was_sent_for_task(&self, task: TaskId) -> bool {
        self.sent.iter().any(|attempt| attempt.task == task)
    }

    /// The number of attempts that are kept in mind.
    #[cfg(test)]
    pub(in crate::workers) fn attempts_sent(&self) -> usize {
        self.sent.len()
    }
}
