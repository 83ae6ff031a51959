//! Relays an endpoint's answer to the caller as it arrives.

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::body::BodySender;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::completion;
use crate::units::Moment;
use crate::units::Tokens;
use crate::version::history::Message;

/// Bytes kept from the end of an answer, where a model engine reports its
/// usage.
const TAIL_BYTES: usize = 4096;

/// How the relay of an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayEnd {
    /// The endpoint sent the whole answer and all of it was passed to the
    /// caller.
    Whole,
    /// The endpoint's answer failed or was cut short.
    Broken,
    /// The caller disconnected before the end of the answer.
    CallerGone,
    /// The call's deadline passed before the end of the answer.
    Expired,
    /// The caller's key was withdrawn before the end of the answer.
    Withdrawn,
}

/// Token counts that a model engine reports at the end of an answer.
///
/// A count that is missing from the report is 0.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Usage {
    /// Tokens in the prompt, cached ones included.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Prompt tokens that the engine read from its cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Tokens that the engine generated.
    #[serde(default)]
    pub completion_tokens: u64,
}

impl Usage {
    /// Returns the tokens charged to the program: prompt and generated tokens.
    pub const fn cost(&self) -> Tokens {
        Tokens(self.prompt_tokens.saturating_add(self.completion_tokens))
    }
}

/// Copy of an answer that is being relayed.
///
/// The default buffer keeps only the last bytes, which hold the usage report; an
/// unbounded one keeps the whole answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerBuffer {
    bytes: Vec<u8>,
    is_unbounded: bool,
}

impl AnswerBuffer {
    /// Returns a buffer that keeps the whole answer.
    pub fn unbounded() -> Self {
        Self {
            bytes: Vec::new(),
            is_unbounded: true,
        }
    }

    /// Appends the next bytes of the answer, dropping the oldest bytes of a
    /// bounded buffer that is full.
    pub fn push(&mut self, chunk: &[u8]) {
        if self.is_unbounded {
            self.bytes.extend_from_slice(chunk);
            return;
        }
        let last = &chunk[chunk.len().saturating_sub(TAIL_BYTES)..];
        let surplus = (self.bytes.len() + last.len()).saturating_sub(TAIL_BYTES);
        self.bytes.drain(..surplus.min(self.bytes.len()));
        self.bytes.extend_from_slice(last);
    }

    /// Returns the assistant's message from an unbounded buffer.
    ///
    /// `None` if the answer is not a valid completion, or is a stream without
    /// its end marker.
    pub fn message(&self, is_stream: bool) -> Option<Message> {
        let text = std::str::from_utf8(&self.bytes).ok()?;
        if is_stream {
            return completion::parse_streamed_message(text);
        }
        completion::parse_message(text)
    }

    /// Returns the last usage report in the buffer; `None` if there is none or
    /// it cannot be parsed.
    pub fn usage(&self) -> Option<Usage> {
        const USAGE_FIELD: &[u8] = b"\"usage\":";
        let at = self
            .bytes
            .windows(USAGE_FIELD.len())
            .rposition(|w| w == USAGE_FIELD)?;
        let rest = &self.bytes[at + USAGE_FIELD.len()..];
        let mut values = serde_json::Deserializer::from_slice(rest).into_iter::<Usage>();
        values.next()?.ok()
    }
}

enum ChunkRead {
    Chunk(Bytes),
    End,
    Failed,
    Expired,
}

async fn read_chunk(upstream: &mut Incoming, deadline: Moment) -> ChunkRead {
    let frame = async {
        loop {
            match upstream.frame().await {
                None => return ChunkRead::End,
                Some(Err(_)) => return ChunkRead::Failed,
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return ChunkRead::Chunk(data);
                    }
                }
            }
        }
    };
    let expiry = async {
        Timer::after(Moment::now().until(deadline)).await;
        ChunkRead::Expired
    };
    future::or(frame, expiry).await
}

/// Relays an answer chunk by chunk, without ending the body.
///
/// `is_key_withdrawn` is called before each chunk is sent. On
/// [`RelayEnd::Whole`] the caller of this function records the outcome and then
/// ends the body with [`BodySender::finish`]; otherwise it aborts the body.
pub async fn relay(
    mut upstream: Incoming,
    tx: &BodySender,
    deadline: Moment,
    is_key_withdrawn: impl Fn() -> bool,
    buffer: &mut AnswerBuffer,
) -> RelayEnd {
    loop {
        let disconnect = async {
            tx.wait_closed().await;
            None
        };
        let chunk = async { Some(read_chunk(&mut upstream, deadline).await) };
        match future::or(disconnect, chunk).await {
            None => return RelayEnd::CallerGone,
            Some(ChunkRead::End) => return RelayEnd::Whole,
            Some(ChunkRead::Failed) => return RelayEnd::Broken,
            Some(ChunkRead::Expired) => return RelayEnd::Expired,
            Some(ChunkRead::Chunk(_)) if is_key_withdrawn() => return RelayEnd::Withdrawn,
            Some(ChunkRead::Chunk(data)) => {
                buffer.push(&data);
                if tx.send(data).await.is_err() {
                    return RelayEnd::CallerGone;
                }
            }
        }
    }
}
