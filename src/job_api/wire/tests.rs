use super::*;

pub fn sample_fields() -> Vec<(&'static str, Value)> {
    vec![
        ("id", "j-000412".into()),
        ("docket", "train".into()),
        ("desk", "red".into()),
        ("shape", "sweep".into()),
        ("precedence", "high".into()),
        ("entries", 16.into()),
        ("cpus", 8.into()),
        ("cards", 0.0.into()),
        ("ramGb", 64.0.into()),
        ("bundle", "img-07".into()),
        ("imageGb", 6.2.into()),
        ("berthKinds", Value::Array(vec!["g8".into()])),
        ("wing", Value::Null),
        ("samePlace", true.into()),
        ("scatter", false.into()),
        ("loaner", true.into()),
        ("expectS", 240.0.into()),
        ("stampEveryS", 30.0.into()),
        ("stampS", 4.0.into()),
        ("dueS", 900.0.into()),
    ]
}

pub fn encode_fields(fields: &[(&str, Value)]) -> Vec<u8> {
    let map = fields
        .iter()
        .map(|(key, value)| ((*key).into(), value.clone()))
        .collect();
    let mut bytes = Vec::new();
    ciborium::into_writer(&Value::Map(map), &mut bytes).expect("encoding to memory succeeds");
    bytes
}

#[test]
fn a_submission_may_contain_integers_for_decimals() {
    let (id, job) = parse(&encode_fields(&sample_fields()), 7).expect("the sample is valid");
    assert_eq!(id, JobId(412));
    assert!((job.need.cpus - 8.0).abs() < 1e-9);
    assert_eq!(job.deadline_s, Some(900.0));
    let without_optional: Vec<_> = sample_fields()
        .into_iter()
        .filter(|(k, _)| !["dueS", "wing", "berthKinds"].contains(k))
        .collect();
    let (_, job) =
        parse(&encode_fields(&without_optional), 7).expect("optional fields may be omitted");
    assert_eq!((job.types, job.zone, job.deadline_s), (None, None, None));
}

#[test]
fn every_invalid_field_is_rejected() {
    let invalid_values: [(&str, Value); 14] = [
        ("id", "j-412".into()),
        ("id", 412.into()),
        ("shape", "gang".into()),
        ("precedence", "urgent".into()),
        ("entries", 0.into()),
        ("entries", 100_001.into()),
        ("entries", 1.5.into()),
        ("entries", (-1).into()),
        ("cpus", (-1.0).into()),
        ("cpus", f64::NAN.into()),
        ("ramGb", f64::INFINITY.into()),
        ("loaner", "yes".into()),
        ("berthKinds", "g8".into()),
        ("bundle", "x".repeat(201).as_str().into()),
    ];
    for (key, value) in invalid_values {
        let mut fields = sample_fields();
        fields
            .iter_mut()
            .filter(|(k, _)| *k == key)
            .for_each(|(_, v)| *v = value.clone());
        assert!(
            parse(&encode_fields(&fields), 0).is_err(),
            "{key}: {value:?}"
        );
    }
    for key in ["id", "desk", "cpus", "scatter", "stampS", "bundle"] {
        let fields: Vec<_> = sample_fields()
            .into_iter()
            .filter(|(k, _)| *k != key)
            .collect();
        assert!(parse(&encode_fields(&fields), 0).is_err(), "{key} missing");
    }
    assert!(parse(b"", 0).is_err());
    assert!(parse(b"\xa1", 0).is_err());
    assert!(parse(&[0x80], 0).is_err());
    let mut trailing = encode_fields(&sample_fields());
    trailing.push(0);
    assert!(parse(&trailing, 0).is_err());
}
