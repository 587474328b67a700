//! Meetings of troubles, each brought about at a set time: most rules that broke, broke when two troubles met.

use std::time::Duration;

use dappleshore::domain::JobId;

use super::cluster::{CONTROLLERS, FAULTS_END, Faults, SimulatedCluster, Size};

/// When the state service goes out for everybody.
const OUT_AT: Duration = Duration::from_secs(60);
/// Longer than `cancel_s` of the settings (50 s), and than a block lease and a lease together.
const OUT_FOR: Duration = Duration::from_secs(68);

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A quiet cluster in which tasks that start before `OUT_AT` run on for minutes.
fn cluster(seed: u64) -> SimulatedCluster {
    super::log_if_asked();
    let mut cluster = SimulatedCluster::new(seed, Faults::default(), FAULTS_END, Size::SMALL);
    cluster.extra_task_time = seconds(150.0);
    cluster.plan(OUT_AT + seconds(1.0), |cluster| {
        cluster.extra_task_time = Duration::ZERO
    });
    cluster
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
        Gap {
            seed,
            cut,
            out_for: OUT_FOR,
            hang: None,
        }
    }

    /// `meanwhile` happens as the outage begins; it is told the jobs and the leader.
    fn play(
        self,
        meanwhile: impl FnOnce(&mut SimulatedCluster, Vec<JobId>, usize) + 'static,
    ) -> SimulatedCluster {
        let Gap {
            seed,
            cut,
            out_for,
            hang,
        } = self;
        let mut cluster = cluster(seed);
        cluster.plan(OUT_AT - seconds(cut), move |cluster| {
            let leader = cluster.leader().expect("led by now");
            cluster.cut_state(leader, seconds(14.0));
        });
        cluster.plan(OUT_AT - seconds(cut.clamp(1.0, 3.0)), move |cluster| {
            let jobs = cluster.cancel_now(8);
            for machine in machines_of(cluster, &jobs) {
                hang.into_iter()
                    .for_each(|how_long| cluster.hang(&machine, how_long));
            }
            cluster.plan(OUT_AT, move |cluster| {
                let jobs: Vec<JobId> = jobs
                    .into_iter()
                    .filter(|job| cluster.rules.is_cancelled(*job))
                    .collect();
                assert!(
                    jobs.len() >= 2,
                    "seed {seed}: {} cancellations confirmed before the outage",
                    jobs.len()
                );
                let left = machines_of(cluster, &jobs).len();
                assert!(
                    hang.is_none() || left > 0,
                    "seed {seed}: no machine hangs with a cancelled task"
                );
                cluster.state_outage(out_for);
                let leader = cluster.leader().expect("nobody could replace it");
                meanwhile(cluster, jobs, leader);
            });
        });
        finish(seed, cluster)
    }
}

/// No rule broken, and everything that was accepted is over at the end.
pub fn finish(seed: u64, mut cluster: SimulatedCluster) -> SimulatedCluster {
    cluster.run_until(FAULTS_END + seconds(350.0));
    assert_eq!(cluster.rules.violations, [] as [&str; 0], "seed {seed}");
    assert_eq!(
        cluster.rules.unfinished(),
        [],
        "seed {seed}: accepted and neither done nor cancelled"
    );
    assert_eq!(
        cluster.rules.running(),
        0,
        "seed {seed}: tasks of jobs that are over"
    );
    assert!(
        cluster.rules.started > 50,
        "seed {seed}: only {} tasks started",
        cluster.rules.started
    );
    cluster
}

/// Plays a cluster with these random faults and what `plan` adds, and checks that everything was served too.
pub fn play(
    seed: u64,
    faults: Faults,
    size: Size,
    plan: impl FnOnce(&mut SimulatedCluster),
) -> SimulatedCluster {
    super::log_if_asked();
    let mut cluster = SimulatedCluster::new(seed, faults, FAULTS_END, size);
    plan(&mut cluster);
    let cluster = finish(seed, cluster);
    assert_eq!(cluster.rules.unserved(), [] as [&str; 0], "seed {seed}");
    cluster
}

fn every(
    cluster: &mut SimulatedCluster,
    from: u64,
    until: u64,
    step: u64,
    act: impl Fn(&mut SimulatedCluster) + Clone + 'static,
) {
    for at in (from..until).step_by(step as usize) {
        cluster.plan(Duration::from_secs(at), act.clone());
    }
}

