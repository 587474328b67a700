//! Leases of blocks to controllers. A block is a group of machines in one zone; the controller that leases it is its
//! holder.
//!
//! Only the leader writes block leases. Its round polls [`BlockLeaseManager`], which has at most one transaction in
//! flight; the statuses of holders count as heartbeats. Workers check the fencing token of a lease. Every new leader
//! rewrites each lease: with the same token if the same process keeps the block, with a higher one if the block
//! changes hands or its holder requires a new token.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tracing::info;

use crate::config::Config;
use crate::domain::{BlockId, ControllerName, FencingToken, Incarnation, Now, Term, Zone, since};
use crate::leader_context::LeaderContext;
use crate::policy::Policy;
use crate::store::{StoreRequest, StoreResponse, WatchCache, WriterState};

mod assignment;

use assignment::LeaseAssignment;

/// How long a suspended holder gets no blocks the first time. Each repeated suspension doubles it.
const INITIAL_SUSPENSION: Duration = Duration::from_secs(30);
/// The maximum number of doublings of [`INITIAL_SUSPENSION`].
const MAX_SUSPENSION_DOUBLINGS: u32 = 4;
/// After this time without a new suspension a holder starts again from [`INITIAL_SUSPENSION`].
const SUSPENSION_RESET_AFTER: Duration = Duration::from_secs(120);
/// A new leader does not rebalance blocks before it has had time to receive every controller's heartbeat.
const REBALANCE_DELAY: Duration = Duration::from_secs(5);

/// Returns the id of the zone's block with this number.
pub fn block_id(zone: &Zone, number: usize) -> BlockId {
    BlockId::from(format!("{zone}.{number}").as_str())
}

/// Returns the blocks that should exist: enough in each zone to give every controller the number of blocks set in the
/// policy, and all blocks that have an inventory, including those added when the others were full.
pub fn required_blocks(
    zones: &[Zone],
    config: &Config,
    policy: &Policy,
    cache: &WatchCache,
) -> BTreeMap<BlockId, Zone> {
    let total_blocks = config.controller_count() * policy.blocks_per_controller;
    let blocks_per_zone = total_blocks.div_ceil(zones.len().max(1)).max(1);
    let mut required: BTreeMap<BlockId, Zone> = zones
        .iter()
        .flat_map(|zone| {
            (0..blocks_per_zone).map(move |number| (block_id(zone, number), zone.clone()))
        })
        .collect();
    required.extend(
        cache
            .inventories
            .iter()
            .map(|(block, inventory)| (block.clone(), inventory.value.zone.clone())),
    );
    required
}

/// Adds the blocks that are leased already, whether or not they are still required. The previous leader's holders may
/// record its releases there until each lease is renewed, so that a new leader waits for all of them.
fn with_leased_blocks(
    mut blocks: BTreeMap<BlockId, Zone>,
    cache: &WatchCache,
) -> BTreeMap<BlockId, Zone> {
    for (block, lease) in &cache.block_leases {
        blocks
            .entry(block.clone())
            .or_insert_with(|| lease.value.zone.clone());
    }
    blocks
}

/// The last heartbeat received from a controller.
#[derive(Debug)]
struct LastHeartbeat {
    incarnation: Incarnation,
    received_at: Instant,
}

/// A period in which a holder that could not reach its machines gets no blocks.
#[derive(Debug, Clone, Copy)]
struct Suspension {
    until: Instant,
    /// The number of consecutive suspensions.
    count: u32,
}

/// The term in which this process leads, and when the manager first saw it.
#[derive(Debug)]
struct CurrentTerm {
    term: Term,
    known_since: Instant,
}

/// Assigns blocks to holders on the leader. Its state lasts for one term.
#[derive(Debug)]
pub struct BlockLeaseManager {
    writer: WriterState,
    current_term: Option<CurrentTerm>,
    last_heartbeats: BTreeMap<ControllerName, LastHeartbeat>,
    /// Blocks whose holder requires a new token, with the token to replace.
    token_renewals: BTreeMap<BlockId, FencingToken>,
    suspensions: BTreeMap<ControllerName, Suspension>,
}

impl BlockLeaseManager {
    /// Creates a manager with no recorded heartbeats and no transaction in flight.
    pub fn new() -> Self {
        BlockLeaseManager {
            writer: WriterState::Idle,
            current_term: None,
            last_heartbeats: BTreeMap::new(),
            token_renewals: BTreeMap::new(),
            suspensions: BTreeMap::new(),
        }
    }

    /// Records that a message of this process of the controller was just received.
    pub fn record_heartbeat(
        &mut self,
        now: Now,
        controller: &ControllerName,
        incarnation: Incarnation,
    ) {
        let heartbeat = LastHeartbeat {
            incarnation,
            received_at: now.monotonic,
        };
        self.last_heartbeats.insert(controller.clone(), heartbeat);
    }

