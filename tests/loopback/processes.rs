//! Controllers and operator commands, run as processes of the program under test.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;

use super::site::{CANCEL_WITHIN, LEASE, LIMITS, Site, ZONES};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dappleshore");

/// Addresses at which controllers receive heartbeats.
pub static PUBLIC_ADDRESSES: OnceLock<Vec<SocketAddr>> = OnceLock::new();

/// The controller processes and the directory of their settings and logs.
pub struct Controllers {
    children: Vec<Child>,
    directory: PathBuf,
    pub public_addresses: Vec<SocketAddr>,
    pub peer_addresses: Vec<SocketAddr>,
}

impl Controllers {
    /// Starts one controller in each zone.
    pub fn start(site: &Site) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("loopback-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the settings directory can be created");
        let ports = free_ports(2 * ZONES.len());
        let (public_addresses, peer_addresses) = ports.split_at(ZONES.len());
        let mut controllers = Controllers {
            children: Vec::new(),
            directory,
            public_addresses: public_addresses.to_vec(),
            peer_addresses: peer_addresses.to_vec(),
        };
        PUBLIC_ADDRESSES.get_or_init(|| controllers.public_addresses.clone());
        let features = format!("[drain]\nenabled = true\nbudget = \"{}\"\n", site.budget);
        std::fs::write(controllers.directory.join("features.toml"), features)
            .expect("the features file can be written");
        for controller in 0..ZONES.len() {
            let path = controllers
                .directory
                .join(format!("node-{controller}.toml"));
            std::fs::write(path, controllers.settings(site, controller))
                .expect("the settings can be written");
            let child = controllers.spawn(controller);
            controllers.children.push(child);
        }
        controllers
    }

    fn settings(&self, site: &Site, controller: usize) -> String {
        let mut text = format!(
            "node_name = \"node-{controller}\"\ndomain = \"{}\"\nbind = \"{}\"\nback = \"{}\"\n",
            ZONES[controller], self.public_addresses[controller], self.peer_addresses[controller]
        );
        for other in (0..ZONES.len()).filter(|other| *other != controller) {
            text += &format!(
                "[[members]]\nnode_name = \"node-{other}\"\ndomain = \"{}\"\npeer_addr = \"{}\"\n",
                ZONES[other], self.peer_addresses[other]
            );
        }
        text += &format!(
            "[external]\ncloud = \"{}\"\nstate = \"{}\"\n[params]\ncount = 3\nzones = [\"a\", \"b\", \"c\"]\n",
            site.cloud, site.state
        );
        for team in super::site::TEAMS {
            text += &format!(
                "[[params.teams]]\nname = \"{team}\"\ncpus = 16.0\ncpus_max = 64.0\ngpus = 0.0\ngpus_max = 0.0\n"
            );
        }
        text += &format!(
            "[params.workers]\nreport_s = 1.0\nlease_s = {:.1}\ncancel_s = {:.1}\n",
            LEASE.as_secs_f64(),
            CANCEL_WITHIN.as_secs_f64()
        );
        text += &format!(
            "[params.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n",
            LIMITS.rps,
            LIMITS.write_rps,
            LIMITS.value_bytes as f64 / 1024.0,
            LIMITS.txn_ops
        );
        text + "[params.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n[params.quota]\ncpu = 1.0\nram_mb = 200.0\nsockets = 500\n"
    }

    fn spawn(&self, controller: usize) -> Child {
        let log = self.directory.join(format!("node-{controller}.log"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log can be opened");
        Command::new(PROGRAM)
            .arg("serve")
            .arg("--features")
            .arg(self.directory.join("features.toml"))
            .arg("--config")
            .arg(self.directory.join(format!("node-{controller}.toml")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts")
    }

    /// Kills a controller and restarts it after one poll interval.
    pub async fn restart(&mut self, controller: usize) {
        self.children[controller]
            .kill()
            .expect("the controller runs");
        self.children[controller]
            .wait()
            .expect("the controller ends");
        tokio::time::sleep(super::POLL_INTERVAL).await;
        self.children[controller] = self.spawn(controller);
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for child in &mut self.children {
            // The process may already have ended.
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

/// Addresses with ports that are free at the moment.
fn free_ports(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free"))
        .collect();
    let addr = |listener: &TcpListener| listener.local_addr().expect("the listener is bound");
    listeners.iter().map(addr).collect()
}

/// Runs operator commands against a list of controllers.
pub struct Operator {
    controllers: String,
}

impl Operator {
    /// An operator of these controllers.
    pub fn for_controllers(controllers: &Controllers) -> Self {
        let addresses: Vec<String> = controllers
            .peer_addresses
            .iter()
            .map(SocketAddr::to_string)
            .collect();
        Operator {
            controllers: addresses.join(","),
        }
    }

    /// An operator whose commands go to this address.
    pub fn for_address(controllers: &str) -> Self {
        Operator {
            controllers: controllers.to_owned(),
        }
    }

    /// Starts a command without waiting for it.
    pub fn spawn(&self, arguments: &[&str]) -> Child {
        Command::new(PROGRAM)
            .args(arguments)
            .env("DAPPLESHORE_CONTROLLERS", &self.controllers)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts")
    }

    /// Waits for a command, which ends because each request has a timeout. Returns its exit code and output.
    pub async fn finish(&self, child: Child) -> (Option<i32>, String) {
        let output = tokio::task::spawn_blocking(move || child.wait_with_output()).await;
        let output = output
            .expect("the wait is not cancelled")
            .expect("the command ends");
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }

    /// Runs a command to its end.
    pub async fn run(&self, arguments: &[&str]) -> (Option<i32>, String) {
        self.finish(self.spawn(arguments)).await
    }
}