fn end_leader(cluster: &mut SimulatedCluster, back_after: f64) {
    if let Some(leader) = cluster.leader() {
        cluster.end_controller(leader, seconds(back_after));
    }
}

/// The machines that have tasks of these jobs.
fn machines_of(cluster: &SimulatedCluster, jobs: &[JobId]) -> Vec<String> {
    jobs.iter()
        .flat_map(|job| cluster.rules.machines_of(*job))
        .collect()
}

/// The old leader's workers go on reporting to it, and its copy does not show the cancellations.
#[test]
fn cancelled_tasks_end_in_the_gap() {
    for seed in 200..=203 {
        for cut in [0.1, 1.5, 5.0] {
            Gap::new(seed, cut).play(|_, _, _| {});
            Gap {
                out_for: 2 * OUT_FOR,
                ..Gap::new(seed, cut)
            }
            .play(|_, _, _| {});
        }
    }
}

/// As long as the controllers hear each other, an outage of the state service costs no worker its lease, however long:
/// nobody can confirm a cancellation that the others don't hear of.
#[test]
fn no_lease_runs_out_in_an_outage_in_which_controllers_hear_each_other() {
    for seed in 200..=203 {
        let cluster = Gap {
            out_for: 2 * OUT_FOR,
            ..Gap::new(seed, 1.5)
        }
        .play(|_, _, _| {});
        assert_eq!(cluster.leases_over, 0, "seed {seed}");
    }
}

