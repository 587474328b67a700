//! Drains in simulated worlds: while machines are emptied, each team's disruption stays within its budget, whatever
//! fails meanwhile.

use std::time::Duration;

use dappleshore::domain::{Job, JobKind, Priority, Resources, TaskId};
use dappleshore::features::Features;
use dappleshore::store::Machine;
use dappleshore::store::records::MachineState;
use dappleshore::workers::wire::TaskState;
use dappleshore_drain::operator::{Reply, Request, StateName};
use dappleshore_drain::settings::TeamSettings;
use dappleshore_drain::{DrainSettings, Limit, Purpose, Scope};

use super::gangs::gang;
use super::machine::LASTING;
use super::operators::{Check, start};
use super::world::{CALM_FROM, Faults, Size, World, array};

const DRAIN_AT: Duration = Duration::from_secs(60);
const END: Duration = Duration::from_secs(420);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Draining is on, and each team may have so many tasks disrupted.
fn world(seed: u64, faults: Faults, budget: u32) -> World {
    super::log_if_asked();
    let mut world = World::new(seed, faults, CALM_FROM, Size::SMALL);
    world.preemption = false;
    // What is bound to a zone can't run anywhere while that is drained.
    world.unbind_jobs();
    world.features = Features {
        drain: DrainSettings {
            enabled: true,
            budget: Limit::Count(budget),
            ..DrainSettings::default()
        },
    };
    for team in ["red", "blue"] {
        world
            .operators
            .allowed
            .insert(team.into(), u64::from(budget));
    }
    let quiet = faults.crash == 0.0 && faults.machine_dies == 0.0;
    world.operators.check = if quiet {
        Check::Always
    } else {
        Check::Evictions
    };
    world.watch_drains(DRAIN_AT);
    world
}

fn service(team: &str, tasks: u32, cpus: f64) -> Job {
    Job {
        kind: JobKind::Service,
        tasks,
        spread: true,
        need: Resources {
            cpus,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        spot: false,
        ..array(LASTING, team, Priority::Production)
    }
}

/// A service of each team that runs until near the end.
fn add_services(world: &mut World, tasks: u32) {
    world.plan(seconds(2), move |world| {
        for team in ["red", "blue"] {
            world.add_job(service(team, tasks, 2.0), Some(seconds(380)));
        }
    });
}

fn zone(name: &str) -> Scope {
    Scope::Zone(name.into())
}

fn drain_at(world: &mut World, at: Duration, id: &'static str, scope: Scope) {
    world.plan(at, move |world| {
        world.drain(id, scope);
    });
}

/// Drains the zone that has the most to lose. It has no tasks when its drain is done.
fn drain_busiest(world: &mut World, at: Duration, id: &'static str) {
    world.plan(at, move |world| {
        let busiest = busiest_zone(world);
        world.drain(id, zone(busiest));
        world.plan(END - seconds(45), move |world| {
            assert_eq!(tasks_in(world, busiest), 0, "{:?}", world.seen(id));
        });
    });
}

/// Runs to the end: every rule kept, all work served, and the drain done.
fn check_done(mut world: World, seed: u64, ids: &[&str]) -> World {
    world.run_until(END);
    world.check_end(seed);
    for id in ids {
        let seen = world
            .seen(id)
            .unwrap_or_else(|| panic!("seed {seed}: {id} was never seen"));
        assert_eq!(seen.state, StateName::Done, "seed {seed}: {seen:?}");
    }
    world
}

fn tasks_in(world: &World, zone: &str) -> usize {
    let here = world.machines.values().filter(|m| *m.zone.0 == *zone);
    let tasks = here.flat_map(|machine| machine.tasks.values());
    tasks.filter(|task| task.state != TaskState::Exited).count()
}

/// The zone with the most tasks of services.
fn busiest_zone(world: &World) -> &'static str {
    let services = |zone: &&str| {
        let here = world.machines.values().filter(|m| *m.zone.0 == **zone);
        let tasks = here.flat_map(|machine| machine.tasks.keys());
        let of_service = |task: &&TaskId| world.job(task.job).kind == JobKind::Service;
        tasks.filter(of_service).count()
    };
    ["a", "b", "c"]
        .into_iter()
        .max_by_key(services)
        .expect("three zones")
}

