//! The platform's instance list, in the format of Prometheus HTTP service discovery. It may lag
//! behind the instances that run.

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::error::{Cause, PlatformError};
use crate::http::{Client, FullRequest, request, status_cause};

/// An instance or a backend server in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The name of the instance or server.
    pub name: String,
    /// The address as IP address and port; the peer address of an agateroute instance.
    pub address: String,
    /// Whether it is an agateroute instance and not a backend server.
    pub entry: bool,
    /// Whether the instance or server is leaving the deployment.
    pub leaving: bool,
}

/// The functions that encode and decode an instance list's wire format.
#[derive(Clone, Copy, Debug)]
pub struct InstanceAdapter {
    /// Encodes a read of the list, from the service's address.
    pub encode_list: fn(&str) -> FullRequest,
    /// Decodes the response to a read.
    pub decode_list: fn(StatusCode, &[u8]) -> Result<Vec<Instance>, Cause>,
}

/// The adapter for Prometheus HTTP service discovery.
pub const HTTP_SD: InstanceAdapter =
    InstanceAdapter { encode_list: sd_encode_list, decode_list: sd_decode_list };

/// A client of an instance list.
#[derive(Clone, Debug)]
pub struct Instances {
    /// The adapter for the wire format.
    pub adapter: InstanceAdapter,
    /// The address of the service, as IP address and port.
    pub address: String,
    /// The HTTP client that calls go through.
    pub client: Client,
}

impl Instances {
    /// Reads the instances and backend servers that the platform lists.
    pub async fn list(&self) -> Result<Vec<Instance>, PlatformError> {
        let step = "instance list";
        let request = (self.adapter.encode_list)(&self.address);
        let (status, body) = self.client.call(step, &self.address, request).await?;
        let read = (self.adapter.decode_list)(status, &body);
        read.map_err(|cause| PlatformError::new(step, &self.address, cause))
    }
}

/// A target group, as Prometheus HTTP service discovery defines it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TargetGroup {
    /// The addresses of the targets.
    pub targets: Vec<String>,
    /// The labels that all targets of the group share.
    pub labels: TargetLabels,
}

/// The labels of a target group.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TargetLabels {
    /// The name of the instance or backend server.
    pub instance: String,
    /// `entry` for agateroute instances, `backend` for backend servers.
    pub role: String,
    /// `live`, or `leaving` for an instance or server that is about to stop.
    pub state: String,
}

fn sd_encode_list(address: &str) -> FullRequest {
    request("GET", address, "/instances", "")
}

fn sd_decode_list(status: StatusCode, body: &[u8]) -> Result<Vec<Instance>, Cause> {
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
