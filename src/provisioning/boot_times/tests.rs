//! Tests of the boot time estimate with overdue and lost machines.

use super::*;

const ADVERTISED: Duration = Duration::from_secs(25);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Returns the boot times after these boots, with machines of these ages still booting.
fn times_after(boots: &[u64], booting_ages: &[u64]) -> (BootTimes, InstanceTypeName) {
    let name = InstanceTypeName::from("large");
    let mut times = BootTimes::default();
    for boot_time in boots {
        times.record(&name, seconds(*boot_time));
    }
    let ages: Vec<Duration> = booting_ages.iter().copied().map(seconds).collect();
    times.update(&name, ADVERTISED, &ages);
    (times, name)
}

fn expected_seconds(boots: &[u64], booting_ages: &[u64]) -> u64 {
    let (times, name) = times_after(boots, booting_ages);
    times.expected(&name, ADVERTISED).as_secs()
}

#[test]
fn the_advertised_boot_time_is_expected_until_boots_are_measured() {
    assert_eq!(expected_seconds(&[], &[]), 25);
    assert_eq!(
        BootTimes::default().expected(&"large".into(), ADVERTISED),
        ADVERTISED
    );
}

#[test]
fn a_few_overdue_or_lost_machines_do_not_change_the_estimate() {
    let boots = [20, 22, 24, 26, 28, 20, 22, 24, 26, 28];
    assert_eq!(expected_seconds(&boots, &[]), 25);
    assert_eq!(
        expected_seconds(&[boots.as_slice(), &[200, 300]].concat(), &[]),
        25
    );
    assert_eq!(expected_seconds(&boots, &[80, 80]), 25);
    assert_eq!(
        expected_seconds(&boots, &[5; 40]),
        25,
        "ages below the measured median do not change the estimate"
    );
}

#[test]
fn the_estimate_rises_when_most_booting_machines_are_overdue_and_none_is_up() {
    let boots = [20, 22, 24, 26, 28, 20, 22, 24, 26, 28];
    assert_eq!(expected_seconds(&boots, &[60; 30]), 60);
    let (times, name) = times_after(&boots, &[60; 30]);
    assert!(
        !times.is_overdue(&name, ADVERTISED, seconds(60)),
        "machines within the raised estimate are not overdue"
    );
    assert!(!times.has_timed_out(&name, ADVERTISED, seconds(150)));
}

#[test]
fn the_estimate_recovers_after_many_slow_boots() {
    let mut boots = vec![100; 30];
    assert_eq!(expected_seconds(&boots, &[]), 100);
    boots.extend([25; 14]);
    assert_eq!(expected_seconds(&boots, &[]), 25);
}

#[test]
fn an_overdue_machine_times_out_later() {
    let (times, name) = times_after(&[25; 10], &[]);
    let overdue_and_timed_out = |age| {
        (
            times.is_overdue(&name, ADVERTISED, seconds(age)),
            times.has_timed_out(&name, ADVERTISED, seconds(age)),
        )
    };
    assert_eq!(overdue_and_timed_out(50), (false, false));
    assert_eq!(overdue_and_timed_out(51), (true, false));
    assert_eq!(overdue_and_timed_out(85), (true, false));
    assert_eq!(overdue_and_timed_out(86), (true, true));
}

/// A machine that booted in the advertised time was taken for lost because the machines before it had booted within a
/// second.
#[test]
fn a_machine_within_the_advertised_time_is_not_overdue_after_quick_boots() {
    let (times, name) = times_after(&[1; 30], &[]);
    assert_eq!(times.expected(&name, ADVERTISED), seconds(1));
    assert!(!times.is_overdue(&name, ADVERTISED, seconds(37)));
    assert!(!times.has_timed_out(&name, ADVERTISED, seconds(80)));
}
