//! The cloud that machines are rented from: requests to it, its responses and its catalogue of instance types.
//!
//! The provisioner and the cancellation of jobs make the requests, the event loop sends them (see [`wire`]), and the
//! controller hands the responses back. Nothing here waits or decides.

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
    /// Rents machines. It may be repeated: the cloud carries out each name once.
    ScaleOut(ScaleOutRequest),
    /// Terminates machines. It may be repeated: what is gone is ignored.
    Terminate(MachineIds),
    /// Lists rented machines, a page at a time.
    ListMachines {
        /// The last machine of the page before.
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
    /// No machines of this kind can be had now, or ever.
    NoCapacity,
    /// The machines are terminated.
    Terminated,
    /// A page of the list of machines.
    Machines(MachineList),
    /// The rate limit, an outage, or a response that can't be read: nothing was done.
    Refused,
    /// No response, or an unreadable one to a request that may have been carried out.
    Unknown,
}
