//! Tests of the commands to workers, and of the conditions under which they are withheld.

use super::*;

/// During an outage no block lease is known to be valid, while machines keep running tasks of jobs that were cancelled
/// before it.
#[test]
fn without_a_valid_lease_only_tasks_of_cancelled_jobs_are_stopped() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assign_task(9, "m-1", 1);
    holder.commit_due_writes();
    assert_eq!(
        holder.commands_without_lease(),
        [],
        "nothing may be launched without a valid lease"
    );
    holder.tick();
    let command = holder.direct_commands().remove(0);
    let running = [(9, TaskState::Running, None)];
    let report = holder.build_heartbeat("m-1", FencingToken(4), &running);
    holder.apply_command_outcome(&command, CommandOutcome::Executed(report));
    holder.now.monotonic += REVIEW_INTERVAL;
    holder.tick();
    assert_eq!(holder.commands_without_lease(), []);
    // The leader wants the attempt stopped to free resources; another leader may have decided otherwise since.
    let attempt = first_attempt(9);
    let version = holder.fleet.lease_version(&"a.0".into());
    assert!(holder.fleet.apply_assignments(AssignmentUpdate {
        attempts_to_stop: vec![attempt],
        ..assignment_update(version, 2, Vec::new())
    }));
    assert_eq!(holder.commands_without_lease(), []);
    holder.cancel_job();
    let stop = WorkerCommand::Stop {
        task: first_task(),
        wire_number: 9,
        grace_s: 0.0,
    };
    assert_eq!(holder.commands_without_lease(), [stop]);
    // The heartbeat gets no response with commands, but its report is applied.
    let heartbeat = holder.build_heartbeat(
        "m-1",
        FencingToken(4),
        &[(9, TaskState::Exited, Some(ExitCause::Stopped))],
    );
    let response =
        holder
            .fleet
            .handle_heartbeat(holder.now, heartbeat, &holder.config, &holder.cache, false);
    assert_eq!(response, HeartbeatResponse::Unavailable);
    assert!(
        holder
            .fleet
            .is_proven_ended(&"a.0".into(), &"m-1".into(), &attempt)
    );
    assert!(
        !holder
            .fleet
            .is_proven_ended(&"a.1".into(), &"m-1".into(), &attempt),
        "an end in a block of another holder must not be claimed as proven"
    );
}

/// The launch was in flight when the job was cancelled.
#[test]
fn a_task_reported_after_its_job_was_cancelled_is_stopped_at_once() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assign_task(9, "m-1", 1);
    holder.commit_due_writes();
    let command = holder.direct_commands().remove(0);
    holder.cancel_job();
    let report = holder.build_heartbeat("m-1", FencingToken(4), &[(9, TaskState::Fetching, None)]);
    holder.apply_command_outcome(&command, CommandOutcome::Executed(report));
    let commands: Vec<WorkerCommand> = holder
        .direct_commands()
        .into_iter()
        .flat_map(|command| command.body.commands)
        .collect();
    assert!(
        matches!(commands[..], [WorkerCommand::Stop { wire_number: 9, .. }]),
        "{commands:?}"
    );
}

fn count_launches(commands: &[DirectCommand]) -> usize {
    let commands = commands.iter().flat_map(|command| &command.body.commands);
    commands
        .filter(|command| matches!(command, WorkerCommand::Launch { .. }))
        .count()
}

#[test]
fn launches_wait_until_the_attempt_is_recorded_and_the_worker_has_confirmed_the_token() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assign_task(9, "m-1", 1);
    assert_eq!(
        count_launches(&holder.direct_commands()),
        0,
        "an attempt must not be launched before it is recorded"
    );
    assert_eq!(holder.commit_due_writes(), [("m-1".to_owned(), 9)]);
    assert_eq!(count_launches(&holder.direct_commands()), 1);

    let mut holder = Holder::new(job(1, 1.0));
    holder.assign_task(9, "m-1", 1);
    holder.commit_due_writes();
    holder.grant_lease(FencingToken(6));
    let token_commands = holder.direct_commands();
    assert!(
        token_commands
            .iter()
            .all(|command| command.body.token == FencingToken(6))
            && count_launches(&token_commands) == 0
    );
    let report = holder.build_heartbeat("m-1", FencingToken(6), &[]);
    let command = token_commands
        .iter()
        .find(|command| &*command.machine.0 == "m-1")
        .expect("a command with the new token must be sent to m-1")
        .clone();
    holder.apply_command_outcome(&command, CommandOutcome::Executed(report));
    assert_eq!(count_launches(&holder.direct_commands()), 1);
}

