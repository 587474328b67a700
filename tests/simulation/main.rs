//! Whole services, three controllers each, in simulated clusters with faults. Every rule of PROTOCOL is checked
//! after each step. The same seed gives the same run.

mod cluster;
mod digest;
mod drains;
mod fault_combinations;
mod gangs;
mod incidents;
#[allow(clippy::struct_excessive_bools, reason = "not reached yet: #30")]
mod machine;
mod measure;
mod operators;
mod production;
mod report;
mod rollout;
mod rules;
mod rules_tests;
mod state;

use std::time::Duration;

use cluster::{FAULTS_END, Faults, SimulatedCluster, Size};

const END: Duration = Duration::from_secs(420);

/// With LOG_LEVEL set, a failing seed tells what its controllers did and when.
pub fn init_logging() {
    if let Some(level) = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|level| level.parse::<tracing::Level>().ok())
    {
        let _ = tracing_subscriber::fmt()
            .with_max_level(level)
            .without_time()
            .with_ansi(false)
            .try_init();
    }
}

fn run_cluster(seed: u64, faults: Faults) -> SimulatedCluster {
    init_logging();
    let mut cluster = SimulatedCluster::new(seed, faults, FAULTS_END, Size::SMALL);
    cluster.run_until(END);
    cluster
}

/// Every rule kept, and nothing that was accepted left undone once faults have ceased.
fn check(seed: u64, faults: Faults) {
    run_cluster(seed, faults).check_end(seed);
}

#[test]
fn no_faults() {
    for seed in 1..=3 {
        check(seed, Faults::default());
    }
}

#[test]
fn lost_responses_and_delayed_requests() {
    for seed in 10..=15 {
        check(
            seed,
            Faults {
                lost_responses: 0.03,
                delayed_requests: 0.03,
                ..Faults::default()
            },
        );
    }
}

#[test]
fn controllers_crash() {
    for seed in 20..=25 {
        check(
            seed,
            Faults {
                crash: 12.0,
                crash_all: 60.0,
                delayed_requests: 0.01,
                ..Faults::default()
            },
        );
    }
}

#[test]
fn machines_die_hang_and_are_reclaimed() {
    let faults = Faults {
        machine_dies: 15.0,
        machine_hangs: 12.0,
        spot_taken: 15.0,
        delayed_requests: 0.01,
        faulty_machines: 0.1,
        ..Faults::default()
    };
    for seed in 30..=35 {
        check(seed, faults);
    }
}

#[test]
fn the_state_service_is_unavailable() {
    let faults = Faults {
        outage: 40.0,
        cut_one: 30.0,
        crash: 40.0,
        lost_responses: 0.01,
        ..Faults::default()
    };
    for seed in 40..=45 {
        check(seed, faults);
    }
}

#[test]
fn zones_are_cut_off() {
    let faults = Faults {
        zone_cut: 30.0,
        peers_cut: 50.0,
        delayed_requests: 0.01,
        ..Faults::default()
    };
    for seed in 50..=55 {
        check(seed, faults);
    }
}

#[test]
fn responses_do_not_reach_machines() {
    for seed in 60..=64 {
        check(
            seed,
            Faults {
                responses_blocked: 12.0,
                machine_restarts: 25.0,
                copies: 0.05,
                ..Faults::default()
            },
        );
    }
}

#[test]
fn a_controller_reaches_only_its_workers() {
    for seed in 70..=74 {
        check(
            seed,
            Faults {
                isolate: 20.0,
                copies: 0.05,
                crash: 60.0,
                delayed_requests: 0.01,
                ..Faults::default()
            },
        );
    }
}

#[test]
fn a_controller_is_paused() {
    for seed in 80..=85 {
        check(
            seed,
            Faults {
                pause: 15.0,
                crash: 80.0,
                delayed_requests: 0.01,
                ..Faults::default()
            },
        );
    }
}

#[test]
fn executed_requests_are_delivered_again() {
    for seed in 90..=92 {
        check(
            seed,
            Faults {
                copies: 0.1,
                crash: 60.0,
                machine_hangs: 30.0,
                ..Faults::default()
            },
        );
        // Tasks that failed are launched again by copies: without the worker's memory of them, seed 92 breaks `ran_twice`.
        check(
            seed,
            Faults {
                copies: 0.7,
                faulty_machines: 0.3,
                ..Faults::default()
            },
        );
    }
}

#[test]
fn many_machines_are_lost_together() {
    for seed in 96..=99 {
        check(
            seed,
            Faults {
                mass_loss: 30.0,
                crash: 60.0,
                ..Faults::default()
            },
        );
    }
}

/// What a run at size must exceed, so that it is one, and the changes a second that it may need.
struct Bounds {
    min_machines: usize,
    min_started: usize,
    max_changes_per_s: f64,
}

/// Plays a large cluster to its end: every rule kept, everything served, and the work for each event, plans, changes and
/// values within bounds.
fn check_at_size(mut cluster: SimulatedCluster, end: Duration, bounds: Bounds) -> SimulatedCluster {
    cluster.run_until(end);
    let seconds = end.as_secs_f64();
    assert!(
        cluster.rules.violations.is_empty(),
        "{:?}",
        cluster.rules.violations
    );
    assert_eq!(
        cluster.rules.unfinished(),
        [],
        "accepted and neither done nor cancelled"
    );
    assert_eq!(cluster.rules.unserved(), [] as [&str; 0]);
    assert!(
        cluster.most_machines > bounds.min_machines,
        "{} machines",
        cluster.most_machines
    );
    assert!(
        cluster.rules.started > bounds.min_started,
        "{} tasks started",
        cluster.rules.started
    );
    let (examined, plans) = cluster.looked();
    let examined_per_event = examined as f64 / cluster.events_handled as f64;
    // A write looks at its whole block, a machine that is silent is asked again and again, all else looks at its own
    // machine. A pass over a holder's machines, a third of them all, for each event would fail this.
    assert!(
        examined_per_event < 30.0,
        "{examined_per_event:.1} machines and tasks looked at for each event"
    );
    assert!(plans as f64 / seconds < 25.0, "{plans} plans");
    let changes = cluster.state().changes as f64 / seconds;
    assert!(
        changes < bounds.max_changes_per_s,
        "{changes:.1} changes of the state service a second"
    );
    // The stand-in refuses values above the limit; so many tasks must need most of it, or they are not packed.
    let largest = cluster.state().largest;
    assert!(largest > 2000, "the largest value has {largest} bytes");
    cluster
}

