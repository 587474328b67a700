//! The cloud from which machines are rented: requests to it, its responses and the catalogue of instance types.
//!
//! The provisioner and the cancellation of jobs create the requests, the event loop sends them (see [`wire`]), and the
//! controller passes the responses back. This module neither waits nor makes decisions.

mod instance_catalog;
pub mod wire;

use crate::domain::MachineId;
pub use instance_catalog::InstanceCatalog;
use wire::{InstanceTypeList, MachineIds, MachineList, ScaleOutRequest};

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Lists the instance types.
    ListInstanceTypes,
    /// Rents machines. The request may be repeated: the cloud carries out each request name once.
    ScaleOut(ScaleOutRequest),
    /// Terminates machines. The request may be repeated: machines that no longer exist are ignored.
    Terminate(MachineIds),
    /// Lists rented machines, one page at a time.
    ListMachines {
        /// The last machine of the previous page.
        after: Option<MachineId>,
    },
}

/// The cloud's response to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudResponse {
    /// The instance types.
    InstanceTypes(InstanceTypeList),
    /// The machines granted, which may be fewer than requested.
    ScaledOut(MachineIds),
    /// The requested machines are unavailable, at present or permanently.
    NoCapacity,
    /// The machines are terminated.
    Terminated,
    /// A page of the list of machines.
    Machines(MachineList),
    /// The request was refused by the rate limit or an outage, or its response can't be read: nothing was done.
    Refused,
    /// There was no response, or an unreadable one to a request that may have been carried out.
    Unknown,
}
