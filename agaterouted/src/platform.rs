//! Clients of the platform's services.

use agateroute_config::settings;
use agateroute_storage::Client;
use agateroute_storage::config::ConfigStore;
use agateroute_storage::instances::{HTTP_SD, Instances};
use agateroute_storage::objects::{Objects, S3};
use agateroute_storage::table::{DYNAMO, Table};
use agateroute_storage::weights::{S3_MANIFEST, WeightStore};

use crate::daemon::millis;

/// The platform's services, reached at the addresses of the settings.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The table service, for claims, leases and tallies.
    pub table: Table,
    /// The versions of the configuration, in the table service and the object store.
    pub config: ConfigStore,
    /// The platform's list of instances.
    pub instances: Instances,
    /// The weight store, if there is one.
    pub weights: Option<WeightStore>,
    /// The time between two reads of the configuration's head row, in milliseconds.
    pub poll_ms: u64,
}

impl Platform {
    /// Creates the clients, which share a connection pool and a time limit.
    pub fn new(settings: &settings::Platform) -> Platform {
        let client = Client::new(millis(settings.timeout_ms));
        let table =
            Table { adapter: DYNAMO, address: settings.table.clone(), client: client.clone() };
        let objects =
            Objects { adapter: S3, address: settings.objects.clone(), client: client.clone() };
        let weights = settings.weights.as_ref().map(|address| WeightStore {
            adapter: S3_MANIFEST,
            address: address.clone(),
            client: client.clone(),
        });
        let instances = Instances { adapter: HTTP_SD, address: settings.instances.clone(), client };
        let config = ConfigStore { table: table.clone(), objects };
        Platform { table, config, instances, weights, poll_ms: settings.poll_ms }
    }
}
