//! HTTP server for simulated systems, whose connections can be cut at any time.

use std::convert::Infallible;
use std::future::Future;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Body of a response of a simulated system.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Serves HTTP/1.1 and HTTP/2 on a listener until cancelled. Cancellation also cuts all connections.
pub async fn serve<F, R>(listener: TcpListener, cancel: CancellationToken, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let stream = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let cancel = cancel.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let builder = Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                () = cancel.cancelled() => {}
                _ = connection => {}
            }
        });
    }
}
