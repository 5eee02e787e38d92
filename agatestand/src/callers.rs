//! Callers of a soak. Each keeps its connections and sends one request at a time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agateroute_standin::server::EVENT_INTERVAL;
use agateroute_standin::{self as standin, engine_front};
use http::{HeaderValue, Request, header};
use hyper_util::client::legacy::connect::HttpInfo;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;

use crate::bodies::{self, Body, Chunks, SoakClient};
use crate::checker::{CALLER_TIMEOUT, Checker, Kind, MAX_EVENTS, Sent};
use crate::instance::Answer;
use crate::load::{LoadClient, client, client_for};

/// Time that a caller waits beyond its deadline, so that a late answer is still checked. Long enough
/// for a busy machine.
const EXTRA_WAIT: Duration = Duration::from_millis(6_000);
/// Maximum pause between two requests of a caller.
const MAX_PAUSE_MS: u64 = 60;
/// One request in this many is given up by its caller before the answer.
const GIVE_UP_ONE_IN: u32 = 20;
/// Maximum time until a caller gives up a request that it gives up at all.
const MAX_GIVE_UP_MS: u64 = 400;
/// Attempts of a caller to resume a stream, and the longest pause before each.
const MAX_RESUMES: u32 = 3;
const MAX_RESUME_PAUSE_MS: u64 = 600;
/// Times that callers wait, one of which is drawn per request. A stopping instance may still accept those that end before it
/// does. For a stream that is longer than half of the drawn time, it is the longest.
const DEADLINES_MS: [u64; 4] = [1_500, 3_000, 5_000, 8_000];
/// Number of the newest keys, most of which are in force, that callers prefer.
const RECENT_KEYS: usize = 3;
/// Number of the newest keys from which callers pick; most of them are withdrawn.
const USED_KEYS: usize = 16;
const TOKENS_PER_EVENT: u64 = 4;
/// Largest numbers of events of short and of middling streams. Most are short, so that model servers have places.
const SHORT_EVENTS: u64 = 40;
const MIDDLING_EVENTS: u64 = 120;
/// Largest output that callers allow, far more than any stream has.
const MAX_OUTPUT_TOKENS: u64 = 8_000;
/// Groups of callers. The first sends to a stopping instance at once, each further one later, as connections stay idle.
const PATIENCE_GROUPS: u64 = 4;
/// Stream of the generator of what was added to a caller, so that its other draws do not depend on that.
const ADDED_STREAM: u64 = 4;
/// Time between the first requests of two such groups. The last group starts with two seconds of the grace time left.
const PATIENCE_STEP_MS: u64 = 1_800;

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
    /// Client for readiness checks. It keeps its connections: a new one for each check uses up the ports of a machine.
    pub probes: LoadClient,
    checker: Arc<Mutex<Checker>>,
}

impl SoakState {
    /// Creates the state for these instances, with an empty checker.
    pub fn new(targets: Vec<Target>) -> SoakState {
        SoakState { targets: Arc::new(targets), probes: client(false), checker: Arc::default() }
    }

    /// Locks and returns the checker.
    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends requests to ready instances until cancelled.
pub async fn run_caller(state: SoakState, seed: u64, caller: u64, cancel: CancellationToken) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (caller + 1) << 32);
    let mut added_rng = rng.clone();
    added_rng.set_stream(ADDED_STREAM);
    let client = client_for(false);
    let patience = Duration::from_millis(caller % PATIENCE_GROUPS * PATIENCE_STEP_MS);
    let (mut used, mut closed) = (Vec::new(), Vec::new());
    for number in 0.. {
        let pause = Duration::from_millis(rng.random_range(1..=MAX_PAUSE_MS));
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
        let (ready, stopping) = open_slots(&state, patience, &mut closed);
        let open = match (ready.is_empty(), stopping.is_empty()) {
            (true, true) => continue,
            (true, false) => stopping,
            (false, true) => ready,
            // While many stop, the others still get their share.
            _ if rng.random() => stopping,
            _ => ready,
        };
        let slot = open[rng.random_range(0..open.len())];
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        let give_up =
            rng.random_ratio(1, GIVE_UP_ONE_IN).then(|| rng.random_range(1..=MAX_GIVE_UP_MS));
        let id = format!("request-{seed}-{caller}-{number}");
        let body = "x".repeat(rng.random_range(0..600));
        let key = pick_key(&state, &mut rng);
        let body = format!("{id} {body}");
        let mut sent = Sent::new(&id, kind, &key, &body, slot);
        let length = Length::draw(&mut rng);
        sent.events = length.events;
        sent.deadline = draw_deadline(kind, length.events, &mut added_rng);
        let deadline = HeaderValue::from(sent.deadline.as_millis() as u64);
        let chunks = Chunks::draw(&mut added_rng);
        sent.unfinished = chunks.is_some();
        state.checker().record_request(sent);
        let address = &state.targets[slot].address;
        let mut request = encode(address, kind, &id, &key, body.clone(), length);
        request.headers_mut().insert(standin::DEADLINE_HEADER, deadline);
        if let Some(chunks) = chunks {
            send_in_chunks(&state, &id, &mut request, (chunks, body));
        }
        let time = give_up.map(Duration::from_millis);
        if !send_checked(&state, &client, &mut used, &id, request, time).await {
            closed.push(slot);
        }
        retry(&state, &client, &mut added_rng, (&id, &key, length)).await;
        resume(&state, &client, &mut rng, (&id, &key)).await;
    }
}

