//! Where streams began that their callers may resume at another instance.
//!
//! A caller whose connection broke resumes its stream at any instance and names the attempt that brought the first
//! event. The instance that forwarded this event tells a few peers, chosen by the hash of the attempt, which model and
//! software version began the stream; whoever gets the resumed request asks them. See `docs/DESIGN.md`, "Streams and
//! software versions".

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{StreamAsk, StreamOrigin, StreamOrigins, StreamReply};

use crate::Table;
use crate::effect::Refusal;
use crate::event::{RequestId, RequestSpec};
use crate::id::{Id, Millis};
use crate::placement::UNKNOWN_VERSION;
use crate::rendezvous;
use crate::state::State;

/// The number of peers that are told where a stream began.
const HOLDERS: usize = 3;
/// The number of peers that are asked: one more than are told, since an instance that started meanwhile takes the place of
/// a holder.
const ASKED: usize = HOLDERS + 1;
/// How long to wait for replies, in milliseconds: several round trips between regions.
const REPLY_TIMEOUT_MS: Millis = 250;
/// How long to wait for a first peer to link up, in milliseconds: instances dial each other within it after a start.
const LINK_WAIT_MS: Millis = 500;
/// The delay after which a caller may try to resume a stream again whose beginning is not known, in milliseconds.
const UNKNOWN_RETRY_MS: u32 = 1_000;
/// The most streams that are remembered; beyond, the one that expires first is forgotten.
const MAX_STREAMS: usize = 65_536;
/// The most streams in one message.
const MAX_BATCH: usize = 500;
/// The interval at which expired records are dropped, in milliseconds.
const SWEEP_MS: Millis = 5_000;

value! {
    /// The beginning of a stream.
    pub struct Origin {
        /// The model whose server began it.
        pub target: Id,
        /// The software version of that server, [`UNKNOWN_VERSION`] if it is not certain.
        pub version: Id,
    }

    struct Record {
        origin: Origin,
        until: Millis,
    }
}

record! {
    /// How a caller resumes a stream.
    pub struct Resumption {
        /// The models at which its route lets it go on.
        pub targets: Vec<Id>,
        /// Whether the list of servers was read so recently that no other version can have begun a stream meanwhile.
        pub list_fresh: bool,
    }

    /// A resumed request that waits until its stream's beginning is known.
    struct Lookup {
        spec: RequestSpec,
        /// The peers that have not replied.
        asked: Vec<Id>,
        until: Millis,
    }
}

/// The beginnings of streams, and the requests that wait for one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Streams {
    records: Table<Id, Record>,
    lookups: Table<RequestId, Lookup>,
    swept_at: Millis,
}

impl Streams {
    /// Returns where a stream began, if that is known.
    pub fn origin(&self, stream: Id, now: Millis) -> Option<Origin> {
        self.records.get(&stream).filter(|r| r.until > now).map(|r| r.origin)
    }

    /// Records where a stream began. Records that contradict each other leave its version unknown.
    pub fn record(&mut self, stream: Id, origin: Origin, until: Millis) {
        if let Some(known) = self.records.get_mut(&stream) {
            if known.origin != origin {
                known.origin.version = UNKNOWN_VERSION;
            }
            known.until = known.until.max(until);
            return;
        }
        if self.records.len() >= MAX_STREAMS {
            let first = self.records.iter().min_by_key(|(_, r)| r.until).map(|(s, _)| *s);
            first.and_then(|stream| self.records.remove(&stream));
        }
        self.records.insert(stream, Record { origin, until });
    }

    fn sweep(&mut self, now: Millis) {
        if now >= self.swept_at + SWEEP_MS {
            self.swept_at = now;
            self.records.retain(|_, r| r.until > now);
        }
    }

    /// Removes a request whose caller disconnected.
    pub(crate) fn abandon(&mut self, request: RequestId) {
        self.lookups.remove(&request);
    }
}

impl State {
    /// Records where a stream began that this instance forwards, and tells the holders.
    pub(crate) fn stream_began(&mut self, stream: Id, origin: Origin) {
        if stream == 0 {
            return;
        }
        let left_ms = self.catalog.stream_retention_ms();
        self.streams.record(stream, origin, self.now + left_ms);
        let origin = encode(stream, origin, left_ms);
        for peer in self.holders(stream, HOLDERS) {
            self.send(peer, Body::StreamOrigins(StreamOrigins { origins: vec![origin] }));
        }
    }

    /// The peers that hold the beginning of a stream, the first ones by rendezvous hashing.
    fn holders(&self, stream: Id, count: usize) -> Vec<Id> {
        let me = self.membership.me;
        let peers = self.owners().iter().copied().filter(|peer| *peer != me);
        let mut ordered = rendezvous::order(stream, peers);
        ordered.truncate(count);
        ordered
    }

    /// Hands all beginnings of streams to the holders that stay when this instance stops.
    pub(crate) fn hand_over_streams(&mut self) {
        self.send_origins(|_| true);
    }

    /// Tells a peer that has just linked up the beginnings of which it is a holder: it may have started anew, or have been
    /// cut off when they were told.
    pub(crate) fn tell_linked(&mut self, peer: Id) {
        self.send_origins(|holder| holder == peer);
    }

