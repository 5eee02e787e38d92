//! Serves short text pages, such as the readiness check and the metrics.

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
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::route_instance::RouteInstance;

/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
const PAGE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves short text pages by path, such as the readiness check and the metrics, until cancelled.
pub async fn serve(
    instance: Arc<RouteInstance>,
    listener: TcpListener,
    page: fn(&RouteInstance, &str) -> Response<Full<Bytes>>,
    cancel: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let instance = instance.clone();
        tokio::spawn(async move {
            let handler = service_fn(move |request: Request<Incoming>| {
                let response = page(&instance, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(PAGE_IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), handler);
            if let Err(error) = served.await {
                spdlog::debug!("page_connection_ended", kv: { error: });
            }
        });
    }
}

/// Builds a response with a short text.
pub fn page(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
