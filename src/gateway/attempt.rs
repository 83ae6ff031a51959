//! Sends a call to one endpoint and interprets the answer.

use std::borrow::Cow;
use std::iter;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::buffered::BufferedBody;
use chicoryarch_net::buffered::ReservedBytes;
use chicoryarch_net::client::ClientError;
use chicoryarch_net::client::Reuse;
use futures_lite::future;
use http::Method;
use http::Request;
use http::Response;
use http::response;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::Serialize;

use super::call::CallMeta;
use super::call::PromptPart;
use super::call::Urgency;
use super::context::Gateway;
use super::directory::Endpoint;
use super::directory::EndpointState;
use super::hop;
use super::hop::HopAttempt;
use super::hop::HopResult;
use super::hop::OpenHop;
use super::paths;
use super::paths::PathWait;
use super::placing::AttemptEnd;
use super::placing::Placement;
use super::placing::Pool;
use super::routes::Customer;
use super::routes::Route;
use super::routes::RouteKind;
use crate::balance::calls::PromptSize;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::platform::endpoints;
use crate::platform::endpoints::Verdict;
use crate::protection::announced_limit::LimitNotice;
use crate::protection::fingerprint::Fingerprint;
use crate::protection::fingerprint::RequestIdentity;
use crate::protection::homes::HomeRule;
use crate::protection::homes::Homes;
use crate::turns::BegunTurn;
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
    /// Complete request body, after the texts of the turns that it continues.
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
    /// Regions in which the call must stay, by its route and its customer.
    pub homes: Homes,
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
    /// Turn that is kept when its stream is complete; `None` if none is.
    pub turn: Option<BegunTurn>,
    /// Text of earlier turns that the caller has not stated as part of its prompt;
    /// `None` if there is none, or load is not balanced.
    pub chain: Option<PromptPart>,
}

impl Call {
    /// Parts of the call that an endpoint may have cached, with the text of earlier
    /// turns first.
    pub fn cacheable_parts(&self) -> Cow<'_, [PromptPart]> {
        let stated = self.meta.cacheable_parts(self.route.is_sticky);
        match self.chain {
            Some(chain) => iter::once(chain).chain(stated.iter().copied()).collect(),
            None => stated,
        }
    }

    /// Length of the prompt, in tokens; `None` if the call generates no tokens.
    pub fn prompt_tokens(&self) -> Option<u64> {
        let chain = self.chain.map_or(0, |chain| chain.tokens);
        let stated = self.meta.stated_tokens();
        stated.map(|stated| stated.saturating_add(chain))
    }

    /// The text of the call's turn, with `output_tokens` of output, as the part of a
    /// prompt that continues it; `None` if it is not retained, its length is not
    /// known, or load is not balanced.
    pub fn retained_part<P>(&self, cx: &Gateway<P>, output_tokens: u64) -> Option<PromptPart> {
        let turn = self.turn.as_ref().filter(|_| cx.cfg.balance.is_some())?;
        Some(PromptPart {
            id: turn_part_id(turn.customer(), turn.id()),
            tokens: turn.whole_tokens(output_tokens)?,
        })
    }

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

/// Returns the text of earlier turns as the first part of a call's prompt, as far
/// as the caller has not stated it.
pub fn chain_part(turn: &BegunTurn) -> Option<PromptPart> {
    let tokens = turn.unstated_tokens();
    Some(PromptPart {
        id: turn_part_id(turn.customer(), turn.previous()?),
        tokens,
    })
    .filter(|chain| chain.tokens > 0)
}

/// Id of the text up to the end of a turn as a part of prompts.
fn turn_part_id(customer: &str, turn: &str) -> u64 {
    super::hash_of(&format!("turn {customer} {turn}"))
}

/// Counts a request at an endpoint. Drop removes it from the count and records
/// how it ended.
#[derive(Debug)]
pub struct PlacementGuard {
    pool: Arc<Mutex<Pool>>,
    placement: Placement,
    started: Moment,
    ended: AttemptEnd,
    way: Way,
}

