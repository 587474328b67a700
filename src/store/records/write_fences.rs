//! Write fences: of the leader's modules, and of the placements of each block.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::domain::{FencingToken, Term};

/// A module of the leader whose transactions are conditioned on a write fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FencedModule {
    /// Inventories and pending rentals.
    Provisioning,
    /// The states of drains, and the ledgers of disruptions.
    Draining,
    /// Operators' requests.
    Operations,
}

impl FencedModule {
    const ALL: [FencedModule; 3] = [
        FencedModule::Provisioning,
        FencedModule::Draining,
        FencedModule::Operations,
    ];

    /// The name in the key of the module's fence and in logs.
    fn name(self) -> &'static str {
        match self {
            FencedModule::Provisioning => "provisioning",
            FencedModule::Draining => "draining",
            FencedModule::Operations => "operations",
        }
    }
}

impl fmt::Display for FencedModule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The name of a module that has no write fence in this version.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a module with a write fence")]
pub struct UnknownModule(String);

impl FromStr for FencedModule {
    type Err = UnknownModule;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        FencedModule::ALL
            .into_iter()
            .find(|module| module.name() == text)
            .ok_or_else(|| UnknownModule(text.to_owned()))
    }
}

/// A record whose version is a condition of all transactions of a module. Writing it makes the earlier ones fail that
/// are not executed yet. It is never deleted: its absence is a condition of the first transactions.
///
/// It is written in every format: the production version ignores its key, and a transaction of either version fails
/// once the other one leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WriteFence {
    /// The term in which the fence was last written.
    pub term: Term,
}

/// A record whose version is a condition of all transactions on a block's placements. It is written with each deletion
/// of a part, and when a transaction has an unknown outcome while a value is oversized. Earlier transactions can't be
/// executed afterwards, also those that require the part's absence. It is never deleted.
///
/// Placements are stored in several parts only once their format is switched on, so that the production version never
/// meets this record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementsFence {
    /// The fencing token of the holder that wrote it.
    pub token: FencingToken,
}
