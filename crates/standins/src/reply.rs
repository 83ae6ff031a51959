//! Responses of the stand-ins: JSON, problem details and closed connections.

use std::time::Duration;

use chicoryarch_net::Body;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of the JSON body of a control request, in bytes.
const MAX_CONTROL_BYTES: usize = 16 * 1024 * 1024;

/// Delay before a response is broken off, so that its first part is sent.
pub(crate) const FLUSH_TIME: Duration = Duration::from_millis(50);

/// A refused request, answered with a status and a human-readable detail.
#[derive(Debug, thiserror::Error)]
#[error("{status}: {detail}")]
pub(crate) struct Rejection {
    status: StatusCode,
    detail: String,
}

/// Result of a step in handling a request.
pub(crate) type Result<T> = std::result::Result<T, Rejection>;

impl Rejection {
    /// Creates a refusal with any status.
    pub(crate) fn new(status: StatusCode, detail: impl Into<String>) -> Self {
        Self {
            status,
            detail: detail.into(),
        }
    }

    /// Creates a refusal with status 400.
    pub(crate) fn bad_request(detail: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, detail)
    }

    /// Creates a refusal with status 404.
    pub(crate) fn not_found(detail: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, detail)
    }
}

#[derive(Serialize)]
struct Problem<'a> {
    status: u16,
    title: &'a str,
    detail: &'a str,
}

impl From<Rejection> for Response<Body> {
    fn from(rejection: Rejection) -> Self {
        let problem = Problem {
            status: rejection.status.as_u16(),
            title: rejection.status.canonical_reason().unwrap_or_default(),
            detail: &rejection.detail,
        };
        let mut response = json(rejection.status, &problem);
        let content_type = header::HeaderValue::from_static("application/problem+json");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        response
    }
}

/// Returns a response with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("typed values always encode as JSON");
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .expect("constant response parts are valid")
}

/// Returns a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Returns a response that closes the connection before any byte is sent.
///
/// The server writes a response's head together with the first part of its
/// body, so a body that fails immediately discards the head too.
pub(crate) fn close_connection() -> Response<Body> {
    let (tx, body) = Body::channel(1);
    drop(tx);
    Response::new(body)
}

/// Never returns; the server drops it when the caller disconnects.
pub(crate) async fn hang() -> Response<Body> {
    std::future::pending().await
}

/// Reads and parses the JSON body of a control request.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T> {
    let bytes = Body::collect(body, MAX_CONTROL_BYTES)
        .await
        .map_err(|e| Rejection::bad_request(e.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|e| Rejection::bad_request(e.to_string()))
}
