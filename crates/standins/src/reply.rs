//! Responses of the stand-ins: JSON, problem bodies and closed connections.

use std::time::Duration;

use chicoryarch_net::Body;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest JSON body of a control request, in bytes.
const MAX_CONTROL_BYTES: usize = 16 * 1024 * 1024;

/// Time for the first part of an answer to be sent before the answer is cut.
pub(crate) const FLUSH_TIME: Duration = Duration::from_millis(50);

/// A request that is refused, with the status and a sentence for a person.
#[derive(Debug, thiserror::Error)]
#[error("{status}: {detail}")]
pub(crate) struct Rejection {
    status: StatusCode,
    detail: String,
}

/// Result of a step of a request.
pub(crate) type Result<T> = std::result::Result<T, Rejection>;

impl Rejection {
    /// A refusal with any status.
    pub(crate) fn new(status: StatusCode, detail: impl Into<String>) -> Self {
        Self {
            status,
            detail: detail.into(),
        }
    }

    /// A refusal of a request that cannot be understood.
    pub(crate) fn bad_request(detail: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, detail)
    }

    /// A refusal of a path or method that does not exist.
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

/// A response with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("typed values always encode as JSON");
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .expect("constant response parts are valid")
}

/// A response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Closes the connection before a byte of the response is sent.
///
/// The server writes a response's head together with the first part of its
/// body, so a body that fails at once discards the head too.
pub(crate) fn closed() -> Response<Body> {
    let (tx, body) = Body::channel(1);
    drop(tx);
    Response::new(body)
}

/// Never answers; ends when the caller closes the connection.
pub(crate) async fn hang() -> Response<Body> {
    std::future::pending().await
}

/// Reads the JSON body of a control request.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T> {
    let bytes = Body::collect(body, MAX_CONTROL_BYTES)
        .await
        .map_err(|e| Rejection::bad_request(e.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|e| Rejection::bad_request(e.to_string()))
}
