//! The root of the declared document.

use crate::limits::Limits;
use crate::model::Model;
use crate::organisation::Organisation;
use crate::rank::Rank;
use crate::route::Route;
use crate::routing::Routing;
use crate::server::Server;
use crate::service::Service;

section! {
    /// The document of a deployment. One version is in force at a time.
    pub struct Document {
        /// The name of the deployment, shown in reports.
        #[schemars(length(min = 1))]
        pub deployment: String,
        /// The ranks of requests, most urgent first.
        #[schemars(length(min = 1))]
        pub ranks: Vec<Rank>,
        /// The models that organisations can request.
        #[serde(default)]
        pub models: Vec<Model>,
        /// The plain services that organisations can call.
        #[serde(default)]
        pub services: Vec<Service>,
        /// The routes, which select requests by host and path prefix.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub routes: Vec<Route>,
        /// The backend servers that run models and services.
        #[serde(default)]
        pub servers: Vec<Server>,
        /// The organisations that may send requests.
        #[serde(default)]
        pub organisations: Vec<Organisation>,
        /// The limits on requests and connections of callers.
        #[serde(default)]
        pub limits: Limits,
        /// The parameters of routing, timeouts and retries.
        #[serde(default)]
        pub routing: Routing,
    }
}

impl Document {
    /// Returns the index of a rank in order of urgency, 0 for the most urgent.
    pub fn rank_index(&self, name: &str) -> Option<usize> {
        self.ranks.iter().position(|r| r.name == name)
    }

    /// Finds a model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|m| m.name == name)
    }

    /// Finds a plain service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Finds a backend server by name.
    pub fn server(&self, name: &str) -> Option<&Server> {
        self.servers.iter().find(|s| s.name == name)
    }

    /// Finds an organisation by name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations.iter().find(|m| m.name == name)
    }
}