/// How a call gets to its endpoint.
#[derive(Debug)]
enum Way {
    Unsent,
    /// By a connection of this host.
    Own(PathWait),
    /// Through another host.
    Hop(OpenHop),
}

impl PlacementGuard {
    /// Starts to measure a request that [`Pool::choose`] has counted.
    pub fn new(pool: Arc<Mutex<Pool>>, placement: Placement) -> Self {
        Self {
            pool,
            placement,
            started: Moment::now(),
            ended: AttemptEnd::Abandoned,
            way: Way::Unsent,
        }
    }

    /// Returns the endpoint that the request is counted at.
    pub fn endpoint(&self) -> &Arc<Endpoint> {
        &self.placement.endpoint
    }

    /// Records that the endpoint has sent something.
    pub fn record_heard(&self) {
        if let Way::Own(wait) = &self.way {
            wait.record_heard();
        }
    }

    /// Size of a stream's prompt for the metrics of its first event; `None` if it has
    /// none, its caller has that event already, or load is not balanced.
    pub fn call_size(&self, call: &Call) -> Option<PromptSize> {
        let is_stream = matches!(call.route.kind, RouteKind::Stream { .. });
        let is_counted = is_stream && call.meta.prompt.is_some() && !call.meta.resumes_stream();
        self.placement.prompt_size().filter(|_| is_counted)
    }

    /// Counts a part of prompts as cached at the endpoint.
    pub fn expect_cached(&self, part: PromptPart) {
        let id = &self.placement.endpoint.id;
        self.pool.lock().expect_cached(id, &[part], Moment::now());
    }

    /// Records that the first event of the answer was heard.
    pub fn record_begun(&self) {
        self.pool
            .lock()
            .record_begun(&self.placement, Moment::now());
    }

    /// Host through which the request is sent; `None` if it is sent directly.
    pub fn via(&self) -> Option<&HostId> {
        match &self.way {
            Way::Hop(open) => Some(&open.host),
            Way::Own(_) | Way::Unsent => None,
        }
    }

    /// What a broken connection tells of the endpoint's health: nothing if it
    /// may be that of the host in between.
    pub const fn broken_evidence(&self) -> AttemptEnd {
        match &self.way {
            Way::Hop(_) => AttemptEnd::Abandoned,
            Way::Own(_) | Way::Unsent => AttemptEnd::Failed,
        }
    }

    /// Waits until this host has been cut off for `grace`, by a cut in which its
    /// connections are silent. Never ends if the request is not sent directly.
    pub async fn path_lost(&self, grace: Duration) {
        match &self.way {
            Way::Own(wait) => wait.path_lost(grace).await,
            Way::Hop(_) | Way::Unsent => future::pending().await,
        }
    }

    /// Records that no connection to the endpoint could be opened. One that breaks
    /// later is no sign of a restart: faulty endpoints drop connections too.
    fn record_connection_failed(&self) {
        let mut pool = self.pool.lock();
        pool.record_connection_failed(&self.placement.endpoint.id, Moment::now());
    }

    fn is_cut_off(&self) -> bool {
        self.pool.lock().path.is_cut_off()
    }

    fn is_reached_again(&self) -> bool {
        self.pool.lock().path.is_reached_again()
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
    }
}

/// Why an endpoint did not run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunCause {
    /// It had no room.
    Full,
    /// No connection could be opened by a host that reaches others, or another
    /// endpoint uses the address.
    Gone,
    /// No host with a path to the endpoint took the request.
    NoPath,
    /// The request could not be sent.
    NotSent,
}

