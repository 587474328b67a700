//! Blocks: machines of one zone, leased together to a controller. Only the leader block leases them.
//!
//! The number of a block lease, its token, is the token that workers check. A block lease is written anew by every new
//! leader: with the same token when the same process keeps the block, with a higher one when it changes hands.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tracing::info;

use crate::config::Config;
use crate::domain::{BlockId, ControllerName, FencingToken, Incarnation, Now, Term, Zone, since};
use crate::leader_context::LeaderContext;
use crate::policy::Policy;
use crate::store::records::{BlockLease, LEADER, TOKEN, Token, block_lease_key};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache, Writer};

/// A zone's block by its number.
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
    let blocks = config.controllers() * policy.blocks_per_controller;
    let each = blocks.div_ceil(zones.len().max(1)).max(1);
    let mut required: BTreeMap<BlockId, Zone> = zones
        .iter()
        .flat_map(|zone| (0..each).map(move |n| (block_id(zone, n), zone.clone())))
        .collect();
    required.extend(
        cache
            .inventories
            .iter()
            .map(|(block, inventory)| (block.clone(), inventory.value.zone.clone())),
    );
    required
}

#[derive(Debug)]
pub struct BlockLeaseManager {
    writer: Writer,
    leading_since: Option<(Term, Instant)>,
    /// When each controller last spoke to us.
    last_heartbeats: BTreeMap<ControllerName, (Incarnation, Instant)>,
    /// Blocks whose holder asked for a new token.
    token_renewals: BTreeMap<BlockId, FencingToken>,
    /// Controllers that could not do a holder's work: until when they get no blocks, and how often in a row.
    suspended: BTreeMap<ControllerName, (Instant, u32)>,
}

/// How long a controller that could not do a holder's work gets no blocks: doubled each time that it fails again.
const SUSPENSION: Duration = Duration::from_secs(30);
const MAX_SUSPENSION_DOUBLINGS: u32 = 4;

impl BlockLeaseManager {
    pub fn new() -> Self {
        BlockLeaseManager {
            writer: Writer::Idle,
            leading_since: None,
            last_heartbeats: BTreeMap::new(),
            token_renewals: BTreeMap::new(),
            suspended: BTreeMap::new(),
        }
    }

    pub fn record_heartbeat(
        &mut self,
        now: Now,
        controller: &ControllerName,
        incarnation: Incarnation,
    ) {
        self.last_heartbeats
            .insert(controller.clone(), (incarnation, now.monotonic));
    }

    /// A holder has lost track of a command: only a higher token makes sure that it can't be executed late.
    pub fn require_token_renewal(&mut self, block: &BlockId, token: FencingToken) {
        self.token_renewals.insert(block.clone(), token);
    }

    /// This process stood still: what it did not hear meanwhile is no silence of the others.
    pub fn process_paused(&mut self, gap: Duration) {
        for (_, at) in self.last_heartbeats.values_mut() {
            *at += gap;
        }
        if let Some((_, at)) = &mut self.leading_since {
            *at += gap;
        }
    }

    /// A holder that hears hardly any of its machines, while others hear them. Its blocks go to others, and it does
    /// not win them back at once, or they would go to and fro.
    pub fn suspend_holder(&mut self, now: Now, controller: &ControllerName) {
        let (until, times) = self
            .suspended
            .get(controller)
            .copied()
            .unwrap_or((now.monotonic, 0));
        if now.monotonic < until {
            return;
        }
        let times = if since(now, until) < SUSPENSION * 4 {
            times
        } else {
            0
        };
        let pause = SUSPENSION * 2u32.pow(times.min(MAX_SUSPENSION_DOUBLINGS));
        info!(holder = %controller, ?pause, "holder can't reach its machines");
        self.suspended
            .insert(controller.clone(), (now.monotonic + pause, times + 1));
    }

    fn trusted(
        &self,
        now: Now,
        controller: &ControllerName,
        config: &Config,
        policy: &Policy,
        cache: &WatchCache,
    ) -> bool {
        if *controller == config.name {
            return true;
        }
        let Some(member) = cache.members.get(controller) else {
            return false;
        };
        let since_start = self
            .leading_since
            .map_or(Duration::ZERO, |(_, at)| since(now, at));
        match self.last_heartbeats.get(controller) {
            Some((incarnation, at)) if *incarnation == member.value.incarnation => {
                since(now, *at) < policy.suspect_after
            }
            _ => since_start < policy.suspect_after,
        }
    }