#[test]
fn a_zone_is_emptied_and_no_team_loses_more_than_its_budget() {
    for (seed, budget) in [(800, 1), (801, 2), (802, 1)] {
        let mut world = world(seed, Faults::default(), budget);
        add_services(&mut world, 8);
        drain_busiest(&mut world, DRAIN_AT, "disk");
        let world = check_done(world, seed, &["disk"]);
        let evictions = world.operators.evictions.len();
        assert!(
            evictions > 2,
            "seed {seed}: {evictions} evictions show nothing"
        );
        let down = world.operators.most_down.values().max();
        assert!(down > Some(&0), "seed {seed}: nothing was seen down");
    }
}

/// Machines of the zone, those that come late included, are returned, and none is rented there.
#[test]
fn rented_machines_are_returned_when_asked() {
    let mut world = world(805, Faults::default(), 2);
    add_services(&mut world, 6);
    world.plan(DRAIN_AT, |world| {
        world.operate(Request::Start {
            id: "close".parse().expect("an id"),
            scope: zone("b"),
            purpose: Purpose::Drain,
            return_machines: true,
            step: Some(Limit::Count(2)),
        });
    });
    let world = check_done(world, 805, &["close"]);
    let left = world
        .machines
        .values()
        .filter(|m| *m.zone.0 == *"b")
        .count();
    assert_eq!(left, 0);
}

/// A team without budget, or with a share that rounds to nothing: the drain waits, and says for whom. It goes on with
/// the budget that operators set then.
#[test]
fn a_drain_waits_for_a_team_whose_budget_is_spent() {
    for (seed, limit) in [(810, "0"), (811, "1%")] {
        let mut world = world(seed, Faults::default(), 1);
        let red = TeamSettings {
            budget: Some(limit.parse().expect("a limit")),
            ..TeamSettings::default()
        };
        world.features.drain.teams.insert("red".to_owned(), red);
        world.operators.allowed.insert("red".into(), 0);
        add_services(&mut world, 8);
        drain_busiest(&mut world, DRAIN_AT, "disk");
        world.run_until(seconds(200));
        assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
        let seen = world.seen("disk").expect("seen").clone();
        assert_eq!(seen.state, StateName::WaitingForBudget, "{seen:?}");
        assert_eq!(seen.waiting_for.as_deref(), Some("red"));
        world.operators.allowed.insert("red".into(), 1);
        world.operate(Request::SetBudget {
            team: "red".into(),
            class: None,
            limit: Limit::Count(1),
        });
        check_done(world, seed, &["disk"]);
    }
}

/// A gang is moved whole: not while it is larger than the budget.
#[test]
fn a_gang_is_moved_whole_or_not_at_all() {
    let mut world = world(815, Faults::default(), 3);
    world.longer = seconds(400);
    world.plan(seconds(45), |world| world.longer = Duration::ZERO);
    world.plan(seconds(30), |world| {
        let job = Job {
            spot: false,
            team: "red".into(),
            ..gang(4, 2.0, false)
        };
        world.add_job(job, Some(seconds(380)));
        // The largest number is the youngest user's.
    });
    for name in ["a", "b"] {
        drain_at(
            &mut world,
            DRAIN_AT,
            if name == "a" { "first" } else { "second" },
            zone(name),
        );
    }
    world.run_until(seconds(180));
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
    let waits = ["first", "second"]
        .iter()
        .filter_map(|id| world.seen(id))
        .any(|seen| seen.waiting_for.as_deref() == Some("red"));
    assert!(
        waits,
        "{:?} {:?}",
        world.seen("first"),
        world.seen("second")
    );
    let moved = |world: &World| {
        let mut evictions = world.operators.evictions.iter();
        evictions.any(|eviction| eviction.subject.tasks().count() > 1)
    };
    assert!(!moved(&world));
    world.operators.allowed.insert("red".into(), 4);
    world.operate(Request::SetBudget {
        team: "red".into(),
        class: None,
        limit: Limit::Count(4),
    });
    world.run_until(seconds(330));
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
    assert!(moved(&world), "{:?}", world.seen("first"));
}

