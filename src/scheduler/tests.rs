//! Plans of the scheduler for given records and holders' statuses.

use std::ops::Range;

use super::best_effort::EligibleMachines;
use super::waiting::FIRST_TASK_OVERDUE_AFTER;
use super::*;
use crate::block_leases::block_id;
use crate::cloud::wire::InstanceTypeList;
use crate::cloud::wire::tests::instance_type;
use crate::config::tests::SETTINGS;
use crate::domain::{CapacityType, FencingToken, Incarnation, Job, JobKind, Term};
use crate::peer::AssignmentUpdate;
use crate::placement::tests::job;
use crate::policy::Policy;
use crate::store::Change;
use crate::store::records::{
    BlockLease, BlockPlacements, InventoryEntry, MachineInventory, MachineState, block_lease_key,
    encode, inventory_key, job_key, placements_key,
};

/// A scheduler with the records and statuses that its plans are made from.
pub(super) struct Fixture {
    config: Config,
    policy: Policy,
    catalog: InstanceCatalog,
    pub(super) cache: WatchCache,
    pub(super) now: Now,
    version: u64,
    scheduler: Scheduler,
    provisioner: Provisioner,
}

const TERM: u64 = 5;

impl Fixture {
    /// One block, `a.0`, with machines of 16 CPUs.
    pub(super) fn new(machines: u32) -> Self {
        let config = Config::parse("s.toml", SETTINGS).expect("the sample settings are valid");
        let now = Now::read();
        let mut catalog = InstanceCatalog::default();
        catalog.handle_response(Some(InstanceTypeList {
            types: vec![instance_type()],
        }));
        let mut fixture = Fixture {
            policy: Policy::built_in(&config),
            catalog,
            cache: WatchCache::loaded_for_tests(),
            now,
            version: 0,
            scheduler: Scheduler::new(now, Term(TERM)),
            provisioner: Provisioner::new(now, Term(TERM)),
            config,
        };
        fixture.add_block("a", 0..machines);
        fixture
    }

    /// Adds the first block of a zone, with these machines.
    pub(super) fn add_block(&mut self, zone: &str, machines: Range<u32>) {
        let lease = BlockLease {
            zone: zone.into(),
            holder: self.config.name.clone(),
            incarnation: Incarnation(1),
            token: FencingToken(4),
            term: Term(TERM),
        };
        let block = block_id(&zone.into(), 0);
        self.put(block_lease_key(&block), encode(&lease));
        self.put_inventory(zone, machines.clone());
        self.plan();
        self.report_block_status(&block, machines, 0, &[]);
    }

    pub(super) fn put(&mut self, key: String, value: ciborium::Value) -> u64 {
        self.version += 1;
        self.cache.apply(Change {
            key,
            version: self.version,
            value: Some(value),
        });
        self.version
    }

    fn set_inventory(&mut self, machines: Range<u32>) {
        self.put_inventory("a", machines);
    }

    /// Writes the inventory of the first block of a zone.
    fn put_inventory(&mut self, zone: &str, machines: Range<u32>) {
        let entry = || InventoryEntry {
            type_name: "large".into(),
            capacity_type: CapacityType::OnDemand,
            state: MachineState::InService,
            rented_s: 0,
        };
        let on = machines.map(|n| (machine_id(n), entry())).collect();
        self.put(
            inventory_key(&block_id(&zone.into(), 0)),
            encode(&MachineInventory {
                zone: zone.into(),
                machines: on,
            }),
        );
    }

    /// Adds an open job. It is accepted now unless it has an acceptance time.
    pub(super) fn add_job(&mut self, id: u64, mut job: Job) {
        if job.accepted_ms == 0 {
            job.accepted_ms = self.now.unix_ms();
        }
        self.put(job_key(JobId(id)), encode(&JobRecord::Open(job)));
    }

    /// Reports a status of the block with all its machines usable.
    pub(super) fn report_status(
        &mut self,
        machines: u32,
        last_assignment_update: u64,
        pending: &[u64],
    ) {
        self.report_block_status(&"a.0".into(), 0..machines, last_assignment_update, pending);
    }

