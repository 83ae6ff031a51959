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
use parking_lot::Mutex;

use super::result::Latencies;
use super::result::LoadResult;
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
    Answered(Bytes),
    RetryAfter(Duration),
    Refused,
}

impl Caller {
    /// Sends a call until it is answered; `None` if it is refused without a
    /// retry delay or runs out of attempts.
    pub async fn call(&self, path: &str, fields: &HeaderMap, body: &Bytes) -> Option<Bytes> {
        let started = Moment::now();
        for attempt in 0..self.cfg.attempts {
            match self.send_attempt(path, fields, body, attempt).await {
                AttemptOutcome::Answered(answer) => {
                    let latency = Moment::now().since(started);
                    self.records.lock().call.record(latency);
                    return Some(answer);
                }
                AttemptOutcome::RetryAfter(wait) => {
                    Timer::after(wait).await;
                }
                AttemptOutcome::Refused => return None,
            }
        }
        None
    }

    async fn send_attempt(
        &self,
        path: &str,
        fields: &HeaderMap,
        body: &Bytes,
        attempt: u32,
    ) -> AttemptOutcome {
        let index = rand::random_range(0..self.hosts.len()) + attempt as usize;
        let to = self.hosts[index % self.hosts.len()];
        let mut req = Request::post(path)
            .header(header::HOST, to.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.secret))
            .body(Body::from_bytes(body.clone()))
            .expect("the parts are valid");
        req.headers_mut().extend(fields.clone());
        let Ok(response) = self.client.send(to, req, self.cfg.timeout).await else {
            return self.record_broken();
        };
        let status = response.status();
        let (head, body) = response.into_parts();
        match Body::collect(body, MAX_ANSWER_BYTES).await {
            Ok(body) if status.is_success() => AttemptOutcome::Answered(body),
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
