//! Tests of the restriction of best-effort work to cheap machines that are not reserved.

use super::*;
use crate::cloud::InstanceCatalog;
use crate::cloud::wire::InstanceTypeList;
use crate::cloud::wire::tests::instance_type;
use crate::config::tests::SETTINGS;
use crate::domain::{Image, Now, Resources, Term};
use crate::placement::tests::job;
use crate::policy::Policy;

/// Returns the sample settings with an additional team, `guests`, that has no guarantee.
fn config() -> Config {
    let text =
        format!("{SETTINGS}\n[[params.teams]]\nname = \"guests\"\ncpus = 0.0\ncpus_max = 0.0\n");
    Config::parse("s.toml", &text).expect("the sample settings must be valid")
}

fn guest_job(priority: Priority) -> Job {
    Job {
        team: "guests".into(),
        priority,
        spot: true,
        ..job(1, 4.0)
    }
}

fn candidate(name: &str, capacity_type: CapacityType, free: f64) -> Candidate {
    let size = instance_type().resources();
    Candidate {
        machine: name.into(),
        type_name: instance_type().name,
        zone: "a".into(),
        capacity_type,
        size,
        free: Resources { cpus: free, ..size },
        images: vec![Image::from("img")],
        fetch_s_per_gb: 1.0,
    }
}

fn catalog() -> InstanceCatalog {
    let mut catalog = InstanceCatalog::default();
    catalog.handle_response(Some(InstanceTypeList {
        types: vec![instance_type()],
    }));
    catalog
}

#[test]
fn a_job_is_best_effort_if_only_other_teams_have_guarantees_and_it_is_not_urgent() {
    let config = config();
    assert!(is_best_effort(&config, &guest_job(Priority::Low)));
    assert!(is_best_effort(&config, &guest_job(Priority::Standard)));
    assert!(!is_best_effort(&config, &guest_job(Priority::High)));
    assert!(!is_best_effort(&config, &guest_job(Priority::Production)));
    assert!(
        !is_best_effort(
            &config,
            &Job {
                priority: Priority::Low,
                ..job(1, 4.0)
            }
        ),
        "a job of the team `red`, which has a guarantee, must not be best effort"
    );
    let mut no_guarantees = config;
    no_guarantees.teams.retain(|team| &*team.name.0 == "guests");
    assert!(
        !is_best_effort(&no_guarantees, &guest_job(Priority::Low)),
        "no job must be best effort if no team has a guarantee"
    );
}

/// Guards against best-effort jobs renting expensive machines: on the bench, array jobs of guests had every on-demand
/// machine of the cloud rented, at four times the price.
#[test]
fn best_effort_tasks_go_only_to_cheap_machines() {
    let (config, catalog) = (config(), catalog());
    let mut policy = Policy::built_in(&config);
    policy.best_effort_max_price_ratio =
        instance_type().price.0 / instance_type().spot_price.0 - 0.1;
    let now = Now::read();
    let price_limit_duration = policy.best_effort_price_limit_duration;
    let is_allowed = |policy: &Policy, job: &Job, capacity_type, waited, assigned_tasks| {
        let leader = LeaderContext {
            config: &config,
            policy,
            catalog: &catalog,
            term: Term(1),
            record_version: 1,
            max_changes: 16,
            has_spare_writes: true,
        };
        let provisioner = Provisioner::new(now, Term(1));
        let best_effort = BestEffortPlacement::new(
            &leader,
            &provisioner,
            &BTreeMap::new(),
            &BTreeMap::new(),
            &[],
        );
        let limit_per_task = price_limit(&leader, job, waited, assigned_tasks);
        best_effort.allows(job, limit_per_task, &candidate("m-1", capacity_type, 16.0))
    };
    let just_accepted = Duration::ZERO;
    let job = Job {
        tasks: 10,
        ..guest_job(Priority::Low)
    };
    assert!(is_allowed(
        &policy,
        &job,
        CapacityType::Spot,
        just_accepted,
        0
    ));
    assert!(!is_allowed(
        &policy,
        &job,
        CapacityType::OnDemand,
        just_accepted,
        0
    ));
    let on_demand_only = Job {
        spot: false,
        ..job.clone()
    };
    assert!(
        is_allowed(
            &policy,
            &on_demand_only,
            CapacityType::OnDemand,
            just_accepted,
            0
        ),
        "on-demand machines must be allowed if they are the cheapest that the job may use"
    );
    // Guards against starvation: in an incident, other work occupied all cheap machines for good, and three quarters of
    // the guests' tasks never ran.
    assert!(!is_allowed(
        &policy,
        &job,
        CapacityType::OnDemand,
        price_limit_duration - Duration::from_millis(1),
        0
    ));
    assert!(is_allowed(
        &policy,
        &job,
        CapacityType::OnDemand,
        price_limit_duration,
        4
    ));
    assert!(
        !is_allowed(
            &policy,
            &job,
            CapacityType::OnDemand,
            price_limit_duration,
            5
        ),
        "the price limit must apply while half of the tasks are assigned"
    );
    policy.best_effort_max_price_ratio += 0.2;
    assert!(is_allowed(
        &policy,
        &job,
        CapacityType::OnDemand,
        just_accepted,
        0
    ));
}

#[test]
fn headroom_for_guaranteed_work_is_reserved_on_the_machines_with_most_free_capacity() {
    let (config, catalog) = (config(), catalog());
    let policy = Policy::built_in(&config);
    let leader = LeaderContext {
        config: &config,
        policy: &policy,
        catalog: &catalog,
        term: Term(1),
        record_version: 1,
        max_changes: 16,
        has_spare_writes: true,
    };
    let candidates: Vec<Candidate> = (0..20)
        .map(|n| candidate(&format!("m-{n:02}"), CapacityType::Spot, f64::from(n % 16)))
        .collect();
    let reserved = |demand: f64| {
        let pool = MachinePool::new(instance_type().name, CapacityType::Spot);
        let now = Now::read();
        let provisioner = Provisioner::new(now, Term(1));
        let guaranteed_demand = BTreeMap::from([(pool, demand)]);
        let best_effort = BestEffortPlacement::new(
            &leader,
            &provisioner,
            &BTreeMap::new(),
            &guaranteed_demand,
            &candidates,
        );
        let job = guest_job(Priority::Low);
        let reserved_ids: Vec<&str> = candidates
            .iter()
            .filter(|c| !best_effort.allows(&job, f64::INFINITY, c))
            .map(|c| &*c.machine.0)
            .collect();
        reserved_ids.join(" ")
    };
    assert_eq!(reserved(0.0), "");
    // The ratio of boot time to run time is 1 before anything is measured: 2 * sqrt(1/2) * sqrt(n).
    assert_eq!(reserved(2.0), "m-14 m-15");
    assert_eq!(reserved(4.5), "m-13 m-14 m-15");
}
