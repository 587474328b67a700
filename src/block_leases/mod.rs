//! Blocks: machines of one zone, leased together to a controller, their holder. Only the leader leases them.
//!
//! The leader's round polls [`BlockLeaseManager`], which returns at most one transaction at a time; statuses of holders come
//! in as heartbeats. The fencing token of a lease is the one that workers check. A lease is written anew by every new
//! leader: with the same token when the same process keeps the block, with a higher one when it changes hands or when its
//! holder needs one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tracing::info;

use crate::config::Config;
use crate::domain::{BlockId, ControllerName, FencingToken, Incarnation, Now, Term, Zone, since};
use crate::leader_context::LeaderContext;
use crate::policy::Policy;
use crate::store::{StoreRequest, StoreResponse, WatchCache, Writer};

mod assignment;

use assignment::LeaseAssignment;

/// How long a suspended holder gets no blocks: doubled each time that it fails again.
const INITIAL_SUSPENSION: Duration = Duration::from_secs(30);
/// How often that is doubled at most.
const MAX_SUSPENSION_DOUBLINGS: u32 = 4;
/// A holder that did not fail for so long after a suspension starts from the shortest one.
const SUSPENSION_RESET_AFTER: Duration = Duration::from_secs(120);
/// A new leader moves no blocks for balance before it has heard of everyone.
const REBALANCE_DELAY: Duration = Duration::from_secs(5);

/// The id of a zone's block by its number.
pub fn block_id(zone: &Zone, number: usize) -> BlockId {
    BlockId::from(format!("{zone}.{number}").as_str())
}

/// The blocks that should exist: as many in each zone as give every controller as many as the policy says, and
/// those that were opened since because the others were full.
pub fn required_blocks(
    zones: &[Zone],
    config: &Config,
    policy: &Policy,
    cache: &WatchCache,
) -> BTreeMap<BlockId, Zone> {
    let total_blocks = config.controllers() * policy.blocks_per_controller;
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

/// The last heartbeat of a controller.
#[derive(Debug)]
struct LastHeartbeat {
    incarnation: Incarnation,
    received_at: Instant,
}

/// A holder that could not do its work gets no blocks.
#[derive(Debug, Clone, Copy)]
struct Suspension {
    until: Instant,
    /// How often in a row it was suspended.
    count: u32,
}

/// The term in which this process leads, and since when it has known.
#[derive(Debug)]
struct CurrentTerm {
    term: Term,
    known_since: Instant,
}

/// Decides on the leader who holds which block. Its state lasts for a term.
#[derive(Debug)]
pub struct BlockLeaseManager {
    writer: Writer,
    current_term: Option<CurrentTerm>,
    last_heartbeats: BTreeMap<ControllerName, LastHeartbeat>,
    /// Blocks whose holder asked for a new token in place of this one.
    token_renewals: BTreeMap<BlockId, FencingToken>,
    suspensions: BTreeMap<ControllerName, Suspension>,
}

impl BlockLeaseManager {
    /// Nothing is known, and nothing under way.
    pub fn new() -> Self {
        BlockLeaseManager {
            writer: Writer::Idle,
            current_term: None,
            last_heartbeats: BTreeMap::new(),
            token_renewals: BTreeMap::new(),
            suspensions: BTreeMap::new(),
        }
    }

    /// This process of the controller has just sent something.
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

    /// A holder has lost track of a command: only a higher token makes sure that it can't be executed late.
    pub fn require_token_renewal(&mut self, block: &BlockId, token: FencingToken) {
        self.token_renewals.insert(block.clone(), token);
    }

    /// This process was paused for so long: what it did not hear meanwhile is no silence of the others.
    pub fn process_paused(&mut self, pause: Duration) {
        for heartbeat in self.last_heartbeats.values_mut() {
            heartbeat.received_at += pause;
        }
        if let Some(current) = &mut self.current_term {
            current.known_since += pause;
        }
    }

    /// A holder hears hardly any of its machines, while others hear them. Its blocks go to others, and it does not win them
    /// back at once, or they would go to and fro.
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
        info!(holder = %controller, ?duration, "holder suspended: it can't reach its machines");
        let suspension = Suspension {
            until: now.monotonic + duration,
            count: count + 1,
        };
        self.suspensions.insert(controller.clone(), suspension);
    }

    /// Leases what is not held, or held by a controller that is gone. One transaction at a time.
    pub fn poll(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &mut WatchCache,
    ) -> Option<StoreRequest> {
        self.begin_term(now, leader.term);
        if !self.writer.ready(now, cache) {
            return None;
        }
        let holders = self.eligible_holders(now, leader, cache);
        let mut assignment = LeaseAssignment::new(leader, cache, holders);
        let zones = leader.catalog.zones(leader.config);
        let required = required_blocks(&zones, leader.config, leader.policy, cache);
        for (block, zone) in &required {
            assignment.assign(block, zone, self.token_renewals.get(block));
        }
        let term_age = self
            .current_term
            .as_ref()
            .map(|current| since(now, current.known_since));
        if assignment.is_empty() && term_age.is_some_and(|age| age > REBALANCE_DELAY) {
            assignment.rebalance(&required);
        }
        if assignment.is_empty() {
            return None;
        }
        self.writer.sent();
        Some(StoreRequest::Commit(assignment.into_transaction()))
    }

    /// What was known in another term counts no more.
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
        self.writer = Writer::Unconfirmed {
            since: now.monotonic,
        };
    }

    /// The controllers that may hold blocks, by name. Suspended ones only if there are no others.
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

    /// Whether the controller is a member and was heard lately. A new leader gives everyone time to be heard.
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

    /// The state service has answered the last transaction.
    pub fn handle_store_response(&mut self, now: Now, outcome: &StoreResponse) {
        self.writer.answered(now, outcome);
    }
}

impl Default for BlockLeaseManager {
    fn default() -> Self {
        BlockLeaseManager::new()
    }
}

#[cfg(test)]
mod tests;
