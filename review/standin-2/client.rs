//! Clients that keep their connections, each with requests for one machine.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Wire;

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub route: &'static str,
    /// The status, 0 without an answer.
    pub status: u16,
}

/// All that clients have sent.
#[derive(Clone, Default)]
pub struct Sends {
    pub list: Arc<Mutex<Vec<Sent>>>,
    pub stop: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
}

/// A request that clients send again and again, with a new id each time.
#[derive(Clone)]
pub struct Kind {
    pub route: &'static str,
    pub method: &'static str,
    pub key: &'static str,
    pub deadline_ms: u64,
    pub body: &'static str,
}

impl Sends {
    /// An id for a request to a machine, whose number is its first digit.
    pub fn id(&self, machine: usize) -> String {
        format!("{machine:x}{:015x}", self.next.fetch_add(1, Ordering::AcqRel) + 1)
    }

    /// Starts a client that sends to a machine in these intervals.
    pub fn client(&self, machine: usize, front: SocketAddr, pause: Duration, kinds: Vec<Kind>) {
        let sends = self.clone();
        thread::spawn(move || {
            let mut wire: Option<Wire> = None;
            let mut turn = machine;
            while !sends.stop.load(Ordering::Acquire) {
                let began = Instant::now();
                let kind = &kinds[turn % kinds.len()];
                turn += 1;
                let sent = sends.send(machine, front, kind, &mut wire);
                sends.list.lock().unwrap().push(sent);
                thread::sleep(pause.saturating_sub(began.elapsed()));
            }
        });
    }

    fn send(
        &self,
        machine: usize,
        front: SocketAddr,
        kind: &Kind,
        wire: &mut Option<Wire>,
    ) -> Sent {
        let id = self.id(machine);
        let mut sent = Sent { id: id.clone(), route: kind.route, status: 0 };
        if wire.is_none() {
            let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1));
            *wire = stream.ok().map(Wire::new);
        }
        let Some(open) = wire else { return sent };
        let _ = open.stream.set_read_timeout(Some(Duration::from_millis(kind.deadline_ms + 500)));
        let body = match kind.body {
            "" => String::new(),
            body => format!("{body} {id}"),
        };
        let text = format!(
            "{} /{}/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Request-Deadline: {}\r\nAuthorization: Token {}\r\nContent-Length: {}\r\n\r\n{body}",
            kind.method,
            kind.route,
            kind.deadline_ms,
            kind.key,
            body.len()
        );
        let answer = open.write(text.as_bytes()).and_then(|()| open.message());
        match answer {
            Ok(answer) => {
                sent.status = answer.status();
                if answer.field("connection").is_some_and(|v| v.contains("close")) {
                    *wire = None;
                }
            }
            Err(_) => *wire = None,
        }
        sent
    }
}

/// The machine to which a client sent the request with this id.
pub fn machine_of(id: &str) -> usize {
    id.get(..1).and_then(|d| usize::from_str_radix(d, 16).ok()).unwrap_or(usize::MAX)
}
