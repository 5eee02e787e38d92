//! A model of a fleet above the bound of relays, without a network: readers of the table service, relays and leaves, with one clock.
#![allow(dead_code, reason = "each test file uses only a part of the model")]

use agateroute_core::distribution::{Answers, Clients, Place, Silences, Sources, Turn};
use agateroute_core::distribution::{retry_pause, sources, uses_relays};
use agateroute_core::id::Millis;
use agateroute_core::readers::{self, reader_count};
use agateroute_core::recency;
use agateroute_core::{Id, Table, id, rendezvous};

const ZONES: usize = 3;
/// The bounds of the daemon for a leaving server of 3 s: the largest ages with which a list counts as recent.
pub const DRAIN_MS: Millis = 3_000;
pub const RELAY_AGE_MS: Millis = DRAIN_MS * 65 / 100;
pub const LEAF_AGE_MS: Millis = DRAIN_MS * 75 / 100;
/// The pause between two fetches, and between two reads of changes by a reader.
const FETCH_MS: Millis = DRAIN_MS * 13 / 100;
const READ_PAUSE_MS: Millis = 800;
/// The bound for a new version, and the largest ages with which a document counts as recent.
pub const CONFIGURE_MS: Millis = 3_000;
const RELAY_DOCUMENT_MS: Millis = CONFIGURE_MS * 75 / 100;
const LEAF_DOCUMENT_MS: Millis = CONFIGURE_MS * 85 / 100;
/// How long a read of the document takes.
const DOCUMENT_READ_MS: Millis = 50;
/// How long an instance waits for a peer that does not answer.
const FETCH_TIMEOUT_MS: Millis = 1_000;
/// The peers that are tried in a fleet without relays.
const MAX_READERS_TRIED: usize = 2;
/// One question and its answer.
const ROUND_TRIP_MS: Millis = 20;
pub const STEP_MS: Millis = 10;
/// The compressed list of 3,000 servers and the list as the table service sends it, and what a link carries in a millisecond.
const LIST_BYTES: u64 = 100_000;
const TABLE_BYTES: u64 = 1_200_000;
const LINK_BYTES_MS: u64 = 1_250;

pub fn instance(number: usize) -> Id {
    id(&format!("instance-{number}"))
}

/// Ages of what the running instances know, in milliseconds.
#[derive(Default)]
pub struct Ages {
    /// The oldest document of an instance.
    pub document: Millis,
    /// The oldest list of an instance.
    pub list: Millis,
    /// The newest list of all instances. Who has read that a server left tells all others.
    pub newest_list: Millis,
}

#[derive(Default)]
pub struct Node {
    pub alive: bool,
    /// When the list was read from the table service, `None` without a list.
    pub read_at: Option<Millis>,
    /// The number of hops from the table service.
    pub level: usize,
    pub parent: Option<Id>,
    pub turn: Turn,
    pub clients: Clients,
    pub next: Millis,
    /// What arrives at `next`: when it was read, the level of the sender, the sender.
    pub arriving: Option<(Millis, usize, Id)>,
    pub busy_until: Millis,
    pub sent_lists: u64,
    pub most_clients: usize,
    pub asked: u64,
    pub table_reads: u64,
    /// Whether the instance stands still, which no other one has noticed.
    pub stopped: bool,
    /// How much longer than usual its answers take.
    pub slow_ms: Millis,
    /// When the document was read from the table service that this instance has.
    pub document_at: Millis,
    /// The documents that arrive: when, and when they were read.
    documents: Vec<(Millis, Millis)>,
    reread_at: Millis,
    pub document_reads: u64,
    silences: Silences,
    pub list_reads: u64,
    /// The lists that this instance reads itself beside its questions: when they arrive, and when they were read.
    lists: Vec<(Millis, Millis)>,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    numbers: Table<Id, usize>,
    /// What each instance computes from the live ones, until these change.
    views: Vec<Option<Sources>>,
    pub readers: Vec<Id>,
    /// The number of servers in the list.
    pub servers: usize,
}

impl Node {
    /// Whether it has read the document itself and has not got it yet.
    fn reading(&self, now: Millis) -> bool {
        let own = |(at, read_at): &(Millis, Millis)| *at == *read_at + DOCUMENT_READ_MS;
        self.documents.iter().filter(|d| own(d)).any(|(at, read_at)| (*read_at..*at).contains(&now))
    }

