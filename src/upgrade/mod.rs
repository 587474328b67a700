//! The switch to a newer record format once every controller supports it.
//!
//! While versions are mixed, this version writes and sends only what the production version can read. The leader
//! enables the new format with a durable record when the member record of each configured controller states that it
//! supports the format. The transaction is conditioned on those member records, so that it fails if a controller
//! restarts as the production version at the same time. The switch is never reverted.
//!
//! The leader's round polls [`Upgrade`]; every controller adopts the format when it sees the record.

use tracing::info;

use crate::config::Config;
use crate::domain::{ControllerName, Now};
use crate::leader_context::LeaderContext;
use crate::store::records::{FORMAT_KEY, FormatSwitch, LEADER_KEY, NEWEST_FORMAT, member_key};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache, WriterState};

/// The leader's state for the switch of the record format.
#[derive(Debug)]
pub struct Upgrade {
    writer: WriterState,
}

impl Upgrade {
    /// Creates the state without a transaction in flight.
    pub fn new() -> Self {
        Upgrade {
            writer: WriterState::Idle,
        }
    }

    /// Returns the transaction that enables a newer format if all controllers support one.
    pub fn poll(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &mut WatchCache,
    ) -> Option<StoreRequest> {
        if cache.format() >= NEWEST_FORMAT || !self.writer.can_write(now, cache) {
            return None;
        }
        let MemberRecords { format, records } = member_records(leader.config, cache)?;
        if format <= cache.format() {
            return None;
        }
        let mut transaction = Transaction::default()
            .require_version(LEADER_KEY, leader.record_version)
            .require_version(FORMAT_KEY, cache.format_version());
        for record in records {
            transaction =
                transaction.require_version(member_key(&record.controller), record.version);
        }
        info!(format, "record format switch started");
        self.writer.mark_sent();
        Some(StoreRequest::Commit(
            transaction.put(FORMAT_KEY, &FormatSwitch { version: format }),
        ))
    }

    /// Handles the response to the transaction.
    pub fn handle_store_response(&mut self, now: Now, outcome: &StoreResponse) {
        self.writer.record_response(now, outcome);
    }
}

impl Default for Upgrade {
    fn default() -> Self {
        Upgrade::new()
    }
}

/// The member records of all configured controllers.
struct MemberRecords {
    /// The newest format that all of them, including this process, can read and write.
    format: u32,
    records: Vec<MemberRecord>,
}

/// A member record that the switch is conditioned on.
struct MemberRecord {
    controller: ControllerName,
    version: u64,
}

/// Returns the member records, or None if a configured controller has none because it is not up.
fn member_records(config: &Config, cache: &WatchCache) -> Option<MemberRecords> {
    let peers = config.peers.iter().map(|peer| &peer.name);
    let mut members = MemberRecords {
        format: NEWEST_FORMAT,
        records: Vec::new(),
    };
    for controller in peers.chain([&config.name]) {
        let member = cache.members.get(controller)?;
        members.format = members.format.min(member.value.format);
        members.records.push(MemberRecord {
            controller: controller.clone(),
            version: member.version,
        });
    }
    Some(members)
}

#[cfg(test)]
mod tests;
