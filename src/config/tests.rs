use super::*;

pub const SETTINGS: &str = include_str!("../../tests/data/settings.toml");

#[test]
fn a_valid_settings_file_is_parsed() {
    let config = Config::parse("s.toml", SETTINGS).expect("the sample is valid");
    assert_eq!(&*config.name.0, "node-0");
    assert_eq!(config.peers.len(), 2);
    assert_eq!(config.state_limits.value_bytes, 8192);
    assert_eq!(config.worker_lease, Duration::from_secs(20));
}

#[test]
fn an_invalid_field_is_rejected_by_name() {
    let cases = [
        (
            "lease_s = 20.0",
            "lease_s = -1.0",
            "s.toml: `params.workers.lease_s` must be more than 0 and at most 86400 seconds",
        ),
        (
            "cancel_s = 50.0",
            "cancel_s = 19.0",
            "s.toml: `params.workers.cancel_s` must be greater than `lease_s`",
        ),
        (
            "back = \"10.0.0.1:8081\"",
            "back = \"nowhere\"",
            "s.toml: `back` must be an IP address and port, not `nowhere`",
        ),
        (
            "cpus = 16.0",
            "cpus = 999.0",
            "s.toml: `params.teams.red.cpus` must not exceed `cpus_max`",
        ),
        (
            "txn_ops = 16",
            "txn_ops = 0",
            "s.toml: `params.state.txn_ops` must be at least 4",
        ),
        (
            "txn_ops = 16",
            "txn_ops = 16\n[params.state.next]\nvalue_kb = 0.5",
            "s.toml: `params.state.next.value_kb` must be from 2 to 65536",
        ),
        (
            "txn_ops = 16",
            "txn_ops = 16\n[params.state.next]\ntxn_ops = 1",
            "s.toml: `params.state.next.txn_ops` must be at least 4",
        ),
        (
            "txn_ops = 16",
            "txn_ops = 16\n[params.state.next]\nwrite_rps = \"few\"",
            "s.toml: TOML parse error at line 50, column 13: invalid type: string \"few\", expected f64",
        ),
        (
            "domain = \"a\"",
            "",
            "s.toml: TOML parse error at line 1, column 1: missing field `domain`",
        ),
    ];
    for (from, to, message) in cases {
        assert!(SETTINGS.contains(from), "{from}");
        let error = Config::parse("s.toml", &SETTINGS.replacen(from, to, 1)).expect_err(to);
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn unknown_fields_are_ignored() {
    let extended = format!("later = 1\n{SETTINGS}\n[params.later]\nx = [1]\n");
    assert!(Config::parse("s.toml", &extended).is_ok());
}

/// Seen in a benchmark: a limit of 0 was read as zero resources, and all jobs of a guest team were rejected with 422.
#[test]
fn a_limit_of_zero_means_no_limit() {
    let guest = "[[params.teams]]\nname = \"guests\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n\n";
    let text = SETTINGS.replacen("[[params.teams]]", &format!("{guest}[[params.teams]]"), 1);
    let config = Config::parse("s.toml", &text).expect("the settings are valid");
    let guests = config
        .team_limits(&"guests".into())
        .expect("the team is defined");
    assert_eq!(
        (guests.guaranteed_cpus, guests.max_cpus, guests.max_gpus),
        (0.0, f64::INFINITY, f64::INFINITY)
    );
    let red = config
        .team_limits(&"red".into())
        .expect("the team is defined");
    assert_eq!(red.max_cpus, 64.0);
    let policy = crate::policy::Policy::built_in(&config);
    assert_eq!(policy.team_shares[&"guests".into()], 1.0);
}

#[test]
fn next_state_limits_count_after_they_are_applied() {
    let mut config = Config::parse("s.toml", SETTINGS).expect("the sample is valid");
    let current = config.state_limits;
    config.apply_next_state_limits();
    assert_eq!(config.state_limits, current, "no next limits are defined");
    let next = "txn_ops = 16\n[params.state.next]\nvalue_kb = 2.0\nwrite_rps = 15.0\nrps = 900.0";
    let text = SETTINGS.replacen("txn_ops = 16", next, 1);
    let mut config = Config::parse("s.toml", &text).expect("the settings are valid");
    assert_eq!(
        config.state_limits, current,
        "the next limits are not applied yet"
    );
    config.apply_next_state_limits();
    let expected = StateLimits {
        value_bytes: 2048,
        write_rps: 15.0,
        ..current
    };
    assert_eq!(
        config.state_limits, expected,
        "the smaller value of each limit"
    );
    assert_eq!(config.max_block_bytes, current.value_bytes);
}
