//! TCP proxy that injects faults between two processes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const CHUNK_BYTES: usize = 16 * 1024;
/// The connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Text within each event of a stream, after which a connection may be cut.
const EVENT_MARK: &[u8] = b"data: e";

/// How a connection ends inside an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventCut {
    /// In order, as if the body ended there.
    Close,
    /// By a reset.
    Reset,
}

/// Faults that a proxy applies to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Delay of each chunk in both directions.
    pub delay: Duration,
    /// Hold back all bytes from the client.
    pub hold_requests: bool,
    /// Hold back all bytes from the server.
    pub hold_answers: bool,
    /// Close existing connections, and new ones at once.
    pub cut: bool,
    /// Refuse new connections. Existing ones go on.
    pub refuse: bool,
    /// Close each connection after this many bytes from the server.
    pub cut_after: Option<u64>,
    /// End each connection inside the next event from the server.
    pub cut_event: Option<EventCut>,
}

/// Handle of a running proxy. Clones share its state.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    /// Address at which the proxy listens.
    pub address: SocketAddr,
    faults: Arc<watch::Sender<Faults>>,
    target: Arc<Mutex<SocketAddr>>,
}

impl FaultProxy {
    /// Starts a proxy on a free port that forwards to an address until cancelled.
    pub async fn start(
        target: SocketAddr,
        cancel: CancellationToken,
    ) -> std::io::Result<FaultProxy> {
        // Holds the port while new connections are refused, so that no other process gets it.
        let port = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = port.local_addr()?;
        let mut listener = Some(bind(address)?.listen(BACKLOG)?);
        let faults = Arc::new(watch::Sender::new(Faults::default()));
        let target = Arc::new(Mutex::new(target));
        let proxy = FaultProxy { address, faults: faults.clone(), target: target.clone() };
        tokio::spawn(async move {
            let mut changes = faults.subscribe();
            loop {
                if changes.borrow_and_update().refuse {
                    listener = None;
                } else if listener.is_none() {
                    listener = bind(address).and_then(|socket| socket.listen(BACKLOG)).ok();
                }
                tokio::select! {
                    () = cancel.cancelled() => return drop(port),
                    changed = changes.changed() => {
                        if changed.is_err() {
                            return;
                        }
                    }
                    accepted = accept(listener.as_ref()) => {
                        if let Some(stream) = accepted {
                            let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
                            tokio::spawn(relay(stream, target, faults.subscribe(), cancel.clone()));
                        }
                    }
                }
            }
        });
        Ok(proxy)
    }

    /// Forwards new connections to another address.
    pub fn retarget(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Sets the faults of new and existing connections.
    pub fn set(&self, faults: Faults) {
        // Setting the same faults again must not be taken for `cut_once`.
        self.faults.send_if_modified(|current| std::mem::replace(current, faults) != faults);
    }

    /// Sets a fault that is drawn at random.
    pub fn set_drawn_fault(&self, rng: &mut ChaCha8Rng) {
        let delay = Duration::from_millis(rng.random_range(1..300));
        match rng.random_range(0..5) {
            0 => self.set(Faults { delay, ..Faults::default() }),
            1 => self.set(Faults { cut: true, ..Faults::default() }),
            2 => self.set(Faults { hold_requests: true, ..Faults::default() }),
            3 => self.set(Faults { hold_answers: true, ..Faults::default() }),
            _ => self.cut_once(),
        }
    }

    /// Closes all existing connections and accepts new ones.
    pub fn cut_once(&self) {
        let current = *self.faults.borrow();
        self.faults.send_replace(Faults { cut: true, ..current });
        self.faults.send_replace(Faults { cut: false, ..current });
    }
}

/// Binds a socket to an address that others of this process may have.
fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Waits for a connection, or forever while there is no listener.
async fn accept(listener: Option<&TcpListener>) -> Option<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.ok().map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn relay(
    client: TcpStream,
    target: SocketAddr,
    mut faults: watch::Receiver<Faults>,
    cancel: CancellationToken,
) {
    if faults.borrow_and_update().cut {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let event_cut = CancellationToken::new();
    let requests = copy(from_client, to_server, faults.clone(), |f| f.hold_requests, None);
    let answers =
        copy(from_server, to_client, faults.clone(), |f| f.hold_answers, Some(&event_cut));
    let cut = async {
        // Unchanged faults mean that a cut was set and reverted before this task ran.
        let mut previous = *faults.borrow_and_update();
        while faults.changed().await.is_ok() {
            let current = *faults.borrow_and_update();
            if current.cut || current == previous {
                return;
            }
            previous = current;
        }
    };
    tokio::select! {
        () = async { tokio::join!(requests, answers); } => {}
        () = cut => {}
        () = event_cut.cancelled() => {}
        () = cancel.cancelled() => {}
    }
}

/// Passes bytes on. `event_cut` is given for the direction from the server, and cancelled to end both directions.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<Faults>,
    is_held: fn(&Faults) -> bool,
    event_cut: Option<&CancellationToken>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut passed = 0;
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(read) => read,
        };
        let _ = faults.wait_for(|f| !is_held(f)).await;
        let current = *faults.borrow();
        tokio::time::sleep(current.delay).await;
        if let (Some(cut), Some(token)) = (current.cut_event, event_cut)
            && let Some(at) = find(&buffer[..read], EVENT_MARK)
        {
            let _ = to.write_all(&buffer[..at + EVENT_MARK.len()]).await;
            if cut == EventCut::Reset {
                let _ = to.as_ref().set_zero_linger();
                // Dropping this half would close it in order first.
                to.forget();
            }
            token.cancel();
            return;
        }
        let allowed = match current.cut_after {
            Some(limit) if event_cut.is_some() => {
                limit.saturating_sub(passed).min(read as u64) as usize
            }
            _ => read,
        };
        if to.write_all(&buffer[..allowed]).await.is_err() || allowed < read {
            return;
        }
        passed += allowed as u64;
    }
    let _ = to.shutdown().await;
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|w| w == part)
}
