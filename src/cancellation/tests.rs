//! Tests of the deletion of machines with cancelled tasks and of the heartbeats between controllers.

use super::deletion::{DELETION_RETRY_INTERVAL, POLL_INTERVAL};
use super::peer_heartbeats::HOLDER_HEARTBEAT_TIMEOUT;
use super::*;
use crate::cloud::{CloudRequest, CloudResponse};
use crate::config::tests::SETTINGS;
use crate::domain::{Attempt, BlockId, CapacityType, FencingToken, TaskId, Term};
use crate::peer::HeartbeatId;
use crate::placement::tests::job;
use crate::provisioning::CloudRequestPurpose;
use crate::store::Change;
use crate::store::records::{
    BlockPlacements, InventoryEntry, JobRecord, MachineInventory, MachineState, Record,
    block_lease_key, encode, inventory_key, job_key, placements_key,
};

const INCARNATION: Incarnation = Incarnation(7);

/// The id of this process's heartbeat with this sequence number, as acknowledged by other controllers.
fn own_heartbeat(sequence_number: u64) -> Option<(Incarnation, u64)> {
    Some((INCARNATION, sequence_number))
}

/// A cache with two blocks: this process holds `a.0` with `m-1` and `m-3`, incarnation 3 of another controller holds
/// `b.0` with `m-2`. Tasks of job 1, which is cancelled, are placed on `m-1` and `m-2`, a task of job 2, which is
/// open, on `m-3`.
struct Fixture {
    config: Config,
    cache: WatchCache,
    start: Now,
    cancellations: Cancellations,
    /// Whether the other controllers report that they reach the state service.
    peers_reach_state_service: bool,
}

/// Applies records to a cache, each with a new version.
struct RecordWriter<'a> {
    cache: &'a mut WatchCache,
    version: u64,
}

impl RecordWriter<'_> {
    fn put(&mut self, key: String, record: &impl Record) {
        self.version += 1;
        self.cache.apply(Change {
            key,
            version: self.version,
            value: Some(encode(record)),
        });
    }
}

fn lease(holder: &ControllerName, incarnation: Incarnation) -> BlockLease {
    BlockLease {
        zone: "a".into(),
        holder: holder.clone(),
        incarnation,
        token: FencingToken(4),
        term: Term(3),
    }
}

/// Writes a block with machines, each with the task of its job that has this index.
fn put_block(
    records: &mut RecordWriter<'_>,
    block: &str,
    lease: &BlockLease,
    index: u32,
    machines: &[(&str, u64)],
) {
    let mut inventory = MachineInventory {
        zone: "a".into(),
        machines: BTreeMap::new(),
    };
    let mut placements = BlockPlacements::default();
    for (machine, job) in machines {
        let entry = InventoryEntry {
            type_name: "large".into(),
            capacity_type: CapacityType::Spot,
            state: MachineState::InService,
            rented_s: 0,
        };
        inventory.machines.insert((*machine).into(), entry);
        let task = TaskId {
            job: JobId(*job),
            index,
        };
        placements.add(&(*machine).into(), Attempt { task, number: 9 });
    }
    records.put(inventory_key(&block.into()), &inventory);
    records.put(block_lease_key(&block.into()), lease);
    records.put(placements_key(&block.into()), &placements);
}

impl Fixture {
    fn new() -> Self {
        let config = Config::parse("s.toml", SETTINGS).expect("the test settings are valid");
        let start = Now::read();
        let mut cache = WatchCache::loaded_for_tests();
        let peer = &config.peers[0].name;
        let mut records = RecordWriter {
            cache: &mut cache,
            version: 0,
        };
        let own_lease = lease(&config.name, INCARNATION);
        let peer_lease = lease(peer, Incarnation(3));
        put_block(
            &mut records,
            "a.0",
            &own_lease,
            0,
            &[("m-1", 1), ("m-3", 2)],
        );
        put_block(&mut records, "b.0", &peer_lease, 1, &[("m-2", 1)]);
        let cancelled = JobRecord::Cancelled(job(2, 1.0), start.unix_ms());
        records.put(job_key(JobId(1)), &cancelled);
        records.put(job_key(JobId(2)), &JobRecord::Open(job(2, 1.0)));
        let mut cancellations = Cancellations::new();
        let changed = cache.take_changed();
        cancellations.sync(&cache, &changed);
        Fixture {
            config,
            cache,
            start,
            cancellations,
            peers_reach_state_service: false,
        }
    }