    /// Reports a status of a block with all its machines usable.
    fn report_block_status(
        &mut self,
        block: &BlockId,
        machines: Range<u32>,
        last_assignment_update: u64,
        pending: &[u64],
    ) {
        let lease = &self.cache.block_leases[block];
        let status = BlockStatus {
            block: block.clone(),
            token: lease.value.token,
            lease_version: lease.version,
            last_assignment_update,
            pending: pending.to_vec(),
            unplaceable: Vec::new(),
            proven_ended: Vec::new(),
            placements_revision: self
                .cache
                .placements
                .get(block)
                .map_or(0, |placements| placements.version),
            token_renewal_required: false,
            expected_workers: machines.len() as u32,
            overdue_workers: 0,
            sequence_number: self.version * 1000 + last_assignment_update + 1,
            machines: machines
                .map(|n| MachineStatus {
                    machine: machine_id(n),
                    usable: true,
                    has_reported: true,
                    unresponsive: false,
                    termination_notice: false,
                    consecutive_failures: 0,
                    failures_by_job: Vec::new(),
                    images: vec!["img".into()],
                })
                .collect(),
            running: Vec::new(),
        };
        self.scheduler.observe_block_status(self.now, status);
    }

    /// Makes a plan. Returns the demand and the assignment updates to be sent.
    pub(super) fn plan(&mut self) -> (Demand, Vec<AssignmentUpdate>) {
        let Fixture {
            config,
            policy,
            catalog,
            cache,
            now,
            scheduler,
            provisioner,
            ..
        } = self;
        let leader = leader_context(config, policy, catalog);
        let demand = scheduler.plan(*now, &leader, cache, provisioner);
        (
            demand,
            scheduler.assignment_updates(*now, cache, provisioner.addresses()),
        )
    }

    /// The jobs that the next transaction records as ended.
    pub(super) fn ended_jobs(&mut self) -> Vec<JobId> {
        let Fixture {
            config,
            policy,
            catalog,
            cache,
            scheduler,
            ..
        } = self;
        let leader = leader_context(config, policy, catalog);
        scheduler.writer = WriterState::Idle;
        let Some(StoreRequest::Commit(txn)) = scheduler.next_transaction(self.now, &leader, cache)
        else {
            return Vec::new();
        };
        let keys = txn.conditions.iter().map(|(key, _)| key);
        keys.filter_map(|key| match crate::store::RecordKey::of(key) {
            Some(crate::store::RecordKey::Job(job)) => Some(job),
            _ => None,
        })
        .collect()
    }

    /// Records all assignments of an update as placed on the assigned machines.
    pub(super) fn record_assignments(&mut self, update: &AssignmentUpdate) {
        let mut placements = self
            .cache
            .placements
            .get(&update.block)
            .map_or(BlockPlacements::default(), |p| p.value.clone());
        for assignment in &update.assignments {
            placements.add(&assignment.machine, assignment.attempt);
        }
        self.put(placements_key(&update.block), encode(&placements));
    }
}

fn leader_context<'a>(
    config: &'a Config,
    policy: &'a Policy,
    catalog: &'a InstanceCatalog,
) -> LeaderContext<'a> {
    LeaderContext {
        config,
        policy,
        catalog,
        term: Term(TERM),
        record_version: 1,
        max_changes: 16,
        has_spare_writes: true,
    }
}

pub(super) fn machine_id(n: u32) -> MachineId {
    format!("m-{n:06}").as_str().into()
}

