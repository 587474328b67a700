//! The switch to a new format of records, once every controller knows it.
//!
//! While versions are mixed, all that this version writes and sends is what the production version reads. The leader
//! switches the new format on with a durable record when the member record of each configured controller says that it
//! knows the format. The switch is conditioned on those records, so that a controller that comes back as the production
//! version in that moment prevents it. It is never taken back.

use tracing::info;

use crate::config::Config;
use crate::domain::{NodeName, Now};
use crate::leadership::Lead;
use crate::store::records::{FORMAT, FORMAT_KEY, FormatSwitch, LEADER, member_key};
use crate::store::{Op, Outcome, Txn, View, Writer};

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
    pub fn poll(&mut self, now: Now, lead: &Lead<'_>, view: &mut View) -> Option<Op> {
        if view.format() >= FORMAT || !self.writer.ready(now, view) {
            return None;
        }
        let members = known_by_all(lead.config, view)?;
        let mut txn = Txn::default()
            .when(LEADER, lead.version)
            .when(FORMAT_KEY, view.format_version());
        for (node, version) in members {
            txn = txn.when(member_key(&node), version);
        }
        info!(
            format = FORMAT,
            "all controllers know the new format: switching it on"
        );
        self.writer.sent();
        Some(Op::Commit(
            txn.put(FORMAT_KEY, &FormatSwitch { version: FORMAT }),
        ))
    }

    /// What became of it.
    pub fn answered(&mut self, now: Now, outcome: &Outcome) {
        self.writer.answered(now, outcome);
    }
}

impl Default for Upgrade {
    fn default() -> Self {
        Upgrade::new()
    }
}

/// All configured controllers and the versions of their records. None: one is not up, or does not know the format.
fn known_by_all(config: &Config, view: &View) -> Option<Vec<(NodeName, u64)>> {
    let peers = config.peers.iter().map(|peer| &peer.name);
    peers
        .chain([&config.name])
        .map(|node| {
            let member = view.members.get(node)?;
            (member.value.format >= FORMAT).then(|| (node.clone(), member.version))
        })
        .collect()
}

#[cfg(test)]
mod tests;
