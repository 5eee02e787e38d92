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

use crate::checker::{CALLER_TIMEOUT, Checker, EVENTS, Kind, Sent};
use crate::instance::Answer;
use crate::load::{LoadClient, client};

/// How much longer than it says a caller really waits, to see an answer that comes too late. Long enough
/// for a machine that is busy with other things.
const EXTRA_WAIT: Duration = Duration::from_millis(6_000);
/// The longest pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// One request in so many is given up by its caller before the answer.
const GIVE_UP_ONE_IN: u32 = 20;
/// The longest time after which it is given up, in milliseconds.
const MAX_GIVE_UP_MS: u64 = 400;
/// The newest keys, which are mostly in force.
const RECENT_KEYS: usize = 3;
/// The keys that some callers still use, most of which were withdrawn.
const OLD_KEYS: usize = 16;
/// The tokens of an event.
const TOKENS_PER_EVENT: u64 = 4;

/// What callers know of an instance.
#[derive(Debug)]
pub struct Target {
    /// Where it is called.
    pub address: String,
    /// Whether the balancer sends callers there.
    pub ready: AtomicBool,
}

/// What callers and the rest of a soak share.
#[derive(Clone, Debug)]
pub struct SoakState {
    /// The instances.
    pub targets: Arc<Vec<Target>>,
    checker: Arc<Mutex<Checker>>,
}

impl SoakState {
    /// What is shared at the start, with the addresses of the instances.
    pub fn new(targets: Vec<Target>) -> SoakState {
        SoakState { targets: Arc::new(targets), checker: Arc::default() }
    }

    /// The checker.
    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends requests until cancelled.
pub async fn run_caller(state: SoakState, seed: u64, caller: u64, cancel: CancellationToken) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (caller + 1) << 32);
    let client = client(false);
    for number in 0.. {
        let pause = Duration::from_millis(rng.random_range(1..=MAX_PAUSE_MS));
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
        let ready: Vec<usize> = (0..state.targets.len())
            .filter(|i| state.targets[*i].ready.load(Ordering::Relaxed))
            .collect();
        if ready.is_empty() {
            continue;
        }
        let slot = ready[rng.random_range(0..ready.len())];
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        let give_up =
            rng.random_ratio(1, GIVE_UP_ONE_IN).then(|| rng.random_range(1..=MAX_GIVE_UP_MS));
        let id = format!("request-{seed}-{caller}-{number}");
        let body = "x".repeat(rng.random_range(0..600));
        let key = pick_key(&state, &mut rng);
        state.checker().record_request(Sent::new(&id, kind, &key, &format!("{id} {body}"), slot));
        let body = format!("{id} {body}");
        let request = encode(&state.targets[slot].address, kind, &id, &key, body);
        send_checked(&state, &client, &id, request, give_up.map(Duration::from_millis)).await;
    }
}

/// A key that is in force, or was withdrawn lately: callers hear of that late.
fn pick_key(state: &SoakState, rng: &mut ChaCha8Rng) -> String {
    let checker = state.checker();
    let keys = &checker.keys;
    let from = |last: usize| keys.len().saturating_sub(last);
    let at = match rng.random_range(0..10) {
        0..5 => 0,
        5..8 => rng.random_range(from(RECENT_KEYS)..keys.len()),
        _ => rng.random_range(from(OLD_KEYS)..keys.len()),
    };
    keys[at].secret.clone()
}

fn encode(address: &str, kind: Kind, id: &str, key: &str, body: String) -> Request<Full<Bytes>> {
    Request::post(format!("http://{address}{}", kind.path()))
        .header(header::HOST, standin::HOST)
        .header(standin::REQUEST_ID, id)
        .header(standin::DEADLINE, CALLER_TIMEOUT.as_millis().to_string())
        .header(standin::SIZE, format!("400,{}", EVENTS * TOKENS_PER_EVENT))
        .header(header::AUTHORIZATION, standin::authorization(key))
        .body(Full::new(body.into()))
        .expect("a request")
}

/// Sends a request and has its answer checked.
pub async fn send_checked(
    state: &SoakState,
    client: &LoadClient,
    id: &str,
    request: Request<Full<Bytes>>,
    give_up: Option<Duration>,
) {
    let answer = async {
        match client.request(request).await {
            Ok(response) => Ok(Answer::read(response).await),
            Err(error) if error.is_connect() => Err(None),
            Err(error) => Err(Some(format!("{error:?}"))),
        }
    };
    let given_up = give_up.is_some();
    let time = give_up.unwrap_or(CALLER_TIMEOUT + EXTRA_WAIT);
    match tokio::time::timeout(time, answer).await {
        Ok(Ok(answer)) => state.checker().answered(id, &answer),
        // An instance that is gone took nothing.
        Ok(Err(None)) => {}
        Ok(Err(Some(error))) => state.checker().unanswered(id, &error),
        Err(_) if given_up => {}
        Err(_) => state.checker().unanswered(id, "no final answer in its time"),
    }
}

/// Sends one request to an instance and tells whether it was served.
pub async fn probe(state: &SoakState, client: &LoadClient, slot: usize, id: &str) -> bool {
    let key = state.checker().keys[0].secret.clone();
    state.checker().record_request(Sent::new(id, Kind::Order, &key, id, slot));
    let request = encode(&state.targets[slot].address, Kind::Order, id, &key, id.to_owned());
    let Ok(response) = client.request(request).await else { return false };
    let answer = Answer::read(response).await;
    state.checker().answered(id, &answer);
    answer.status.is_success() && answer.complete
}
