//! A digest of all decisions of the controllers in a simulated cluster. Changes that are not meant to alter decisions,
//! such as renames and moves, have to leave it unchanged.
//!
//! Contents are hashed in the form in which they are sent, never by the names of types or fields in the program.

use std::time::{Duration, Instant};

use dappleshore::controller::Effect;
use dappleshore::domain::{Job, JobKind, Priority, Resources};
use dappleshore::features::Features;
use dappleshore::http::{Method, encode_body};
use dappleshore::job_api::Response;
use dappleshore::store::records::NEWEST_FORMAT;
use dappleshore::workers::HeartbeatResponse;
use dappleshore::workers::wire::RedirectBody;
use dappleshore::{cloud, store};
use dappleshore_drain::{DrainSettings, Limit, Scope};

use super::cluster::{Faults, SimulatedCluster, Size, array};
use super::gangs::submit_gangs;
use super::machine::LONG_RUNNING_CLASS;
use super::rollout::LOWERED_LIMITS;

/// A 64-bit FNV-1a hash of all effects that controllers returned, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest {
    hash: u64,
    effects: u64,
}

impl Digest {
    /// The digest of no effects: the offset basis of FNV-1a.
    pub fn new() -> Self {
        Digest {
            hash: 0xcbf2_9ce4_8422_2325,
            effects: 0,
        }
    }

    /// Adds bytes, without their length.
    fn add_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    /// Adds a number.
    fn add_number(&mut self, number: u64) {
        self.add_bytes(&number.to_le_bytes());
    }

    /// Adds numbers one by one.
    fn add_numbers(&mut self, numbers: &[u64]) {
        for number in numbers {
            self.add_number(*number);
        }
    }

    /// Adds a duration in nanoseconds.
    fn add_duration(&mut self, duration: Duration) {
        self.add_number(
            u64::try_from(duration.as_nanos())
                .expect("the duration fits in 64 bits of nanoseconds"),
        );
    }

    /// Adds the length of some bytes and then the bytes, so that two fields can't be confused with one.
    fn add_field(&mut self, bytes: &[u8]) {
        self.add_number(bytes.len() as u64);
        self.add_bytes(bytes);
    }

    /// Adds an HTTP request in the form in which it is sent.
    fn add_request(&mut self, request: &dappleshore::http::Request) {
        self.add_number(u64::from(request.method == Method::Post));
        self.add_field(request.path.as_bytes());
        self.add_field(&request.body);
    }

    /// Adds the end of an authority, by the controllers' monotonic clock.
    fn add_authority_end(&mut self, base: Instant, until: Option<Instant>) {
        self.add_number(u64::from(until.is_some()));
        if let Some(until) = until {
            self.add_duration(until.saturating_duration_since(base));
        }
    }

    /// Adds a response to a user.
    fn add_response(&mut self, response: &Response) {
        match response {
            Response::State { status, state } => {
                self.add_number(u64::from(*status));
                self.add_field(&encode_body(state));
            }
            Response::Problem {
                status,
                message,
                retry_after,
            } => {
                self.add_number(u64::from(*status));
                self.add_field(message.as_bytes());
                self.add_number(u64::from(retry_after.is_some()));
                self.add_duration(retry_after.unwrap_or_default());
            }
        }
    }

    /// Adds a response to a worker's heartbeat.
    fn add_heartbeat_response(&mut self, response: &HeartbeatResponse) {
        match response {
            HeartbeatResponse::Commands(commands) => {
                self.add_number(200);
                self.add_field(&encode_body(commands));
            }
            HeartbeatResponse::Redirect(holder) => {
                self.add_number(421);
                let holder = holder.clone();
                self.add_field(&encode_body(&RedirectBody { holder }));
            }
            HeartbeatResponse::Unavailable => self.add_number(503),
        }
    }

