//! The pooled HTTP client for backend servers.
//!
//! Each worker thread has its own client, so that tokens are not passed between threads.

use std::cell::OnceCell;
use std::error::Error;
use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// A client for requests with bodies that are entirely in memory.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Pooled connections that are idle for longer are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The idle connections to one backend server that a worker thread keeps.
const MAX_IDLE_PER_SERVER: usize = 256;

thread_local! {
    static CLIENT: OnceCell<HttpClient> = const { OnceCell::new() };
    static SINGLE_USE_CLIENT: OnceCell<HttpClient> = const { OnceCell::new() };
}

/// Returns the client of this worker thread. Only the first call on each thread uses `connect_timeout`.
pub fn client(connect_timeout: Duration) -> HttpClient {
    CLIENT.with(|c| c.get_or_init(|| new_client(connect_timeout, MAX_IDLE_PER_SERVER)).clone())
}

/// Returns the client of this worker thread that uses each connection for one request. The answer of a plain server
/// does not name its request, so on a connection in use again a late second copy of an answer would be taken for the
/// answer to the next request.
pub fn single_use_client(connect_timeout: Duration) -> HttpClient {
    SINGLE_USE_CLIENT.with(|c| c.get_or_init(|| new_client(connect_timeout, 0)).clone())
}

fn new_client(connect_timeout: Duration, max_idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .build(connector)
}

/// Whether an error means that nothing listens on the address. A timeout while connecting does not mean
/// that.
pub fn is_connection_refused(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let io_error = error.downcast_ref::<std::io::Error>();
        if io_error.is_some_and(|e| e.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}
