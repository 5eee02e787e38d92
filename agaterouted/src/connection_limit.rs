//! Limits the connections of a listener of the HTTP library.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use rustix::process::{Resource, getrlimit};
use socket2::SockRef;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use xitca_web::service::ready::ReadyService;
use xitca_web::service::{FnService, Service, fn_build};

/// The descriptors that are kept for connections to backend servers, peers, operators and the platform.
const RESERVED_DESCRIPTORS: usize = 200;
/// No process is taken to open more descriptors than this, whatever its limit.
const MAX_DESCRIPTORS: usize = 1 << 20;
/// The receive buffer of a connection, in bytes. The kernel's own default grows to megabytes.
const RECEIVE_BYTES: usize = 64 * 1024;
/// The fewest connections of callers, however few descriptors the process may open.
const MIN_CONNECTIONS: usize = 16;

/// A service that has the HTTP library accept another connection only below a limit.
#[derive(Clone, Debug)]
pub struct Limited<S> {
    service: S,
    /// A permit for each connection, shared by all worker threads.
    permits: Arc<Semaphore>,
}

/// Builds a service for each worker thread, with at most `connections` connections of all of them together.
pub fn limited<S: Clone>(
    service: S,
    connections: usize,
) -> FnService<impl AsyncFn(()) -> Result<Limited<S>, Infallible>> {
    let permits = Arc::new(Semaphore::new(connections));
    fn_build(async move |()| Ok(Limited { service: service.clone(), permits: permits.clone() }))
}

impl<S: Service<R>, R> Service<R> for Limited<S> {
    type Response = S::Response;
    type Error = S::Error;

    async fn call(&self, request: R) -> Result<S::Response, S::Error> {
        self.service.call(request).await
    }
}

impl<S> ReadyService for Limited<S> {
    /// The HTTP library drops it at the end of the connection.
    type Ready = Option<OwnedSemaphorePermit>;

    async fn ready(&self) -> Self::Ready {
        self.permits.clone().acquire_owned().await.ok()
    }
}

/// Returns how many connections of callers fit into the descriptors that this process may open, at most `most`.
pub fn fitting(most: usize) -> usize {
    most.min(descriptors().saturating_sub(RESERVED_DESCRIPTORS)).max(MIN_CONNECTIONS)
}

/// Returns how many descriptors this process may open.
pub fn descriptors() -> usize {
    getrlimit(Resource::Nofile).current.map_or(MAX_DESCRIPTORS, |d| d as usize).min(MAX_DESCRIPTORS)
}

/// Bounds what the connections of a listener hold in their sockets, and for how long their peers may leave it unread.
/// Accepted connections inherit this.
pub fn bound_sockets(listener: &std::net::TcpListener, timeout: Duration) -> std::io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.set_tcp_user_timeout(Some(timeout))
}