    /// Adds an effect. Only this function depends on the names of effects in the program.
    ///
    /// `now`: the simulated time. `base`: the start of the cluster by the controllers' monotonic clock.
    pub fn add_effect(&mut self, controller: usize, now: Duration, base: Instant, effect: &Effect) {
        self.effects += 1;
        self.add_number(controller as u64);
        self.add_duration(now);
        match effect {
            Effect::Store { tag: _, request } => {
                self.add_number(1);
                self.add_request(&store::wire::http_request(request));
            }
            Effect::Command {
                command,
                authority_until,
            } => {
                self.add_number(2);
                self.add_field(command.block.0.as_bytes());
                self.add_field(command.machine.0.as_bytes());
                self.add_field(command.addr.as_bytes());
                self.add_field(&encode_body(&command.body));
                self.add_authority_end(base, *authority_until);
            }
            Effect::Cloud {
                tag: _,
                request,
                authority_until,
            } => {
                self.add_number(3);
                self.add_request(&cloud::wire::http_request(request));
                self.add_authority_end(base, *authority_until);
            }
            Effect::Peer { to, message } => {
                self.add_number(4);
                self.add_field(to.0.as_bytes());
                self.add_field(&encode_body(message));
            }
            Effect::RespondToUser { id, response } => {
                self.add_numbers(&[5, *id]);
                self.add_response(response);
            }
            Effect::RespondToWorker {
                id,
                response,
                authority_until,
            } => {
                self.add_numbers(&[6, *id]);
                self.add_heartbeat_response(response);
                self.add_authority_end(base, Some(*authority_until));
            }
            Effect::RespondToHealthCheck { id, healthy } => {
                self.add_numbers(&[7, *id, u64::from(*healthy)]);
            }
            Effect::RespondToOperator { id, reply } => {
                self.add_numbers(&[8, *id]);
                self.add_field(&encode_body(reply));
            }
            Effect::UnsupportedFormat { format } => {
                self.add_numbers(&[9, u64::from(*format)]);
            }
        }
        // The logs of two versions of the program can be compared: the first line that differs shows the first
        // different decision.
        tracing::trace!(target: "digest", controller, ?now, ?effect, "{:016x}", self.hash);
    }
}

/// When the random faults of these clusters end.
const FAULTS_END: Duration = Duration::from_secs(120);
/// When the runs of these clusters end.
const END: Duration = Duration::from_secs(240);

/// A small cluster with these faults.
fn cluster(seed: u64, faults: Faults) -> SimulatedCluster {
    super::init_logging();
    SimulatedCluster::new(seed, faults, FAULTS_END, Size::SMALL)
}

/// A cluster without faults.
fn without_faults() -> SimulatedCluster {
    cluster(901, Faults::default())
}

/// A cluster with all faults.
fn with_all_faults() -> SimulatedCluster {
    cluster(902, Faults::all())
}

/// A cluster that is upgraded from the production version under all faults and then receives gangs.
fn rolling_upgrade() -> SimulatedCluster {
    super::init_logging();
    let mut cluster =
        SimulatedCluster::upgrading(903, Faults::all(), FAULTS_END, Size::SMALL, LOWERED_LIMITS);
    for (controller, at) in [(1, 20), (2, 24), (0, 28)] {
        cluster.plan(Duration::from_secs(at), move |cluster| {
            cluster.upgrade(controller, Duration::from_millis(900));
        });
    }
    submit_gangs(&mut cluster, 55, 6);
    cluster
}

