//! Fetches the document and the backend servers from peers that have read them.
//!
//! In a large fleet most instances stay current this way, and in any fleet those that get no answer from the
//! table service do. A snapshot's age counts from the moment of the request, plus the age that the peer
//! reports. See `docs/DESIGN.md`, "Readers of the table service".

use std::borrow::Cow;
use std::time::{Duration, Instant};

use agateroute_core::distribution::{self, Answers, Place, Sources};
use agateroute_core::evacuation::{Point, Update};
use agateroute_core::id::Millis;
use agateroute_core::readers::{self, Role};
use agateroute_core::recency;
use agateroute_core::server_list::ListPoint;
use agateroute_core::{Event, Id, State, id};
use agateroute_proto::peers::{FetchReply, FetchRequest};
use futures_util::future::join_all;
use rand::seq::SliceRandom;
use serde::de::DeserializeOwned;
use spdlog::Level;

use crate::clock::boot_millis;
use crate::compose::{PeerDocument, PeerListing};
use crate::daemon::{Daemon, millis};
use crate::declared::{Origin, apply_declared};
use crate::discovery::{apply_peer_changes, apply_peer_list, servers_within};
use crate::packed;
use crate::restore;
use crate::route_instance::RouteInstance;

/// The part of the shortest time in which news must be known that passes between two fetches from a reader, in
/// percent. Urgent news are sent to all instances at once. Together with the age of what a reader hands out it stays
/// below [`MAX_SNAPSHOT_AGE_PERCENT`].
const FETCH_PERCENT: u64 = 20;
/// The shortest pause between two fetches from a reader.
const MIN_FETCH_PAUSE: Duration = Duration::from_millis(500);
/// The same two values where relays hand on what readers have read: two pauses take little longer than one took before.
const RELAYED_FETCH_PERCENT: u64 = 13;
const MIN_RELAYED_FETCH_PAUSE: Duration = Duration::from_millis(300);
/// By how much the part in [`MAX_SNAPSHOT_AGE_PERCENT`] is larger for instances that ask relays. One pause is less than what is left.
const LEAF_AGE_PERCENT: u64 = 10;
/// The part of `configure_ms` for which a peer's snapshot replaces a read, in percent. Readers read after
/// half of it, and announce a new version at once.
const MAX_SNAPSHOT_AGE_PERCENT: u64 = 75;
/// The peers that are tried before this instance reads the table service itself.
const MAX_READERS_TRIED: usize = 2;
/// The peers that are asked when the table service does not answer: as many as the other instances of a small fleet.
const MAX_PEERS_ASKED: usize = 4;
/// The pause before a second fetch from a peer that has not read an announced version yet.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(40);
/// How long after its start an instance waits for the first answer to a read of the list of instances, and for a reader that has an
/// answer. Readers need two round trips for the list and one for the servers, and the instance that dials last yields a second.
/// An instance that took its fleet for a small one after 0.3 s without the list of instances read the whole list of servers: of 56
/// that started at a table service which took 0.6 s for each call, all did.
const MAX_START_WAIT_MS: u64 = 2_000;
/// The time limit for the first list of an instance: it can have 100 KB, which a sender on a link of 10 Mbit/s sends to several.
const FIRST_FETCH_TIMEOUT: Duration = Duration::from_millis(2_500);
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The failed reads of the list of instances after which an instance does not wait for it.
const MAX_ROWS_FAILURES: u32 = 3;
/// How often a peer that has not read an announced version yet is asked again.
const MAX_CATCH_UPS: u32 = 3;
/// The pause between the first two attempts meanwhile, which doubles up to the longest: each reader of a large fleet that starts is
/// asked by dozens of instances before it has an answer.
pub const START_RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_START_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// The time after which a round of questions is logged. Also bounds the number of these lines.
const SLOW_ROUND: Duration = Duration::from_millis(250);
/// Hashed to choose the instances that read the table service.
const READER_DUTY: &str = "discovery";

/// Whether this instance follows changes in the table service, reads it, or fetches from peers that do.
pub fn role(daemon: &Daemon) -> Role {
    let now = daemon.now();
    daemon.read(|state| readers::role(&state.membership, id(READER_DUTY), state.owners(), now))
}

/// The instances that follow changes in the table service, the one first that announces them.
pub fn followers(daemon: &Daemon) -> Vec<Id> {
    let (duty, now) = (id(READER_DUTY), daemon.now());
    daemon.read(|state| readers::followers(&state.membership, duty, state.owners(), now))
}

