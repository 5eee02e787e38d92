//! Bounds what a backend server may send before the head of its answer.
//!
//! The HTTP library bounds one head, but reads any number of interim responses before it, so a server in trouble could
//! keep the processor busy until the request's deadline.

use std::io::{Error, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The bytes that may arrive from the request until the head of its answer is complete: the longest head, and the start
/// of the body that arrives with it.
const MAX_BYTES: usize = 128 * 1024;

/// The bytes that may still arrive on a connection before the head.
#[derive(Clone, Debug, Default)]
pub struct HeadLimit {
    left: Arc<AtomicUsize>,
}

impl HeadLimit {
    /// Starts to count, when a request is sent.
    pub fn start(&self) {
        self.left.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// Whether nothing has arrived since the count started.
    pub fn is_untouched(&self) -> bool {
        self.left.load(Ordering::Relaxed) == MAX_BYTES
    }

    /// Ends the count, when the head has arrived. Bodies have bounds of their own.
    pub fn end(&self) {
        self.left.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts bytes that have arrived. Returns whether they were within the limit.
    fn take(&self, bytes: usize) -> bool {
        let take = |left: usize| match left {
            usize::MAX => Some(left),
            _ => left.checked_sub(bytes),
        };
        self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

/// A connection whose reads fail once a limit is exceeded.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl LimitedStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, limit: HeadLimit) -> LimitedStream {
        LimitedStream { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if !self.limit.take(buf.filled().len() - before) {
            let message = format!("more than {MAX_BYTES} bytes before the head of an answer");
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, message)));
        }
        read
    }
}

impl AsyncWrite for LimitedStream {
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
        bufs: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
