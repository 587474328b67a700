//! Tests of the message size for a large fleet and of the wire format.

use super::*;
use crate::domain::{FencingToken, Incarnation};
use crate::http;

/// The maximum body size of a message between controllers: see `http::server`.
const MAX_BODY_BYTES: usize = 1 << 20;

fn machine_status(index: usize) -> MachineStatus {
    MachineStatus {
        machine: format!("m-{index:06}").as_str().into(),
        usable: true,
        has_reported: true,
        unresponsive: false,
        termination_notice: false,
        consecutive_failures: 2,
        failures_by_job: vec![JobFailures {
            job: JobId(123_456),
            count: 3,
        }],
        images: (0..20)
            .map(|n| format!("img-{n:04}").as_str().into())
            .collect(),
    }
}

fn block_status(number: usize, machines: usize) -> BlockStatus {
    let first = number * machines;
    BlockStatus {
        block: format!("zone.{number}").as_str().into(),
        token: FencingToken(1 << 30),
        lease_version: 1 << 30,
        last_assignment_update: 1 << 20,
        pending: (0..150).map(|n| (1 << 50) + n).collect(),
        unplaceable: Vec::new(),
        proven_ended: Vec::new(),
        placements_revision: 1 << 30,
        token_renewal_required: false,
        expected_workers: machines as u32,
        overdue_workers: 0,
        sequence_number: 77,
        machines: (first..first + machines).map(machine_status).collect(),
        running: Vec::new(),
    }
}

/// Guards against a status that exceeds the body limit: one controller may hold all machines, and has to report all of
/// them to a new leader. In one message, 4,000 machines exceeded the limit, and the leader never received their status.
#[test]
fn a_status_of_4000_machines_is_split_into_messages_below_the_body_limit() {
    let status = ControllerStatus {
        controller: "node-1".into(),
        incarnation: Incarnation(7),
        blocks: (0..20).map(|number| block_status(number, 200)).collect(),
        misrouted: vec!["m-1".into()],
    };
    let unsplit_bytes = http::encode_body(&Message::Status(status.clone())).len();
    assert!(
        unsplit_bytes > MAX_BODY_BYTES,
        "the unsplit status of {unsplit_bytes} bytes is below the limit, so the test would show nothing"
    );
    let messages = status.clone().into_messages();
    let mut blocks = Vec::new();
    for message in messages {
        assert_eq!(
            (&message.controller, message.incarnation),
            (&status.controller, status.incarnation)
        );
        let bytes = http::encode_body(&Message::Status(message.clone())).len();
        assert!(bytes < MAX_BODY_BYTES / 2, "{bytes} bytes");
        blocks.extend(message.blocks);
    }
    assert_eq!(blocks, status.blocks);
}

#[test]
fn a_status_without_blocks_is_still_one_message() {
    let status = ControllerStatus {
        controller: "node-1".into(),
        incarnation: Incarnation(7),
        blocks: Vec::new(),
        misrouted: Vec::new(),
    };
    assert_eq!(status.clone().into_messages(), [status]);
}

/// One message of each kind in the current wire format: CBOR in hexadecimal, by the name of the case.
const MESSAGES: &str = include_str!("../../tests/data/peer-messages.json");

/// The hexadecimal form of bytes.
fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Bytes from their hexadecimal form.
fn from_hex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "{text}");
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits"))
        .collect()
}

/// Guards against changes of the wire format: controllers of different versions exchange messages during an upgrade.
#[test]
fn every_message_is_encoded_to_the_same_bytes_after_decoding() {
    let messages: BTreeMap<String, String> =
        serde_json::from_str(MESSAGES).expect("a JSON object of strings");
    let mut kinds = std::collections::BTreeSet::new();
    for (name, encoded) in messages {
        let message: Message = ciborium::from_reader(&*from_hex(&encoded)).expect(&name);
        assert_eq!(to_hex(&http::encode_body(&message)), encoded, "{name}");
        // Each list must be filled, so that the format of its items is tested too.
        kinds.insert(match &message {
            Message::Status(status) => {
                let lists_filled = status.blocks.iter().any(|block| {
                    !block.pending.is_empty()
                        && !block.unplaceable.is_empty()
                        && !block.proven_ended.is_empty()
                        && !block.running.is_empty()
                        && block.machines.iter().any(|machine| {
                            !machine.failures_by_job.is_empty() && !machine.images.is_empty()
                        })
                });
                assert!(lists_filled && !status.misrouted.is_empty(), "{name}");
                "status"
            }
            Message::Heartbeat(heartbeat) => {
                assert!(
                    !heartbeat.cancelled_jobs.is_empty() && !heartbeat.last_received.is_empty()
                );
                "heartbeat"
            }
            Message::Cancelled(jobs) => {
                assert!(!jobs.is_empty(), "{name}");
                "cancelled"
            }
            Message::AssignmentUpdates(updates) => {
                let lists_filled = updates.iter().any(|update| {
                    !update.assignments.is_empty()
                        && !update.attempts_to_stop.is_empty()
                        && !update.addresses.is_empty()
                        && !update.watched_attempts.is_empty()
                });
                assert!(lists_filled, "{name}");
                "assignment updates"
            }
        });
    }
    assert_eq!(
        kinds,
        ["heartbeat", "cancelled", "status", "assignment updates"].into()
    );
}
