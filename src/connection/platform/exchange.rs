//! One request to a platform and its whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::client::ClientError;
use futures_lite::future;
use http::Request;
use http::response;

use super::PlatformError;

/// Why a request got no usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The platform did not carry it out.
    NotApplied(String),
    /// The platform may have carried it out, or may do so later.
    Uncertain(String),
}

impl From<Failure> for PlatformError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotApplied(detail) | Failure::Uncertain(detail) => Self::Unavailable(detail),
        }
    }
}

/// Result of one request.
pub type Result<T> = std::result::Result<T, Failure>;

/// Limits of one answer.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time until its end.
    pub timeout: Duration,
    /// Largest body.
    pub max_bytes: usize,
}

/// Sends a request and receives its whole answer, whatever its status.
///
/// # Errors
///
/// [`Failure`] if there is none in time.
pub async fn exchange(
    client: &Client,
    to: SocketAddr,
    req: Request<Body>,
    limits: Limits,
) -> Result<(response::Parts, Bytes)> {
    let receive = async {
        let sent = client.send(to, req, limits.timeout).await;
        let (head, body) = sent.map_err(|e| failure(&e))?.into_parts();
        let body = Body::collect(body, limits.max_bytes)
            .await
            .map_err(|e| Failure::Uncertain(e.to_string()))?;
        Ok((head, body))
    };
    let expire = async {
        Timer::after(limits.timeout).await;
        let timeout = limits.timeout;
        Err(Failure::Uncertain(format!("no answer within {timeout:?}")))
    };
    future::or(receive, expire).await
}

fn failure(error: &ClientError) -> Failure {
    let detail = error.to_string();
    if error.is_not_sent() {
        Failure::NotApplied(detail)
    } else {
        Failure::Uncertain(detail)
    }
}
