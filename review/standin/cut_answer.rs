//! A server crashes while it sends an answer without a length.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::wire;
use crate::plain::whole_body;
use crate::store::Store;
use crate::world::{self, Call, Entry, KEYS, Process, Record};

/// The servers of the plain service: one of them is less than 0.17 of them.
const SERVERS: u64 = 6;
/// How long clients send requests, and when a server may crash.
const LENGTH: Duration = Duration::from_secs(12);
const CRASH_FROM: Duration = Duration::from_secs(3);
/// After this much of the answer was sent.
const CRASH_DELAY: Duration = Duration::from_millis(100);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const CLIENTS: u64 = 8;
const PAUSE: Duration = Duration::from_millis(200);

struct Servers {
    processes: Vec<Option<Process>>,
    /// The name, the address and the start of each.
    entries: Vec<(String, String, u128)>,
    crashed: Option<(String, Instant)>,
}

pub fn run(folder: &str, temporary: &PathBuf, trouble: bool) -> i32 {
    let record = Record::new(&format!("{folder}/record.txt"));
    let servers = Servers { processes: Vec::new(), entries: Vec::new(), crashed: None };
    let servers = Arc::new(Mutex::new(servers));
    let started = Arc::new(Mutex::new(None::<Instant>));
    let killing = Arc::new(AtomicBool::new(!trouble));
    for number in 0..SERVERS {
        let name = format!("i-{:08x}", 0x40f4_25ee_u64 + number * 7919);
        let ip = world::loopback_ip(10 + number as u32);
        let address = format!("{ip}:{}", world::free_port(&ip));
        let (record, servers_, started) = (record.clone(), servers.clone(), started.clone());
        let (killing, own) = (killing.clone(), name.clone());
        let on_line = move |line: &str| {
            record.line(&format!("server {own} {line}"));
            let since = started.lock().expect("a time").map(|s: Instant| s.elapsed());
            let may_crash = since.is_some_and(|s| s > CRASH_FROM);
            if line.starts_with("half") && may_crash && !killing.swap(true, Ordering::AcqRel) {
                std::thread::sleep(CRASH_DELAY);
                let mut servers = servers_.lock().expect("the servers");
                // Dropping the process kills it.
                servers.processes[number as usize] = None;
                servers.crashed = Some((own.clone(), Instant::now()));
                record.line(&format!("TROUBLE: server {own} crashes (SIGKILL)"));
            }
        };
        let offset = (number * 3).to_string();
        let process = Process::start(&["plain", &name, &address, &offset, "never"], on_line);
        let mut servers = servers.lock().expect("the servers");
        servers.processes.push(Some(process));
        servers.entries.push((name, address, world::unix_ms()));
    }
    std::thread::sleep(Duration::from_millis(300));
    let heartbeat = |store: &Store, sequence: u64| {
        let servers = servers.lock().expect("the servers");
        for (name, address, born) in &servers.entries {
            let crashed = servers.crashed.as_ref().filter(|(n, _)| n == name);
            if let Some((_, at)) = crashed {
                // The store drops an entry after three heartbeats of silence.
                if at.elapsed() > HEARTBEAT * 3 {
                    store.set(wire("server_table"), name, None);
                }
                continue;
            }
            let entry = Entry {
                name,
                service: "ledger",
                address,
                slots: 6,
                zone: "huonville",
                state: "ready",
                sequence,
                born: *born,
            };
            world::list(store, &entry);
        }
    };
    let (store, instances) = world::start_system(2, temporary, &record, |s| heartbeat(s, 1));
    let begun = Instant::now();
    *started.lock().expect("a time") = Some(begun);
    let broken = Arc::new(AtomicU64::new(0));
    let counts = Arc::new(Mutex::new(std::collections::BTreeMap::<String, u32>::new()));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let front = instances[client as usize % instances.len()].front.clone();
        let (record, broken, counts) = (record.clone(), broken.clone(), counts.clone());
        clients.push(std::thread::spawn(move || {
            for number in 0.. {
                if begun.elapsed() > LENGTH {
                    return;
                }
                let id = format!("{client:02x}{number:06x}c41d07be");
                let order = (client + number) % 3 != 0;
                let (method, path) = if order { ("POST", "/order/2f") } else { ("GET", "/stock/2f") };
                let key = KEYS[client as usize % KEYS.len()].1;
                let body = if order { "{\"order\":1}" } else { "" };
                record.line(&format!("client sends {id} {method} {path}"));
                let request =
                    Call { id: &id, method, path, key, body, deadline_ms: 4_000, fields: vec![] };
                let got = world::call(&front, &request);
                let whole = got.body == whole_body(&id).as_bytes();
                record.line(&format!(
                    "client got {id} status={} signature={} bytes={} complete={} whole={whole}",
                    got.status(),
                    got.signature().unwrap_or("none"),
                    got.body.len(),
                    got.complete,
                ));
                let success = (200..300).contains(&got.status());
                if success && got.complete && !whole {
                    broken.fetch_add(1, Ordering::Relaxed);
                    record.line(&format!(
                        "BROKEN: MIXED: {id} got a success that looks complete, with {} of the {} bytes of its \
                         answer",
                        got.body.len(),
                        whole_body(&id).len()
                    ));
                }
                let kind = format!("{} complete={} whole={whole}", got.status(), got.complete);
                *counts.lock().expect("counts").entry(kind).or_default() += 1;
                std::thread::sleep(PAUSE);
            }
        }));
    }
    let mut sequence = 1;
    while begun.elapsed() < LENGTH {
        std::thread::sleep(HEARTBEAT);
        sequence += 1;
        heartbeat(&store, sequence);
    }
    for client in clients {
        let _ = client.join();
    }
    for (kind, count) in counts.lock().expect("counts").iter() {
        record.line(&format!("answers: {count} {kind}"));
    }
    let crashed = servers.lock().expect("the servers").crashed.is_some();
    servers.lock().expect("the servers").processes.clear();
    drop(instances);
    if trouble && !crashed {
        world::give_up("no server sent an answer without a length");
    }
    let broken = broken.load(Ordering::Relaxed);
    println!("MIXED broken by {broken} answers");
    i32::from(broken > 0)
}
