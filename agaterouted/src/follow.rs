//! Follows the configuration in the platform's head row or on peers, and the platform's instance list.

use std::sync::Arc;
use std::time::Duration;

use agateroute_core::Event;
use agateroute_core::membership::ListedInstance;
use agateroute_proto::peers::FetchRequest;
use agateroute_storage::config::PartCache;
use agateroute_storage::instances::Instance;
use tokio_util::sync::CancellationToken;

use crate::daemon::{Daemon, millis};
use crate::peers::{PeerChannels, dial_listed};
use crate::platform::Platform;

/// The pause between two reads of the instance list.
const LIST_PAUSE: Duration = Duration::from_millis(1_000);
/// The pause while a peer has announced a version that is newer than the active one.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Keeps the newest configuration active, until cancelled: polls the head with jitter, and at once when a
/// peer announces a newer version.
pub async fn follow_configuration(daemon: Arc<Daemon>, cancel: CancellationToken) {
    let mut cache = PartCache::default();
    let channels = PeerChannels::default();
    loop {
        let is_behind = daemon.newest_version() > daemon.config().version;
        if let Some(platform) = &daemon.platform
            && !read_head(&daemon, platform, &mut cache).await
            && (is_behind || !daemon.has_platform_version())
        {
            fetch_from_peers(&daemon, &channels).await;
        }
        let poll_ms = daemon.platform.as_ref().map_or(1_000, |p| p.poll_ms);
        let jitter = rand::random_range(0..=poll_ms / 2);
        let still_behind = daemon.newest_version() > daemon.config().version;
        let pause = if still_behind { RETRY_PAUSE } else { millis(poll_ms * 3 / 4 + jitter) };
        tokio::select! {
            () = cancel.cancelled() => return,
            () = daemon.version_notify.notified() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Reads the head and activates a newer version. Returns whether the platform answered.
async fn read_head(daemon: &Daemon, platform: &Platform, cache: &mut PartCache) -> bool {
    let head = match platform.config.head().await {
        Ok(Some(head)) => head,
        Ok(None) => {
            daemon.apply_initial();
            return true;
        }
        Err(error) => {
            spdlog::warn!("head_not_read", kv: { error: });
            return false;
        }
    };
    if head.version <= daemon.config().version {
        return true;
    }
    match platform.config.document(&head, cache).await {
        Ok(document) => {
            daemon.configure(head.version, document);
            true
        }
        Err(error) => {
            spdlog::warn!("document_not_read", kv: { version = head.version, error: });
            false
        }
    }
}

/// Fetches the documents of linked peers and activates the newest.
async fn fetch_from_peers(daemon: &Daemon, channels: &PeerChannels) {
    for address in daemon.peer_addresses() {
        let request = FetchRequest { version: daemon.config().version, ..FetchRequest::default() };
        let Some(reply) = channels.fetch(&address, request).await else { continue };
        if reply.document.is_empty() {
            continue;
        }
        match serde_json::from_str(&reply.document) {
            Ok(document) => {
                daemon.configure(reply.version, document);
            }
            Err(error) => {
                spdlog::error!("peer_document_invalid", kv: { peer: = address.as_str(), error: });
            }
        }
    }
}

/// Reads the platform's instance list and dials the instances in it, until cancelled.
pub async fn follow_instances(daemon: Arc<Daemon>, cancel: CancellationToken) {
    let Some(platform) = &daemon.platform else { return };
    loop {
        if let Ok(list) = platform.instances.list().await {
            let addresses = list.iter().filter(|i| i.entry).map(|i| i.address.clone());
            let addresses: Vec<String> = addresses.filter(|a| *a != daemon.settings.peer).collect();
            dial_listed(&daemon, &addresses, &cancel);
            apply_list(&daemon, &list);
        }
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(LIST_PAUSE) => {}
        }
    }
}

fn apply_list(daemon: &Daemon, list: &[Instance]) {
    let own_name = daemon.identity.name.as_str();
    let entries = list.iter().filter(|i| i.entry && i.name != own_name);
    let instances =
        entries.map(|i| ListedInstance { name: i.name.clone(), leaving: i.leaving }).collect();
    daemon.apply(Event::Listed { instances });
    let config = daemon.config();
    for instance in list.iter().filter(|i| !i.entry && i.leaving) {
        let server = config.servers.values().find(|s| *s.address == *instance.address);
        if let Some(server) = server {
            daemon.apply(Event::ServerLeaving { server: server.id });
        }
    }
}
