//! The controller as a holder of blocks: heartbeats of workers, commands to workers, and writes of placements.

use super::{Controller, Effect, StoreTag};
use crate::domain::Now;
use crate::job_api::RequestId;
use crate::store::rate_limiter::RequestPriority;
use crate::workers::WriteAllowance;
use crate::workers::wire::Heartbeat;

impl Controller {
    /// Responds to a worker's heartbeat. A machine that is not in the inventory is reported to the provisioner.
    pub(super) fn handle_worker_heartbeat(
        &mut self,
        now: Now,
        id: RequestId,
        heartbeat: Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let authority_until = self.authority_until(now);
        let authorized = now.monotonic < authority_until;
        if !self.cache.machines.contains_key(&heartbeat.machine)
            && let Some(state) = &mut self.leader_state
        {
            state
                .provisioner
                .observe_unrecorded_machine(now, &heartbeat);
        }
        let response = self.worker_fleet.handle_heartbeat(
            now,
            heartbeat,
            &self.config,
            &self.cache,
            authorized,
        );
        self.reports.request_status();
        effects.push(Effect::RespondToWorker {
            id,
            response,
            authority_until,
        });
    }

    /// Writes placements of blocks while the state service's rate limit allows. Each request is sent before the next
    /// one is built, since the remaining rate determines the size of the next one.
    pub(super) fn write_placements(&mut self, now: Now, effects: &mut Vec<Effect>) {
        while self
            .rate_limiter
            .can_send_now(now, RequestPriority::Placement)
            && let allowance = self.write_allowance(now)
            && let Some((block, request)) = self.worker_fleet.next_transaction(
                now,
                &self.config,
                allowance,
                &mut self.cache,
                &self.catalog,
            )
        {
            let lease_version = self.worker_fleet.lease_version(&block);
            let tag = StoreTag::Block {
                block,
                lease_version,
            };
            self.push_store_request(RequestPriority::Placement, tag, request);
            self.send_store_requests(now, effects);
        }
    }

    /// The writes that the rate limit currently allows this holder.
    fn write_allowance(&mut self, now: Now) -> WriteAllowance {
        WriteAllowance {
            max_changes: self
                .rate_limiter
                .max_deferrable_batch(self.config.state_limits.txn_ops),
            has_spare_writes: self.rate_limiter.has_spare_writes(now),
        }
    }

    /// Sends the commands that can't wait for the workers' next heartbeats.
    pub(super) fn send_worker_commands(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let authority_until = self.authority_until(now);
        let authorized = now.monotonic < authority_until;
        let commands =
            self.worker_fleet
                .prepare_direct_commands(now, &self.config, &self.cache, authorized);
        let authority_until = authorized.then_some(authority_until);
        effects.extend(commands.into_iter().map(|command| Effect::Command {
            command,
            authority_until,
        }));
    }
}
