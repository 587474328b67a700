//! A holder's duties, as the leader, the workers and the state service see them.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::block::{LOOK_AGAIN, RENEW_AFTER};
use super::wire::{Cause, TaskStatus, WorkerCommand};
use super::worker::PROBE_AGAIN;
use super::*;
use crate::cloud::wire::InstanceTypeList;
use crate::cloud::wire::tests::instance_type;
use crate::config::tests::SETTINGS;
use crate::domain::{
    AgentEpoch, Attempt, CapacityType, FencingToken, Incarnation, Job, JobId, Term,
};
use crate::peer::Assignment;
use crate::placement::tests::job;
use crate::store::Change;
use crate::store::records::{
    BlockLease, InventoryEntry, JobRecord, MachineInventory, MachineState, block_lease_key, encode,
    inventory_key, job_key,
};

const BOOT: u64 = 7;
const PLENTY: WriteAllowance = WriteAllowance {
    max_changes: 16,
    ample: true,
};

struct Holder {
    config: Config,
    catalog: InstanceCatalog,
    cache: WatchCache,
    fleet: WorkerFleet,
    now: Now,
    version: u64,
    seq: u64,
}

impl Holder {
    /// Holds block `a.0` under token 4, with `m-1` and `m-2` that have shown it, and job 1.
    fn new(job: Job) -> Self {
        let config = Config::parse("s.toml", SETTINGS).expect("valid");
        let mut catalog = InstanceCatalog::default();
        catalog.answered(Some(InstanceTypeList {
            types: vec![instance_type()],
        }));
        let (cache, fleet) = (WatchCache::following(), WorkerFleet::new());
        let mut holder = Holder {
            config,
            catalog,
            cache,
            fleet,
            now: Now::read(),
            version: 0,
            seq: 0,
        };
        let entry = || InventoryEntry {
            type_name: "large".into(),
            capacity_type: CapacityType::OnDemand,
            state: MachineState::InService,
            rented_s: 0,
        };
        let on = ["m-1", "m-2"].map(|machine| (machine.into(), entry()));
        holder.put(
            inventory_key(&"a.0".into()),
            encode(&MachineInventory {
                zone: "a".into(),
                on: on.into(),
            }),
        );
        holder.put(job_key(JobId(1)), encode(&JobRecord::Open(job)));
        holder.lease(FencingToken(4));
        holder.heartbeat("m-1", FencingToken(4), &[]);
        holder.heartbeat("m-2", FencingToken(4), &[]);
        holder
    }

    fn put(&mut self, key: String, value: ciborium::Value) {
        self.version += 1;
        self.cache.apply(Change {
            key,
            version: self.version,
            value: Some(value),
        });
        self.sync();
    }

    fn sync(&mut self) {
        let changed = self.cache.take_changed();
        self.fleet.sync(
            self.now,
            &self.config,
            Incarnation(BOOT),
            &self.cache,
            &changed,
        );
    }

    fn lease(&mut self, token: FencingToken) {
        let holder = self.config.name.clone();
        let lease = BlockLease {
            zone: "a".into(),
            holder,
            incarnation: Incarnation(BOOT),
            token,
            term: Term(3),
        };
        self.put(block_lease_key(&"a.0".into()), encode(&lease));
    }

    fn message(
        &mut self,
        machine: &str,
        token: FencingToken,
        tasks: &[(u64, TaskState, Option<Cause>)],
    ) -> Heartbeat {
        self.seq += 1;
        let task = TaskId {
            job: JobId(1),
            index: 0,
        };
        let of = |(number, state, cause): &(u64, TaskState, Option<Cause>)| TaskStatus {
            task,
            number: *number,
            state: *state,
            cause: *cause,
        };
        Heartbeat {
            machine: machine.into(),
            addr: "10.1.0.1:9000".to_owned(),
            type_name: "large".into(),
            zone: "a".into(),
            spot: false,
            agent_epoch: AgentEpoch(1),
            seq: self.seq,
            token,
            notice_s: None,
            tasks: tasks.iter().map(of).collect(),
        }
    }

    fn heartbeat(
        &mut self,
        machine: &str,
        token: FencingToken,
        tasks: &[(u64, TaskState, Option<Cause>)],
    ) -> HeartbeatResponse {
        let heartbeat = self.message(machine, token, tasks);
        self.fleet
            .handle_heartbeat(self.now, heartbeat, &self.config, &self.cache, true)
    }

