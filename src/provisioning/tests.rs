//! Tests of the provisioner as a whole: which machines fail, which are requested, and how inventories are divided.

mod late_transactions;

use super::*;
use crate::block_leases;
use crate::cancellation;
use crate::cloud::InstanceCatalog;
use crate::cloud::wire::InstanceTypeList;
use crate::cloud::wire::tests::instance_type;
use crate::config::Config;
use crate::config::tests::SETTINGS;
use crate::domain::{JobId, TaskId};
use crate::placement::tests::job;
use crate::policy::Policy;
use crate::store::records::{
    BlockPlacements, FORMAT_KEY, FormatSwitch, InventoryEntry, JobRecord, LEADER_KEY,
    MachineInventory, NEWEST_FORMAT, PendingRental, encode, inventory_key, job_key, json_size,
    placements_key,
};
use crate::store::tests::StoredKeys;
use crate::store::{Transaction, TransactionChange};

/// The version of the leader's record.
const LEADER_VERSION: u64 = 1;

/// The parts of a leader's context, with the settings of the tests.
struct LeaderFixture {
    config: Config,
    policy: Policy,
    catalog: InstanceCatalog,
}

impl LeaderFixture {
    fn new(config: Config) -> Self {
        let policy = Policy::built_in(&config);
        let mut catalog = InstanceCatalog::default();
        catalog.handle_response(Some(InstanceTypeList {
            types: vec![instance_type()],
        }));
        LeaderFixture {
            config,
            policy,
            catalog,
        }
    }

    fn leader(&self, change_limit: usize) -> LeaderContext<'_> {
        LeaderContext {
            config: &self.config,
            policy: &self.policy,
            catalog: &self.catalog,
            term: Term(1),
            record_version: LEADER_VERSION,
            max_changes: change_limit,
            has_spare_writes: true,
        }
    }
}

fn config() -> Config {
    Config::parse("s.toml", SETTINGS).expect("valid settings")
}

/// A local copy of records that are written one after another.
struct Records {
    cache: WatchCache,
    keys: StoredKeys,
}

impl Records {
    fn new() -> Self {
        Records {
            cache: WatchCache::loaded_for_tests(),
            keys: StoredKeys::with_versions([(LEADER_KEY, LEADER_VERSION)]),
        }
    }

    /// Commits a transaction if its conditions hold.
    fn execute(&mut self, txn: &Transaction) -> StoreResponse {
        self.keys.execute(&mut self.cache, txn)
    }

    fn set(&mut self, key: String, value: Option<ciborium::Value>) {
        self.keys.set(&mut self.cache, key, value);
    }
}

fn entry(capacity_type: CapacityType, rented_s: u64) -> InventoryEntry {
    InventoryEntry {
        type_name: "large".into(),
        capacity_type,
        state: MachineState::InService,
        rented_s,
    }
}

/// Returns records of two machines with one task each. The task on `m-1` belongs to a job cancelled at `cancelled_ms`.
fn records_with_cancelled_job(cancelled_ms: u64) -> Records {
    let mut records = Records::new();
    let block = block_leases::block_id(&"a".into(), 0);
    let inventory = MachineInventory {
        zone: "a".into(),
        machines: ["m-1", "m-2"]
            .map(|id| (id.into(), entry(CapacityType::Spot, 0)))
            .into(),
    };
    records.set(inventory_key(&block), Some(encode(&inventory)));
    let mut placements = BlockPlacements::default();
    for (machine, id) in [("m-1", 1), ("m-2", 2)] {
        let task = TaskId {
            job: JobId(id),
            index: 0,
        };
        placements.add(&machine.into(), Attempt { task, number: id });
    }
    records.set(placements_key(&block), Some(encode(&placements)));
    let cancelled = JobRecord::Cancelled(job(1, 1.0), cancelled_ms);
    records.set(job_key(JobId(1)), Some(encode(&cancelled)));
    let open = JobRecord::Open(job(1, 1.0));
    records.set(job_key(JobId(2)), Some(encode(&open)));
    records
}

