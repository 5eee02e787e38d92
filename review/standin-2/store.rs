//! The platform's store: rows in tables, reads, transactions and the feed of changes. One port for each instance, so that
//! it is known what each of them was answered.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Wire, base64, json_text, wire as name};

/// What the store does with calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Answers them.
    Up,
    /// Answers 503; nothing is done.
    Busy,
}

/// The table, the part and the key of a row.
type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    /// The value in base64, none if the row was removed.
    value: Option<String>,
    revision: u64,
    /// Whether it is the entry of a replica that takes new work.
    ready: bool,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    revision: u64,
    mode: Option<Mode>,
}

/// An answer about the table `servers`.
#[derive(Clone)]
pub struct Told {
    /// The instance that asked.
    pub instance: usize,
    /// When the answer was made.
    pub at: Instant,
    /// The entries in it that say `draining`, and those that are marked as removed.
    pub left: Vec<String>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// What instances were told of servers.
    pub told: Arc<Mutex<Vec<Told>>>,
}

/// Answers take this long.
const ANSWER_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn new() -> Store {
        Store { state: Arc::default(), told: Arc::default() }
    }

    fn mode(&self) -> Mode {
        self.state.0.lock().unwrap().mode.unwrap_or(Mode::Up)
    }

    /// Sets what the store does from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.state.0.lock().unwrap().mode = Some(mode);
        self.state.1.notify_all();
    }

    /// Writes a row as the operator or a server does. Returns whether the store has acknowledged it.
    pub fn write(&self, table: &str, key: &str, json: Option<&str>) -> bool {
        if self.mode() == Mode::Busy {
            return false;
        }
        let ready = json.is_some_and(|j| j.contains("\"State\":\"ready\""));
        self.put(table, "", key, json.map(|j| base64(j.as_bytes())), ready);
        true
    }

    fn put(&self, table: &str, part: &str, key: &str, value: Option<String>, ready: bool) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.rows.insert((table.into(), part.into(), key.into()), Row { value, revision, ready });
        drop(state);
        self.state.1.notify_all();
    }

    /// Starts a port for an instance.
    pub fn listen(&self, instance: usize, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("a free port");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(instance, Wire::new(stream)));
            }
        });
    }

    fn serve(&self, instance: usize, mut wire: Wire) {
        while let Ok(call) = wire.message() {
            thread::sleep(ANSWER_TIME);
            let path = call.path().split('?').next().unwrap_or("").to_owned();
            let (status, body) = match path.as_str() {
                _ if self.mode() == Mode::Busy => ("503 Service Unavailable", String::new()),
                p if p == name("rows_get") => self.get(instance, &call),
                p if p == name("rows_feed") => self.feed(instance, &call),
                p if p == name("rows_tx") => self.transact(&String::from_utf8_lossy(&call.body)),
                _ => ("404 Not Found", String::new()),
            };
            let json = [("Content-Type", "application/json")];
            let answered = match self.mode() == Mode::Busy {
                true => wire.respond("503 Service Unavailable", &[], ""),
                false => wire.respond(status, &json, &body),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn get(&self, instance: usize, call: &Message) -> (&'static str, String) {
        let (version, more) = (name("version"), name("more"));
        let (table, part) = (call.query("Table"), call.query("part"));
        let (from, to) = (call.query("From"), call.query("To"));
        let state = self.state.0.lock().unwrap();
        let wanted = state.rows.iter().filter(|((t, p, k), row)| {
            *t == table
                && *p == part
                && row.value.is_some()
                && *k >= from
                && (to.is_empty() || *k < to)
        });
        let rows: Vec<String> = wanted.clone().map(|(k, r)| row_json(k, r)).collect();
        if table == "servers" {
            let left = wanted.filter(|(_, row)| !row.ready).map(|(key, _)| key.2.clone());
            self.tell(instance, left.collect());
        }
        let rows = rows.join(",");
        (
            "200 OK",
            format!(
                "{{\"Rows\":[{rows}],\"{more}\":false,\"{version}\":{},\"NowMs\":1}}",
                state.revision
            ),
        )
    }

    fn feed(&self, instance: usize, call: &Message) -> (&'static str, String) {
        let version = name("version");
        let table = call.query("Table");
        let after: u64 = call.query("AfterRevision").parse().unwrap_or(0);
        let until =
            Instant::now() + Duration::from_millis(call.query("WaitMs").parse().unwrap_or(0));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let changed =
                state.rows.iter().filter(|((t, _, _), r)| *t == table && r.revision > after);
            let changed: Vec<(Key, Row)> = changed.map(|(k, r)| (k.clone(), r.clone())).collect();
            let now = Instant::now();
            if !changed.is_empty() || now >= until {
                if table == "servers" {
                    let left =
                        changed.iter().filter(|(_, row)| !row.ready).map(|(key, _)| key.2.clone());
                    self.tell(instance, left.collect());
                }
                let rows: Vec<String> = changed.iter().map(|(k, r)| row_json(k, r)).collect();
                let (rows, revision) = (rows.join(","), state.revision);
                return (
                    "200 OK",
                    format!("{{\"Rows\":[{rows}],\"{version}\":{revision},\"NowMs\":1}}"),
                );
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    /// Carries out a transaction of the instances, which put rows without conditions or only if they do not exist.
    fn transact(&self, body: &str) -> (&'static str, String) {
        let version = name("version");
        let puts = body
            .split("\"Puts\":")
            .nth(1)
            .and_then(|p| p.split("\"Remove\":").next())
            .unwrap_or("");
        let conditions = body.split("\"Puts\":").next().unwrap_or("");
        if conditions.contains(&format!("\"{version}\":")) {
            return ("412 Precondition Failed", "{\"Rows\":[]}".to_owned());
        }
        for put in puts.split('{').skip(1) {
            let text = |name: &str| json_text(put, name).unwrap_or_default();
            self.put(&text("Table"), &text("part"), &text("Key"), Some(text("Value")), false);
        }
        let revision = self.state.0.lock().unwrap().revision;
        ("200 OK", format!("{{\"{version}\":{revision},\"NowMs\":1}}"))
    }

    fn tell(&self, instance: usize, left: Vec<String>) {
        let told = Told { instance, at: Instant::now(), left };
        self.told.lock().unwrap().push(told);
    }
}

fn row_json((table, part, key): &Key, Row { value, revision, .. }: &Row) -> String {
    let version = name("version");
    let value = match value {
        Some(value) => format!("\"Value\":\"{value}\""),
        None => "\"Deleted\":true".to_owned(),
    };
    format!(
        "{{\"Table\":\"{table}\",\"part\":\"{part}\",\"Key\":\"{key}\",{value},\"{version}\":{revision}}}"
    )
}