    fn assignments(&mut self, number: u64, machine: &str, message: u64) {
        let task = TaskId {
            job: JobId(1),
            index: 0,
        };
        let lease_version = self.fleet.lease_version(&"a.0".into());
        let assignments = vec![Assignment {
            attempt: Attempt { task, number },
            machine: machine.into(),
        }];
        let work = work_of(lease_version, message, assignments);
        assert!(self.fleet.apply_assignments(work));
    }

    /// WriteAllowance and commits what is due. Returns where the attempts are then.
    fn write(&mut self) -> Vec<(String, u64)> {
        self.now.monotonic += LOOK_AGAIN;
        while let Some((block, op)) = self.fleet.write(
            self.now,
            &self.config,
            PLENTY,
            &mut self.cache,
            &self.catalog,
        ) {
            let StoreRequest::Commit(txn) = op else {
                panic!("{op:?}")
            };
            self.version += 1;
            for change in txn.changes {
                let crate::store::TransactionChange::Put { key, value, .. } = change else {
                    panic!("{change:?}")
                };
                self.cache.apply(Change {
                    key,
                    version: self.version,
                    value: Some(value),
                });
            }
            let lease_version = self.fleet.lease_version(&block);
            self.fleet.apply_write_outcome(
                self.now,
                &block,
                lease_version,
                &StoreResponse::Committed {
                    revision: self.version,
                },
            );
        }
        let placements = &self.fleet.blocks[&BlockId::from("a.0")].placements;
        placements
            .attempts()
            .map(|(machine, attempt)| (machine.to_string(), attempt.number))
            .collect()
    }

    fn tick(&mut self) {
        let policy = Policy::defaults(&self.config);
        self.fleet.tick(self.now, &self.config, &policy);
    }

    fn commands(&mut self) -> Vec<DirectCommand> {
        self.fleet
            .commands(self.now, &self.config, &self.cache, true)
    }

    fn answer(&mut self, command: &DirectCommand, outcome: CommandOutcome) {
        let (block, machine) = (command.block.clone(), command.machine.clone());
        self.fleet.apply_command_outcome(
            self.now,
            &block,
            &machine,
            &command.body,
            outcome,
            &self.cache,
        );
    }
}

impl Holder {
    fn cancel(&mut self) {
        self.put(
            job_key(JobId(1)),
            encode(&JobRecord::Cancelled(job(1, 1.0), self.now.unix_ms())),
        );
    }

    /// The orders that go out without a block lease that is known to last.
    fn unentitled(&mut self) -> Vec<WorkerCommand> {
        let commands = self
            .fleet
            .commands(self.now, &self.config, &self.cache, false);
        commands
            .into_iter()
            .flat_map(|command| command.body.commands)
            .collect()
    }
}

/// In an outage no block lease is known to last, while machines go on with tasks of jobs that were cancelled before it.
#[test]
fn a_cancelled_task_is_stopped_without_a_grant_that_lasts_and_nothing_else_is_done() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assignments(9, "m-1", 1);
    holder.write();
    assert_eq!(holder.unentitled(), [], "no launch");
    holder.tick();
    let command = holder.commands().remove(0);
    let running = [(9, TaskState::Running, None)];
    let shown = holder.message("m-1", FencingToken(4), &running);
    holder.answer(&command, CommandOutcome::Executed(shown));
    holder.now.monotonic += REVIEW_EVERY;
    holder.tick();
    assert_eq!(holder.unentitled(), []);
    // What the leader wants stopped to make room, which another leader may see otherwise by now.
    let attempt = Attempt {
        task: TaskId {
            job: JobId(1),
            index: 0,
        },
        number: 9,
    };
    let version = holder.fleet.lease_version(&"a.0".into());
    assert!(holder.fleet.apply_assignments(AssignmentUpdate {
        stop: vec![attempt],
        ..work_of(version, 2, Vec::new())
    }));
    assert_eq!(holder.unentitled(), []);
    holder.cancel();
    let stop = WorkerCommand::Stop {
        task: TaskId {
            job: JobId(1),
            index: 0,
        },
        number: 9,
        grace_s: 0.0,
    };
    assert_eq!(holder.unentitled(), [stop]);
    // The heartbeat is not answered, but what it says counts.
    let gone = holder.message(
        "m-1",
        FencingToken(4),
        &[(9, TaskState::Exited, Some(Cause::Stopped))],
    );
    let answer =
        holder
            .fleet
            .handle_heartbeat(holder.now, gone, &holder.config, &holder.cache, false);
    assert_eq!(answer, HeartbeatResponse::Unavailable);
    assert!(
        holder
            .fleet
            .proven_gone(&"a.0".into(), &"m-1".into(), &attempt)
    );
    assert!(
        !holder
            .fleet
            .proven_gone(&"a.1".into(), &"m-1".into(), &attempt),
        "not ours to say"
    );
}

