//! Tests of the JSON schemas that operators' tools rely on.

use super::*;
use crate::features::Features;

fn schema_text(schema: &schemars::Schema) -> String {
    serde_json::to_string_pretty(schema).expect("the schema is serializable") + "\n"
}

/// `WRITE_SCHEMAS=1 cargo test schemas` rewrites the files.
#[test]
fn the_documented_schemas_match_the_program() {
    let schemas = [
        ("answers.schema.json", schemars::schema_for!(Shown)),
        ("features.schema.json", schemars::schema_for!(Features)),
    ];
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/schemas/");
    for (name, schema) in schemas {
        let path = format!("{directory}{name}");
        let text = schema_text(&schema);
        if std::env::var_os("WRITE_SCHEMAS").is_some() {
            std::fs::write(&path, &text).expect("the file is writable");
        }
        let stored = std::fs::read_to_string(&path).unwrap_or_default();
        assert_eq!(stored, text, "{name}");
    }
}

#[test]
fn answers_match_their_schema() {
    let schema =
        serde_json::to_value(schemars::schema_for!(Shown)).expect("the schema is serializable");
    let validator = jsonschema::validator_for(&schema).expect("the schema is valid");
    let drain = DrainStatus {
        id: "disk-7".to_owned(),
        scope: "zone a".to_owned(),
        purpose: "drain".to_owned(),
        state: dappleshore_drain::operator::StateName::WaitingForBudget,
        reason: Some("team red: 2 disrupted, 1 more to be evicted, 2 allowed".to_owned()),
        waiting_for: Some("red".to_owned()),
        return_machines: false,
        machines: 4,
        empty: 1,
        tasks_left: 7,
        outstanding: 2,
        requested_ms: 1_800_000_000_000,
    };
    let shown = Shown::Drains(vec![drain]);
    let value = serde_json::to_value(&shown).expect("the answer is serializable");
    assert!(validator.is_valid(&value), "{value}");
    let mut wrong = value;
    wrong["drains"][0]["state"] = "asleep".into();
    assert!(!validator.is_valid(&wrong), "{wrong}");
}
