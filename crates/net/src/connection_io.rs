//! Stream of a connection, as `hyper` reads and writes it.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use smol_hyper::rt::FuturesIo;

/// A stream whose task is polled again once a write that had to wait succeeds.
///
/// Such a write takes back the registration for writability. If it succeeds within
/// the same poll, as the peer has read meanwhile, nothing else would wake the task:
/// `hyper` returns although more of a body is to be written.
#[derive(Debug)]
pub struct ConnectionIo<T> {
    inner: FuturesIo<T>,
    /// Whether the last write had to wait.
    is_waiting: bool,
}

impl<T> ConnectionIo<T> {
    /// Wraps a stream.
    pub fn new(stream: T) -> Self {
        Self {
            inner: FuturesIo::new(stream),
            is_waiting: false,
        }
    }

    fn rewake<R>(&mut self, cx: &Context<'_>, outcome: Poll<R>) -> Poll<R> {
        let was_waiting = std::mem::replace(&mut self.is_waiting, outcome.is_pending());
        if was_waiting && outcome.is_ready() {
            cx.waker().wake_by_ref();
        }
        outcome
    }
}

impl<T: AsyncRead + Unpin> Read for ConnectionIo<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_read(cx, buf)
    }
}

impl<T: AsyncWrite + Unpin> Write for ConnectionIo<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let outcome = Pin::new(&mut this.inner).poll_write(cx, buf);
        this.rewake(cx, outcome)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let outcome = Pin::new(&mut this.inner).poll_write_vectored(cx, bufs);
        this.rewake(cx, outcome)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }
}