/// Its launch was under way when the job was cancelled.
#[test]
fn a_task_that_appears_after_its_cancellation_is_stopped_at_once() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assignments(9, "m-1", 1);
    holder.write();
    let command = holder.commands().remove(0);
    holder.cancel();
    let shown = holder.message("m-1", FencingToken(4), &[(9, TaskState::Fetching, None)]);
    holder.answer(&command, CommandOutcome::Executed(shown));
    let commands: Vec<WorkerCommand> = holder
        .commands()
        .into_iter()
        .flat_map(|command| command.body.commands)
        .collect();
    assert!(
        matches!(commands[..], [WorkerCommand::Stop { number: 9, .. }]),
        "{commands:?}"
    );
}

/// A copy of an old heartbeat, or one that was held back until a new holder had acted, shows what was once so.
#[test]
fn a_heartbeat_that_is_older_than_the_last_proves_nothing() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assignments(9, "m-1", 1);
    let before = holder.message("m-1", FencingToken(4), &[]);
    holder.write();
    let command = holder.commands().remove(0);
    let shown = holder.message("m-1", FencingToken(4), &[(9, TaskState::Running, None)]);
    holder.answer(&command, CommandOutcome::Executed(shown));
    holder.cancel();
    let mut of_another_session = holder.message("m-1", FencingToken(4), &[]);
    of_another_session.agent_epoch = AgentEpoch(0);
    let attempt = Attempt {
        task: TaskId {
            job: JobId(1),
            index: 0,
        },
        number: 9,
    };
    for late in [before, of_another_session] {
        holder
            .fleet
            .handle_heartbeat(holder.now, late, &holder.config, &holder.cache, true);
        assert!(
            !holder
                .fleet
                .proven_gone(&"a.0".into(), &"m-1".into(), &attempt)
        );
    }
    let gone = holder.message("m-1", FencingToken(4), &[]);
    holder
        .fleet
        .handle_heartbeat(holder.now, gone, &holder.config, &holder.cache, true);
    assert!(
        holder
            .fleet
            .proven_gone(&"a.0".into(), &"m-1".into(), &attempt),
        "a newer one does"
    );
}

/// A placement is committed only if none of its jobs was cancelled before, whatever our copy says.
#[test]
fn a_placement_is_conditioned_on_its_jobs() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assignments(9, "m-1", 1);
    holder.now.monotonic += LOOK_AGAIN;
    let write = holder.fleet.write(
        holder.now,
        &holder.config,
        PLENTY,
        &mut holder.cache,
        &holder.catalog,
    );
    let Some((_, StoreRequest::Commit(txn))) = write else {
        panic!("{write:?}")
    };
    let version = holder.cache.open[&JobId(1)].version;
    assert!(
        txn.conditions.contains(&(job_key(JobId(1)), version)),
        "{:?}",
        txn.conditions
    );
}

fn work_of(lease_version: u64, number: u64, assignments: Vec<Assignment>) -> AssignmentUpdate {
    let (stop, addresses) = (Vec::new(), Vec::new());
    AssignmentUpdate {
        block: "a.0".into(),
        lease_version,
        number,
        last_status: 0,
        assignments,
        stop,
        addresses,
        watch: Vec::new(),
    }
}

fn launches(commands: &[DirectCommand]) -> usize {
    let commands = commands.iter().flat_map(|command| &command.body.commands);
    commands
        .filter(|command| matches!(command, WorkerCommand::Launch { .. }))
        .count()
}