/// The pause between two fetches from a peer.
pub fn fetch_pause(instance: &RouteInstance) -> Duration {
    let bounds = instance.bounds();
    let shortest_ms = bounds.configure_ms.min(bounds.drain_ms);
    let shortest_ms = shortest_ms.min(bounds.evacuation_ms.unwrap_or(shortest_ms));
    match uses_relays(&instance.daemon) {
        true => millis(shortest_ms * RELAYED_FETCH_PERCENT / 100).max(MIN_RELAYED_FETCH_PAUSE),
        false => millis(shortest_ms * FETCH_PERCENT / 100).max(MIN_FETCH_PAUSE),
    }
}

/// Whether the fleet is so large that relays hand on what readers have read.
fn uses_relays(daemon: &Daemon) -> bool {
    let size = |state: &State| readers::fleet_size(&state.membership, state.owners());
    distribution::uses_relays(daemon.read(size))
}

/// The peers that this instance may ask; `None` if it reads the table service or the fleet has no relays.
fn sources(instance: &RouteInstance) -> Option<Sources> {
    let daemon = &instance.daemon;
    let Role::Client(readers) = role(daemon) else { return None };
    if !uses_relays(daemon) {
        return None;
    }
    let me = daemon.identity.id();
    let all = daemon.read(|state| state.owners().to_vec());
    // Instances that name no availability zone are in one.
    let alone = daemon.settings.zone.is_empty();
    let mut zone: Vec<Id> = all.into_iter().filter(|i| alone || daemon.in_same_zone(*i)).collect();
    zone.retain(|i| *i != me);
    zone.push(me);
    let readers = readers::near_first(readers, |r| daemon.in_same_zone(r));
    let mut sources = distribution::sources(me, id(READER_DUTY), &zone, &readers);
    let (now, state) = (daemon.now(), instance.source.lock());
    sources.retain(|i| daemon.peer_address(i).is_some() && state.silences.may_ask(i, now));
    drop(state);
    Some(sources)
}

/// The number of instances that follow changes in the table service.
pub fn follower_count(state: &State) -> u32 {
    readers::reader_count(readers::fleet_size(&state.membership, state.owners())) as u32
}

/// Fetches snapshots from peers, if this instance does not read the table service itself. Returns whether the document and servers
/// are then recent enough. An instance without recent ones tries again until it is its turn to read the table service, so that a
/// large fleet that starts does not read the whole list of servers once for each instance.
pub async fn refresh(instance: &RouteInstance) -> bool {
    let mut pause = START_RETRY_PAUSE;
    loop {
        if let Some(sources) = sources(instance) {
            let told = match ask_sources(instance, &sources).await {
                Round::Recent => return true,
                Round::Not { told } => told,
            };
            // What was taken before may still be recent, although all refuse now.
            if !is_fresh(instance, sources.place) && may_read(instance, &sources) {
                return false;
            }
            let rounds = instance.source.lock().turn.rounds();
            let pause_ms = distribution::retry_pause(told, rounds);
            // Clients of this instance ask again once it has asked.
            instance.daemon.snapshot.set_retry(pause_ms * 5 / 4);
            tokio::time::sleep(millis(pause_ms).mul_f64(rand::random_range(1.0..1.2))).await;
            continue;
        }
        if ask_readers(instance).await {
            return true;
        }
        if !waits_for_reader(instance) {
            return false;
        }
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.8..1.2))).await;
        pause = (pause * 2).min(MAX_START_RETRY_PAUSE);
    }
}

/// Whether this instance has just started, and may soon have a reader that it can ask.
pub fn waits_for_reader(instance: &RouteInstance) -> bool {
    let daemon = &instance.daemon;
    let failed = instance.source.lock().rows_failures >= MAX_ROWS_FAILURES;
    let listed = failed || daemon.read(|state| state.membership.has_list());
    let waits = !listed || matches!(role(daemon), Role::Client(_));
    daemon.now() < MAX_START_WAIT_MS && waits && !daemon.leaving()
}

/// Whether this instance gets the list of servers from relays or readers, and must not read it itself now.
pub fn waits_for_turn(instance: &RouteInstance) -> bool {
    let Some(sources) = sources(instance) else { return false };
    servers_within(instance, LEAF_AGE_PERCENT)
        || !may_read(instance, &sources) && !list_is_due(instance, &sources)
}

/// Whether the list of servers is so old that this instance reads it itself, although it may still wait for peers.
fn list_is_due(instance: &RouteInstance, sources: &Sources) -> bool {
    let servers = instance.daemon.config().servers.len();
    let due_ms = recency::list_due_ms(instance.bounds().drain_ms, sources.rank.position, servers);
    instance.daemon.snapshot.servers_age().is_some_and(|age| due_ms <= age)
}

