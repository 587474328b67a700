//! The cloud that machines are rented from: its requests, its responses and its catalogue of instance types.

mod instance_catalog;
pub mod wire;

use crate::domain::MachineId;
pub use instance_catalog::InstanceCatalog;
use wire::{InstanceTypeList, MachineList, MachineNames, ScaleOutRequest};

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    ListInstanceTypes,
    Rent(ScaleOutRequest),
    Delete(MachineNames),
    List { after: Option<MachineId> },
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudResponse {
    InstanceTypes(InstanceTypeList),
    Rented(MachineNames),
    NoCapacity,
    Deleted,
    Listed(MachineList),
    /// Rate limit, outage or an answer that makes no sense.
    Refused,
    Unknown,
}