#[test]
fn nothing_is_launched_before_it_is_recorded_nor_before_the_worker_has_shown_the_token() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assignments(9, "m-1", 1);
    assert_eq!(launches(&holder.commands()), 0, "not recorded yet");
    assert_eq!(holder.write(), [("m-1".to_owned(), 9)]);
    assert_eq!(launches(&holder.commands()), 1);

    let mut holder = Holder::new(job(1, 1.0));
    holder.assignments(9, "m-1", 1);
    holder.write();
    holder.lease(FencingToken(6));
    let raising = holder.commands();
    assert!(
        raising
            .iter()
            .all(|command| command.body.token == FencingToken(6))
            && launches(&raising) == 0
    );
    let shown = holder.message("m-1", FencingToken(6), &[]);
    let to_first = raising
        .iter()
        .find(|command| &*command.machine.0 == "m-1")
        .expect("raised")
        .clone();
    holder.answer(&to_first, CommandOutcome::Executed(shown));
    assert_eq!(launches(&holder.commands()), 1);
}

/// Found by a seeded run with zone cuts: see `tainted`.
#[test]
fn an_unanswered_launch_holds_back_reaping_and_the_next_attempt_until_a_new_token() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assignments(9, "m-1", 1);
    holder.write();
    let command = holder.commands().remove(0);
    holder.answer(&command, CommandOutcome::Unknown);
    let failed = [(9, TaskState::Exited, Some(Cause::Error))];
    holder.heartbeat("m-1", FencingToken(4), &failed);
    assert_eq!(holder.write(), []);
    let reaped = |answer: HeartbeatResponse| match answer {
        HeartbeatResponse::WorkerCommands(commands) => commands
            .commands
            .iter()
            .any(|command| matches!(command, WorkerCommand::Reap { .. })),
        other => panic!("{other:?}"),
    };
    assert!(
        !reaped(holder.heartbeat("m-1", FencingToken(4), &failed)),
        "the lost launch could start it again"
    );
    holder.assignments(10, "m-1", 2);
    assert_eq!(
        holder.write(),
        [("m-2".to_owned(), 10)],
        "away from the machine it was meant for"
    );
    holder.tick();
    holder.now.monotonic += RENEW_AFTER + Duration::from_secs(1);
    holder.tick();
    let policy = Policy::defaults(&holder.config);
    assert!(holder.fleet.status(holder.now, &policy)[0].token_renewal_required);
    holder.lease(FencingToken(6));
    assert!(reaped(holder.heartbeat("m-1", FencingToken(6), &failed)));
}

/// Found on the bench: blocks that the leader kept sending work to went first each time, and the ends of another
/// block's tasks were not recorded for over a minute.
#[test]
fn no_block_waits_for_others_that_have_more_to_write() {
    let mut holder = Holder::new(Job {
        tasks: 50,
        ..job(1, 0.1)
    });
    let entry = InventoryEntry {
        type_name: "large".into(),
        capacity_type: CapacityType::OnDemand,
        state: MachineState::InService,
        rented_s: 0,
    };
    let inventory = MachineInventory {
        zone: "a".into(),
        on: [("m-3".into(), entry)].into(),
    };
    holder.put(inventory_key(&"a.1".into()), encode(&inventory));
    let lease = BlockLease {
        zone: "a".into(),
        holder: holder.config.name.clone(),
        incarnation: Incarnation(BOOT),
        token: FencingToken(5),
        term: Term(3),
    };
    holder.put(block_lease_key(&"a.1".into()), encode(&lease));
    holder.heartbeat("m-3", FencingToken(5), &[]);
    // Each round brings new work for both, but only one write can be sent.
    let mut written: HashMap<BlockId, usize> = HashMap::new();
    for round in 0..8 {
        for (block, machine) in [("a.0", "m-1"), ("a.1", "m-3")] {
            let lease_version = holder.fleet.lease_version(&block.into());
            let index = round * 2 + u32::from(block == "a.1");
            let attempt = Attempt {
                task: TaskId {
                    job: JobId(1),
                    index,
                },
                number: u64::from(index) + 20,
            };
            let assignments = vec![Assignment {
                attempt,
                machine: machine.into(),
            }];
            let number = u64::from(round) + 1;
            let work = AssignmentUpdate {
                block: block.into(),
                ..work_of(lease_version, number, assignments)
            };
            assert!(holder.fleet.apply_assignments(work));
        }
        holder.now.monotonic += LOOK_AGAIN;
        let next = holder.fleet.write(
            holder.now,
            &holder.config,
            PLENTY,
            &mut holder.cache,
            &holder.catalog,
        );
        let (block, _) = next.expect("there is work");
        let lease_version = holder.fleet.lease_version(&block);
        *written.entry(block.clone()).or_default() += 1;
        holder.version += 1;
        let revision = holder.version;
        holder.fleet.apply_write_outcome(
            holder.now,
            &block,
            lease_version,
            &StoreResponse::Committed { revision },
        );
    }
    assert_eq!(written.values().min(), Some(&4), "{written:?}");
}