    fn read_document(&mut self, now: Millis) {
        self.document_reads += 1;
        self.documents.push((now + DOCUMENT_READ_MS, now));
    }
}

impl Fleet {
    pub fn new(size: usize) -> Fleet {
        let mut readers = rendezvous::order(id("discovery"), (0..size).map(instance));
        readers.truncate(reader_count(size));
        let node = |_| Node { alive: true, ..Node::default() };
        Fleet {
            nodes: (0..size).map(node).collect(),
            numbers: (0..size).map(|n| (instance(n), n)).collect(),
            views: vec![None; size],
            readers,
            servers: 3_000,
        }
    }

    pub fn number(&self, instance_id: Id) -> usize {
        *self.numbers.get(&instance_id).expect("an instance")
    }

    /// Dead readers are replaced, as each instance computes it from those that it reaches.
    pub fn elect(&mut self) {
        let alive = (0..self.nodes.len()).filter(|n| self.nodes[*n].alive).map(instance);
        let mut readers = rendezvous::order(id("discovery"), alive);
        readers.truncate(reader_count(self.nodes.len()));
        self.readers = readers;
        self.views.fill(None);
    }

    fn view(&mut self, me: usize) -> Sources {
        if self.views[me].is_none() {
            self.views[me] = Some(self.sources(me));
        }
        self.views[me].clone().expect("a view")
    }

    fn sources(&self, me: usize) -> Sources {
        let same_zone = |i: Id| self.number(i) % ZONES == me % ZONES;
        let order = rendezvous::order(instance(me), self.readers.iter().copied());
        let readers = readers::near_first(order, same_zone);
        let zone =
            (0..self.nodes.len()).filter(|n| n % ZONES == me % ZONES && self.nodes[*n].alive);
        let zone: Vec<Id> = zone.map(instance).collect();
        let mut sources = sources(instance(me), id("discovery"), &zone, &readers);
        sources.retain(|i| self.nodes[self.number(i)].alive);
        sources
    }

    pub fn step(&mut self, now: Millis) {
        for me in 0..self.nodes.len() {
            if !self.nodes[me].alive || self.nodes[me].stopped {
                continue;
            }
            self.step_document(me, now);
            self.step_list(me, now);
            if now < self.nodes[me].next {
                continue;
            }
            if self.reads_table(me) {
                self.read(me, now);
            } else {
                self.ask(me, now);
            }
        }
    }

    /// Takes the documents that have arrived, and reads it if this instance is a reader.
    fn step_document(&mut self, me: usize, now: Millis) {
        let reads = self.reads_table(me);
        let node = &mut self.nodes[me];
        let arrived =
            node.documents.iter().filter(|(at, _)| *at <= now).map(|(_, read_at)| *read_at);
        node.document_at = arrived.max().unwrap_or(0).max(node.document_at);
        node.documents.retain(|(at, _)| now < *at);
        if reads && node.reread_at <= now {
            node.reread_at = now + recency::reread_ms(CONFIGURE_MS);
            node.read_document(now);
        }
        let age = now.saturating_sub(node.document_at);
        let due = recency::document_due(CONFIGURE_MS, instance(me), age, None) == 0;
        if due && !node.reading(now) {
            node.read_document(now);
        }
    }

    /// Reads the list of servers when the instance has waited for it long enough. Fleets without relays do so as soon as no reader has a
    /// recent one.
    fn step_list(&mut self, me: usize, now: Millis) {
        let node = &mut self.nodes[me];
        let arrived = node.lists.iter().filter(|(at, _)| *at <= now).map(|(_, read_at)| *read_at);
        node.read_at = node.read_at.max(arrived.max());
        node.lists.retain(|(at, _)| now < *at);
        let Some(read_at) = node.read_at else { return };
        if self.reads_table(me) || !uses_relays(self.nodes.len()) {
            return;
        }
        let position = self.view(me).rank.position;
        let due_ms = recency::list_due_ms(DRAIN_MS, position, self.servers);
        let took = self.servers as Millis * 400 / LINK_BYTES_MS + ROUND_TRIP_MS;
        let node = &mut self.nodes[me];
        if due_ms <= now - read_at && node.lists.is_empty() {
            node.list_reads += 1;
            node.lists.push((now + took, now));
        }
    }

