//! One request to the platform and its whole answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::client::ClientError;
use futures_lite::future;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;

use super::HOST_HEADER;
use super::wire;
use crate::connection::platform::counters::CallKind;
use crate::connection::platform::counters::PlatformCounters;
use crate::connection::platform::settle::Failure;
use crate::ids::HostId;
use crate::ids::Version;

/// Result of one request.
pub(super) type Result<T> = std::result::Result<T, Failure>;

/// Limits of one answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Longest time until its end.
    pub(super) timeout: Duration,
    /// Largest body.
    pub(super) max_bytes: usize,
}

/// An answer that was received whole.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) version: Option<Version>,
    pub(super) body: Bytes,
}

/// Sends requests to the platform and counts them.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    address: SocketAddr,
    client: Client,
    counters: Arc<PlatformCounters>,
    host: HeaderValue,
}

impl Exchange {
    pub(super) fn new(client: Client, host: &HostId, address: SocketAddr) -> Self {
        let host = HeaderValue::from_str(host.as_str()).expect("a host id is a valid header value");
        Self {
            address,
            client,
            counters: Arc::default(),
            host,
        }
    }

    pub(super) fn counters(&self) -> &Arc<PlatformCounters> {
        &self.counters
    }

    /// Sends a request without a body or a condition.
    pub(super) async fn get(&self, kind: CallKind, path: &str, limits: Limits) -> Result<Answer> {
        let req = Request::get(path)
            .body(Body::empty())
            .expect("checked names form a valid path");
        self.send(kind, req, limits).await
    }

    /// Sends a request and receives its whole answer.
    pub(super) async fn send(
        &self,
        kind: CallKind,
        mut req: Request<Body>,
        limits: Limits,
    ) -> Result<Answer> {
        let headers = req.headers_mut();
        headers.insert(header::HOST, HeaderValue::from_static("platform"));
        headers.insert(HOST_HEADER, self.host.clone());
        self.counters.add_request(kind);
        let answer = self.receive(req, limits);
        let answer = future::or(answer, expire(limits.timeout)).await?;
        check_status(answer)
    }

    async fn receive(&self, req: Request<Body>, limits: Limits) -> Result<Answer> {
        let sent = self.client.send(self.address, req, limits.timeout).await;
        let response = sent.map_err(|e| failure(&e))?;
        let (head, body) = response.into_parts();
        let body = Body::collect(body, limits.max_bytes)
            .await
            .map_err(|e| Failure::Uncertain(e.to_string()))?;
        Ok(Answer {
            status: head.status,
            version: head.headers.get(header::ETAG).and_then(wire::version_of),
            body,
        })
    }
}

fn failure(error: &ClientError) -> Failure {
    let detail = error.to_string();
    if error.is_not_sent() {
        Failure::NotApplied(detail)
    } else {
        Failure::Uncertain(detail)
    }
}

async fn expire(timeout: Duration) -> Result<Answer> {
    Timer::after(timeout).await;
    Err(Failure::Uncertain(format!("no answer within {timeout:?}")))
}

/// Separates the answers that carry a result from those that do not.
fn check_status(answer: Answer) -> Result<Answer> {
    let status = answer.status;
    let detail = format!("status {status}");
    match status {
        StatusCode::NOT_FOUND | StatusCode::PRECONDITION_FAILED => Ok(answer),
        StatusCode::SERVICE_UNAVAILABLE => Err(Failure::NotApplied(detail)),
        _ if status.is_success() => Ok(answer),
        _ if status.is_client_error() => Err(Failure::NotApplied(detail)),
        _ => Err(Failure::Uncertain(detail)),
    }
}
