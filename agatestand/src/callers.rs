//! The callers of a soak: each keeps its connections and sends one request after the other.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agateroute_standin as standin;
use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;

use crate::checker::{CALLER, Checker, EVENTS, Kind, Sent};
use crate::instance::Answer;
use crate::load::{LoadClient, client};

/// How much longer than it says a caller really waits, to see an answer that comes too late. Long enough
/// for a machine that is busy with other things.
const WAIT_MORE: Duration = Duration::from_millis(6_000);
/// The longest pause between two requests of a caller, in milliseconds.
const PAUSE_MOST_MS: u64 = 60;
/// One request in so many is given up by its caller before the answer.
const GIVE_UP_EACH: u32 = 20;
/// The longest time after which it is given up, in milliseconds.
const GIVE_UP_MS: u64 = 400;
/// The newest keys, which are mostly in force.
const KEYS_FRESH: usize = 3;
/// The keys that some callers still use, most of which were withdrawn.
const KEYS_OLD: usize = 16;
/// The tokens of an event.
const EVENT_TOKENS: u64 = 4;

/// What callers know of an instance.
#[derive(Debug)]
pub struct Target {
    /// Where it is called.
    pub address: String,
    /// Whether the balancer sends callers there.
    pub open: AtomicBool,
}

/// What callers and the rest of a soak share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// The instances.
    pub targets: Arc<Vec<Target>>,
    checker: Arc<Mutex<Checker>>,
}

impl Shared {
    /// What is shared at the start, with the addresses of the instances.
    pub fn new(targets: Vec<Target>) -> Shared {
        Shared { targets: Arc::new(targets), checker: Arc::default() }
    }

    /// The checker.
    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends requests until cancelled.
pub async fn call_on(shared: Shared, seed: u64, caller: u64, cancel: CancellationToken) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (caller + 1) << 32);
    let client = client(false);
    for number in 0.. {
        let pause = Duration::from_millis(rng.random_range(1..=PAUSE_MOST_MS));
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
        let open: Vec<usize> = (0..shared.targets.len())
            .filter(|i| shared.targets[*i].open.load(Ordering::Relaxed))
            .collect();
        if open.is_empty() {
            continue;
        }
        let slot = open[rng.random_range(0..open.len())];
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        let patience = rng.random_ratio(1, GIVE_UP_EACH).then(|| rng.random_range(1..=GIVE_UP_MS));
        let id = format!("request-{seed}-{caller}-{number}");
        let body = "x".repeat(rng.random_range(0..600));
        let key = pick_key(&shared, &mut rng);
        shared.checker().sends(Sent::new(&id, kind, &key, &format!("{id} {body}"), slot));
        let body = format!("{id} {body}");
        let request = encode(&shared.targets[slot].address, kind, &id, &key, body);
        ask(&shared, &client, &id, request, patience.map(Duration::from_millis)).await;
    }
}

/// A key that is in force, or was withdrawn lately: callers hear of that late.
fn pick_key(shared: &Shared, rng: &mut ChaCha8Rng) -> String {
    let checker = shared.checker();
    let keys = &checker.keys;
    let from = |last: usize| keys.len().saturating_sub(last);
    let at = match rng.random_range(0..10) {
        0..5 => 0,
        5..8 => rng.random_range(from(KEYS_FRESH)..keys.len()),
        _ => rng.random_range(from(KEYS_OLD)..keys.len()),
    };
    keys[at].text.clone()
}

fn encode(address: &str, kind: Kind, id: &str, key: &str, body: String) -> Request<Full<Bytes>> {
    Request::post(format!("http://{address}{}", kind.path()))
        .header(header::HOST, standin::HOST)
        .header(standin::REQUEST_ID, id)
        .header(standin::DEADLINE, CALLER.as_millis().to_string())
        .header(standin::SIZE, format!("400,{}", EVENTS * EVENT_TOKENS))
        .header(header::AUTHORIZATION, standin::authorization(key))
        .body(Full::new(body.into()))
        .expect("a request")
}

/// Sends a request and has its answer checked.
pub async fn ask(
    shared: &Shared,
    client: &LoadClient,
    id: &str,
    request: Request<Full<Bytes>>,
    patience: Option<Duration>,
) {
    let answer = async {
        match client.request(request).await {
            Ok(response) => Ok(Answer::read(response).await),
            Err(error) if error.is_connect() => Err(None),
            Err(error) => Err(Some(format!("{error:?}"))),
        }
    };
    let given_up = patience.is_some();
    let time = patience.unwrap_or(CALLER + WAIT_MORE);
    match tokio::time::timeout(time, answer).await {
        Ok(Ok(answer)) => shared.checker().answered(id, &answer),
        // An instance that is gone took nothing.
        Ok(Err(None)) => {}
        Ok(Err(Some(why))) => shared.checker().unanswered(id, &why),
        Err(_) if given_up => {}
        Err(_) => shared.checker().unanswered(id, "no final answer in its time"),
    }
}

/// Sends one request to an instance and tells whether it was served.
pub async fn served(shared: &Shared, client: &LoadClient, slot: usize, id: &str) -> bool {
    let key = shared.checker().keys[0].text.clone();
    shared.checker().sends(Sent::new(id, Kind::Order, &key, id, slot));
    let request = encode(&shared.targets[slot].address, Kind::Order, id, &key, id.to_owned());
    let Ok(response) = client.request(request).await else { return false };
    let answer = Answer::read(response).await;
    shared.checker().answered(id, &answer);
    answer.status.is_success() && answer.whole
}
