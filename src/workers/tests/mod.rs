//! Tests of the worker fleet through its interface to the leader, the workers and the state service.

mod commands;
mod heartbeats;
mod liveness;
mod placement_writes;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::block::{TOKEN_RENEWAL_DELAY, WRITE_CHECK_INTERVAL};
use super::wire::{ExitCause, TaskStatus, WorkerCommand};
use super::worker::PROBE_INTERVAL;
use super::*;
use crate::cloud::wire::InstanceTypeList;
use crate::cloud::wire::tests::instance_type;
use crate::config::tests::SETTINGS;
use crate::domain::{
    AgentEpoch, Attempt, CapacityType, FencingToken, Incarnation, Job, JobId, Term,
};
use crate::peer::Assignment;
use crate::placement::tests::job;
use crate::store::records::{
    BlockLease, InventoryEntry, JobRecord, MachineInventory, MachineState, block_lease_key, encode,
    inventory_key, job_key, json_size, placements_fence_key,
};
use crate::store::tests::StoredKeys;
use crate::store::{Transaction, TransactionChange};

const INCARNATION: Incarnation = Incarnation(7);

const SPARE_WRITES: WriteAllowance = WriteAllowance {
    max_changes: 16,
    has_spare_writes: true,
};

/// A holder of blocks with its configuration, its cached records and a simulated clock.
struct Holder {
    config: Config,
    catalog: InstanceCatalog,
    cache: WatchCache,
    fleet: WorkerFleet,
    now: Now,
    keys: StoredKeys,
    sequence_number: u64,
}

impl Holder {
    /// Creates the holder of block `a.0` under token 4, with the machines `m-1` and `m-2` whose workers have confirmed
    /// the token, and with job 1.
    fn new(job: Job) -> Self {
        let config = Config::parse("s.toml", SETTINGS).expect("the settings must be valid");
        let mut catalog = InstanceCatalog::default();
        catalog.handle_response(Some(InstanceTypeList {
            types: vec![instance_type()],
        }));
        let (cache, fleet) = (WatchCache::loaded_for_tests(), WorkerFleet::new());
        let mut holder = Holder {
            config,
            catalog,
            cache,
            fleet,
            now: Now::read(),
            keys: StoredKeys::default(),
            sequence_number: 0,
        };
        holder.put_inventory("a.0", &["m-1", "m-2"]);
        holder.put_record(job_key(JobId(1)), encode(&JobRecord::Open(job)));
        holder.grant_lease(FencingToken(4));
        holder.send_heartbeat("m-1", FencingToken(4), &[]);
        holder.send_heartbeat("m-2", FencingToken(4), &[]);
        holder
    }

    fn put_record(&mut self, key: String, value: ciborium::Value) {
        self.keys.set(&mut self.cache, key, Some(value));
        self.sync();
    }

    /// Writes an inventory with these machines for the block.
    fn put_inventory(&mut self, block: &str, machines: &[&str]) {
        let entry = InventoryEntry {
            type_name: "large".into(),
            capacity_type: CapacityType::OnDemand,
            state: MachineState::InService,
            rented_s: 0,
        };
        let on = machines
            .iter()
            .map(|machine| ((*machine).into(), entry.clone()));
        let inventory = MachineInventory {
            zone: "a".into(),
            machines: on.collect(),
        };
        self.put_record(inventory_key(&block.into()), encode(&inventory));
    }

    fn sync(&mut self) {
        let changed = self.cache.take_changed();
        self.fleet
            .sync(self.now, &self.config, INCARNATION, &self.cache, &changed);
    }

    /// Leases block `a.0` to the holder under this token.
    fn grant_lease(&mut self, token: FencingToken) {
        self.grant_block_lease("a.0", token);
    }

    fn grant_block_lease(&mut self, block: &str, token: FencingToken) {
        let holder = self.config.name.clone();
        let lease = BlockLease {
            zone: "a".into(),
            holder,
            incarnation: INCARNATION,
            token,
            term: Term(3),
        };
        self.put_record(block_lease_key(&block.into()), encode(&lease));
    }

    fn build_heartbeat(
        &mut self,
        machine: &str,
        token: FencingToken,
        tasks: &[(u64, TaskState, Option<ExitCause>)],
    ) -> Heartbeat {
        self.sequence_number += 1;
        let task = first_task();
        let task_status =
            |(number, state, cause): &(u64, TaskState, Option<ExitCause>)| TaskStatus {
                task,
                wire_number: *number,
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
            sequence_number: self.sequence_number,
            token,
            termination_notice_s: None,
            tasks: tasks.iter().map(task_status).collect(),
        }
    }

    fn send_heartbeat(
        &mut self,
        machine: &str,
        token: FencingToken,
        tasks: &[(u64, TaskState, Option<ExitCause>)],
    ) -> HeartbeatResponse {
        let heartbeat = self.build_heartbeat(machine, token, tasks);
        self.fleet
            .handle_heartbeat(self.now, heartbeat, &self.config, &self.cache, true)
    }

