//! Sends a request to a platform and receives the complete answer.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::body::count_bytes;
use chicoryarch_net::client::ClientError;
use futures_lite::future;
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
    /// Maximum time until the answer is complete.
    pub timeout: Duration,
    /// Maximum size of the answer's body, in bytes.
    pub max_bytes: usize,
}

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
    let received = AtomicUsize::new(0);
    let receive = async {
        let sent = client.send(to, req, limits.timeout).await;
        let (head, body) = sent.map_err(|e| to_failure(&e))?.into_parts();
        let body = Body::collect(count_bytes(body, &received), limits.max_bytes)
            .await
            .map_err(|e| Failure::Uncertain(e.to_string()))?;
        Ok((head, body))
    };
    let timer = async {
        Timer::after(limits.timeout).await;
        let timeout = limits.timeout;
        let bytes = received.load(Ordering::Relaxed);
        Err(Failure::Uncertain(format!(
            "no complete answer within {timeout:?}, {bytes} bytes of the body received"
        )))
    };
    future::or(receive, timer).await
}

fn to_failure(error: &ClientError) -> Failure {
    let detail = error.to_string();
    if error.is_not_sent() {
        Failure::NotApplied(detail)
    } else {
        Failure::Uncertain(detail)
    }
}
