//! Asks peers for the document and the backend servers that they have read.
//!
//! In a large fleet this is how most instances keep up; in any fleet it is how one keeps up that the
//! table service does not answer. What a peer hands out counts with its age from the moment at which the
//! peer was asked. See `docs/DESIGN.md`, "Readers of the table service".

use std::time::Duration;

use agateroute_core::id;
use agateroute_core::readers::{self, Role};
use agateroute_proto::peers::{FetchReply, FetchRequest};
use serde::de::DeserializeOwned;
use spdlog::Level;

use crate::clock::boot_millis;
use crate::compose::{PeerDocument, PeerListing};
use crate::daemon::Daemon;
use crate::declared::apply_declared;
use crate::discovery::{apply_snapshot, servers_fresh};
use crate::route_instance::RouteInstance;

/// The pause between two questions to a reader.
pub const FETCH_PAUSE: Duration = Duration::from_millis(500);
/// The part of the bound of the document for which what a peer handed out does without a read, in percent.
/// Readers read at half of it, and tell of a new version at once.
const MAX_SNAPSHOT_AGE_PERCENT: u64 = 75;
/// The readers that are asked before the table service is.
const MAX_READERS_TRIED: usize = 2;
/// How long a reader gets to read a version that another peer has told of.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(40);
/// The duty of reading the table service.
const READER_DUTY: &str = "discovery";

/// What this instance does about the table service.
pub fn role(daemon: &Daemon) -> Role {
    daemon.read(|state| readers::role(&state.membership, id(READER_DUTY), state.owners()))
}

/// Keeps up by asking readers, where that is the role of this instance. Returns whether what it knows now
/// is young enough.
pub async fn refresh(instance: &RouteInstance) -> bool {
    let Role::Client(readers) = role(&instance.daemon) else { return false };
    for reader in readers.into_iter().take(MAX_READERS_TRIED) {
        let Some(address) = instance.daemon.peer_address(reader) else { continue };
        if pull(instance, &address, Level::Debug).await
            && !is_fresh(instance)
            && behind(&instance.daemon)
        {
            tokio::time::sleep(CATCH_UP_PAUSE).await;
            pull(instance, &address, Level::Debug).await;
        }
        if is_fresh(instance) {
            return true;
        }
    }
    false
}

fn behind(daemon: &Daemon) -> bool {
    daemon.newest_version() > daemon.config().version
}

fn is_fresh(instance: &RouteInstance) -> bool {
    let bound = instance.bounds().configure_ms * MAX_SNAPSHOT_AGE_PERCENT / 100;
    instance.document_age() < bound && servers_fresh(instance) && !behind(&instance.daemon)
}

/// Asks all linked peers.
pub async fn fetch_all(instance: &RouteInstance) {
    for address in instance.daemon.peer_addresses() {
        pull(instance, &address, Level::Info).await;
    }
}

/// Asks a peer and takes over what it hands out. Returns whether it answered. `level` is that of the log
/// line: what is usual in a large fleet tells of an outage in a small one.
async fn pull(instance: &RouteInstance, address: &str, level: Level) -> bool {
    let requested_at = boot_millis();
    let daemon = &instance.daemon;
    let request = FetchRequest {
        version: daemon.config().version,
        servers_seen: daemon.snapshot.servers_digest(),
    };
    let Some(reply) = instance.source.channels.fetch(address, request).await else { return false };
    if !reply.document.is_empty()
        && let Some(document) = parse::<PeerDocument>(address, &reply.document)
    {
        apply_declared(instance, document.into_declared(reply.version));
    }
    let version = daemon.config().version;
    if let Some(age) = reply.reading_age.checked_sub(1)
        && reply.version == version
    {
        daemon.snapshot.record_document(requested_at, age);
        spdlog::log!(level, "reading_from_peer", kv: { peer: = address, version, age_ms = age });
    }
    if let Some(age) = reply.servers_age.checked_sub(1)
        && apply_servers(instance, address, &reply)
    {
        daemon.snapshot.record_servers(requested_at, age, reply.servers_revision);
    }
    true
}

/// Takes over the servers of a reply. Returns whether what is held is what the reply tells.
fn apply_servers(instance: &RouteInstance, address: &str, reply: &FetchReply) -> bool {
    if reply.servers.is_empty() {
        return reply.servers_seen == instance.daemon.snapshot.servers_digest();
    }
    let Some(listings) = parse::<Vec<PeerListing>>(address, &reply.servers) else { return false };
    let listings = listings.into_iter().map(PeerListing::into_listing).collect();
    apply_snapshot(instance, reply.servers_revision, listings);
    true
}

fn parse<T: DeserializeOwned>(address: &str, text: &str) -> Option<T> {
    serde_json::from_str(text)
        .inspect_err(|error| {
            spdlog::error!("peer_answer_not_read", kv: { peer: = address, error: });
        })
        .ok()
}
