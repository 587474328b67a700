//! Requests of operators: the leader handles them, any other controller responds with the leader's address.

use super::leader_round::leader_context;
use super::{Controller, Effect, StoreTag};
use crate::domain::{ControllerName, Now};
use crate::operations;
use crate::store::rate_limiter::RequestPriority;

impl Controller {
    /// Responds to pending requests of operators, as far as the responses are available.
    pub(super) fn respond_to_operators(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if self.operations.is_idle() {
            return;
        }
        let authority_until = self.leadership.authority_until();
        let leader = self
            .leadership
            .current_term(&self.cache)
            .filter(|_| authority_until.is_some_and(|until| now.monotonic < until));
        let (Some(leader), Some(state)) = (leader, &self.leader_state) else {
            let replies = self.operations.redirect_all(self.remote_leader());
            effects.extend(
                replies
                    .into_iter()
                    .map(|(id, reply)| Effect::RespondToOperator { id, reply }),
            );
            return;
        };
        let max_changes = self
            .rate_limiter
            .max_batch(self.config.state_limits.txn_ops);
        let leader = leader_context(
            &self.config,
            &self.policy,
            &self.catalog,
            leader,
            max_changes,
            false,
        );
        let context = operations::Context {
            leader: &leader,
            draining: state.scheduler.draining(),
        };
        let result = self.operations.poll(now, &context, &mut self.cache);
        if let Some(request) = result.request {
            self.push_store_request(RequestPriority::User, StoreTag::Operations, request);
        }
        let replies = result.replies.into_iter();
        effects.extend(replies.map(|(id, reply)| Effect::RespondToOperator { id, reply }));
    }

    /// The name and address of the leader if another controller leads.
    fn remote_leader(&self) -> Option<(ControllerName, String)> {
        let leader = &self.cache.leader.as_ref()?.value.controller;
        let mut peers = self.config.peers.iter();
        let peer = peers.find(|peer| peer.name == *leader)?;
        Some((leader.clone(), peer.addr.to_string()))
    }
}
