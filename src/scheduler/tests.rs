//! The leader's queues, as holders and the records show them.

use super::best_effort::EligibleMachines;
use super::waiting::FIRST_TASK_OVERDUE_AFTER;
use super::*;
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
        let config = Config::parse("s.toml", SETTINGS).expect("valid");
        let now = Now::read();
        let mut catalog = InstanceCatalog::default();
        catalog.handle_response(Some(InstanceTypeList {
            types: vec![instance_type()],
        }));
        let mut fixture = Fixture {
            policy: Policy::built_in(&config),
            catalog,
            cache: WatchCache::following(),
            now,
            version: 0,
            scheduler: Scheduler::new(now, Term(TERM)),
            provisioner: Provisioner::new(now, Term(TERM)),
            config,
        };
        let holder = fixture.config.name.clone();
        let lease = BlockLease {
            zone: "a".into(),
            holder,
            incarnation: Incarnation(1),
            token: FencingToken(4),
            term: Term(TERM),
        };
        fixture.put(block_lease_key(&"a.0".into()), encode(&lease));
        fixture.inventory(0..machines);
        fixture.plan();
        fixture.report_status(machines, 0, &[]);
        fixture
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

    fn inventory(&mut self, machines: std::ops::Range<u32>) {
        let entry = || InventoryEntry {
            type_name: "large".into(),
            capacity_type: CapacityType::OnDemand,
            state: MachineState::InService,
            rented_s: 0,
        };
        let on = machines.map(|n| (machine_id(n), entry())).collect();
        self.put(
            inventory_key(&"a.0".into()),
            encode(&MachineInventory {
                zone: "a".into(),
                on,
            }),
        );
    }

    /// Accepted just now, unless it says when.
    pub(super) fn add_job(&mut self, id: u64, mut job: Job) {
        if job.accepted_ms == 0 {
            job.accepted_ms = self.now.unix_ms();
        }
        self.put(job_key(JobId(id)), encode(&JobRecord::Open(job)));
    }

    pub(super) fn report_status(
        &mut self,
        machines: u32,
        last_assignment_update: u64,
        pending: &[u64],
    ) {
        let lease = &self.cache.block_leases[&BlockId::from("a.0")];
        let status = BlockStatus {
            block: "a.0".into(),
            token: lease.value.token,
            lease_version: lease.version,
            last_assignment_update,
            pending: pending.to_vec(),
            unplaceable: Vec::new(),
            proven_ended: Vec::new(),
            placements_revision: self
                .cache
                .placements
                .get(&"a.0".into())
                .map_or(0, |placements| placements.version),
            token_renewal_required: false,
            expected_workers: machines,
            overdue_workers: 0,
            sequence_number: self.version * 1000 + last_assignment_update + 1,
            machines: (0..machines)
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
        let leader = lead_of(config, policy, catalog);
        let demand = scheduler.plan(*now, &leader, cache, provisioner);
        (
            demand,
            scheduler.assignment_updates(*now, cache, provisioner.addresses()),
        )
    }

    /// The jobs that the next write ends.
    pub(super) fn ended_jobs(&mut self) -> Vec<JobId> {
        let Fixture {
            config,
            policy,
            catalog,
            cache,
            scheduler,
            ..
        } = self;
        let leader = lead_of(config, policy, catalog);
        scheduler.writer = Writer::Idle;
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

    /// Everything that is wanted is placed where the leader meant it.
    pub(super) fn record_assignments(&mut self, work: &AssignmentUpdate) {
        let mut placements = self
            .cache
            .placements
            .get(&work.block)
            .map_or(BlockPlacements::default(), |p| p.value.clone());
        for wanted in &work.assignments {
            placements.add(&wanted.machine, wanted.attempt);
        }
        self.put(placements_key(&work.block), encode(&placements));
    }
}

fn lead_of<'a>(
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

/// Found by a seeded run: the machine that a release was meant for was deleted, the release no longer
/// counted, and the task was released again while its holder could still place it elsewhere.
#[test]
fn a_release_counts_until_its_holder_has_let_go_of_it() {
    let mut fixture = Fixture::new(2);
    fixture.add_job(1, job(1, 4.0));
    let (_, work) = fixture.plan();
    let [wanted] = work[0].assignments.as_slice() else {
        panic!("{work:?}")
    };
    let number = wanted.attempt.number;
    // The machine it was meant for goes.
    fixture.inventory(if wanted.machine == machine_id(0) {
        1..2
    } else {
        0..1
    });
    for (last_assignment_update, pending) in [(0, vec![]), (work[0].sequence_number, vec![number])]
    {
        fixture.report_status(2, last_assignment_update, &pending);
        assert!(
            fixture
                .plan()
                .1
                .iter()
                .all(|work| work.assignments.iter().all(|w| w.attempt.number == number))
        );
    }
    // Heard, and neither pending nor placed: now it is free.
    fixture.report_status(2, work[0].sequence_number, &[]);
    fixture.plan();
    let (_, work) = fixture.plan();
    assert!(
        work.iter()
            .flat_map(|work| &work.assignments)
            .all(|wanted| wanted.attempt.number != number)
    );
}

/// Found on the bench: machines stood empty until the record of an end had been written, a second or more.
#[test]
fn the_room_of_a_task_that_has_ended_is_given_away_before_its_record_is_written() {
    let mut fixture = Fixture::new(1);
    fixture.add_job(1, job(1, 16.0));
    let (_, work) = fixture.plan();
    let number = work[0].assignments[0].attempt.number;
    fixture.record_assignments(&work[0]);
    fixture.add_job(2, job(1, 16.0));
    fixture.report_status(1, work[0].sequence_number, &[]);
    let wanted = |fixture: &mut Fixture| {
        fixture
            .plan()
            .1
            .iter()
            .map(|work| work.assignments.len())
            .sum::<usize>()
    };
    assert_eq!(wanted(&mut fixture), 0);
    let block_state = fixture
        .scheduler
        .block_states
        .get_mut(&BlockId::from("a.0"))
        .expect("granted");
    block_state
        .status
        .as_mut()
        .expect("heard")
        .0
        .proven_ended
        .push(number);
    assert_eq!(wanted(&mut fixture), 1);
}

/// Found on the bench: a controller was cut off from its workers, and all its machines were deleted, though they
/// reported to the others all the time.
#[test]
fn a_holder_whose_machines_are_heard_elsewhere_is_cut_off_and_they_are_not_dead() {
    let mut fixture = Fixture::new(6);
    let holder = fixture.config.name.clone();
    let mut judged = |overdue: u32, misrouted: u32| {
        let block_state = fixture
            .scheduler
            .block_states
            .get_mut(&BlockId::from("a.0"))
            .expect("granted");
        block_state
            .status
            .as_mut()
            .expect("heard")
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
        let spared = health
            .values()
            .filter(|health| health.holder_isolated)
            .count();
        (isolated_holders.contains(&holder), spared)
    };
    assert_eq!(judged(6, 4), (true, 6));
    // Found on a day of a hunt: machines that no answer reached went from controller to controller; three of them were
    // enough to take holder after holder for cut off, and their blocks changed hands five times in two minutes.
    assert_eq!(judged(6, 3), (false, 0), "half of them: they may be deaf");
    assert_eq!(judged(6, 2), (false, 0), "they may be dead");
    assert_eq!(judged(4, 3), (true, 6));
    assert_eq!(judged(3, 6), (false, 0), "it hears the others");
}

/// Found on a day with half as many machines again and many troubles together: jobs waited for almost five minutes to
/// begin behind the tasks of older ones.
#[test]
fn a_job_that_has_waited_long_begins_before_older_ones_get_more() {
    let begins = |waited: Duration| {
        let mut fixture = Fixture::new(1);
        let accepted_ms = fixture.now.unix_ms();
        let job = |tasks, accepted_ms| Job {
            team: "blue".into(),
            tasks,
            accepted_ms,
            ..job(1, 1.0)
        };
        fixture.add_job(1, job(100, accepted_ms - 1000));
        let (_, work) = fixture.plan();
        fixture.record_assignments(&work[0]);
        fixture.report_status(1, work[0].sequence_number, &[]);
        fixture.add_job(2, job(100, accepted_ms));
        // Four tasks end: room for as many.
        let placed = fixture.cache.placements[&BlockId::from("a.0")]
            .value
            .clone();
        let ended: Vec<u64> = placed
            .attempts()
            .map(|(_, attempt)| attempt.number)
            .take(4)
            .collect();
        let block_state = fixture
            .scheduler
            .block_states
            .get_mut(&BlockId::from("a.0"))
            .expect("granted");
        block_state.status.as_mut().expect("heard").0.proven_ended = ended;
        fixture.now.wall += waited;
        let work = fixture.plan().1;
        work.iter()
            .flat_map(|work| &work.assignments)
            .filter(|wanted| wanted.attempt.task.job == JobId(2))
            .count()
    };
    assert_eq!(begins(Duration::from_secs(10)), 0, "older jobs first");
    assert_eq!(
        begins(FIRST_TASK_OVERDUE_AFTER + Duration::from_secs(1)),
        1,
        "one task, not all"
    );
}

#[test]
fn a_team_gets_no_more_than_its_limit_however_large_its_job() {
    let mut fixture = Fixture::new(30);
    // 48 CPUs at most: see the sample settings.
    fixture.add_job(
        1,
        Job {
            team: "blue".into(),
            ..job(100_000, 0.5)
        },
    );
    let mut placed = 0;
    for _ in 0..5 {
        let (demand, work) = fixture.plan();
        placed += work
            .iter()
            .map(|work| work.assignments.len())
            .sum::<usize>();
        let room: f64 = demand.machines.values().sum();
        assert!(room <= 3.0 + 1e-6, "{room} machines for 48 CPUs");
        for work in &work {
            fixture.record_assignments(work);
            fixture.report_status(30, work.sequence_number, &[]);
        }
    }
    assert_eq!(placed, 96);
}

#[test]
fn a_block_is_given_no_more_than_its_value_holds() {
    let mut fixture = Fixture::new(3);
    fixture.add_job(1, job(100_000, 0.0));
    for _ in 0..30 {
        for work in fixture.plan().1 {
            fixture.record_assignments(&work);
            fixture.report_status(3, work.sequence_number, &[]);
        }
    }
    let placements = &fixture.cache.placements[&BlockId::from("a.0")];
    assert!(placements.value.attempts().count() > 100);
    assert!(placements.value.size() <= fixture.config.state_limits.value_bytes);
}

/// Found on the bench: two teams stopped each other's tasks in turn, over a thousand in eight minutes.
#[test]
fn preemption_follows_priority_and_guarantee_without_going_in_circles() {
    let stops = |waiting: Job, running: Job, tasks: u32| {
        let mut fixture = Fixture::new(2);
        fixture.add_job(1, Job { tasks, ..running });
        let (_, work) = fixture.plan();
        fixture.record_assignments(&work[0]);
        fixture.report_status(2, work[0].sequence_number, &[]);
        fixture.add_job(2, waiting);
        let (_, work) = fixture.plan();
        work.iter()
            .map(|work| work.attempts_to_stop.len())
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
    // Two machines of 16 CPUs, full. Red's guarantee is 16 CPUs, blue's 32.
    use Priority::{High, Production, Standard};
    assert_eq!(
        stops(red(Standard, 4.0), blue(Standard, 4.0), 8),
        0,
        "blue is within its guarantee"
    );
    assert_eq!(
        stops(blue(Standard, 4.0), red(Standard, 4.0), 8),
        1,
        "red is beyond, blue is owed"
    );
    assert_eq!(
        stops(blue(Standard, 4.0), red(High, 4.0), 8),
        0,
        "higher priorities are left alone"
    );
    assert_eq!(
        stops(red(High, 4.0), blue(Standard, 4.0), 8),
        1,
        "priority, within the guarantee"
    );
    assert_eq!(
        stops(red(Production, 8.0), red(Standard, 4.0), 8),
        2,
        "as many as it takes"
    );
    assert_eq!(
        stops(blue(High, 4.0), service(red(Standard, 4.0)), 8),
        0,
        "replicas stay up"
    );
}

/// Found on the bench: preempted tasks took seconds to save; meanwhile their holder found no room for the task they were
/// stopped for, its release was withdrawn, and the preempted job's other tasks got the room: 6,000 were stopped in two
/// minutes.
#[test]
fn a_release_keeps_the_room_of_preempted_tasks_while_they_save() {
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
    let work = fixture.plan().1;
    fixture.record_assignments(&work[0]);
    fixture.report_status(1, work[0].sequence_number, &[]);
    fixture.add_job(
        2,
        Job {
            team: "blue".into(),
            ..job(1, 16.0)
        },
    );
    let (_, work) = fixture.plan();
    let stop = work[0].attempts_to_stop.clone();
    assert_eq!(stop.len(), 4);
    let release = work[0].assignments[0].attempt;
    let refuse = |fixture: &mut Fixture| {
        fixture.report_status(1, work[0].sequence_number, &[release.number]);
        let block_state = fixture
            .scheduler
            .block_states
            .get_mut(&BlockId::from("a.0"))
            .expect("granted");
        block_state
            .status
            .as_mut()
            .expect("heard")
            .0
            .unplaceable
            .push(release.number);
    };
    let still_wanted = |fixture: &mut Fixture| {
        refuse(fixture);
        let work = fixture.plan().1;
        let others = work
            .iter()
            .flat_map(|work| &work.assignments)
            .filter(|wanted| wanted.attempt != release)
            .count();
        assert_eq!(others, 0, "the room is not for others");
        fixture.scheduler.block_states[&BlockId::from("a.0")]
            .releases
            .get(&release.number)
            .is_some_and(|r| !r.withdrawn)
    };
    fixture.version += 1;
    fixture.now.monotonic += Duration::from_secs(4);
    assert!(still_wanted(&mut fixture), "they still save");
    // They are gone now, but the holder has no room all the same.
    fixture.put(
        placements_key(&"a.0".into()),
        encode(&BlockPlacements::default()),
    );
    assert!(
        still_wanted(&mut fixture),
        "the holder may not have seen it yet"
    );
    fixture.version += 1;
    fixture.now.monotonic += Duration::from_secs(1);
    assert!(!still_wanted(&mut fixture), "it has had a second");
}

/// A preempted task may hang: what waits for its room is placed elsewhere in the end.
#[test]
fn a_release_does_not_wait_for_preempted_tasks_for_ever() {
    let mut fixture = Fixture::new(1);
    fixture.add_job(
        1,
        Job {
            team: "red".into(),
            priority: Priority::Low,
            ..job(100, 4.0)
        },
    );
    let work = fixture.plan().1;
    fixture.record_assignments(&work[0]);
    fixture.report_status(1, work[0].sequence_number, &[]);
    fixture.add_job(
        2,
        Job {
            team: "blue".into(),
            ..job(1, 16.0)
        },
    );
    let (_, work) = fixture.plan();
    let number = work[0].assignments[0].attempt.number;
    let withdrawn = |fixture: &mut Fixture, after: u64| {
        fixture.now.monotonic += Duration::from_secs(after);
        fixture.version += 1;
        fixture.report_status(1, work[0].sequence_number, &[number]);
        fixture.plan();
        fixture.scheduler.block_states[&BlockId::from("a.0")].releases[&number].withdrawn
    };
    assert!(!withdrawn(&mut fixture, 29));
    assert!(withdrawn(&mut fixture, 2));
}

/// Found in an incident: guests' jobs of which some tasks were done waited beside room that they might not have, with nothing
/// of them running. One task at a time gets it.
#[test]
fn a_job_without_a_guarantee_of_which_nothing_runs_gets_one_task_wherever_there_is_room() {
    let reach = |done: u32, placed: bool, waited: Duration| {
        let mut fixture = Fixture::new(1);
        let guests = Team::from("guests");
        let limits = crate::config::TeamLimits {
            name: guests.clone(),
            cpus: 0.0,
            cpus_max: f64::INFINITY,
            gpus: 0.0,
            gpus_max: f64::INFINITY,
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
        let leader = lead_of(config, policy, catalog);
        scheduler.waiting_jobs(*now, cache)[0].eligible_machines(&leader)
    };
    let late = best_effort::BEST_EFFORT_RESTRICTION_TIME + Duration::from_secs(1);
    assert_eq!(
        reach(0, false, Duration::ZERO),
        EligibleMachines::CheapAndUnreserved
    );
    assert_eq!(reach(0, false, late), EligibleMachines::All);
    assert_eq!(
        reach(6, false, late),
        EligibleMachines::All,
        "some done, nothing runs"
    );
    assert_eq!(reach(6, true, late), EligibleMachines::CheapAndUnreserved);
}
