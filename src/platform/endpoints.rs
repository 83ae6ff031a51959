//! Builds requests to endpoints and interprets the headers of their answers.

use std::borrow::Cow;
use std::time::Duration;

use bytes::Bytes;
use chicoryarch_net::Body;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http::response;

use super::ingress::DEADLINE_MS;
use super::ingress::LAST_EVENT_ID;
use super::ingress::REQUEST_ID;
use crate::connection::headers::end_to_end;
use crate::gateway::call::Urgency;
use crate::gateway::directory::Endpoint;
use crate::gateway::placing::ReportedLoad;
use crate::protection::announced_limit::LimitNotice;

pub(super) const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
/// Name of the customer to whom the caller's key belongs.
pub(super) const TENANT: HeaderName = HeaderName::from_static("tenant");
/// 0 to 9; 0 is the most urgent.
pub(super) const REQUEST_URGENCY: HeaderName = HeaderName::from_static("request-urgency");
/// Header by which an endpoint's answer names its request. Refusals of work do
/// not bear it.
pub const ID_HEADER: HeaderName = REQUEST_ID;
/// Header of an answer by which an endpoint says that it has not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Statuses that tell callers that a request has not run and never will. 421 of an
/// endpoint says so by itself: it is not the one that was called.
const PROMISES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];
/// Digest of the answer, computed by the endpoint.
const RESPONSE_SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
/// Numbers of running requests, waiting requests and slots, comma-separated, and
/// at some endpoints the time that work takes at the moment in percent of the
/// usual.
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");

/// Requests a second that an endpoint in need takes from all hosts together, as
/// a decimal number. In all its answers for as long as it holds.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// `1` in all answers of an endpoint that is shutting down.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// Remaining time, in milliseconds, for which an endpoint is cold.
const COLD_MS: HeaderName = HeaderName::from_static("cold-ms");

/// One attempt to run a request at an endpoint.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Method of the caller's request.
    pub method: &'a Method,
    /// Path and query of the caller's request.
    pub target: &'a str,
    /// Headers of the caller's request that are forwarded.
    pub headers: &'a HeaderMap,
    /// Body of the caller's request.
    pub body: &'a Bytes,
    /// Endpoint that receives the request.
    pub endpoint: &'a Endpoint,
    /// Customer to whom the caller's key belongs; `None` omits the header.
    pub customer: Option<&'a str>,
    /// Time until the endpoint stops processing the request.
    pub time_left: Duration,
    /// Priority in the endpoint's queue; `None` sends no urgency header.
    pub urgency: Option<Urgency>,
    /// Last event that the caller has received, if a stream is resumed.
    pub resume_after: Option<u64>,
}

/// Builds the request of an attempt.
///
/// # Errors
///
/// Returns an error if the target or a header value is not valid in HTTP.
pub fn build_request(attempt: &Attempt<'_>) -> http::Result<Request<Body>> {
    let mut req = Request::builder()
        .method(attempt.method.clone())
        .uri(attempt.target)
        .body(Body::from_bytes(attempt.body.clone()))?;
    let headers = req.headers_mut();
    *headers = attempt.headers.clone();
    headers.insert(
        EXPECT_INSTANCE,
        HeaderValue::from_str(&attempt.endpoint.id)?,
    );
    let left_ms = u64::try_from(attempt.time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_MS, HeaderValue::from(left_ms.max(1)));
    if let Some(customer) = attempt.customer {
        headers.insert(TENANT, HeaderValue::from_str(customer)?);
    }
    if let Some(Urgency(rank)) = attempt.urgency {
        headers.insert(REQUEST_URGENCY, HeaderValue::from(u16::from(rank)));
    }
    if let Some(event) = attempt.resume_after {
        headers.insert(LAST_EVENT_ID, HeaderValue::from(event));
    }
    Ok(req)
}

/// Returns the id of the caller's request; empty if there is none.
pub fn request_id(headers: &HeaderMap) -> Cow<'_, str> {
    let id = headers.get(REQUEST_ID);
    id.map_or(Cow::Borrowed(""), |id| {
        String::from_utf8_lossy(id.as_bytes())
    })
}

