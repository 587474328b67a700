//! Rolling upgrades: controllers of the production version and of this version run together, and after the upgrade the
//! state service lowers its limits. A controller that reports no writable storage format represents the production
//! version.

use std::time::Duration;

use dappleshore::config::StateLimits;
use dappleshore::store::records::NEWEST_FORMAT;

use super::cluster::{CONTROLLERS, FAULTS_END, Faults, SimulatedCluster, Size};
use super::gangs::submit_gangs;

/// Limits of the state service after the upgrade.
pub const LOWERED_LIMITS: StateLimits = StateLimits {
    rps: 100.0,
    write_rps: 25.0,
    value_bytes: 2048,
    txn_ops: 5,
};
const END: Duration = Duration::from_secs(420);

/// Schedule of an upgrade.
struct Rollout {
    /// The order in which the controllers are upgraded.
    order: [usize; CONTROLLERS],
    /// When each controller in `order` is stopped for the upgrade.
    upgraded_at_s: [u64; CONTROLLERS],
    /// How long each controller is down.
    downtime: Duration,
    limits_lowered_at_s: u64,
}

fn upgrading_cluster(seed: u64, faults: Faults, size: Size, rollout: &Rollout) -> SimulatedCluster {
    super::init_logging();
    let mut cluster = SimulatedCluster::upgrading(seed, faults, FAULTS_END, size, LOWERED_LIMITS);
    for (controller, at) in rollout.order.into_iter().zip(rollout.upgraded_at_s) {
        let downtime = rollout.downtime;
        cluster.plan(Duration::from_secs(at), move |cluster| {
            cluster.upgrade(controller, downtime)
        });
    }
    cluster.plan(
        Duration::from_secs(rollout.limits_lowered_at_s),
        |cluster| {
            assert_eq!(
                cluster.format(),
                NEWEST_FORMAT,
                "the format is switched on before the limits are lowered"
            );
            cluster.lower_state_limits(LOWERED_LIMITS);
        },
    );
    cluster
}

fn check(seed: u64, faults: Faults, rollout: &Rollout) {
    let mut cluster = upgrading_cluster(seed, faults, Size::SMALL, rollout);
    submit_gangs(&mut cluster, rollout.upgraded_at_s[CONTROLLERS - 1] + 25, 6);
    cluster.run_until(END);
    cluster.check_end(seed);
    assert_eq!(
        cluster.gangs().completed.len(),
        6,
        "seed {seed}: not all gangs completed"
    );
    assert_eq!(
        cluster.state().too_large,
        0,
        "seed {seed}: values above the limits"
    );
}

/// An upgrade at times that follow from the seed, under all faults.
pub fn check_random_rollout(seed: u64) {
    let first_s = 25 + seed % 20;
    let interval_s = 1 + seed % 15;
    let rollout = Rollout {
        order: ORDERS[seed as usize % ORDERS.len()],
        upgraded_at_s: [first_s, first_s + interval_s, first_s + 2 * interval_s],
        downtime: Duration::from_millis([100, 900, 5000][(seed / 3) as usize % 3]),
        // The last network cuts end at 210 s.
        limits_lowered_at_s: 225,
    };
    check(seed, Faults::all(), &rollout);
}

#[test]
fn an_upgrade_rolls_out_under_all_faults() {
    for seed in 740..=745 {
        check_random_rollout(seed);
    }
}

const ORDERS: [[usize; CONTROLLERS]; 3] = [[0, 1, 2], [2, 0, 1], [1, 2, 0]];

#[test]
fn an_upgrade_rolls_out_without_faults() {
    for (seed, order) in (700..).zip(ORDERS) {
        let rollout = Rollout {
            order,
            upgraded_at_s: [30, 45, 60],
            downtime: Duration::from_secs(5),
            limits_lowered_at_s: 90,
        };
        check(seed, Faults::default(), &rollout);
    }
}

#[test]
fn an_upgrade_rolls_out_while_controllers_crash() {
    let faults = Faults {
        crash: 15.0,
        delayed_requests: 0.02,
        lost_responses: 0.02,
        copies: 0.02,
        late_writes: 0.02,
        machine_dies: 40.0,
        machine_hangs: 40.0,
        ..Faults::default()
    };
    for (seed, order) in (710..).zip(ORDERS.into_iter().chain(ORDERS)) {
        let rollout = Rollout {
            order,
            upgraded_at_s: [30, 33, 36],
            downtime: Duration::from_millis(100),
            limits_lowered_at_s: 130,
        };
        check(seed, faults, &rollout);
    }
}