impl NotRunCause {
    /// Returns what it tells of the endpoint's health.
    pub const fn evidence(self) -> AttemptEnd {
        match self {
            Self::Full => AttemptEnd::Full,
            Self::NoPath => AttemptEnd::Abandoned,
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
        /// What that tells of the endpoint's health.
        evidence: AttemptEnd,
    },
}

impl AttemptResult {
    fn unknown(why: impl Into<String>) -> Self {
        Self::Unknown {
            why: why.into(),
            evidence: AttemptEnd::Failed,
        }
    }

    fn lost_on_way(why: impl Into<String>) -> Self {
        Self::Unknown {
            why: why.into(),
            evidence: AttemptEnd::Abandoned,
        }
    }

    fn no_path(why: impl Into<String>) -> Self {
        Self::NotRun {
            why: why.into(),
            cause: NotRunCause::NoPath,
        }
    }
}

/// Sends a call to an endpoint and waits for the head of its answer. A host that
/// is cut off from the service sends it through another host.
pub async fn send<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    placement: &mut PlacementGuard,
    resume_after: Option<u64>,
    deadline: Moment,
) -> AttemptResult {
    let attempt = Attempt {
        call,
        resume_after,
        deadline,
    };
    if !placement.is_cut_off() {
        match send_directly(cx, &attempt, placement).await {
            Direct::Done(result) => return result,
            Direct::NotConnected { why } => {
                if paths::check(cx, &call.service).await {
                    placement.record_connection_failed();
                    let cause = NotRunCause::Gone;
                    return AttemptResult::NotRun { why, cause };
                }
            }
        }
    }
    match send_through_host(cx, &attempt, placement).await {
        Some(result) => result,
        // The cut may have ended.
        None if placement.is_reached_again() => {
            match send_directly(cx, &attempt, placement).await {
                Direct::Done(result) => result,
                Direct::NotConnected { why } => AttemptResult::no_path(why),
            }
        }
        None => AttemptResult::no_path("this host is cut off, and no other took the call"),
    }
}

/// An attempt at an endpoint that is yet to be sent.
struct Attempt<'a> {
    call: &'a Call,
    resume_after: Option<u64>,
    deadline: Moment,
}

impl Attempt<'_> {
    fn request(&self, endpoint: &Endpoint) -> http::Result<Request<Body>> {
        let call = self.call;
        let now = Moment::now();
        let time_left = now.until(self.deadline).max(MIN_ENDPOINT_TIMEOUT);
        endpoints::build_request(&endpoints::Attempt {
            method: &call.method,
            target: &call.target,
            headers: &call.meta.forwarded,
            body: &call.body,
            endpoint,
            customer: call.customer.as_ref().map(|customer| &*customer.name),
            time_left: now.until(call.caller_deadline).min(time_left),
            urgency: call.urgency,
            resume_after: self.resume_after,
        })
    }

    /// Which connections to the endpoint may be used.
    fn reuse(&self) -> Reuse {
        Reuse {
            max_idle: self.max_idle().unwrap_or(Duration::MAX),
            // A refusal names no request, and a late copy of one looks like an
            // answer to the next.
            only_identified: !self.call.route.kind.is_repeatable(),
        }
    }

    /// Maximum idle time of the connection that is used; `None` for any.
    fn max_idle(&self) -> Option<Duration> {
        // A call that may not be repeated would be lost on a connection that
        // the endpoint has already dropped.
        (self.call.route.kind == RouteKind::Once).then_some(MAX_IDLE_FOR_ONCE)
    }
}

/// Result of an attempt by this host's own path.
enum Direct {
    Done(AttemptResult),
    /// No connection could be opened, so nothing was sent.
    NotConnected {
        why: String,
    },
}