    /// Whether an instance reads the table service as its duty. In the smallest fleets all do.
    fn reads_table(&self, me: usize) -> bool {
        self.nodes.len() <= 5 || self.readers.contains(&instance(me))
    }

    fn read(&mut self, me: usize, now: Millis) {
        let node = &mut self.nodes[me];
        if let Some((read_at, level, _)) = node.arriving.take() {
            (node.read_at, node.level) = (Some(read_at), level);
        }
        let took = match node.read_at {
            Some(_) => ROUND_TRIP_MS + READ_PAUSE_MS,
            None => TABLE_BYTES / LINK_BYTES_MS,
        };
        node.table_reads += u64::from(node.read_at.is_none());
        // A reader reads changes at once, and pauses before the next read.
        node.read_at = node.read_at.map(|_| now);
        node.arriving = Some((now, 0, instance(me)));
        node.next = now + took;
    }

    fn ask(&mut self, me: usize, now: Millis) {
        if let Some((read_at, level, parent)) = self.nodes[me].arriving.take() {
            let node = &mut self.nodes[me];
            (node.read_at, node.level, node.parent) =
                (node.read_at.max(Some(read_at)), level, Some(parent));
            node.turn.served();
            node.next = now + FETCH_MS;
            return;
        }
        if !uses_relays(self.nodes.len()) {
            self.ask_readers(me, now);
            return;
        }
        let mut sources = self.view(me);
        sources.retain(|i| self.nodes[me].silences.may_ask(i, now));
        let max_age = if sources.place == Place::Leaf { LEAF_AGE_MS } else { RELAY_AGE_MS };
        let (former, turn) = (self.nodes[me].parent, self.nodes[me].turn);
        let mut answers = Answers::default();
        let mut took = 0;
        for peer in sources.candidates(former, turn.rounds()) {
            if self.served_by(me, peer, now, max_age, &mut took, &mut answers) {
                return;
            }
        }
        if turn.asks_fallbacks(now, answers) {
            for peer in sources.fallbacks() {
                if self.served_by(me, *peer, now, max_age, &mut took, &mut answers) {
                    return;
                }
            }
        }
        let node = &mut self.nodes[me];
        node.turn.unserved(now, answers, node.read_at.is_some());
        let told = answers.refused.then_some(200).or(answers.waiting.then_some(100));
        let stale = node.read_at.is_none_or(|at| now - at >= max_age);
        if stale && node.turn.may_read(now, sources.rank, instance(me)) {
            node.table_reads += 1;
            node.arriving = Some((now, 0, instance(me)));
            node.next = now + TABLE_BYTES / LINK_BYTES_MS;
            node.read_document(now + took);
            return;
        }
        node.next = now + took + retry_pause(told, node.turn.rounds()) + me as Millis % 20;
    }

    /// Asks readers, as in a fleet without relays, and reads the table service if none has a recent document.
    fn ask_readers(&mut self, me: usize, now: Millis) {
        let order = rendezvous::order(instance(me), self.readers.iter().copied());
        let same_zone = |i: Id| self.number(i) % ZONES == me % ZONES;
        let order = readers::near_first(order, same_zone).into_iter();
        let silences = self.nodes[me].silences.clone();
        let order = order.filter(|r| silences.may_ask(*r, now));
        let mut answers = Answers::default();
        let mut took = 0;
        for peer in order.take(MAX_READERS_TRIED) {
            if self.served_by(me, peer, now, RELAY_AGE_MS, &mut took, &mut answers) {
                return;
            }
        }
        let node = &mut self.nodes[me];
        node.table_reads += 1;
        node.arriving = Some((now + took, 0, instance(me)));
        node.next = now + took + DOCUMENT_READ_MS;
        node.read_document(now + took);
    }

