//! Bounds what the connections of peers hold: their number, and the memory for requests that peers hand over.
//!
//! The gRPC library reads a whole message into a buffer of its own, so bytes are counted as they arrive.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::{Stream, stream};
use http::{Request, Response};
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tonic::Status;
use tonic::codegen::Service;
use tonic::server::NamedService;
use tonic::transport::server::Connected;

use crate::body_memory::{BodyMemory, BodyReader, ReadError};

/// The last part of the path of the method that hands over a request.
const FORWARD_METHOD: &str = "/Forward";
/// The message of the status that refuses a request of which nothing has run.
pub const NO_MEMORY: &str = "no memory for the request, which has not run";

type GrpcBody = tonic::body::Body;
type GaveWay = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Returns the status that refuses a request for which there is no memory.
pub fn no_memory(_: ReadError) -> Status {
    Status::resource_exhausted(NO_MEMORY)
}

/// Accepts connections of peers. Those above the limit, which may change, are closed at once.
pub fn accept(
    listener: TcpListener,
    limit: impl Fn() -> usize,
) -> impl Stream<Item = std::io::Result<PeerConnection>> {
    let open = Arc::new(());
    stream::unfold((listener, open, limit), async |(listener, open, limit)| {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => return Some((Err(error), (listener, open, limit))),
            };
            let counted = open.clone();
            // This function has one as well.
            if Arc::strong_count(&open) <= limit() + 1 {
                let connection = PeerConnection { stream, _counted: counted };
                return Some((Ok(connection), (listener, open, limit)));
            }
        }
    })
}

/// A connection of a peer.
#[derive(Debug)]
pub struct PeerConnection {
    stream: TcpStream,
    /// One of as many copies as there are connections.
    _counted: Arc<()>,
}

impl Connected for PeerConnection {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}

impl AsyncRead for PeerConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for PeerConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// A gRPC service that counts the requests handed over while they arrive.
#[derive(Clone, Debug)]
pub struct Counted<S> {
    /// The service.
    pub service: S,
    /// The memory for requests; `None` without routes.
    pub memory: Option<Arc<BodyMemory>>,
}

impl<S: NamedService> NamedService for Counted<S> {
    const NAME: &'static str = S::NAME;
}

impl<S> Service<Request<GrpcBody>> for Counted<S>
where
    S: Service<Request<GrpcBody>, Response = Response<GrpcBody>, Error = Infallible>,
{
    type Response = Response<GrpcBody>;
    type Error = Infallible;
    type Future = S::Future;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.service.poll_ready(cx)
    }

    fn call(&mut self, request: Request<GrpcBody>) -> S::Future {
        let memory = self.memory.as_ref();
        let memory = memory.filter(|_| request.uri().path().ends_with(FORWARD_METHOD));
        let request = match memory {
            Some(memory) => request.map(|body| GrpcBody::new(CountedBody::new(body, memory))),
            None => request,
        };
        self.service.call(request)
    }
}

/// The body of a request that is handed over. Its bytes count until it is dropped.
struct CountedBody {
    body: GrpcBody,
    reader: BodyReader,
    gave_way: GaveWay,
}

impl CountedBody {
    fn new(body: GrpcBody, memory: &Arc<BodyMemory>) -> CountedBody {
        let gave_way = CancellationToken::new();
        let reader = memory.open_with(gave_way.clone());
        CountedBody { body, reader, gave_way: Box::pin(gave_way.cancelled_owned()) }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        if self.gave_way.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(no_memory(ReadError::GaveWay))));
        }
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &frame
            && let Some(data) = frame.data_ref()
            && let Err(error) = self.reader.count(data.len())
        {
            return Poll::Ready(Some(Err(no_memory(error))));
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
