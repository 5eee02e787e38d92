//! Serves short text pages, such as the readiness check and the metrics.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::route_instance::RouteInstance;

/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The most open connections of one listener. A new one takes the place of the oldest, so that a check of readiness is
/// answered beside connections that nobody uses.
const MAX_CONNECTIONS: usize = 64;
/// The size limit of the head of a request.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const PAGE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the page of a path.
type Page = fn(&RouteInstance, &str) -> Response<Full<Bytes>>;

/// Serves short text pages by path, such as the readiness check and the metrics, until cancelled.
pub async fn serve(
    instance: Arc<RouteInstance>,
    listener: TcpListener,
    page: Page,
    cancel: CancellationToken,
) {
    let mut open = VecDeque::new();
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        open.retain(|connection: &JoinHandle<()>| !connection.is_finished());
        if open.len() >= MAX_CONNECTIONS
            && let Some(oldest) = open.pop_front()
        {
            oldest.abort();
        }
        open.push_back(tokio::spawn(handle_connection(instance.clone(), stream, page)));
    }
}

async fn handle_connection(instance: Arc<RouteInstance>, stream: TcpStream, page: Page) {
    let handler = service_fn(move |request: Request<Incoming>| {
        let response = page(&instance, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(PAGE_IDLE_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), handler);
    if let Err(error) = served.await {
        spdlog::debug!("page_connection_ended", kv: { error: });
    }
}

/// Builds a response with a short text.
pub fn page(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
