//! What an instance hands out to peers that ask: the document in force, the backend servers, and how fresh
//! it knows them to be.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use agateroute_core::freshness::Freshness;
use agateroute_core::id::{Millis, id_of_bytes};
use agateroute_proto::peers::{FetchReply, FetchRequest};

use crate::clock::boot_millis;

/// What an instance hands out.
#[derive(Debug, Default)]
pub struct Snapshot {
    state: Mutex<SnapshotState>,
}

#[derive(Debug, Default)]
struct SnapshotState {
    document: Option<Arc<str>>,
    servers: Option<EncodedServers>,
    document_freshness: Freshness,
    servers_freshness: Freshness,
    /// The revision of the table service that the servers are as of.
    servers_revision: u64,
}

#[derive(Debug)]
struct EncodedServers {
    text: Arc<str>,
    /// Names the content.
    digest: u64,
}

impl Snapshot {
    fn lock(&self) -> MutexGuard<'_, SnapshotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a reading of the document that was asked for at `requested_at`, on the clock that counts
    /// suspension, and was `age` old where it came from.
    pub fn record_document(&self, requested_at: Millis, age: Millis) {
        self.lock().document_freshness.record_read(requested_at, age);
    }

    /// How old the last reading of the document is, suspension counted.
    pub fn document_age(&self) -> Option<Millis> {
        self.lock().document_freshness.age(boot_millis())
    }

    /// Notes a reading of the backend servers, as [`Snapshot::record_document`] does for the document.
    pub fn record_servers(&self, requested_at: Millis, age: Millis, revision: u64) {
        let mut state = self.lock();
        state.servers_freshness.record_read(requested_at, age);
        state.servers_revision = state.servers_revision.max(revision);
    }

    /// How old the last reading of the backend servers is, suspension counted.
    pub fn servers_age(&self) -> Option<Millis> {
        self.lock().servers_freshness.age(boot_millis())
    }

    /// Names the backend servers as they are known here, 0 where none were read.
    pub fn servers_digest(&self) -> u64 {
        self.lock().servers.as_ref().map_or(0, |s| s.digest)
    }

    /// Sets the texts that peers get.
    pub fn set(&self, document: String, servers: String) {
        let mut state = self.lock();
        state.document = Some(document.into());
        let digest = id_of_bytes(servers.as_bytes());
        state.servers = Some(EncodedServers { text: servers.into(), digest });
    }

    /// The answer to a peer, with the version in force. `encode` writes the document where no text was
    /// set for it.
    pub fn reply(
        &self,
        request: &FetchRequest,
        version: u64,
        encode: impl FnOnce() -> Result<String, serde_json::Error>,
    ) -> Result<FetchReply, serde_json::Error> {
        let now = boot_millis();
        let state = self.lock();
        let age = |read: &Freshness| read.age(now).map_or(0, |age| age + 1);
        let document = match &state.document {
            _ if version <= request.version => String::new(),
            Some(text) => text.to_string(),
            None => encode()?,
        };
        let servers = state.servers.as_ref().filter(|s| s.digest != request.servers_seen);
        Ok(FetchReply {
            version,
            document,
            reading_age: age(&state.document_freshness),
            servers: servers.map_or_else(String::new, |s| s.text.to_string()),
            servers_seen: state.servers.as_ref().map_or(0, |s| s.digest),
            servers_age: age(&state.servers_freshness),
            servers_revision: state.servers_revision,
        })
    }
}
