//! The platform's services as this instance uses them.

use agateroute_config::settings;
use agateroute_storage::Client;
use agateroute_storage::config::ConfigStore;
use agateroute_storage::instances::{HTTP_SD, Instances};
use agateroute_storage::objects::{Objects, S3};
use agateroute_storage::table::{DYNAMO, Table};
use agateroute_storage::weights::{S3_MANIFEST, WeightStore};

use crate::daemon::millis;

/// The platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The table service.
    pub table: Table,
    /// The configuration.
    pub config: ConfigStore,
    /// The list of instances.
    pub instances: Instances,
    /// The weight store.
    pub weights: Option<WeightStore>,
    /// How often the head of the configuration is read, in milliseconds.
    pub poll_ms: u64,
}

impl Platform {
    /// The services at the addresses of the settings.
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
