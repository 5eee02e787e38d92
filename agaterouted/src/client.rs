//! The pooled HTTP clients towards backend servers.
//!
//! Each worker thread has its own clients, so that tokens cross no thread on their way.

use std::cell::OnceCell;
use std::error::Error;
use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// A client for requests whose bodies are in memory.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// How long an idle connection to a backend server is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The most idle connections to one backend server that a worker keeps.
const MAX_IDLE_PER_SERVER: usize = 256;

thread_local! {
    static CLIENT: OnceCell<HttpClient> = const { OnceCell::new() };
}

/// The client of this worker. `connect` counts for the first call on each worker.
pub fn client(connect: Duration) -> HttpClient {
    CLIENT.with(|c| c.get_or_init(|| new_client(connect)).clone())
}

fn new_client(connect: Duration) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_PER_SERVER)
        .build(connector)
}

/// Whether an error means that nobody listens at the address. A connection that was not made in
/// time says nothing of the sort.
pub fn is_connection_refused(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|e| e.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}