/// Seen in a simulation: the machine of a release was deleted, the release no longer counted, and the task was released
/// again while its holder could still place it on another machine.
#[test]
fn a_release_counts_until_its_holder_reports_it_neither_pending_nor_placed() {
    let mut fixture = Fixture::new(2);
    fixture.add_job(1, job(1, 4.0));
    let (_, updates) = fixture.plan();
    let [assignment] = updates[0].assignments.as_slice() else {
        panic!("{updates:?}")
    };
    let number = assignment.attempt.number;
    // The assigned machine is removed from the inventory.
    fixture.set_inventory(if assignment.machine == machine_id(0) {
        1..2
    } else {
        0..1
    });
    for (last_assignment_update, pending) in
        [(0, vec![]), (updates[0].sequence_number, vec![number])]
    {
        fixture.report_status(2, last_assignment_update, &pending);
        assert!(fixture.plan().1.iter().all(|update| {
            update
                .assignments
                .iter()
                .all(|assignment| assignment.attempt.number == number)
        }));
    }
    // The holder has received the release and lists it neither as pending nor as placed: it no longer counts.
    fixture.report_status(2, updates[0].sequence_number, &[]);
    fixture.plan();
    let (_, updates) = fixture.plan();
    assert!(
        updates
            .iter()
            .flat_map(|update| &update.assignments)
            .all(|assignment| assignment.attempt.number != number)
    );
}

/// Seen in a benchmark: machines stayed idle for a second or more, until the end of their task had been recorded.
#[test]
fn resources_of_an_ended_task_are_reused_before_its_end_is_recorded() {
    let mut fixture = Fixture::new(1);
    fixture.add_job(1, job(1, 16.0));
    let (_, updates) = fixture.plan();
    let number = updates[0].assignments[0].attempt.number;
    fixture.record_assignments(&updates[0]);
    fixture.add_job(2, job(1, 16.0));
    fixture.report_status(1, updates[0].sequence_number, &[]);
    let released_tasks = |fixture: &mut Fixture| {
        fixture
            .plan()
            .1
            .iter()
            .map(|update| update.assignments.len())
            .sum::<usize>()
    };
    assert_eq!(released_tasks(&mut fixture), 0);
    let block_state = fixture
        .scheduler
        .block_states
        .get_mut(&BlockId::from("a.0"))
        .expect("the block has a lease of this term");
    block_state
        .status
        .as_mut()
        .expect("the holder has sent a status")
        .0
        .proven_ended
        .push(number);
    assert_eq!(released_tasks(&mut fixture), 1);
}

/// Seen in a benchmark: a controller was cut off from its workers, and all its machines were deleted although they kept
/// reporting to other controllers.
#[test]
fn a_holder_is_isolated_when_most_of_its_overdue_machines_report_to_other_controllers() {
    let mut fixture = Fixture::new(6);
    let holder = fixture.config.name.clone();
    let mut assess = |overdue: u32, misrouted: u32| {
        let block_state = fixture
            .scheduler
            .block_states
            .get_mut(&BlockId::from("a.0"))
            .expect("the block has a lease of this term");
        block_state
            .status
            .as_mut()
            .expect("the holder has sent a status")
            .0
            .overdue_workers = overdue;
        for status in block_state.machines.values_mut() {
            status.usable = false;
        }
        fixture.scheduler.misrouted.clear();
        fixture
            .scheduler
            .record_misrouted(fixture.now, (0..misrouted).map(machine_id).collect());
        let isolated_holders =
            fixture
                .scheduler
                .isolated_holders(fixture.now, &fixture.config, &fixture.cache);
        let health =
            fixture
                .scheduler
                .machine_health(fixture.now, &fixture.cache, &isolated_holders);
        let marked = health
            .values()
            .filter(|health| health.holder_isolated)
            .count();
        (isolated_holders.contains(&holder), marked)
    };
    assert_eq!(assess(6, 4), (true, 6));
    // Seen in a simulated day: machines that no response reached went from controller to controller. Three of them were
    // enough for one holder after the other to count as isolated, and their blocks changed holders five times in two
    // minutes.
    assert_eq!(
        assess(6, 3),
        (false, 0),
        "only half of them are misrouted: responses may not reach them"
    );
    assert_eq!(assess(6, 2), (false, 0), "the machines may be dead");
    assert_eq!(assess(4, 3), (true, 6));
    assert_eq!(
        assess(3, 6),
        (false, 0),
        "the holder receives the other machines' heartbeats"
    );
}