/// Hundreds of machines and thousands of tasks: what an event costs follows from what it changes, and what is stored
/// and said stays within bounds.
#[test]
fn hundreds_of_machines_and_thousands_of_tasks() {
    let faults = Faults {
        crash: 60.0,
        machine_dies: 20.0,
        responses_blocked: 40.0,
        spot_taken: 10.0,
        zone_cut: 90.0,
        copies: 0.02,
        delayed_requests: 0.002,
        ..Faults::default()
    };
    let end = Duration::from_secs(240);
    let bounds = Bounds {
        min_machines: 200,
        min_started: 3000,
        max_changes_per_s: 25.0,
    };
    let cluster = check_at_size(
        SimulatedCluster::new(7, faults, Duration::from_secs(90), Size::GROWN),
        end,
        bounds,
    );
    let bytes = cluster.peer_bytes as f64 / end.as_secs_f64();
    assert!(
        bytes < 60_000.0,
        "{bytes:.0} bytes between controllers a second"
    );
}

/// A thousand machines and more, of which a third is lost in the same moment, again and again, while controllers end,
/// stand still and lose the state service, and old messages come once more.
#[test]
fn many_machines_fail_together_in_a_fleet_of_1000() {
    let faults = Faults {
        crash: 50.0,
        crash_all: 90.0,
        pause: 45.0,
        isolate: 80.0,
        mass_loss: 40.0,
        machine_restarts: 5.0,
        copies: 0.01,
        delayed_requests: 0.001,
        ..Faults::default()
    };
    let end = Duration::from_secs(300);
    let bounds = Bounds {
        min_machines: 1000,
        min_started: 10_000,
        max_changes_per_s: 30.0,
    };
    let cluster = check_at_size(
        SimulatedCluster::new(11, faults, Duration::from_secs(90), Size::FLEET),
        end,
        bounds,
    );
    // One in eight of the sample's 2,500 sockets.
    let commands = cluster.most_commands;
    assert!(
        (100..=312).contains(&commands),
        "{commands} commands under way"
    );
}

/// No fixed bound below 4,000 machines: a third of them is lost in the same moment, one controller holds all of them for a
/// while, and what an event costs still follows from what it changes.
#[test]
fn about_4000_machines() {
    let faults = Faults {
        crash: 40.0,
        mass_loss: 45.0,
        copies: 0.002,
        ..Faults::default()
    };
    let end = Duration::from_secs(270);
    let bounds = Bounds {
        min_machines: 3500,
        min_started: 25_000,
        max_changes_per_s: 40.0,
    };
    let mut cluster = SimulatedCluster::new(13, faults, Duration::from_secs(60), Size::LARGEST);
    cluster.extra_task_time = Duration::from_secs(25);
    for (controller, downtime_s) in [(0, 10.0), (1, 10.0)] {
        cluster.plan(Duration::from_secs(50), move |cluster| {
            cluster.end_controller(controller, Duration::from_secs_f64(downtime_s));
        });
    }
    let cluster = check_at_size(cluster, end, bounds);
    let largest = cluster.largest_peer_message;
    // Half of what a controller takes of another.
    assert!(largest < 1 << 19, "a message of {largest} bytes");
}

#[test]
fn all_faults_at_once() {
    // The last ones once failed.
    for seed in (100..=112).chain([1105, 1136, 52099, 53020]) {
        check(seed, Faults::all());
    }
}

/// `SEED=n LOG_LEVEL=debug cargo test --test simulation -- --ignored replay_by_hand` replays one run; with `COUNT=m` it
/// searches the seeds from there on; with `ROLLOUT=1` an upgrade rolls through, the limits fall, and there are gangs;
/// with `DRAINS=1` zones are drained.
#[test]
#[ignore = "for replaying and searching seeds by hand"]
fn replay_by_hand() {
    let env_number = |name| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    let first = env_number("SEED").expect("SEED is a number");
    let check_seed = match (env_number("ROLLOUT"), env_number("DRAINS")) {
        (Some(_), _) => rollout::check_random_rollout,
        (None, Some(_)) => drains::check_random_drains,
        (None, None) => |seed| check(seed, Faults::all()),
    };
    let failing_seeds: Vec<u64> = (first..first + env_number("COUNT").unwrap_or(1))
        .filter(|seed| std::panic::catch_unwind(|| check_seed(*seed)).is_err())
        .collect();
    assert!(
        failing_seeds.is_empty(),
        "seeds that fail: {failing_seeds:?}"
    );
}

#[test]
fn duplicate_launches_are_detected() {
    let cluster = run_cluster(
        1,
        Faults {
            duplicate_launches: true,
            ..Faults::default()
        },
    );
    assert!(
        cluster
            .rules
            .violations
            .iter()
            .any(|text| text.contains("ran_twice")),
        "{:?}",
        cluster.rules.violations
    );
}