    fn assign_task(&mut self, number: u64, machine: &str, sequence_number: u64) {
        let assignments = vec![Assignment {
            attempt: first_attempt(number),
            machine: machine.into(),
        }];
        self.assign(assignments, sequence_number);
    }

    fn assign(&mut self, assignments: Vec<Assignment>, sequence_number: u64) {
        let lease_version = self.fleet.lease_version(&"a.0".into());
        let update = assignment_update(lease_version, sequence_number, assignments);
        assert!(self.fleet.apply_assignments(update));
    }

    /// Whether the state service refuses the transaction as too large.
    fn exceeds_limits(&self, txn: &Transaction) -> bool {
        let limits = &self.config.state_limits;
        let is_too_large = |change: &TransactionChange| matches!(change, TransactionChange::Put { value, .. } if json_size(value) > limits.value_bytes);
        txn.changes.len() > limits.txn_ops || txn.changes.iter().any(is_too_large)
    }

    /// Prepares the next transaction, if one is due.
    fn next_transaction(&mut self) -> Option<(BlockId, Transaction)> {
        let (block, request) = self.fleet.next_transaction(
            self.now,
            &self.config,
            SPARE_WRITES,
            &mut self.cache,
            &self.catalog,
        )?;
        let StoreRequest::Commit(txn) = request else {
            panic!("the request must be a transaction: {request:?}")
        };
        Some((block, txn))
    }

    /// Prepares and commits all due transactions. Returns the attempts that are recorded afterwards, with their machines.
    fn commit_due_writes(&mut self) -> Vec<(String, u64)> {
        self.now.monotonic += WRITE_CHECK_INTERVAL;
        while let Some((block, txn)) = self.next_transaction() {
            assert!(deletes_only_with_fence(&block, &txn), "{:?}", txn.changes);
            let is_too_large = self.exceeds_limits(&txn);
            let outcome = if is_too_large {
                StoreResponse::Invalid
            } else {
                self.keys.execute(&mut self.cache, &txn)
            };
            assert_ne!(outcome, StoreResponse::Conflict, "{:?}", txn.conditions);
            let lease_version = self.fleet.lease_version(&block);
            self.fleet
                .apply_write_outcome(self.now, &block, lease_version, &outcome);
            if is_too_large {
                break;
            }
        }
        let recorded = &self.fleet.blocks[&BlockId::from("a.0")].recorded;
        recorded
            .attempts()
            .map(|(machine, attempt)| (machine.to_string(), attempt.number))
            .collect()
    }

    fn tick(&mut self) {
        let policy = Policy::built_in(&self.config);
        self.fleet.tick(self.now, &self.config, &policy);
    }

    fn direct_commands(&mut self) -> Vec<DirectCommand> {
        self.fleet
            .prepare_direct_commands(self.now, &self.config, &self.cache, true)
    }

    fn apply_command_outcome(&mut self, command: &DirectCommand, outcome: CommandOutcome) {
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

    fn cancel_job(&mut self) {
        self.put_record(
            job_key(JobId(1)),
            encode(&JobRecord::Cancelled(job(1, 1.0), self.now.unix_ms())),
        );
    }

    /// Returns the commands that are prepared without a block lease that is known to be valid.
    fn commands_without_lease(&mut self) -> Vec<WorkerCommand> {
        let commands =
            self.fleet
                .prepare_direct_commands(self.now, &self.config, &self.cache, false);
        commands
            .into_iter()
            .flat_map(|command| command.body.commands)
            .collect()
    }
}

/// Whether the transaction deletes nothing, or writes the fence of the block's placements.
fn deletes_only_with_fence(block: &BlockId, txn: &Transaction) -> bool {
    let is_deletion =
        |change: &TransactionChange| matches!(change, TransactionChange::Delete { .. });
    let fence_key = placements_fence_key(block);
    let is_fence = |change: &TransactionChange| matches!(change, TransactionChange::Put { key, .. } if *key == fence_key);
    !txn.changes.iter().any(is_deletion) || txn.changes.iter().any(is_fence)
}

fn assignment_update(
    lease_version: u64,
    sequence_number: u64,
    assignments: Vec<Assignment>,
) -> AssignmentUpdate {
    let (stop, addresses) = (Vec::new(), Vec::new());
    AssignmentUpdate {
        block: "a.0".into(),
        lease_version,
        sequence_number,
        last_status: 0,
        assignments,
        attempts_to_stop: stop,
        addresses,
        watched_attempts: Vec::new(),
    }
}

/// Returns the first task of job 1.
fn first_task() -> TaskId {
    TaskId {
        job: JobId(1),
        index: 0,
    }
}

/// Returns an attempt of the first task of job 1.
fn first_attempt(number: u64) -> Attempt {
    Attempt {
        task: first_task(),
        number,
    }
}
