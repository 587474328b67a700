use super::*;

#[test]
fn a_job_id_has_only_its_canonical_spelling() {
    assert_eq!("j-000412".parse(), Ok(JobId(412)));
    assert_eq!("j-1000412".parse(), Ok(JobId(1_000_412)));
    for (invalid, expected) in [
        ("j-412", ParseIdError::NotCanonical),
        ("j-0000412", ParseIdError::NotCanonical),
        ("j-00041x", ParseIdError::NotANumber),
        ("k-000412", ParseIdError::MissingPrefix),
        ("j-", ParseIdError::NotCanonical),
        ("j-+00412", ParseIdError::NotANumber),
        ("j-9999999999999999999", ParseIdError::TooLong),
    ] {
        assert_eq!(invalid.parse::<JobId>(), Err(expected), "{invalid}");
        assert_eq!(expected.to_string(), "malformed name");
    }
    assert_eq!(
        TaskId {
            job: JobId(412),
            index: 3
        }
        .to_string(),
        "j-000412/3"
    );
    assert_eq!(
        "j-000412/3".parse(),
        Ok(TaskId {
            job: JobId(412),
            index: 3
        })
    );
}

#[test]
fn count_of_is_limited_by_the_scarcest_resource() {
    let machine = Resources {
        cpus: 32.0,
        gpus: 0.0,
        memory_gb: 128.0,
    };
    assert_eq!(
        machine.max_tasks(&Resources {
            cpus: 8.0,
            gpus: 0.0,
            memory_gb: 27.0
        }),
        4
    );
    assert_eq!(
        machine.max_tasks(&Resources {
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 64.0
        }),
        2
    );
    assert_eq!(
        machine.max_tasks(&Resources {
            cpus: 1.0,
            gpus: 1.0,
            memory_gb: 1.0
        }),
        0
    );
    let tenth = Resources {
        cpus: 0.1,
        ..Resources::default()
    };
    let mut free = Resources {
        cpus: 0.3,
        ..Resources::default()
    };
    for _ in 0..3 {
        assert!(free.fits(&tenth));
        free.subtract(&tenth);
    }
    assert!(!free.fits(&tenth));
}
