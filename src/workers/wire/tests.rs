use crate::domain::{AgentEpoch, FencingToken};
use ciborium::cbor;

use super::*;

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory cannot fail");
    bytes
}

#[test]
fn heartbeats_with_unknown_or_missing_fields_are_read() {
    let value = cbor!({
        "berth" => "m-000231", "endpoint" => "10.1.0.232:9000", "berthKind" => "g8", "wing" => "a",
        "loaner" => true, "shift" => 1, "folio" => 88, "seal" => 41, "later" => [1, 2],
        "entries" => [
            {"entry" => "j-000412/3", "try" => 2, "status" => "running"},
            {"entry" => "j-000398/0", "try" => 1, "status" => "exited", "cause" => "done"},
            {"entry" => "j-000398/1", "try" => 1, "status" => "future_state", "cause" => "future_cause"}
        ]
    })
    .expect("the literal must be valid CBOR");
    let heartbeat: Heartbeat =
        ciborium::from_reader(encode(&value).as_slice()).expect("the heartbeat must be readable");
    assert_eq!(heartbeat.termination_notice_s, None);
    assert_eq!(heartbeat.tasks[1].cause, Some(ExitCause::Done));
    assert_eq!(heartbeat.tasks[2].state, TaskState::Other);
    assert_eq!(heartbeat.tasks[2].cause, Some(ExitCause::Other));
}

#[test]
fn commands_are_encoded_in_the_format_of_the_protocol() {
    let task = "j-000377/1".parse().expect("the task id must be valid");
    let commands = WorkerCommands {
        token: FencingToken(41),
        agent_epoch: Some(AgentEpoch(1)),
        commands: vec![WorkerCommand::Stop {
            task,
            wire_number: 1,
            grace_s: 10.0,
        }],
    };
    let value: ciborium::Value =
        ciborium::from_reader(encode(&commands).as_slice()).expect("the commands must be readable");
    let expected = cbor!({
        "seal" => 41, "shift" => 1,
        "orders" => [{"order" => "stop", "entry" => "j-000377/1", "try" => 1, "leaveS" => 10.0}]
    });
    assert_eq!(value, expected.expect("the literal must be valid CBOR"));
}
