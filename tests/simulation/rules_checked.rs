//! The rules' own test: each of them notices what breaks it.

use std::time::Duration;

use dappleshore::domain::{CapacityType, Job, JobId, Resources, TaskId};

use super::rules::{Place, Rules};

/// Each rule, broken on purpose.
#[test]
fn every_rule_can_be_broken() {
    use dappleshore::domain::Priority;
    let job = |tasks, cpus| Job {
        tasks,
        need: Resources {
            cpus,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        spot: false,
        ..super::cluster::array("class", "red", Priority::Standard)
    };
    let place = |zone: &str, capacity_type| Place {
        machine: zone.into(),
        type_name: "small".into(),
        zone: zone.into(),
        capacity_type,
    };
    let task = |index| TaskId {
        job: JobId(1),
        index,
    };
    let at = Duration::from_secs;
    let broken = |job: Job, play: &dyn Fn(&mut Rules)| {
        let mut rules = Rules::new([("red".into(), 8.0)].into(), at(50), at(5));
        rules.submitted(JobId(1), job);
        play(&mut rules);
        rules.check(at(100));
        rules
            .broken
            .first()
            .map(|text| text.split(' ').nth(1).unwrap_or_default().to_owned())
    };
    let ordinary = CapacityType::OnDemand;
    let expect = |rule: &str, found: Option<String>| assert_eq!(found, Some(format!("{rule}:")));
    assert_eq!(
        broken(job(2, 4.0), &|r| (0..2).for_each(|n| r.starts(
            at(1),
            task(n),
            place("a", ordinary)
        ))),
        None
    );
    expect(
        "quota",
        broken(job(3, 4.0), &|r| {
            (0..3).for_each(|n| r.starts(at(1), task(n), place("a", ordinary)))
        }),
    );
    expect(
        "ran_twice",
        broken(job(1, 1.0), &|r| {
            ["a", "b"]
                .iter()
                .for_each(|zone| r.starts(at(1), task(0), place(zone, ordinary)))
        }),
    );
    expect(
        "wrong_place",
        broken(job(1, 1.0), &|r| {
            r.starts(at(1), task(0), place("a", CapacityType::Spot))
        }),
    );
    let spread = Job {
        spread: true,
        ..job(2, 1.0)
    };
    expect(
        "wrong_place",
        broken(spread, &|r| {
            (0..2).for_each(|n| r.starts(at(1), task(n), place("a", ordinary)))
        }),
    );
    let cancelled = |r: &mut Rules| {
        r.cancel_asked(JobId(1));
        r.told(at(10), JobId(1), Some("cancelled"));
    };
    let stays = |r: &mut Rules| {
        r.starts(at(1), task(0), place("a", ordinary));
        cancelled(r);
    };
    expect("ran_cancelled", broken(job(1, 1.0), &stays));
    let late = |r: &mut Rules| {
        cancelled(r);
        r.starts(at(61), task(0), place("a", ordinary));
    };
    expect("ran_cancelled", broken(job(1, 1.0), &late));
    let accepted_then = |then: &dyn Fn(&mut Rules)| {
        broken(job(1, 1.0), &|r| {
            r.told(at(1), JobId(1), Some("queued"));
            then(r);
        })
    };
    expect(
        "forgotten",
        accepted_then(&|r| r.told(at(2), JobId(1), None)),
    );
    expect(
        "forgotten",
        accepted_then(&|r| r.refused(at(2), JobId(1), 422)),
    );
    expect("forgotten", accepted_then(&|r| r.asked(at(3), JobId(1))));
    let answered = |r: &mut Rules| {
        r.asked(at(3), JobId(1));
        r.told(at(70), JobId(1), Some("queued"));
        r.asked(at(75), JobId(1));
    };
    assert_eq!(accepted_then(&answered), None);
    let unserved = |began: u64, done: bool| {
        let mut rules = Rules::new([("red".into(), 8.0)].into(), at(50), at(5));
        rules.submitted(JobId(1), job(1, 1.0));
        rules.told(at(1), JobId(1), Some("queued"));
        rules.starts(at(began), task(0), place("a", ordinary));
        rules.ends(task(0), "a", done);
        rules.unserved()
    };
    assert_eq!(unserved(200, true), [] as [&str; 0]);
    assert_eq!(
        unserved(200, false),
        ["class class: 0 of 1", "team red: 0 of 1"]
    );
    assert_eq!(unserved(242, true), ["largest of class: 0 of 1"]);
    expect(
        "invented",
        accepted_then(&|r| r.told(at(2), JobId(2), Some("queued"))),
    );
    expect(
        "not_done",
        accepted_then(&|r| r.told(at(2), JobId(1), Some("done"))),
    );
    expect(
        "went_back",
        accepted_then(&|r| r.told(at(2), JobId(1), Some("cancelled"))),
    );
    let back = |r: &mut Rules| {
        cancelled(r);
        r.told(at(11), JobId(1), Some("running"));
    };
    expect("went_back", broken(job(1, 1.0), &back));
    let beside = |from: u64, to: u64| {
        accepted_then(&move |r| {
            (from..=to).for_each(|second| r.beside_room(at(second), [JobId(1)].into()));
        })
    };
    assert_eq!(beside(2, 95), None, "counted from when troubles are over");
    expect("idle", beside(2, 96));
    let gap = |r: &mut Rules| {
        (6..=110).for_each(|second| {
            r.beside_room(
                at(second),
                (second != 50).then_some(JobId(1)).into_iter().collect(),
            )
        });
    };
    assert_eq!(accepted_then(&gap), None, "now and then it finds none");
    expect(
        "odd",
        broken(job(1, 1.0), &|r| r.odd_answered(at(1), 422, 201)),
    );
    assert_eq!(
        broken(job(1, 1.0), &|r| r.odd_answered(at(1), 422, 503)),
        None
    );
    let mut rules = Rules::new([("red".into(), 8.0)].into(), at(50), at(5));
    rules.submitted(JobId(1), job(1, 1.0));
    cancelled(&mut rules);
    rules.starts(at(12), task(0), place("a", ordinary));
    assert_eq!(rules.started_cancelled, [(task(0), at(2))]);
}
