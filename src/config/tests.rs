use super::*;

pub const SETTINGS: &str = include_str!("../../tests/data/settings.toml");

#[test]
fn the_settings_of_a_node_are_read() {
    let config = Config::parse("s.toml", SETTINGS).expect("the sample is valid");
    assert_eq!(&*config.name.0, "node-0");
    assert_eq!(config.peers.len(), 2);
    assert_eq!(config.state_limits.value_bytes, 8192);
    assert_eq!(config.worker_lease, Duration::from_secs(20));
}

#[test]
fn nonsense_is_refused_by_the_name_of_its_field() {
    let cases = [
        (
            "lease_s = 20.0",
            "lease_s = -1.0",
            "s.toml: `params.workers.lease_s` must be seconds above 0, a day at most",
        ),
        (
            "cancel_s = 50.0",
            "cancel_s = 19.0",
            "s.toml: `params.workers.cancel_s` must exceed `lease_s`",
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

/// Found on the bench: all jobs of a guest team were answered 422.
#[test]
fn a_limit_of_zero_is_none() {
    let guest = "[[params.teams]]\nname = \"guests\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n\n";
    let text = SETTINGS.replacen("[[params.teams]]", &format!("{guest}[[params.teams]]"), 1);
    let config = Config::parse("s.toml", &text).expect("valid");
    let guests = config.team_limits(&"guests".into()).expect("known");
    assert_eq!(
        (guests.guaranteed_cpus, guests.max_cpus, guests.max_gpus),
        (0.0, f64::INFINITY, f64::INFINITY)
    );
    let red = config.team_limits(&"red".into()).expect("known");
    assert_eq!(red.max_cpus, 64.0);
    let policy = crate::policy::Policy::built_in(&config);
    assert_eq!(policy.team_shares[&"guests".into()], 1.0);
}

#[test]
fn limits_to_come_are_reckoned_with_once_they_are_adopted() {
    let mut config = Config::parse("s.toml", SETTINGS).expect("valid");
    let current = config.state_limits;
    config.apply_next_state_limits();
    assert_eq!(config.state_limits, current, "none are to come");
    let next = "txn_ops = 16\n[params.state.next]\nvalue_kb = 2.0\nwrite_rps = 15.0\nrps = 900.0";
    let text = SETTINGS.replacen("txn_ops = 16", next, 1);
    let mut config = Config::parse("s.toml", &text).expect("valid");
    assert_eq!(config.state_limits, current, "not yet");
    config.apply_next_state_limits();
    let expected = StateLimits {
        value_bytes: 2048,
        write_rps: 15.0,
        ..current
    };
    assert_eq!(config.state_limits, expected, "the smaller of both");
    assert_eq!(config.max_block_bytes, current.value_bytes);
}