/// Who knows of a cancellation tells the others: tasks under a controller that the state service refuses end as soon.
#[test]
fn the_old_leader_hears_of_cancellations_from_the_others() {
    for seed in 200..=203 {
        Gap::new(seed, 1.5).play(move |cluster, jobs, _| {
            cluster.plan(OUT_AT + seconds(2.0), move |cluster| {
                assert_eq!(machines_of(cluster, &jobs), [] as [&str; 0], "seed {seed}");
                assert_eq!(cluster.rules.starts_after_cancellation, [], "seed {seed}");
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
            Gap {
                hang: Some(seconds(90.0)),
                ..Gap::new(seed, cut)
            }
            .play(|_, _, _| {});
        }
    }
}

/// The same, and the old leader, which holds some of those machines, ends, stands still, or is cut off from all others.
#[test]
fn machines_hang_in_the_gap_and_their_holder_is_away() {
    for seed in 200..=202 {
        let gap = Gap {
            hang: Some(seconds(90.0)),
            ..Gap::new(seed, 1.5)
        };
        gap.play(|cluster, _, leader| cluster.end_controller(leader, seconds(0.1)));
        gap.play(|cluster, _, leader| cluster.end_controller(leader, seconds(5.0)));
        gap.play(|cluster, _, leader| cluster.pause(leader, seconds(60.0)));
        gap.play(|cluster, _, leader| cluster.isolate(leader, seconds(60.0)));
    }
}

/// All controllers end in the outage and come back without a copy of the records: what was renewed before they ended
/// runs out in time.
#[test]
fn all_controllers_end_in_the_gap() {
    for seed in 200..=203 {
        for after in [0.5, 5.0, 20.0] {
            Gap::new(seed, 1.5).play(move |cluster, _, _| {
                cluster.plan(OUT_AT + seconds(after), |cluster| {
                    (0..CONTROLLERS)
                        .for_each(|controller| cluster.end_controller(controller, seconds(0.3)));
                });
            });
        }
    }
}

/// A command or its answer is held up for seconds, and the machine then goes on.
#[test]
fn commands_are_held_up_and_the_machines_go_on() {
    for seed in 210..=213 {
        play(
            seed,
            Faults {
                delayed_requests: 0.06,
                faulty_machines: 0.3,
                ..Faults::default()
            },
            Size::SMALL,
            |cluster| {
                every(cluster, 20, 145, 5, |cluster| {
                    for (n, machine) in cluster.up(None).into_iter().enumerate() {
                        // Within their leases, and some for longer.
                        if n.is_multiple_of(3) {
                            cluster.hang(&machine, seconds(1.0 + 4.0 * n as f64));
                        }
                    }
                });
            },
        );
    }
}

/// Ten leaders in two minutes: no worker's lease runs out of it, and tokens don't rise without end.
#[test]
fn leaders_follow_each_other_quickly() {
    for seed in 215..=217 {
        for back_after in [0.1, 3.0, 14.0] {
            let cluster = play(seed, Faults::default(), Size::SMALL, |cluster| {
                every(cluster, 25, 145, 12, move |cluster| {
                    end_leader(cluster, back_after)
                });
            });
            assert_eq!(
                cluster.leases_over, 0,
                "seed {seed}, back after {back_after} s"
            );
            // A term for each of the ten, and the blocks that the ended one held: raised by every leader for all blocks,
            // they would come to 44 and more.
            assert!(
                cluster.last_token() <= 36,
                "seed {seed}: {} tokens",
                cluster.last_token()
            );
        }
    }
}

#[test]
fn leaders_follow_each_other_inside_an_outage() {
    for seed in 215..=217 {
        play(seed, Faults::default(), Size::SMALL, |cluster| {
            every(cluster, 40, 145, 10, |cluster| end_leader(cluster, 0.2));
            cluster.plan(seconds(58.0), |cluster| cluster.state_outage(seconds(35.0)));
            cluster.plan(seconds(110.0), |cluster| {
                cluster.state_outage(seconds(15.0))
            });
        });
    }
}

/// Jobs bound to one zone lose machines there, and then the whole zone.
#[test]
fn jobs_of_one_zone_lose_its_machines() {
    for seed in 220..=223 {
        play(seed, Faults::default(), Size::SMALL, |cluster| {
            cluster.bind_jobs();
            cluster.extra_task_time = seconds(15.0);
            for (at, zone, part) in [
                (50.0, "a", 1),
                (70.0, "b", 2),
                (95.0, "c", 1),
                (120.0, "a", 2),
            ] {
                cluster.plan(seconds(at), move |cluster| {
                    cluster
                        .up(Some(zone))
                        .iter()
                        .step_by(part)
                        .for_each(|machine| cluster.kill(machine));
                });
            }
            cluster.plan(seconds(100.0), |cluster| end_leader(cluster, 5.0));
        });
    }
}

/// A cancellation, a question or a repeated submission meets the end of a job's last task, with no other trouble.
#[test]
fn the_end_of_a_job_meets_its_cancellation() {
    for seed in 225..=230 {
        let faults = Faults {
            cancel_at_end: 1.0,
            irregular_requests: 0.3,
            ..Faults::default()
        };
        play(
            seed,
            faults,
            Size {
                jobs: 60,
                ..Size::SMALL
            },
            |_| {},
        );
    }
}

/// Workers can't open connections to any controller, while direct commands reach them.
#[test]
fn machines_reach_no_controller_while_commands_reach_them() {
    for seed in 235..=238 {
        play(
            seed,
            Faults {
                heartbeats_blocked: 8.0,
                crash: 60.0,
                ..Faults::default()
            },
            Size::SMALL,
            |cluster| {
                cluster.extra_task_time = seconds(20.0);
                cluster.plan(seconds(60.0), |cluster| {
                    cluster
                        .up(None)
                        .iter()
                        .step_by(2)
                        .for_each(|machine| cluster.block_heartbeats(machine, seconds(70.0)));
                    cluster.cancel_now(4);
                });
            },
        );
    }
}

/// ... and that does not end: direct commands renew no lease, so no long task is ever done there. They are replaced.
#[test]
fn machines_that_reach_no_controller_any_more_are_replaced() {
    for seed in 235..=238 {
        play(seed, Faults::default(), Size::SMALL, |cluster| {
            cluster.extra_task_time = seconds(30.0);
            cluster.plan(seconds(60.0), move |cluster| {
                let block_heartbeats: Vec<String> =
                    cluster.up(None).into_iter().step_by(2).collect();
                assert!(
                    block_heartbeats.len() > 3,
                    "seed {seed}: {block_heartbeats:?}"
                );
                block_heartbeats
                    .iter()
                    .for_each(|machine| cluster.block_heartbeats(machine, seconds(1000.0)));
                cluster.plan(seconds(120.0), move |cluster| {
                    let left = cluster.up(None);
                    assert!(
                        !block_heartbeats
                            .iter()
                            .any(|machine| left.contains(machine)),
                        "seed {seed}: {left:?} of {block_heartbeats:?}"
                    );
                });
            });
        });
    }
}

/// Transactions without an answer are carried out late, after newer ones of the same controller.
#[test]
fn transactions_are_carried_out_late() {
    for seed in 240..=245 {
        play(
            seed,
            Faults {
                late_writes: 0.2,
                crash: 40.0,
                ..Faults::default()
            },
            Size::SMALL,
            |_| {},
        );
    }
}

/// Old heartbeats arrive after newer ones, also from an earlier session or attempt.
#[test]
fn old_heartbeats_arrive_after_newer_ones() {
    for seed in 250..=253 {
        let faults = Faults {
            copies: 0.5,
            machine_restarts: 10.0,
            faulty_machines: 0.2,
            ..Faults::default()
        };
        play(seed, faults, Size::SMALL, |cluster| {
            every(cluster, 40, 145, 20, |cluster| end_leader(cluster, 1.0))
        });
    }
}

/// Jobs of two or three tasks end far apart across a change of leader.
#[test]
fn tasks_of_a_job_end_far_apart_across_changes_of_leader() {
    for seed in 255..=258 {
        play(
            seed,
            Faults::default(),
            Size {
                tasks: 4,
                ..Size::SMALL
            },
            |cluster| {
                cluster.extra_time_per_index = seconds(25.0);
                every(cluster, 30, 150, 15, |cluster| end_leader(cluster, 4.0));
            },
        );
    }
}

/// The state service is slow, refuses the leader alone, and is out for longer than `cancel_s`, while users cancel and ask.
#[test]
fn the_state_service_is_slow_and_out_while_users_ask() {
    for seed in 260..=262 {
        let faults = Faults {
            state_slow: 25.0,
            irregular_requests: 0.1,
            ..Faults::default()
        };
        play(seed, faults, Size::SMALL, |cluster| {
            cluster.plan(seconds(52.0), |cluster| {
                let leader = cluster.leader().expect("led by now");
                cluster.cut_state(leader, seconds(20.0));
                cluster.cancel_now(4);
            });
            cluster.plan(seconds(58.0), |cluster| cluster.state_outage(seconds(60.0)));
            every(cluster, 60, 118, 10, |cluster| {
                cluster.cancel_now(1);
            });
        });
    }
}

/// A team is at its limit when the leader changes, some of its machines can't be asked, and its jobs are cancelled.
#[test]
fn a_team_at_its_limit_with_machines_that_cannot_be_asked() {
    for seed in 265..=268 {
        play(
            seed,
            Faults::default(),
            Size {
                jobs: 40,
                teams: 0.5,
                ..Size::SMALL
            },
            |cluster| {
                cluster.extra_task_time = seconds(10.0);
                every(cluster, 40, 140, 25, |cluster| {
                    cluster
                        .up(None)
                        .iter()
                        .step_by(3)
                        .for_each(|machine| cluster.hang(machine, seconds(24.0)));
                    cluster
                        .up(None)
                        .iter()
                        .skip(1)
                        .step_by(3)
                        .for_each(|machine| cluster.block_responses(machine, seconds(24.0)));
                    end_leader(cluster, 6.0);
                    cluster.plan(Duration::ZERO, |cluster| {
                        cluster.cancel_now(2);
                    });
                });
            },
        );
    }
}

/// More work than room, urgent and not, over slow links.
#[test]
fn more_work_than_room_over_slow_links() {
    for seed in 270..=272 {
        let faults = Faults {
            lost_responses: 0.02,
            crash: 60.0,
            ..Faults::default()
        };
        let size = Size {
            jobs: 45,
            stock: [3, 1],
            ..Size::SMALL
        };
        play(seed, faults, size, |cluster| {
            cluster.latency = Duration::from_millis(600)
        });
    }
}

/// All controllers are away for longer than a lease; then one is back within a second, again and again.
#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    for seed in 275..=277 {
        play(seed, Faults::default(), Size::SMALL, |cluster| {
            cluster.extra_task_time = seconds(10.0);
            cluster.plan(seconds(50.0), |cluster| {
                (0..CONTROLLERS).for_each(|controller| {
                    cluster.end_controller(controller, seconds(24.0 + controller as f64))
                });
            });
            cluster.plan(seconds(110.0), |cluster| {
                (0..CONTROLLERS)
                    .for_each(|controller| cluster.end_controller(controller, seconds(28.0)));
            });
        });
    }
}

/// A heartbeat is held back until a new leader has acted, and then arrives there.
#[test]
fn heartbeats_arrive_after_a_new_leader_has_acted() {
    for seed in 280..=283 {
        play(
            seed,
            Faults {
                faulty_machines: 0.2,
                ..Faults::default()
            },
            Size::SMALL,
            |cluster| {
                every(cluster, 30, 145, 22, |cluster| {
                    cluster.hold_heartbeats(seconds(3.0));
                    end_leader(cluster, 12.0);
                });
                cluster.plan(seconds(70.0), |cluster| {
                    cluster.hold_heartbeats(seconds(24.0));
                });
            },
        );
    }
}

/// A zone with workers and a controller is cut off for longer than a lease, and jobs are cancelled outside.
#[test]
fn a_zone_is_cut_off_for_longer_than_a_lease_while_jobs_are_cancelled() {
    for seed in 285..=288 {
        play(
            seed,
            Faults {
                machine_hangs: 20.0,
                ..Faults::default()
            },
            Size::SMALL,
            |cluster| {
                cluster.extra_task_time = seconds(20.0);
                for (at, how_long) in [(50.0, 28.0), (95.0, 55.0)] {
                    cluster.plan(seconds(at), move |cluster| {
                        let zone = ["a", "b", "c"][cluster.leader().unwrap_or(0)];
                        cluster.cut_zone(zone, seconds(how_long));
                    });
                    cluster.plan(seconds(at + 2.0), |cluster| {
                        cluster.cancel_now(4);
                    });
                }
            },
        );
    }
}

/// A leader ends while machines with long tasks can't be reached, or don't hear the new leader's answer.
#[test]
fn a_leader_ends_while_machines_cannot_be_reached() {
    for seed in 290..=293 {
        play(seed, Faults::default(), Size::SMALL, |cluster| {
            cluster.extra_task_time = seconds(30.0);
            every(cluster, 45, 140, 30, |cluster| {
                cluster
                    .up(None)
                    .iter()
                    .step_by(4)
                    .for_each(|machine| cluster.hang(machine, seconds(15.0)));
                cluster
                    .up(None)
                    .iter()
                    .skip(1)
                    .step_by(4)
                    .for_each(|machine| cluster.block_responses(machine, seconds(40.0)));
                cluster
                    .up(None)
                    .iter()
                    .skip(2)
                    .step_by(4)
                    .for_each(|machine| cluster.block_heartbeats(machine, seconds(18.0)));
                end_leader(cluster, 20.0);
            });
        });
    }
}

/// A leader is cut from the state service and the other controllers while workers and users still reach it, and jobs are
/// cancelled through the new one.
#[test]
fn a_leader_on_an_island_while_jobs_are_cancelled_through_the_new_one() {
    for seed in 295..=298 {
        play(seed, Faults::default(), Size::SMALL, |cluster| {
            cluster.extra_task_time = seconds(30.0);
            for (at, how_long) in [(45.0, 20.0), (80.0, 60.0)] {
                cluster.plan(seconds(at), move |cluster| {
                    let leader = cluster.leader().expect("led by now");
                    cluster.isolate(leader, seconds(how_long));
                });
                // Before the new one has taken over, and after.
                for later in [1.0, 6.0] {
                    cluster.plan(seconds(at + later), |cluster| {
                        for machine in machines_of(cluster, &cluster.running_jobs(2)) {
                            cluster.hang(&machine, seconds(25.0));
                        }
                        cluster.cancel_now(3);
                    });
                }
            }
        });
    }
}

/// Controllers hand over and back, all end, and one returns, also within a second.
#[test]
fn controllers_hand_over_and_back_and_all_end() {
    for seed in 300..=303 {
        play(
            seed,
            Faults {
                copies: 0.05,
                ..Faults::default()
            },
            Size::SMALL,
            |cluster| {
                for at in [30, 60, 95, 130] {
                    every(cluster, at, at + 6, 2, |cluster| end_leader(cluster, 0.3));
                    cluster.plan(seconds(at as f64 + 7.0), move |cluster| {
                        let back = |controller: usize| {
                            if controller == at as usize % CONTROLLERS {
                                0.2
                            } else {
                                9.0
                            }
                        };
                        (0..CONTROLLERS).for_each(|controller| {
                            cluster.end_controller(controller, seconds(back(controller)))
                        });
                    });
                    // In the middle of the election.
                    cluster.plan(seconds(at as f64 + 10.8), move |cluster| {
                        cluster.end_controller(at as usize % CONTROLLERS, seconds(0.1));
                    });
                }
            },
        );
    }
}
