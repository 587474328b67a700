//! A machine's worker as its holder knows it.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::wire::{Cause, TaskState};
use crate::domain::{AgentEpoch, Attempt, FencingToken, Image, JobId, Now, TaskId, since};
use crate::peer::{JobFailures, MachineStatus};
use crate::policy::Policy;

/// A worker that has not reported for this long gets no new tasks.
pub(super) const QUIET: Duration = Duration::from_secs(9);
pub(super) const PROBE_AGAIN: Duration = Duration::from_secs(4);
/// Jobs whose failures on one machine are kept in mind.
const MOST_FAILED_JOBS: usize = 16;

/// How a launch under the present token and session went.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Launch {
    /// Sent; no answer yet.
    Sent { at: Instant },
    /// The worker's answer shows it.
    Confirmed,
    /// No answer came: it is repeated after a while.
    Lost { at: Instant },
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ObservedTask {
    pub(super) number: u64,
    pub(super) state: TaskState,
    pub(super) cause: Option<Cause>,
}

/// A machine's worker as its holder knows it.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) addr: Option<String>,
    pub(super) agent_epoch: AgentEpoch,
    pub(super) seq: u64,
    pub(super) token: FencingToken,
    /// Steady time of the last heartbeat that reached us, or of the block lease if there was none yet. Answers don't count.
    pub(super) heard: Instant,
    pub(super) reported: bool,
    pub(super) notice: bool,
    pub(super) tasks: BTreeMap<TaskId, ObservedTask>,
    pub(super) launches: HashMap<Attempt, Launch>,
    /// Attempts of which some launch went unanswered: it may still be executed, minutes later, as long as
    /// token and session stay the same. Only the worker's memory of the attempt keeps it from starting again.
    pub(super) tainted: HashSet<Attempt>,
    /// Every attempt that was launched under the present token and session. Copies of a launch may come late though it
    /// was answered, so those that did not end as done are remembered by the worker until the token has changed: a
    /// finished task ends again at once, any other would run a second time.
    pub(super) launched: HashSet<Attempt>,
    /// A direct command is on its way.
    pub(super) busy: bool,
    /// Something to tell the worker that should not wait for its next heartbeat.
    pub(super) due: bool,
    /// Since when commands have gone unanswered. Its heartbeats may still come: then what we say does not reach it,
    /// its lease runs out whatever we answer, and a task that is launched there never starts.
    pub(super) deaf: Option<Instant>,
    /// Asked for a sign of life since its last heartbeat: when, and whether it failed to give one.
    pub(super) probed: Option<(Instant, bool)>,
    /// Tasks that failed since one was done here. A job with a mistake fails on every machine, so it takes two jobs to
    /// tell a faulty machine.
    pub(super) errors: u32,
    /// How often tasks of each job failed here since one was done.
    pub(super) failures: BTreeMap<JobId, u32>,
    pub(super) images: BTreeSet<Image>,
    /// What the leader is told of it, and the number of the message that first said so.
    pub(super) told: Option<(MachineStatus, u64)>,
}

impl Worker {
    pub(super) fn new(now: Now) -> Self {
        Worker {
            addr: None,
            agent_epoch: AgentEpoch(0),
            seq: 0,
            token: FencingToken(0),
            heard: now.monotonic,
            reported: false,
            notice: false,
            tasks: BTreeMap::new(),
            launches: HashMap::new(),
            tainted: HashSet::new(),
            launched: HashSet::new(),
            busy: false,
            due: false,
            deaf: None,
            probed: None,
            errors: 0,
            failures: BTreeMap::new(),
            images: BTreeSet::new(),
            told: None,
        }
    }

    /// Takes in how a task ended.
    pub(super) fn note_end(&mut self, job: JobId, cause: Option<Cause>) {
        match cause {
            Some(Cause::Done) => {
                self.errors = 0;
                self.failures.clear();
            }
            // What another task of its gang ran into says nothing of this one.
            None | Some(Cause::Stopped | Cause::PeerGone | Cause::Incomplete) => {}
            Some(cause) => {
                self.errors += u32::from(cause == Cause::Error);
                *self.failures.entry(job).or_default() += 1;
                if self.failures.len() > MOST_FAILED_JOBS {
                    // The oldest job most likely, by its name.
                    self.failures.pop_first();
                }
            }
        }
    }

    /// What the leader is told of failures here. One job alone never makes a machine faulty.
    pub(super) fn told_failures(&self) -> (u32, Vec<JobFailures>) {
        let errors = if self.failures.len() > 1 {
            self.errors
        } else {
            self.errors.min(2)
        };
        let failures = self
            .failures
            .iter()
            .map(|(job, count)| JobFailures {
                job: *job,
                count: *count,
            })
            .collect();
        (errors, failures)
    }

    /// Whether it should be asked for a sign of life: its heartbeat is overdue, or it did not answer lately.
    pub(super) fn probe_due(&self, now: Now, quiet: Duration) -> bool {
        (self.reported || self.addr.is_some())
            && (since(now, self.heard) > quiet || self.deaf.is_some())
            && self
                .probed
                .is_none_or(|(at, _)| since(now, at) > PROBE_AGAIN)
    }

    /// Whether it has shown the token, reports, hears us, and is not being taken away.
    pub(super) fn usable(&self, now: Now, token: FencingToken) -> bool {
        let reachable = self.token >= token && self.deaf.is_none();
        self.reported && reachable && !self.notice && since(now, self.heard) < QUIET
    }

    /// Whether it gives no sign of life: heartbeats are missing and a question went unanswered.
    pub(super) fn silent(&self, now: Now, policy: &Policy) -> bool {
        let unanswered = self.probed.is_some_and(|(_, failed)| failed);
        let patience = match (unanswered, &self.addr) {
            (true, _) => policy.silent_after,
            (false, Some(_)) => policy.unheard_after,
            // Nobody knows where it is, so it can't be asked, and the block's last holder, if it lost only the state
            // service, answers its heartbeats for the life of its block lease.
            (false, None) => policy
                .unheard_after
                .max(policy.block_lease_duration + policy.silent_after),
        };
        let deaf = self
            .deaf
            .is_some_and(|at| since(now, at) >= policy.unheard_after);
        since(now, self.heard) >= patience || deaf
    }

    /// Whether a worker may forget an attempt that has ended: no launch of it, nor a copy of one, could start it again.
    pub(super) fn may_forget(&self, attempt: &Attempt, cause: Option<Cause>) -> bool {
        let harmless = cause == Some(Cause::Done) || !self.launched.contains(attempt);
        harmless && !self.may_start_late(attempt)
    }

    /// Forgets launches of attempts that the worker has forgotten too: those that it neither lists nor is to list.
    /// Without this every task that ever ran here would be kept in mind.
    pub(super) fn forget_launches(&mut self, placed: impl Fn(&Attempt) -> bool) {
        let Worker {
            launched,
            tasks,
            tainted,
            ..
        } = self;
        launched.retain(|attempt| {
            let listed = tasks
                .get(&attempt.task)
                .is_some_and(|seen| seen.number == attempt.number);
            listed || tainted.contains(attempt) || placed(attempt)
        });
    }

    /// Whether a launch of this attempt may still be on its way.
    pub(super) fn may_start_late(&self, attempt: &Attempt) -> bool {
        self.tainted.contains(attempt)
            || matches!(self.launches.get(attempt), Some(Launch::Sent { .. }))
    }
}