    /// Requires a higher token for the block. Its holder does not know the outcome of a command, and only a higher
    /// token ensures that the command can't be executed later.
    pub fn require_token_renewal(&mut self, block: &BlockId, token: FencingToken) {
        self.token_renewals.insert(block.clone(), token);
    }

    /// Shifts the recorded times by a pause of this process, so that the pause does not count as missed heartbeats of
    /// peers.
    pub fn process_paused(&mut self, pause: Duration) {
        for heartbeat in self.last_heartbeats.values_mut() {
            heartbeat.received_at += pause;
        }
        if let Some(current) = &mut self.current_term {
            current.known_since += pause;
        }
    }

    /// Suspends a holder that receives heartbeats from hardly any of its machines while other controllers receive them.
    /// Its blocks go to others, and it does not get them back at once, since they would otherwise move back and forth.
    pub fn suspend_holder(&mut self, now: Now, controller: &ControllerName) {
        let previous = self.suspensions.get(controller);
        let previous = previous.copied().unwrap_or(Suspension {
            until: now.monotonic,
            count: 0,
        });
        if now.monotonic < previous.until {
            return;
        }
        let count = if since(now, previous.until) < SUSPENSION_RESET_AFTER {
            previous.count
        } else {
            0
        };
        let duration = INITIAL_SUSPENSION * 2u32.pow(count.min(MAX_SUSPENSION_DOUBLINGS));
        info!(holder = %controller, ?duration, "block lease holder suspended: it can't reach its machines");
        let suspension = Suspension {
            until: now.monotonic + duration,
            count: count + 1,
        };
        self.suspensions.insert(controller.clone(), suspension);
    }

    /// Returns the next transaction: leases for blocks without a valid holder, else at most one move for balance. One
    /// transaction is in flight at a time.
    pub fn poll(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &mut WatchCache,
    ) -> Option<StoreRequest> {
        self.begin_term(now, leader.term);
        if !self.writer.can_write(now, cache) {
            return None;
        }
        let holders = self.eligible_holders(now, leader, cache);
        let mut assignment = LeaseAssignment::new(leader, cache, holders);
        let zones = leader.catalog.zones(leader.config);
        let required = required_blocks(&zones, leader.config, leader.policy, cache);
        let blocks = with_leased_blocks(required, cache);
        for (block, zone) in &blocks {
            assignment.assign(block, zone, self.token_renewals.get(block));
        }
        let term_age = self
            .current_term
            .as_ref()
            .map(|current| since(now, current.known_since));
        if assignment.is_empty() && term_age.is_some_and(|age| age > REBALANCE_DELAY) {
            assignment.rebalance(&blocks);
        }
        if assignment.is_empty() {
            return None;
        }
        self.writer.mark_sent();
        Some(StoreRequest::Commit(assignment.into_transaction()))
    }

    /// Discards the state of an earlier term if the term is new.
    fn begin_term(&mut self, now: Now, term: Term) {
        let current = self.current_term.as_ref();
        if current.is_some_and(|current| current.term == term) {
            return;
        }
        self.current_term = Some(CurrentTerm {
            term,
            known_since: now.monotonic,
        });
        self.last_heartbeats.clear();
        self.token_renewals.clear();
        self.suspensions.clear();
        self.writer = WriterState::Unconfirmed {
            since: now.monotonic,
        };
    }

    /// The controllers that may hold blocks, ordered by name. Suspended controllers are included only if there are no
    /// others.
    fn eligible_holders(
        &self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
    ) -> Vec<ControllerName> {
        let mut holders: Vec<ControllerName> = cache
            .members
            .keys()
            .filter(|controller| self.is_responsive(now, controller, leader, cache))
            .cloned()
            .collect();
        let not_suspended = |controller: &ControllerName| {
            self.suspensions
                .get(controller)
                .is_none_or(|suspension| now.monotonic >= suspension.until)
        };
        if holders.iter().any(not_suspended) {
            holders.retain(not_suspended);
        }
        holders
    }

    /// Whether the controller is a member whose last heartbeat is recent. For a controller without a heartbeat in
    /// this term the timeout counts from the start of the term.
    fn is_responsive(
        &self,
        now: Now,
        controller: &ControllerName,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
    ) -> bool {
        if *controller == leader.config.name {
            return true;
        }
        let Some(member) = cache.members.get(controller) else {
            return false;
        };
        let silence = match self.last_heartbeats.get(controller) {
            Some(heartbeat) if heartbeat.incarnation == member.value.incarnation => {
                since(now, heartbeat.received_at)
            }
            _ => self
                .current_term
                .as_ref()
                .map_or(Duration::ZERO, |current| since(now, current.known_since)),
        };
        silence < leader.policy.controller_timeout
    }

    /// Handles the response to the last transaction.
    pub fn handle_store_response(&mut self, now: Now, outcome: &StoreResponse) {
        self.writer.record_response(now, outcome);
    }
}

impl Default for BlockLeaseManager {
    fn default() -> Self {
        BlockLeaseManager::new()
    }
}

#[cfg(test)]
mod tests;
