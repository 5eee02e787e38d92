//! A model replica whose runs can move. Copies between replicas take the time that the pages give for them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Wire, json_text, wire as name};
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SLOTS: u32 = 24;
/// The tokens of a prompt and of an event, the bytes of a token, and the bits that a link takes in a second.
const PROMPT: u64 = 3_000;
const STRIDE: u64 = 4;
const TOKEN_BYTES: f64 = 131_072.0;
const LINK_BITS: f64 = 19e9;
/// The time to the first event, between two events, and the events of an answer.
const FIRST: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(30);
const EVENTS: u64 = 400;

/// A request that reached a replica, and whether it went on from a copy.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub replica: String,
    pub id: String,
    pub from: Option<String>,
    pub ran: bool,
}

/// An order to copy.
#[derive(Clone)]
pub struct Copied {
    pub at: Instant,
    pub source: String,
    pub id: String,
    pub last: bool,
    pub status: u16,
}

struct Run {
    events: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    /// The tokens that were copied, and the handle of the copy.
    copied: Option<(u64, String)>,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<String, Run>,
    /// The handles of copies that lie here, and of runs that stopped here, by what `Kv-From` names.
    kept: BTreeMap<String, u64>,
}

/// What all replicas of a case share.
#[derive(Clone, Default)]
pub struct Engines {
    by_address: Arc<Mutex<BTreeMap<SocketAddr, Engine>>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub copies: Arc<Mutex<Vec<Copied>>>,
    /// Whether each second last copy finds no room, since the destination is crowded.
    pub crowded: Arc<AtomicBool>,
    lasts: Arc<AtomicU64>,
    handles: Arc<AtomicU64>,
}

/// A model replica.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    born: u128,
    drains: Arc<AtomicBool>,
    gone: Arc<AtomicBool>,
    beats: Arc<AtomicU64>,
    state: Arc<Mutex<State>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    all: Engines,
}

impl Engines {
    /// Starts a replica and registers it.
    pub fn start(&self, id: &str, zone: &str, store: &Store) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let engine = Engine {
            id: id.to_owned(),
            address: listener.local_addr().expect("its address"),
            zone: zone.to_owned(),
            born: since.as_millis(),
            drains: Arc::default(),
            gone: Arc::default(),
            beats: Arc::default(),
            state: Arc::default(),
            streams: Arc::default(),
            all: self.clone(),
        };
        self.by_address.lock().unwrap().insert(engine.address, engine.clone());
        let (beating, to) = (engine.clone(), store.clone());
        beating.beat(&to);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.gone.load(Ordering::Acquire) {
                    to.write("servers", &beating.id, None);
                    return;
                }
                beating.beat(&to);
            }
        });
        let accepting = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.gone.load(Ordering::Acquire) {
                    return;
                }
                accepting.streams.lock().unwrap().extend(stream.try_clone());
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(Wire::new(stream)));
            }
        });
        engine
    }
}

impl Engine {
    fn beat(&self, store: &Store) -> bool {
        let sequence = self.beats.fetch_add(1, Ordering::AcqRel) + 1;
        let state = if self.drains.load(Ordering::Acquire) { "draining" } else { "ready" };
        let entry = format!(
            "{{\"Service\":\"writers\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{SLOTS},\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\"born\":{}}}",
            self.address, self.zone, self.born
        );
        store.write("servers", &self.id, Some(&entry))
    }

    /// Reports that it drains. Returns when the store has acknowledged it.
    pub fn drain(&self, store: &Store) -> Option<Instant> {
        self.drains.store(true, Ordering::Release);
        self.beat(store).then(Instant::now)
    }

