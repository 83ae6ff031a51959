//! Message bodies: in memory, received from a connection, or fed by a channel.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use futures_lite::Stream;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;

/// Error of a body that could not be produced or read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection failed or closed before the body's end.
    #[error("the connection closed before the end of the body: {0}")]
    Connection(#[from] hyper::Error),
    /// The producer of a channel body gave up.
    #[error("the producer of the body stopped: {0}")]
    Producer(String),
    /// The body is longer than the reader accepts.
    #[error("the body is longer than {0} bytes")]
    TooLarge(usize),
}

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

/// Sending side of a channel body; an error item aborts the message.
pub type BodySender = Sender<Result<Bytes>>;

/// A request or response body without dynamic dispatch.
#[derive(Debug)]
pub enum Body {
    /// Fed by another task, chunk by chunk.
    Channel(Pin<Box<Receiver<Result<Bytes>>>>),
    /// Held in memory.
    Full(Full<Bytes>),
    /// Received from a connection and passed on.
    Incoming(Incoming),
}

impl Body {
    /// An empty body.
    pub fn empty() -> Self {
        Self::Full(Full::default())
    }

    /// A body fed through the returned sender; `capacity` is in chunks.
    pub fn channel(capacity: usize) -> (BodySender, Self) {
        let (tx, rx) = async_channel::bounded(capacity);
        (tx, Self::Channel(Box::pin(rx)))
    }

    /// Reads a whole body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`BodyError::TooLarge`] above the limit, otherwise what the body's
    /// producer reported.
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
            Self::Channel(rx) => rx
                .as_mut()
                .poll_next(cx)
                .map(|item| item.map(|chunk| chunk.map(Frame::data))),
            Self::Full(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Incoming(incoming) => Pin::new(incoming).poll_frame(cx).map_err(Into::into),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Channel(_) => false,
            Self::Full(full) => full.is_end_stream(),
            Self::Incoming(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Channel(_) => SizeHint::default(),
            Self::Full(full) => full.size_hint(),
            Self::Incoming(incoming) => incoming.size_hint(),
        }
    }
}
