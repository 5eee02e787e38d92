//! A replica of a plain service. It serves until it exits, and registers itself in the store.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Wire, wire as name};
use crate::store::Store;

/// Replicas write their entries in this interval.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub replica: String,
    pub id: String,
    /// Whether it ran; if not, it was meant for another replica.
    pub ran: bool,
    /// Whether it was answered.
    pub answered: bool,
}

/// A replica.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    work: Duration,
    slots: u32,
    born: u128,
    drains: Arc<AtomicBool>,
    gone: Arc<AtomicBool>,
    beats: Arc<AtomicU64>,
    running: Arc<AtomicU64>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Replica {
    /// Starts a replica and registers it.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        (work, slots): (Duration, u32),
        store: &Store,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut replica = Replica {
            id: id.to_owned(),
            address: listener.local_addr().expect("its address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            work,
            slots,
            drains: Arc::default(),
            born: 0,
            gone: Arc::default(),
            beats: Arc::default(),
            running: Arc::default(),
            streams: Arc::default(),
            arrivals: arrivals.clone(),
        };
        replica.born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let (beating, to) = (replica.clone(), store.clone());
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
        let accepting = replica.clone();
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
        replica
    }

    /// Writes its entry. Returns whether the store has acknowledged it.
    fn beat(&self, store: &Store) -> bool {
        let sequence = self.beats.fetch_add(1, Ordering::AcqRel) + 1;
        let state = if self.drains.load(Ordering::Acquire) { "draining" } else { "ready" };
        let born = self.born;
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{},\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\"born\":{born}}}",
            self.service, self.address, self.zone, self.slots
        );
        store.write("servers", &self.id, Some(&entry))
    }

    /// Reports that it drains. Returns when the store has acknowledged it.
    pub fn drain(&self, store: &Store) -> Option<Instant> {
        self.drains.store(true, Ordering::Release);
        self.beat(store).then(Instant::now)
    }

    /// Ends the process: its port is closed and its connections end.
    pub fn exit(&self) {
        self.gone.store(true, Ordering::Release);
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(request) = wire.message() {
            let id = request.field("x-request-id").unwrap_or("").to_owned();
            let expected = request.field(name("expected")).unwrap_or(&self.id);
            let ran = expected == self.id;
            let arrival = Arrival {
                at: Instant::now(),
                replica: self.id.clone(),
                id: id.clone(),
                ran,
                answered: false,
            };
            let number = {
                let mut arrivals = self.arrivals.lock().unwrap();
                arrivals.push(arrival);
                arrivals.len() - 1
            };
            if !ran {
                let fields = [("X-Instance-Id", self.id.as_str()), ("X-Request-Id", &id)];
                if wire.respond("421 Misdirected Request", &fields, "").is_err() {
                    return;
                }
                continue;
            }
            let running = self.running.fetch_add(1, Ordering::AcqRel) + 1;
            let load = format!("{running},0,{}", self.slots);
            let signature = format!("{}.{number}", self.id);
            let fields = [
                ("X-Request-Id", id.as_str()),
                ("X-Response-Signature", &signature),
                ("X-Server-Load", &load),
            ];
            thread::sleep(self.work);
            self.running.fetch_sub(1, Ordering::AcqRel);
            if self.gone.load(Ordering::Acquire) {
                return;
            }
            if wire.respond("200 OK", &fields, "{\"done\":true}").is_err() {
                return;
            }
            self.arrivals.lock().unwrap()[number].answered = true;
        }
    }
}
