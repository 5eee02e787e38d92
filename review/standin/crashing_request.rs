//! A lookup crashes each server that runs it, after the head of its answer, and comes again and again.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::wire;
use crate::plain::CRASHING_PATH;
use crate::store::Store;
use crate::world::{self, Call, Entry, KEYS, Process, Record};

const SERVERS: u64 = 6;
const LENGTH: Duration = Duration::from_secs(40);
/// The pause after which the lookup comes again.
const AGAIN: Duration = Duration::from_millis(2_500);
/// A server that has crashed is back after this time.
const BACK: Duration = Duration::from_secs(3);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `ContactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
/// The crashes after which the rule counts, and the retries that it allows then.
const CRASHES: usize = 3;
const RETRIES: usize = 3;
const CLIENTS: u64 = 6;
const PAUSE: Duration = Duration::from_millis(150);

struct Server {
    name: String,
    address: String,
    born: u128,
    starts: u64,
    process: Option<Process>,
    crashed_at: Option<Instant>,
}

#[derive(Default)]
struct Crashes {
    /// When the lookup began to run, and when it crashed a server.
    runs: Vec<Instant>,
    crashes: Vec<Instant>,
}

fn start(
    server: &mut Server,
    number: u64,
    crash: &str,
    record: &Arc<Record>,
    seen: &Arc<Mutex<Crashes>>,
) {
    server.starts += 1;
    server.name = format!("i-{:08x}", 0x40f4_25ee_u64 + number * 7919 + server.starts * 104_729);
    server.born = world::unix_ms();
    server.crashed_at = None;
    let (record, seen, own) = (record.clone(), seen.clone(), server.name.clone());
    let on_line = move |line: &str| {
        record.line(&format!("server {own} {line}"));
        let mut seen = seen.lock().expect("the crashes");
        if line.starts_with("runs") && line.ends_with(CRASHING_PATH) {
            seen.runs.push(Instant::now());
        }
        if line.starts_with("crashes") {
            seen.crashes.push(Instant::now());
        }
    };
    // Answers without a length are left out: the first one is number 1.
    let args = ["plain", &server.name, &server.address, "1", crash];
    server.process = Some(Process::start(&args, on_line));
}

pub fn run(folder: &str, temporary: &PathBuf, trouble: bool) -> i32 {
    let record = Record::new(&format!("{folder}/record.txt"));
    let seen = Arc::new(Mutex::new(Crashes::default()));
    // CRASH=before_head shows what the system does if nothing of an answer was sent.
    let crash = std::env::var("CRASH").unwrap_or_else(|_| "after_head".to_owned());
    let crash = if trouble { crash.as_str() } else { "never" };
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let ip = world::loopback_ip(10 + number as u32);
        let address = format!("{ip}:{}", world::free_port(&ip));
        let mut server = Server {
            name: String::new(),
            address,
            born: 0,
            starts: 0,
            process: None,
            crashed_at: None,
        };
        start(&mut server, number, crash, &record, &seen);
        servers.push(server);
    }
    std::thread::sleep(Duration::from_millis(300));
    let list = |store: &Store, server: &Server, sequence: u64| {
        let entry = Entry {
            name: &server.name,
            service: "ledger",
            address: &server.address,
            slots: 6,
            zone: "huonville",
            state: "ready",
            sequence,
            born: server.born,
        };
        world::list(store, &entry);
    };
    let (store, instances) = world::start_system(2, temporary, &record, |s| {
        servers.iter().for_each(|server| list(s, server, 1));
    });
    let begun = Instant::now();
    let ended = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let front = instances[client as usize % instances.len()].front.clone();
        let (record, ended, lost) = (record.clone(), ended.clone(), lost.clone());
        clients.push(std::thread::spawn(move || {
            for number in 0.. {
                if ended.load(Ordering::Acquire) {
                    return;
                }
                let id = format!("{client:02x}{number:06x}c41d07be");
                let request = Call {
                    id: &id,
                    method: "POST",
                    path: "/order/2f",
                    key: KEYS[1].1,
                    body: "{\"order\":1}",
                    deadline_ms: 4_000,
                    fields: vec![],
                };
                let got = world::call(&front, &request);
                record.line(&format!("client got {id} status={} POST /order/2f", got.status()));
                if matches!(got.status(), 0 | 502 | 504) {
                    lost.fetch_add(1, Ordering::Relaxed);
                }
                std::thread::sleep(PAUSE);
            }
        }));
    }
    let (mut sequence, mut beat, mut again) = (1, begun, begun);
    let mut senders = Vec::new();
    let mut number = 0_usize;
    while begun.elapsed() < LENGTH {
        std::thread::sleep(Duration::from_millis(20));
        let is_beat = beat.elapsed() > HEARTBEAT;
        if is_beat {
            (beat, sequence) = (Instant::now(), sequence + 1);
        }
        for (at, server) in servers.iter_mut().enumerate() {
            let ended = server.process.as_mut().is_some_and(Process::has_ended);
            if ended && server.crashed_at.is_none() {
                server.crashed_at = Some(Instant::now());
            }
            if server.crashed_at.is_some_and(|c| c.elapsed() > BACK) {
                // The former entry lapses; the new start has an id of its own.
                store.set(wire("server_table"), &server.name, None);
                start(server, at as u64, crash, &record, &seen);
                std::thread::sleep(Duration::from_millis(20));
                list(&store, server, sequence);
            } else if is_beat && server.crashed_at.is_none() {
                list(&store, server, sequence);
            }
        }
        if again.elapsed() > AGAIN {
            again = Instant::now();
            number += 1;
            let front = instances[number % instances.len()].front.clone();
            let record = record.clone();
            senders.push(std::thread::spawn(move || {
                let id = format!("66{number:06x}c41d07be");
                record.line(&format!("client sends {id} GET {CRASHING_PATH}"));
                let request = Call {
                    id: &id,
                    method: "GET",
                    path: CRASHING_PATH,
                    key: KEYS[0].1,
                    body: "",
                    deadline_ms: 4_000,
                    fields: vec![],
                };
                let got = world::call(&front, &request);
                record
                    .line(&format!("client got {id} status={} GET {CRASHING_PATH}", got.status()));
            }));
        }
    }
    ended.store(true, Ordering::Release);
    for thread in clients.into_iter().chain(senders) {
        let _ = thread.join();
    }
    servers.clear();
    drop(instances);
    let seen = seen.lock().expect("the crashes");
    let counts_from = seen.crashes.get(CRASHES - 1).map(|third| *third + CONTACT);
    let late = counts_from.map_or(0, |from| seen.runs.iter().filter(|r| **r > from).count());
    let summary = format!(
        "the lookup reached servers {} times and crashed {}; {late} times later than ContactMs after the third crash, \
         {RETRIES} are allowed; {} orders of others were lost",
        seen.runs.len(),
        seen.crashes.len(),
        lost.load(Ordering::Relaxed)
    );
    record.line(&summary);
    println!("{summary}");
    if late > RETRIES {
        record.line("BROKEN: BUDGET");
    }
    i32::from(late > RETRIES)
}