/// Reduces the time until the endpoint stops processing the request.
pub fn reduce_time_left(headers: &mut HeaderMap, spent: Duration) {
    let left_ms = headers.get(DEADLINE_MS).and_then(|value| {
        let left_ms = value.to_str().ok()?.parse::<u64>().ok()?;
        let spent_ms = u64::try_from(spent.as_millis()).unwrap_or(u64::MAX);
        Some(left_ms.saturating_sub(spent_ms).max(1))
    });
    if let Some(left_ms) = left_ms {
        headers.insert(DEADLINE_MS, HeaderValue::from(left_ms));
    }
}

/// Classification of an endpoint's answer by its status and headers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// A valid answer to the request.
    Answer,
    /// The answer carries the id of another request.
    Mismatched,
    /// The endpoint did not and will not run the request.
    NotRun {
        /// Whether another endpoint now uses the address.
        is_other_endpoint: bool,
    },
    /// A success without the endpoint's digest or without the request's id.
    Unsigned,
    /// The status promises callers that the request has not run, although the endpoint
    /// does not say so.
    Unpromised,
}

/// Classifies the head of an answer to the request with the given id.
pub fn classify(head: &response::Parts, id: &str) -> Verdict {
    let echoed = head.headers.get(REQUEST_ID);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != id.as_bytes()) {
        return Verdict::Mismatched;
    }
    let is_other_endpoint = head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_other_endpoint || head.headers.contains_key(NOT_EXECUTED) {
        return Verdict::NotRun { is_other_endpoint };
    }
    if PROMISES.contains(&head.status) {
        return Verdict::Unpromised;
    }
    let is_signed = head.headers.contains_key(RESPONSE_SIGNATURE);
    if head.status.is_success() && (!is_signed || echoed.is_none()) {
        return Verdict::Unsigned;
    }
    Verdict::Answer
}

/// Returns the load that the endpoint reports in an answer; `None` if the
/// header is missing or malformed.
pub fn reported_load(head: &response::Parts) -> Option<ReportedLoad> {
    let text = head.headers.get(SERVER_LOAD)?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let mut number = || parts.next()?.parse::<u32>().ok();
    let (running, waiting, slots) = (number()?, number()?, number()?);
    let percent = parts.next().and_then(|part| part.parse::<f64>().ok());
    Some(ReportedLoad {
        running,
        waiting,
        slots,
        slowness: percent
            .filter(|percent| percent.is_finite() && *percent > 0.0)
            .map(|percent| percent / 100.0),
    })
}

/// Whether the endpoint announces in an answer that it is shutting down.
pub fn is_leaving(head: &response::Parts) -> bool {
    let values = head.headers.get_all(SERVER_LEAVING);
    values.iter().any(|value| value.as_bytes() == b"1")
}

/// Returns for how long the endpoint is still cold, as it reports in an answer;
/// `None` if the header is missing or malformed.
pub fn cold_time(head: &response::Parts) -> Option<Duration> {
    let mut values = head.headers.get_all(COLD_MS).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    let ms = value.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(ms))
}

/// Returns what an endpoint's answer says about its limit.
pub fn limit_notice(head: &response::Parts) -> LimitNotice {
    let mut values = head.headers.get_all(SERVER_LIMIT).iter();
    let Some(value) = values.next() else {
        return LimitNotice::Absent;
    };
    let text = value.to_str().ok().filter(|_| values.next().is_none());
    let rate = text.and_then(|text| text.trim().parse::<f64>().ok());
    match rate.filter(|rate| rate.is_finite() && *rate >= 0.0) {
        Some(rate) => LimitNotice::PerSecond(rate),
        None => LimitNotice::Unreadable,
    }
}

/// Returns the headers of an endpoint's answer to forward to the caller.
pub fn answer_headers(head: &response::Parts) -> HeaderMap {
    let mut headers = end_to_end(&head.headers);
    if let Some(length) = head.headers.get(header::CONTENT_LENGTH) {
        headers.insert(header::CONTENT_LENGTH, length.clone());
    }
    headers
}
