//! Enforces the size and time limits on a request's headers and body.

use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::body::BodyError;
use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::buffered::BufferedBody;
use chicoryarch_net::server;
use futures_lite::future;
use http::Extensions;
use http::HeaderMap;
use hyper::body::Incoming;

use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use crate::configs::caller::CallerConfig;
use crate::connection::headers;

/// Checks the size of a header section.
///
/// # Errors
///
/// Returns a too-large refusal if the section exceeds the configured limit.
pub fn check_headers(cfg: &CallerConfig, fields: &HeaderMap) -> Result<()> {
    if headers::section_bytes(fields) <= cfg.max_header_bytes {
        return Ok(());
    }
    let limit = cfg.max_header_bytes;
    Err(too_large(format!(
        "the header section is larger than {limit} bytes"
    )))
}

/// Reads the complete body of a request with these extensions, within the
/// memory for request bodies.
///
/// # Errors
///
/// Returns a refusal if the body is too large, does not fit the memory, does not
/// arrive within the body timeout or ends early.
pub async fn read_body(
    cfg: &CallerConfig,
    memory: &BodyMemory,
    extensions: &Extensions,
    body: Incoming,
) -> Result<Bytes> {
    let limit = cfg.max_body_bytes;
    let receiving = server::receive_body(extensions);
    let collected = async { Some(BufferedBody::read_shared(body, memory, limit).await) };
    let received = future::or(collected, wait_timeout(cfg.body_timeout)).await;
    drop(receiving);
    match received {
        Some(Ok(bytes)) => Ok(bytes),
        Some(Err(BodyError::MemoryFull(_))) => {
            let detail = "the memory for request bodies is full";
            Err(Refusal::not_run(Reason::Overloaded, detail).retry_after(cfg.retry_after))
        }
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

async fn wait_timeout(after: Duration) -> Option<std::result::Result<Bytes, BodyError>> {
    Timer::after(after).await;
    None
}

fn too_large(detail: String) -> Refusal {
    Refusal::not_run(Reason::TooLarge, detail)
}
