//! Message bodies: in memory, received from a connection or sent through a
//! channel.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use bytes::BytesMut;
use futures_lite::Stream;
use futures_lite::future;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;

use crate::buffered::BufferedBody;

/// Error of a body that could not be produced or read completely.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection failed or closed before the end of the body.
    #[error("the connection closed before the end of the body: {0}")]
    Connection(#[from] hyper::Error),
    /// The body does not fit the memory for bodies, in bytes, beside the others
    /// that are held.
    #[error("too many bodies are held: their memory is limited to {0} bytes")]
    MemoryFull(usize),
    /// The producer of a channel body failed or was dropped.
    #[error("the producer of the body stopped: {0}")]
    Producer(String),
    /// No bytes arrived for the time that the reader allows.
    #[error("no bytes for {pause:?} after {received} bytes of the body")]
    Stalled {
        /// Bytes received before.
        received: usize,
        /// Time without bytes.
        pause: Duration,
    },
    /// The body is longer than the limit of the reader, in bytes.
    #[error("the body is longer than {0} bytes")]
    TooLarge(usize),
    /// The body did not end within the time that the reader allows.
    #[error("the body did not end within {limit:?}, {received} bytes received")]
    TooSlow {
        /// Bytes received.
        received: usize,
        /// Limit of the reader.
        limit: Duration,
    },
}

/// Limits on reading a body.
///
/// A body whose size is not known beforehand may need any time on a slow link,
/// so its reader limits the time without progress, and the whole time only as a
/// last resort.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Maximum size, in bytes.
    pub max_bytes: usize,
    /// Maximum time without bytes.
    pub max_pause: Duration,
    /// Maximum time until the end of the body.
    pub max_time: Duration,
}

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

/// Bytes of a chunk that count as one unit of those that wait in a channel.
/// Smaller chunks are bounded by the channel's capacity alone.
const UNIT_BYTES: usize = 4 << 10;
/// Units that wait in a channel. A chunk read from a connection has up to 64 KiB;
/// a channel of 16 such chunks would hold 1 MiB for a reader that is slow.
const MAX_UNITS: usize = 16;

/// Units of a chunk that waits in a channel; given back on drop.
#[derive(Debug)]
struct HeldUnits {
    count: usize,
    units_rx: Receiver<()>,
}

impl Drop for HeldUnits {
    fn drop(&mut self) {
        for _ in 0..self.count {
            let _given_back = self.units_rx.try_recv();
        }
    }
}

/// Item of a channel body.
#[derive(Debug)]
enum Item {
    Chunk(Bytes, HeldUnits),
    End,
    Failure(String),
}

/// Error of a send to a channel body whose reader was dropped.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("the reader of the body was dropped")]
pub struct ReaderDropped;

/// Producer of a channel body.
///
/// A body whose producer is dropped before [`BodySender::finish`] ends with an
/// error, so that a truncated body never looks complete.
#[derive(Debug)]
pub struct BodySender {
    tx: Sender<Item>,
    /// Holds an item for each unit that waits in the channel.
    units_tx: Sender<()>,
    units_rx: Receiver<()>,
}

impl BodySender {
    /// Sends a chunk; waits while the channel has as many chunks as its capacity,
    /// or too many bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ReaderDropped`] if the reader was dropped.
    pub async fn send(&self, chunk: Bytes) -> std::result::Result<(), ReaderDropped> {
        let units = self.hold_units(chunk.len()).await?;
        self.tx
            .send(Item::Chunk(chunk, units))
            .await
            .map_err(|_| ReaderDropped)
    }

    /// Waits until the channel has room for a chunk of this size.
    async fn hold_units(&self, bytes: usize) -> std::result::Result<HeldUnits, ReaderDropped> {
        let mut held = HeldUnits {
            count: 0,
            units_rx: self.units_rx.clone(),
        };
        let wanted = (bytes / UNIT_BYTES).min(MAX_UNITS);
        while held.count < wanted {
            // Fails only without a receiver, and this is one.
            let taken = async { self.units_tx.send(()).await.is_ok() };
            let dropped = async {
                self.tx.closed().await;
                false
            };
            if !future::or(taken, dropped).await {
                return Err(ReaderDropped);
            }
            held.count += 1;
        }
        Ok(held)
    }

    /// Ends a complete body.
    pub async fn finish(self) {
        // A dropped reader does not need the end.
        let _dropped = self.tx.send(Item::End).await;
    }

    /// Ends the body with an error.
    pub async fn fail(self, why: impl Into<String>) {
        let _dropped = self.tx.send(Item::Failure(why.into())).await;
    }

    /// Waits until the reader is dropped.
    pub async fn wait_closed(&self) {
        self.tx.closed().await;
    }
}

/// Reader of a channel body.
#[derive(Debug)]
pub struct ChannelBody {
    rx: Pin<Box<Receiver<Item>>>,
    ended: bool,
}

