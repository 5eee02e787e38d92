//! A plain server as a separate process: it works for a while and answers, now and then without a length.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Conn, Head, response, wire};

/// The work before an answer begins.
const WORK: Duration = Duration::from_millis(60);
/// The time between the two halves of an answer without a length.
const PAUSE: Duration = Duration::from_millis(300);
/// The first of these many answers has no length.
const WITHOUT_LENGTH: u64 = 20;

/// A request for this path crashes the server that runs it.
pub const CRASHING_PATH: &str = "/stock/66";

/// The whole answer to a request.
pub fn whole_body(id: &str) -> String {
    let line = |n: u32| format!("line {n:02} of the answer to {id}\n");
    (1..=40).map(line).collect()
}

/// When a request that crashes its server does so.
#[derive(Clone, Copy, PartialEq)]
pub enum Crash {
    Never,
    BeforeHead,
    AfterHead,
}

/// Serves until it is killed or crashes. Prints what it does. Answer number `offset` is the first one.
pub fn run(name: &str, address: &str, offset: u64, crash: Crash) {
    let listener = TcpListener::bind(address).expect("the address");
    let count = Arc::new(AtomicU64::new(offset));
    println!("listens {name}");
    for stream in listener.incoming().flatten() {
        let (name, count) = (name.to_owned(), count.clone());
        std::thread::spawn(move || serve(&name, &count, crash, Conn::new(stream)));
    }
}

fn serve(name: &str, count: &AtomicU64, crash: Crash, mut conn: Conn) {
    while let Some(head) = conn.head() {
        let (_, complete) = conn.body(&head, false);
        if !complete || !answer(name, count, crash, &mut conn, &head) {
            return;
        }
    }
}

/// Answers a request. Returns whether the connection is kept.
fn answer(name: &str, count: &AtomicU64, crash: Crash, conn: &mut Conn, head: &Head) -> bool {
    let id = head.field(wire("request_id")).unwrap_or("").to_owned();
    if head.path() == "/health" || id.is_empty() {
        return conn.write(&response("200 OK", &[("X-Instance", name)], ""));
    }
    if head.field(wire("expected")).is_some_and(|e| e != name) {
        return conn.write(&response("421 Misdirected Request", &[], ""));
    }
    println!("runs {id} {} {}", head.method(), head.path());
    std::thread::sleep(WORK);
    let body = whole_body(&id);
    let fields = [(wire("request_id"), id.as_str()), (wire("signature"), name)];
    if crash != Crash::Never && head.path() == CRASHING_PATH {
        if crash == Crash::AfterHead {
            let answer = response("200 OK", &fields, &body);
            conn.write(&answer[..answer.len() - body.len() / 2]);
        }
        println!("crashes under {id}");
        std::process::exit(134);
    }
    if count.fetch_add(1, Ordering::Relaxed) % WITHOUT_LENGTH != 0 {
        let sent = conn.write(&response("200 OK", &fields, &body));
        println!("answered {id} {}", body.len());
        return sent;
    }
    let fields: String = fields.iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
    let (first, second) = body.split_at(body.len() / 2);
    conn.write(format!("HTTP/1.1 200 OK\r\n{fields}\r\n{first}").as_bytes());
    println!("half {id} {}", first.len());
    std::thread::sleep(PAUSE);
    conn.write(second.as_bytes());
    println!("answered {id} {} without a length", body.len());
    false
}
