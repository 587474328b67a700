//! The machines of a block, and the rentals that may add to them.
//!
//! They are written by the leader's provisioning and read by all controllers. Sizes are in bytes as
//! the state service measures them and are never underestimated.

use std::collections::{BTreeMap, BTreeSet};
use std::num::ParseIntError;

use serde::{Deserialize, Serialize};

use super::size::decimal_digits;
use crate::domain::{CapacityType, InstanceTypeName, MachineId, Zone};

/// Bytes of the value without its entries: names, quotes and brackets.
const ENVELOPE_BYTES: usize = 32;
/// Bytes of an instance type without its name: quotes and comma.
const TYPE_OVERHEAD_BYTES: usize = 3;
/// Bytes of a machine without its id and rental time: quotes, colon, comma, index of the type and
/// letter.
const MACHINE_OVERHEAD_BYTES: usize = 10;

/// The machines of a block. They share one value, so that renting or returning many at once takes
/// few changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "InventoryEncoding", into = "InventoryEncoding")]
pub struct MachineInventory {
    /// The zone of all machines of the block.
    pub zone: Zone,
    /// The machines.
    pub machines: BTreeMap<MachineId, InventoryEntry>,
}

/// Whether a machine accepts tasks, and whether it is to be returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Accepts tasks.
    InService,
    /// Operators have cordoned it: it accepts no new tasks and stays rented. Written only from
    /// [`DRAIN_FORMAT`](super::DRAIN_FORMAT) on.
    Cordoned,
    /// Accepts no new tasks and is returned once it is empty.
    Returning,
}

impl MachineState {
    /// Whether new tasks may be placed on the machine.
    pub fn takes_tasks(self) -> bool {
        self == MachineState::InService
    }
}

/// A machine in the inventory of its block.
#[derive(Debug, Clone, PartialEq)]
pub struct InventoryEntry {
    /// Its instance type.
    pub type_name: InstanceTypeName,
    /// Spot or on demand.
    pub capacity_type: CapacityType,
    /// Whether it accepts tasks.
    pub state: MachineState,
    /// When it was rented, in seconds since the Unix epoch.
    pub rented_s: u64,
}

/// The stored form of an inventory. Each machine is stored as, for example, `0s1800000000`: the
/// index of its type, the letter of its capacity type and state, and its rental time. Names in full
/// would need more blocks, each of which costs a change of its own.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct InventoryEncoding {
    #[serde(rename = "z")]
    pub(super) zone: Zone,
    #[serde(rename = "ty")]
    pub(super) types: Vec<InstanceTypeName>,
    #[serde(rename = "on")]
    pub(super) on: BTreeMap<MachineId, String>,
}

impl From<MachineInventory> for InventoryEncoding {
    fn from(inventory: MachineInventory) -> Self {
        let mut types: Vec<InstanceTypeName> = Vec::new();
        let mut on = BTreeMap::new();
        for (id, machine) in inventory.machines {
            let index = types
                .iter()
                .position(|known| *known == machine.type_name)
                .unwrap_or_else(|| {
                    types.push(machine.type_name.clone());
                    types.len() - 1
                });
            let letter = state_letter(machine.capacity_type, machine.state);
            on.insert(id, format!("{index}{letter}{}", machine.rented_s));
        }
        InventoryEncoding {
            zone: inventory.zone,
            types,
            on,
        }
    }
}

/// Error in a machine of a stored inventory.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum InventoryEntryError {
    #[error("machine entry `{0}` has no letter for its capacity type and state")]
    MissingLetter(String),
    #[error("unknown letter `{0}` for the capacity type and state of a machine")]
    UnknownLetter(char),
    #[error("malformed instance type index of a machine: {0}")]
    InvalidTypeIndex(ParseIntError),
    #[error("instance type index {0} is out of range")]
    UnknownTypeIndex(usize),
    #[error("malformed rental time of a machine: {0}")]
    InvalidRentalTime(ParseIntError),
}

impl TryFrom<InventoryEncoding> for MachineInventory {
    type Error = InventoryEntryError;