/// Two drains share the budgets, and each takes machines that the other's replacements could have gone to.
#[test]
fn two_drains_at_once_share_the_budgets() {
    for seed in [820, 821] {
        let mut world = world(seed, Faults::default(), 1);
        add_services(&mut world, 8);
        drain_at(&mut world, DRAIN_AT, "first", zone("a"));
        drain_at(&mut world, DRAIN_AT + seconds(5), "second", zone("b"));
        let world = check_done(world, seed, &["first", "second"]);
        assert_eq!(tasks_in(&world, "a") + tasks_in(&world, "b"), 0);
    }
}

/// With no zone left to go to, a drain waits and says so; calling one off lets the others go on.
#[test]
fn a_drain_of_everything_waits_and_says_so() {
    let mut world = world(825, Faults::default(), 2);
    add_services(&mut world, 4);
    for (id, name) in [("a", "a"), ("b", "b"), ("c", "c")] {
        drain_at(&mut world, DRAIN_AT, id, zone(name));
    }
    world.run_until(seconds(150));
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
    let reasons: Vec<String> = ["a", "b", "c"]
        .iter()
        .filter_map(|id| world.seen(id)?.reason.clone())
        .collect();
    assert!(
        reasons
            .iter()
            .any(|reason| reason.contains("are being drained")),
        "{reasons:?}"
    );
    let cancel = world.operate(Request::Cancel {
        id: "c".parse().expect("an id"),
    });
    let world = check_done(world, 825, &["a", "b"]);
    assert!(matches!(world.answer(cancel), Some(Reply::Drains(_))));
    assert_eq!(world.seen("c").expect("seen").state, StateName::Cancelled);
}

/// No machine comes up for a while: the drain halts with the reason, and goes on by itself once there is room.
#[test]
fn a_drain_whose_replacements_never_become_ready_is_halted() {
    use super::world::BootTrouble;
    let mut world = world(830, Faults::default(), 4);
    world.features.drain.room_timeout_s = 30.0.try_into().expect("in range");
    world.plan(seconds(2), |world| {
        for team in ["red", "blue"] {
            world.add_job(service(team, 3, 16.0), Some(seconds(380)));
        }
    });
    let lost = BootTrouble {
        lost: 1.0,
        factor: 1.0,
    };
    world.plan(DRAIN_AT - seconds(2), move |world| {
        world.boots_badly(Some(lost))
    });
    world.plan(seconds(200), |world| world.boots_badly(None));
    drain_at(&mut world, DRAIN_AT, "first", zone("a"));
    drain_at(&mut world, DRAIN_AT, "second", zone("b"));
    let world = check_done(world, 830, &["first", "second"]);
    let halted = ["first", "second"]
        .iter()
        .flat_map(|id| &world.operators.seen[*id])
        .any(|seen| seen.state == StateName::Halted && seen.reason.is_some());
    assert!(halted, "never halted");
}

/// Repeated requests act once; a drain that is called off puts its machines back.
#[test]
fn repeated_and_cancelled_requests_act_once() {
    let mut world = world(835, Faults::default(), 1);
    add_services(&mut world, 6);
    let ask = || start("disk", zone("a"), Purpose::Drain, None);
    for at in [60, 61, 62, 100, 330] {
        world.plan(seconds(at), move |world| {
            world.operate(ask());
        });
    }
    // The same under another name, while the first is under way.
    world.plan(seconds(63), |world| {
        world.drain("other", zone("a"));
    });
    world.plan(seconds(64), |world| {
        world.operate(Request::Cancel {
            id: "disk".parse().expect("an id"),
        });
    });
    world.run_until(END);
    world.check_end(835);
    assert!(world.seen("other").is_none(), "{:?}", world.seen("other"));
    assert_eq!(
        world.seen("disk").expect("seen").state,
        StateName::Cancelled
    );
    let cache = world.any_cache().expect("a controller is up");
    let cordoned = |machine: &&Machine| machine.state == MachineState::Cordoned;
    assert_eq!(cache.machines.values().filter(cordoned).count(), 0);
}

