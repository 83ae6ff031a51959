//! Sends calls as an agent program does, with retries as refusals ask for.

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

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Pause after an attempt whose refusal names no time.
const PAUSE: Duration = Duration::from_millis(100);

/// What all callers record.
#[derive(Debug, Default)]
pub struct Records {
    /// Counts so far.
    pub result: LoadResult,
    /// Program latencies.
    pub program: Latencies,
    /// Call latencies.
    pub call: Latencies,
    /// Program latencies by customer.
    pub customers: Vec<Latencies>,
}

/// Sends the calls of one program.
#[derive(Clone)]
pub struct Caller {
    /// Plan of the run.
    pub cfg: Arc<LoadConfig>,
    /// Connections to the hosts.
    pub client: Client,
    /// Records of the run.
    pub records: Arc<Mutex<Records>>,
    /// Hosts of the caller's data centre.
    pub hosts: Vec<SocketAddr>,
    /// Secret of the caller's key.
    pub secret: String,
}

/// What an attempt gave.
enum Attempt {
    Answered(Bytes),
    Again(Duration),
    Final,
}

impl Caller {
    /// Sends a call until it is answered, finally refused or out of attempts.
    pub async fn call(&self, path: &str, fields: &HeaderMap, body: &Bytes) -> Option<Bytes> {
        let started = Moment::now();
        for attempt in 0..self.cfg.attempts {
            match self.attempt(path, fields, body, attempt).await {
                Attempt::Answered(answer) => {
                    let latency = Moment::now().since(started);
                    self.records.lock().call.record(latency);
                    return Some(answer);
                }
                Attempt::Again(wait) => {
                    Timer::after(wait).await;
                }
                Attempt::Final => return None,
            }
        }
        None
    }

    async fn attempt(&self, path: &str, fields: &HeaderMap, body: &Bytes, nth: u32) -> Attempt {
        let index = rand::random_range(0..self.hosts.len()) + nth as usize;
        let to = self.hosts[index % self.hosts.len()];
        let mut req = Request::post(path)
            .header(header::HOST, to.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.secret))
            .body(Body::from_bytes(body.clone()))
            .expect("the parts are valid");
        req.headers_mut().extend(fields.clone());
        let Ok(response) = self.client.send(to, req, self.cfg.timeout).await else {
            return self.broken();
        };
        let status = response.status();
        let (head, body) = response.into_parts();
        match Body::collect(body, MAX_ANSWER_BYTES).await {
            Ok(body) if status.is_success() => Attempt::Answered(body),
            Ok(body) => self.refused(status, &head.headers, &body),
            Err(_) => self.broken(),
        }
    }

    fn broken(&self) -> Attempt {
        self.records.lock().result.broken += 1;
        Attempt::Again(PAUSE)
    }

    fn refused(&self, status: StatusCode, fields: &HeaderMap, body: &[u8]) -> Attempt {
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
            Some(wait) => Attempt::Again(Duration::from_millis(wait)),
            None => Attempt::Final,
        }
    }
}
