use super::*;
use crate::config::tests::SETTINGS;

/// The error has to name the setting that an operator must correct.
#[tokio::test]
async fn a_bind_error_names_the_address_and_its_setting() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let taken = listener
        .local_addr()
        .map(|addr| (listener, addr))
        .expect("the listener is bound");
    for setting in ["bind", "back"] {
        let mut config = Config::parse("s.toml", SETTINGS).expect("the sample settings are valid");
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
fn connections_to_workers_are_kept_open_below_the_limit_of_recent_commands() {
    let mut recent = RecentCommands::new(2);
    let now = Instant::now();
    assert!(recent.try_keep_alive(now));
    assert!(recent.try_keep_alive(now));
    assert!(!recent.try_keep_alive(now + WORKER_IDLE_TIMEOUT));
    let later = now + WORKER_IDLE_TIMEOUT + Duration::from_millis(1);
    assert!(
        recent.try_keep_alive(later),
        "the first two commands are no longer recent"
    );
}
