//! The cloud's protocol: its messages as defined by PROTOCOL, and the conversion of requests and responses.
//!
//! Serde attributes give the names on the wire. The event loop sends the result of [`http_request`] and passes the
//! reply to [`parse_response`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{CloudRequest, CloudResponse};
use crate::domain::{Amount, InstanceTypeName, MachineId, Resources, Zone};
use crate::http::{Reply, Request, decode_body, encode_body};

/// All instance types that the cloud has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceTypeList {
    /// The instance types, in no particular order.
    #[serde(rename = "berthKinds")]
    pub types: Vec<InstanceType>,
}

/// An instance type: the resources, prices and boot time of its machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceType {
    /// Its unique name.
    pub name: InstanceTypeName,
    /// CPUs of a machine.
    pub cpus: Amount,
    /// GPUs of a machine.
    #[serde(rename = "cards", default)]
    pub gpus: Amount,
    /// Memory of a machine, in gigabytes.
    #[serde(rename = "ramGb")]
    pub memory_gb: Amount,
    /// Space for cached images, in gigabytes.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: Amount,
    /// How fast a machine fetches images, in gigabytes a second.
    #[serde(rename = "pullGbPerS")]
    pub fetch_gb_per_s: Amount,
    /// Price of an on-demand machine, in the cloud's unit.
    #[serde(rename = "rate")]
    pub price: Amount,
    /// Price of a spot machine, in the same unit.
    #[serde(rename = "spotPrice")]
    pub spot_price: Amount,
    /// The advertised boot time, in seconds. See [`InstanceType::boot_time`].
    #[serde(rename = "readyS")]
    pub boot_s: Amount,
    /// The zones that have machines of this type.
    #[serde(rename = "wings")]
    pub zones: Vec<Zone>,
}

/// Maximum boot time: longer advertised times are taken for errors.
const MAX_BOOT_TIME: Duration = Duration::from_secs(3600);

impl InstanceType {
    /// The boot time that the cloud advertises, at most an hour.
    #[must_use]
    pub fn boot_time(&self) -> Duration {
        Duration::try_from_secs_f64(self.boot_s.0)
            .map_or(MAX_BOOT_TIME, |boot| boot.min(MAX_BOOT_TIME))
    }

    /// The resources of an empty machine.
    #[must_use]
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus.0,
            gpus: self.gpus.0,
            memory_gb: self.memory_gb.0,
        }
    }

    /// How long a machine takes to fetch an image, in seconds for each gigabyte.
    #[must_use]
    pub fn fetch_s_per_gb(&self) -> f64 {
        1.0 / self.fetch_gb_per_s.0.max(1e-3)
    }
}

/// A request for machines. It may be repeated: the cloud carries out each request name once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// The unique name of the request.
    #[serde(rename = "requisition")]
    pub request: String,
    /// The instance type.
    #[serde(rename = "berthKind")]
    pub type_name: InstanceTypeName,
    /// The zone.
    #[serde(rename = "wing")]
    pub zone: Zone,
    /// Whether spot machines are requested, not on-demand ones.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// The number of machines requested.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// The machines that were granted, or are to be terminated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineIds {
    /// Their ids.
    #[serde(rename = "berths")]
    pub machines: Vec<MachineId>,
}

/// One page of the list of machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines of the page.
    #[serde(rename = "berths")]
    pub machines: Vec<ListedMachine>,
    /// Whether more pages follow.
    #[serde(default)]
    pub more: bool,
}

/// A machine as the cloud lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its id.
    pub id: MachineId,
    /// Its worker's address, once that is known.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// The instance type.
    #[serde(rename = "berthKind")]
    pub type_name: InstanceTypeName,
    /// The zone.
    #[serde(rename = "wing")]
    pub zone: Zone,
    /// Whether it is a spot machine, not an on-demand one.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "status")]
    pub state: ListedState,
    /// How long it has been rented, in seconds.
    #[serde(rename = "heldS", default)]
    pub age_s: Amount,
}

/// The state of a machine as the cloud lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// Granted, but its worker has not started.
    #[serde(rename = "booting")]
    Booting,
    /// Its worker has started.
    #[serde(rename = "running")]
    Running,
    /// It failed to boot, or broke down later.
    #[serde(rename = "failed")]
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}

/// How long to wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of machines on one page of the list.
const MACHINES_PER_PAGE: u32 = 500;

/// Converts a request to the cloud into an HTTP request.
#[must_use]
pub fn http_request(request: &CloudRequest) -> Request {
    match request {
        CloudRequest::ListInstanceTypes => Request::get("/flavors".to_owned(), RESPONSE_TIMEOUT),
        CloudRequest::ScaleOut(scale_out) => Request::post(
            "/machines".to_owned(),
            encode_body(scale_out),
            RESPONSE_TIMEOUT,
        ),
        CloudRequest::Terminate(ids) => Request::post(
            "/machines/delete".to_owned(),
            encode_body(ids),
            RESPONSE_TIMEOUT,
        ),
        CloudRequest::ListMachines { after } => {
            let after = after
                .as_ref()
                .map(|id| format!("after={id}&"))
                .unwrap_or_default();
            Request::get(
                format!("/machines?{after}most={MACHINES_PER_PAGE}"),
                RESPONSE_TIMEOUT,
            )
        }
    }
}

/// Converts an HTTP reply to a response of the cloud. None: there was no reply before the timeout.
#[must_use]
pub fn parse_response(request: &CloudRequest, reply: Option<&Reply>) -> CloudResponse {
    let Some(reply) = reply else {
        return CloudResponse::Unknown;
    };
    match (reply.status, request) {
        (200, CloudRequest::ListInstanceTypes) => {
            decode_body(&reply.body).map_or(CloudResponse::Refused, CloudResponse::InstanceTypes)
        }
        (200, CloudRequest::ScaleOut(_)) => {
            decode_body(&reply.body).map_or(CloudResponse::Unknown, CloudResponse::ScaledOut)
        }
        (200, CloudRequest::Terminate(_)) => CloudResponse::Terminated,
        (200, CloudRequest::ListMachines { .. }) => {
            decode_body(&reply.body).map_or(CloudResponse::Refused, CloudResponse::Machines)
        }
        // An outage has status 503 as well, but another error text.
        (503, CloudRequest::ScaleOut(_)) => match decode_body::<ErrorBody>(&reply.body) {
            Ok(body) if body.error == "no capacity" => CloudResponse::NoCapacity,
            _ => CloudResponse::Refused,
        },
        // A request that the cloud calls malformed would fail again each time, so it is not retried.
        (400, CloudRequest::ScaleOut(_)) => CloudResponse::NoCapacity,
        _ => CloudResponse::Refused,
    }
}

#[derive(Deserialize)]
struct ErrorBody {
    error: String,
}

#[cfg(test)]
pub mod tests;