    /// Ends the process.
    pub fn exit(&self) {
        self.gone.store(true, Ordering::Release);
        self.all.by_address.lock().unwrap().remove(&self.address);
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// The runs that it works on.
    pub fn running(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(request) = wire.message() {
            let done = match request.path() {
                path if path == name("copy") => self.copy(&request, &mut wire),
                _ => self.generate(&request, &mut wire),
            };
            if done.is_err() || self.gone.load(Ordering::Acquire) {
                return;
            }
        }
    }

    fn generate(&self, request: &Message, wire: &mut Wire) -> std::io::Result<()> {
        let field = |name: &str| request.field(name).map(str::to_owned);
        let id = field("x-request-id").unwrap_or_default();
        let from = field(name("memory"));
        let expected = field(name("expected")).unwrap_or_else(|| self.id.clone());
        let ran = expected == self.id;
        let arrival = Arrival {
            at: Instant::now(),
            replica: self.id.clone(),
            id: id.clone(),
            from: from.clone(),
            ran,
        };
        self.all.arrivals.lock().unwrap().push(arrival);
        if !ran {
            let fields = [("X-Instance-Id", self.id.as_str())];
            return wire.respond("421 Misdirected Request", &fields, "");
        }
        if let Some(from) = &from
            && self.state.lock().unwrap().kept.remove(from).is_none()
        {
            let fields = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
            return wire.respond("503 Service Unavailable", &fields, "");
        }
        let last = field("last-event-id").and_then(|l| l.parse().ok()).unwrap_or(0);
        let events = Arc::new(AtomicU64::new(last));
        let stop = Arc::new(AtomicBool::new(false));
        let run = Run { events: events.clone(), stop: stop.clone(), copied: None };
        self.state.lock().unwrap().runs.insert(id.clone(), run);
        let whole = self.stream(wire, &id, from.is_none(), &events, &stop);
        let stopped = stop.load(Ordering::Acquire);
        if !stopped {
            self.state.lock().unwrap().runs.remove(&id);
        }
        match whole {
            Ok(()) if stopped => Err(std::io::Error::other("stopped to move")),
            whole => whole,
        }
    }

    fn stream(
        &self,
        wire: &mut Wire,
        id: &str,
        is_new: bool,
        events: &AtomicU64,
        stop: &AtomicBool,
    ) -> std::io::Result<()> {
        if is_new {
            thread::sleep(FIRST);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {id}\r\nX-Response-Signature: {}.{id}\r\nX-Weight-Versions: 1\r\nX-Server-Load: {},0,{SLOTS}\r\n\r\n",
            self.id,
            self.running()
        );
        wire.write(head.as_bytes())?;
        while events.load(Ordering::Acquire) < EVENTS {
            if stop.load(Ordering::Acquire) {
                let _ = wire.stream.shutdown(std::net::Shutdown::Both);
                return Ok(());
            }
            let n = events.fetch_add(1, Ordering::AcqRel) + 1;
            let event = format!("id: {n}\ndata: part {n} of {EVENTS}\n\n");
            wire.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(PAUSE);
        }
        wire.write(b"0\r\n\r\n")
    }

    /// Copies the memory of a run to another replica. With `Last`, the run stops first.
    fn copy(&self, request: &Message, wire: &mut Wire) -> std::io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let id = json_text(&body, "Id").unwrap_or_default();
        let to: Option<SocketAddr> = json_text(&body, "To").and_then(|t| t.parse().ok());
        let last = body.contains("\"Last\":true");
        let (status, handle, created) = self.make_copy(&id, to, last);
        let copied = Copied { at: Instant::now(), source: self.id.clone(), id, last, status };
        self.all.copies.lock().unwrap().push(copied);
        let json = [("Content-Type", "application/json")];
        let handle = handle.map_or(String::new(), |h| format!("\"Handle\":\"{h}\","));
        let body = format!("{{{handle}\"Created\":{created}}}");
        match status {
            200 => wire.respond("200 OK", &json, &body),
            404 => wire.respond("404 Not Found", &json, "{}"),
            _ => wire.respond("503 Service Unavailable", &json, &body),
        }
    }

    fn make_copy(
        &self,
        id: &str,
        to: Option<SocketAddr>,
        last: bool,
    ) -> (u16, Option<String>, u64) {
        let (events, stop, before) = {
            let state = self.state.lock().unwrap();
            let Some(run) = state.runs.get(id) else { return (404, None, 0) };
            (run.events.clone(), run.stop.clone(), run.copied.clone())
        };
        if last {
            stop.store(true, Ordering::Release);
            thread::sleep(PAUSE);
        }
        let destination = to.and_then(|to| self.all.by_address.lock().unwrap().get(&to).cloned());
        let created = events.load(Ordering::Acquire);
        let tokens = PROMPT + STRIDE * created;
        let missing = tokens - before.as_ref().map_or(0, |(tokens, _)| *tokens);
        let handle = before.map_or_else(
            || format!("h{}", self.all.handles.fetch_add(1, Ordering::AcqRel) + 1),
            |(_, handle)| handle,
        );
        let name = format!("{}/{handle}", self.address);
        let crosses = destination.as_ref().is_some_and(|d| d.zone != self.zone);
        let seconds =
            missing as f64 * TOKEN_BYTES * 8.0 / LINK_BITS * if crosses { 2.0 } else { 1.0 };
        thread::sleep(Duration::from_secs_f64(seconds));
        let is_second = last && self.all.lasts.fetch_add(1, Ordering::AcqRel) % 2 == 1;
        let no_room = is_second && self.all.crowded.load(Ordering::Acquire);
        let mut state = self.state.lock().unwrap();
        if last {
            state.runs.remove(id);
            state.kept.insert(name.clone(), tokens);
        } else if let Some(run) = state.runs.get_mut(id) {
            run.copied = Some((tokens, handle.clone()));
        }
        drop(state);
        match destination {
            Some(destination) if !no_room => {
                destination.state.lock().unwrap().kept.insert(name, tokens);
                (200, Some(handle), created)
            }
            _ => (503, last.then_some(handle), created),
        }
    }
}