    /// Asks a peer. Returns whether it gives a recent list.
    fn served_by(
        &mut self,
        me: usize,
        peer: Id,
        now: Millis,
        max_age: Millis,
        took: &mut Millis,
        answers: &mut Answers,
    ) -> bool {
        let number = self.number(peer);
        // Without relays an instance names no caller, and is never refused.
        let flat = !uses_relays(self.nodes.len());
        let Node { read_at: own, parent, turn, .. } = &self.nodes[me];
        let (same_source, insists) =
            (own.is_some() && *parent == Some(peer), turn.insists(now) || flat);
        let source = &mut self.nodes[number];
        let answers_late = source.stopped || source.slow_ms >= FETCH_TIMEOUT_MS;
        self.nodes[me].silences.record(peer, now + *took, !answers_late);
        if answers_late {
            *took += FETCH_TIMEOUT_MS;
            return false;
        }
        let source = &mut self.nodes[number];
        source.asked += 1;
        answers.any = true;
        *took += ROUND_TRIP_MS + source.slow_ms;
        let document_at = source.document_at;
        let Some(read_at) = source.read_at else {
            answers.waiting = true;
            return false;
        };
        if !insists && !source.clients.admit(instance(me), now) {
            answers.refused = true;
            return false;
        }
        source.most_clients = source.most_clients.max(source.clients.count());
        self.nodes[me].documents.push((now + *took, document_at));
        let max_document_age = match max_age {
            LEAF_AGE_MS => LEAF_DOCUMENT_MS,
            _ => RELAY_DOCUMENT_MS,
        };
        if now - read_at >= max_age || now.saturating_sub(document_at) >= max_document_age {
            return false;
        }
        let source = &mut self.nodes[number];
        if !same_source {
            source.sent_lists += 1;
            source.busy_until = source.busy_until.max(now) + LIST_BYTES / LINK_BYTES_MS;
            *took += source.busy_until - now;
        }
        let level = source.level + 1;
        self.nodes[me].arriving = Some((read_at, level, peer));
        self.nodes[me].next = now + *took;
        true
    }

    /// Runs until a time, and returns the largest age of a list of a live instance on the way.
    pub fn run(&mut self, from: Millis, until: Millis) -> Millis {
        let mut oldest = 0;
        for now in (from..until).step_by(STEP_MS as usize) {
            self.step(now);
            let alive = self.nodes.iter().filter(|n| n.alive);
            let ages = alive.map(|n| n.read_at.map_or(0, |at| now - at));
            oldest = oldest.max(ages.max().unwrap_or(0));
        }
        oldest
    }

    /// Runs until a time, and returns the largest ages on the way.
    pub fn run_ages(&mut self, from: Millis, until: Millis) -> Ages {
        let mut most = Ages::default();
        for now in (from..until).step_by(STEP_MS as usize) {
            self.step(now);
            let running = || self.nodes.iter().filter(|n| n.alive && !n.stopped);
            let documents = running().map(|n| now.saturating_sub(n.document_at));
            let lists = || running().map(|n| n.read_at.map_or(now, |at| now - at));
            most.document = most.document.max(documents.max().unwrap_or(0));
            most.list = most.list.max(lists().max().unwrap_or(0));
            most.newest_list = most.newest_list.max(lists().min().unwrap_or(0));
        }
        most
    }

    /// The reads of the document from the table service.
    pub fn document_reads(&self) -> u64 {
        self.nodes.iter().map(|n| n.document_reads).sum()
    }

    pub fn table_reads(&self) -> u64 {
        self.nodes.iter().map(|n| n.table_reads).sum()
    }

    pub fn without_list(&self) -> usize {
        self.nodes.iter().filter(|n| n.alive && n.read_at.is_none()).count()
    }

    /// Kills the relays of a share of the fleet, and nobody else.
    pub fn kill_relays(&mut self, count: usize) {
        let is_relay = |n: &usize| {
            !self.readers.contains(&instance(*n)) && self.sources(*n).place == Place::Relay
        };
        let relays: Vec<usize> = (0..self.nodes.len()).filter(is_relay).take(count).collect();
        assert_eq!(relays.len(), count, "so many relays");
        for relay in relays {
            self.nodes[relay].alive = false;
        }
        self.views.fill(None);
    }
}

/// Returns a fleet in which all have the list, and the time.
pub fn running(size: usize) -> (Fleet, Millis) {
    let mut fleet = Fleet::new(size);
    fleet.run(0, 6_000);
    assert_eq!(fleet.without_list(), 0, "{size}");
    (fleet, 6_000)
}