    fn try_from(encoding: InventoryEncoding) -> Result<Self, Self::Error> {
        let mut machines = BTreeMap::new();
        for (id, entry) in encoding.on {
            machines.insert(id, parse_entry(&entry, &encoding.types)?);
        }
        Ok(MachineInventory {
            zone: encoding.zone,
            machines,
        })
    }
}

fn parse_entry(
    text: &str,
    types: &[InstanceTypeName],
) -> Result<InventoryEntry, InventoryEntryError> {
    let (letter_at, letter) = text
        .char_indices()
        .find(|(_, c)| c.is_ascii_alphabetic())
        .ok_or_else(|| InventoryEntryError::MissingLetter(text.to_owned()))?;
    let (index, rest) = text.split_at(letter_at);
    let rented = &rest[letter.len_utf8()..];
    let (capacity_type, state) =
        parse_state_letter(letter).ok_or(InventoryEntryError::UnknownLetter(letter))?;
    let index: usize = index
        .parse()
        .map_err(InventoryEntryError::InvalidTypeIndex)?;
    let type_name = types
        .get(index)
        .ok_or(InventoryEntryError::UnknownTypeIndex(index))?;
    Ok(InventoryEntry {
        type_name: type_name.clone(),
        capacity_type,
        state,
        rented_s: rented
            .parse()
            .map_err(InventoryEntryError::InvalidRentalTime)?,
    })
}

/// The letter that a capacity type and a state are stored as.
fn state_letter(capacity_type: CapacityType, state: MachineState) -> char {
    match (capacity_type, state) {
        (CapacityType::OnDemand, MachineState::InService) => 'o',
        (CapacityType::OnDemand, MachineState::Cordoned) => 'c',
        (CapacityType::OnDemand, MachineState::Returning) => 'O',
        (CapacityType::Spot, MachineState::InService) => 's',
        (CapacityType::Spot, MachineState::Cordoned) => 'p',
        (CapacityType::Spot, MachineState::Returning) => 'S',
    }
}

fn parse_state_letter(letter: char) -> Option<(CapacityType, MachineState)> {
    match letter {
        'o' => Some((CapacityType::OnDemand, MachineState::InService)),
        'c' => Some((CapacityType::OnDemand, MachineState::Cordoned)),
        'O' => Some((CapacityType::OnDemand, MachineState::Returning)),
        's' => Some((CapacityType::Spot, MachineState::InService)),
        'p' => Some((CapacityType::Spot, MachineState::Cordoned)),
        'S' => Some((CapacityType::Spot, MachineState::Returning)),
        _ => None,
    }
}

impl MachineInventory {
    /// Creates an inventory without machines.
    pub fn new(zone: Zone) -> Self {
        MachineInventory {
            zone,
            machines: BTreeMap::new(),
        }
    }

    /// The maximum size of this value in bytes.
    pub fn size(&self) -> usize {
        let types: BTreeSet<&InstanceTypeName> = self
            .machines
            .values()
            .map(|entry| &entry.type_name)
            .collect();
        let types: usize = types
            .iter()
            .map(|name| name.0.len() + TYPE_OVERHEAD_BYTES)
            .sum();
        let machines: usize = self.machines.iter().map(|(id, entry)| entry.size(id)).sum();
        ENVELOPE_BYTES + self.zone.0.len() + types + machines
    }

    /// Adds the machines of another part.
    pub fn merge(&mut self, part: &MachineInventory) {
        let machines = part.machines.iter();
        self.machines
            .extend(machines.map(|(id, entry)| (id.clone(), entry.clone())));
    }
}

impl InventoryEntry {
    /// The bytes that a machine takes in its inventory's value.
    pub fn size(&self, id: &MachineId) -> usize {
        id.0.len() + MACHINE_OVERHEAD_BYTES + decimal_digits(self.rented_s)
    }
}

/// A rental request that may have been sent. It is stored before it is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PendingRental {
    /// The id of the request, which makes a repeated request idempotent.
    pub request: String,
    /// The zone to rent in.
    pub zone: Zone,
    /// Spot or on demand.
    #[serde(rename = "tenure")]
    pub capacity_type: CapacityType,
    /// The number of machines.
    pub count: u32,
}
