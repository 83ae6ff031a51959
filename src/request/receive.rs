//! Receives a request's body within its size and time limits.

use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::body::BodyError;
use futures_lite::future;
use http::HeaderMap;
use hyper::body::Incoming;

use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use crate::configs::caller::CallerConfig;
use crate::connection::headers;

/// Refuses a header section that is too large.
///
/// # Errors
///
/// A too-large refusal.
pub fn check_headers(cfg: &CallerConfig, fields: &HeaderMap) -> Result<()> {
    if headers::section_bytes(fields) <= cfg.max_header_bytes {
        return Ok(());
    }
    let limit = cfg.max_header_bytes;
    Err(too_large(format!(
        "the header section is larger than {limit} bytes"
    )))
}

/// Reads the whole body.
///
/// # Errors
///
/// A refusal if it is too large, comes too slowly or breaks off.
pub async fn read_body(cfg: &CallerConfig, body: Incoming) -> Result<Bytes> {
    let limit = cfg.max_body_bytes;
    let whole = async { Some(Body::collect(body, limit).await) };
    match future::or(whole, expire(cfg.body_timeout)).await {
        Some(Ok(bytes)) => Ok(bytes),
        Some(Err(BodyError::TooLarge(_))) => {
            Err(too_large(format!("the body is larger than {limit} bytes")))
        }
        Some(Err(e)) => Err(Refusal::not_run(
            Reason::BadRequest,
            format!("the body cannot be read: {e}"),
        )),
        None => Err(Refusal::not_run(
            Reason::SlowSender,
            "the body did not arrive in time",
        )),
    }
}

async fn expire(after: Duration) -> Option<std::result::Result<Bytes, BodyError>> {
    Timer::after(after).await;
    None
}

fn too_large(detail: String) -> Refusal {
    Refusal::not_run(Reason::TooLarge, detail)
}
