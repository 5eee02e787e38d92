//! Model servers of one service. They stream events, and copy the memory of a run to another server.

use std::collections::{HashMap, HashSet};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Conn, Head, response, wire};
use crate::json::Json;
use crate::world::Record;

/// The memory of a server, in tokens.
const MEMORY_TOKENS: u64 = 34_422;
const SLOTS: usize = 24;
/// The tokens in one event.
const EVENT_TOKENS: u64 = 4;
const EVENT_TIME: Duration = Duration::from_millis(60);
const PROMPT_TOKENS_PER_MS: u64 = 14;
/// 131,072 bytes a token at 19,000 Mbit/s.
const COPIED_TOKENS_PER_MS: u64 = 18;
/// What each copy takes besides: the way to a server in the same zone and back, and 0.67 ms.
const COPY_SETUP: Duration = Duration::from_micros(2 * 100 + 670);

/// A run, and whose memory it goes on from.
struct Run {
    prompt: u64,
    made: u64,
    memory_of: String,
    stop: Arc<AtomicBool>,
}

/// The memory of a run, copied or kept, until it is used.
#[derive(Clone)]
struct Memory {
    request: String,
    tokens: u64,
    memory_of: String,
}

#[derive(Default)]
struct State {
    runs: HashMap<String, Run>,
    memories: HashMap<String, Memory>,
    /// The runs with a copy in progress.
    copying: HashSet<String>,
    answered: HashSet<String>,
}

pub struct Engine {
    pub name: String,
    pub zone: &'static str,
    pub address: String,
    state: Mutex<State>,
    /// The connections, to be closed when this server exits.
    streams: Mutex<Vec<TcpStream>>,
    exited: AtomicBool,
    all: Arc<Engines>,
    /// The request whose answer comes a second time, late: where the next answer on its connection is expected.
    extra_of: Mutex<Option<String>>,
}

pub struct Engines {
    engines: Mutex<Vec<Arc<Engine>>>,
    handles: AtomicU64,
    /// The number of requests that went on from the memory of another one.
    pub foreign: AtomicU64,
    pub record: Arc<Record>,
}

impl Engines {
    pub fn new(record: Arc<Record>) -> Arc<Engines> {
        let (engines, handles, foreign) = Default::default();
        Arc::new(Engines { engines, handles, foreign, record })
    }

