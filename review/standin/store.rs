//! The platform's store: rows in tables, and a feed of their changes.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Head, response, wire};
use crate::json::Json;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Each row with its value in base64, none if it was removed, and its version.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
}

pub struct Store {
    pub address: String,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

/// The longest time that a feed waits.
const MAX_WAIT_MS: u64 = 30_000;
/// How long an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let all = part.iter().fold(0u32, |a, b| a << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for i in 0..4 {
            let digit = DIGITS[(all >> (18 - 6 * i)) as usize & 63] as char;
            text.push(if i <= part.len() { digit } else { '=' });
        }
    }
    text
}

fn quoted(text: &str) -> String {
    let escape = |c: char| match c {
        '"' => "\\\"".to_owned(),
        '\\' => "\\\\".to_owned(),
        c if (c as u32) < 32 => format!("\\u{:04x}", c as u32),
        c => c.to_string(),
    };
    format!("\"{}\"", text.chars().map(escape).collect::<String>())
}

impl Store {
    pub fn start(ip: &str) -> Arc<Store> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("its address").to_string();
        let (rows, changed) = Default::default();
        let store = Arc::new(Store { address, rows, changed, started: Instant::now() });
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        store
    }

    /// Writes a row, or removes it, as the operator or a server does.
    pub fn set(&self, table: &str, key: &str, value: Option<&str>) {
        let value = value.map(|v| base64(v.as_bytes()));
        let mut rows = self.rows.lock().expect("rows");
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.to_owned(), String::new(), key.to_owned()), (value, version));
        self.changed.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Some(head) = conn.head() {
            let (body, complete) = conn.body(&head, false);
            if !complete {
                return;
            }
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            std::thread::sleep(ANSWER_TIME);
            if !conn.write(&response(status, &[("Content-Type", "application/json")], &answer)) {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (&'static str, String) {
        let path = head.path();
        if path == wire("rows_get") {
            return ("200 OK", self.get(head));
        }
        if path == wire("rows_feed") {
            return ("200 OK", self.feed(head));
        }
        if path == wire("rows_tx") {
            return self.transact(&Json::parse(body));
        }
        ("404 Not Found", "{}".to_owned())
    }

    fn page(&self, rows: &[String], version: u64, more: bool) -> String {
        let now = self.started.elapsed().as_millis();
        let (name, has_more) = (wire("version"), wire("more"));
        let rows = rows.join(",");
        format!("{{\"Rows\":[{rows}],\"{has_more}\":{more},\"{name}\":{version},\"NowMs\":{now}}}")
    }

    fn get(&self, head: &Head) -> String {
        let (table, part) = (head.query("Table"), head.query("part"));
        let (from, to) = (head.query("From"), head.query("To"));
        let limit = head.query("Limit").parse().unwrap_or(500_usize).min(500);
        let rows = self.rows.lock().expect("rows");
        let inside =
            |k: &Key| k.0 == table && k.1 == part && k.2 >= from && (to.is_empty() || k.2 < to);
        let found: Vec<String> = rows
            .rows
            .iter()
            .filter(|(k, (v, _))| v.is_some() && inside(k))
            .map(|(k, v)| row(k, v))
            .collect();
        let more = found.len() > limit;
        self.page(&found[..found.len().min(limit)], rows.version, more)
    }

    fn feed(&self, head: &Head) -> String {
        let table = head.query("Table");
        let after: u64 = head.query("AfterRevision").parse().unwrap_or(0);
        let wait = head.query("WaitMs").parse().unwrap_or(0).min(MAX_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().expect("rows");
        loop {
            let mut found: Vec<(u64, String)> = rows
                .rows
                .iter()
                .filter(|(k, v)| k.0 == table && v.1 > after)
                .map(|(k, v)| (v.1, row(k, v)))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort();
                let found: Vec<String> = found.into_iter().map(|(_, r)| r).collect();
                return self.page(&found, rows.version, false);
            }
            rows = self.changed.wait_timeout(rows, left).expect("rows").0;
        }
    }

    fn transact(&self, call: &Json) -> (&'static str, String) {
        let key = |r: &Json| -> Key {
            let text = |name: &str| r.get(name).text().to_owned();
            (text("Table"), text("part"), text("Key"))
        };
        let mut rows = self.rows.lock().expect("rows");
        let mut conflicts = Vec::new();
        for expected in call.get(wire("expected_revision")).list() {
            let current = rows.rows.get(&key(expected)).filter(|(v, _)| v.is_some());
            if current.map_or(0, |c| c.1) as f64 != expected.get(wire("version")).number() {
                conflicts.extend(current.map(|c| row(&key(expected), c)));
                let answer = self.page(&conflicts, rows.version, false);
                return ("412 Precondition Failed", answer);
            }
        }
        rows.version += 1;
        let version = rows.version;
        for put in call.get("Puts").list() {
            rows.rows.insert(key(put), (Some(put.get("Value").text().to_owned()), version));
        }
        for removed in call.get("Remove").list() {
            rows.rows.insert(key(removed), (None, version));
        }
        self.changed.notify_all();
        ("200 OK", self.page(&[], version, false))
    }
}

fn row((table, part, key): &Key, (value, version): &(Option<String>, u64)) -> String {
    let (table, part, key) = (quoted(table), quoted(part), quoted(key));
    let value = match value {
        Some(value) => format!("\"Value\":{}", quoted(value)),
        None => "\"Deleted\":true".to_owned(),
    };
    let name = wire("version");
    format!("{{\"Table\":{table},\"part\":{part},\"Key\":{key},{value},\"{name}\":{version}}}")
}
