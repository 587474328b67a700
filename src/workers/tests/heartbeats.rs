//! Tests of which ends of tasks a heartbeat proves.

use super::*;

/// A duplicate of an old heartbeat, or one that was delayed until a new holder had acted, shows a stale state.
#[test]
fn a_heartbeat_older_than_the_last_one_does_not_prove_that_a_task_ended() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assign_task(9, "m-1", 1);
    let earlier_report = holder.build_heartbeat("m-1", FencingToken(4), &[]);
    holder.commit_due_writes();
    let command = holder.direct_commands().remove(0);
    let report = holder.build_heartbeat("m-1", FencingToken(4), &[(9, TaskState::Running, None)]);
    holder.apply_command_outcome(&command, CommandOutcome::Executed(report));
    holder.cancel_job();
    let mut earlier_epoch = holder.build_heartbeat("m-1", FencingToken(4), &[]);
    earlier_epoch.agent_epoch = AgentEpoch(0);
    let attempt = first_attempt(9);
    for late in [earlier_report, earlier_epoch] {
        holder
            .fleet
            .handle_heartbeat(holder.now, late, &holder.config, &holder.cache, true);
        assert!(
            !holder
                .fleet
                .is_proven_ended(&"a.0".into(), &"m-1".into(), &attempt)
        );
    }
    let empty = holder.build_heartbeat("m-1", FencingToken(4), &[]);
    holder
        .fleet
        .handle_heartbeat(holder.now, empty, &holder.config, &holder.cache, true);
    assert!(
        holder
            .fleet
            .is_proven_ended(&"a.0".into(), &"m-1".into(), &attempt),
        "a newer heartbeat without the task must prove its end"
    );
}

#[test]
fn a_task_missing_from_a_heartbeat_has_ended_only_if_cancelled_and_no_launch_can_arrive() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assign_task(9, "m-1", 1);
    holder.commit_due_writes();
    let command = holder.direct_commands().remove(0);
    holder.send_heartbeat("m-1", FencingToken(4), &[]);
    assert_eq!(
        holder.commit_due_writes().len(),
        1,
        "the launch of the task may still be executed"
    );
    holder.put_record(
        job_key(JobId(1)),
        encode(&JobRecord::Cancelled(job(1, 1.0), 0)),
    );
    holder.send_heartbeat("m-1", FencingToken(4), &[]);
    assert_eq!(
        holder.commit_due_writes().len(),
        1,
        "the job is cancelled, but the launch may still be executed"
    );
    let empty = holder.build_heartbeat("m-1", FencingToken(4), &[]);
    holder.apply_command_outcome(&command, CommandOutcome::Rejected(empty));
    assert_eq!(
        holder.commit_due_writes(),
        [],
        "the launch was rejected, so the task never started"
    );
}

#[test]
fn a_heartbeat_with_a_higher_token_or_a_stale_block_lease_gets_no_commands() {
    let mut holder = Holder::new(job(1, 1.0));
    assert_eq!(
        holder.send_heartbeat("m-1", FencingToken(5), &[]),
        HeartbeatResponse::Redirect(None)
    );
    let heartbeat = holder.build_heartbeat("m-1", FencingToken(4), &[]);
    let response =
        holder
            .fleet
            .handle_heartbeat(holder.now, heartbeat, &holder.config, &holder.cache, false);
    assert_eq!(response, HeartbeatResponse::Unavailable);
}