/// Reports arrive, but neither answers nor commands reach the machine: nothing more is placed there, and it is
/// given up although it is heard all the time.
#[test]
fn a_machine_that_reports_but_does_not_answer_is_noticed() {
    let mut holder = Holder::new(job(1, 1.0));
    let policy = Policy::defaults(&holder.config);
    holder.assignments(9, "m-1", 1);
    holder.write();
    let usable = |holder: &mut Holder| {
        let status = holder.fleet.status(holder.now, &policy).remove(0);
        status
            .machines
            .iter()
            .find(|m| &*m.machine.0 == "m-1")
            .map(|m| (m.usable, m.silent))
    };
    assert_eq!(usable(&mut holder), Some((true, false)));
    let command = holder.commands().remove(0);
    holder.answer(&command, CommandOutcome::Unknown);
    holder.heartbeat("m-1", FencingToken(4), &[]);
    assert_eq!(usable(&mut holder), Some((false, false)));
    let mut asked = 0;
    for _ in 0..20 {
        holder.now.monotonic += Duration::from_secs(1);
        holder.heartbeat("m-1", FencingToken(4), &[]);
        holder.heartbeat("m-2", FencingToken(4), &[]);
        holder.tick();
        for command in holder.commands() {
            asked += 1;
            holder.answer(&command, CommandOutcome::Unknown);
        }
    }
    assert!(asked > 2, "asked {asked} times");
    assert_eq!(usable(&mut holder), Some((false, true)));
    // An answer settles it, and all is as before.
    let shown = holder.message("m-1", FencingToken(4), &[]);
    holder.answer(&command, CommandOutcome::Executed(shown));
    assert_eq!(usable(&mut holder), Some((true, false)));
}

/// A launch was answered and its task stopped; then a copy of the launch comes. A worker that has been told to forget
/// the attempt would start it again beside the next one.
#[test]
fn an_attempt_that_could_be_launched_by_a_copy_is_remembered_until_a_new_token() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assignments(9, "m-1", 1);
    holder.write();
    let command = holder.commands().remove(0);
    let running = holder.message("m-1", FencingToken(4), &[(9, TaskState::Running, None)]);
    holder.answer(&command, CommandOutcome::Executed(running));
    let stopped = [(9, TaskState::Exited, Some(Cause::Stopped))];
    holder.heartbeat("m-1", FencingToken(4), &stopped);
    assert_eq!(holder.write(), []);
    let reaped = |answer: HeartbeatResponse| match answer {
        HeartbeatResponse::WorkerCommands(commands) => commands
            .commands
            .iter()
            .any(|command| matches!(command, WorkerCommand::Reap { .. })),
        other => panic!("{other:?}"),
    };
    assert!(!reaped(holder.heartbeat("m-1", FencingToken(4), &stopped)));
    holder.assignments(10, "m-1", 2);
    assert_eq!(
        holder.write(),
        [("m-2".to_owned(), 10)],
        "the worker keeps one attempt of a task in mind"
    );
    holder.tick();
    holder.now.monotonic += RENEW_AFTER * 2;
    holder.tick();
    let policy = Policy::defaults(&holder.config);
    assert!(
        !holder.fleet.status(holder.now, &policy)[0].token_renewal_required,
        "nothing waits for it"
    );
    holder.lease(FencingToken(6));
    assert!(reaped(holder.heartbeat("m-1", FencingToken(6), &stopped)));
    // What is done ends again at once, so it may be forgotten.
    let command = holder
        .commands()
        .into_iter()
        .find(|command| &*command.machine.0 == "m-2")
        .expect("raised");
    let running = holder.message("m-2", FencingToken(6), &[(10, TaskState::Running, None)]);
    holder.answer(&command, CommandOutcome::Executed(running));
    let done = [(10, TaskState::Exited, Some(Cause::Done))];
    holder.heartbeat("m-2", FencingToken(6), &done);
    holder.write();
    assert!(reaped(holder.heartbeat("m-2", FencingToken(6), &done)));
}