/// A cluster in which two zones are drained while each team has a service there, and the leader is restarted in
/// between.
fn two_drains() -> SimulatedCluster {
    let mut cluster = cluster(904, Faults::default());
    cluster.preemption = false;
    cluster.unbind_jobs();
    cluster.features = Features {
        drain: DrainSettings {
            enabled: true,
            budget: Limit::Count(2),
            ..DrainSettings::default()
        },
    };
    cluster.plan(Duration::from_secs(2), |cluster| {
        for team in ["red", "blue"] {
            let service = Job {
                kind: JobKind::Service,
                tasks: 8,
                spread: true,
                need: Resources {
                    cpus: 2.0,
                    gpus: 0.0,
                    memory_gb: 1.0,
                },
                spot: false,
                ..array(LONG_RUNNING_CLASS, team, Priority::Production)
            };
            cluster.add_job(service, None);
        }
    });
    let drain_at = Duration::from_secs(50);
    cluster.watch_drains(drain_at);
    for (id, zone) in [("first", "a"), ("second", "b")] {
        cluster.plan(drain_at, move |cluster| {
            cluster.request_drain(id, Scope::Zone(zone.into()));
        });
    }
    cluster.plan(Duration::from_secs(70), |cluster| {
        let leader = cluster.leader().expect("a controller leads by then");
        cluster.end_controller(leader, Duration::from_secs(5));
    });
    cluster
}

/// A cluster with gangs in which machines and controllers fail.
fn gangs_with_faults() -> SimulatedCluster {
    let faults = Faults {
        machine_dies: 12.0,
        machine_hangs: 10.0,
        spot_taken: 12.0,
        crash: 20.0,
        copies: 0.02,
        ..Faults::default()
    };
    let mut cluster = cluster(905, faults);
    submit_gangs(&mut cluster, 15, 10);
    cluster
}

/// Runs a cluster to its end and returns its digest. Enough tasks have to start and enough machines have to be rented
/// for the digest to be meaningful.
fn run(name: &str, mut cluster: SimulatedCluster) -> Digest {
    cluster.digest = Some(Digest::new());
    cluster.run_until(END);
    assert!(
        cluster.rules.violations.is_empty(),
        "{name}: {:?}",
        cluster.rules.violations
    );
    let (started, rented) = (cluster.rules.started, cluster.rented);
    let (gangs, evictions) = (cluster.gangs().started, cluster.operators.evictions.len());
    let (format, token) = (cluster.format(), cluster.last_token());
    println!(
        "{name}: {started} tasks and {gangs} gangs started, {rented} machines rented, {evictions} evictions, format \
         {format}, last token {token}"
    );
    assert!(
        started > 150 && rented > 20 && format == NEWEST_FORMAT,
        "{name}: {started} tasks started, {rented} machines rented, format {format}"
    );
    cluster.digest.expect("the digest was set above")
}

/// A cluster and its expected digest.
struct Case {
    name: &'static str,
    cluster: fn() -> SimulatedCluster,
    expected: Digest,
}

/// A case whose controllers return this number of effects with this hash.
fn case(name: &'static str, cluster: fn() -> SimulatedCluster, hash: u64, effects: u64) -> Case {
    let expected = Digest { hash, effects };
    Case {
        name,
        cluster,
        expected,
    }
}

/// Guards against unintended changes of decisions. Only a commit that is meant to change decisions may change the
/// expected digests, and has to say so.
#[test]
fn the_same_seeds_give_the_same_decisions() {
    let cases = [
        case("no faults", without_faults, 0xdf59_7a80_987b_33d0, 7273),
        case("all faults", with_all_faults, 0x8258_4bd4_4f1b_0fab, 7857),
        case(
            "upgrade and gangs, all faults",
            rolling_upgrade,
            0x38e7_9c79_e6a9_ffca,
            8910,
        ),
        case("drains", two_drains, 0xfe94_6921_ac1f_c90e, 12_265),
        case(
            "gangs, machines and controllers fail",
            gangs_with_faults,
            0xe2e4_e7ef_baba_525d,
            9014,
        ),
    ];
    let mut differences = Vec::new();
    for case in cases {
        let (expected, actual) = (case.expected, run(case.name, (case.cluster)()));
        if actual != expected {
            differences.push(format!(
                "{}: expected 0x{:016x} of {} effects, got 0x{:016x} of {}",
                case.name, expected.hash, expected.effects, actual.hash, actual.effects
            ));
        }
    }
    assert!(
        differences.is_empty(),
        "decisions of the controllers have changed:\n{}",
        differences.join("\n")
    );
}