    fn at(&self, after: Duration) -> Now {
        Now {
            monotonic: self.start.monotonic + after,
            wall: self.start.wall + after,
        }
    }

    fn receive_holder_heartbeat(
        &mut self,
        after: Duration,
        incarnation: Incarnation,
        sequence_number: u64,
    ) {
        self.receive_heartbeat(0, after, incarnation, sequence_number, true, None);
    }

    /// `last_received`: the last heartbeat of this process that the peer has received.
    fn receive_heartbeat(
        &mut self,
        peer: usize,
        after: Duration,
        incarnation: Incarnation,
        sequence_number: u64,
        lists_all_cancellations: bool,
        last_received: Option<(Incarnation, u64)>,
    ) {
        let own_name = self.config.name.clone();
        let received_id = last_received.map(HeartbeatId::from);
        let heartbeat = ControllerHeartbeat {
            controller: self.config.peers[peer].name.clone(),
            incarnation,
            sequence_number,
            reaches_state_service: self.peers_reach_state_service,
            cancelled_jobs: Vec::new(),
            lists_all_cancellations,
            last_received: received_id
                .into_iter()
                .map(|id| (own_name.clone(), id))
                .collect(),
        };
        self.cancellations
            .record_heartbeat(self.at(after), &own_name, INCARNATION, &heartbeat);
    }

    fn next_heartbeat(&mut self, after: Duration) -> ControllerHeartbeat {
        let (now, own_name) = (self.at(after), self.config.name.clone());
        self.cancellations
            .next_heartbeat(now, &own_name, INCARNATION, &self.cache, false)
    }

