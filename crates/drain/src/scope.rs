//! Which machines a drain or a cordon applies to.
//!
//! A scope is part of operators' requests and of the stored records. It is evaluated at each use, so that machines that
//! join later are included.

use std::collections::BTreeSet;
use std::fmt;

use dappleshore_domain::{BlockId, InstanceTypeName, MachineId, Zone};
use serde::{Deserialize, Serialize};

/// A set of machines. A block, a type or a zone includes the machines that join it later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// These machines.
    #[serde(rename = "machines")]
    Machines(BTreeSet<MachineId>),
    /// All machines of a block.
    #[serde(rename = "block")]
    Block(BlockId),
    /// All machines of a type.
    #[serde(rename = "type")]
    Type(InstanceTypeName),
    /// All machines of a zone.
    #[serde(rename = "zone")]
    Zone(Zone),
}

/// The attributes of a machine that scopes select by.
#[derive(Debug, Clone, Copy)]
pub struct MachineAttributes<'a> {
    /// Its id.
    pub id: &'a MachineId,
    /// Its block.
    pub block: &'a BlockId,
    /// Its machine type.
    pub type_name: &'a InstanceTypeName,
    /// Its zone.
    pub zone: &'a Zone,
}

impl Scope {
    /// Whether the machine is in the scope.
    pub fn contains(&self, machine: MachineAttributes<'_>) -> bool {
        match self {
            Scope::Machines(machines) => machines.contains(machine.id),
            Scope::Block(block) => block == machine.block,
            Scope::Type(type_name) => type_name == machine.type_name,
            Scope::Zone(zone) => zone == machine.zone,
        }
    }

    /// Whether every machine of this type in this zone is in the scope, so that no new ones should be rented there.
    pub fn covers_type_in_zone(&self, type_name: &InstanceTypeName, zone: &Zone) -> bool {
        match self {
            Scope::Machines(_) | Scope::Block(_) => false,
            Scope::Type(scope_type) => scope_type == type_name,
            Scope::Zone(scope_zone) => scope_zone == zone,
        }
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::Machines(machines) => {
                let mut names = machines.iter();
                match (names.next(), names.len()) {
                    (Some(only), 0) => write!(f, "machine {only}"),
                    (Some(first), more) => write!(f, "machine {first} and {more} more"),
                    (None, _) => f.write_str("no machine"),
                }
            }
            Scope::Block(block) => write!(f, "block {block}"),
            Scope::Type(type_name) => write!(f, "type {type_name}"),
            Scope::Zone(zone) => write!(f, "zone {zone}"),
        }
    }
}