    pub fn start(self: &Arc<Engines>, name: &str, ip: &str, zone: &'static str) -> Arc<Engine> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("its address").to_string();
        let (state, extra_of, streams, exited) = Default::default();
        let (name, all) = (name.to_owned(), self.clone());
        let engine =
            Arc::new(Engine { name, zone, address, state, streams, exited, all, extra_of });
        self.engines.lock().expect("engines").push(engine.clone());
        let served = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.exited.load(Ordering::Acquire) {
                    return;
                }
                let kept = stream.try_clone().expect("a connection");
                served.streams.lock().expect("connections").push(kept);
                let engine = served.clone();
                std::thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    engine.serve(&mut conn);
                    let _ = conn.stream.shutdown(Shutdown::Both);
                });
            }
        });
        engine
    }

    fn at(&self, address: &str) -> Option<Arc<Engine>> {
        let engines = self.engines.lock().expect("engines");
        engines.iter().find(|e| e.address == address).cloned()
    }

    fn handle(&self) -> String {
        format!("h{}", self.handles.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

impl Engine {
    /// Has the answer to this request come a second time, late.
    pub fn answer_again(&self, request: &str) {
        *self.extra_of.lock().expect("a request") = Some(request.to_owned());
    }

    /// Ends this server: its port and its connections are closed.
    pub fn exit(&self) {
        self.line("exits");
        self.exited.store(true, Ordering::Release);
        // The listener ends with the next connection.
        drop(TcpStream::connect(&self.address));
        for stream in self.streams.lock().expect("connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Whether the whole answer to a request was sent.
    pub fn has_answered(&self, id: &str) -> bool {
        self.state.lock().expect("the state").answered.contains(id)
    }

    pub fn has_exited(&self) -> bool {
        self.exited.load(Ordering::Acquire)
    }

    /// Whether a run has made events.
    pub fn runs_request(&self, id: &str) -> bool {
        self.state.lock().expect("the state").runs.get(id).is_some_and(|r| r.made > 0)
    }

    fn line(&self, text: &str) {
        self.all.record.line(&format!("server {} {text}", self.name));
    }

    fn used(state: &State) -> u64 {
        let runs = state.runs.values().map(|r| r.prompt + r.made * EVENT_TOKENS);
        runs.chain(state.memories.values().map(|m| m.tokens)).sum()
    }

    fn has_room(state: &State, tokens: u64) -> bool {
        state.runs.len() + state.memories.len() < SLOTS
            && Engine::used(state) + tokens <= MEMORY_TOKENS
    }

    fn serve(&self, conn: &mut Conn) {
        let mut last_answer: Option<(String, String)> = None;
        while let Some(head) = conn.head() {
            let (body, complete) = conn.body(&head, false);
            if !complete {
                return;
            }
            // An extra response may arrive late, at the point where the next response is expected. Its id tells.
            if let Some((id, text)) = last_answer.take() {
                let mut extra_of = self.extra_of.lock().expect("a request");
                if extra_of.as_ref() == Some(&id) {
                    *extra_of = None;
                    self.line(&format!(
                        "TROUBLE: the answer to {id} comes a second time, before the one to {}",
                        head.first
                    ));
                    conn.write(&response("200 OK", &self.fields(&id), &text));
                }
            }
            let keep = if head.path() == wire("copy") {
                let call = Json::parse(&String::from_utf8_lossy(&body));
                let (status, answer) = self.copy(&call);
                self.line(&format!("answers the copy with {status} {answer}"));
                conn.write(&response(status, &[("Content-Type", "application/json")], &answer))
            } else if head.path() == wire("report") || head.path() == "/health" {
                conn.write(&response("200 OK", &[("Content-Type", "application/json")], "{}"))
            } else {
                last_answer = self.generate(conn, &head);
                last_answer.is_some()
            };
            if !keep {
                return;
            }
        }
    }

    fn fields<'a>(&'a self, id: &'a str) -> [(&'static str, &'a str); 3] {
        [
            (wire("request_id"), id),
            (wire("signature"), &self.name),
            ("Content-Type", "text/event-stream"),
        ]
    }

    fn refuse(&self, conn: &mut Conn, id: &str, why: &str) -> bool {
        self.line(&format!("refuses {id}: {why}"));
        let fields = [(wire("request_id"), id), (wire("not_run"), "1")];
        conn.write(&response("503 Service Unavailable", &fields, ""))
    }

    /// Answers a request with a stream. Returns its id and text if it is whole and the connection is kept.
    fn generate(&self, conn: &mut Conn, head: &Head) -> Option<(String, String)> {
        let id = head.field(wire("request_id")).unwrap_or("").to_owned();
        let kept = |kept: bool| kept.then(|| (String::new(), String::new()));
        if id.is_empty() {
            let fields = [(wire("not_run"), "1")];
            return kept(conn.write(&response("400 Bad Request", &fields, "")));
        }
        if head.field(wire("expected")).is_some_and(|e| e != self.name) {
            return kept(conn.write(&response("421 Misdirected Request", &[], "")));
        }
        let usage = head.field(wire("usage")).unwrap_or("0,4").to_owned();
        let (prompt, most) = usage.split_once(',').unwrap_or((&usage, "4"));
        let (prompt, most): (u64, u64) = (prompt.parse().unwrap_or(0), most.parse().unwrap_or(4));
        let after: u64 = head.field(wire("last_event")).and_then(|l| l.parse().ok()).unwrap_or(0);
        let stop = Arc::new(AtomicBool::new(false));
        let mut memory_of = id.clone();
        let mut unread = prompt;
        {
            let mut state = self.state.lock().expect("the state");
            if let Some(from) = head.field(wire("memory")) {
                let handle = from.rsplit_once('/').map_or("", |(_, h)| h);
                let Some(memory) = state.memories.remove(handle) else {
                    drop(state);
                    return kept(self.refuse(conn, &id, &format!("no memory {from}")));
                };
                self.line(&format!(
                    "goes on with {id} after event {after} from {from}, the memory of {}",
                    memory.request
                ));
                if memory.request != id {
                    self.all.foreign.fetch_add(1, Ordering::Relaxed);
                    self.line(&format!(
                        "BROKEN: MIXED: {id} goes on from the memory of {}",
                        memory.request
                    ));
                }
                (memory_of, unread) = (memory.memory_of, 0);
            } else if !Engine::has_room(&state, prompt) {
                drop(state);
                return kept(self.refuse(conn, &id, "full"));
            } else {
                self.line(&format!("runs {id} {usage} after event {after}"));
            }
            let run = Run { prompt, made: after, memory_of: memory_of.clone(), stop: stop.clone() };
            state.runs.insert(id.clone(), run);
        }
        std::thread::sleep(Duration::from_millis(unread / PROMPT_TOKENS_PER_MS));
        let fields = self.fields(&id).map(|(n, v)| format!("{n}: {v}\r\n")).concat();
        let mut open = conn.write(
            format!("HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n").as_bytes(),
        );
        let mut text = String::new();
        for event in after + 1..=most / EVENT_TOKENS {
            if !open || stop.load(Ordering::Acquire) {
                break;
            }
            let piece = format!("id: {event}\ndata: tokens of event {event} of {memory_of}\n\n");
            open = conn.write(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes());
            text += &piece;
            if let Some(run) = self.state.lock().expect("the state").runs.get_mut(&id) {
                run.made = event;
            }
            if event < most / EVENT_TOKENS {
                std::thread::sleep(EVENT_TIME);
            }
        }
        let stopped = stop.load(Ordering::Acquire);
        {
            let mut state = self.state.lock().expect("the state");
            state.runs.remove(&id);
            if !stopped && open {
                state.answered.insert(id.clone());
            }
        }
        if stopped || !open {
            self.line(&format!("{id} {}", if stopped { "has stopped" } else { "was dropped" }));
            return None;
        }
        self.line(&format!("ends {id}"));
        conn.write(b"0\r\n\r\n").then_some((id, text))
    }

    /// Copies the memory of a run to another server; with `Last` the run stops first.
    fn copy(&self, call: &Json) -> (&'static str, String) {
        let (id, to) = (call.get("Id").text(), call.get("To").text());
        let last = *call.get("Last") == Json::Bool(true);
        self.line(&format!("is to copy {id} to {to} last={last}"));
        let memory = {
            let mut state = self.state.lock().expect("the state");
            if !state.runs.contains_key(id) {
                return ("404 Not Found", "{}".to_owned());
            }
            if !state.copying.insert(id.to_owned()) {
                return ("409 Conflict", "{}".to_owned());
            }
            let run = &state.runs[id];
            if last {
                run.stop.store(true, Ordering::Release);
            }
            let tokens = run.prompt + run.made * EVENT_TOKENS;
            let memory =
                Memory { request: id.to_owned(), tokens, memory_of: run.memory_of.clone() };
            (memory, run.made)
        };
        let (memory, made) = memory;
        std::thread::sleep(COPY_SETUP);
        let destination = self.all.at(to);
        let copied = destination.and_then(|to| to.take_copy(&memory));
        let answer = match copied {
            Some((handle, new_tokens)) => {
                std::thread::sleep(Duration::from_millis(new_tokens / COPIED_TOKENS_PER_MS + 1));
                ("200 OK", format!("{{\"Handle\":\"{handle}\",\"Created\":{made}}}"))
            }
            None if last => {
                // The run has stopped, and its memory is kept here.
                let handle = self.all.handle();
                self.state.lock().expect("the state").memories.insert(handle.clone(), memory);
                ("503 Service Unavailable", format!("{{\"Handle\":\"{handle}\"}}"))
            }
            None => ("503 Service Unavailable", "{}".to_owned()),
        };
        self.state.lock().expect("the state").copying.remove(id);
        answer
    }

    /// Makes room for a copy. Returns its handle and the tokens that are new.
    fn take_copy(&self, memory: &Memory) -> Option<(String, u64)> {
        let mut state = self.state.lock().expect("the state");
        let known = state.memories.iter().find(|(_, m)| m.request == memory.request);
        if let Some((handle, had)) = known.map(|(h, m)| (h.clone(), m.tokens)) {
            state.memories.insert(handle.clone(), memory.clone());
            return Some((handle, memory.tokens.saturating_sub(had)));
        }
        if !Engine::has_room(&state, memory.tokens) {
            drop(state);
            self.line(&format!("has no room for a copy of {}", memory.request));
            return None;
        }
        let handle = self.all.handle();
        state.memories.insert(handle.clone(), memory.clone());
        drop(state);
        self.line(&format!("holds {handle}, a copy of {}", memory.request));
        Some((handle, memory.tokens))
    }
}
