//! Callers of a soak. Each keeps its connections and sends one request at a time.

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

use crate::checker::{CALLER_TIMEOUT, Checker, Kind, STREAM_EVENTS, Sent};
use crate::instance::Answer;
use crate::load::{LoadClient, client};

/// Time that a caller waits beyond its deadline, so that a late answer is still checked. Long enough
/// for a busy machine.
const EXTRA_WAIT: Duration = Duration::from_millis(6_000);
/// Maximum pause between two requests of a caller.
const MAX_PAUSE_MS: u64 = 60;
/// One request in this many is given up by its caller before the answer.
const GIVE_UP_ONE_IN: u32 = 20;
/// Maximum time until a caller gives up a request that it gives up at all.
const MAX_GIVE_UP_MS: u64 = 400;
/// Number of the newest keys, most of which are in force, that callers prefer.
const RECENT_KEYS: usize = 3;
/// Number of the newest keys from which callers pick; most of them are withdrawn.
const USED_KEYS: usize = 16;
const TOKENS_PER_EVENT: u64 = 4;

/// Instance to which callers send requests.
#[derive(Debug)]
pub struct Target {
    /// Address at which callers reach the instance.
    pub address: String,
    /// Whether the instance reported ready, so that a load balancer would send it requests.
    pub ready: AtomicBool,
}

/// State shared by the callers and the rest of a soak.
#[derive(Clone, Debug)]
pub struct SoakState {
    /// Instances, indexed by their slots in the testbed.
    pub targets: Arc<Vec<Target>>,
    checker: Arc<Mutex<Checker>>,
}

impl SoakState {
    /// Creates the state for these instances, with an empty checker.
    pub fn new(targets: Vec<Target>) -> SoakState {
        SoakState { targets: Arc::new(targets), checker: Arc::default() }
    }

    /// Locks and returns the checker.
    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends requests to ready instances until cancelled.
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

/// Picks a key that is in force or was withdrawn recently, since callers learn of changes late.
fn pick_key(state: &SoakState, rng: &mut ChaCha8Rng) -> String {
    let checker = state.checker();
    let keys = &checker.keys;
    let from = |last: usize| keys.len().saturating_sub(last);
    let at = match rng.random_range(0..10) {
        0..5 => 0,
        5..8 => rng.random_range(from(RECENT_KEYS)..keys.len()),
        _ => rng.random_range(from(USED_KEYS)..keys.len()),
    };
    keys[at].secret.clone()
}

fn encode(address: &str, kind: Kind, id: &str, key: &str, body: String) -> Request<Full<Bytes>> {
    Request::post(format!("http://{address}{}", kind.path()))
        .header(header::HOST, standin::HOST)
        .header(standin::REQUEST_ID_HEADER, id)
        .header(standin::DEADLINE_HEADER, CALLER_TIMEOUT.as_millis().to_string())
        .header(standin::SIZE_HEADER, format!("400,{}", STREAM_EVENTS * TOKENS_PER_EVENT))
        .header(header::AUTHORIZATION, standin::authorization(key))
        .body(Full::new(body.into()))
        .expect("a request")
}

/// Sends a request and checks its answer, unless it is given up before.
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
        Ok(Ok(answer)) => state.checker().check_answer(id, &answer),
        // Without a connection, the request was not sent.
        Ok(Err(None)) => {}
        Ok(Err(Some(error))) => state.checker().check_unanswered(id, &error),
        Err(_) if given_up => {}
        Err(_) => state.checker().check_unanswered(id, "no final answer in time"),
    }
}

/// Sends one call to an instance and returns whether it succeeded.
pub async fn probe(state: &SoakState, client: &LoadClient, slot: usize, id: &str) -> bool {
    let key = state.checker().keys[0].secret.clone();
    state.checker().record_request(Sent::new(id, Kind::Order, &key, id, slot));
    let request = encode(&state.targets[slot].address, Kind::Order, id, &key, id.to_owned());
    let Ok(response) = client.request(request).await else { return false };
    let answer = Answer::read(response).await;
    state.checker().check_answer(id, &answer);
    answer.status.is_success() && answer.complete
}
