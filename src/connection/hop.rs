//! Messages by which one host sends a call to an endpoint through another host.
//!
//! The request is the one for the endpoint with headers for the other host
//! added, at a path with the prefix of forwarded calls. The other host sends it
//! to that endpoint and nowhere else, so there is never a second hop.

use std::str::FromStr;
use std::time::Duration;

use chicoryarch_net::Body;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::uri::InvalidUri;
use http::uri::PathAndQuery;

use super::forward::CALL_PREFIX;
use super::headers;
use crate::ids::HostId;

/// Host at which the call arrived.
const FROM: HeaderName = HeaderName::from_static("chicoryarch-from");
/// Id of the endpoint that runs the call.
const ENDPOINT: HeaderName = HeaderName::from_static("chicoryarch-endpoint");
/// Maximum idle time of the connection that is used, in milliseconds.
const MAX_IDLE_MS: HeaderName = HeaderName::from_static("chicoryarch-max-idle-ms");
/// `true` if the call may run again.
const REPEATABLE: HeaderName = HeaderName::from_static("chicoryarch-repeatable");
/// Outcome of the hop, in each response.
const HOP: HeaderName = HeaderName::from_static("chicoryarch-hop");

/// Headers that are added to the request for the endpoint.
const OWN_HEADERS: [HeaderName; 5] = [
    ENDPOINT,
    FROM,
    MAX_IDLE_MS,
    headers::REMAINING_MS,
    REPEATABLE,
];

/// What the other host needs to know beside the request for the endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hop {
    /// Host at which the call arrived.
    pub from: HostId,
    /// Id of the endpoint that runs the call.
    pub endpoint: Box<str>,
    /// Time that is left for the attempt.
    pub time_left: Duration,
    /// Maximum idle time of the connection that is used; `None` for any.
    pub max_idle: Option<Duration>,
    /// Whether the call may run again, so that it need not wait on a path that
    /// is lost.
    pub is_repeatable: bool,
}

/// How a hop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HopOutcome {
    /// The response is the endpoint's.
    Answered,
    /// The host takes no more calls at the moment. Not run.
    Busy,
    /// The host is shutting down. Not run.
    Draining,
    /// The call was sent and its answer was lost. It may have run.
    Lost,
    /// The host is cut off from the endpoint's service too. Not run.
    NoPath,
    /// The host reaches the service, but nothing could be sent to the endpoint.
    /// Not run.
    NotSent,
    /// No time was left to send the call. Not run.
    OutOfTime,
    /// The call was sent and the host was then cut off from the endpoint's
    /// service. It may have run.
    PathLost,
    /// No answer arrived in time. It may have run.
    TimedOut,
    /// The host knows no such endpoint, or cannot read the hop. Not run.
    UnknownEndpoint,
}

/// Error of a hop's outcome that is not known.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("unknown outcome of a hop")]
pub struct UnknownOutcome;

impl HopOutcome {
    const ALL: [Self; 10] = [
        Self::Answered,
        Self::Busy,
        Self::Draining,
        Self::Lost,
        Self::NoPath,
        Self::NotSent,
        Self::OutOfTime,
        Self::PathLost,
        Self::TimedOut,
        Self::UnknownEndpoint,
    ];

    /// Name in the header and in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Busy => "busy",
            Self::Draining => "draining",
            Self::Lost => "lost",
            Self::NoPath => "no-path",
            Self::NotSent => "not-sent",
            Self::OutOfTime => "out-of-time",
            Self::PathLost => "path-lost",
            Self::TimedOut => "timed-out",
            Self::UnknownEndpoint => "unknown-endpoint",
        }
    }
}

impl FromStr for HopOutcome {
    type Err = UnknownOutcome;

    fn from_str(text: &str) -> Result<Self, UnknownOutcome> {
        let mut all = Self::ALL.into_iter();
        all.find(|outcome| outcome.as_str() == text)
            .ok_or(UnknownOutcome)
    }
}

/// Whether a URL path is that of a hop.
pub fn is_hop(path: &str) -> bool {
    path.starts_with(CALL_PREFIX)
}

/// Adds a hop to the request for an endpoint.
///
/// # Errors
///
/// Returns an error if the path is too long with the prefix.
pub fn wrap(mut req: Request<Body>, hop: &Hop) -> Result<Request<Body>, InvalidUri> {
    let path = format!("{}{}", CALL_PREFIX.trim_end_matches('/'), target(req.uri()));
    *req.uri_mut() = path.parse()?;
    let fields = req.headers_mut();
    fields.insert(FROM, headers::value(&hop.from));
    fields.insert(ENDPOINT, headers::value(&hop.endpoint));
    fields.insert(
        headers::REMAINING_MS,
        headers::value(hop.time_left.as_millis()),
    );
    fields.insert(REPEATABLE, headers::value(hop.is_repeatable));
    fields.remove(MAX_IDLE_MS);
    if let Some(max_idle) = hop.max_idle {
        fields.insert(MAX_IDLE_MS, headers::value(max_idle.as_millis()));
    }
    Ok(req)
}

fn target(uri: &Uri) -> &str {
    uri.path_and_query().map_or("/", PathAndQuery::as_str)
}

/// Removes a hop from a request, which is then the one for the endpoint.
/// Returns `None` if the hop cannot be read.
pub fn unwrap<B>(req: &mut Request<B>) -> Option<Hop> {
    let path = target(req.uri());
    let path = path.get(CALL_PREFIX.len() - 1..)?.parse().ok()?;
    let millis = |fields: &HeaderMap, name| {
        let millis = headers::read_one::<u64>(fields, name).ok()?;
        Some(millis.map(Duration::from_millis))
    };
    let fields = req.headers();
    let hop = Hop {
        from: headers::read_one(fields, &FROM).ok()??,
        endpoint: headers::read_one::<String>(fields, &ENDPOINT).ok()??.into(),
        time_left: millis(fields, &headers::REMAINING_MS)??,
        max_idle: millis(fields, &MAX_IDLE_MS)?,
        is_repeatable: headers::read_one(fields, &REPEATABLE).ok()??,
    };
    *req.uri_mut() = path;
    let fields = req.headers_mut();
    for name in OWN_HEADERS {
        fields.remove(name);
    }
    Some(hop)
}

/// Returns the response to a hop without an answer of the endpoint.
pub fn response_without_answer(outcome: HopOutcome) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    set_outcome(response.headers_mut(), outcome);
    response
}

/// Adds the outcome of a hop to the headers of a response.
pub fn set_outcome(fields: &mut HeaderMap, outcome: HopOutcome) {
    fields.insert(HOP, headers::value(outcome.as_str()));
}

/// Removes the outcome of a hop from the headers of a response; `None` if the
/// host does not forward calls.
pub fn take_outcome(fields: &mut HeaderMap) -> Option<HopOutcome> {
    fields.remove(HOP)?.to_str().ok()?.parse().ok()
}
