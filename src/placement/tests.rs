use super::*;
use crate::domain::{JobKind, Priority};

/// An open array job of `tasks` tasks with 1 GB of memory and the image `img` each, without constraints.
pub(crate) fn job(tasks: u32, cpus: f64) -> Job {
    Job {
        class: "c".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::Standard,
        tasks,
        need: Resources {
            cpus,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        image: "img".into(),
        image_gb: 1.0,
        estimate_s: 10.0,
        checkpoint_every_s: 0.0,
        checkpoint_s: 0.0,
        deadline_s: None,
        accepted_ms: 0,
    }
}

fn machine(name: &str, capacity_type: CapacityType, free: f64, images: &[&str]) -> Candidate {
    Candidate {
        machine: name.into(),
        type_name: "small".into(),
        zone: "a".into(),
        capacity_type,
        size: Resources {
            cpus: 8.0,
            gpus: 0.0,
            memory_gb: 32.0,
        },
        free: Resources {
            cpus: free,
            gpus: 0.0,
            memory_gb: 32.0,
        },
        images: images.iter().map(|image| Image::from(*image)).collect(),
        fetch_s_per_gb: 2.0,
    }
}

#[test]
fn images_first_then_the_tightest_fit_and_never_a_forbidden_machine() {
    let mut list = vec![
        machine("m-1", CapacityType::OnDemand, 8.0, &[]),
        machine("m-2", CapacityType::OnDemand, 4.0, &[]),
        machine("m-3", CapacityType::OnDemand, 1.0, &["img"]),
        machine("m-4", CapacityType::Spot, 4.0, &["img"]),
    ];
    let chosen = |list: &[Candidate], job: &Job| {
        best_candidate(list.iter(), job, |_| true).map(|c| c.machine.clone())
    };
    let mut work = job(1, 2.0);
    assert_eq!(chosen(&list, &work), Some("m-2".into()));
    list.push(machine("m-5", CapacityType::OnDemand, 8.0, &["img"]));
    assert_eq!(chosen(&list, &work), Some("m-5".into()));
    work.spot = true;
    assert_eq!(chosen(&list, &work), Some("m-4".into()));
    let mut ranking = Ranking::new(&list, &work, |_| true, |_| false);
    let first = ranking.best(&list, &work).map(|c| c.machine.clone());
    assert_eq!(first, Some("m-4".into()));
    list[3].free.cpus = 1.0;
    assert_eq!(
        ranking.best(&list, &work).map(|c| c.machine.clone()),
        Some("m-5".into())
    );
    work.zone = Some("b".into());
    assert_eq!(chosen(&list, &work), None);
    assert!(best_candidate(list.iter(), &job(1, 2.0), |_| false).is_none());
}

#[test]
fn a_machine_that_is_avoided_is_taken_only_when_there_is_room_nowhere_else() {
    let mut list = vec![
        machine("m-1", CapacityType::OnDemand, 8.0, &["img"]),
        machine("m-2", CapacityType::OnDemand, 8.0, &[]),
    ];
    let work = job(1, 2.0);
    let best = |list: &[Candidate]| {
        let mut ranking = Ranking::new(list, &work, |_| true, |c| c.machine == "m-1".into());
        ranking.best(list, &work).map(|c| c.machine.clone())
    };
    assert_eq!(best(&list), Some("m-2".into()));
    list[1].free.cpus = 0.0;
    assert_eq!(best(&list), Some("m-1".into()));
    let mut ranking = Ranking::new(&list, &work, |_| false, |_| false);
    assert!(ranking.best(&list, &work).is_none());
}
