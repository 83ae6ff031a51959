//! Sends calls as an agent program does, and retries a refused call after the
//! delay that the refusal gives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use parking_lot::Mutex;

use super::result::Latencies;
use super::result::LoadResult;
use crate::balance::calls::PromptSize;
use crate::configs::load::LoadConfig;
use crate::connection::headers;
use crate::connection::problem::Problem;
use crate::units::Moment;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Pause after an attempt that got no complete answer.
const BROKEN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Counts and latencies recorded by all callers.
#[derive(Debug, Default)]
pub struct Records {
    /// Counts of programs and attempts so far.
    pub result: LoadResult,
    /// Latencies of finished programs.
    pub program: Latencies,
    /// Latencies of answered calls, retries included.
    pub call: Latencies,
    /// Latencies of finished programs by index of the customer.
    pub customers: Vec<Latencies>,
    /// Times to the first event of streamed calls with short and with long prompts.
    pub first_event: [Latencies; 2],
}

/// A call as it is sent.
#[derive(Clone, Copy, Debug)]
pub struct CallRequest<'a> {
    /// Path of the URL.
    pub path: &'a str,
    /// Headers beside those that every call has.
    pub fields: &'a HeaderMap,
    /// Body.
    pub body: &'a Bytes,
    /// Size of the prompt; `None` if the answer is not a stream.
    pub prompt: Option<PromptSize>,
}

/// Sends the calls of one program.
#[derive(Clone)]
pub struct Caller {
    /// Plan of the run.
    pub cfg: Arc<LoadConfig>,
    /// Client with the connections to the hosts.
    pub client: Client,
    /// Records shared by all callers of the run.
    pub records: Arc<Mutex<Records>>,
    /// Addresses of the hosts in the data centre that the caller uses.
    pub hosts: Vec<SocketAddr>,
    /// Secret of the caller's key.
    pub secret: String,
}

/// Outcome of one attempt.
enum AttemptOutcome {
    Answered {
        body: Bytes,
        /// When the first part of the body arrived.
        first: Moment,
    },
    RetryAfter(Duration),
    Refused,
}

impl Caller {
    /// Sends a call until it is answered; `None` if it is refused without a
    /// retry delay or runs out of attempts.
    pub async fn call(&self, request: CallRequest<'_>) -> Option<Bytes> {
        let started = Moment::now();
        for attempt in 0..self.cfg.attempts {
            match self.send_attempt(request, attempt).await {
                AttemptOutcome::Answered { body, first } => {
                    let latency = Moment::now().since(started);
                    self.records.lock().call.record(latency);
                    self.record_first_event(request, Some(first.since(started)));
                    return Some(body);
                }
                AttemptOutcome::RetryAfter(wait) => {
                    Timer::after(wait).await;
                }
                AttemptOutcome::Refused => break,
            }
        }
        self.record_first_event(request, None);
        None
    }

    /// Records the time to the first event of a streamed call; `None` if it has not
    /// been answered.
    fn record_first_event(&self, request: CallRequest<'_>, first: Option<Duration>) {
        let Some(size) = request.prompt else {
            return;
        };
        let mut records = self.records.lock();
        if let Some(first) = first {
            records.first_event[size as usize].record(first);
        }
        let is_late = first.is_none_or(|first| first > self.cfg.first_event_target);
        let name = size.as_str().to_owned();
        *records.result.calls_late.entry(name).or_default() += u64::from(is_late);
    }

    async fn send_attempt(&self, request: CallRequest<'_>, attempt: u32) -> AttemptOutcome {
        let index = rand::random_range(0..self.hosts.len()) + attempt as usize;
        let to = self.hosts[index % self.hosts.len()];
        let mut req = Request::post(request.path)
            .header(header::HOST, to.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.secret))
            .body(Body::from_bytes(request.body.clone()))
            .expect("the parts are valid");
        req.headers_mut().extend(request.fields.clone());
        let Ok(response) = self.client.send(to, req, self.cfg.timeout).await else {
            return self.record_broken();
        };
        let status = response.status();
        let (head, body) = response.into_parts();
        let mut first = None;
        let body = body.map_frame(|frame| {
            first.get_or_insert_with(Moment::now);
            frame
        });
        match Body::collect(body, MAX_ANSWER_BYTES).await {
            Ok(body) if status.is_success() => AttemptOutcome::Answered {
                body,
                first: first.unwrap_or_else(Moment::now),
            },
            Ok(body) => self.record_refusal(status, &head.headers, &body),
            Err(_) => self.record_broken(),
        }
    }

    fn record_broken(&self) -> AttemptOutcome {
        self.records.lock().result.broken += 1;
        AttemptOutcome::RetryAfter(BROKEN_RETRY_DELAY)
    }

    fn record_refusal(
        &self,
        status: StatusCode,
        fields: &HeaderMap,
        body: &[u8],
    ) -> AttemptOutcome {
        let problem: Option<Problem> = serde_json::from_slice(body).ok();
        let outcome = fields.get(headers::OUTCOME);
        let outcome = outcome.and_then(|v| v.to_str().ok()).unwrap_or("-");
        let name = problem.as_ref().map_or_else(
            || status.to_string(),
            |problem| format!("{:?} {outcome}", problem.reason),
        );
        let mut records = self.records.lock();
        *records.result.refusals.entry(name).or_default() += 1;
        match problem.and_then(|problem| problem.retry_after_ms) {
            Some(wait) => AttemptOutcome::RetryAfter(Duration::from_millis(wait)),
            None => AttemptOutcome::Refused,
        }
    }
}
