//! Cancelled jobs: every controller is told of them, and what is left of them is ended in time.
//!
//! A committed cancellation is final. Acting on it needs no leadership and no fresh copy of the records, only
//! certainty that it was committed and where the job's tasks are: a task stopped or a machine deleted for it stays
//! stopped or deleted, whoever leads. So this works on while the state service is out for everybody, which is when
//! nobody is certain to lead, and hung machines would keep their cancelled tasks for as long as they hang.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use tracing::warn;

use crate::cloud::wire::MachineNames;
use crate::cloud::{CloudRequest, CloudResponse};
use crate::config::Config;
use crate::domain::{Attempt, BlockId, ControllerName, Incarnation, JobId, MachineId, Now, since};
use crate::peer::{CancelledJob, ControllerHeartbeat};
use crate::provisioning::CloudRequestPurpose;
use crate::store::WatchCache;
use crate::store::cache::ChangedRecords;
use crate::store::records::BlockLease;

/// How long before a cancelled task has to be gone its machine is given up: time for the deletion, and for clocks that
/// differ.
pub const DELETION_MARGIN: Duration = Duration::from_secs(8);
/// A holder that was heard this lately sees to its machines itself. Controllers speak every second.
const HOLDER_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// Told in one message, the newest first.
const MAX_CANCELLED_JOBS_PER_HEARTBEAT: usize = 256;
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// A deletion that was refused or not answered is repeated after this long: what is deleted already is ignored.
const DELETION_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The protocol's limit for one deletion.
const MAX_MACHINES_PER_DELETION: usize = 100;

/// Whether a job cancelled at `cancelled_ms` is so late that machines which still have tasks of it are given up.
pub fn is_overdue(now: Now, config: &Config, cancelled_ms: u64) -> bool {
    let patience = config
        .cancel_within
        .saturating_sub(DELETION_MARGIN)
        .max(config.cancel_within / 2);
    Duration::from_millis(now.unix_ms().saturating_sub(cancelled_ms)) >= patience
}

/// An outage counts as lasting for all until this long after the others have last said that they are in it: they are out of
/// it one by one.
const SHARED_OUTAGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Signs of life of ours whose times are kept: answers to older ones are of no use.
const MAX_SENT_HEARTBEATS: usize = 64;

/// What this controller knows of another.
#[derive(Debug)]
struct PeerState {
    incarnation: Incarnation,
    number: u64,
    at: Instant,
    /// When it last said that it doesn't reach the state service.
    out: Option<Instant>,
    /// It has named all cancellations that it knew of at this time or later: the time at which we sent what it had heard
    /// by then.
    covers: Option<Instant>,
}

#[derive(Debug, Default)]
pub struct Cancellations {
    /// Cancelled jobs whose tasks are not all proven gone, by our copy: version and time of day.
    open: BTreeMap<JobId, (u64, u64)>,
    peers: BTreeMap<ControllerName, PeerState>,
    /// Our signs of life, and when we gave them.
    sent: VecDeque<(u64, Instant)>,
    last_poll: Option<Instant>,
    /// The deletion that is under way.
    deleting: Vec<MachineId>,
    retry_at: Option<Instant>,
    /// Deleted by us; the inventory still has them.
    deleted: BTreeSet<MachineId>,
}

impl Cancellations {
    pub fn new() -> Self {
        Cancellations::default()
    }

    /// Brings the list up to date with our copy of the records.
    pub fn sync(&mut self, cache: &WatchCache, changed: &ChangedRecords) {
        let cancelled = |job: &JobId| {
            let open = cache.open.get(job).filter(|open| open.cancelled)?;
            Some((*job, (open.version, open.cancelled_ms)))
        };
        if changed.all {
            self.open = cache.open.keys().filter_map(cancelled).collect();
        }
        for job in &changed.ended {
            match cancelled(job) {
                Some((job, known)) => self.open.insert(job, known),
                None => self.open.remove(job),
            };
        }
        self.deleted
            .retain(|machine| cache.machines.contains_key(machine));
    }

    /// What the others are told every second. Cancellations again and again: a message may be lost, and who is cut off
    /// from the state service learns of them in no other way.
    pub fn next_heartbeat(
        &mut self,
        now: Now,
        controller: &ControllerName,
        incarnation: Incarnation,
        cache: &WatchCache,
        reaches_state: bool,
    ) -> ControllerHeartbeat {
        let number = self.sent.back().map_or(1, |(number, _)| number + 1);
        self.sent.push_back((number, now.monotonic));
        if self.sent.len() > MAX_SENT_HEARTBEATS {
            self.sent.pop_front();
        }
        ControllerHeartbeat {
            controller: controller.clone(),
            incarnation,
            number,
            reaches_state,
            // Without a copy an earlier process of this controller may have confirmed what we have not read yet.
            complete: cache.ready() && self.open.len() <= MAX_CANCELLED_JOBS_PER_HEARTBEAT,
            cancelled: self.newest_cancelled_jobs(),
            heard: self
                .peers
                .iter()
                .map(|(controller, peer)| (controller.clone(), (peer.incarnation, peer.number)))
                .collect(),
        }
    }

    fn newest_cancelled_jobs(&self) -> Vec<CancelledJob> {
        let mut newest: Vec<CancelledJob> = self
            .open
            .iter()
            .map(|(job, (version, at_ms))| CancelledJob::new(*job, *version, *at_ms))
            .collect();
        newest.sort_by_key(|job| std::cmp::Reverse(job.version));
        newest.truncate(MAX_CANCELLED_JOBS_PER_HEARTBEAT);
        newest
    }

