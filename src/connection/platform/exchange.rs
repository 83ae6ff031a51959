//! Sends a request to a platform and receives the complete answer.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::body::ReadLimits;
use chicoryarch_net::client::ClientError;
use http::Request;
use http::response;

use super::PlatformError;

/// Why a request failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The platform did not apply the request and will not.
    NotApplied(String),
    /// The platform may have applied the request, or may apply it later.
    Uncertain(String),
}

impl From<Failure> for PlatformError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotApplied(detail) | Failure::Uncertain(detail) => Self::Unavailable(detail),
        }
    }
}

/// Result of a request.
pub type Result<T> = std::result::Result<T, Failure>;

/// Limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum time until the head of the answer.
    pub head: Duration,
    /// Maximum time without bytes in the answer's body.
    pub max_pause: Duration,
    /// Maximum time until the answer is complete.
    pub total: Duration,
    /// Maximum size of the answer's body, in bytes.
    pub max_bytes: usize,
}

impl Limits {
    /// Limits the whole request to `timeout`, for an answer that only tells how
    /// the request ended.
    pub const fn whole(timeout: Duration, max_bytes: usize) -> Self {
        Self {
            head: timeout,
            max_pause: timeout,
            total: timeout,
            max_bytes,
        }
    }

    /// Limits the time until the head and each pause in the body, for an answer
    /// that may take longer because it is large.
    pub fn progress(head: Duration, max_pause: Duration, max_bytes: usize) -> Self {
        Self {
            head,
            max_pause,
            total: head + MAX_TRANSFER_TIME,
            max_bytes,
        }
    }
}

/// Maximum time to receive the body of an answer that arrives slowly.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

/// Sends a request and receives the complete answer, whatever its status.
///
/// # Errors
///
/// Returns [`Failure`] if no complete answer arrives within the limits.
pub async fn exchange(
    client: &Client,
    to: SocketAddr,
    req: Request<Body>,
    limits: Limits,
) -> Result<(response::Parts, Bytes)> {
    let result = receive(client, to, req, limits).await;
    if matches!(result, Err(Failure::Uncertain(_))) {
        // The idle connections may carry nothing any more, either.
        client.close_idle(to);
    }
    result
}

async fn receive(
    client: &Client,
    to: SocketAddr,
    req: Request<Body>,
    limits: Limits,
) -> Result<(response::Parts, Bytes)> {
    let started = Instant::now();
    let sent = client.send(to, req, limits.head).await;
    let (head, body) = sent.map_err(|e| to_failure(&e))?.into_parts();
    let body_limits = ReadLimits {
        max_bytes: limits.max_bytes,
        max_pause: limits.max_pause,
        max_time: limits.total.saturating_sub(started.elapsed()),
    };
    let body = Body::read_within(body, body_limits)
        .await
        .map_err(|e| Failure::Uncertain(e.to_string()))?;
    Ok((head, body))
}

fn to_failure(error: &ClientError) -> Failure {
    let detail = error.to_string();
    if error.is_not_sent() {
        Failure::NotApplied(detail)
    } else {
        Failure::Uncertain(detail)
    }
}