/// Seen in a simulated day with half as many machines again and many faults at once: jobs waited almost five minutes
/// for their first task behind the tasks of older jobs.
#[test]
fn an_overdue_job_gets_its_first_task_before_older_jobs_get_more() {
    let started_tasks = |waited: Duration| {
        let mut fixture = Fixture::new(1);
        let accepted_ms = fixture.now.unix_ms();
        let job = |tasks, accepted_ms| Job {
            team: "blue".into(),
            tasks,
            accepted_ms,
            ..job(1, 1.0)
        };
        fixture.add_job(1, job(100, accepted_ms - 1000));
        let (_, updates) = fixture.plan();
        fixture.record_assignments(&updates[0]);
        fixture.report_status(1, updates[0].sequence_number, &[]);
        fixture.add_job(2, job(100, accepted_ms));
        // Four tasks end, which frees resources for four others.
        let placements = fixture.cache.placements[&BlockId::from("a.0")]
            .value
            .clone();
        let ended: Vec<u64> = placements
            .attempts()
            .map(|(_, attempt)| attempt.number)
            .take(4)
            .collect();
        let block_state = fixture
            .scheduler
            .block_states
            .get_mut(&BlockId::from("a.0"))
            .expect("the block has a lease of this term");
        block_state
            .status
            .as_mut()
            .expect("the holder has sent a status")
            .0
            .proven_ended = ended;
        fixture.now.wall += waited;
        let updates = fixture.plan().1;
        updates
            .iter()
            .flat_map(|update| &update.assignments)
            .filter(|assignment| assignment.attempt.task.job == JobId(2))
            .count()
    };
    assert_eq!(
        started_tasks(Duration::from_secs(10)),
        0,
        "older jobs come first"
    );
    assert_eq!(
        started_tasks(FIRST_TASK_OVERDUE_AFTER + Duration::from_secs(1)),
        1,
        "the overdue job gets one task only"
    );
}

#[test]
fn a_team_gets_no_more_than_its_limit_however_large_its_job() {
    let mut fixture = Fixture::new(30);
    // The sample settings limit the team to 48 CPUs.
    fixture.add_job(
        1,
        Job {
            team: "blue".into(),
            ..job(100_000, 0.5)
        },
    );
    let mut placed = 0;
    for _ in 0..5 {
        let (demand, updates) = fixture.plan();
        placed += updates
            .iter()
            .map(|update| update.assignments.len())
            .sum::<usize>();
        let demanded_machines: f64 = demand.machines.values().sum();
        assert!(
            demanded_machines <= 3.0 + 1e-6,
            "demand is {demanded_machines} machines, but the limit of 48 CPUs allows 3"
        );
        for update in &updates {
            fixture.record_assignments(update);
            fixture.report_status(30, update.sequence_number, &[]);
        }
    }
    assert_eq!(placed, 96);
}

#[test]
fn a_block_gets_no_more_tasks_than_its_value_can_hold() {
    let mut fixture = Fixture::new(3);
    fixture.add_job(1, job(100_000, 0.0));
    for _ in 0..30 {
        for update in fixture.plan().1 {
            fixture.record_assignments(&update);
            fixture.report_status(3, update.sequence_number, &[]);
        }
    }
    let placements = &fixture.cache.placements[&BlockId::from("a.0")];
    assert!(placements.value.attempts().count() > 100);
    assert!(placements.value.size() <= fixture.config.state_limits.value_bytes);
}

