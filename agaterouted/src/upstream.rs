//! Connections to the backend servers of routes.
//!
//! A request that may not run twice gets a connection of its own: then a failure to connect proves
//! that nothing was sent, and no late answer of an earlier request can come in the place of its own.
//! Requests that may be repeated use connections again. See `docs/DESIGN.md`, "Connections to
//! backend servers of routes".

use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agateroute_core::Table;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::daemon::ServerRef;

/// How long a connection may take. Within and between availability zones of a region it takes a few
/// milliseconds; a lost packet is sent again after a second, when another server serves better.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an idle connection is used again where the server does not say how long it keeps it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// How much sooner than the server an idle connection is given up, so that a request does not cross
/// its close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// The most idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 8;

/// Why a request got no answer.
#[derive(Debug, derive_more::Display)]
pub enum SendError {
    /// No connection was made, so nothing was sent. The server refuses connections or is not there.
    #[display("not connected: {_0}")]
    NotConnected(std::io::Error),
    /// Nothing was sent, since the connection was closed before.
    #[display("not sent: {_0}")]
    NotSent(hyper::Error),
    /// The request may have arrived.
    #[display("no answer: {_0}")]
    Lost(hyper::Error),
}

type Sender = http1::SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    task: AbortHandle,
    expires: Instant,
}

/// The idle connections by address.
#[derive(Default)]
pub struct Upstream {
    idle: Mutex<Table<String, Vec<Idle>>>,
}

impl fmt::Debug for Upstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Upstream")
    }
}

/// A connection in use. Dropping it closes it, which makes the server stop its work.
#[derive(Debug)]
pub struct Connection {
    address: String,
    sender: Option<Sender>,
    task: AbortHandle,
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

    /// Sends a request to a server. `reuse` says whether a connection that was used before will do.
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
        let mut table = self.lock();
        let idle = table.get_mut(&address.to_owned())?;
        let now = Instant::now();
        while let Some(found) = idle.pop() {
            if found.expires > now && found.sender.is_ready() {
                let sender = Some(found.sender);
                return Some(Connection { address: address.to_owned(), sender, task: found.task });
            }
            found.task.abort();
        }
        None
    }

    /// Keeps a connection whose answer was read whole. `keeps` is how long the server says that it
    /// does.
    pub fn put_idle(&self, mut connection: Connection, keeps: Option<Duration>) {
        let time = keeps.map_or(IDLE_TIMEOUT, |k| k.saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT));
        let Some(sender) = connection.sender.take() else { return };
        let idle = Idle { sender, task: connection.task.clone(), expires: Instant::now() + time };
        let mut table = self.lock();
        let kept = table.entry(connection.address.clone(), Vec::new);
        kept.push(idle);
        if kept.len() > MAX_IDLE_PER_SERVER {
            kept.remove(0).task.abort();
        }
    }

    /// Closes connections that are no longer used.
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

    /// Whether a server still accepts connections, asked after one to it was cut.
    pub async fn accepts_connections(&self, server: &ServerRef) -> bool {
        connect(&server.address).await.is_ok()
    }
}

async fn connect(address: &str) -> Result<Connection, SendError> {
    let timeout = std::io::Error::from(std::io::ErrorKind::TimedOut);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.unwrap_or(Err(timeout)).map_err(SendError::NotConnected)?;
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("nodelay_not_set", kv: { address, error: });
    }
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = handshake.map_err(SendError::NotSent)?;
    let address = address.to_owned();
    let peer = address.clone();
    let task = tokio::spawn(async move {
        if let Err(error) = driver.await {
            spdlog::debug!("connection_ended", kv: { server: = peer.as_str(), error: });
        }
    });
    Ok(Connection { address, sender: Some(sender), task: task.abort_handle() })
}

type Unsent = Option<Request<Full<Bytes>>>;

async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<hyper::Response<Incoming>, (SendError, Unsent)> {
    let Some(sender) = &mut connection.sender else {
        unreachable!("the sender is there until drop")
    };
    sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
        Some(unsent) => (SendError::NotSent(e.into_error()), Some(unsent)),
        None => (SendError::Lost(e.into_error()), None),
    })
}
