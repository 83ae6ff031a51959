//! Requests to endpoints and what their answers say.

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

pub(super) const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
/// Customer that holds the caller's key.
pub(super) const TENANT: HeaderName = HeaderName::from_static("tenant");
/// 0 to 9, where 0 is first.
pub(super) const REQUEST_URGENCY: HeaderName = HeaderName::from_static("request-urgency");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Digest of an answer that an endpoint made.
const RESPONSE_SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
/// Running requests, waiting requests and slots, separated by commas.
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");

/// One attempt at an endpoint.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Method of the caller's request.
    pub method: &'a Method,
    /// Path and query of the caller's request.
    pub target: &'a str,
    /// The caller's headers that go on.
    pub headers: &'a HeaderMap,
    /// The caller's body.
    pub body: &'a Bytes,
    /// The endpoint that is to run it.
    pub endpoint: &'a Endpoint,
    /// Customer that holds the caller's key.
    pub customer: Option<&'a str>,
    /// Time after which the endpoint stops work.
    pub time_left: Duration,
    /// Rank at the endpoint.
    pub urgency: Option<Urgency>,
    /// Event after which a stream goes on.
    pub resume_after: Option<u64>,
}

/// Builds the request of an attempt.
///
/// # Errors
///
/// What cannot be put into a request.
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
    let left = u64::try_from(attempt.time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_MS, HeaderValue::from(left.max(1)));
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

/// What the head of an endpoint's answer says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The answer to the request.
    Answer,
    /// The answer to another request, or one whose origin is not shown.
    Mismatched,
    /// The endpoint did not and will not run the request.
    NotRun {
        /// True if the address belongs to another endpoint now.
        is_other_endpoint: bool,
    },
    /// A success without the endpoint's digest.
    Unsigned,
}

/// Judges the head of an answer to the request with the given id.
pub fn classify(head: &response::Parts, id: &str) -> Verdict {
    let echoed = head.headers.get(REQUEST_ID);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != id.as_bytes()) {
        return Verdict::Mismatched;
    }
    let is_other_endpoint = head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_other_endpoint || head.headers.contains_key(NOT_EXECUTED) {
        return Verdict::NotRun { is_other_endpoint };
    }
    let is_signed = head.headers.contains_key(RESPONSE_SIGNATURE);
    if head.status.is_success() && (!is_signed || echoed.is_none()) {
        return Verdict::Unsigned;
    }
    Verdict::Answer
}

/// The load that an endpoint tells in an answer.
pub fn reported_load(head: &response::Parts) -> Option<ReportedLoad> {
    let text = head.headers.get(SERVER_LOAD)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>());
    Some(ReportedLoad {
        running: numbers.next()?.ok()?,
        waiting: numbers.next()?.ok()?,
        slots: numbers.next()?.ok()?,
    })
}

/// Headers of an endpoint's answer that go on to the caller.
pub fn answer_headers(head: &response::Parts) -> HeaderMap {
    let mut headers = end_to_end(&head.headers);
    if let Some(length) = head.headers.get(header::CONTENT_LENGTH) {
        headers.insert(header::CONTENT_LENGTH, length.clone());
    }
    headers
}