/// Else every task that ever ran on a machine would be kept in mind there, and be gone through for each placement.
#[test]
fn a_launch_is_forgotten_once_its_worker_has_forgotten_the_attempt() {
    let mut holder = Holder::new(job(1, 1.0));
    let remembered = |holder: &Holder| {
        holder.fleet.blocks[&BlockId::from("a.0")].workers[&"m-1".into()]
            .launched
            .len()
    };
    holder.assignments(9, "m-1", 1);
    holder.write();
    let command = holder.commands().remove(0);
    // Sent before the launch came.
    holder.heartbeat("m-1", FencingToken(4), &[]);
    assert_eq!(remembered(&holder), 1);
    let running = holder.message("m-1", FencingToken(4), &[(9, TaskState::Running, None)]);
    holder.answer(&command, CommandOutcome::Executed(running));
    holder.heartbeat(
        "m-1",
        FencingToken(4),
        &[(9, TaskState::Exited, Some(Cause::Done))],
    );
    holder.write();
    assert_eq!(remembered(&holder), 1, "not reaped yet");
    holder.heartbeat("m-1", FencingToken(4), &[]);
    assert_eq!(remembered(&holder), 0);
}

/// Found on the bench: a controller that lost the state service went on answering its workers for the life of its
/// block lease, the new holder knew none of their addresses and heard nothing, and they were given up with all on them.
#[test]
fn a_new_holder_raises_the_token_of_workers_that_it_was_told_of() {
    let mut holder = Holder::new(job(1, 1.0));
    let policy = Policy::defaults(&holder.config);
    holder.put(block_lease_key(&"a.0".into()), ciborium::Value::Null);
    holder.lease(FencingToken(6));
    assert_eq!(holder.commands(), [], "nothing is known of them");
    holder.now.monotonic += policy.unheard_after + Duration::from_secs(1);
    assert!(
        holder.fleet.status(holder.now, &policy)[0]
            .machines
            .iter()
            .all(|machine| !machine.silent)
    );
    let lease_version = holder.fleet.lease_version(&"a.0".into());
    let addresses = vec![("m-1".into(), "10.1.0.1:9000".to_owned())];
    assert!(holder.fleet.apply_assignments(AssignmentUpdate {
        addresses,
        ..work_of(lease_version, 1, Vec::new())
    }));
    let command = holder.commands().remove(0);
    assert_eq!(
        (
            command.body.token,
            command.body.agent_epoch,
            command.body.commands.len()
        ),
        (FencingToken(6), Some(AgentEpoch(1)), 0)
    );
    // Its session is another: it says so, and is asked again.
    let mut shown = holder.message("m-1", FencingToken(4), &[]);
    shown.agent_epoch = AgentEpoch(3);
    holder.answer(&command, CommandOutcome::Rejected(shown));
    let command = holder.commands().remove(0);
    assert_eq!(
        (command.body.token, command.body.agent_epoch),
        (FencingToken(6), Some(AgentEpoch(3)))
    );
}

/// Found on the bench: a controller that had stood still took all its workers for silent when it went on, and
/// machines that nothing was wrong with were deleted.
#[test]
fn time_in_which_a_holder_stood_still_is_no_silence_of_its_workers() {
    let mut holder = Holder::new(job(1, 1.0));
    let policy = Policy::defaults(&holder.config);
    let silent = |holder: &mut Holder| {
        holder.tick();
        let status = holder.fleet.status(holder.now, &policy).remove(0);
        status
            .machines
            .iter()
            .filter(|machine| machine.silent)
            .count()
    };
    let gap = policy.unheard_after * 2;
    holder.now.monotonic += gap;
    holder.fleet.process_paused(gap);
    assert_eq!(silent(&mut holder), 0);
    holder.now.monotonic += gap;
    assert_eq!(silent(&mut holder), 2);
}

