//! Connections whose peer reads at the worst moment.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Wake;
use std::task::Waker;

use bytes::Bytes;
use chicoryarch_net::connection_io::ConnectionIo;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use http::Request;
use http::Response;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

/// Bytes that the peer's side takes before a write has to wait: more than a piece, so
/// that the rest of one is written at once afterwards.
const ROOM: usize = 100_000;
const PIECE: usize = 64 << 10;
/// Read and write buffer of the connection.
const BUFFER: usize = 64 << 10;
const PIECES: usize = 40;
/// Polls after which a connection hangs in a loop.
const MAX_POLLS: usize = 1_000_000;

/// A stream whose peer reads everything as soon as a write has to wait. As with a
/// socket, a write that succeeds takes back the registration for writability.
struct Stream {
    request: &'static [u8],
    room: usize,
    written: Arc<AtomicUsize>,
    registered: Arc<parking_lot::Mutex<Option<Waker>>>,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.request.is_empty() {
            return Poll::Pending;
        }
        let length = self.request.len().min(buf.len());
        let (now, later) = self.request.split_at(length);
        buf[..length].copy_from_slice(now);
        self.request = later;
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.room == 0 {
            self.room = ROOM;
            *self.registered.lock() = Some(cx.waker().clone());
            return Poll::Pending;
        }
        *self.registered.lock() = None;
        let length = buf.len().min(self.room);
        self.room -= length;
        self.written.fetch_add(length, Ordering::AcqRel);
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// A body that is always ready.
struct Pieces(usize);

impl http_body::Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.0 == 0 {
            return Poll::Ready(None);
        }
        self.0 -= 1;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&[b'x'; PIECE])))))
    }

    fn is_end_stream(&self) -> bool {
        self.0 == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.0 * PIECE) as u64)
    }
}

#[derive(Default)]
struct Wakes(AtomicUsize);

impl Wake for Wakes {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }
}

/// Guards against answers that are never ended: a write has to wait, and succeeds
/// within the same poll since the peer has read meanwhile.
#[test]
fn a_body_is_written_to_its_end_though_the_peer_reads_within_a_poll() {
    for first_room in (0..ROOM).step_by(997) {
        let written = Arc::new(AtomicUsize::new(0));
        let registered = Arc::default();
        let stream = Stream {
            request: b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
            room: first_room,
            written: Arc::clone(&written),
            registered: Arc::clone(&registered),
        };
        let service = service_fn(|_: Request<Incoming>| async {
            Ok::<_, Infallible>(Response::new(Pieces(PIECES)))
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER);
        let mut connection = pin!(builder.serve_connection(ConnectionIo::new(stream), service));
        let wakes = Arc::new(Wakes::default());
        let waker = Waker::from(Arc::clone(&wakes));
        let mut cx = Context::from_waker(&waker);
        for polls in 0.. {
            assert!(polls < MAX_POLLS, "it is woken without end");
            let ended = connection.as_mut().poll(&mut cx);
            assert!(ended.is_pending(), "the peer sends no further request");
            // The stream is writable again for whoever still waits for it.
            if let Some(waiting) = registered.lock().take() {
                waiting.wake();
            }
            if wakes.0.swap(0, Ordering::AcqRel) == 0 {
                break;
            }
        }
        let written = written.load(Ordering::Acquire);
        assert!(written > PIECES * PIECE, "{written} bytes, then nothing");
    }
}