fn may_read(instance: &RouteInstance, sources: &Sources) -> bool {
    let (now, me) = (instance.daemon.now(), instance.daemon.identity.id());
    instance.source.lock().turn.may_read(now, sources.rank, me)
}

/// The result of asking several peers once.
enum Round {
    /// The document and the servers are recent.
    Recent,
    /// They are not. `told` is the shortest time after which a peer says to ask again, in milliseconds.
    Not { told: Option<Millis> },
}

/// One round of questions.
struct Asking<'a> {
    instance: &'a RouteInstance,
    place: Place,
    /// The name under which peers count this instance as a client, 0 if they must not refuse it.
    caller: Id,
    answers: Answers,
    told: Option<Millis>,
    /// What each peer answered and how long that took, for the log.
    asked: Vec<String>,
}

/// Asks the peers of the level above this instance, and others if none of these is alive and has a recent list.
async fn ask_sources(instance: &RouteInstance, sources: &Sources) -> Round {
    let daemon = &instance.daemon;
    let (former, turn) = {
        let state = instance.source.lock();
        (state.list_peer, state.turn)
    };
    let caller = if turn.insists(daemon.now()) { 0 } else { daemon.identity.id() };
    let began = Instant::now();
    let (answers, told, asked) = Default::default();
    let mut asking = Asking { instance, place: sources.place, caller, answers, told, asked };
    let mut served = None;
    for peer in sources.candidates(former, turn.rounds()) {
        if asking.ask(peer).await {
            served = Some(peer);
            break;
        }
    }
    if served.is_none() && turn.asks_fallbacks(daemon.now(), asking.answers) {
        for peer in sources.fallbacks() {
            if asking.ask(*peer).await {
                served = Some(*peer);
                break;
            }
        }
    }
    log_slow_round(instance, sources, &asking.asked, (turn.rounds(), began.elapsed()));
    let Some(peer) = served else {
        let mut state = instance.source.lock();
        let has_list = state.servers_read;
        state.turn.unserved(daemon.now(), asking.answers, has_list);
        return Round::Not { told: asking.told };
    };
    record_source(instance, peer, sources.place, former);
    Round::Recent
}

impl Asking<'_> {
    /// Fetches from a peer. Returns whether what it gave is recent.
    async fn ask(&mut self, peer: Id) -> bool {
        let daemon = &self.instance.daemon;
        let Some(address) = daemon.peer_address(peer) else { return false };
        let began = Instant::now();
        let fetched = self.fetch(&address).await;
        let took_ms = began.elapsed().as_millis();
        let answered = !matches!(fetched, Fetched::Nothing);
        self.instance.source.lock().silences.record(peer, daemon.now(), answered);
        self.asked.push(format!("{address}:{}:{took_ms}", fetched.as_str()));
        let retry_ms = match fetched {
            Fetched::Nothing => return false,
            Fetched::Refused { retry_ms } => {
                self.answers.refused = true;
                retry_ms
            }
            Fetched::Answered { retry_ms } => {
                self.answers.waiting |= retry_ms > 0;
                retry_ms
            }
        };
        self.answers.any = true;
        if retry_ms > 0 {
            let told = Millis::from(retry_ms);
            self.told = Some(self.told.map_or(told, |known| known.min(told)));
        }
        matches!(fetched, Fetched::Answered { .. }) && is_fresh(self.instance, self.place)
    }

    /// Fetches from a peer until it has read the version that was announced, a few times at most.
    async fn fetch(&self, address: &str) -> Fetched {
        let daemon = &self.instance.daemon;
        let mut fetched = fetch(self.instance, address, Level::Debug, self.caller).await;
        for attempt in 0..MAX_CATCH_UPS {
            if !matches!(fetched, Fetched::Answered { .. }) || !is_behind(daemon) {
                break;
            }
            tokio::time::sleep(CATCH_UP_PAUSE * (1 << attempt)).await;
            fetched = fetch(self.instance, address, Level::Debug, self.caller).await;
        }
        fetched
    }
}

/// Logs a round of questions that took long, with what each peer answered.
fn log_slow_round(
    instance: &RouteInstance,
    sources: &Sources,
    asked: &[String],
    (rounds, took): (usize, Duration),
) {
    if took < SLOW_ROUND {
        return;
    }
    spdlog::info!("sources_slow", kv: {
        place: = sources.place.as_str(),
        rank = sources.rank.position,
        rounds,
        took_ms = took.as_millis() as u64,
        asked: = asked.join(","),
        version = instance.daemon.config().version,
        announced = instance.daemon.newest_version(),
        reading_age_ms = instance.document_age(),
    });
}

