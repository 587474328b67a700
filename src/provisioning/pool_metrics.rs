//! Metrics and log lines about the provisioner's pools.

use std::collections::BTreeMap;

use tracing::info;

use super::{Demand, MachinePool, Provisioner};
use crate::domain::MachineId;
use crate::store::WatchCache;
use crate::store::records::MachineState;

impl Provisioner {
    /// Logs one line for each pool and sets the gauges for the numbers of its machines.
    pub fn report_pool_metrics(
        &self,
        cache: &WatchCache,
        demand: &Demand,
        gauges: &mut BTreeMap<String, f64>,
    ) {
        for (pool, machines) in self.capacity_by_pool(cache) {
            let is_in_pool = |id: &MachineId| {
                cache
                    .machines
                    .get(id)
                    .is_some_and(|m| pool.contains(&m.type_name, m.capacity_type))
            };
            let up = self.machines.up().filter(|id| is_in_pool(id)).count();
            let idle = self
                .machines
                .idle()
                .filter(|id| is_in_pool(id) && self.machines.is_up(id))
                .count();
            let returning = cache
                .machines
                .iter()
                .filter(|(id, m)| m.state == MachineState::Returning && is_in_pool(id))
                .count();
            let MachinePool {
                type_name,
                capacity_type,
            } = &pool;
            let demand = demand.for_pool(&pool);
            info!(%type_name, ?capacity_type, machines, up, idle, returning, demand, "pool capacity");
            for (state, count) in [
                ("all", f64::from(machines)),
                ("up", up as f64),
                ("idle", idle as f64),
            ] {
                gauges.insert(
                    format!(
                        "machines{{type=\"{type_name}\",capacity_type=\"{capacity_type:?}\",state=\"{state}\"}}"
                    ),
                    count,
                );
            }
        }
    }

    /// Counts the machines of each pool, up or requested, without failed and overdue ones.
    #[must_use]
    pub fn capacity_by_pool(&self, cache: &WatchCache) -> BTreeMap<MachinePool, u32> {
        let mut counts = BTreeMap::new();
        for (id, machine) in &cache.machines {
            if machine.state.takes_tasks() && self.machines.counts_as_capacity(id) {
                let pool = MachinePool::new(machine.type_name.clone(), machine.capacity_type);
                *counts.entry(pool).or_default() += 1;
            }
        }
        counts
    }
}
