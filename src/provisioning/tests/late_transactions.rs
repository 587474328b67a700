//! Transactions of the provisioner that get no response and are executed after newer ones.

use super::*;
use crate::cloud::CloudResponse;
use crate::domain::{AgentEpoch, FencingToken};
use crate::store::records::pending_rental_key;
use crate::workers::wire::Heartbeat;

/// The interval between two rounds of the provisioner. Longer than every retry delay.
const ROUND: Duration = Duration::from_secs(3);
/// Rounds after which the provisioner must have carried out what it could not confirm.
const MAX_ROUNDS: usize = 5;

/// A provisioner with the records that its transactions change.
struct ProvisionerFixture {
    fixture: LeaderFixture,
    records: Records,
    provisioner: Provisioner,
    now: Now,
    demand: Demand,
}

impl ProvisionerFixture {
    fn new() -> Self {
        let now = Now::read();
        ProvisionerFixture {
            fixture: LeaderFixture::new(config()),
            records: Records::new(),
            provisioner: Provisioner::new(now, Term(1)),
            now,
            demand: Demand::default(),
        }
    }

    /// Records that a block of zone `a` has these machines.
    fn set_inventory(&mut self, number: usize, machines: &[&str]) {
        let rented_s = self.now.unix_ms() / 1000;
        let machine = |id: &&str| (MachineId::from(*id), entry(CapacityType::Spot, rented_s));
        let inventory = MachineInventory {
            zone: "a".into(),
            machines: machines.iter().map(machine).collect(),
        };
        let key = inventory_key(&block_leases::block_id(&"a".into(), number));
        self.records.set(key, Some(encode(&inventory)));
    }

    /// A heartbeat of a machine arrives that is not recorded.
    fn observe_unrecorded(&mut self, id: &str) {
        let heartbeat = Heartbeat {
            machine: id.into(),
            addr: "10.0.0.9:9000".into(),
            type_name: "large".into(),
            zone: "a".into(),
            spot: true,
            agent_epoch: AgentEpoch(1),
            sequence_number: 1,
            token: FencingToken(0),
            termination_notice_s: None,
            tasks: Vec::new(),
        };
        self.provisioner
            .observe_unrecorded_machine(self.now, &heartbeat);
    }

    /// Returns the transaction of the next round, for which the cache is current.
    fn next_transaction(&mut self) -> Option<Transaction> {
        self.now.monotonic += ROUND;
        let cache = &mut self.records.cache;
        cache.revision = self.records.keys.revision;
        cache.set_current_as_of(self.now.monotonic);
        let leader = self.fixture.leader(16);
        let request = self
            .provisioner
            .next_transaction(self.now, &leader, cache, &self.demand)?;
        let StoreRequest::Commit(txn) = request else {
            panic!("not a transaction: {request:?}");
        };
        Some(txn)
    }

    /// Sends the transaction of the next round, if there is one, and executes it at once.
    fn run_round(&mut self) {
        if let Some(txn) = self.next_transaction() {
            let response = self.records.execute(&txn);
            self.provisioner.handle_store_response(self.now, &response);
        }
    }

    /// Sends the transaction of the next round, which gets no response and is not executed yet.
    fn send_unanswered(&mut self) -> Transaction {
        let txn = self
            .next_transaction()
            .expect("there is something to write");
        self.provisioner
            .handle_store_response(self.now, &StoreResponse::Unknown);
        txn
    }

    /// Observes the machines. The cloud confirms the termination of those that have failed. Returns them.
    fn terminate_failed_machines(&mut self) -> Vec<String> {
        self.now.monotonic += ROUND;
        let cache = &mut self.records.cache;
        cache.set_current_as_of(self.now.monotonic);
        let LeaderFixture { config, policy, .. } = &self.fixture;
        let leader = self.fixture.leader(16);
        let (health, zones) = (BTreeMap::new(), BTreeSet::new());
        self.provisioner
            .observe(self.now, &leader, cache, &health, &zones, |_, _| false);
        let requests = self
            .provisioner
            .cloud_requests(self.now, config, cache, &self.demand);
        let mut terminated = Vec::new();
        for (purpose, _) in requests {
            if let CloudRequestPurpose::Terminate(machines) = &purpose {
                terminated.extend(machines.iter().map(|id| id.0.to_string()));
                self.provisioner.handle_cloud_response(
                    self.now,
                    policy,
                    config,
                    cache,
                    purpose,
                    CloudResponse::Terminated,
                );
            }
        }
        terminated
    }

    /// The inventories that contain a machine.
    fn blocks_with(&self, id: &str) -> Vec<&BlockId> {
        let inventories = self.records.cache.inventories.iter();
        inventories
            .filter(|(_, inventory)| inventory.value.machines.contains_key(&id.into()))
            .map(|(block, _)| block)
            .collect()
    }
}

/// Guards against a machine in two blocks: the tasks that one of them runs there count as ended and run twice.
#[test]
fn a_machine_whose_first_record_is_written_late_is_not_recorded_in_two_blocks() {
    let mut fixture = ProvisionerFixture::new();
    fixture.set_inventory(0, &["m-1"]);
    fixture.set_inventory(1, &["m-2", "m-3"]);
    fixture.observe_unrecorded("m-4");
    let unanswered = fixture.send_unanswered();
    // From now on another block is the least filled one.
    fixture.set_inventory(1, &[]);
    for _ in 0..MAX_ROUNDS {
        fixture.observe_unrecorded("m-4");
        fixture.run_round();
    }
    assert_eq!(fixture.blocks_with("m-4").len(), 1, "recorded by a retry");
    assert_eq!(
        fixture.records.execute(&unanswered),
        StoreResponse::Conflict
    );
    assert_eq!(fixture.blocks_with("m-4").len(), 1);
}

/// Guards against renting the same capacity twice: after a fulfilled rental its record is gone, as before the first one.
#[test]
fn a_rental_that_is_recorded_late_is_not_carried_out_after_its_replacement_was_fulfilled() {
    let mut fixture = ProvisionerFixture::new();
    let pool = MachinePool::new("large".into(), CapacityType::Spot);
    fixture.demand.machines = [(pool, 10.0)].into();
    let unanswered = fixture.send_unanswered();
    let type_name = InstanceTypeName::from("large");
    for _ in 0..MAX_ROUNDS {
        fixture.run_round();
    }
    assert!(
        fixture
            .records
            .cache
            .pending_rentals
            .contains_key(&type_name),
        "recorded by a retry"
    );
    fixture.records.set(pending_rental_key(&type_name), None);
    assert_eq!(
        fixture.records.execute(&unanswered),
        StoreResponse::Conflict
    );
}

/// Guards against a machine that stays in two blocks, as an earlier version may have recorded it: each holder stops the
/// tasks of the other one, and none of these is proven ended.
#[test]
fn a_machine_in_two_blocks_is_terminated_and_removed_from_both() {
    let mut fixture = ProvisionerFixture::new();
    fixture.set_inventory(0, &["m-1"]);
    fixture.set_inventory(1, &["m-1"]);
    assert_eq!(fixture.terminate_failed_machines(), ["m-1"]);
    assert_eq!(fixture.blocks_with("m-1").len(), 2, "not confirmed yet");
    for _ in 0..MAX_ROUNDS {
        fixture.run_round();
    }
    assert_eq!(fixture.blocks_with("m-1"), [] as [&BlockId; 0]);
    assert!(fixture.records.cache.machines.is_empty());
}
