//! Sends a call to one endpoint and interprets the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::buffered::BufferedBody;
use chicoryarch_net::buffered::ReservedBytes;
use chicoryarch_net::client::ClientError;
use http::Method;
use http::Response;
use http::response;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::Serialize;

use super::call::CallMeta;
use super::call::Urgency;
use super::context::Gateway;
use super::directory::Endpoint;
use super::directory::EndpointState;
use super::placing::AttemptEnd;
use super::placing::Placement;
use super::placing::Pool;
use super::routes::Customer;
use super::routes::Route;
use super::routes::RouteKind;
use crate::connection::platform::Platform;
use crate::platform::endpoints;
use crate::platform::endpoints::Verdict;
use crate::protection::announced_limit::LimitNotice;
use crate::protection::fingerprint::Fingerprint;
use crate::protection::fingerprint::RequestIdentity;
use crate::units::Moment;

#[derive(Serialize)]
struct DepartureLine<'a> {
    endpoint: &'a str,
    service: &'a str,
    /// Whether the list of endpoints still showed it as ready when the request
    /// was sent.
    is_listed_ready: bool,
}

#[derive(Serialize)]
struct LimitLine<'a> {
    endpoint: &'a str,
    service: &'a str,
    /// Requests a second that it takes from all hosts; `None` at the end of the
    /// limit.
    per_s: Option<f64>,
    before_per_s: Option<f64>,
    /// Calls that this host has placed there since the change before.
    placed_before: u64,
}

#[derive(Serialize)]
struct UnreadableLimitLine<'a> {
    endpoint: &'a str,
    service: &'a str,
}

/// An authorized request of a caller.
#[derive(Debug)]
pub struct Call {
    /// Metadata from the request's headers.
    pub meta: Arc<CallMeta>,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URL.
    pub target: Box<str>,
    /// Complete request body.
    pub body: Bytes,
    /// Memory of the body, reserved as long as the call.
    pub body_memory: ReservedBytes,
    /// Version of the configuration that the request is handled by.
    pub configuration: u64,
    /// Route that matches the request.
    pub route: Arc<Route>,
    /// Service that runs the call: one of the route's targets.
    pub service: Arc<str>,
    /// Customer that holds the caller's key; `None` if the call needs no key.
    pub customer: Option<Arc<Customer>>,
    /// When the request was received.
    pub received: Moment,
    /// When the caller must have an answer or a refusal.
    pub deadline: Moment,
    /// When the caller stops waiting.
    pub caller_deadline: Moment,
    /// Version of the engine's software that must run the call; `None` for any.
    pub version: Option<Arc<str>>,
    /// Urgency at the engine; `None` if the call generates no tokens.
    pub urgency: Option<Urgency>,
    /// Whether it begins a program.
    pub is_first_turn: bool,
}

impl Call {
    /// Returns the hash that the call shares with its caller's other attempts.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&self.identity())
    }

    /// Returns the hash that it shares with calls of the customer to the path
    /// whose bodies begin alike.
    pub fn family(&self) -> Fingerprint {
        Fingerprint::of_family(&self.identity())
    }

    fn identity(&self) -> RequestIdentity<'_> {
        let customer = self.customer.as_ref();
        RequestIdentity {
            method: self.method.as_str(),
            host: &self.meta.host,
            target: &self.target,
            customer: customer.map_or("", |customer| &customer.name),
            body: &self.body,
        }
    }
}

/// Counts a request at an endpoint. Drop removes it from the count and records
/// how it ended.
#[derive(Debug)]
pub struct PlacementGuard {
    pool: Arc<Mutex<Pool>>,
    placement: Placement,
    started: Moment,
    ended: AttemptEnd,
    /// Whether the call waits for the endpoint on a connection of this host.
    is_waiting: bool,
}

impl PlacementGuard {
    /// Starts to measure a request that [`Pool::choose`] has counted.
    pub fn new(pool: Arc<Mutex<Pool>>, placement: Placement) -> Self {
        Self {
            pool,
            placement,
            started: Moment::now(),
            ended: AttemptEnd::Abandoned,
            is_waiting: false,
        }
    }

    /// Returns the endpoint that the request is counted at.
    pub fn endpoint(&self) -> &Arc<Endpoint> {
        &self.placement.endpoint
    }

