//! One chat completion: queue, prompt processing, generation and answer.

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
use super::shared::Shared;
use super::shared::Working;
use super::switches::Fate;
use crate::headers;
use crate::reply;
use crate::reply::Rejection;
use crate::reply::Result;
use crate::runs::End;
use crate::runs::RunGuard;

/// Chunks of an answer that wait for a slow reader.
const STREAM_CHUNKS: usize = 4;

/// A request for a completion with what its headers say.
#[derive(Debug)]
pub(crate) struct Completion {
    pub(crate) req: ChatRequest,
    pub(crate) headers: HeaderMap,
    pub(crate) path: String,
    pub(crate) body_digest: String,
}

/// A completion that runs.
struct Running {
    shared: Arc<Shared>,
    working: Working,
    run: RunGuard,
    writer: AnswerWriter,
    handle: Option<String>,
    prompt: Vec<CachedMessage>,
    words: Vec<String>,
    usage: Usage,
}

impl Completion {
    /// Runs the completion and answers it.
    pub(crate) async fn answer(
        self,
        shared: &Arc<Shared>,
        spawner: &Spawner,
    ) -> Result<Response<Body>> {
        self.check_fence(shared)?;
        let fate = shared.decide();
        match fate {
            Fate::DieBefore => return Ok(reply::closed()),
            Fate::Refuse => return Err(unavailable()),
            _ => (),
        }
        let working = shared.admit(self.priority()).await;
        let stream = self.req.stream;
        let running = self.start(Arc::clone(shared), working);
        if fate == Fate::Hang {
            let _running = running;
            return Ok(reply::hang().await);
        }
        running.prefill().await;
        match fate {
            Fate::Late(delay) => Ok(running.answer_whole(stream, delay).await),
            Fate::DieAfter => {
                running.generate().await;
                Ok(reply::closed())
            }
            Fate::DieMidway => Ok(running.stream(spawner, true)),
            _ if stream => Ok(running.stream(spawner, false)),
            _ => Ok(running.answer_whole(false, Duration::ZERO).await),
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

    /// Records the start of the run and looks up the prompt in the cache.
    fn start(self, shared: Arc<Shared>, working: Working) -> Running {
        let run = shared
            .runs
            .start(&self.path, &self.headers, self.body_digest);
        let handle = headers::text(&self.headers, headers::CACHE).map(str::to_owned);
        let prompt: Vec<CachedMessage> = self.req.messages.iter().map(Into::into).collect();
        let cached = handle.as_deref().map(|h| shared.cached_tokens(h, &prompt));
        let max_tokens = self.req.max_tokens;
        let max_tokens = max_tokens.unwrap_or(shared.cfg.default_max_tokens);
        let words = answer::words(&self.req.messages, max_tokens);
        let usage = Usage {
            prompt_tokens: prompt.iter().map(|message| message.tokens).sum(),
            cached_tokens: cached.unwrap_or_default(),
            completion_tokens: words.len() as u64,
        };
        Running {
            writer: AnswerWriter::new(run.number(), &self.req),
            shared,
            working,
            run,
            handle,
            prompt,
            words,
            usage,
        }
    }
}

impl Running {
    /// Processes the part of the prompt that is not cached.
    async fn prefill(&self) {
        let missing = self.usage.prompt_tokens - self.usage.cached_tokens;
        pause(self.shared.prefill_time(missing)).await;
        if missing == 0 {
            return;
        }
        if let Some(handle) = &self.handle {
            self.shared.store_prefix(handle, self.prompt.clone());
        }
    }

    /// Generates the whole text without sending any of it.
    async fn generate(self) -> Generated {
        let tokens = u32::try_from(self.words.len()).unwrap_or(u32::MAX);
        pause(self.shared.decode_time(tokens)).await;
        self.complete()
    }

    /// Generates the whole text, then answers in one piece after a delay.
    async fn answer_whole(self, stream: bool, delay: Duration) -> Response<Body> {
        let generated = self.generate().await;
        pause(delay).await;
        if stream {
            sse(Body::from(generated.events()))
        } else {
            let text = generated.words.concat();
            let answer = generated.writer.whole(text, generated.usage);
            reply::json(StatusCode::OK, &answer)
        }
    }

    /// Answers each word as it is generated.
    fn stream(self, spawner: &Spawner, dies_midway: bool) -> Response<Body> {
        let (tx, body) = Body::channel(STREAM_CHUNKS);
        let produce = self.produce(tx, dies_midway);
        spawner.detach(async {
            let _caller_gone = produce.await;
        });
        sse(body)
    }

    /// Generates word by word; returns nothing once the caller has gone.
    async fn produce(self, tx: BodySender, dies_midway: bool) -> Option<()> {
        let whole = self.words.len();
        let sent = if dies_midway { whole / 2 } else { whole };
        for word in &self.words[..sent] {
            let decode = async {
                pause(self.shared.decode_time(1)).await;
                Some(())
            };
            let gone = async {
                tx.wait_closed().await;
                None
            };
            future::or(gone, decode).await?;
            let event = self.writer.word_event(word);
            tx.send(event.into()).await.ok()?;
        }
        if dies_midway {
            self.run.end(End::Died);
            Timer::after(reply::FLUSH_TIME).await;
            tx.fail("the answer stops on purpose").await;
            return None;
        }
        let end = self.writer.end_events(self.usage);
        self.complete();
        tx.send(end.into()).await.ok()?;
        tx.finish().await;
        Some(())
    }

    /// Records the end of the run and holds the conversation in the cache.
    fn complete(self) -> Generated {
        if let Some(handle) = &self.handle {
            let message = answer::assistant_message(&self.words.concat());
            let mut messages = self.prompt;
            messages.push(CachedMessage::from(&message));
            self.shared.store_prefix(handle, messages);
        }
        self.run.end(End::Completed);
        drop(self.working);
        Generated {
            writer: self.writer,
            words: self.words,
            usage: self.usage,
        }
    }
}

/// A completion that has run and was not answered yet.
struct Generated {
    writer: AnswerWriter,
    words: Vec<String>,
    usage: Usage,
}

impl Generated {
    fn events(&self) -> String {
        let words = self.words.iter();
        let events: String = words.map(|word| self.writer.word_event(word)).collect();
        events + &self.writer.end_events(self.usage)
    }
}

impl From<fences::Stale> for Rejection {
    fn from(stale: fences::Stale) -> Self {
        let detail = format!("a fencing number of {} has been seen", stale.highest);
        Self::new(StatusCode::CONFLICT, detail)
    }
}

fn unavailable() -> Rejection {
    Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "switched off")
}

fn sse(body: Body) -> Response<Body> {
    Response::builder()
        .header(header::CONTENT_TYPE, "text/event-stream")
        .body(body)
        .expect("constant response parts are valid")
}

async fn pause(span: Duration) {
    if !span.is_zero() {
        Timer::after(span).await;
    }
}
