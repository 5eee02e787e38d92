//! The platform's lagging list of instances, in the form of Prometheus HTTP service discovery.

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::error::{Cause, PlatformError};
use crate::http::{Client, FullRequest, request, status_cause};

/// An instance or a backend server in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The name.
    pub name: String,
    /// The address: of an agateroute instance its peer address.
    pub address: String,
    /// Whether it is an agateroute instance rather than a backend server.
    pub entry: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The functions that speak an instance list's wire format.
#[derive(Clone, Copy, Debug)]
pub struct InstanceAdapter {
    /// Encodes a read of the list.
    pub list: fn(&str) -> FullRequest,
    /// Decodes the list.
    pub read_list: fn(StatusCode, &[u8]) -> Result<Vec<Instance>, Cause>,
}

/// The adapter for HTTP service discovery.
pub const HTTP_SD: InstanceAdapter = InstanceAdapter { list: sd_list, read_list: sd_read_list };

/// An instance list at an address.
#[derive(Clone, Debug)]
pub struct Instances {
    /// The wire format.
    pub adapter: InstanceAdapter,
    /// The IP address and port.
    pub address: String,
    /// The client.
    pub client: Client,
}

impl Instances {
    /// Reads the list.
    pub async fn list(&self) -> Result<Vec<Instance>, PlatformError> {
        let step = "instance list";
        let request = (self.adapter.list)(&self.address);
        let (status, body) = self.client.call(step, &self.address, request).await?;
        let read = (self.adapter.read_list)(status, &body);
        read.map_err(|cause| PlatformError::new(step, &self.address, cause))
    }
}

/// A group of targets in the published format.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TargetGroup {
    /// Addresses.
    pub targets: Vec<String>,
    /// What all of them have in common.
    pub labels: TargetLabels,
}

/// The labels of a group.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TargetLabels {
    /// The name of the instance.
    pub instance: String,
    /// `entry` for agateroute instances, `backend` for backend servers.
    pub role: String,
    /// `live` or `leaving`.
    pub state: String,
}

fn sd_list(address: &str) -> FullRequest {
    request("GET", address, "/instances", "")
}

fn sd_read_list(status: StatusCode, body: &[u8]) -> Result<Vec<Instance>, Cause> {
    if !status.is_success() {
        return Err(status_cause(status, body));
    }
    let groups: Vec<TargetGroup> =
        serde_json::from_slice(body).map_err(|e| Cause::Decode(e.to_string()))?;
    let instances = groups.into_iter().flat_map(|g| {
        let labels = g.labels;
        g.targets.into_iter().map(move |address| Instance {
            name: labels.instance.clone(),
            address,
            entry: labels.role == "entry",
            leaving: labels.state == "leaving",
        })
    });
    Ok(instances.collect())
}
