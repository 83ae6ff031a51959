//! Encodes refusals as HTTP problem details (RFC 9457).

use std::time::Duration;

use chicoryarch_net::Body;
use http::Response;
use http::StatusCode;
use http::header;
use serde::Deserialize;
use serde::Serialize;

use super::headers;
use crate::request::outcome::Ran;
use crate::request::outcome::Reason;
use crate::request::outcome::Refusal;

/// Media type of a problem body.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// Problem details of a refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Reason of the refusal; its name is stable across versions.
    #[serde(rename = "type")]
    pub reason: Reason,
    /// HTTP status code.
    pub status: u16,
    /// Whether the call may have run.
    pub outcome: Ran,
    /// Human-readable explanation.
    pub detail: String,
    /// Milliseconds after which the caller may retry; `None` if the scheduler
    /// gives no estimate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Returns the HTTP status for a refusal's reason.
pub const fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
        Reason::Cancelled | Reason::HistoryGap | Reason::OutOfOrder | Reason::StillRunning => {
            StatusCode::CONFLICT
        }
        Reason::ConflictingKey => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::EndpointFailed => StatusCode::BAD_GATEWAY,
        Reason::Draining
        | Reason::JournalUnavailable
        | Reason::NoEndpoint
        | Reason::Overloaded
        | Reason::OwnerUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        Reason::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
        Reason::SlowSender => StatusCode::REQUEST_TIMEOUT,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::UnknownProgram | Reason::UnknownService => StatusCode::NOT_FOUND,
    }
}

/// Builds the response to a refused call.
pub fn response(refusal: &Refusal) -> Response<Body> {
    let status = status(refusal.reason);
    let problem = Problem {
        reason: refusal.reason,
        status: status.as_u16(),
        outcome: refusal.ran,
        detail: refusal.detail.clone(),
        retry_after_ms: refusal.retry_after.map(ceil_millis),
    };
    let body = serde_json::to_vec(&problem).expect("a problem always serializes to JSON");
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, headers::value(PROBLEM_JSON));
    fields.insert(headers::OUTCOME, headers::value(refusal.ran.as_str()));
    if let Some(wait) = refusal.retry_after {
        fields.insert(header::RETRY_AFTER, headers::value(ceil_seconds(wait)));
    }
    response
}

fn ceil_millis(wait: Duration) -> u64 {
    u64::try_from(wait.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}

/// Rounds up: `Retry-After` takes whole seconds, and an earlier retry would be
/// refused.
fn ceil_seconds(wait: Duration) -> u64 {
    ceil_millis(wait).div_ceil(1000)
}