    /// Grants what is not held, or held by a controller that is gone. One transaction at a time.
    pub fn poll(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &mut WatchCache,
    ) -> Option<StoreRequest> {
        let LeaderContext {
            config,
            policy,
            term,
            version: leader_version,
            ..
        } = *leader;
        let zones = &leader.catalog.zones(config);
        if self.leading_since.is_none_or(|(known, _)| known != term) {
            self.leading_since = Some((term, now.monotonic));
            self.last_heartbeats.clear();
            self.token_renewals.clear();
            self.suspended.clear();
            self.writer = Writer::Unconfirmed {
                since: now.monotonic,
            };
        }
        if !self.writer.ready(now, cache) {
            return None;
        }
        let mut members: Vec<ControllerName> = cache
            .members
            .keys()
            .filter(|controller| self.trusted(now, controller, config, policy, cache))
            .cloned()
            .collect();
        let fit = |controller: &ControllerName| {
            self.suspended
                .get(controller)
                .is_none_or(|(until, _)| now.monotonic >= *until)
        };
        if members.iter().any(fit) {
            members.retain(fit);
        }
        let incarnation_of = |controller: &ControllerName| {
            cache
                .members
                .get(controller)
                .map(|member| member.value.incarnation)
        };
        let mut held: BTreeMap<&ControllerName, usize> =
            members.iter().map(|controller| (controller, 0)).collect();
        for lease in cache.block_leases.values() {
            if let Some(count) = held.get_mut(&lease.value.holder) {
                *count += 1;
            }
        }
        let mut last = cache.last_token();
        let mut changes = Vec::new();
        for (block, zone) in required_blocks(zones, config, policy, cache) {
            let old = cache.block_leases.get(&block);
            let kept = old.filter(|old| {
                members.contains(&old.value.holder)
                    && incarnation_of(&old.value.holder) == Some(old.value.incarnation)
            });
            let renewed =
                kept.filter(|old| self.token_renewals.get(&block) != Some(&old.value.token));
            if let Some(old) = renewed {
                if old.value.term != term {
                    changes.push((
                        block,
                        old.version,
                        BlockLease {
                            term,
                            ..old.value.clone()
                        },
                    ));
                }
                continue;
            }
            // The zone's own controller if it is up, for a cut between zones then leaves them together; else
            // whoever holds least.
            let zone_of = |controller: &ControllerName| {
                if *controller == config.name {
                    return Some(&config.zone);
                }
                config
                    .peers
                    .iter()
                    .find(|peer| peer.name == *controller)
                    .map(|peer| &peer.zone)
            };
            let chosen = match kept {
                Some(old) => Some(old.value.holder.clone()),
                None => members
                    .iter()
                    .min_by_key(|controller| {
                        (
                            zone_of(controller) != Some(&zone),
                            held.get(controller).copied().unwrap_or(0),
                        )
                    })
                    .cloned(),
            };
            let Some((holder, incarnation)) = chosen.and_then(|controller| {
                incarnation_of(&controller).map(|incarnation| (controller, incarnation))
            }) else {
                continue;
            };
            if let Some(count) = held.get_mut(&holder) {
                *count += 1;
            }
            last += 1;
            let version = old.map_or(0, |old| old.version);
            changes.push((
                block,
                version,
                BlockLease {
                    zone,
                    holder,
                    incarnation,
                    token: FencingToken(last),
                    term,
                },
            ));
        }
        if changes.is_empty() {
            if let Some((block, controller, version)) =
                self.unbalanced(now, leader, zones, &held, cache)
            {
                let zone = cache
                    .block_leases
                    .get(&block)
                    .map(|lease| lease.value.zone.clone())?;
                let incarnation = incarnation_of(&controller)?;
                last += 1;
                changes.push((
                    block,
                    version,
                    BlockLease {
                        zone,
                        holder: controller,
                        incarnation,
                        token: FencingToken(last),
                        term,
                    },
                ));
            } else {
                return None;
            }
        }
        changes.truncate(config.state_limits.txn_ops - 1);
        let mut txn = Transaction::default().when(LEADER, leader_version);
        if last > cache.last_token() {
            txn = txn
                .when(TOKEN, cache.token.as_ref().map_or(0, |token| token.version))
                .put(TOKEN, &Token { last });
        }
        for (block, version, lease) in &changes {
            info!(%block, holder = %lease.holder, token = %lease.token, %term, "block lease written");
            txn = txn
                .when(block_lease_key(block), *version)
                .put(block_lease_key(block), lease);
        }
        self.writer.sent();
        Some(StoreRequest::Commit(txn))
    }

    /// A controller that came back gets blocks again, once it has been heard for a while.
    fn unbalanced(
        &self,
        now: Now,
        leader: &LeaderContext<'_>,
        zones: &[Zone],
        held: &BTreeMap<&ControllerName, usize>,
        cache: &WatchCache,
    ) -> Option<(BlockId, ControllerName, u64)> {
        let LeaderContext { config, policy, .. } = *leader;
        let settled = self
            .leading_since
            .is_some_and(|(_, at)| since(now, at) > Duration::from_secs(5));
        let (idle, none) = held.iter().min_by_key(|(_, count)| **count)?;
        let (busy, most) = held.iter().max_by_key(|(_, count)| **count)?;
        if !settled || *most < none + 2 {
            return None;
        }
        let (block, _) = required_blocks(zones, config, policy, cache)
            .into_iter()
            .filter(|(block, _)| {
                cache
                    .block_leases
                    .get(block)
                    .is_some_and(|lease| lease.value.holder == **busy)
            })
            .max_by_key(|(_, zone)| {
                config
                    .peers
                    .iter()
                    .any(|p| p.name == **idle && p.zone == *zone)
            })?;
        let version = cache.block_leases.get(&block)?.version;
        Some((block, (*idle).clone(), version))
    }

    pub fn answered(&mut self, now: Now, outcome: &StoreResponse) {
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
