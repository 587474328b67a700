use crate::domain::{AgentEpoch, FencingToken};
use ciborium::cbor;

use super::*;

fn bytes_of<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("to memory");
    bytes
}

#[test]
fn heartbeats_with_more_or_fewer_fields_are_read() {
    let value = cbor!({
        "berth" => "m-000231", "endpoint" => "10.1.0.232:9000", "berthKind" => "g8", "wing" => "a",
        "loaner" => true, "shift" => 1, "folio" => 88, "seal" => 41, "later" => [1, 2],
        "entries" => [
            {"entry" => "j-000412/3", "try" => 2, "status" => "running"},
            {"entry" => "j-000398/0", "try" => 1, "status" => "exited", "cause" => "done"},
            {"entry" => "j-000398/1", "try" => 1, "status" => "dozing", "cause" => "whim"}
        ]
    })
    .expect("valid");
    let heartbeat: Heartbeat =
        ciborium::from_reader(bytes_of(&value).as_slice()).expect("readable");
    assert_eq!(heartbeat.termination_notice_s, None);
    assert_eq!(heartbeat.tasks[1].cause, Some(ExitCause::Done));
    assert_eq!(heartbeat.tasks[2].state, TaskState::Other);
    assert_eq!(heartbeat.tasks[2].cause, Some(ExitCause::Other));
}

#[test]
fn commands_have_the_form_of_the_protocol() {
    let task = "j-000377/1".parse().expect("valid");
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
        ciborium::from_reader(bytes_of(&commands).as_slice()).expect("readable");
    let expected = cbor!({
        "seal" => 41, "shift" => 1,
        "orders" => [{"order" => "stop", "entry" => "j-000377/1", "try" => 1, "leaveS" => 10.0}]
    });
    assert_eq!(value, expected.expect("valid"));
}