    /// Returns the machines that are deleted at this time.
    fn poll_deletion(&mut self, after: Duration, proven_ended: bool) -> Vec<String> {
        let now = self.at(after);
        let request =
            self.cancellations
                .poll(now, &self.config, INCARNATION, &self.cache, |_, _, _| {
                    proven_ended
                });
        match request {
            Some((CloudRequestPurpose::TerminateForCancellation, CloudRequest::Terminate(ids))) => {
                ids.machines
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
fn machines_due_for_deletion_are_deleted_by_their_holder_or_by_any_if_it_is_unresponsive() {
    let mut fixture = Fixture::new();
    let due = fixture.config.cancellation_timeout - DELETION_MARGIN;
    assert_eq!(
        fixture.poll_deletion(due - Duration::from_secs(1), false),
        [] as [&str; 0],
        "the deletion is not due yet"
    );
    fixture.receive_holder_heartbeat(due, Incarnation(3), 1);
    assert_eq!(
        fixture.poll_deletion(due, true),
        [] as [&str; 0],
        "the task on m-1 is proven ended, and the holder of m-2 handles it"
    );
    let after_poll_interval = due + POLL_INTERVAL;
    assert_eq!(fixture.poll_deletion(after_poll_interval, false), ["m-1"]);
    fixture
        .cancellations
        .handle_cloud_response(fixture.at(after_poll_interval), &CloudResponse::Unknown);
    assert_eq!(
        fixture.poll_deletion(after_poll_interval + POLL_INTERVAL, false),
        [] as [&str; 0],
        "the retry delay has not passed"
    );
    assert_eq!(
        fixture.poll_deletion(after_poll_interval + DELETION_RETRY_INTERVAL, false),
        ["m-1"],
        "the request may be lost and is retried"
    );
    fixture.cancellations.handle_cloud_response(
        fixture.at(after_poll_interval + DELETION_RETRY_INTERVAL),
        &CloudResponse::Terminated,
    );
    assert_eq!(
        fixture.poll_deletion(after_poll_interval + DELETION_RETRY_INTERVAL * 2, false),
        [] as [&str; 0],
        "a deleted machine is not deleted again"
    );
    assert_eq!(
        fixture.poll_deletion(due + HOLDER_HEARTBEAT_TIMEOUT, false),
        ["m-2"],
        "the heartbeats of its holder have stopped"
    );
}

#[test]
fn only_new_heartbeats_of_the_process_that_holds_the_lease_show_that_the_holder_is_alive() {
    let mut fixture = Fixture::new();
    let due = fixture.config.cancellation_timeout - DELETION_MARGIN;
    let lease = fixture.cache.block_leases[&BlockId::from("b.0")]
        .value
        .clone();
    let is_alive = |fixture: &Fixture, after: Duration| {
        fixture
            .cancellations
            .is_holder_alive(fixture.at(after), &lease)
    };
    fixture.receive_holder_heartbeat(Duration::from_secs(1), Incarnation(3), 5);
    assert!(is_alive(&fixture, Duration::from_secs(1)));
    fixture.receive_holder_heartbeat(due, Incarnation(3), 4);
    fixture.receive_holder_heartbeat(due, Incarnation(3), 5);
    assert!(
        !is_alive(&fixture, due),
        "an earlier heartbeat and a copy of the last one are ignored"
    );
    fixture.receive_holder_heartbeat(due, Incarnation(3), 6);
    assert!(is_alive(&fixture, due));
    fixture
        .cancellations
        .process_paused(Duration::from_secs(30));
    assert!(
        is_alive(&fixture, due + Duration::from_secs(30)),
        "a pause of this process does not count as missed heartbeats"
    );
    fixture.receive_holder_heartbeat(due, Incarnation(4), 1);
    assert!(
        !is_alive(&fixture, due),
        "a new process of the holder does not know the tasks of the old one"
    );
    assert_eq!(fixture.poll_deletion(due, true), ["m-2"]);
}

#[test]
fn heartbeats_list_cancelled_jobs_until_they_have_ended() {
    let mut fixture = Fixture::new();
    let listed = fixture.cancellations.newest_cancelled_jobs();
    assert_eq!(
        listed
            .iter()
            .map(|cancelled| cancelled.job)
            .collect::<Vec<_>>(),
        [JobId(1)]
    );
    assert_eq!(
        listed[0].version,
        fixture.cache.open_jobs[&JobId(1)].version
    );
    let end = encode(&JobRecord::Ended(crate::domain::JobOutcome::Cancelled, 2));
    fixture.cache.apply(Change {
        key: job_key(JobId(1)),
        version: 90,
        value: Some(end),
    });
    let changed = fixture.cache.take_changed();
    fixture.cancellations.sync(&fixture.cache, &changed);
    assert_eq!(fixture.cancellations.newest_cancelled_jobs(), []);
}

/// During an outage of the state service holders may continue only while they know every cancellation that can have
/// been confirmed.
#[test]
fn cancellations_are_known_until_the_send_time_of_the_last_heartbeat_that_all_others_received() {
    let mut fixture = Fixture::new();
    let seconds = Duration::from_secs;
    let known_until = |fixture: &Fixture| {
        let until = fixture
            .cancellations
            .all_cancellations_known_until(fixture.at(seconds(13)), &fixture.config);
        until.map(|at| at.saturating_duration_since(fixture.start.monotonic))
    };
    for second in 1..=9 {
        assert_eq!(
            fixture.next_heartbeat(seconds(second)).sequence_number,
            second
        );
    }
    fixture.receive_heartbeat(0, seconds(10), Incarnation(3), 1, true, own_heartbeat(5));
    assert_eq!(
        known_until(&fixture),
        None,
        "only one of two peers has acknowledged a heartbeat"
    );
    fixture.receive_heartbeat(1, seconds(10), Incarnation(4), 1, true, own_heartbeat(7));
    assert_eq!(
        known_until(&fixture),
        Some(seconds(5)),
        "the send time of the heartbeat counts, not the time of its acknowledgement"
    );
    fixture.receive_heartbeat(0, seconds(11), Incarnation(3), 2, false, own_heartbeat(9));
    fixture.receive_heartbeat(
        0,
        seconds(11),
        Incarnation(3),
        3,
        true,
        Some((Incarnation(INCARNATION.0 + 1), 9)),
    );
    fixture.receive_heartbeat(0, seconds(11), Incarnation(3), 4, true, None);
    assert_eq!(
        known_until(&fixture),
        Some(seconds(5)),
        "an incomplete list, an acknowledgement of another process, and no acknowledgement change nothing"
    );
    fixture.receive_heartbeat(0, seconds(12), Incarnation(3), 6, true, own_heartbeat(9));
    assert_eq!(known_until(&fixture), Some(seconds(7)));
    fixture.receive_heartbeat(1, seconds(12), Incarnation(4), 1, true, own_heartbeat(9));
    assert_eq!(
        known_until(&fixture),
        Some(seconds(7)),
        "a copy of an earlier heartbeat changes nothing"
    );
    fixture.receive_heartbeat(1, seconds(13), Incarnation(5), 1, false, own_heartbeat(9));
    assert_eq!(
        known_until(&fixture),
        None,
        "a new process does not know which cancellations its predecessor confirmed"
    );
}

/// A holder that alone can't reach the state service is replaced, and must leave its workers to its successor.
#[test]
fn cancellations_count_as_known_only_in_an_outage_of_all_controllers() {
    let mut fixture = Fixture::new();
    let seconds = Duration::from_secs;
    let all_known = |fixture: &Fixture, second| {
        fixture
            .cancellations
            .all_cancellations_known_until(fixture.at(seconds(second)), &fixture.config)
            .is_some()
    };
    fixture.next_heartbeat(seconds(1));
    fixture.receive_heartbeat(0, seconds(2), Incarnation(3), 1, true, own_heartbeat(1));
    fixture.receive_heartbeat(1, seconds(2), Incarnation(4), 1, true, own_heartbeat(1));
    assert!(all_known(&fixture, 3));
    fixture.peers_reach_state_service = true;
    fixture.receive_heartbeat(0, seconds(4), Incarnation(3), 2, true, own_heartbeat(1));
    assert!(
        all_known(&fixture, 7),
        "a peer may recover from the outage first"
    );
    fixture.receive_heartbeat(0, seconds(8), Incarnation(3), 3, true, own_heartbeat(1));
    assert!(!all_known(&fixture, 8));
}

#[test]
fn a_heartbeat_without_a_loaded_cache_or_with_too_many_cancellations_is_not_complete() {
    let mut fixture = Fixture::new();
    assert!(
        fixture
            .next_heartbeat(Duration::ZERO)
            .lists_all_cancellations
    );
    let ready = std::mem::replace(
        &mut fixture.cache,
        WatchCache::new(&fixture.config.state_limits, 3),
    );
    assert!(
        !fixture
            .next_heartbeat(Duration::ZERO)
            .lists_all_cancellations,
        "the cache is not loaded"
    );
    fixture.cache = ready;
    let record = |version| CancellationRecord {
        version,
        cancelled_ms: 0,
    };
    fixture.cancellations.unfinished.extend(
        (10..10 + MAX_CANCELLED_JOBS_PER_HEARTBEAT as u64).map(|id| (JobId(id), record(id))),
    );
    let heartbeat = fixture.next_heartbeat(Duration::ZERO);
    assert!(
        !heartbeat.lists_all_cancellations
            && heartbeat.cancelled_jobs.len() == MAX_CANCELLED_JOBS_PER_HEARTBEAT
    );
}
