//! Bounds the number of connections of peers.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_util::{Stream, stream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tonic::transport::server::Connected;

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
