//! Chat completion: queueing, prompt processing, generation and answer.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use chicoryarch_net::Body;
use chicoryarch_net::Spawner;
use chicoryarch_net::body::BodySender;
use futures_lite::future;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;

use super::answer;
use super::answer::AnswerWriter;
use super::cache::CachedMessage;
use super::chat::ChatRequest;
use super::chat::Usage;
use super::fences;
use super::shared::RunPermit;
use super::shared::Shared;
use super::switches::Outcome;
use crate::headers;
use crate::reply;
use crate::reply::Rejection;
use crate::reply::Result;
use crate::runs::End;
use crate::runs::RunGuard;

/// Number of stream chunks buffered for a slow reader.
const STREAM_BUFFER_CHUNKS: usize = 4;

/// A completion request with its headers, path and body digest.
#[derive(Debug)]
pub(crate) struct Completion {
    pub(crate) req: ChatRequest,
    pub(crate) headers: HeaderMap,
    pub(crate) path: String,
    pub(crate) body_digest: String,
}

/// A completion that holds a concurrency slot and is being processed.
struct RunningCompletion {
    shared: Arc<Shared>,
    permit: RunPermit,
    run: RunGuard,
    writer: AnswerWriter,
    handle: Option<String>,
    prompt: Vec<CachedMessage>,
    words: Vec<String>,
    usage: Usage,
}

impl Completion {
    /// Runs the completion and returns its answer.
    pub(crate) async fn answer(
        self,
        shared: &Arc<Shared>,
        spawner: &Spawner,
    ) -> Result<Response<Body>> {
        self.check_fence(shared)?;
        let outcome = shared.decide_outcome();
        match outcome {
            Outcome::DieBefore => return Ok(reply::close_connection()),
            Outcome::Refuse => return Err(unavailable()),
            _ => (),
        }
        let permit = shared.admit(self.priority()).await;
        let stream = self.req.stream;
        let running = self.start(Arc::clone(shared), permit);
        if outcome == Outcome::Hang {
            let _running = running;
            return Ok(reply::hang().await);
        }
        running.prefill().await;
        match outcome {
            Outcome::Late(delay) => Ok(running.answer_at_once(stream, delay).await),
            Outcome::DieAfter => {
                running.generate().await;
                Ok(reply::close_connection())
            }
            Outcome::DieMidway => Ok(running.stream(spawner, true)),
            _ if stream => Ok(running.stream(spawner, false)),
            _ => Ok(running.answer_at_once(false, Duration::ZERO).await),
        }
    }

    fn check_fence(&self, shared: &Shared) -> Result<()> {
        let program = headers::text(&self.headers, headers::PROGRAM).unwrap_or_default();
        let scope = fences::scope_of_program(program);
        let fence = headers::number(&self.headers, headers::FENCE);
        shared.check_fence(scope, fence).map_err(Rejection::from)
    }

    fn priority(&self) -> i64 {
        let text = headers::text(&self.headers, headers::PRIORITY);
        text.and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    /// Records the start of the run and looks the prompt up in the cache.
    fn start(self, shared: Arc<Shared>, permit: RunPermit) -> RunningCompletion {
        let run = shared
            .runs
            .start(&self.path, &self.headers, self.body_digest);
        let handle = headers::text(&self.headers, headers::CACHE).map(str::to_owned);
        let prompt: Vec<CachedMessage> = self.req.messages.iter().map(Into::into).collect();
        let cached = handle.as_deref().map(|h| shared.cached_tokens(h, &prompt));
        let max_tokens = self.req.max_tokens;
        let max_tokens = max_tokens.unwrap_or(shared.cfg.default_max_tokens);
        let words = answer::generate_words(&self.req.messages, max_tokens);
        let usage = Usage {
            prompt_tokens: prompt.iter().map(|message| message.tokens).sum(),
            cached_tokens: cached.unwrap_or_default(),
            completion_tokens: words.len() as u64,
        };
        RunningCompletion {
            writer: AnswerWriter::new(run.number(), &self.req),
            shared,
            permit,
            run,
            handle,
            prompt,
            words,
            usage,
        }
    }
}

impl RunningCompletion {
    /// Simulates processing of the uncached part of the prompt and caches the
    /// prompt.
    async fn prefill(&self) {
        let uncached = self.usage.prompt_tokens - self.usage.cached_tokens;
        sleep(self.shared.prefill_time(uncached)).await;
        if uncached == 0 {
            return;
        }
        if let Some(handle) = &self.handle {
            self.shared.store_prefix(handle, self.prompt.clone());
        }
    }