/// Found by a seeded simulation with partitioned zones; see `Launches::unacknowledged`.
#[test]
fn an_unanswered_launch_blocks_reaping_and_the_next_attempt_until_a_new_token() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assign_task(9, "m-1", 1);
    holder.commit_due_writes();
    let command = holder.direct_commands().remove(0);
    holder.apply_command_outcome(&command, CommandOutcome::Unknown);
    let failed = [(9, TaskState::Exited, Some(ExitCause::Error))];
    holder.send_heartbeat("m-1", FencingToken(4), &failed);
    assert_eq!(holder.commit_due_writes(), []);
    assert!(
        !has_reap_command(holder.send_heartbeat("m-1", FencingToken(4), &failed)),
        "the unanswered launch could start the attempt again"
    );
    holder.assign_task(10, "m-1", 2);
    assert_eq!(
        holder.commit_due_writes(),
        [("m-2".to_owned(), 10)],
        "the next attempt must not be placed on the machine of the unanswered launch"
    );
    holder.tick();
    holder.now.monotonic += TOKEN_RENEWAL_DELAY + Duration::from_secs(1);
    holder.tick();
    let policy = Policy::built_in(&holder.config);
    assert!(holder.fleet.prepare_block_statuses(holder.now, &policy)[0].token_renewal_required);
    holder.grant_lease(FencingToken(6));
    assert!(has_reap_command(holder.send_heartbeat(
        "m-1",
        FencingToken(6),
        &failed
    )));
}

/// A launch is answered and its task stopped; then a duplicate of the launch arrives. A worker that has reaped the
/// attempt would start it again in parallel with the next one.
#[test]
fn an_attempt_that_a_duplicate_launch_could_start_is_not_reaped_until_a_new_token() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assign_task(9, "m-1", 1);
    holder.commit_due_writes();
    let command = holder.direct_commands().remove(0);
    let running = holder.build_heartbeat("m-1", FencingToken(4), &[(9, TaskState::Running, None)]);
    holder.apply_command_outcome(&command, CommandOutcome::Executed(running));
    let stopped = [(9, TaskState::Exited, Some(ExitCause::Stopped))];
    holder.send_heartbeat("m-1", FencingToken(4), &stopped);
    assert_eq!(holder.commit_due_writes(), []);
    assert!(!has_reap_command(holder.send_heartbeat(
        "m-1",
        FencingToken(4),
        &stopped
    )));
    holder.assign_task(10, "m-1", 2);
    assert_eq!(
        holder.commit_due_writes(),
        [("m-2".to_owned(), 10)],
        "a worker lists one attempt of a task, and still needs the entry for the earlier one"
    );
    holder.tick();
    holder.now.monotonic += TOKEN_RENEWAL_DELAY * 2;
    holder.tick();
    let policy = Policy::built_in(&holder.config);
    assert!(
        !holder.fleet.prepare_block_statuses(holder.now, &policy)[0].token_renewal_required,
        "no token renewal is needed while no placement waits for it"
    );
    holder.grant_lease(FencingToken(6));
    assert!(has_reap_command(holder.send_heartbeat(
        "m-1",
        FencingToken(6),
        &stopped
    )));
    // A finished task that is started again ends at once, so its entry may be reaped.
    let command = holder
        .direct_commands()
        .into_iter()
        .find(|command| &*command.machine.0 == "m-2")
        .expect("a command with the new token must be sent to m-2");
    let running = holder.build_heartbeat("m-2", FencingToken(6), &[(10, TaskState::Running, None)]);
    holder.apply_command_outcome(&command, CommandOutcome::Executed(running));
    let done = [(10, TaskState::Exited, Some(ExitCause::Done))];
    holder.send_heartbeat("m-2", FencingToken(6), &done);
    holder.commit_due_writes();
    assert!(has_reap_command(holder.send_heartbeat(
        "m-2",
        FencingToken(6),
        &done
    )));
}