async fn send_directly<P: Platform>(
    cx: &Gateway<P>,
    attempt: &Attempt<'_>,
    placement: &mut PlacementGuard,
) -> Direct {
    let req = match attempt.request(placement.endpoint()) {
        Ok(req) => req,
        Err(e) => {
            return Direct::Done(AttemptResult::NotRun {
                why: format!("the request cannot be built: {e}"),
                cause: NotRunCause::NotSent,
            });
        }
    };
    let to = placement.endpoint().address;
    let time_left = Moment::now().until(attempt.deadline);
    placement.way = Way::Own(PathWait::begin(Arc::clone(&placement.pool)));
    let sent = async {
        let sent = cx.client.send_reusing(to, req, time_left, attempt.reuse());
        Some(sent.await)
    };
    let path_lost = async {
        // The answer to a call that may not be repeated may still arrive.
        if !attempt.call.route.kind.is_repeatable() {
            future::pending::<()>().await;
        }
        // A connection that is being opened fails by then, and nothing is sent.
        placement.path_lost(cx.cfg.connect_timeout).await;
        None
    };
    let Some(sent) = future::or(sent, path_lost).await else {
        let why = "the host was cut off from the service";
        return Direct::Done(AttemptResult::lost_on_way(why));
    };
    Direct::Done(match sent {
        Ok(response) => {
            placement.record_heard();
            classify_answer(cx, attempt.call, placement, response)
        }
        Err(e @ ClientError::Connect(_)) => return Direct::NotConnected { why: e.to_string() },
        Err(e @ ClientError::NotSent(_)) => AttemptResult::NotRun {
            why: e.to_string(),
            cause: NotRunCause::NotSent,
        },
        Err(ClientError::Timeout(_)) => AttemptResult::TimedOut,
        Err(e) => AttemptResult::unknown(e.to_string()),
    })
}

/// Sends an attempt through another host; `None` if none takes it.
async fn send_through_host<P: Platform>(
    cx: &Gateway<P>,
    attempt: &Attempt<'_>,
    placement: &mut PlacementGuard,
) -> Option<AttemptResult> {
    placement.way = Way::Unsent;
    let endpoint = Arc::clone(placement.endpoint());
    let hop = HopAttempt {
        endpoint: &endpoint,
        deadline: attempt.deadline,
        max_idle: attempt.max_idle(),
        is_repeatable: attempt.call.route.kind.is_repeatable(),
        homes: HomeRule::new(&attempt.call.homes, &cx.cfg.regions),
    };
    let build = || attempt.request(&endpoint).ok();
    Some(match hop::send(cx, hop, build).await {
        HopResult::Answered(response, open) => {
            placement.way = Way::Hop(open);
            classify_answer(cx, attempt.call, placement, *response)
        }
        HopResult::LostOnWay(why) => AttemptResult::lost_on_way(why),
        HopResult::EndpointLost => {
            AttemptResult::unknown("another host lost its connection to the endpoint")
        }
        HopResult::NotTaken => return None,
        HopResult::NotSent => {
            placement.record_connection_failed();
            AttemptResult::NotRun {
                why: "another host could not send it to the endpoint".to_owned(),
                cause: NotRunCause::Gone,
            }
        }
        HopResult::TimedOut => AttemptResult::TimedOut,
    })
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
        record_answer(cx, placement, &head);
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
        Verdict::Mismatched => AttemptResult::unknown("the answer belongs to another request"),
        Verdict::Unsigned => AttemptResult::unknown("the answer lacks the endpoint's digest"),
        Verdict::Unpromised => AttemptResult::unknown(format!(
            "the endpoint answered {} and does not say that the call has not run",
            head.status
        )),
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

/// Records that an endpoint answered, and for how long it is cold.
fn record_answer<P: Platform>(cx: &Gateway<P>, placement: &PlacementGuard, head: &response::Parts) {
    let endpoint = placement.endpoint();
    let cold = endpoints::cold_time(head);
    let cause = placement
        .pool
        .lock()
        .record_answer(endpoint, cold, Moment::now());
    if let Some(cause) = cause {
        cx.log_cold(endpoint, cause);
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
        Timer::after(Moment::now().until(deadline)).await;
        Err("the answer did not end in time".to_owned())
    };
    future::or(read, expire).await
}