/// Sends a request that a stopping instance refused again, to another instance that a load balancer offers, after the time
/// that the refusal names or a third of the time that is left.
async fn retry(
    state: &SoakState,
    client: &SoakClient,
    rng: &mut ChaCha8Rng,
    (id, key, length): (&str, &str, Length),
) {
    let Some(first) = state.checker().refused_at_stop(id) else { return };
    let left = |pause| first.deadline.saturating_sub(first.at.elapsed() + pause);
    let pause = first.retry_after.unwrap_or_default().min(left(Duration::ZERO) / 3);
    let deadline = left(pause);
    tokio::time::sleep(pause).await;
    let (mut ready, _) = open_slots(state, Duration::ZERO, &mut Vec::new());
    ready.retain(|slot| *slot != first.slot);
    if ready.is_empty() {
        return;
    }
    let slot = ready[rng.random_range(0..ready.len())];
    let again = format!("{id}-again");
    let mut sent = Sent::new(&again, first.kind, key, &again, slot);
    (sent.events, sent.deadline, sent.is_retry) = (first.events, deadline, true);
    state.checker().record_request(sent);
    let address = &state.targets[slot].address;
    let mut request = encode(address, first.kind, &again, key, again.clone(), length);
    let waits = HeaderValue::from(deadline.as_millis() as u64);
    request.headers_mut().insert(standin::DEADLINE_HEADER, waits);
    send_checked(state, client, &mut Vec::new(), &again, request, None).await;
    state.checker().count_retry(&again);
}

/// Takes up a stream that broke off again, at instances that a load balancer offers, until it is complete or a few attempts
/// have failed.
async fn resume(
    state: &SoakState,
    client: &SoakClient,
    rng: &mut ChaCha8Rng,
    (id, key): (&str, &str),
) {
    let mut last = id.to_owned();
    for number in 1..=MAX_RESUMES {
        let Some(received) = state.checker().received(&last) else { return };
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..=MAX_RESUME_PAUSE_MS))).await;
        let (ready, _) = open_slots(state, Duration::ZERO, &mut Vec::new());
        if ready.is_empty() {
            continue;
        }
        let slot = ready[rng.random_range(0..ready.len())];
        last = format!("{id}-resume-{number}");
        let mut sent = Sent::new(&last, Kind::Quote, key, &last, slot);
        let events = received.length;
        sent.events = events;
        sent.resumes = Some(received.clone());
        state.checker().record_request(sent);
        let length = Length { events, max_tokens: MAX_OUTPUT_TOKENS, hint: 0 };
        let address = &state.targets[slot].address;
        let mut request = encode(address, Kind::Quote, &last, key, last.clone(), length);
        let fields = request.headers_mut();
        let mut set = |name: &'static str, value: &str| {
            fields.insert(name, value.parse().expect("a value"));
        };
        set(standin::RESUMES_HEADER, &received.first);
        set(standin::LAST_EVENT_HEADER, &received.events.to_string());
        send_checked(state, client, &mut Vec::new(), &last, request, None).await;
    }
}

/// Returns the slots to which a caller sends: those that a load balancer offers, and stopping ones, to which callers
/// still have connections. Those in `closed` have closed such a connection, and are sent nothing until they are back.
fn open_slots(
    state: &SoakState,
    patience: Duration,
    closed: &mut Vec<usize>,
) -> (Vec<usize>, Vec<usize>) {
    let checker = state.checker();
    closed.retain(|slot| checker.stopping_for(*slot).is_some());
    let slots = 0..state.targets.len();
    let (running, stopping): (Vec<usize>, Vec<usize>) =
        slots.partition(|slot| checker.stopping_for(*slot).is_none());
    let is_ready = |slot: &usize| state.targets[*slot].ready.load(Ordering::Relaxed);
    let is_open = |slot: &usize| {
        !closed.contains(slot) && checker.stopping_for(*slot).is_some_and(|t| t >= patience)
    };
    (running.into_iter().filter(is_ready).collect(), stopping.into_iter().filter(is_open).collect())
}

/// Length of a stream, and what its caller tells about it.
#[derive(Clone, Copy, Debug)]
struct Length {
    events: u64,
    max_tokens: u64,
    /// Caller's estimate of the number of tokens; 0 if it sends none.
    hint: u64,
}

/// Length sent with plain calls, which ignore it.
const CALL: Length = Length { events: 0, max_tokens: 0, hint: 0 };

