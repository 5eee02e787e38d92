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
use crate::declared::take_declared;
use crate::listings::{handed_lately, take_handed};
use crate::route_instance::RouteInstance;
use crate::shell::Shell;

/// The pause between two questions to a reader.
pub const ASK_PAUSE: Duration = Duration::from_millis(500);
/// The part of the bound of the document for which what a peer handed out does without a read, in percent.
/// Readers read at half of it, and tell of a new version at once.
const HANDED_PERCENT: u64 = 75;
/// The readers that are asked before the table service is.
const ASKED_MOST: usize = 2;
/// How long a reader gets to read a version that another peer has told of.
const BEHIND_PAUSE: Duration = Duration::from_millis(40);
/// The duty of reading the table service.
const READ_DUTY: &str = "discovery";

/// What this instance does about the table service.
pub fn role(shell: &Shell) -> Role {
    shell.read(|state| readers::role(&state.membership, id(READ_DUTY), state.owners()))
}

/// Keeps up by asking readers, where that is the role of this instance. Returns whether what it knows now
/// is young enough.
pub async fn keep_up(instance: &RouteInstance) -> bool {
    let Role::Client(readers) = role(&instance.shell) else { return false };
    for reader in readers.into_iter().take(ASKED_MOST) {
        let Some(address) = instance.shell.peer_address(reader) else { continue };
        if ask(instance, &address, Level::Debug).await
            && !lately(instance)
            && behind(&instance.shell)
        {
            tokio::time::sleep(BEHIND_PAUSE).await;
            ask(instance, &address, Level::Debug).await;
        }
        if lately(instance) {
            return true;
        }
    }
    false
}

fn behind(shell: &Shell) -> bool {
    shell.newest_seen() > shell.in_force().version
}

fn lately(instance: &RouteInstance) -> bool {
    let bound = instance.bounds().configure_ms * HANDED_PERCENT / 100;
    instance.document_age() < bound && handed_lately(instance) && !behind(&instance.shell)
}

/// Asks all linked peers.
pub async fn ask_all(instance: &RouteInstance) {
    for address in instance.shell.peer_addresses() {
        ask(instance, &address, Level::Info).await;
    }
}

/// Asks a peer and takes over what it hands out. Returns whether it answered. `level` is that of the log
/// line: what is usual in a large fleet tells of an outage in a small one.
async fn ask(instance: &RouteInstance, address: &str, level: Level) -> bool {
    let asked = boot_millis();
    let shell = &instance.shell;
    let request = FetchRequest {
        version: shell.in_force().version,
        servers_seen: shell.handout.servers_seen(),
    };
    let Some(reply) = instance.source.channels.fetch(address, request).await else { return false };
    if !reply.document.is_empty()
        && let Some(held) = parse::<PeerDocument>(address, &reply.document)
    {
        take_declared(instance, held.into_declared(reply.version));
    }
    let version = shell.in_force().version;
    if let Some(age) = reply.reading_age.checked_sub(1)
        && reply.version == version
    {
        shell.handout.note_document(asked, age);
        spdlog::log!(level, "reading_from_peer", kv: { peer: = address, version, age_ms = age });
    }
    if let Some(age) = reply.servers_age.checked_sub(1)
        && take_servers(instance, address, &reply)
    {
        shell.handout.note_servers(asked, age, reply.servers_revision);
    }
    true
}

/// Takes over the servers of a reply. Returns whether what is held is what the reply tells.
fn take_servers(instance: &RouteInstance, address: &str, reply: &FetchReply) -> bool {
    if reply.servers.is_empty() {
        return reply.servers_seen == instance.shell.handout.servers_seen();
    }
    let Some(listings) = parse::<Vec<PeerListing>>(address, &reply.servers) else { return false };
    let listings = listings.into_iter().map(PeerListing::into_listing).collect();
    take_handed(instance, reply.servers_revision, listings);
    true
}

fn parse<T: DeserializeOwned>(address: &str, text: &str) -> Option<T> {
    serde_json::from_str(text)
        .inspect_err(|error| {
            spdlog::error!("peer_answer_not_read", kv: { peer: = address, error: });
        })
        .ok()
}
