//! Who ends what is left of a cancelled job, and when.

use super::*;
use crate::config::tests::SETTINGS;
use crate::domain::{CapacityType, FencingToken, Incarnation, TaskId, Term};
use crate::placement::tests::job;
use crate::store::Change;
use crate::store::records::{
    BlockPlacements, InventoryEntry, JobRecord, MachineInventory, MachineState, block_lease_key,
    encode, inventory_key, job_key, placements_key,
};

const INCARNATION: Incarnation = Incarnation(7);

/// Our copy: block `a.0` is ours with `m-1`, block `b.0` another's (process 3) with `m-2`. On both is a task of job 1,
/// which is cancelled, and on `m-3` of ours one of job 2, which is not.
struct Copy {
    config: Config,
    cache: WatchCache,
    start: Now,
    cancellations: Cancellations,
    /// Whether the others reach the state service.
    reaches_state: bool,
}

impl Copy {
    fn new() -> Self {
        let config = Config::parse("s.toml", SETTINGS).expect("valid");
        let start = Now::read();
        let mut cache = WatchCache::following();
        let mut version = 0;
        let mut put = |key: String, value| {
            version += 1;
            cache.apply(Change {
                key,
                version,
                value: Some(value),
            });
        };
        let other = config.peers[0].name.clone();
        for (block, holder, incarnation, on) in [
            (
                "a.0",
                &config.name,
                INCARNATION,
                &[("m-1", 1), ("m-3", 2)][..],
            ),
            ("b.0", &other, Incarnation(3), &[("m-2", 1)]),
        ] {
            let entry = || InventoryEntry {
                type_name: "large".into(),
                capacity_type: CapacityType::Spot,
                state: MachineState::InService,
                rented_s: 0,
            };
            let machines = on
                .iter()
                .map(|(machine, _)| ((*machine).into(), entry()))
                .collect();
            put(
                inventory_key(&block.into()),
                encode(&MachineInventory {
                    zone: "a".into(),
                    on: machines,
                }),
            );
            let lease = BlockLease {
                zone: "a".into(),
                holder: holder.clone(),
                incarnation: Incarnation(incarnation.0),
                token: FencingToken(4),
                term: Term(3),
            };
            put(block_lease_key(&block.into()), encode(&lease));
            let mut placements = BlockPlacements::default();
            for (machine, job) in on {
                let task = TaskId {
                    job: JobId(*job),
                    index: u32::from(block == "b.0"),
                };
                placements.add(&(*machine).into(), Attempt { task, number: 9 });
            }
            put(placements_key(&block.into()), encode(&placements));
        }
        put(
            job_key(JobId(1)),
            encode(&JobRecord::Cancelled(job(2, 1.0), start.unix_ms())),
        );
        put(job_key(JobId(2)), encode(&JobRecord::Open(job(2, 1.0))));
        let mut cancellations = Cancellations::new();
        let changed = cache.take_changed();
        cancellations.sync(&cache, &changed);
        Copy {
            config,
            cache,
            start,
            cancellations,
            reaches_state: false,
        }
    }

    fn at(&self, after: Duration) -> Now {
        Now {
            monotonic: self.start.monotonic + after,
            wall: self.start.wall + after,
        }
    }

    fn hear_holder(&mut self, after: Duration, incarnation: Incarnation, number: u64) {
        self.hear(0, after, incarnation, number, true, None);
    }

    /// `heard`: the last of our signs of life that it has heard.
    fn hear(
        &mut self,
        peer: usize,
        after: Duration,
        incarnation: Incarnation,
        number: u64,
        complete: bool,
        heard: Option<(Incarnation, u64)>,
    ) {
        let us = self.config.name.clone();
        let heartbeat = ControllerHeartbeat {
            controller: self.config.peers[peer].name.clone(),
            incarnation,
            number,
            reaches_state: self.reaches_state,
            cancelled: Vec::new(),
            complete,
            heard: heard.into_iter().map(|heard| (us.clone(), heard)).collect(),
        };
        self.cancellations
            .record_heartbeat(self.at(after), (&us, INCARNATION), &heartbeat);
    }

    fn next_heartbeat(&mut self, after: Duration) -> ControllerHeartbeat {
        let (now, us) = (self.at(after), self.config.name.clone());
        self.cancellations
            .next_heartbeat(now, &us, INCARNATION, &self.cache, false)
    }