fn record_source(instance: &RouteInstance, peer: Id, place: Place, former: Option<Id>) {
    let mut state = instance.source.lock();
    let rounds = state.turn.rounds();
    state.turn.served();
    state.list_peer = Some(peer);
    drop(state);
    if former != Some(peer) {
        let address = instance.daemon.peer_address(peer).unwrap_or_default();
        spdlog::info!("list_source", kv: { peer: = address.as_str(), place: = place.as_str(), rounds });
    }
}

async fn ask_readers(instance: &RouteInstance) -> bool {
    let Role::Client(readers) = role(&instance.daemon) else { return false };
    let readers = readers::near_first(readers, |r| instance.daemon.in_same_zone(r));
    let (now, silences) = (instance.daemon.now(), instance.source.lock().silences.clone());
    let linked = readers.into_iter().filter(|r| silences.may_ask(*r, now));
    let linked = linked.filter_map(|r| Some((r, instance.daemon.peer_address(r)?)));
    for (reader, address) in linked.take(MAX_READERS_TRIED) {
        let answered = fetch_from(instance, &address, Level::Debug).await;
        instance.source.lock().silences.record(reader, instance.daemon.now(), answered);
        if answered && !is_fresh(instance, Place::Relay) && is_behind(&instance.daemon) {
            tokio::time::sleep(CATCH_UP_PAUSE).await;
            fetch_from(instance, &address, Level::Debug).await;
        }
        if is_fresh(instance, Place::Relay) {
            return true;
        }
    }
    false
}

/// Whether a peer has announced a newer version than the active one.
pub fn is_behind(daemon: &Daemon) -> bool {
    daemon.newest_version() > daemon.config().version
}

/// Whether the document and the servers that were taken from a peer are recent enough. An instance that asks relays gets them later
/// than one that asks readers.
fn is_fresh(instance: &RouteInstance, place: Place) -> bool {
    let further = if place == Place::Leaf { LEAF_AGE_PERCENT } else { 0 };
    let max_age_ms = instance.bounds().configure_ms * (MAX_SNAPSHOT_AGE_PERCENT + further) / 100;
    // A peer of a build that knows no evacuations hands on none, so this instance reads the table itself.
    let knows_zones =
        instance.bounds().evacuation_ms.is_none() || instance.source.lock().zones_fetched;
    knows_zones
        && instance.document_age() < max_age_ms
        && servers_within(instance, further)
        && !is_behind(&instance.daemon)
}

/// Fetches the snapshots of some linked peers, drawn at random, so that a large fleet that loses the table service
/// does not ask all of them at once.
pub async fn fetch_some(instance: &RouteInstance) {
    let mut addresses = instance.daemon.peer_addresses();
    addresses.shuffle(&mut rand::rng());
    let asked = addresses.iter().take(MAX_PEERS_ASKED);
    join_all(asked.map(|address| fetch_from(instance, address, Level::Info))).await;
}

/// Fetches and applies the snapshot of a peer that must not refuse it. Returns whether the peer answered. `level` is the level of the
/// log line: fetches are normal in a large fleet but mean an outage in a small one.
async fn fetch_from(instance: &RouteInstance, address: &str, level: Level) -> bool {
    matches!(fetch(instance, address, level, 0).await, Fetched::Answered { .. })
}

/// The result of a fetch. `retry_ms` says when to ask again, 0 if the peer does not say.
enum Fetched {
    /// The peer did not answer in time.
    Nothing,
    /// The peer has enough clients.
    Refused { retry_ms: u32 },
    /// What the peer knows was applied.
    Answered { retry_ms: u32 },
}

impl Fetched {
    fn as_str(&self) -> &'static str {
        match self {
            Fetched::Nothing => "silent",
            Fetched::Refused { .. } => "refused",
            Fetched::Answered { .. } => "answered",
        }
    }
}

