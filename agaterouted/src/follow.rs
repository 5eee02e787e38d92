//! Follows the configuration: the head row, what peers have, and the platform's instance list.

use std::sync::Arc;
use std::time::Duration;

use agateroute_core::Event;
use agateroute_core::membership::ListedInstance;
use agateroute_proto::peers::FetchRequest;
use agateroute_storage::config::PartCache;
use agateroute_storage::instances::Instance;
use tokio_util::sync::CancellationToken;

use crate::peers::{PeerChannels, keep_dialing};
use crate::platform::Platform;
use crate::shell::{Shell, millis};

/// The pause between two reads of the instance list.
const LIST_PAUSE: Duration = Duration::from_millis(1_000);
/// The pause before a failed fetch is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Keeps the newest configuration in force, until cancelled: polls the head with jitter, and looks
/// at once when a peer tells of a newer version.
pub async fn configuration(shell: Arc<Shell>, cancel: CancellationToken) {
    let mut cache = PartCache::default();
    let channels = PeerChannels::default();
    loop {
        let behind = shell.newest_seen() > shell.in_force().version;
        if let Some(platform) = &shell.platform
            && !read_head(&shell, platform, &mut cache).await
            && (behind || !shell.has_version())
        {
            ask_peers(&shell, &channels).await;
        }
        let poll_ms = shell.platform.as_ref().map_or(1_000, |p| p.poll_ms);
        let jitter = rand::random_range(0..=poll_ms / 2);
        let still_behind = shell.newest_seen() > shell.in_force().version;
        let pause = if still_behind { RETRY_PAUSE } else { millis(poll_ms * 3 / 4 + jitter) };
        tokio::select! {
            () = cancel.cancelled() => return,
            () = shell.version_seen.notified() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Reads the head and brings a newer version into force. Returns whether the platform answered.
async fn read_head(shell: &Shell, platform: &Platform, cache: &mut PartCache) -> bool {
    let head = match platform.config.head().await {
        Ok(Some(head)) => head,
        Ok(None) => {
            shell.use_first();
            return true;
        }
        Err(error) => {
            spdlog::warn!("head_not_read", kv: { error: });
            return false;
        }
    };
    if head.version <= shell.in_force().version {
        return true;
    }
    match platform.config.document(&head, cache).await {
        Ok(document) => {
            shell.configure(head.version, document);
            true
        }
        Err(error) => {
            spdlog::warn!("document_not_read", kv: { version = head.version, error: });
            false
        }
    }
}

/// Takes the highest version that a peer holds.
async fn ask_peers(shell: &Shell, channels: &PeerChannels) {
    for address in shell.peer_addresses() {
        let request = FetchRequest { version: shell.in_force().version, servers_seen: 0 };
        let Some(reply) = channels.fetch(&address, request).await else { continue };
        if reply.document.is_empty() {
            continue;
        }
        match serde_json::from_str(&reply.document) {
            Ok(document) => {
                shell.configure(reply.version, document);
            }
            Err(error) => {
                spdlog::error!("peer_document_not_read", kv: { peer: = address.as_str(), error: });
            }
        }
    }
}

/// Reads the platform's instance list, until cancelled, and dials the instances in it.
pub async fn instances(shell: Arc<Shell>, cancel: CancellationToken) {
    let Some(platform) = &shell.platform else { return };
    let mut dialed: Vec<String> = shell.settings.peers.clone();
    dialed.push(shell.settings.peer.clone());
    dialed.sort();
    loop {
        if let Ok(list) = platform.instances.list().await {
            for instance in list.iter().filter(|i| i.entry) {
                if let Err(at) = dialed.binary_search(&instance.address) {
                    dialed.insert(at, instance.address.clone());
                    let (shell, address) = (shell.clone(), instance.address.clone());
                    tokio::spawn(keep_dialing(shell, address, cancel.child_token()));
                }
            }
            tell_listed(&shell, &list);
        }
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(LIST_PAUSE) => {}
        }
    }
}

fn tell_listed(shell: &Shell, list: &[Instance]) {
    let me = shell.me.name.as_str();
    let entries = list.iter().filter(|i| i.entry && i.name != me);
    let instances =
        entries.map(|i| ListedInstance { name: i.name.clone(), leaving: i.leaving }).collect();
    shell.apply(Event::Listed { instances });
    let in_force = shell.in_force();
    for instance in list.iter().filter(|i| !i.entry && i.leaving) {
        let server = in_force.servers.values().find(|s| *s.address == *instance.address);
        if let Some(server) = server {
            shell.apply(Event::ServerLeaving { server: server.id });
        }
    }
}
