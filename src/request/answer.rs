//! Passes an endpoint's answer on to its caller while it arrives.

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

/// Bytes at the end of an answer in which a model engine reports its usage.
const TAIL_BYTES: usize = 4096;

/// How the relay of an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// The endpoint sent the whole answer and the caller was given all of it.
    Whole,
    /// The endpoint broke the answer off.
    Broken,
    /// The caller went away; nobody waits for the rest.
    CallerGone,
    /// The call's deadline passed.
    Expired,
    /// The caller's key was withdrawn.
    Withdrawn,
}

/// Tokens that a model engine reports at the end of an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were in the engine's cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u64,
}

impl Usage {
    /// What the call cost its program.
    pub const fn cost(&self) -> Tokens {
        Tokens(self.prompt_tokens.saturating_add(self.completion_tokens))
    }
}

/// What is kept of an answer while it is relayed: its last bytes, or all.
#[derive(Clone, Debug, Default)]
pub struct Tail {
    kept: Vec<u8>,
    is_whole: bool,
}

impl Tail {
    /// Keeps the whole answer.
    pub fn whole() -> Self {
        Self {
            kept: Vec::new(),
            is_whole: true,
        }
    }

    /// Adds the next bytes of the answer.
    pub fn push(&mut self, chunk: &[u8]) {
        if self.is_whole {
            self.kept.extend_from_slice(chunk);
            return;
        }
        let last = &chunk[chunk.len().saturating_sub(TAIL_BYTES)..];
        let surplus = (self.kept.len() + last.len()).saturating_sub(TAIL_BYTES);
        self.kept.drain(..surplus.min(self.kept.len()));
        self.kept.extend_from_slice(last);
    }

    /// The assistant's message in a whole answer.
    pub fn message(&self, is_stream: bool) -> Option<Message> {
        let text = std::str::from_utf8(&self.kept).ok()?;
        if is_stream {
            return completion::streamed_message(text);
        }
        completion::message(text)
    }

    /// The usage reported last, if there is any.
    pub fn usage(&self) -> Option<Usage> {
        const NAME: &[u8] = b"\"usage\":";
        let at = self.kept.windows(NAME.len()).rposition(|w| w == NAME)?;
        let rest = &self.kept[at + NAME.len()..];
        let mut values = serde_json::Deserializer::from_slice(rest).into_iter::<Usage>();
        values.next()?.ok()
    }
}

enum Next {
    Chunk(Bytes),
    End,
    Failed,
    Expired,
}

async fn next(upstream: &mut Incoming, deadline: Moment) -> Next {
    let frame = async {
        loop {
            match upstream.frame().await {
                None => return Next::End,
                Some(Err(_)) => return Next::Failed,
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Next::Chunk(data);
                    }
                }
            }
        }
    };
    let expiry = async {
        Timer::after(Moment::now().until(deadline)).await;
        Next::Expired
    };
    future::or(frame, expiry).await
}

/// Relays an answer chunk by chunk, without its end.
///
/// `is_withdrawn` is asked before each chunk. The caller of this function ends
/// the body with [`BodySender::finish`] on [`Ended::Whole`], so that what has
/// to be recorded is recorded first, and breaks it off otherwise.
pub async fn relay(
    mut upstream: Incoming,
    tx: &BodySender,
    deadline: Moment,
    is_withdrawn: impl Fn() -> bool,
    tail: &mut Tail,
) -> Ended {
    loop {
        let gone = async {
            tx.reader_gone().await;
            None
        };
        let chunk = async { Some(next(&mut upstream, deadline).await) };
        match future::or(gone, chunk).await {
            None => return Ended::CallerGone,
            Some(Next::End) => return Ended::Whole,
            Some(Next::Failed) => return Ended::Broken,
            Some(Next::Expired) => return Ended::Expired,
            Some(Next::Chunk(_)) if is_withdrawn() => return Ended::Withdrawn,
            Some(Next::Chunk(data)) => {
                tail.push(&data);
                if tx.send(data).await.is_err() {
                    return Ended::CallerGone;
                }
            }
        }
    }
}
