//! Connections to the backend servers of routes.
//!
//! A request that may not run twice gets a new connection: a failure to connect then proves that
//! nothing was sent, and a late answer to an earlier request can not be mistaken for its own.
//! Repeatable requests reuse connections. See `docs/DESIGN.md`, "Connections to backend servers of
//! routes".

use std::fmt;
use std::io::ErrorKind;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agateroute_core::Table;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::daemon::ServerRef;
use crate::head_limit::{HeadLimit, LimitedStream};

/// Connecting takes a few milliseconds between availability zones of a region. A lost packet is sent
/// again only after a second, so it is better to use another server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle connections expire after this time, or earlier if their server announces a shorter timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle connections expire this long before the timeout of the server, so that a request is not sent
/// while the server closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
const MAX_IDLE_PER_SERVER: usize = 8;
/// The longest head of an answer. A server in trouble may send one without end.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Why a request got no answer. Only after `Reset` and `Lost` may the server have run it.
#[derive(Debug, derive_more::Display)]
pub enum SendError {
    /// No connection was established, so nothing was sent.
    #[display("not connected: {_0}")]
    NotConnected(std::io::Error),
    /// The connection was closed before anything was sent.
    #[display("not sent: {_0}")]
    NotSent(hyper::Error),
    /// The request may have reached the server, and its new connection broke before the first byte of the answer.
    #[display("reset: {_0}")]
    Reset(hyper::Error),
    /// The request may have reached the server.
    #[display("no answer: {_0}")]
    Lost(hyper::Error),
}

type Sender = http1::SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    task: AbortHandle,
    limit: HeadLimit,
    expires: Instant,
}

/// Opens connections to backend servers and pools idle ones by address.
#[derive(Default)]
pub struct Upstream {
    idle: Mutex<Table<String, Vec<Idle>>>,
}

impl fmt::Debug for Upstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Upstream")
    }
}

/// A connection in use. Dropping it closes it, which makes the server cancel the request.
#[derive(Debug)]
pub struct Connection {
    address: String,
    /// Whether the connection was made for its first request.
    pub is_new: bool,
    sender: Option<Sender>,
    task: AbortHandle,
    limit: HeadLimit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl Upstream {
    fn lock(&self) -> MutexGuard<'_, Table<String, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request to a server and waits for the head of its answer. With `reuse`, idle connections
    /// are tried first.
    pub async fn send(
        &self,
        server: &ServerRef,
        request: Request<Full<Bytes>>,
        reuse: bool,
    ) -> Result<(hyper::Response<Incoming>, Connection), SendError> {
        let mut request = request;
        if reuse {
            while let Some(mut connection) = self.take_idle(&server.address) {
                match exchange(&mut connection, request).await {
                    Ok(response) => return Ok((response, connection)),
                    Err((SendError::NotSent(_), Some(unsent))) => request = unsent,
                    Err((error, _)) => return Err(error),
                }
            }
        }
        let mut connection = connect(&server.address).await?;
        match exchange(&mut connection, request).await {
            Ok(response) => Ok((response, connection)),
            Err((error, _)) => Err(error),
        }
    }

    fn take_idle(&self, address: &str) -> Option<Connection> {
        let mut pools = self.lock();
        let idle = pools.get_mut(&address.to_owned())?;
        let now = Instant::now();
        while let Some(found) = idle.pop() {
            if found.expires > now && found.sender.is_ready() {
                return Some(Connection {
                    address: address.to_owned(),
                    is_new: false,
                    sender: Some(found.sender),
                    task: found.task,
                    limit: found.limit,
                });
            }
            found.task.abort();
        }
        None
    }

    /// Pools a connection whose answer was read to its end. `keep_alive` is the idle timeout that the server
    /// announced.
    pub fn put_idle(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        let idle_timeout =
            keep_alive.map_or(IDLE_TIMEOUT, |k| k.saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT));
        let Some(sender) = connection.sender.take() else { return };
        let idle = Idle {
            sender,
            task: connection.task.clone(),
            limit: connection.limit.clone(),
            expires: Instant::now() + idle_timeout,
        };
        let mut pools = self.lock();
        let pool = pools.entry(connection.address.clone(), Vec::new);
        pool.push(idle);
        if pool.len() > MAX_IDLE_PER_SERVER {
            pool.remove(0).task.abort();
        }
    }

    /// Closes idle connections that have expired.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.lock().retain(|_, idle| {
            idle.retain(|i| {
                let keep = i.expires > now && !i.sender.is_closed();
                if !keep {
                    i.task.abort();
                }
                keep
            });
            !idle.is_empty()
        });
    }

    /// Whether a server still accepts connections. If not, a lost connection counts as a crash.
    pub async fn accepts_connections(&self, server: &ServerRef) -> bool {
        accepts(&server.address).await
    }

    /// Whether a server refuses a new connection, so that its process is gone.
    pub async fn refuses_connections(&self, server: &ServerRef) -> bool {
        let connected = connect(&server.address).await;
        matches!(connected, Err(SendError::NotConnected(e)) if e.kind() == ErrorKind::ConnectionRefused)
    }
}

/// Whether a status can be that of a final answer. The HTTP library also passes on 101 and 600 to 999.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether a server accepts a new connection.
pub async fn accepts(address: &str) -> bool {
    connect(address).await.is_ok()
}

async fn connect(address: &str) -> Result<Connection, SendError> {
    let timeout = std::io::Error::from(ErrorKind::TimedOut);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.unwrap_or(Err(timeout)).map_err(SendError::NotConnected)?;
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("nodelay_not_set", kv: { address, error: });
    }
    let limit = HeadLimit::default();
    let io = TokioIo::new(LimitedStream::new(stream, limit.clone()));
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await;
    let (sender, driver) = handshake.map_err(SendError::NotSent)?;
    let address = address.to_owned();
    let peer = address.clone();
    let task = tokio::spawn(async move {
        if let Err(error) = driver.await {
            spdlog::debug!("connection_ended", kv: { server: = peer.as_str(), error: });
        }
    });
    Ok(Connection { address, is_new: true, sender: Some(sender), task: task.abort_handle(), limit })
}

type Unsent = Option<Request<Full<Bytes>>>;

async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<hyper::Response<Incoming>, (SendError, Unsent)> {
    let Some(sender) = &mut connection.sender else {
        unreachable!("the sender is there until drop")
    };
    connection.limit.start();
    let answer = sender.try_send_request(request).await;
    // A pooled connection may have broken long before, which says nothing of new ones.
    let is_reset = connection.is_new && connection.limit.is_untouched();
    connection.limit.end();
    answer.map_err(|mut e| match e.take_message() {
        Some(unsent) => (SendError::NotSent(e.into_error()), Some(unsent)),
        None if is_reset => (SendError::Reset(e.into_error()), None),
        None => (SendError::Lost(e.into_error()), None),
    })
}
