//! The cloud's protocol, as PROTOCOL spells it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{CloudRequest, CloudResponse};
use crate::domain::{Amount, InstanceTypeName, MachineId, Resources, Zone};
use crate::http::{Reply, Request, read, write};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceTypeList {
    #[serde(rename = "berthKinds")]
    pub types: Vec<InstanceType>,
}

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceType {
    pub name: InstanceTypeName,
    pub cpus: Amount,
    #[serde(rename = "cards", default)]
    pub gpus: Amount,
    #[serde(rename = "ramGb")]
    pub memory_gb: Amount,
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: Amount,
    #[serde(rename = "pullGbPerS")]
    pub fetch_gb_per_s: Amount,
    #[serde(rename = "rate")]
    pub price: Amount,
    #[serde(rename = "spotPrice")]
    pub spot_price: Amount,
    #[serde(rename = "readyS")]
    pub boot_s: Amount,
    #[serde(rename = "wings")]
    pub zones: Vec<Zone>,
}

/// Boot times beyond this are taken for mistakes.
const LONGEST_BOOT: Duration = Duration::from_secs(3600);

impl InstanceType {
    /// The boot time that the cloud states.
    pub fn boot_time(&self) -> Duration {
        Duration::try_from_secs_f64(self.boot_s.0)
            .map_or(LONGEST_BOOT, |boot| boot.min(LONGEST_BOOT))
    }

    pub fn room(&self) -> Resources {
        Resources {
            cpus: self.cpus.0,
            gpus: self.gpus.0,
            memory_gb: self.memory_gb.0,
        }
    }

    pub fn fetch_s_per_gb(&self) -> f64 {
        1.0 / self.fetch_gb_per_s.0.max(1e-3)
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    #[serde(rename = "requisition")]
    pub request: String,
    #[serde(rename = "berthKind")]
    pub type_name: InstanceTypeName,
    #[serde(rename = "wing")]
    pub zone: Zone,
    #[serde(rename = "loaner")]
    pub spot: bool,
    #[serde(rename = "howMany")]
    pub count: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "berths")]
    pub machines: Vec<MachineId>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "berths")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub more: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    pub id: MachineId,
    /// Its worker's address.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    #[serde(rename = "berthKind")]
    pub type_name: InstanceTypeName,
    #[serde(rename = "wing")]
    pub zone: Zone,
    #[serde(rename = "loaner")]
    pub spot: bool,
    #[serde(rename = "status")]
    pub state: ListedState,
    #[serde(rename = "heldS", default)]
    pub age_s: Amount,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    #[serde(rename = "booting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
    #[serde(other)]
    Other,
}

const TIMEOUT: Duration = Duration::from_secs(5);
const PAGE: u32 = 500;

pub fn request(call: &CloudRequest) -> Request {
    match call {
        CloudRequest::ListInstanceTypes => Request::get("/flavors".to_owned(), TIMEOUT),
        CloudRequest::Rent(rent) => Request::post("/machines".to_owned(), write(rent), TIMEOUT),
        CloudRequest::Delete(names) => {
            Request::post("/machines/delete".to_owned(), write(names), TIMEOUT)
        }
        CloudRequest::List { after } => {
            let after = after
                .as_ref()
                .map(|id| format!("after={id}&"))
                .unwrap_or_default();
            Request::get(format!("/machines?{after}most={PAGE}"), TIMEOUT)
        }
    }
}

pub fn outcome(call: &CloudRequest, reply: Option<&Reply>) -> CloudResponse {
    let Some(reply) = reply else {
        return CloudResponse::Unknown;
    };
    match (reply.status, call) {
        (200, CloudRequest::ListInstanceTypes) => {
            read(&reply.body).map_or(CloudResponse::Refused, CloudResponse::InstanceTypes)
        }
        (200, CloudRequest::Rent(_)) => {
            read(&reply.body).map_or(CloudResponse::Unknown, CloudResponse::Rented)
        }
        (200, CloudRequest::Delete(_)) => CloudResponse::Deleted,
        (200, CloudRequest::List { .. }) => {
            read(&reply.body).map_or(CloudResponse::Refused, CloudResponse::Listed)
        }
        // An outage is a 503 too, but says so.
        (503, CloudRequest::Rent(_)) => match read::<Problem>(&reply.body) {
            Ok(problem) if problem.error == "no capacity" => CloudResponse::NoCapacity,
            _ => CloudResponse::Refused,
        },
        // A request that the cloud calls malformed would be so for ever.
        (400, CloudRequest::Rent(_)) => CloudResponse::NoCapacity,
        _ => CloudResponse::Refused,
    }
}

#[derive(Deserialize)]
struct Problem {
    error: String,
}

#[cfg(test)]
pub mod tests;
