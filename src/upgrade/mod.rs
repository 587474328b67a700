//! The switch to a newer format of records, once every controller knows it.
//!
//! While versions are mixed, all that this version writes and sends is what the production version reads. The leader
//! switches the new format on with a durable record when the member record of each configured controller says that it
//! knows the format. The switch is conditioned on those records, so that a controller that comes back as the production
//! version in that moment prevents it. It is never taken back.
//!
//! The leader's round polls [`Upgrade`]; every controller adopts the format when it sees the record.

use tracing::info;

use crate::config::Config;
use crate::domain::{ControllerName, Now};
use crate::leader_context::LeaderContext;
use crate::store::records::{FORMAT, FORMAT_KEY, FormatSwitch, LEADER, member_key};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache, Writer};

/// The leader's part in the switch.
#[derive(Debug)]
pub struct Upgrade {
    writer: Writer,
}

impl Upgrade {
    /// Nothing is under way.
    pub fn new() -> Self {
        Upgrade {
            writer: Writer::Idle,
        }
    }

    /// The transaction that switches the new format on, if it is time.
    pub fn poll(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &mut WatchCache,
    ) -> Option<StoreRequest> {
        if cache.format() >= FORMAT || !self.writer.ready(now, cache) {
            return None;
        }
        let MemberRecords { format, records } = member_records(leader.config, cache)?;
        if format <= cache.format() {
            return None;
        }
        let mut transaction = Transaction::default()
            .when(LEADER, leader.record_version)
            .when(FORMAT_KEY, cache.format_version());
        for record in records {
            transaction = transaction.when(member_key(&record.controller), record.version);
        }
        info!(format, "record format switch started");
        self.writer.sent();
        Some(StoreRequest::Commit(
            transaction.put(FORMAT_KEY, &FormatSwitch { version: format }),
        ))
    }

    /// The state service has answered the transaction.
    pub fn handle_store_response(&mut self, now: Now, outcome: &StoreResponse) {
        self.writer.answered(now, outcome);
    }
}

impl Default for Upgrade {
    fn default() -> Self {
        Upgrade::new()
    }
}

/// What the records of all configured controllers say.
struct MemberRecords {
    /// The newest format that all of them, this process included, can read and write.
    format: u32,
    records: Vec<MemberRecord>,
}

/// A member record on which the switch is conditioned.
struct MemberRecord {
    controller: ControllerName,
    version: u64,
}

/// What the member records say, or None if one of the configured controllers is not up.
fn member_records(config: &Config, cache: &WatchCache) -> Option<MemberRecords> {
    let peers = config.peers.iter().map(|peer| &peer.name);
    let mut members = MemberRecords {
        format: FORMAT,
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