    /// Records that the call begins to wait for the endpoint.
    pub fn begin_wait(&mut self) {
        if !self.is_waiting {
            self.is_waiting = true;
            self.pool.lock().path.begin_wait(Moment::now());
        }
    }

    /// Records that the endpoint has sent something.
    pub fn record_heard(&self) {
        if self.is_waiting {
            self.pool.lock().path.record_heard(Moment::now());
        }
    }

    /// Records that no connection to the endpoint could be opened.
    pub fn record_unreachable(&self) {
        self.pool.lock().path.record_unreachable();
    }

    /// Ends the request. A guard that is dropped without this call counts as
    /// [`AttemptEnd::Abandoned`].
    pub fn end(mut self, ended: AttemptEnd) {
        self.ended = ended;
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        let now = Moment::now();
        let spent = now.since(self.started);
        let mut pool = self.pool.lock();
        pool.record_end(&self.placement, self.ended, spent, now);
        if self.is_waiting {
            pool.path.end_wait();
        }
    }
}

/// Why an endpoint did not run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunCause {
    /// It had no room.
    Full,
    /// No connection could be opened, or another endpoint uses the address.
    Gone,
    /// The request could not be sent.
    NotSent,
}

impl NotRunCause {
    /// Returns what it tells of the endpoint's health.
    pub const fn evidence(self) -> AttemptEnd {
        match self {
            Self::Full => AttemptEnd::Full,
            Self::Gone | Self::NotSent => AttemptEnd::Failed,
        }
    }
}

/// Result of an attempt, up to the head of the answer.
#[derive(Debug)]
pub enum AttemptResult {
    /// The endpoint answered this request.
    Answered(Box<Response<Incoming>>),
    /// The endpoint did not and will not run the request.
    NotRun {
        /// Reason for the log.
        why: String,
        /// What kept the endpoint from running it.
        cause: NotRunCause,
    },
    /// The attempt's deadline passed; the endpoint may have run the request.
    TimedOut,
    /// There is no valid answer; the endpoint may have run the request.
    Unknown {
        /// Reason for the log.
        why: String,
    },
}

/// Sends a call to an endpoint and waits for the head of its answer.
pub async fn send<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    placement: &mut PlacementGuard,
    resume_after: Option<u64>,
    attempt_deadline: Moment,
) -> AttemptResult {
    let now = Moment::now();
    let time_left = now.until(attempt_deadline);
    let attempt = endpoints::Attempt {
        method: &call.method,
        target: &call.target,
        headers: &call.meta.forwarded,
        body: &call.body,
        endpoint: placement.endpoint(),
        customer: call.customer.as_ref().map(|customer| &*customer.name),
        time_left: now
            .until(call.caller_deadline)
            .min(time_left.max(MIN_ENDPOINT_TIMEOUT)),
        urgency: call.urgency,
        resume_after,
    };
    let req = match endpoints::build_request(&attempt) {
        Ok(req) => req,
        Err(e) => {
            return AttemptResult::NotRun {
                why: format!("the request cannot be built: {e}"),
                cause: NotRunCause::NotSent,
            };
        }
    };
    let to = placement.endpoint().address;
    placement.begin_wait();
    let sent = match call.route.kind {
        // The call may not be repeated, and it would be lost on a connection
        // that the endpoint has already dropped.
        RouteKind::Once => {
            cx.client
                .send_recent(to, req, time_left, MAX_IDLE_FOR_ONCE)
                .await
        }
        _ => cx.client.send(to, req, time_left).await,
    };
    match sent {
        Ok(response) => {
            placement.record_heard();
            classify_answer(cx, call, placement, response)
        }
        Err(e @ ClientError::Connect(_)) => {
            placement.record_unreachable();
            AttemptResult::NotRun {
                why: e.to_string(),
                cause: NotRunCause::Gone,
            }
        }
        Err(e) if e.is_not_sent() => AttemptResult::NotRun {
            why: e.to_string(),
            cause: NotRunCause::NotSent,
        },
        Err(ClientError::Timeout(_)) => AttemptResult::TimedOut,
        Err(e) => AttemptResult::Unknown { why: e.to_string() },
    }
}

