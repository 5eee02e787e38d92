//! The snapshot that peers fetch: the active document, the backend servers, and the age of both.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use agateroute_core::freshness::Freshness;
use agateroute_core::id::{Millis, id_of_bytes};
use agateroute_proto::peers::{FetchReply, FetchRequest};

use crate::clock::boot_millis;

/// The active document and the backend servers, encoded for peers.
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
    /// The revision of the table service at which the servers were read.
    servers_revision: u64,
    /// The era of the table service in which the document was read.
    document_era: u64,
    /// The era of the table service, `None` if it has none.
    era: Option<u64>,
}

#[derive(Debug)]
struct EncodedServers {
    text: Arc<str>,
    /// The hash of the text. A peer that has the same hash gets no text.
    digest: u64,
}

impl Snapshot {
    fn lock(&self) -> MutexGuard<'_, SnapshotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a read of the document that was requested at `requested_at` on the boot clock. `age` is the
    /// time in milliseconds since a peer read it, 0 for a read from the table service.
    pub fn record_document(&self, requested_at: Millis, age: Millis) {
        self.lock().document_freshness.record_read(requested_at, age);
    }

    /// Milliseconds since the document was last read, including time in suspension; `None` before that.
    pub fn document_age(&self) -> Option<Millis> {
        self.lock().document_freshness.age(boot_millis())
    }

    /// Records a read of the backend servers, as [`Snapshot::record_document`] does for the document.
    pub fn record_servers(&self, requested_at: Millis, age: Millis, revision: u64) {
        let mut state = self.lock();
        state.servers_freshness.record_read(requested_at, age);
        state.servers_revision = state.servers_revision.max(revision);
    }

    /// Milliseconds since the servers were last read, including time in suspension; `None` before that.
    pub fn servers_age(&self) -> Option<Millis> {
        self.lock().servers_freshness.age(boot_millis())
    }

    /// The hash of the encoded backend servers, 0 if none were read.
    pub fn servers_digest(&self) -> u64 {
        self.lock().servers.as_ref().map_or(0, |s| s.digest)
    }

    /// Records a new era of the table service, whose revisions do not compare with those before. Returns the last
    /// revision of the former one.
    pub fn begin_era(&self, era: u64) -> u64 {
        let mut state = self.lock();
        state.era = Some(era);
        std::mem::take(&mut state.servers_revision)
    }

    /// The latest revision at which the servers were read in this era.
    pub fn servers_revision(&self) -> u64 {
        self.lock().servers_revision
    }

    /// The era in which the document was read.
    pub fn document_era(&self) -> u64 {
        self.lock().document_era
    }

    /// Sets the JSON of the document, the era in which it was read, and the JSON of the backend servers.
    pub fn set(&self, document: String, document_era: u64, servers: String) {
        let mut state = self.lock();
        state.document_era = document_era;
        state.document = Some(document.into());
        let digest = id_of_bytes(servers.as_bytes());
        state.servers = Some(EncodedServers { text: servers.into(), digest });
    }

    /// Answers a fetch, with the active version. `encode` writes the document if no JSON was set for it, and
    /// its error is returned.
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
            _ if (version, state.document_era) <= (request.version, request.document_era) => {
                String::new()
            }
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
            document_era: state.document_era,
            era: state.era.map_or(0, |era| era + 1),
        })
    }
}