    /// The machines that are deleted then.
    fn deleted(&mut self, after: Duration, proven: bool) -> Vec<String> {
        let now = self.at(after);
        let call =
            self.cancellations
                .poll(now, &self.config, INCARNATION, &self.cache, |_, _, _| {
                    proven
                });
        match call {
            Some((CloudRequestPurpose::TerminateForCancellation, CloudRequest::Delete(names))) => {
                names
                    .machines
                    .iter()
                    .map(|machine| machine.0.to_string())
                    .collect()
            }
            None => Vec::new(),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn machines_with_cancelled_tasks_are_deleted_in_time_by_their_holder_or_if_it_is_not_heard_by_anyone()
 {
    let mut copy = Copy::new();
    let late = copy.config.cancel_within - DELETION_MARGIN;
    assert_eq!(
        copy.deleted(late - Duration::from_secs(1), false),
        [] as [&str; 0],
        "there is time yet"
    );
    copy.hear_holder(late, Incarnation(3), 1);
    assert_eq!(
        copy.deleted(late, true),
        [] as [&str; 0],
        "ours is proven gone, the other holder sees to its own"
    );
    let later = late + POLL_INTERVAL;
    assert_eq!(copy.deleted(later, false), ["m-1"]);
    copy.cancellations
        .cloud_responded(copy.at(later), &CloudResponse::Unknown);
    assert_eq!(
        copy.deleted(later + POLL_INTERVAL, false),
        [] as [&str; 0],
        "not at once"
    );
    assert_eq!(
        copy.deleted(later + DELETION_RETRY_INTERVAL, false),
        ["m-1"],
        "the call may be lost"
    );
    copy.cancellations.cloud_responded(
        copy.at(later + DELETION_RETRY_INTERVAL),
        &CloudResponse::Deleted,
    );
    assert_eq!(
        copy.deleted(later + DELETION_RETRY_INTERVAL * 2, false),
        [] as [&str; 0],
        "once is enough"
    );
    assert_eq!(
        copy.deleted(late + HOLDER_HEARTBEAT_TIMEOUT, false),
        ["m-2"],
        "its holder is not heard any more"
    );
}

#[test]
fn only_signs_of_life_of_the_process_that_holds_the_grant_count_and_late_ones_do_not() {
    let mut copy = Copy::new();
    let late = copy.config.cancel_within - DELETION_MARGIN;
    let lease = copy.cache.block_leases[&BlockId::from("b.0")].value.clone();
    let heard =
        |copy: &Copy, after: Duration| copy.cancellations.holder_is_alive(copy.at(after), &lease);
    copy.hear_holder(Duration::from_secs(1), Incarnation(3), 5);
    assert!(heard(&copy, Duration::from_secs(1)));
    copy.hear_holder(late, Incarnation(3), 4);
    copy.hear_holder(late, Incarnation(3), 5);
    assert!(
        !heard(&copy, late),
        "an earlier message, and a copy of the last one"
    );
    copy.hear_holder(late, Incarnation(3), 6);
    assert!(heard(&copy, late));
    copy.cancellations.process_paused(Duration::from_secs(30));
    assert!(
        heard(&copy, late + Duration::from_secs(30)),
        "we were away, not it"
    );
    copy.hear_holder(late, Incarnation(4), 1);
    assert!(
        !heard(&copy, late),
        "a process that was started since knows nothing of its tasks"
    );
    assert_eq!(copy.deleted(late, true), ["m-2"]);
}

#[test]
fn others_are_told_of_cancelled_jobs_until_they_are_over() {
    let mut copy = Copy::new();
    let told = copy.cancellations.newest_cancelled_jobs();
    assert_eq!(
        told.iter().map(|told| told.job).collect::<Vec<_>>(),
        [JobId(1)]
    );
    assert_eq!(told[0].version, copy.cache.open[&JobId(1)].version);
    let end = encode(&JobRecord::Ended(crate::domain::JobOutcome::Cancelled, 2));
    copy.cache.apply(Change {
        key: job_key(JobId(1)),
        version: 90,
        value: Some(end),
    });
    let changed = copy.cache.take_changed();
    copy.cancellations.sync(&copy.cache, &changed);
    assert_eq!(copy.cancellations.newest_cancelled_jobs(), []);
}

/// In an outage all holders may go on only while they know of all that can have been confirmed.
#[test]
fn what_all_others_have_named_is_known_since_we_sent_what_they_had_heard() {
    let mut copy = Copy::new();
    let seconds = Duration::from_secs;
    let known = |copy: &Copy| {
        let known = copy
            .cancellations
            .all_known_until(copy.at(seconds(13)), &copy.config);
        known.map(|at| at.saturating_duration_since(copy.start.monotonic))
    };
    for second in 1..=9 {
        assert_eq!(copy.next_heartbeat(seconds(second)).number, second);
    }
    copy.hear(
        0,
        seconds(10),
        Incarnation(3),
        1,
        true,
        Some((INCARNATION, 5)),
    );
    assert_eq!(known(&copy), None, "only one of two");
    copy.hear(
        1,
        seconds(10),
        Incarnation(4),
        1,
        true,
        Some((INCARNATION, 7)),
    );
    assert_eq!(
        known(&copy),
        Some(seconds(5)),
        "when we sent that, not when the answer came"
    );
    copy.hear(
        0,
        seconds(11),
        Incarnation(3),
        2,
        false,
        Some((INCARNATION, 9)),
    );
    copy.hear(
        0,
        seconds(11),
        Incarnation(3),
        3,
        true,
        Some((Incarnation(INCARNATION.0 + 1), 9)),
    );
    copy.hear(0, seconds(11), Incarnation(3), 4, true, None);
    assert_eq!(
        known(&copy),
        Some(seconds(5)),
        "not all it knows; another process of ours; it has not heard us"
    );
    copy.hear(
        0,
        seconds(12),
        Incarnation(3),
        6,
        true,
        Some((INCARNATION, 9)),
    );
    assert_eq!(known(&copy), Some(seconds(7)));
    copy.hear(
        1,
        seconds(12),
        Incarnation(4),
        1,
        true,
        Some((INCARNATION, 9)),
    );
    assert_eq!(
        known(&copy),
        Some(seconds(7)),
        "a copy of an earlier message"
    );
    copy.hear(
        1,
        seconds(13),
        Incarnation(5),
        1,
        false,
        Some((INCARNATION, 9)),
    );
    assert_eq!(
        known(&copy),
        None,
        "started since: what its last process confirmed it does not know"
    );
}

/// Who is cut off from the state service alone is replaced, and must leave its workers to its successor.
#[test]
fn what_others_name_counts_only_in_an_outage_for_all() {
    let mut copy = Copy::new();
    let seconds = Duration::from_secs;
    let known = |copy: &Copy, second| {
        copy.cancellations
            .all_known_until(copy.at(seconds(second)), &copy.config)
            .is_some()
    };
    copy.next_heartbeat(seconds(1));
    copy.hear(
        0,
        seconds(2),
        Incarnation(3),
        1,
        true,
        Some((INCARNATION, 1)),
    );
    copy.hear(
        1,
        seconds(2),
        Incarnation(4),
        1,
        true,
        Some((INCARNATION, 1)),
    );
    assert!(known(&copy, 3));
    copy.reaches_state = true;
    copy.hear(
        0,
        seconds(4),
        Incarnation(3),
        2,
        true,
        Some((INCARNATION, 1)),
    );
    assert!(known(&copy, 7), "it is out of it first, we follow");
    copy.hear(
        0,
        seconds(8),
        Incarnation(3),
        3,
        true,
        Some((INCARNATION, 1)),
    );
    assert!(!known(&copy, 8));
}

#[test]
fn a_controller_without_a_copy_or_with_too_much_to_tell_does_not_claim_to_name_all() {
    let mut copy = Copy::new();
    assert!(copy.next_heartbeat(Duration::ZERO).complete);
    let ready = std::mem::replace(
        &mut copy.cache,
        WatchCache::new(&copy.config.state_limits, 3),
    );
    assert!(
        !copy.next_heartbeat(Duration::ZERO).complete,
        "started in an outage"
    );
    copy.cache = ready;
    copy.cancellations
        .open
        .extend((10..10 + MAX_CANCELLED_JOBS_PER_HEARTBEAT as u64).map(|id| (JobId(id), (id, 0))));
    let heartbeat = copy.next_heartbeat(Duration::ZERO);
    assert!(!heartbeat.complete && heartbeat.cancelled.len() == MAX_CANCELLED_JOBS_PER_HEARTBEAT);
}