/// A controller that takes over for others has something to tell every worker at once, and each command holds a
/// socket, for long if its worker does not answer.
#[test]
fn commands_under_way_are_bounded_and_those_without_answers_leave_room_for_others() {
    let mut holder = Holder::new(job(1, 1.0));
    let most = holder.config.max_sockets / COMMAND_SOCKET_DIVISOR;
    let entry = || InventoryEntry {
        type_name: "large".into(),
        capacity_type: CapacityType::OnDemand,
        state: MachineState::InService,
        rented_s: 0,
    };
    let names: Vec<String> = (0..most * 3).map(|n| format!("m-{n:06}")).collect();
    let on = names
        .iter()
        .map(|name| (name.as_str().into(), entry()))
        .collect();
    holder.put(
        inventory_key(&"a.0".into()),
        encode(&MachineInventory {
            zone: "a".into(),
            on,
        }),
    );
    for name in &names {
        holder.heartbeat(name, FencingToken(3), &[]);
    }
    let first = holder.commands();
    assert_eq!((first.len(), holder.commands().len()), (most, 0));
    for command in &first {
        holder.answer(command, CommandOutcome::Unknown);
    }
    holder.now.monotonic += PROBE_AGAIN * 2;
    holder.tick();
    let again: BTreeSet<MachineId> = holder
        .commands()
        .into_iter()
        .map(|command| command.machine)
        .collect();
    let deaf = first
        .iter()
        .filter(|command| again.contains(&command.machine))
        .count();
    assert_eq!((again.len(), deaf), (most, most / 2));
}

#[test]
fn a_task_missing_from_a_heartbeat_is_gone_only_if_unwanted_and_fenced() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assignments(9, "m-1", 1);
    holder.write();
    let command = holder.commands().remove(0);
    holder.heartbeat("m-1", FencingToken(4), &[]);
    assert_eq!(holder.write().len(), 1, "its launch is on its way");
    holder.put(
        job_key(JobId(1)),
        encode(&JobRecord::Cancelled(job(1, 1.0), 0)),
    );
    holder.heartbeat("m-1", FencingToken(4), &[]);
    assert_eq!(
        holder.write().len(),
        1,
        "cancelled, but the launch may still come"
    );
    let empty = holder.message("m-1", FencingToken(4), &[]);
    holder.answer(&command, CommandOutcome::Rejected(empty));
    assert_eq!(holder.write(), [], "refused: it never started");
}

/// Found by a search of seeds: a sight of a running task reset the count, and machines whose tasks fail after
/// running were never given up.
#[test]
fn a_machine_is_faulty_when_tasks_of_two_jobs_fail_there_though_they_ran() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.put(job_key(JobId(2)), encode(&JobRecord::Open(job(1, 1.0))));
    let policy = Policy::defaults(&holder.config);
    let mut errors = Vec::new();
    for (number, of) in [(9, 1), (10, 1), (11, 1), (12, 2)] {
        let attempt = Attempt {
            task: TaskId {
                job: JobId(of),
                index: 0,
            },
            number,
        };
        let lease_version = holder.fleet.lease_version(&"a.0".into());
        let assignments = vec![Assignment {
            attempt,
            machine: "m-1".into(),
        }];
        assert!(
            holder
                .fleet
                .apply_assignments(work_of(lease_version, number, assignments))
        );
        holder.write();
        for (state, cause) in [
            (TaskState::Running, None),
            (TaskState::Exited, Some(Cause::Error)),
        ] {
            let mut heartbeat = holder.message("m-1", FencingToken(4), &[(number, state, cause)]);
            heartbeat.tasks[0].task = attempt.task;
            holder.fleet.handle_heartbeat(
                holder.now,
                heartbeat,
                &holder.config,
                &holder.cache,
                true,
            );
        }
        holder.write();
        errors.push(holder.fleet.status(holder.now, &policy)[0].machines[0].errors);
    }
    assert_eq!(errors, [1, 2, 2, 4]);
}