    /// A sign of life, numbered, for a late one tells nothing of the present. What it says of cancellations has been
    /// taken in. `us`: our name and process.
    pub fn record_heartbeat(
        &mut self,
        now: Now,
        us: (&ControllerName, Incarnation),
        heartbeat: &ControllerHeartbeat,
    ) {
        let ControllerHeartbeat {
            controller,
            incarnation,
            number,
            reaches_state,
            complete,
            heard,
            ..
        } = heartbeat;
        let known = self.peers.get(controller);
        if known.is_some_and(|peer| peer.incarnation == *incarnation && *number <= peer.number) {
            return;
        }
        let before = known
            .filter(|peer| peer.incarnation == *incarnation)
            .and_then(|peer| peer.covers);
        let answered = heard
            .get(us.0)
            .filter(|(incarnation, _)| *complete && *incarnation == us.1);
        let covers = answered
            .and_then(|(_, of_ours)| self.sent.iter().find(|(number, _)| number == of_ours));
        let covers = before.max(covers.map(|(_, at)| *at));
        let out = if *reaches_state {
            known.and_then(|peer| peer.out)
        } else {
            Some(now.monotonic)
        };
        self.peers.insert(
            controller.clone(),
            PeerState {
                incarnation: *incarnation,
                number: *number,
                at: now.monotonic,
                out,
                covers,
            },
        );
    }

    /// Every cancellation that a user was told of before this time is known here, whatever our copy shows: each of the
    /// others has named all it knew of after we had sent something at this time. So an outage of the state service need
    /// not end the tasks of holders that hear all other controllers, for nobody can confirm what they don't hear of.
    ///
    /// Only in an outage for all: where others reach the state service, who does not is replaced, and goes on answering the
    /// workers that nobody else can find only for the life of its block lease.
    pub fn all_known_until(&self, now: Now, config: &Config) -> Option<Instant> {
        let covers = config.peers.iter().map(|peer| {
            let peer = self.peers.get(&peer.name)?;
            peer.covers.filter(|_| {
                peer.out
                    .is_some_and(|at| since(now, at) < SHARED_OUTAGE_TIMEOUT)
            })
        });
        covers.collect::<Option<Vec<Instant>>>()?.into_iter().min()
    }

    /// This process stood still: what it did not hear meanwhile is no silence of the others.
    pub fn process_paused(&mut self, gap: Duration) {
        for peer in self.peers.values_mut() {
            peer.at += gap;
        }
    }

    /// Whether the process that holds this block lease was heard lately.
    pub fn holder_is_alive(&self, now: Now, lease: &BlockLease) -> bool {
        let peer = self.peers.get(&lease.holder);
        peer.is_some_and(|peer| {
            peer.incarnation == lease.incarnation && since(now, peer.at) < HOLDER_HEARTBEAT_TIMEOUT
        })
    }

    /// Deletes machines that must be rid of a cancelled task: those of our blocks of which that is not proven, and
    /// those of holders that are not heard. `incarnation`: this process. `proven`: whether a task of ours is proven gone.
    pub fn poll(
        &mut self,
        now: Now,
        config: &Config,
        incarnation: Incarnation,
        cache: &WatchCache,
        proven: impl Fn(&BlockId, &MachineId, &Attempt) -> bool,
    ) -> Option<(CloudRequestPurpose, CloudRequest)> {
        if self.open.is_empty()
            || self
                .last_poll
                .is_some_and(|at| since(now, at) < POLL_INTERVAL)
        {
            return None;
        }
        self.last_poll = Some(now.monotonic);
        if !self.deleting.is_empty() || self.retry_at.is_some_and(|at| now.monotonic < at) {
            return None;
        }
        let mut due = BTreeSet::new();
        for (job, _) in self
            .open
            .iter()
            .filter(|(_, (_, at_ms))| is_overdue(now, config, *at_ms))
        {
            for ((index, number), placement) in cache.placed(*job) {
                let left = cache.machines.contains_key(&placement.machine)
                    && !self.deleted.contains(&placement.machine);
                let Some(lease) = cache
                    .block_leases
                    .get(&placement.block)
                    .filter(|_| left)
                    .map(|lease| &lease.value)
                else {
                    continue;
                };
                let attempt = Attempt {
                    task: crate::domain::TaskId {
                        job: *job,
                        index: *index,
                    },
                    number: *number,
                };
                let settled = if lease.holder == config.name && lease.incarnation == incarnation {
                    proven(&placement.block, &placement.machine, &attempt)
                } else {
                    self.holder_is_alive(now, lease)
                };
                if !settled && due.insert(placement.machine.clone()) {
                    warn!(machine = %placement.machine, %attempt, "machine deleted: its cancelled task must be gone");
                }
            }
        }
        let due: Vec<MachineId> = due.into_iter().take(MAX_MACHINES_PER_DELETION).collect();
        if due.is_empty() {
            return None;
        }
        self.deleting.clone_from(&due);
        Some((
            CloudRequestPurpose::TerminateForCancellation,
            CloudRequest::Delete(MachineNames { machines: due }),
        ))
    }

    /// The cloud's answer. The inventory is changed by the leader, which finds the machine overdue as well.
    pub fn cloud_responded(&mut self, now: Now, outcome: &CloudResponse) {
        let machines = std::mem::take(&mut self.deleting);
        match outcome {
            CloudResponse::Deleted => self.deleted.extend(machines),
            _ => self.retry_at = Some(now.monotonic + DELETION_RETRY_INTERVAL),
        }
    }
}

#[cfg(test)]
mod tests;