/// Otherwise an entry for every task that ever ran on a machine would be kept, and examined for each placement.
#[test]
fn a_launch_entry_is_removed_once_the_worker_no_longer_lists_the_attempt() {
    let mut holder = Holder::new(job(1, 1.0));
    let tracked_launches = |holder: &Holder| {
        holder.fleet.blocks[&BlockId::from("a.0")].workers[&"m-1".into()]
            .launches
            .attempts_sent()
    };
    holder.assign_task(9, "m-1", 1);
    holder.commit_due_writes();
    let command = holder.direct_commands().remove(0);
    // The worker sent this heartbeat before the launch arrived.
    holder.send_heartbeat("m-1", FencingToken(4), &[]);
    assert_eq!(tracked_launches(&holder), 1);
    let running = holder.build_heartbeat("m-1", FencingToken(4), &[(9, TaskState::Running, None)]);
    holder.apply_command_outcome(&command, CommandOutcome::Executed(running));
    holder.send_heartbeat(
        "m-1",
        FencingToken(4),
        &[(9, TaskState::Exited, Some(ExitCause::Done))],
    );
    holder.commit_due_writes();
    assert_eq!(
        tracked_launches(&holder),
        1,
        "the attempt has not been reaped yet"
    );
    holder.send_heartbeat("m-1", FencingToken(4), &[]);
    assert_eq!(tracked_launches(&holder), 0);
}

/// Found on the bench: a controller that lost the state service kept responding to its workers until its block lease
/// expired. The new holder knew none of their addresses and received no heartbeats, and the machines were deleted with
/// all their tasks.
#[test]
fn a_new_holder_sends_its_token_to_workers_whose_addresses_the_leader_provides() {
    let mut holder = Holder::new(job(1, 1.0));
    let policy = Policy::built_in(&holder.config);
    holder.put_record(block_lease_key(&"a.0".into()), ciborium::Value::Null);
    holder.grant_lease(FencingToken(6));
    assert_eq!(
        holder.direct_commands(),
        [],
        "no command can be sent without an address"
    );
    holder.now.monotonic += policy.worker_timeout + Duration::from_secs(1);
    assert!(
        holder.fleet.prepare_block_statuses(holder.now, &policy)[0]
            .machines
            .iter()
            .all(|machine| !machine.unresponsive)
    );
    let lease_version = holder.fleet.lease_version(&"a.0".into());
    let addresses = vec![("m-1".into(), "10.1.0.1:9000".to_owned())];
    assert!(holder.fleet.apply_assignments(AssignmentUpdate {
        addresses,
        ..assignment_update(lease_version, 1, Vec::new())
    }));
    let command = holder.direct_commands().remove(0);
    assert_eq!(
        (
            command.body.token,
            command.body.agent_epoch,
            command.body.commands.len()
        ),
        (FencingToken(6), Some(AgentEpoch(1)), 0)
    );
    // The worker is in another epoch: it rejects the command with its epoch, and gets the command again.
    let mut report = holder.build_heartbeat("m-1", FencingToken(4), &[]);
    report.agent_epoch = AgentEpoch(3);
    holder.apply_command_outcome(&command, CommandOutcome::Rejected(report));
    let command = holder.direct_commands().remove(0);
    assert_eq!(
        (command.body.token, command.body.agent_epoch),
        (FencingToken(6), Some(AgentEpoch(3)))
    );
}

/// A controller that takes over blocks has commands for all workers at once. Each command holds a socket, and for long
/// if its worker does not respond.
#[test]
fn commands_in_flight_are_bounded_and_at_most_half_go_to_workers_that_did_not_answer() {
    let mut holder = Holder::new(job(1, 1.0));
    let max_in_flight = holder.config.max_sockets / COMMAND_SOCKET_DIVISOR;
    let names: Vec<String> = (0..max_in_flight * 3)
        .map(|n| format!("m-{n:06}"))
        .collect();
    let machines: Vec<&str> = names.iter().map(String::as_str).collect();
    holder.put_inventory("a.0", &machines);
    for name in &names {
        holder.send_heartbeat(name, FencingToken(3), &[]);
    }
    let first = holder.direct_commands();
    assert_eq!(
        (first.len(), holder.direct_commands().len()),
        (max_in_flight, 0)
    );
    for command in &first {
        holder.apply_command_outcome(command, CommandOutcome::Unknown);
    }
    holder.now.monotonic += PROBE_INTERVAL * 2;
    holder.tick();
    let commanded_again: BTreeSet<MachineId> = holder
        .direct_commands()
        .into_iter()
        .map(|command| command.machine)
        .collect();
    let unanswered_before = first
        .iter()
        .filter(|command| commanded_again.contains(&command.machine))
        .count();
    assert_eq!(
        (commanded_again.len(), unanswered_before),
        (max_in_flight, max_in_flight / 2)
    );
}

/// Whether a response to a heartbeat contains a command to reap a task.
fn has_reap_command(response: HeartbeatResponse) -> bool {
    match response {
        HeartbeatResponse::Commands(commands) => commands
            .commands
            .iter()
            .any(|command| matches!(command, WorkerCommand::Reap { .. })),
        other => panic!("the response must contain commands: {other:?}"),
    }
}