#[test]
fn a_heartbeat_with_a_higher_token_or_an_old_block_lease_is_not_answered_with_commands() {
    let mut holder = Holder::new(job(1, 1.0));
    assert_eq!(
        holder.heartbeat("m-1", FencingToken(5), &[]),
        HeartbeatResponse::Redirect(None)
    );
    let heartbeat = holder.message("m-1", FencingToken(4), &[]);
    let answer =
        holder
            .fleet
            .handle_heartbeat(holder.now, heartbeat, &holder.config, &holder.cache, false);
    assert_eq!(answer, HeartbeatResponse::Unavailable);
}

/// Found on the bench: each end was recorded by itself as it came, and starts waited up to two seconds for a write.
#[test]
fn ends_gather_while_writes_are_scarce() {
    let mut holder = Holder::new(Job {
        tasks: 3,
        ..job(1, 0.1)
    });
    holder.assignments(20, "m-1", 1);
    assert_eq!(holder.write().len(), 1);
    holder.heartbeat(
        "m-1",
        FencingToken(4),
        &[(20, TaskState::Exited, Some(Cause::Done))],
    );
    let scarce = WriteAllowance {
        ample: false,
        ..PLENTY
    };
    let mut next = |writes: WriteAllowance, after: Duration| {
        holder.now.monotonic += after;
        let Holder {
            fleet,
            now,
            config,
            cache,
            catalog,
            ..
        } = &mut holder;
        fleet.write(*now, config, writes, cache, catalog).is_some()
    };
    assert!(!next(scarce, LOOK_AGAIN), "it has just written");
    assert!(next(scarce, Duration::from_secs(1)), "but not for long");
}

#[test]
fn ends_are_recorded_at_once_while_there_are_writes_in_plenty_or_starts_to_record() {
    for starts in [false, true] {
        let mut holder = Holder::new(Job {
            tasks: 3,
            ..job(1, 0.1)
        });
        holder.assignments(20, "m-1", 1);
        assert_eq!(holder.write().len(), 1);
        holder.heartbeat(
            "m-1",
            FencingToken(4),
            &[(20, TaskState::Exited, Some(Cause::Done))],
        );
        if starts {
            holder.assignments(21, "m-2", 2);
        }
        holder.now.monotonic += LOOK_AGAIN;
        let writes = WriteAllowance {
            ample: !starts,
            ..PLENTY
        };
        let write = holder.fleet.write(
            holder.now,
            &holder.config,
            writes,
            &mut holder.cache,
            &holder.catalog,
        );
        assert!(write.is_some(), "starts: {starts}");
    }
}

/// A transaction whose answer was lost can still be carried out, whatever becomes of the one after it: as long as that is
/// so, the leader must not release its tasks again.
#[test]
fn a_placement_of_unknown_outcome_stays_pending_when_the_next_write_is_refused() {
    let mut holder = Holder::new(job(1, 1.0));
    holder.assignments(20, "m-1", 1);
    let write = |holder: &mut Holder, outcome: StoreResponse| {
        holder.now.monotonic += Duration::from_secs(1);
        holder.cache.assume_fresh(holder.now.monotonic);
        let Holder {
            fleet,
            now,
            config,
            cache,
            catalog,
            ..
        } = holder;
        let (block, _) = fleet
            .write(*now, config, PLENTY, cache, catalog)
            .expect("something to write");
        let lease_version = fleet.lease_version(&block);
        fleet.apply_write_outcome(*now, &block, lease_version, &outcome);
    };
    let policy = Policy::defaults(&holder.config);
    write(&mut holder, StoreResponse::Unknown);
    // The leader takes the release back.
    let lease_version = holder.fleet.lease_version(&"a.0".into());
    assert!(
        holder
            .fleet
            .apply_assignments(work_of(lease_version, 2, Vec::new()))
    );
    for outcome in [
        StoreResponse::Refused,
        StoreResponse::Conflict,
        StoreResponse::Refused,
    ] {
        write(&mut holder, outcome);
        let status = holder.fleet.status(holder.now, &policy).remove(0);
        assert_eq!(status.pending, [20]);
    }
    // The next one that is carried out decides it.
    let revision = holder.version + 1;
    write(&mut holder, StoreResponse::Committed { revision });
    let status = holder.fleet.status(holder.now, &policy).remove(0);
    assert_eq!(status.pending, [] as [u64; 0]);
}
