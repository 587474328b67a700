//! The assignment of blocks to holders, and the transaction that writes the leases.

use std::collections::BTreeMap;

use tracing::info;

use crate::domain::{BlockId, ControllerName, FencingToken, Incarnation, Zone};
use crate::leader_context::LeaderContext;
use crate::store::cache::Versioned;
use crate::store::records::{BlockLease, LEADER_KEY, TOKEN_KEY, TokenCounter, block_lease_key};
use crate::store::{Transaction, WatchCache};

/// A lease to write, conditioned on the version of its current record, 0 if there is none.
struct LeaseChange {
    block: BlockId,
    version: u64,
    lease: BlockLease,
}

/// The lease changes of one transaction.
pub(super) struct LeaseAssignment<'a> {
    leader: &'a LeaderContext<'a>,
    cache: &'a WatchCache,
    /// Controllers that may hold blocks, ordered by name.
    holders: Vec<ControllerName>,
    /// The number of blocks that each of them holds.
    lease_counts: BTreeMap<ControllerName, usize>,
    /// The highest token issued so far.
    last_token: u64,
    changes: Vec<LeaseChange>,
}

impl<'a> LeaseAssignment<'a> {
    /// Creates an assignment without changes.
    pub(super) fn new(
        leader: &'a LeaderContext<'a>,
        cache: &'a WatchCache,
        holders: Vec<ControllerName>,
    ) -> Self {
        let mut lease_counts: BTreeMap<ControllerName, usize> = holders
            .iter()
            .map(|controller| (controller.clone(), 0))
            .collect();
        for lease in cache.block_leases.values() {
            if let Some(count) = lease_counts.get_mut(&lease.value.holder) {
                *count += 1;
            }
        }
        LeaseAssignment {
            leader,
            cache,
            holders,
            lease_counts,
            last_token: cache.last_token(),
            changes: Vec::new(),
        }
    }

    /// Whether there are no changes to write.
    pub(super) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Writes a new lease of the block if its holder is not valid any more, if the leader has changed, or if its holder
    /// requires a new token in place of `token_to_replace`.
    pub(super) fn assign(
        &mut self,
        block: &BlockId,
        zone: &Zone,
        token_to_replace: Option<&FencingToken>,
    ) {
        let old = self.cache.block_leases.get(block);
        let retained = old.filter(|old| self.is_valid_holder(&old.value));
        if let Some(old) = retained
            && token_to_replace != Some(&old.value.token)
        {
            self.renew_for_term(block, old);
            return;
        }
        let holder = match retained {
            Some(old) => Some(old.value.holder.clone()),
            None => self.choose_holder(zone),
        };
        let Some(holder) = holder else {
            return;
        };
        let Some(incarnation) = self.member_incarnation(&holder) else {
            return;
        };
        if let Some(count) = self.lease_counts.get_mut(&holder) {
            *count += 1;
        }
        let version = old.map_or(0, |old| old.version);
        self.add_lease(block.clone(), version, zone.clone(), holder, incarnation);
    }

    /// Rewrites a lease with the current term if it is from an earlier one. Its holder and token stay.
    fn renew_for_term(&mut self, block: &BlockId, old: &Versioned<BlockLease>) {
        let term = self.leader.term;
        if old.value.term != term {
            self.changes.push(LeaseChange {
                block: block.clone(),
                version: old.version,
                lease: BlockLease {
                    term,
                    ..old.value.clone()
                },
            });
        }
    }

    /// Moves one block from the controller with the most blocks to the controller with the fewest if they differ by
    /// two or more, so that a controller that has come back gets blocks again.
    pub(super) fn rebalance(&mut self, blocks: &BTreeMap<BlockId, Zone>) -> Option<()> {
        let (least_loaded, fewest) = self.lease_counts.iter().min_by_key(|(_, count)| **count)?;
        let (most_loaded, most) = self.lease_counts.iter().max_by_key(|(_, count)| **count)?;
        if *most < fewest + 2 {
            return None;
        }
        let config = self.leader.config;
        let (block, _) = blocks
            .iter()
            .filter(|(block, _)| {
                self.cache
                    .block_leases
                    .get(*block)
                    .is_some_and(|lease| lease.value.holder == *most_loaded)
            })
            .max_by_key(|(_, zone)| {
                config
                    .peers
                    .iter()
                    .any(|peer| peer.name == *least_loaded && peer.zone == **zone)
            })?;
        let lease = self.cache.block_leases.get(block)?;
        let (holder, version) = (least_loaded.clone(), lease.version);
        let incarnation = self.member_incarnation(&holder)?;
        let zone = lease.value.zone.clone();
        self.add_lease(block.clone(), version, zone, holder, incarnation);
        Some(())
    }

    /// Adds a lease with a new token.
    fn add_lease(
        &mut self,
        block: BlockId,
        version: u64,
        zone: Zone,
        holder: ControllerName,
        incarnation: Incarnation,
    ) {
        self.last_token += 1;
        let lease = BlockLease {
            zone,
            holder,
            incarnation,
            token: FencingToken(self.last_token),
            term: self.leader.term,
        };
        self.changes.push(LeaseChange {
            block,
            version,
            lease,
        });
    }

    /// Whether the process that holds the lease is a member and may hold blocks.
    fn is_valid_holder(&self, lease: &BlockLease) -> bool {
        self.holders.contains(&lease.holder)
            && self.member_incarnation(&lease.holder) == Some(lease.incarnation)
    }

    /// Chooses a controller in the block's zone if possible, since it still reaches the machines during a partition
    /// between zones; among equals, the controller with the fewest blocks.
    fn choose_holder(&self, zone: &Zone) -> Option<ControllerName> {
        let cost = |controller: &&ControllerName| {
            (
                self.zone_of(controller) != Some(zone),
                self.lease_counts.get(*controller).copied().unwrap_or(0),
            )
        };
        self.holders.iter().min_by_key(cost).cloned()
    }

    fn member_incarnation(&self, controller: &ControllerName) -> Option<Incarnation> {
        let member = self.cache.members.get(controller)?;
        Some(member.value.incarnation)
    }

    fn zone_of(&self, controller: &ControllerName) -> Option<&Zone> {
        let config = self.leader.config;
        if *controller == config.name {
            return Some(&config.zone);
        }
        let mut peers = config.peers.iter();
        peers
            .find(|peer| peer.name == *controller)
            .map(|peer| &peer.zone)
    }

    /// Returns a transaction with as many changes as the state service allows, conditioned on this leader's record.
    pub(super) fn into_transaction(mut self) -> Transaction {
        let LeaderContext {
            config,
            term,
            record_version: leader_version,
            ..
        } = *self.leader;
        self.changes.truncate(config.state_limits.txn_ops - 1);
        let mut transaction = Transaction::default().require_version(LEADER_KEY, leader_version);
        if self.last_token > self.cache.last_token() {
            let token = self.cache.token.as_ref();
            let token_version = token.map_or(0, |token| token.version);
            transaction = transaction.require_version(TOKEN_KEY, token_version).put(
                TOKEN_KEY,
                &TokenCounter {
                    last: self.last_token,
                },
            );
        }
        for LeaseChange {
            block,
            version,
            lease,
        } in &self.changes
        {
            info!(%block, holder = %lease.holder, token = %lease.token, %term, "block lease written");
            transaction = transaction
                .require_version(block_lease_key(block), *version)
                .put(block_lease_key(block), lease);
        }
        transaction
    }
}