/// Seen in a benchmark: two teams preempted each other's tasks in turn, over a thousand in eight minutes.
#[test]
fn preemption_follows_priority_and_guarantee_without_cycles() {
    let preempted_tasks = |waiting: Job, running: Job, tasks: u32| {
        let mut fixture = Fixture::new(2);
        fixture.add_job(1, Job { tasks, ..running });
        let (_, updates) = fixture.plan();
        fixture.record_assignments(&updates[0]);
        fixture.report_status(2, updates[0].sequence_number, &[]);
        fixture.add_job(2, waiting);
        let (_, updates) = fixture.plan();
        updates
            .iter()
            .map(|update| update.attempts_to_stop.len())
            .sum::<usize>()
    };
    let blue = |priority, cpus| Job {
        team: "blue".into(),
        priority,
        ..job(1, cpus)
    };
    let red = |priority, cpus| Job {
        team: "red".into(),
        priority,
        ..job(1, cpus)
    };
    let service = |job: Job| Job {
        kind: JobKind::Service,
        ..job
    };
    // Two machines of 16 CPUs are full. Red's guarantee is 16 CPUs, blue's is 32.
    use Priority::{High, Production, Standard};
    assert_eq!(
        preempted_tasks(red(Standard, 4.0), blue(Standard, 4.0), 8),
        0,
        "blue is within its guarantee"
    );
    assert_eq!(
        preempted_tasks(blue(Standard, 4.0), red(Standard, 4.0), 8),
        1,
        "red is beyond its guarantee, blue is within its own"
    );
    assert_eq!(
        preempted_tasks(blue(Standard, 4.0), red(High, 4.0), 8),
        0,
        "tasks of higher priority are not preempted"
    );
    assert_eq!(
        preempted_tasks(red(High, 4.0), blue(Standard, 4.0), 8),
        1,
        "red has higher priority and is within its guarantee"
    );
    assert_eq!(
        preempted_tasks(red(Production, 8.0), red(Standard, 4.0), 8),
        2,
        "as many tasks are preempted as needed"
    );
    assert_eq!(
        preempted_tasks(blue(High, 4.0), service(red(Standard, 4.0)), 8),
        0,
        "service replicas are not preempted"
    );
}

/// Seen in a benchmark: preempted tasks took seconds to write their checkpoints. Until then their holder reported the
/// release that waited for their resources as unplaceable, it was withdrawn, and other tasks of the preempted job got
/// the resources: 6,000 tasks were preempted in two minutes.
#[test]
fn a_release_keeps_the_resources_of_preempted_tasks_until_they_exit() {
    let mut fixture = Fixture::new(1);
    let low = Job {
        priority: Priority::Low,
        ..job(100, 4.0)
    };
    fixture.add_job(
        1,
        Job {
            team: "red".into(),
            ..low
        },
    );
    let updates = fixture.plan().1;
    fixture.record_assignments(&updates[0]);
    fixture.report_status(1, updates[0].sequence_number, &[]);
    fixture.add_job(
        2,
        Job {
            team: "blue".into(),
            ..job(1, 16.0)
        },
    );
    let (_, updates) = fixture.plan();
    let stopped_attempts = updates[0].attempts_to_stop.clone();
    assert_eq!(stopped_attempts.len(), 4);
    let release = updates[0].assignments[0].attempt;
    let report_unplaceable = |fixture: &mut Fixture| {
        fixture.report_status(1, updates[0].sequence_number, &[release.number]);
        let block_state = fixture
            .scheduler
            .block_states
            .get_mut(&BlockId::from("a.0"))
            .expect("the block has a lease of this term");
        block_state
            .status
            .as_mut()
            .expect("the holder has sent a status")
            .0
            .unplaceable
            .push(release.number);
    };
    let is_still_released = |fixture: &mut Fixture| {
        report_unplaceable(fixture);
        let updates = fixture.plan().1;
        let others = updates
            .iter()
            .flat_map(|update| &update.assignments)
            .filter(|assignment| assignment.attempt != release)
            .count();
        assert_eq!(
            others, 0,
            "the freed resources are reserved for the release"
        );
        fixture.scheduler.block_states[&BlockId::from("a.0")]
            .releases
            .get(&release.number)
            .is_some_and(|r| !r.withdrawn)
    };
    fixture.version += 1;
    fixture.now.monotonic += Duration::from_secs(4);
    assert!(
        is_still_released(&mut fixture),
        "the preempted tasks are still exiting"
    );
    // The preempted tasks have ended, but the holder still reports the release as unplaceable.
    fixture.put(
        placements_key(&"a.0".into()),
        encode(&BlockPlacements::default()),
    );
    assert!(
        is_still_released(&mut fixture),
        "the holder may not have seen the change yet"
    );
    fixture.version += 1;
    fixture.now.monotonic += Duration::from_secs(1);
    assert!(
        !is_still_released(&mut fixture),
        "the holder has had a second to place it"
    );
}