/// Fetches and applies the snapshot of a peer. `caller` is 0 if the peer must not refuse it.
async fn fetch(instance: &RouteInstance, address: &str, level: Level, caller: Id) -> Fetched {
    let requested_at = boot_millis();
    let daemon = &instance.daemon;
    let point = instance.source.lock().list_point;
    let request = FetchRequest {
        version: daemon.config().version,
        servers_seen: daemon.snapshot.servers_digest(),
        document_era: daemon.snapshot.document_version().map_or(0, |v| v.era),
        list_source: point.source,
        list_number: point.number,
        compressed: true,
        caller,
    };
    let first = caller != 0 && !instance.source.has_servers();
    let limit = if first { FIRST_FETCH_TIMEOUT } else { FETCH_TIMEOUT };
    let reply = instance.source.channels.fetch_within(address, request, limit).await;
    let Some(reply) = reply else { return Fetched::Nothing };
    let retry_ms = reply.retry_ms;
    if reply.refused {
        return Fetched::Refused { retry_ms };
    }
    if let Some(era) = reply.era.checked_sub(1) {
        instance.source.observe_era(era);
        restore::observe(instance);
    }
    apply_evacuation(instance, requested_at, &reply);
    if !reply.document.is_empty()
        && let Some(document) = parse::<PeerDocument>(address, &reply.document)
    {
        let age_ms = reply.reading_age.checked_sub(1);
        let origin = Origin { peer: address, requested_at, age_ms };
        let declared = document.into_declared(reply.version);
        apply_declared(instance, declared, reply.document_era, &origin);
    }
    let version = daemon.config().version;
    if let Some(age) = reply.reading_age.checked_sub(1)
        && reply.version == version
    {
        daemon.snapshot.record_document(requested_at, age);
        spdlog::log!(level, "reading_from_peer", kv: { peer: = address, version, age_ms = age });
    }
    // The list of a peer that has not noticed a return of the service compares with nothing here.
    let current = reply.era.checked_sub(1) == instance.source.era();
    // An older list would bring servers back that have left, and be handed on under the revision of the newer one.
    let newer = daemon.snapshot.servers_revision() <= reply.servers_revision;
    if let Some(age) = reply.servers_age.checked_sub(1)
        && current
        && newer
        && apply_servers(instance, address, &reply)
    {
        daemon.snapshot.record_servers(requested_at, age, reply.servers_revision);
    }
    Fetched::Answered { retry_ms }
}

/// Applies the evacuated zones of a reply, which the peer knew at its last reading of the document or later.
fn apply_evacuation(instance: &RouteInstance, requested_at: Millis, reply: &FetchReply) {
    instance.source.lock().zones_fetched = reply.evacuation.is_some();
    let Some(news) = &reply.evacuation else { return };
    let read_at = reply.reading_age.checked_sub(1).map(|age| requested_at.saturating_sub(age));
    let is_settled = |at| instance.source.lock().restores.is_settled(at);
    let settled = news.settled && read_at.is_some_and(is_settled);
    let point = Point { era: news.era, revision: news.revision };
    let update = Update::Peer(news.zones.clone());
    instance.daemon.apply(Event::EvacuationRead { point, settled, update });
}

/// Applies the servers of a reply. Returns whether the servers known here are then those of the reply.
fn apply_servers(instance: &RouteInstance, address: &str, reply: &FetchReply) -> bool {
    let Some(text) = servers_text(address, reply) else { return false };
    let same = text.is_empty();
    if !same || !instance.source.has_servers() {
        let listings = if same { Some(Vec::new()) } else { parse(address, &text) };
        let Some(listings) = listings else { return false };
        let listings: Vec<PeerListing> = listings;
        let listings = listings.into_iter().map(PeerListing::into_listing).collect();
        if reply.servers_changed || same {
            apply_peer_changes(instance, reply.servers_revision, listings, &reply.servers_removed);
        } else {
            apply_peer_list(instance, reply.servers_revision, listings);
        }
    }
    let current = reply.servers_seen == instance.daemon.snapshot.servers_digest();
    let point = ListPoint { source: reply.list_source, number: reply.list_number };
    instance.source.lock().list_point = if current { point } else { ListPoint::default() };
    current
}

/// The JSON of the servers of a reply, empty if it has none; `None` if it can not be unpacked.
fn servers_text<'a>(address: &str, reply: &'a FetchReply) -> Option<Cow<'a, str>> {
    if reply.servers_packed.is_empty() {
        return Some(Cow::Borrowed(&reply.servers));
    }
    packed::unpack(&reply.servers_packed)
        .map(Cow::Owned)
        .inspect_err(|error| {
            spdlog::error!("peer_answer_invalid", kv: { peer: = address, error: });
        })
        .ok()
}

fn parse<T: DeserializeOwned>(address: &str, text: &str) -> Option<T> {
    serde_json::from_str(text)
        .inspect_err(|error| {
            spdlog::error!("peer_answer_invalid", kv: { peer: = address, error: });
        })
        .ok()
}