/// Maximum idle time of a connection that is reused for a call that may not be
/// repeated. Endpoints sometimes drop idle connections without notice.
const MAX_IDLE_FOR_ONCE: Duration = Duration::from_secs(1);
/// Minimum timeout that is sent to an endpoint.
const MIN_ENDPOINT_TIMEOUT: Duration = Duration::from_millis(1);

fn classify_answer<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    placement: &PlacementGuard,
    response: Response<Incoming>,
) -> AttemptResult {
    let (head, body) = response.into_parts();
    let verdict = endpoints::classify(&head, &call.meta.id);
    if verdict != Verdict::Mismatched {
        record_load(placement, &head);
    }
    // Another endpoint's answer says nothing about the one that was called.
    let is_other_endpoint = matches!(
        verdict,
        Verdict::NotRun {
            is_other_endpoint: true
        }
    );
    if !is_other_endpoint && endpoints::is_leaving(&head) {
        record_departure(cx, placement);
    }
    if !is_other_endpoint {
        record_limit(cx, placement, verdict, &head);
    }
    match verdict {
        Verdict::Answer => AttemptResult::Answered(Box::new(Response::from_parts(head, body))),
        Verdict::NotRun { is_other_endpoint } => AttemptResult::NotRun {
            why: format!("the endpoint answered {}", head.status),
            cause: match is_other_endpoint {
                true => NotRunCause::Gone,
                false => NotRunCause::Full,
            },
        },
        Verdict::Mismatched => AttemptResult::Unknown {
            why: "the answer belongs to another request".to_owned(),
        },
        Verdict::Unsigned => AttemptResult::Unknown {
            why: "the answer lacks the endpoint's digest".to_owned(),
        },
    }
}

fn record_load(placement: &PlacementGuard, head: &response::Parts) {
    if let Some(load) = endpoints::reported_load(head) {
        let mut pool = placement.pool.lock();
        pool.record_load(&placement.endpoint().id, load, Moment::now());
    }
}

fn record_departure<P: Platform>(cx: &Gateway<P>, placement: &PlacementGuard) {
    let endpoint = placement.endpoint();
    let is_new = placement
        .pool
        .lock()
        .record_departure(endpoint, Moment::now());
    if is_new {
        cx.metrics.departures.inc();
        let line = DepartureLine {
            endpoint: &endpoint.id,
            service: &endpoint.service,
            is_listed_ready: endpoint.state == EndpointState::Ready,
        };
        cx.log.state("endpoint-leaving", &line);
    }
}

fn record_limit<P: Platform>(
    cx: &Gateway<P>,
    placement: &PlacementGuard,
    verdict: Verdict,
    head: &response::Parts,
) {
    let notice = match endpoints::limit_notice(head) {
        // A late answer to another request may be older than the limit.
        LimitNotice::Absent if verdict == Verdict::Mismatched => return,
        notice => notice,
    };
    let endpoint = placement.endpoint();
    if notice == LimitNotice::Unreadable {
        let line = UnreadableLimitLine {
            endpoint: &endpoint.id,
            service: &endpoint.service,
        };
        cx.log.request("endpoint-limit-unreadable", &line);
    }
    let change = placement
        .pool
        .lock()
        .record_limit(endpoint, notice, Moment::now());
    if let Some((change, placed)) = change {
        cx.metrics.limit_changes.inc();
        let line = LimitLine {
            endpoint: &endpoint.id,
            service: &endpoint.service,
            per_s: change.per_s,
            before_per_s: change.before,
            placed_before: placed,
        };
        cx.log.request("endpoint-limit", &line);
    }
}

/// Reads a complete body of at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns the reason if the body breaks off, is too large, does not end before
/// the deadline, or does not fit the memory for answers beside the others.
pub async fn read_body(
    memory: &BodyMemory,
    body: Incoming,
    max_bytes: usize,
    deadline: Moment,
) -> std::result::Result<BufferedBody, String> {
    let read = async {
        let read = BufferedBody::read(body, memory, max_bytes).await;
        read.map_err(|e| format!("the answer was not received: {e}"))
    };
    let expire = async {
        async_io::Timer::after(Moment::now().until(deadline)).await;
        Err("the answer did not end in time".to_owned())
    };
    futures_lite::future::or(read, expire).await
}