#[test]
fn the_format_stays_off_while_one_controller_runs_the_production_version() {
    let rollout = Rollout {
        order: ORDERS[0],
        upgraded_at_s: [30, 40, 400],
        downtime: Duration::from_secs(5),
        limits_lowered_at_s: 1000,
    };
    let mut cluster = upgrading_cluster(720, Faults::default(), Size::SMALL, &rollout);
    cluster.run_until(Duration::from_secs(399));
    assert_eq!(cluster.format(), 0);
    assert!(
        cluster.rules.violations.is_empty(),
        "{:?}",
        cluster.rules.violations
    );
    cluster.run_until(END);
    assert_eq!(cluster.format(), NEWEST_FORMAT);
    cluster.check_end(720);
}

/// Large values are divided before and after the limits are lowered, including during an outage and while blocks change
/// their holders.
#[test]
fn a_large_fleet_keeps_working_under_lower_limits() {
    for (seed, limits_lowered_at_s) in [(730, 64), (731, 66), (732, 90)] {
        let rollout = Rollout {
            order: ORDERS[seed as usize % 3],
            upgraded_at_s: [40, 50, 60],
            downtime: Duration::from_secs(2),
            limits_lowered_at_s,
        };
        let mut cluster = upgrading_cluster(seed, Faults::default(), Size::GROWN, &rollout);
        cluster.extra_task_time = Duration::from_secs(20);
        cluster.plan(Duration::from_secs(limits_lowered_at_s + 2), |cluster| {
            cluster.state_outage(Duration::from_secs(4));
        });
        cluster.plan(Duration::from_secs(limits_lowered_at_s + 8), |cluster| {
            if let Some(leader) = cluster.leader() {
                cluster.end_controller(leader, Duration::from_secs(5));
            }
        });
        cluster.run_until(Duration::from_secs(400));
        assert!(
            cluster.rules.violations.is_empty(),
            "{:?}",
            cluster.rules.violations
        );
        assert_eq!(cluster.rules.unfinished(), [], "seed {seed}");
        assert_eq!(cluster.rules.unserved(), [] as [&str; 0], "seed {seed}");
        assert_eq!(
            cluster.state().too_large,
            0,
            "seed {seed}: values above the limits"
        );
        let largest = cluster.state().largest;
        assert!(
            largest > LOWERED_LIMITS.value_bytes,
            "seed {seed}: no value needed division, the largest has {largest} bytes"
        );
        let parts = cluster.state().divided_values();
        assert!(
            parts >= 2,
            "seed {seed}: only {parts} additional parts of divided values"
        );
    }
}

/// Guards against attempts that are recorded again after they have ended, by a transaction executed late that creates a
/// value which was divided since. The simulated state service checks this after each transaction.
#[test]
fn values_are_divided_while_transactions_are_executed_late() {
    // Before blocks had write fences, seeds 1008 and 1014 failed, and none of the other 38 from 1000 on. In the others of
    // these, values are divided after transactions of unknown outcome.
    for seed in [1001, 1008, 1014, 1037] {
        check_division_with_late_transactions(seed);
    }
}

fn check_division_with_late_transactions(seed: u64) {
    let faults = Faults {
        late_writes: 0.3,
        faulty_machines: 0.1,
        ..Faults::default()
    };
    // The values of the first seconds are divided, while transactions that create them may still be executed late.
    let limits = StateLimits {
        value_bytes: 700,
        ..LOWERED_LIMITS
    };
    super::init_logging();
    let mut cluster = SimulatedCluster::upgrading(seed, faults, FAULTS_END, Size::GROWN, limits);
    for (controller, at_s) in (0..CONTROLLERS).zip([0, 1, 7]) {
        cluster.plan(Duration::from_secs(at_s), move |cluster| {
            cluster.upgrade(controller, Duration::from_millis(100));
        });
    }
    cluster.run_until(Duration::from_secs(30));
    assert_eq!(cluster.format(), NEWEST_FORMAT);
    let parts = cluster.state().divided_values();
    assert!(parts >= 2, "seed {seed}: {parts} additional parts");
    assert!(
        cluster.rules.violations.is_empty(),
        "{:?}",
        cluster.rules.violations
    );
}