/// A preempted task may hang: the release that waits for its resources is withdrawn, so that its task can be placed
/// elsewhere.
#[test]
fn a_release_is_withdrawn_when_preempted_tasks_do_not_exit_in_time() {
    let mut fixture = Fixture::new(1);
    fixture.add_job(
        1,
        Job {
            team: "red".into(),
            priority: Priority::Low,
            ..job(100, 4.0)
        },
    );
    let updates = fixture.plan().1;
    fixture.record_assignments(&updates[0]);
    fixture.report_status(1, updates[0].sequence_number, &[]);
    fixture.add_job(
        2,
        Job {
            team: "blue".into(),
            ..job(1, 16.0)
        },
    );
    let (_, updates) = fixture.plan();
    let number = updates[0].assignments[0].attempt.number;
    let is_withdrawn = |fixture: &mut Fixture, after: u64| {
        fixture.now.monotonic += Duration::from_secs(after);
        fixture.version += 1;
        fixture.report_status(1, updates[0].sequence_number, &[number]);
        fixture.plan();
        fixture.scheduler.block_states[&BlockId::from("a.0")].releases[&number].withdrawn
    };
    assert!(!is_withdrawn(&mut fixture, 29));
    assert!(is_withdrawn(&mut fixture, 2));
}

/// Seen in an incident: jobs of a team without a guarantee, with some tasks done and none running, waited although
/// there were free machines, which were reserved or too expensive for them. A job in this state may place one task at a
/// time on any machine.
#[test]
fn a_best_effort_job_with_nothing_running_may_use_any_machine_after_the_restriction_time() {
    let eligible_machines = |done: u32, placed: bool, waited: Duration| {
        let mut fixture = Fixture::new(1);
        let guests = Team::from("guests");
        let limits = crate::config::TeamLimits {
            name: guests.clone(),
            guaranteed_cpus: 0.0,
            max_cpus: f64::INFINITY,
            guaranteed_gpus: 0.0,
            max_gpus: f64::INFINITY,
        };
        fixture.config.teams.push(limits);
        let low = Job {
            team: guests,
            priority: Priority::Low,
            spot: true,
            ..job(10, 1.0)
        };
        fixture.add_job(1, low);
        let mut placements = BlockPlacements::default();
        for index in 0..done {
            placements.done.entry(JobId(1)).or_default().insert(index);
        }
        if placed {
            let task = TaskId {
                job: JobId(1),
                index: done,
            };
            placements.add(&machine_id(0), Attempt { task, number: 1 });
        }
        fixture.put(placements_key(&"a.0".into()), encode(&placements));
        fixture.now.wall += waited;
        let Fixture {
            config,
            policy,
            catalog,
            cache,
            now,
            scheduler,
            ..
        } = &fixture;
        let leader = leader_context(config, policy, catalog);
        scheduler.waiting_jobs(*now, cache)[0].eligible_machines(&leader)
    };
    let after_restriction = best_effort::BEST_EFFORT_RESTRICTION_TIME + Duration::from_secs(1);
    assert_eq!(
        eligible_machines(0, false, Duration::ZERO),
        EligibleMachines::CheapAndUnreserved
    );
    assert_eq!(
        eligible_machines(0, false, after_restriction),
        EligibleMachines::All
    );
    assert_eq!(
        eligible_machines(6, false, after_restriction),
        EligibleMachines::All,
        "some tasks are done, none is running"
    );
    assert_eq!(
        eligible_machines(6, true, after_restriction),
        EligibleMachines::CheapAndUnreserved
    );
}
