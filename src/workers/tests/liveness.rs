//! Tests of which machines are reported to the leader as unresponsive or faulty.

use super::*;

/// Heartbeats arrive, but neither responses nor commands reach the machine. Nothing more must be placed there, and the
/// machine must become unresponsive in spite of its heartbeats.
#[test]
fn a_machine_that_sends_heartbeats_but_answers_no_commands_becomes_unresponsive() {
    let mut holder = Holder::new(job(1, 1.0));
    let policy = Policy::built_in(&holder.config);
    holder.assign_task(9, "m-1", 1);
    holder.commit_due_writes();
    let health = |holder: &mut Holder| {
        let status = holder
            .fleet
            .prepare_block_statuses(holder.now, &policy)
            .remove(0);
        status
            .machines
            .iter()
            .find(|machine| &*machine.machine.0 == "m-1")
            .map(|machine| (machine.usable, machine.unresponsive))
    };
    assert_eq!(health(&mut holder), Some((true, false)));
    let command = holder.direct_commands().remove(0);
    holder.apply_command_outcome(&command, CommandOutcome::Unknown);
    holder.send_heartbeat("m-1", FencingToken(4), &[]);
    assert_eq!(health(&mut holder), Some((false, false)));
    let mut probes = 0;
    for _ in 0..20 {
        holder.now.monotonic += Duration::from_secs(1);
        holder.send_heartbeat("m-1", FencingToken(4), &[]);
        holder.send_heartbeat("m-2", FencingToken(4), &[]);
        holder.tick();
        for command in holder.direct_commands() {
            probes += 1;
            holder.apply_command_outcome(&command, CommandOutcome::Unknown);
        }
    }
    assert!(probes > 2, "{probes} probes were sent");
    assert_eq!(health(&mut holder), Some((false, true)));
    // A response makes the machine usable again.
    let report = holder.build_heartbeat("m-1", FencingToken(4), &[]);
    holder.apply_command_outcome(&command, CommandOutcome::Executed(report));
    assert_eq!(health(&mut holder), Some((true, false)));
}

/// Found on the bench: a controller that had been paused counted all its workers as unresponsive when it resumed, and
/// healthy machines were deleted.
#[test]
fn a_pause_of_the_holder_does_not_make_its_workers_unresponsive() {
    let mut holder = Holder::new(job(1, 1.0));
    let policy = Policy::built_in(&holder.config);
    let unresponsive_count = |holder: &mut Holder| {
        holder.tick();
        let status = holder
            .fleet
            .prepare_block_statuses(holder.now, &policy)
            .remove(0);
        status
            .machines
            .iter()
            .filter(|machine| machine.unresponsive)
            .count()
    };
    let pause = policy.worker_timeout * 2;
    holder.now.monotonic += pause;
    holder.fleet.process_paused(pause);
    assert_eq!(unresponsive_count(&mut holder), 0);
    holder.now.monotonic += pause;
    assert_eq!(unresponsive_count(&mut holder), 2);
}

/// Found by a search over simulation seeds: a report of a running task reset the count, so machines whose tasks fail
/// after running were never given up as faulty.
#[test]
fn failures_of_tasks_that_ran_are_counted_and_bounded_for_a_single_job() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.put_record(job_key(JobId(2)), encode(&JobRecord::Open(job(1, 1.0))));
    let policy = Policy::built_in(&holder.config);
    let mut errors = Vec::new();
    for (number, job_id) in [(9, 1), (10, 1), (11, 1), (12, 2)] {
        let attempt = Attempt {
            task: TaskId {
                job: JobId(job_id),
                index: 0,
            },
            number,
        };
        let lease_version = holder.fleet.lease_version(&"a.0".into());
        let assignments = vec![Assignment {
            attempt,
            machine: "m-1".into(),
        }];
        assert!(holder.fleet.apply_assignments(assignment_update(
            lease_version,
            number,
            assignments
        )));
        holder.commit_due_writes();
        for (state, cause) in [
            (TaskState::Running, None),
            (TaskState::Exited, Some(ExitCause::Error)),
        ] {
            let mut heartbeat =
                holder.build_heartbeat("m-1", FencingToken(4), &[(number, state, cause)]);
            heartbeat.tasks[0].task = attempt.task;
            holder.fleet.handle_heartbeat(
                holder.now,
                heartbeat,
                &holder.config,
                &holder.cache,
                true,
            );
        }
        holder.commit_due_writes();
        errors.push(
            holder.fleet.prepare_block_statuses(holder.now, &policy)[0].machines[0]
                .consecutive_failures,
        );
    }
    assert_eq!(errors, [1, 2, 2, 4]);
}
