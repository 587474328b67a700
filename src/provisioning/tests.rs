//! The leader's dealings with machines, as holders and the records show them.

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
use crate::store::Change;
use crate::store::records::{
    BlockPlacements, InventoryEntry, JobRecord, MachineInventory, PendingRental, encode,
    inventory_key, job_key, placements_key,
};

/// Found by a search of seeds: a machine hung with a cancelled task on it, and its block changed hands so often that
/// no holder waited long enough to find it silent.
#[test]
fn a_machine_with_a_task_cancelled_long_ago_is_given_up_in_time() {
    let config = Config::parse("s.toml", SETTINGS).expect("valid");
    let start = Now::read();
    let mut cache = WatchCache::following();
    let mut version = 0;
    let mut put = |cache: &mut WatchCache, key: String, value| {
        version += 1;
        cache.apply(Change {
            key,
            version,
            value: Some(value),
        });
    };
    let block = block_leases::name(&"a".into(), 0);
    let entry = || InventoryEntry {
        type_name: "large".into(),
        capacity_type: CapacityType::Spot,
        state: MachineState::InService,
        rented_s: 0,
    };
    let on = ["m-1", "m-2"].map(|id| (id.into(), entry())).into();
    put(
        &mut cache,
        inventory_key(&block),
        encode(&MachineInventory {
            zone: "a".into(),
            on,
        }),
    );
    let mut placements = BlockPlacements::default();
    for (machine, id) in [("m-1", 1), ("m-2", 2)] {
        let task = TaskId {
            job: JobId(id),
            index: 0,
        };
        placements.add(&machine.into(), Attempt { task, number: id });
    }
    put(&mut cache, placements_key(&block), encode(&placements));
    put(
        &mut cache,
        job_key(JobId(1)),
        encode(&JobRecord::Cancelled(job(1, 1.0), start.unix_ms())),
    );
    put(
        &mut cache,
        job_key(JobId(2)),
        encode(&JobRecord::Open(job(1, 1.0))),
    );
    let mut provisioner = Provisioner::new(start, Term(1));
    let mut given_up = |after: Duration| {
        let now = Now {
            wall: start.wall + after,
            ..start
        };
        provisioner
            .machines
            .fail_overdue_cancellations(now, &config, &cache, |_, _| false);
        provisioner
            .machines
            .failed()
            .iter()
            .map(|id| id.0.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        given_up(config.worker_lease),
        [] as [&str; 0],
        "its holder may still prove it gone"
    );
    assert_eq!(
        given_up(config.cancel_within - cancellation::OVERDUE_MARGIN),
        ["m-1"]
    );
}

/// Found on the bench: a cut zone's machines were deleted with all the replicas that ran on there.
#[test]
fn machines_of_a_zone_that_may_be_cut_off_are_given_up_only_when_their_tasks_must_be_gone() {
    let config = Config::parse("s.toml", SETTINGS).expect("valid");
    let policy = Policy::defaults(&config);
    let mut catalog = InstanceCatalog::default();
    catalog.answered(Some(InstanceTypeList {
        types: vec![instance_type()],
    }));
    let start = Now::read();
    let mut cache = WatchCache::following();
    for (version, zone) in [(1, "a"), (2, "b")] {
        let entry = |n: u32| {
            let id = format!("m-{zone}{n}").as_str().into();
            let rented_s = start.unix_ms() / 1000;
            (
                id,
                InventoryEntry {
                    type_name: "large".into(),
                    capacity_type: CapacityType::OnDemand,
                    state: MachineState::InService,
                    rented_s,
                },
            )
        };
        let inventory = MachineInventory {
            zone: zone.into(),
            on: (0..6).map(entry).collect(),
        };
        let key = inventory_key(&block_leases::name(&zone.into(), 0));
        cache.apply(Change {
            key,
            version,
            value: Some(encode(&inventory)),
        });
    }
    let leader = LeaderContext {
        config: &config,
        policy: &policy,
        catalog: &catalog,
        term: Term(1),
        version: 1,
        batch: 16,
        spare: true,
    };
    let silent =
        |id: &MachineId, zones: &[&str]| zones.iter().any(|zone| id.0[2..].starts_with(zone));
    let given_up_if = |zones: &[&str], after: Duration, heard: &BTreeSet<Zone>| {
        let mut provisioner = Provisioner::new(start, Term(1));
        for (passed, zones) in [
            (Duration::ZERO, &[] as &[&str]),
            (Duration::from_secs(1), zones),
            (after, zones),
        ] {
            let now = Now {
                monotonic: start.monotonic + passed,
                ..start
            };
            let health = cache.machines.keys().map(|id| {
                let silent = silent(id, zones);
                (
                    id.clone(),
                    MachineHealth {
                        seen: true,
                        silent,
                        usable: !silent,
                        ..MachineHealth::default()
                    },
                )
            });
            provisioner.observe(now, &leader, &cache, &health.collect(), heard, |_, _| false);
        }
        provisioner.machines.failed().len()
    };
    let heard: BTreeSet<Zone> = ["a".into(), "b".into()].into();
    let given_up = |zones: &[&str], after: Duration| given_up_if(zones, after, &heard);
    let survive = policy.block_lease_duration + config.worker_lease - policy.silent_after;
    assert_eq!(given_up(&["a"], survive), 0, "may be a cut");
    assert_eq!(
        given_up(&["a"], survive + Duration::from_secs(4)),
        6,
        "their tasks are gone by then"
    );
    // Found in an incident: the cut ended, most were heard again, and the others were given up at once.
    let mut provisioner = Provisioner::new(start, Term(1));
    for (seconds, zones) in [(0, &[] as &[&str]), (1, &["a"]), (2, &["a0", "a1"])] {
        let now = Now {
            monotonic: start.monotonic + Duration::from_secs(seconds),
            ..start
        };
        let health = cache.machines.keys().map(|id| {
            let silent = silent(id, zones);
            (
                id.clone(),
                MachineHealth {
                    seen: true,
                    silent,
                    usable: !silent,
                    ..MachineHealth::default()
                },
            )
        });
        provisioner.observe(now, &leader, &cache, &health.collect(), &heard, |_, _| {
            false
        });
    }
    assert_eq!(
        provisioner.machines.failed().len(),
        0,
        "they may just not have reported yet"
    );
    let only_b = [Zone::from("b")].into();
    assert_eq!(
        given_up_if(&["a"], Duration::from_secs(2), &only_b),
        6,
        "nobody answers them"
    );
    assert_eq!(
        given_up(&["a0", "a1"], Duration::from_secs(2)),
        2,
        "some of a zone: they are dead"
    );
    assert_eq!(
        given_up(&["a", "b"], Duration::from_secs(2)),
        12,
        "all zones: nothing speaks for a cut"
    );
}

/// Found in an incident: guests' arrays were short of a thousand spot machines that the cloud did not have, and each round
/// asked for those; the few ordinary machines that replicas waited for were never ordered.
#[test]
fn what_has_run_out_does_not_keep_the_other_kind_from_being_ordered() {
    let config = Config::parse("s.toml", SETTINGS).expect("valid");
    let policy = Policy::defaults(&config);
    let mut catalog = InstanceCatalog::default();
    catalog.answered(Some(InstanceTypeList {
        types: vec![instance_type()],
    }));
    let now = Now::read();
    let cache = WatchCache::following();
    let leader = LeaderContext {
        config: &config,
        policy: &policy,
        catalog: &catalog,
        term: Term(1),
        version: 1,
        batch: 16,
        spare: true,
    };
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
    let ordered = |spot_is_out: bool| {
        let mut provisioner = Provisioner::new(now, Term(1));
        if spot_is_out {
            let pending_rental = PendingRental {
                request: "r".into(),
                zone: "a".into(),
                capacity_type: CapacityType::Spot,
                count: 50,
            };
            provisioner.mark_unavailable(now, &policy, &name, &pending_rental);
        }
        let worst = [CapacityType::OnDemand, CapacityType::Spot].map(|capacity_type| {
            let pool = MachinePool::new(name.clone(), capacity_type);
            provisioner.shortage(
                Round {
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
        scaling_round::Shortage::worst(worst).map(|shortage| shortage.capacity_type)
    };
    assert_eq!(ordered(false), Some(CapacityType::Spot));
    assert_eq!(ordered(true), Some(CapacityType::OnDemand));
}

/// An inventory that is larger than the state service will take can't be written again, so it could not even be drained.
#[test]
fn an_inventory_that_is_too_large_is_divided_step_by_step_and_loses_no_machine() {
    use crate::store::TransactionChange;
    use crate::store::records::{FORMAT, FORMAT_KEY, FormatSwitch, encode, json_size};
    let mut config = Config::parse("s.toml", SETTINGS).expect("valid");
    (config.state_limits.value_bytes, config.state_limits.txn_ops) = (2048, 5);
    let policy = Policy::defaults(&config);
    let mut catalog = InstanceCatalog::default();
    catalog.answered(Some(InstanceTypeList {
        types: vec![instance_type()],
    }));
    let leader = LeaderContext {
        config: &config,
        policy: &policy,
        catalog: &catalog,
        term: Term(1),
        version: 1,
        batch: 5,
        spare: true,
    };
    let mut cache = WatchCache::following();
    let block = block_leases::name(&"a".into(), 0);
    let entry = || InventoryEntry {
        type_name: "large".into(),
        capacity_type: CapacityType::Spot,
        state: MachineState::InService,
        rented_s: 1_800_000_000,
    };
    let on = (0..600).map(|n| (format!("m-{n:06}").as_str().into(), entry()));
    let inventory = MachineInventory {
        zone: "a".into(),
        on: on.collect(),
    };
    let mut version = 0;
    let mut put = |cache: &mut WatchCache, key: String, value| {
        version += 1;
        cache.apply(Change {
            key,
            version,
            value,
        });
    };
    put(&mut cache, inventory_key(&block), Some(encode(&inventory)));
    let next = |cache: &WatchCache| {
        divide_inventory(&leader, cache, &Demand::default(), &Transaction::default())
    };
    assert_eq!(next(&cache), None, "not before the format is on");
    let switch = FormatSwitch { version: FORMAT };
    put(&mut cache, FORMAT_KEY.to_owned(), Some(encode(&switch)));
    let mut steps = 0;
    while let Some(txn) = next(&cache) {
        steps += 1;
        assert!(steps < 20 && txn.changes.len() <= 5, "step {steps}");
        for change in txn.changes {
            match change {
                TransactionChange::Put { key, value, .. } => {
                    let size = json_size(&value);
                    assert!(size <= 2048, "{key} is {size} bytes");
                    put(&mut cache, key, Some(value));
                }
                TransactionChange::Delete { key } => put(&mut cache, key, None),
            }
            assert_eq!(cache.inventories[&block].value, inventory, "step {steps}");
            assert_eq!(cache.machines.len(), 600);
        }
    }
    assert!(steps > 1, "more than one transaction holds");
    let parts = cache.inventory_parts(&block).expect("known");
    assert!(!parts.contains_key(&0), "deleted, for it can't be written");
}
