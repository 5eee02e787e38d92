//! The snapshot that peers fetch: the active document, the backend servers, and the age of both.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use agateroute_core::Id;
use agateroute_core::distribution::Clients;
use agateroute_core::freshness::Freshness;
use agateroute_core::id::Millis;
use agateroute_core::restore::DocumentVersion;
use agateroute_core::roster::Listing;
use agateroute_core::server_list::{ListPoint, ListUpdate, ServerList};
use agateroute_proto::peers::{FetchReply, FetchRequest};

use crate::clock::boot_millis;
use crate::compose::PeerListing;
use crate::packed;

/// The active document and the backend servers, for peers.
#[derive(Debug, Default)]
pub struct Snapshot {
    state: Mutex<SnapshotState>,
}

#[derive(Debug)]
struct SnapshotState {
    /// The JSON of the document, and its version.
    document: Option<(DocumentVersion, Arc<str>)>,
    servers: ServerList,
    /// The JSON of the whole list, and the point at which it was written.
    servers_text: Option<(ListPoint, Arc<str>)>,
    /// The same compressed, `None` if it is too short for that.
    servers_packed: Option<(ListPoint, Option<Arc<[u8]>>)>,
    document_freshness: Freshness,
    servers_freshness: Freshness,
    /// The revision of the table service at which the servers were read.
    servers_revision: u64,
    /// The era of the table service, `None` if it has none.
    era: Option<u64>,
    /// The peers to which the list is handed on.
    clients: Clients,
    /// When peers should ask again while there is no list, in milliseconds.
    retry_ms: u32,
}

/// The pause before peers ask again while this instance reads the list, in milliseconds.
const READING_RETRY_MS: u32 = 100;
/// The pause before a refused peer asks again, in milliseconds. It asks others before.
const REFUSED_RETRY_MS: u32 = 200;

impl Default for SnapshotState {
    fn default() -> SnapshotState {
        SnapshotState {
            document: None,
            servers: ServerList::new(rand::random_range(1..u64::MAX)),
            servers_text: None,
            servers_packed: None,
            document_freshness: Freshness::default(),
            servers_freshness: Freshness::default(),
            servers_revision: 0,
            era: None,
            clients: Clients::default(),
            retry_ms: READING_RETRY_MS,
        }
    }
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

    /// The digest of the list of backend servers.
    pub fn servers_digest(&self) -> u64 {
        self.lock().servers.digest()
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

    /// The version of the document that is set, with the era in which it was read.
    pub fn document_version(&self) -> Option<DocumentVersion> {
        self.lock().document.as_ref().map(|(version, _)| *version)
    }

    /// Sets the JSON of a version of the document.
    pub fn set_document(&self, version: DocumentVersion, json: String) {
        self.lock().document = Some((version, json.into()));
    }

    /// Sets the backend servers that take new work.
    pub fn set_servers(&self, listings: impl Iterator<Item = Listing>) {
        self.lock().servers.replace(listings);
    }

    /// Sets when peers should ask again while this instance has no list.
    pub fn set_retry(&self, pause_ms: Millis) {
        self.lock().retry_ms = u32::try_from(pause_ms).unwrap_or(u32::MAX);
    }

    /// Returns the reply to a peer if this instance has enough clients; `None` if it hands the list to this one, or has none. A peer
    /// of the build before says no name and is never refused.
    pub fn refusal(&self, caller: Id, version: u64) -> Option<FetchReply> {
        let now = boot_millis();
        let mut state = self.lock();
        let has_list = state.servers_freshness.age(now).is_some();
        let admitted = caller == 0 || !has_list || state.clients.admit(caller, now);
        let reply = FetchReply { version, refused: true, ..FetchReply::default() };
        (!admitted).then_some(FetchReply { retry_ms: REFUSED_RETRY_MS, ..reply })
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
        let mut state = self.lock();
        let age = |read: &Freshness| read.age(now).map_or(0, |age| age + 1);
        let document_era = state.document.as_ref().map_or(0, |(version, _)| version.era);
        let document = match &state.document {
            _ if (version, document_era) <= (request.version, request.document_era) => {
                String::new()
            }
            Some((_, text)) => text.to_string(),
            None => encode()?,
        };
        let mut reply = FetchReply {
            version,
            document,
            document_era,
            reading_age: age(&state.document_freshness),
            servers_age: age(&state.servers_freshness),
            servers_revision: state.servers_revision,
            servers_seen: state.servers.digest(),
            list_source: state.servers.point().source,
            list_number: state.servers.point().number,
            era: state.era.map_or(0, |era| era.saturating_add(1)),
            retry_ms: match state.servers_freshness.age(now) {
                None if request.caller != 0 => state.retry_ms,
                _ => 0,
            },
            ..FetchReply::default()
        };
        let point = ListPoint { source: request.list_source, number: request.list_number };
        match state.servers.update_since(point, request.servers_seen) {
            ListUpdate::Same => {}
            ListUpdate::Changes(changed, removed) => {
                let text = encode_listings(&changed)?;
                match request.compressed.then(|| packed::pack(&text)).flatten() {
                    Some(packed) => reply.servers_packed = packed,
                    None => reply.servers = text,
                }
                reply.servers_changed = true;
                reply.servers_removed = removed;
            }
            ListUpdate::Whole(all) => {
                let text = state.whole_list(&all)?;
                match request.compressed.then(|| state.whole_packed(&text)).flatten() {
                    Some(packed) => reply.servers_packed = packed.to_vec(),
                    None => reply.servers = text.to_string(),
                }
            }
        }
        Ok(reply)
    }
}

impl SnapshotState {
    /// The JSON of the whole list, which many peers ask for after a restart of all.
    fn whole_list(&mut self, listings: &[Listing]) -> Result<Arc<str>, serde_json::Error> {
        let point = self.servers.point();
        if let Some((written_at, text)) = &self.servers_text
            && *written_at == point
        {
            return Ok(text.clone());
        }
        let text: Arc<str> = encode_listings(listings)?.into();
        self.servers_text = Some((point, text.clone()));
        Ok(text)
    }

    /// The compressed JSON of the whole list, `None` if it is sent as text.
    fn whole_packed(&mut self, text: &str) -> Option<Arc<[u8]>> {
        let point = self.servers.point();
        if let Some((written_at, packed)) = &self.servers_packed
            && *written_at == point
        {
            return packed.clone();
        }
        let packed: Option<Arc<[u8]>> = packed::pack(text).map(Arc::from);
        self.servers_packed = Some((point, packed.clone()));
        packed
    }
}

fn encode_listings(listings: &[Listing]) -> Result<String, serde_json::Error> {
    serde_json::to_string(&listings.iter().map(PeerListing::new).collect::<Vec<_>>())
}