/// Guards against a cancelled task that keeps running on a machine that hangs: its block changed holders so often that
/// none of them waited long enough to find the machine unresponsive. Found by a search over seeds.
#[test]
fn a_machine_with_an_overdue_cancelled_task_is_terminated() {
    let config = config();
    let start = Now::read();
    let records = records_with_cancelled_job(start.unix_ms());
    let mut provisioner = Provisioner::new(start, Term(1));
    let mut failed_machines = |after: Duration| {
        let now = Now {
            wall: start.wall + after,
            ..start
        };
        provisioner
            .machines
            .fail_overdue_cancellations(now, &config, &records.cache, |_, _| false);
        provisioner
            .machines
            .failed()
            .iter()
            .map(|id| id.0.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        failed_machines(config.worker_lease),
        [] as [&str; 0],
        "its holder may still prove the task ended"
    );
    assert_eq!(
        failed_machines(config.cancellation_timeout - cancellation::DELETION_MARGIN),
        ["m-1"]
    );
}

/// Six machines in each of the zones `a` and `b`, some of which become unresponsive.
struct UnresponsiveZones {
    start: Now,
    leader: LeaderFixture,
    records: Records,
}

impl UnresponsiveZones {
    fn new() -> Self {
        let start = Now::read();
        let mut records = Records::new();
        for zone in ["a", "b"] {
            let machine = |n: u32| {
                let id = format!("m-{zone}{n}").as_str().into();
                (id, entry(CapacityType::OnDemand, start.unix_ms() / 1000))
            };
            let inventory = MachineInventory {
                zone: zone.into(),
                machines: (0..6).map(machine).collect(),
            };
            let key = inventory_key(&block_leases::block_id(&zone.into(), 0));
            records.set(key, Some(encode(&inventory)));
        }
        UnresponsiveZones {
            start,
            leader: LeaderFixture::new(config()),
            records,
        }
    }

    /// Returns the number of failed machines after these observations. Each observation is the time since the start
    /// and the prefixes of the names of the machines that are unresponsive then.
    fn count_failed(&self, observations: &[(Duration, &[&str])], heard_zones: &[&str]) -> usize {
        let cache = &self.records.cache;
        let heard_zones = heard_zones.iter().copied().map(Zone::from).collect();
        let mut provisioner = Provisioner::new(self.start, Term(1));
        for (elapsed, unresponsive) in observations {
            let now = Now {
                monotonic: self.start.monotonic + *elapsed,
                ..self.start
            };
            let health = cache.machines.keys().map(|id| {
                let unresponsive = unresponsive
                    .iter()
                    .any(|prefix| id.0[2..].starts_with(prefix));
                let health = MachineHealth {
                    has_reported: true,
                    unresponsive,
                    usable: !unresponsive,
                    ..MachineHealth::default()
                };
                (id.clone(), health)
            });
            provisioner.observe(
                now,
                &self.leader.leader(16),
                cache,
                &health.collect(),
                &heard_zones,
                |_, _| false,
            );
        }
        provisioner.machines.failed().len()
    }

    /// Returns the number of failed machines at the time `after`, if all machines reported at the start and some were
    /// unresponsive from the first second on.
    fn count_failed_after(
        &self,
        unresponsive: &[&str],
        after: Duration,
        heard_zones: &[&str],
    ) -> usize {
        let observations = [
            (Duration::ZERO, &[] as &[&str]),
            (Duration::from_secs(1), unresponsive),
            (after, unresponsive),
        ];
        self.count_failed(&observations, heard_zones)
    }
}

/// Guards against terminating the machines of an isolated zone with all the replicas that keep running there. Found on
/// the bench.
#[test]
fn machines_of_an_isolated_zone_fail_only_after_their_tasks_must_have_ended() {
    let zones = UnresponsiveZones::new();
    let LeaderFixture { policy, config, .. } = &zones.leader;
    let all_zones = ["a", "b"];
    let count_failed = |unresponsive: &[&str], after: Duration| {
        zones.count_failed_after(unresponsive, after, &all_zones)
    };
    let task_survival_time = policy.block_lease_duration + config.worker_lease
        - policy.worker_timeout_after_failed_probe;
    assert_eq!(
        count_failed(&["a"], task_survival_time),
        0,
        "the zone may be isolated"
    );
    assert_eq!(
        count_failed(&["a"], task_survival_time + Duration::from_secs(4)),
        6,
        "their tasks must have ended by then"
    );
    assert_eq!(
        zones.count_failed_after(&["a"], Duration::from_secs(2), &["b"]),
        6,
        "no controller in the zone answers the workers"
    );
    assert_eq!(
        count_failed(&["a0", "a1"], Duration::from_secs(2)),
        2,
        "only some machines of a zone: they have failed"
    );
    assert_eq!(
        count_failed(&["a", "b"], Duration::from_secs(2)),
        12,
        "all zones: no sign of isolation"
    );
}

/// Guards against giving up the remaining machines at once when the isolation of a zone ends and most machines report
/// again. Found in an incident.
#[test]
fn machines_still_unresponsive_when_the_isolation_ends_do_not_fail_at_once() {
    let observations: [(Duration, &[&str]); 3] = [
        (Duration::ZERO, &[]),
        (Duration::from_secs(1), &["a"]),
        (Duration::from_secs(2), &["a0", "a1"]),
    ];
    assert_eq!(
        UnresponsiveZones::new().count_failed(&observations, &["a", "b"]),
        0,
        "they may still report"
    );
}

/// Best-effort arrays lacked a thousand spot machines that the cloud did not have, and each round requested those; the
/// few on-demand machines that replicas waited for were never requested. Found in an incident.
#[test]
fn an_unavailable_capacity_type_does_not_block_requests_for_the_other() {
    let fixture = LeaderFixture::new(config());
    let now = Now::read();
    let cache = WatchCache::loaded_for_tests();
    let leader = fixture.leader(16);
    let name = instance_type().name;
    let machines = [
        (MachinePool::new(name.clone(), CapacityType::Spot), 1000.0),
        (MachinePool::new(name.clone(), CapacityType::OnDemand), 10.0),
    ]
    .into();
    let demand = Demand {
        machines,
        ..Demand::default()
    };
    let most_urgent_capacity_type = |spot_unavailable: bool| {
        let mut provisioner = Provisioner::new(now, Term(1));
        if spot_unavailable {
            let pending_rental = PendingRental {
                request: "r".into(),
                zone: "a".into(),
                capacity_type: CapacityType::Spot,
                count: 50,
            };
            provisioner.mark_unavailable(now, &fixture.policy, &name, &pending_rental);
        }
        let shortages = [CapacityType::OnDemand, CapacityType::Spot].map(|capacity_type| {
            let pool = MachinePool::new(name.clone(), capacity_type);
            provisioner.shortage(
                ProvisioningContext {
                    now,
                    leader: &leader,
                    cache: &cache,
                    demand: &demand,
                },
                &instance_type(),
                &pool,
                0,
            )
        });
        scaling_round::Shortage::most_urgent(shortages).map(|shortage| shortage.capacity_type)
    };
    assert_eq!(most_urgent_capacity_type(false), Some(CapacityType::Spot));
    assert_eq!(
        most_urgent_capacity_type(true),
        Some(CapacityType::OnDemand)
    );
}

/// An inventory larger than the size limit of the state service can't be written again, so its machines could not even
/// be drained.
#[test]
fn an_oversized_inventory_is_divided_in_steps_and_loses_no_machine() {
    let mut config = config();
    (config.state_limits.value_bytes, config.state_limits.txn_ops) = (2048, 5);
    let fixture = LeaderFixture::new(config);
    let leader = fixture.leader(5);
    let mut records = Records::new();
    let block = block_leases::block_id(&"a".into(), 0);
    let machine = |n| {
        let id = format!("m-{n:06}").as_str().into();
        (id, entry(CapacityType::Spot, 1_800_000_000))
    };
    let inventory = MachineInventory {
        zone: "a".into(),
        machines: (0..600).map(machine).collect(),
    };
    records.set(inventory_key(&block), Some(encode(&inventory)));
    let next_division = |cache: &WatchCache| {
        divide_inventory(&leader, cache, &Demand::default(), &Transaction::default())
    };
    assert_eq!(
        next_division(&records.cache),
        None,
        "no division before the format is enabled"
    );
    let switch = FormatSwitch {
        version: NEWEST_FORMAT,
    };
    records.set(FORMAT_KEY.to_owned(), Some(encode(&switch)));
    let mut steps = 0;
    while let Some(txn) = next_division(&records.cache) {
        steps += 1;
        assert!(steps < 20 && txn.changes.len() <= 5, "step {steps}");
        for change in txn.changes {
            match change {
                TransactionChange::Put { key, value, .. } => {
                    let size = json_size(&value);
                    assert!(size <= 2048, "{key} is {size} bytes");
                    records.set(key, Some(value));
                }
                TransactionChange::Delete { key } => records.set(key, None),
            }
            let cache = &records.cache;
            assert_eq!(cache.inventories[&block].value, inventory, "step {steps}");
            assert_eq!(cache.machines.len(), 600);
        }
    }
    assert!(steps > 1, "the division takes more than one transaction");
    let parts = records
        .cache
        .inventory_parts(&block)
        .expect("the block has parts");
    assert!(
        !parts.contains_key(&0),
        "the oversized part, which can't be written, is deleted"
    );
}
