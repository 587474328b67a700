use super::*;
use crate::config::tests::SETTINGS;

/// Whoever reads the log must find the setting to mend.
#[tokio::test]
async fn an_address_that_cannot_be_bound_is_named_with_its_setting() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = taken.local_addr().map(|addr| (taken, addr)).expect("bound");
    for setting in ["bind", "back"] {
        let mut config = Config::parse("s.toml", SETTINGS).expect("valid");
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        (config.listen_addr, config.peer_listen_addr) = match setting {
            "bind" => (taken.1, free),
            _ => (free, taken.1),
        };
        config.state_addr = taken.1;
        config.cloud_addr = taken.1;
        let policy = Policy::built_in(&config);
        let Err(error) = run(config, policy, Features::default()).await;
        let expected = format!("can't listen on {} (setting `{setting}`): ", taken.1);
        assert!(error.to_string().starts_with(&expected), "{error}");
    }
}

#[test]
fn connections_to_workers_are_kept_while_few_commands_are_recent() {
    let mut recent = RecentCommands::new(2);
    let now = Instant::now();
    assert!(recent.try_keep_alive(now));
    assert!(recent.try_keep_alive(now));
    assert!(!recent.try_keep_alive(now + WORKER_IDLE_TIMEOUT));
    let later = now + WORKER_IDLE_TIMEOUT + Duration::from_millis(1);
    assert!(recent.try_keep_alive(later), "the first two are over");
}