impl Length {
    /// Draws a length, an estimate that is right, far off or missing, and a limit that is close or wide.
    fn draw(rng: &mut ChaCha8Rng) -> Length {
        let events = match rng.random_range(0..10) {
            0..6 => rng.random_range(1..=SHORT_EVENTS),
            6..9 => rng.random_range(SHORT_EVENTS..=MIDDLING_EVENTS),
            _ => rng.random_range(MIDDLING_EVENTS..=MAX_EVENTS),
        };
        let tokens = events * TOKENS_PER_EVENT;
        let max_tokens = match rng.random_range(0..3) {
            0 => tokens,
            1 => tokens * 2,
            _ => MAX_OUTPUT_TOKENS,
        };
        let hint = match rng.random_range(0..6) {
            0..2 => 0,
            2..4 => tokens,
            4 => tokens.div_ceil(3),
            _ => tokens * 3,
        };
        Length { events, max_tokens, hint }
    }
}

/// Draws the time that a caller waits.
fn draw_deadline(kind: Kind, events: u64, rng: &mut ChaCha8Rng) -> Duration {
    let drawn = DEADLINES_MS[rng.random_range(0..DEADLINES_MS.len())];
    let stream = events * EVENT_INTERVAL.as_millis() as u64;
    match !kind.is_stream() || drawn >= stream * 2 {
        true => Duration::from_millis(drawn),
        false => CALLER_TIMEOUT,
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

fn encode(
    address: &str,
    kind: Kind,
    id: &str,
    key: &str,
    body: String,
    length: Length,
) -> Request<Body> {
    let path = match kind.is_stream() {
        true => engine_front::path_for(kind.path(), length.events),
        false => kind.path().to_owned(),
    };
    let mut builder = Request::post(format!("http://{address}{path}"))
        .header(header::HOST, standin::HOST)
        .header(standin::REQUEST_ID_HEADER, id)
        .header(standin::DEADLINE_HEADER, CALLER_TIMEOUT.as_millis().to_string())
        .header(standin::SIZE_HEADER, format!("400,{}", length.max_tokens))
        .header(header::AUTHORIZATION, standin::authorization(key));
    if length.hint > 0 {
        builder = builder.header(engine_front::LENGTH_HINT_HEADER, length.hint.to_string());
    }
    builder.body(bodies::with_length(body)).expect("a request")
}

/// Has a request sent in chunks.
fn send_in_chunks(
    state: &SoakState,
    id: &str,
    request: &mut Request<Body>,
    (chunks, text): (Chunks, String),
) {
    if chunks.trailers {
        request.headers_mut().insert(header::TRAILER, HeaderValue::from_name(bodies::TRAILER));
    }
    let (state, id) = (state.clone(), id.to_owned());
    let ended = move || state.checker().record_body_end(&id, Instant::now());
    *request.body_mut() = chunks.body(text, ended);
}

/// Sends a request and checks its answer, unless it is given up before. Returns whether the connection is still open, as
/// far as the caller knows. `used` holds the caller's ends of connections that had an answer.
async fn send_checked(
    state: &SoakState,
    client: &SoakClient,
    used: &mut Vec<SocketAddr>,
    id: &str,
    request: Request<Body>,
    give_up: Option<Duration>,
) -> bool {
    let answer = async {
        match client.request(request).await {
            Ok(response) => {
                let end = response.extensions().get::<HttpInfo>().map(HttpInfo::local_addr);
                Ok((Answer::read(response).await, end))
            }
            Err(error) if error.is_connect() => Err(None),
            Err(error) => Err(Some(format!("{error:?}"))),
        }
    };
    let given_up = give_up.is_some();
    let time = give_up.unwrap_or(CALLER_TIMEOUT + EXTRA_WAIT);
    match tokio::time::timeout(time, answer).await {
        Ok(Ok((answer, end))) => {
            let kept = end.is_some_and(|end| used.contains(&end));
            used.extend(end.filter(|_| !kept));
            let mut checker = state.checker();
            checker.check_answer(id, &answer);
            checker.count_stopping(id, kept);
            return true;
        }
        // Without a connection, the request was not sent.
        Ok(Err(None)) => {}
        Ok(Err(Some(error))) => state.checker().check_unanswered(id, &error),
        Err(_) if given_up => return true,
        Err(_) => state.checker().check_unanswered(id, "no final answer in time"),
    }
    false
}

/// Sends one call to an instance and returns whether it succeeded.
pub async fn probe(state: &SoakState, client: &SoakClient, slot: usize, id: &str) -> bool {
    let key = state.checker().keys[0].secret.clone();
    state.checker().record_request(Sent::new(id, Kind::Order, &key, id, slot));
    let request = encode(&state.targets[slot].address, Kind::Order, id, &key, id.to_owned(), CALL);
    let Ok(response) = client.request(request).await else { return false };
    let answer = Answer::read(response).await;
    state.checker().check_answer(id, &answer);
    answer.status.is_success() && answer.complete
}