/// What happens as the first eviction is recorded.
fn with_trouble(
    seed: u64,
    act: impl Fn(&mut World, &dappleshore_drain::Eviction) + Clone + 'static,
) -> World {
    let mut world = world(seed, Faults::default(), 1);
    world.operators.check = Check::Evictions;
    add_services(&mut world, 8);
    for _ in 0..3 {
        let act = act.clone();
        world.operators.on_eviction.push(Box::new(act));
    }
    drain_busiest(&mut world, DRAIN_AT, "disk");
    let world = check_done(world, seed, &["disk"]);
    let evictions = world.operators.evictions.len();
    assert!(
        evictions > 2,
        "seed {seed}: {evictions} evictions show nothing"
    );
    world
}

#[test]
fn the_leader_ends_between_the_record_and_the_stop() {
    with_trouble(840, |world, _| {
        let leader = world.leader().expect("led by now");
        world.end_controller(leader, seconds(5));
    });
}

#[test]
fn the_leader_ends_between_the_stop_and_the_proof() {
    for (seed, after) in [(841, 30), (842, 200), (843, 1000)] {
        with_trouble(seed, move |world, _| {
            let at = world.now + Duration::from_millis(after);
            world.plan(at, |world| {
                if let Some(leader) = world.leader() {
                    world.end_controller(leader, Duration::from_millis(100));
                }
            });
        });
    }
}

#[test]
fn the_leader_stands_still_as_it_decides() {
    with_trouble(844, |world, _| {
        let leader = world.leader().expect("led by now");
        world.freeze(leader, seconds(20));
    });
}

#[test]
fn the_state_service_goes_out_as_an_eviction_is_recorded() {
    with_trouble(845, |world, _| world.state_outage(seconds(15)));
}

#[test]
fn the_zone_is_cut_while_it_is_drained() {
    with_trouble(846, |world, _| {
        let busiest = busiest_zone(world);
        world.cut_zone(busiest, seconds(25));
    });
}

#[test]
fn the_machine_that_is_emptied_fails_meanwhile() {
    with_trouble(850, |world, eviction| {
        world.hang(&eviction.machine.0, seconds(30))
    });
    with_trouble(851, |world, eviction| world.kill(&eviction.machine.0));
    with_trouble(852, |world, eviction| {
        world.deafen(&eviction.machine.0, seconds(30))
    });
    with_trouble(853, |world, eviction| {
        world.mute(&eviction.machine.0, seconds(30))
    });
}

#[test]
fn the_machine_that_is_emptied_is_recalled_or_restarts_in_a_moment() {
    with_trouble(856, |world, eviction| {
        world.recall(&eviction.machine.0, seconds(2));
    });
    with_trouble(857, |world, eviction| {
        world.restart_machine(&eviction.machine.0);
    });
}

#[test]
fn the_state_service_refuses_the_leader_alone() {
    with_trouble(847, |world, _| {
        let leader = world.leader().expect("led by now");
        world.cut_state(leader, seconds(14));
    });
}

/// The holder of the machine that is emptied loses the state service and the other controllers, not its workers.
#[test]
fn the_holder_is_cut_off_and_its_block_taken_over() {
    with_trouble(848, |world, eviction| {
        let cache = world.any_cache().expect("a controller is up");
        let block = &cache.machines[&eviction.machine].block;
        let holder = cache.block_leases[block].value.holder.clone();
        let holder = holder
            .0
            .trim_start_matches("node-")
            .parse()
            .expect("a number");
        world.island(holder, seconds(25));
    });
}

