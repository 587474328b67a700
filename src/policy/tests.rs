use super::*;
use crate::config::tests::SETTINGS;

fn config() -> Config {
    Config::parse("s.toml", SETTINGS).expect("valid settings")
}

#[test]
fn an_isolated_holders_leases_expire_before_a_cancelled_task_must_have_ended() {
    let policy = Policy::built_in(&config());
    assert!(policy.block_lease_duration + config().worker_lease < config().cancellation_timeout);
    assert!(policy.block_lease_duration > Duration::from_secs(20));
    // A policy file can't exceed the limit either.
    let error = Policy::parse("p.toml", "grant_life_s = \"cancel_s\"", &config())
        .expect_err("longer than the longest safe block lease");
    assert_eq!(
        error.to_string(),
        "p.toml:1:17: `grant_life_s` is 50; allowed is 3 to 26"
    );
}

#[test]
fn the_built_in_policy_is_valid_for_extreme_settings() {
    for (report, worker_lease, cancel) in [
        ("0.1", "0.2", "0.3"),
        ("60.0", "61.0", "62.0"),
        ("3.0", "26.0", "4000.0"),
    ] {
        let text = SETTINGS
            .replace("report_s = 3.0", &format!("report_s = {report}"))
            .replace("lease_s = 20.0", &format!("lease_s = {worker_lease}"))
            .replace("cancel_s = 50.0", &format!("cancel_s = {cancel}"));
        let config = Config::parse("s.toml", &text).expect("valid settings");
        let policy = Policy::built_in(&config);
        assert!(policy.block_lease_duration + config.worker_lease < config.cancellation_timeout);
    }
}

#[test]
fn a_file_changes_only_the_settings_that_it_names() {
    let text = "round_s = \"zones > 2.0 ? 4.0 : 2.0\"\nteam_share = \"team == 'red' ? 2.0 : cpus / 32.0\"\n\
                headroom = 2\npreempt_for_guarantee = false\n";
    let policy = Policy::parse("p.toml", text, &config()).expect("valid policy");
    let built_in = Policy::built_in(&config());
    assert_eq!(policy.scaling_interval, Duration::from_secs(4));
    assert_eq!(policy.team_shares[&Team::from("red")], 2.0);
    assert_eq!(policy.team_shares[&Team::from("blue")], 1.0);
    assert!(!policy.preempt_for_guarantee && policy.preempt_for_priority);
    assert_eq!(
        Policy {
            headroom: 1.0,
            ..policy
        }
        .min_rental,
        built_in.min_rental
    );
}

#[test]
fn the_example_file_is_the_built_in_policy() {
    let example = Policy::parse("policy.toml", BUILT_IN, &config()).expect("valid policy");
    assert_eq!(example, Policy::built_in(&config()));
}

#[test]
fn errors_name_the_path_line_and_column() {
    let cases = [
        (
            "\nround = \"1.0\"",
            "p.toml:2:1: unknown setting `round`; known are blocks_per_controller, grant_life_s, \
          headroom, idle_boots, least_rental_s, opportunistic_patience_s, opportunistic_price, preempt_for_guarantee, preempt_for_priority, round_s, \
          silent_after_s, stockout_memory_s, suspect_after_s, team_share, unheard_after_s",
        ),
        (
            "round_s = \"1.0 + lag\"",
            "p.toml:1:18: `round_s`: unknown variable `lag`; known are cancel_s, cloud_rps, \
          controllers, lease_s, list_lag_s, longest_grant_s, report_s, state_rps, state_write_rps, zones",
        ),
        (
            "round_s = \"true\"",
            "p.toml:1:12: `round_s` must be a number, not true or false",
        ),
        (
            "preempt_for_priority = \"1.0\"",
            "p.toml:1:25: `preempt_for_priority` must be true or false, not a number",
        ),
        (
            "headroom = \"0.5\"",
            "p.toml:1:13: `headroom` is 0.5; allowed is 1 to 4",
        ),
        (
            "headroom = \"1.0 / 0.0\"",
            "p.toml:1:13: `headroom` is inf; allowed is 1 to 4",
        ),
        (
            "headroom = \"1.0 +\"",
            "p.toml:1:18: `headroom`: the expression is incomplete or malformed",
        ),
        (
            "headroom = \"[1.0].map(x, x)[0]\"",
            "p.toml:1:13: `headroom`: lists, maps, fields and loops are not allowed",
        ),
        (
            "headroom = \"size('x') + 1.0\"",
            "p.toml:1:13: `headroom`: unknown function `size`; known are min, max, double",
        ),
        (
            "headroom = \"1 + 1.0\"",
            "p.toml:1:13: `headroom`: types don't match, or a number has no decimal point: \
          write 2.0, not 2",
        ),
        (
            "headroom = [1.0]",
            "p.toml:1:12: `headroom` must be an expression",
        ),
        (
            "headroom = ",
            "p.toml:1:12: string values must be quoted, expected literal string",
        ),
    ];
    for (text, message) in cases {
        let error = Policy::parse("p.toml", text, &config()).expect_err(text);
        assert_eq!(error.to_string(), message, "{text}");
    }
}
