//! The estimate of boot times under late and lost machines.

use super::*;

const STATED: Duration = Duration::from_secs(25);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Boot times after these boots, with machines of these ages still booting.
fn after(boots: &[u64], booting: &[u64]) -> (BootTimes, InstanceTypeName) {
    let name = InstanceTypeName::from("large");
    let mut times = BootTimes::default();
    for took in boots {
        times.record(&name, seconds(*took));
    }
    let ages: Vec<Duration> = booting.iter().copied().map(seconds).collect();
    times.update(&name, STATED, &ages);
    (times, name)
}

fn expected(boots: &[u64], booting: &[u64]) -> u64 {
    let (times, name) = after(boots, booting);
    times.expected(&name, STATED).as_secs()
}

#[test]
fn the_stated_boot_time_is_expected_until_boots_are_measured() {
    assert_eq!(expected(&[], &[]), 25);
    assert_eq!(
        BootTimes::default().expected(&"large".into(), STATED),
        STATED
    );
}

#[test]
fn a_few_late_or_lost_machines_do_not_move_the_estimate() {
    let boots = [20, 22, 24, 26, 28, 20, 22, 24, 26, 28];
    assert_eq!(expected(&boots, &[]), 25);
    assert_eq!(expected(&[boots.as_slice(), &[200, 300]].concat(), &[]), 25);
    assert_eq!(expected(&boots, &[80, 80]), 25);
    assert_eq!(
        expected(&boots, &[5; 40]),
        25,
        "machines that are not overdue say nothing"
    );
}

#[test]
fn the_estimate_follows_when_most_machines_are_late_before_any_of_them_is_up() {
    let boots = [20, 22, 24, 26, 28, 20, 22, 24, 26, 28];
    assert_eq!(expected(&boots, &[60; 30]), 60);
    let (times, name) = after(&boots, &[60; 30]);
    assert!(
        !times.is_late(&name, STATED, seconds(60)),
        "they are still counted as on order"
    );
    assert!(!times.is_lost(&name, STATED, seconds(150)));
}

#[test]
fn the_estimate_recovers_after_a_wave_of_late_machines() {
    let mut boots = vec![100; 30];
    assert_eq!(expected(&boots, &[]), 100);
    boots.extend([25; 14]);
    assert_eq!(expected(&boots, &[]), 25);
}

#[test]
fn a_late_machine_is_given_up_later_than_it_is_replaced() {
    let (times, name) = after(&[25; 10], &[]);
    let judged = |age| {
        (
            times.is_late(&name, STATED, seconds(age)),
            times.is_lost(&name, STATED, seconds(age)),
        )
    };
    assert_eq!(judged(50), (false, false));
    assert_eq!(judged(51), (true, false));
    assert_eq!(judged(85), (true, false));
    assert_eq!(judged(86), (true, true));
}

/// Machines that were up within a second for a while made one that took its usual time look lost.
#[test]
fn quick_boots_are_no_reason_to_give_up_one_that_takes_its_usual_time() {
    let (times, name) = after(&[1; 30], &[]);
    assert_eq!(times.expected(&name, STATED), seconds(1));
    assert!(!times.is_late(&name, STATED, seconds(37)));
    assert!(!times.is_lost(&name, STATED, seconds(80)));
}
