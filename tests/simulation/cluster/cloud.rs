//! The simulated cloud: instance types, rentals, deletions and lists of machines.

use dappleshore::cloud::wire::ScaleOutRequest;
use dappleshore::domain::MachineId;

use super::*;

/// How machines boot that are rented while these faults last.
#[derive(Debug, Clone, Copy)]
pub struct BootFaults {
    /// The share of machines that never boot.
    pub failure_rate: f64,
    /// How many times as long as usual the others take to boot.
    pub slowdown: f64,
}

/// The instance types of the cloud: one small and one large.
pub(super) fn instance_types() -> InstanceTypeList {
    let instance_type = |name: &str, cpus: f64, price: f64| InstanceType {
        name: name.into(),
        cpus: Amount(cpus),
        gpus: Amount(0.0),
        memory_gb: Amount(cpus * 4.0),
        cache_gb: Amount(20.0),
        fetch_gb_per_s: Amount(0.5),
        price: Amount(price),
        spot_price: Amount(price / 4.0),
        boot_s: Amount(6.0),
        zones: vec!["a".into(), "b".into(), "c".into()],
    };
    InstanceTypeList {
        types: vec![
            instance_type("small", 4.0, 0.3),
            instance_type("large", 16.0, 1.3),
        ],
    }
}

/// How long after its rental a machine is missing from the list.
const LIST_LAG: Duration = Duration::from_secs(8);

impl SimulatedCluster {
    /// Handles a request to the cloud. Refuses it in an outage.
    pub(super) fn handle_cloud_request(&mut self, request: &CloudRequest) -> CloudResponse {
        if self.now < self.cloud_unavailable_until {
            return CloudResponse::Refused;
        }
        match request {
            CloudRequest::ListInstanceTypes => CloudResponse::InstanceTypes(instance_types()),
            CloudRequest::ScaleOut(request) => self.rent_machines(request),
            CloudRequest::Terminate(names) => {
                self.delete_machines(names);
                CloudResponse::Terminated
            }
            CloudRequest::ListMachines { after } => {
                CloudResponse::Machines(self.list_machines(after))
            }
        }
    }

    /// Rents up to the requested number of machines, as far as the zone has them. A repeated request returns the same
    /// machines.
    fn rent_machines(&mut self, request: &ScaleOutRequest) -> CloudResponse {
        let machine_names = |names: &[String]| MachineIds {
            machines: names.iter().map(|name| name.as_str().into()).collect(),
        };
        if let Some(names) = self.rental_requests.get(&request.request) {
            return CloudResponse::ScaledOut(machine_names(names));
        }
        let capacity_type = CapacityType::from_spot(request.spot);
        let is_same_kind = |machine: &&Machine| {
            machine.type_name == request.type_name
                && machine.zone == request.zone
                && machine.capacity_type == capacity_type
        };
        let stock = self.size.stock[usize::from(&*request.type_name.0 != "small")];
        let available = stock.saturating_sub(self.machines.values().filter(is_same_kind).count());
        let count = available.min(request.count as usize);
        if count == 0 {
            return CloudResponse::NoCapacity;
        }
        let names: Vec<String> = (0..count)
            .map(|_| self.rent_machine(&request.type_name.0, &request.zone.0, capacity_type))
            .collect();
        let rented = machine_names(&names);
        self.rental_requests.insert(request.request.clone(), names);
        CloudResponse::ScaledOut(rented)
    }

    /// Deletes machines, which ends their tasks.
    fn delete_machines(&mut self, names: &MachineIds) {
        for name in &names.machines {
            let Some(mut machine) = self.machines.remove(&*name.0) else {
                continue;
            };
            self.running_machines_deleted += usize::from(machine.runs(self.now));
            for event in machine.lose_all_tasks() {
                if let MachineEvent::Ended(task, done) = event {
                    self.rules.task_ended(task, &name.0, done);
                }
            }
        }
    }

    /// The machines after this one that were rented at least `LIST_LAG` ago.
    fn list_machines(&self, after: &Option<MachineId>) -> MachineList {
        let after = after.as_ref().map_or("", |id| &*id.0);
        let machines = self
            .machines
            .values()
            .filter(|machine| *machine.id > *after && self.now > machine.rented + LIST_LAG)
            .map(|machine| ListedMachine {
                id: machine.id.as_str().into(),
                addr: Some(machine.addr()),
                type_name: machine.type_name.clone(),
                zone: machine.zone.clone(),
                spot: machine.capacity_type.is_spot(),
                state: if machine.up {
                    ListedState::Running
                } else {
                    ListedState::Booting
                },
                age_s: Amount((self.now - machine.rented).as_secs_f64()),
            });
        MachineList {
            machines: machines.collect(),
            more: false,
        }
    }

    /// Rents a small spot machine that no controller expects, as a late rental request does.
    pub fn rent_unexpected_machine(&mut self, zone: &str) {
        self.rent_machine("small", zone, CapacityType::Spot);
    }

    /// Rents one machine, which may never boot.
    fn rent_machine(&mut self, type_name: &str, zone: &str, capacity_type: CapacityType) -> String {
        self.rented += 1;
        self.most_machines = self.most_machines.max(self.machines.len() + 1);
        self.next_machine += 1;
        let id = format!("m-{:06}", self.next_machine);
        let BootFaults {
            failure_rate,
            slowdown,
        } = self.boot_faults.unwrap_or(BootFaults {
            failure_rate: 0.03,
            slowdown: 1.0,
        });
        let boot_time = Duration::from_secs_f64(self.rng.random_range(0.5..10.0) * slowdown);
        let never_boots = self.rng.random_bool(failure_rate);
        let faulty =
            self.now < self.faults_end && self.rng.random_bool(self.faults.faulty_machines);
        let cpus = if type_name == "small" { 4.0 } else { 16.0 };
        let machine = Machine {
            id: id.clone(),
            type_name: type_name.into(),
            zone: zone.into(),
            capacity_type,
            size: Resources {
                cpus,
                gpus: 0.0,
                memory_gb: cpus * 4.0,
            },
            rented: self.now,
            up_at: (!never_boots).then(|| self.now + boot_time),
            up: false,
            dead: false,
            hung_until: None,
            responses_blocked_until: Duration::ZERO,
            heartbeats_blocked_until: Duration::ZERO,
            terminates_at: None,
            faulty,
            agent_epoch: AgentEpoch(1),
            sequence_number: 0,
            token: FencingToken(0),
            lease_renewed_at: self.now + boot_time,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            controller: self.rng.random_range(0..CONTROLLERS),
            heartbeat: None,
            next_heartbeat: self.now + boot_time,
            last_heartbeat: Duration::ZERO,
            changed: false,
            backlog: Vec::new(),
        };
        self.machines.insert(id.clone(), machine);
        id
    }
}