    /// Generates the complete text without sending it.
    async fn generate(self) -> CompletedRun {
        let tokens = u32::try_from(self.words.len()).unwrap_or(u32::MAX);
        sleep(self.shared.decode_time(tokens)).await;
        self.complete()
    }

    /// Generates the complete text and answers after an extra delay.
    async fn answer_at_once(self, stream: bool, delay: Duration) -> Response<Body> {
        let completed = self.generate().await;
        sleep(delay).await;
        if stream {
            sse_response(Body::from(completed.events()))
        } else {
            let text = completed.words.concat();
            let answer = completed.writer.full_answer(text, completed.usage);
            reply::json(StatusCode::OK, &answer)
        }
    }

    /// Streams each word as soon as it is generated.
    fn stream(self, spawner: &Spawner, dies_midway: bool) -> Response<Body> {
        let (tx, body) = Body::channel(STREAM_BUFFER_CHUNKS);
        let generation = self.stream_words(tx, dies_midway);
        spawner.detach(async {
            let _disconnected = generation.await;
        });
        sse_response(body)
    }

    /// Generates and sends one word after another; returns `None` if the caller
    /// disconnects or the stream breaks off on purpose.
    async fn stream_words(self, tx: BodySender, dies_midway: bool) -> Option<()> {
        let total = self.words.len();
        let sent_words = if dies_midway { total / 2 } else { total };
        for word in &self.words[..sent_words] {
            let decode = async {
                sleep(self.shared.decode_time(1)).await;
                Some(())
            };
            let disconnected = async {
                tx.wait_closed().await;
                None
            };
            future::or(disconnected, decode).await?;
            let event = self.writer.word_event(word);
            tx.send(event.into()).await.ok()?;
        }
        if dies_midway {
            self.run.end(End::Died);
            Timer::after(reply::FLUSH_TIME).await;
            tx.fail("stream broken off by the die_midway switch").await;
            return None;
        }
        let end = self.writer.end_events(self.usage);
        self.complete();
        tx.send(end.into()).await.ok()?;
        tx.finish().await;
        Some(())
    }

    /// Caches the conversation, records the end of the run and frees its slot.
    fn complete(self) -> CompletedRun {
        if let Some(handle) = &self.handle {
            let message = answer::assistant_message(&self.words.concat());
            let mut messages = self.prompt;
            messages.push(CachedMessage::from(&message));
            self.shared.store_prefix(handle, messages);
        }
        self.run.end(End::Completed);
        drop(self.permit);
        CompletedRun {
            writer: self.writer,
            words: self.words,
            usage: self.usage,
        }
    }
}

/// A completion that has run to its end and awaits its answer.
struct CompletedRun {
    writer: AnswerWriter,
    words: Vec<String>,
    usage: Usage,
}

impl CompletedRun {
    fn events(&self) -> String {
        let words = self.words.iter();
        let events: String = words.map(|word| self.writer.word_event(word)).collect();
        events + &self.writer.end_events(self.usage)
    }
}

impl From<fences::StaleFence> for Rejection {
    fn from(stale: fences::StaleFence) -> Self {
        let detail = format!("a fencing number of {} has been seen", stale.highest);
        Self::new(StatusCode::CONFLICT, detail)
    }
}

fn unavailable() -> Rejection {
    Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "switched off")
}

fn sse_response(body: Body) -> Response<Body> {
    Response::builder()
        .header(header::CONTENT_TYPE, "text/event-stream")
        .body(body)
        .expect("constant response parts are valid")
}

async fn sleep(duration: Duration) {
    if !duration.is_zero() {
        Timer::after(duration).await;
    }
}