#[test]
fn stops_and_answers_come_late() {
    let mut world = world(858, Faults::default(), 1);
    add_services(&mut world, 8);
    world.plan(DRAIN_AT - seconds(1), |world| {
        world.latency = Duration::from_millis(700);
    });
    drain_busiest(&mut world, DRAIN_AT, "disk");
    check_done(world, 858, &["disk"]);
}

/// From the moment that it is lowered nothing more is evicted; what was goes on.
#[test]
fn a_budget_is_lowered_while_it_is_used() {
    let mut world = world(859, Faults::default(), 2);
    add_services(&mut world, 10);
    drain_busiest(&mut world, DRAIN_AT, "disk");
    world.operators.on_eviction.push(Box::new(|world, _| {
        for team in ["red", "blue"] {
            world.operate(Request::SetBudget {
                team: team.into(),
                class: None,
                limit: Limit::Count(0),
            });
        }
    }));
    world.run_until(DRAIN_AT + seconds(20));
    let early = world.operators.evictions.len();
    assert!(early > 0, "nothing was evicted");
    world.run_until(DRAIN_AT + seconds(60));
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
    assert_eq!(world.operators.evictions.len(), early);
    let seen = world.seen("disk").expect("seen").clone();
    assert_eq!(seen.state, StateName::WaitingForBudget, "{seen:?}");
    for team in ["red", "blue"] {
        world.operate(Request::ClearBudget {
            team: team.into(),
            class: None,
        });
    }
    check_done(world, 859, &["disk"]);
}

/// Other machines die with tasks of the team as its budget is spent: nothing more is evicted until they run again.
#[test]
fn losses_count_against_the_budget() {
    with_trouble(855, |world, eviction| {
        let job = eviction.subject.job();
        let machines = world.rules.machines_of(job);
        let other = machines
            .into_iter()
            .find(|machine| **machine != *eviction.machine.0);
        if let Some(other) = other {
            world.kill(&other);
        }
    });
}

/// Drains while machines, zones, controllers and the state service fail.
#[test]
fn drains_under_all_troubles() {
    // With ledgers removed when they were empty, a transaction that came late in the last one was carried out twice.
    for seed in (860..=867).chain([2020]) {
        check_at_random(seed);
    }
}

/// Drains of a zone and of what another zone has, at times that follow from the seed, under all troubles.
pub fn check_at_random(seed: u64) {
    let mut world = world(seed, Faults::all(), 1 + (seed % 3) as u32);
    add_services(&mut world, 6);
    let zones = ["a", "b", "c"];
    let first = zones[seed as usize % 3];
    let second = zones[(seed as usize + 1) % 3];
    drain_at(&mut world, seconds(40 + seed % 20), "first", zone(first));
    drain_at(&mut world, seconds(70 + seed % 30), "second", zone(second));
    world.plan(seconds(100 + seed % 40), |world| {
        world.operate(Request::Cancel {
            id: "second".parse().expect("an id"),
        });
    });
    world.run_until(END);
    world.check_end(seed);
    let seen = world.seen("first").expect("seen");
    let ended = matches!(seen.state, StateName::Done);
    assert!(ended, "seed {seed}: {seen:?}");
    assert_eq!(tasks_in(&world, first), 0, "seed {seed}");
}

/// A check that can't fail shows nothing: with the budget taken for larger than it is, the worlds notice.
#[test]
fn the_checks_of_budgets_can_fail() {
    let mut world = world(800, Faults::default(), 3);
    for allowed in world.operators.allowed.values_mut() {
        *allowed = 0;
    }
    add_services(&mut world, 8);
    drain_at(&mut world, DRAIN_AT, "disk", zone("a"));
    world.run_until(END);
    let noticed = world
        .rules
        .broken
        .iter()
        .any(|text| text.contains("budget"));
    assert!(noticed, "{:?}", world.rules.broken);
}
