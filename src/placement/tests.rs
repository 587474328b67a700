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

fn candidate(name: &str, capacity_type: CapacityType, free: f64, images: &[&str]) -> Candidate {
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
fn cached_images_rank_before_best_fit_and_disallowed_machines_are_excluded() {
    let mut candidates = vec![
        candidate("m-1", CapacityType::OnDemand, 8.0, &[]),
        candidate("m-2", CapacityType::OnDemand, 4.0, &[]),
        candidate("m-3", CapacityType::OnDemand, 1.0, &["img"]),
        candidate("m-4", CapacityType::Spot, 4.0, &["img"]),
    ];
    let chosen = |candidates: &[Candidate], job: &Job| {
        best_candidate(candidates.iter(), job, |_| true).map(|candidate| candidate.machine.clone())
    };
    let mut wanted_job = job(1, 2.0);
    assert_eq!(chosen(&candidates, &wanted_job), Some("m-2".into()));
    candidates.push(candidate("m-5", CapacityType::OnDemand, 8.0, &["img"]));
    assert_eq!(chosen(&candidates, &wanted_job), Some("m-5".into()));
    wanted_job.spot = true;
    assert_eq!(chosen(&candidates, &wanted_job), Some("m-4".into()));
    let mut ranking = Ranking::new(&candidates, &wanted_job, |_| true, |_| false);
    let first = ranking
        .best(&candidates, &wanted_job)
        .map(|candidate| candidate.machine.clone());
    assert_eq!(first, Some("m-4".into()));
    candidates[3].free.cpus = 1.0;
    assert_eq!(
        ranking
            .best(&candidates, &wanted_job)
            .map(|candidate| candidate.machine.clone()),
        Some("m-5".into())
    );
    wanted_job.zone = Some("b".into());
    assert_eq!(chosen(&candidates, &wanted_job), None);
    assert!(best_candidate(candidates.iter(), &job(1, 2.0), |_| false).is_none());
}

#[test]
fn an_avoided_machine_is_chosen_only_if_no_other_has_capacity() {
    let mut candidates = vec![
        candidate("m-1", CapacityType::OnDemand, 8.0, &["img"]),
        candidate("m-2", CapacityType::OnDemand, 8.0, &[]),
    ];
    let wanted_job = job(1, 2.0);
    let best_machine = |candidates: &[Candidate]| {
        let mut ranking = Ranking::new(
            candidates,
            &wanted_job,
            |_| true,
            |candidate| candidate.machine == "m-1".into(),
        );
        ranking
            .best(candidates, &wanted_job)
            .map(|candidate| candidate.machine.clone())
    };
    assert_eq!(best_machine(&candidates), Some("m-2".into()));
    candidates[1].free.cpus = 0.0;
    assert_eq!(best_machine(&candidates), Some("m-1".into()));
    let mut ranking = Ranking::new(&candidates, &wanted_job, |_| false, |_| false);
    assert!(ranking.best(&candidates, &wanted_job).is_none());
}
