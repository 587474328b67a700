//! Messages at the size of a large fleet.

use super::*;
use crate::domain::{FencingToken, Incarnation};
use crate::http;

/// The most that a controller takes of another: see `http::server`.
const LARGEST_BODY: usize = 1 << 20;

fn machine(n: usize) -> MachineStatus {
    MachineStatus {
        machine: format!("m-{n:06}").as_str().into(),
        usable: true,
        seen: true,
        silent: false,
        notice: false,
        errors: 2,
        failures: vec![JobFailures {
            job: JobId(123_456),
            count: 3,
        }],
        images: (0..20)
            .map(|n| format!("img-{n:04}").as_str().into())
            .collect(),
    }
}

fn block(number: usize, machines: usize) -> BlockStatus {
    let first = number * machines;
    BlockStatus {
        block: format!("zone.{number}").as_str().into(),
        token: FencingToken(1 << 30),
        lease_version: 1 << 30,
        last_assignment_update: 1 << 20,
        pending: (0..150).map(|n| (1 << 50) + n).collect(),
        refused: Vec::new(),
        ended: Vec::new(),
        revision: 1 << 30,
        wants_new_token: false,
        expected: machines as u32,
        overdue: 0,
        number: 77,
        machines: (first..first + machines).map(machine).collect(),
        running: Vec::new(),
    }
}

/// One controller may hold all machines, and a leader that is new knows of none of them: told in one message, 4,000 were
/// more than a controller takes, and the leader never heard of them.
#[test]
fn a_status_about_4000_machines_is_told_in_messages_that_arrive() {
    let status = Status {
        controller: "node-1".into(),
        incarnation: Incarnation(7),
        blocks: (0..20).map(|number| block(number, 200)).collect(),
        misrouted: vec!["m-1".into()],
    };
    let whole = http::write(&Message::Status(status.clone())).len();
    assert!(
        whole > LARGEST_BODY,
        "{whole} bytes in one message show nothing"
    );
    let messages = status.clone().in_messages();
    let mut blocks = Vec::new();
    for message in messages {
        assert_eq!(
            (&message.controller, message.incarnation),
            (&status.controller, status.incarnation)
        );
        let bytes = http::write(&Message::Status(message.clone())).len();
        assert!(bytes < LARGEST_BODY / 2, "{bytes} bytes");
        blocks.extend(message.blocks);
    }
    assert_eq!(blocks, status.blocks);
}

#[test]
fn a_status_about_nothing_is_still_a_sign_of_life() {
    let status = Status {
        controller: "node-1".into(),
        incarnation: Incarnation(7),
        blocks: Vec::new(),
        misrouted: Vec::new(),
    };
    assert_eq!(status.clone().in_messages(), [status]);
}
