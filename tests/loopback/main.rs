//! Three controller processes with a simulated state service, cloud and workers on 127.0.0.1: a zone is drained through
//! the command line while one controller is killed.

#[path = "../simulation/machine.rs"]
#[allow(dead_code, reason = "shared with the simulation")]
#[allow(clippy::struct_excessive_bools, reason = "to be resolved with #30")]
mod machine;
#[path = "../simulation/recorded_attempts.rs"]
mod recorded_attempts;
#[path = "../simulation/rules.rs"]
#[allow(dead_code, reason = "shared with the simulation")]
mod rules;
#[path = "../simulation/state.rs"]
#[allow(dead_code, reason = "shared with the simulation")]
mod state;

mod cloud;
mod processes;
mod site;
mod state_service;
mod workers;

use std::time::Duration;

use dappleshore_drain::operator::StateName;
use processes::{Controllers, Operator};
use site::Site;

/// Limits of polling: the most attempts, and the time between two of them.
const MAX_POLLS: usize = 1800;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Polls a condition until it holds. The wait is bounded by the number of polls, not by the clock.
async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("condition never held: {description}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_zone_is_drained_while_a_controller_is_killed() {
    let site = Site::start(1).await;
    let mut controllers = Controllers::start(&site);
    let operator = Operator::for_controllers(&controllers);
    wait_until("the format is switched on", || {
        site.lock().state.format() >= 2
    })
    .await;
    for (id, team) in [(1, "red"), (2, "blue")] {
        site.submit_service(&controllers, id, team, 6).await;
    }
    wait_until("all replicas run", || site.lock().replicas_running() == 12).await;

    check_exit_codes(&operator).await;

    let zone = site.lock().busiest_zone();
    let drain_command =
        operator.spawn(&["drain", "--zone", &zone, "--id", "disk", "--wait", "--json"]);
    wait_until("an eviction is recorded", || {
        !site.lock().state.recorded_evictions.is_empty()
    })
    .await;
    let leader = site.lock().leader().expect("a leader is elected by now");
    controllers.restart(leader).await;
    let (code, output) = operator.finish(drain_command).await;
    assert_eq!(code, Some(0), "{output}");
    let drains: serde_json::Value = serde_json::from_str(&output).expect("JSON");
    assert_eq!(drains["drains"][0]["state"], StateName::Done.as_str());

    // Repeating the drain with the same id changes nothing.
    let evictions = site.lock().state.recorded_evictions.len();
    let (code, output) = operator
        .run(&["drain", "--zone", &zone, "--id", "disk", "--json"])
        .await;
    assert_eq!(code, Some(0), "{output}");
    let (code, _) = operator.run(&["uncordon", "--zone", &zone]).await;
    assert_eq!(code, Some(0));

    let fleet = site.lock();
    assert_eq!(fleet.state.recorded_evictions.len(), evictions);
    assert!(evictions > 1, "only {evictions} evictions");
    assert!(
        fleet.rules.violations.is_empty(),
        "{:?}",
        fleet.rules.violations
    );
    assert_eq!(fleet.budget_violations, [] as [String; 0]);
    assert_eq!(fleet.replicas_running(), 12);
    assert!(fleet.max_tasks_down > 0, "no task was ever down");
}

/// Checks the exit code and the message of each kind of problem.
async fn check_exit_codes(operator: &Operator) {
    let cases: [(&[&str], i32, &str); 7] = [
        (
            &["drain", "--zone", "nowhere"],
            2,
            "there is no zone `nowhere`",
        ),
        (
            &["cordon", "--machine", "m-999999"],
            2,
            "there is no machine `m-999999`",
        ),
        (
            &["budget", "set", "green", "1"],
            2,
            "there is no team `green`",
        ),
        (&["budget", "set", "red", "120%"], 2, "is no limit"),
        (&["drain", "--zone", "a", "--id", "A B"], 2, "an id has"),
        (
            &["drains", "unheard-of"],
            3,
            "there is no drain `unheard-of`",
        ),
        (
            &["drains", "--cancel", "unheard-of"],
            3,
            "there is no drain `unheard-of`",
        ),
    ];
    for (arguments, expected_code, expected_text) in cases {
        let (code, output) = operator.run(arguments).await;
        assert_eq!(code, Some(expected_code), "{arguments:?}: {output}");
        assert!(output.contains(expected_text), "{arguments:?}: {output}");
    }
    let unreachable = Operator::for_address("127.0.0.1:1");
    let (code, output) = unreachable.run(&["drains", "--within", "1"]).await;
    assert_eq!(code, Some(5), "{output}");
}
