//! Three controllers as processes, with a state service, a cloud and workers of this repository's own on 127.0.0.1: a
//! zone is drained by the command line while one controller is killed.

#[path = "../simulation/machine.rs"]
#[allow(dead_code, reason = "shared with the simulation")]
#[allow(clippy::struct_excessive_bools, reason = "not reached yet: #30")]
mod machine;
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

/// Everything that is waited for is looked at so often, at the most, and with this pause.
const LOOKS: usize = 1800;
const PAUSE: Duration = Duration::from_millis(100);

/// Waits until something is so: bounded by the number of looks, not by the clock.
async fn until(what: &str, mut is_so: impl FnMut() -> bool) {
    for _ in 0..LOOKS {
        if is_so() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("never: {what}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_zone_is_drained_while_a_controller_is_killed() {
    let site = Site::start(1).await;
    let mut controllers = Controllers::start(&site);
    let operator = Operator::of(&controllers);
    until("the format is switched on", || {
        site.lock().state.format() >= 2
    })
    .await;
    for (id, team) in [(1, "red"), (2, "blue")] {
        site.submit_service(&controllers, id, team, 6).await;
    }
    until("all replicas run", || site.lock().replicas_running() == 12).await;

    check_refusals(&operator).await;

    let zone = site.lock().busiest_zone();
    let waiting = operator.spawn(&["drain", "--zone", &zone, "--id", "disk", "--wait", "--json"]);
    until("an eviction is recorded", || {
        !site.lock().state.recorded_evictions.is_empty()
    })
    .await;
    let leader = site.lock().leader().expect("led by now");
    controllers.restart(leader).await;
    let (code, answer) = operator.finish(waiting).await;
    assert_eq!(code, Some(0), "{answer}");
    let drains: serde_json::Value = serde_json::from_str(&answer).expect("JSON");
    assert_eq!(drains["drains"][0]["state"], StateName::Done.as_str());

    // Repeating it under its name changes nothing.
    let evictions = site.lock().state.recorded_evictions.len();
    let (code, again) = operator
        .run(&["drain", "--zone", &zone, "--id", "disk", "--json"])
        .await;
    assert_eq!(code, Some(0), "{again}");
    let (code, _) = operator.run(&["uncordon", "--zone", &zone]).await;
    assert_eq!(code, Some(0));

    let fleet = site.lock();
    assert_eq!(fleet.state.recorded_evictions.len(), evictions);
    assert!(evictions > 1, "{evictions} evictions show nothing");
    assert!(
        fleet.rules.violations.is_empty(),
        "{:?}",
        fleet.rules.violations
    );
    assert_eq!(fleet.over_budget, [] as [String; 0]);
    assert_eq!(fleet.replicas_running(), 12);
    assert!(fleet.most_down > 0, "nothing was seen down");
}

/// Each kind of problem has its exit code and one line.
async fn check_refusals(operator: &Operator) {
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
    for (arguments, expected, says) in cases {
        let (code, answer) = operator.run(arguments).await;
        assert_eq!(code, Some(expected), "{arguments:?}: {answer}");
        assert!(answer.contains(says), "{arguments:?}: {answer}");
    }
    let nobody = Operator::asking("127.0.0.1:1");
    let (code, answer) = nobody.run(&["drains", "--within", "1"]).await;
    assert_eq!(code, Some(5), "{answer}");
}
