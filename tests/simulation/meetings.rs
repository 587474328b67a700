//! Meetings of troubles, each brought about at a set time: most rules that broke, broke when two troubles met.

use std::time::Duration;

use dappleshore::domain::JobId;

use super::world::{Faults, NODES, Size, World};

const CALM_FROM: Duration = Duration::from_secs(150);
/// When the state service goes out for everybody.
const OUT_AT: Duration = Duration::from_secs(60);
/// Longer than `cancel_s` of the settings (50 s), and than a grant and a lease together.
const OUT_FOR: Duration = Duration::from_secs(68);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A quiet world in which tasks that start before `OUT_AT` run on for minutes.
fn world(seed: u64) -> World {
    if let Some(level) = std::env::var("LOG_LEVEL").ok().and_then(|level| level.parse::<tracing::Level>().ok()) {
        let _ = tracing_subscriber::fmt().with_max_level(level).without_time().with_ansi(false).try_init();
    }
    let mut world = World::new(seed, Faults::default(), CALM_FROM, Size::SMALL);
    world.longer = seconds(150.0);
    world.plan(OUT_AT + seconds(1.0), |world| world.longer = Duration::ZERO);
    world
}

/// The state service refuses the leader alone, `cut` before it goes out for everybody; between the two, jobs that run
/// are cancelled through the others.
#[derive(Clone, Copy)]
struct Gap {
    seed: u64,
    cut: f64,
    out_for: Duration,
    /// As they are cancelled, the machines of those jobs hang for this long.
    hang: Option<Duration>,
}

impl Gap {
    fn new(seed: u64, cut: f64) -> Self {
        Gap { seed, cut, out_for: OUT_FOR, hang: None }
    }

    /// `meanwhile` happens as the outage begins; it is told the jobs and the leader.
    fn play(self, meanwhile: impl FnOnce(&mut World, Vec<JobId>, usize) + 'static) -> World {
        let Gap { seed, cut, out_for, hang } = self;
        let mut world = world(seed);
        world.plan(OUT_AT - seconds(cut), move |world| {
            let leader = world.leader().expect("led by now");
            world.cut_state(leader, seconds(14.0));
        });
        world.plan(OUT_AT - seconds(cut.clamp(1.0, 3.0)), move |world| {
            let jobs = world.cancel_now(8);
            for machine in machines_of(world, &jobs) {
                hang.into_iter().for_each(|how_long| world.hang(&machine, how_long));
            }
            world.plan(OUT_AT, move |world| {
                let jobs: Vec<JobId> = jobs.into_iter().filter(|job| world.rules.is_cancelled(*job)).collect();
                assert!(jobs.len() >= 2, "seed {seed}: {} cancellations confirmed before the outage", jobs.len());
                let left = machines_of(world, &jobs).len();
                assert!(hang.is_none() || left > 0, "seed {seed}: no machine hangs with a cancelled task");
                world.state_outage(out_for);
                let leader = world.leader().expect("nobody could replace it");
                meanwhile(world, jobs, leader);
            });
        });
        world.run_until(CALM_FROM + seconds(350.0));
        assert_eq!(world.rules.broken, [] as [&str; 0], "seed {seed}");
        assert_eq!(world.rules.unfinished(), [], "seed {seed}: accepted and neither done nor cancelled");
        assert_eq!(world.rules.running(), 0, "seed {seed}: tasks of jobs that are over");
        world
    }
}

/// The machines that have tasks of these jobs.
fn machines_of(world: &World, jobs: &[JobId]) -> Vec<String> {
    jobs.iter().flat_map(|job| world.rules.machines_of(*job)).collect()
}

/// The old leader's workers go on reporting to it, and its copy does not show the cancellations.
#[test]
fn cancelled_tasks_end_in_the_gap() {
    for seed in 200..=203 {
        for cut in [0.1, 1.5, 5.0] {
            Gap::new(seed, cut).play(|_, _, _| {});
            Gap { out_for: 2 * OUT_FOR, ..Gap::new(seed, cut) }.play(|_, _, _| {});
        }
    }
}

/// Who knows of a cancellation tells the others: tasks under a controller that the state service refuses end as soon.
#[test]
fn the_old_leader_hears_of_cancellations_from_the_others() {
    for seed in 200..=203 {
        Gap::new(seed, 1.5).play(move |world, jobs, _| {
            world.plan(OUT_AT + seconds(2.0), move |world| {
                assert_eq!(machines_of(world, &jobs), [] as [&str; 0], "seed {seed}");
                assert_eq!(world.rules.started_cancelled, [], "seed {seed}");
            });
        });
    }
}

/// A machine that hangs ends nothing, whatever its lease: it has to be deleted, in an outage in which nobody is certain
/// to lead.
#[test]
fn machines_hang_in_the_gap_with_cancelled_tasks() {
    for seed in 200..=203 {
        for cut in [1.5, 5.0] {
            Gap { hang: Some(seconds(90.0)), ..Gap::new(seed, cut) }.play(|_, _, _| {});
        }
    }
}

/// The same, and the old leader, which holds some of those machines, ends, stands still, or is cut off from all others.
#[test]
fn machines_hang_in_the_gap_and_their_holder_is_away() {
    for seed in 200..=202 {
        let gap = Gap { hang: Some(seconds(90.0)), ..Gap::new(seed, 1.5) };
        gap.play(|world, _, leader| world.end_controller(leader, seconds(0.1)));
        gap.play(|world, _, leader| world.end_controller(leader, seconds(5.0)));
        gap.play(|world, _, leader| world.freeze(leader, seconds(60.0)));
        gap.play(|world, _, leader| world.island(leader, seconds(60.0)));
    }
}

/// All controllers end in the outage and come back without a copy of the records: what was renewed before they ended
/// runs out in time.
#[test]
fn all_controllers_end_in_the_gap() {
    for seed in 200..=203 {
        for after in [0.5, 5.0, 20.0] {
            Gap::new(seed, 1.5).play(move |world, _, _| {
                world.plan(OUT_AT + seconds(after), |world| {
                    (0..NODES).for_each(|node| world.end_controller(node, seconds(0.3)));
                });
            });
        }
    }
}