impl ChannelBody {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.rx.as_mut().poll_next(cx).map(|item| {
            let dropped = || Item::Failure("it was dropped before the end".to_owned());
            match item.unwrap_or_else(dropped) {
                Item::Chunk(chunk, _units) => Some(Ok(chunk)),
                Item::End => {
                    self.ended = true;
                    None
                }
                Item::Failure(why) => {
                    self.ended = true;
                    Some(Err(BodyError::Producer(why)))
                }
            }
        })
    }
}

/// A request or response body without dynamic dispatch.
#[derive(Debug)]
pub enum Body {
    /// Received completely, within the memory for bodies.
    Buffered(BufferedBody),
    /// Sent through a channel by another task.
    Channel(ChannelBody),
    /// Held in memory.
    Full(Full<Bytes>),
    /// Received from a connection and forwarded.
    Incoming(Incoming),
}

impl Body {
    /// Creates an empty body.
    pub fn empty() -> Self {
        Self::Full(Full::default())
    }

    /// Creates a body from bytes in memory.
    pub fn from_bytes(bytes: Bytes) -> Self {
        Self::Full(Full::new(bytes))
    }

    /// Creates a body and its sender; `capacity` is in chunks. Large chunks wait
    /// in the channel up to 64 KiB together, whatever its capacity.
    pub fn channel(capacity: usize) -> (BodySender, Self) {
        let (tx, rx) = async_channel::bounded(capacity);
        let body = ChannelBody {
            rx: Box::pin(rx),
            ended: false,
        };
        let (units_tx, units_rx) = async_channel::bounded(MAX_UNITS);
        let sender = BodySender {
            tx,
            units_tx,
            units_rx,
        };
        (sender, Self::Channel(body))
    }

    /// Reads a whole body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::TooLarge`] above the limit, and any error of the
    /// body itself.
    pub async fn collect<B>(body: B, limit: usize) -> Result<Bytes>
    where
        B: http_body::Body<Data = Bytes>,
        B::Error: Into<BodyError> + std::error::Error + Send + Sync + 'static,
    {
        match Limited::new(body, limit).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) => match error.downcast::<B::Error>() {
                Ok(inner) => Err((*inner).into()),
                Err(_) => Err(BodyError::TooLarge(limit)),
            },
        }
    }

    /// Reads a whole body within limits on its size and time.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Stalled`], [`BodyError::TooLarge`] or
    /// [`BodyError::TooSlow`] if a limit is exceeded, and any error of the body
    /// itself.
    pub async fn read_within<B>(mut body: B, limits: ReadLimits) -> Result<Bytes>
    where
        B: http_body::Body<Data = Bytes> + Unpin,
        B::Error: Into<BodyError>,
    {
        let mut buf = BytesMut::new();
        let deadline = Instant::now() + limits.max_time;
        loop {
            let frame = async { Ok(body.frame().await) };
            let received = buf.len();
            let expire = async {
                let pause_end = Instant::now() + limits.max_pause;
                Timer::at(pause_end.min(deadline)).await;
                Err(match pause_end < deadline {
                    true => BodyError::Stalled {
                        received,
                        pause: limits.max_pause,
                    },
                    false => BodyError::TooSlow {
                        received,
                        limit: limits.max_time,
                    },
                })
            };
            let Some(frame) = future::or(frame, expire).await? else {
                return Ok(buf.freeze());
            };
            let Ok(bytes) = frame.map_err(Into::into)?.into_data() else {
                continue;
            };
            if received + bytes.len() > limits.max_bytes {
                return Err(BodyError::TooLarge(limits.max_bytes));
            }
            buf.extend_from_slice(&bytes);
        }
    }
}

impl From<BufferedBody> for Body {
    fn from(buffered: BufferedBody) -> Self {
        Self::Buffered(buffered)
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Full(Full::new(bytes))
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Self::Full(Full::new(text.into()))
    }
}

impl From<&'static str> for Body {
    fn from(text: &'static str) -> Self {
        Self::Full(Full::new(Bytes::from_static(text.as_bytes())))
    }
}

impl From<Incoming> for Body {
    fn from(incoming: Incoming) -> Self {
        Self::Incoming(incoming)
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body).poll_frame(cx),
            Self::Channel(body) => body
                .poll_chunk(cx)
                .map(|item| item.map(|chunk| chunk.map(Frame::data))),
            Self::Full(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Incoming(incoming) => Pin::new(incoming).poll_frame(cx).map_err(Into::into),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Channel(body) => body.ended,
            Self::Full(full) => full.is_end_stream(),
            Self::Incoming(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Channel(_) => SizeHint::default(),
            Self::Full(full) => full.size_hint(),
            Self::Incoming(incoming) => incoming.size_hint(),
        }
    }
}