    fn send_origins(&mut self, to: impl Fn(Id) -> bool) {
        let now = self.now;
        let records: Vec<(Id, Record)> = self
            .streams
            .records
            .iter()
            .filter(|(_, r)| r.until > now)
            .map(|(s, r)| (*s, *r))
            .collect();
        let mut batches: Table<Id, Vec<StreamOrigin>> = Table::default();
        for (stream, record) in records {
            for peer in self.holders(stream, HOLDERS).into_iter().filter(|peer| to(*peer)) {
                let batch = batches.entry(peer, Vec::new);
                batch.push(encode(stream, record.origin, record.until - now));
            }
        }
        for (peer, origins) in batches.iter() {
            for origins in origins.chunks(MAX_BATCH) {
                let origins = origins.to_vec();
                self.send(*peer, Body::StreamOrigins(StreamOrigins { origins }));
            }
        }
    }

    pub(crate) fn receive_origins(&mut self, message: &StreamOrigins) {
        let now = self.now;
        for o in &message.origins {
            let origin = Origin { target: o.target, version: o.version };
            self.streams.record(o.stream, origin, now + Millis::from(o.left_ms));
        }
    }

    /// Finds where the stream of a resumed request began: here, by the versions that served lately, or from the holders.
    pub(crate) fn find_origin(&mut self, spec: RequestSpec) {
        if let Some(origin) = self.streams.origin(spec.stream, self.now) {
            return self.resume_at(spec, origin);
        }
        if let Some(origin) = self.only_origin(&spec) {
            return self.resume_at(spec, origin);
        }
        let asked = self.holders(spec.stream, ASKED);
        // An instance that has just started is listed before its peers are linked.
        let wait_ms = match asked.is_empty() {
            true if self.membership.known_count() > 1 => LINK_WAIT_MS,
            true => 0,
            false => REPLY_TIMEOUT_MS,
        };
        if spec.stream == 0 || wait_ms == 0 {
            return self.refuse_unknown(spec.request);
        }
        let ask = StreamAsk { request: spec.request, stream: spec.stream };
        for peer in &asked {
            self.send(*peer, Body::StreamAsk(ask));
        }
        let until = self.now + wait_ms;
        self.streams.lookups.insert(spec.request, Lookup { spec, asked, until });
    }

    /// Asks a peer that has just linked up about all streams whose beginning is looked for.
    pub(crate) fn ask_linked(&mut self, peer: Id) {
        let mut asks = Vec::new();
        for (request, lookup) in self.streams.lookups.iter_mut() {
            if !lookup.asked.contains(&peer) {
                lookup.asked.push(peer);
                asks.push(StreamAsk { request: *request, stream: lookup.spec.stream });
            }
        }
        for ask in asks {
            self.send(peer, Body::StreamAsk(ask));
        }
    }

    /// The only possible beginning of a stream, if one version alone has served all targets of its route for as long
    /// as the stream can have lasted.
    fn only_origin(&self, spec: &RequestSpec) -> Option<Origin> {
        let resumption = spec.resumes.as_ref().filter(|r| r.list_fresh)?;
        let [target] = resumption.targets[..] else { return None };
        let window = self.catalog.stream_retention_ms();
        let version = self.versions.only_version(target, self.now, window)?;
        Some(Origin { target, version })
    }

    fn resume_at(&mut self, spec: RequestSpec, origin: Origin) {
        let allowed = spec.resumes.as_ref().is_some_and(|r| r.targets.contains(&origin.target));
        if !allowed {
            return self.refuse_unknown(spec.request);
        }
        let spec = RequestSpec { target: origin.target, version: Some(origin.version), ..spec };
        self.place_arrived(spec);
    }

    /// Refuses a resumed request: it might go on at another version than the one that began its stream.
    fn refuse_unknown(&mut self, request: RequestId) {
        self.refuse(request, Refusal::StreamUnknown, UNKNOWN_RETRY_MS);
    }

    pub(crate) fn receive_stream_ask(&mut self, peer: Id, ask: &StreamAsk) {
        let origin = self.streams.origin(ask.stream, self.now);
        let left_ms = self.catalog.stream_retention_ms();
        let origin = origin.map(|origin| encode(ask.stream, origin, left_ms));
        self.send(peer, Body::StreamReply(StreamReply { request: ask.request, origin }));
    }

    pub(crate) fn receive_stream_reply(&mut self, peer: Id, reply: &StreamReply) {
        let Some(lookup) = self.streams.lookups.get_mut(&reply.request) else { return };
        lookup.asked.retain(|asked| *asked != peer);
        let is_last = lookup.asked.is_empty();
        if reply.origin.is_none() && !is_last {
            return;
        }
        let Some(lookup) = self.streams.lookups.remove(&reply.request) else { return };
        match reply.origin {
            Some(o) => {
                let origin = Origin { target: o.target, version: o.version };
                let until = self.now + Millis::from(o.left_ms);
                self.streams.record(lookup.spec.stream, origin, until);
                self.resume_at(lookup.spec, origin);
            }
            None => self.refuse_unknown(reply.request),
        }
    }

    /// Refuses the resumed requests for which no peer has replied in time, and drops expired records.
    pub(crate) fn tick_streams(&mut self) {
        let now = self.now;
        let overdue = self.streams.lookups.iter().filter(|(_, l)| l.until <= now);
        let overdue: Vec<RequestId> = overdue.map(|(request, _)| *request).collect();
        for request in overdue {
            self.streams.lookups.remove(&request);
            self.refuse_unknown(request);
        }
        self.streams.sweep(now);
    }
}

fn encode(stream: Id, origin: Origin, left_ms: Millis) -> StreamOrigin {
    let left_ms = left_ms.min(Millis::from(u32::MAX)) as u32;
    StreamOrigin { stream, target: origin.target, version: origin.version, left_ms }
}
