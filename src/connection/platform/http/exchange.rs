//! Sends requests to the platform and counts them.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;

use super::HOST_HEADER;
use super::wire;
use crate::connection::platform::counters::CallKind;
use crate::connection::platform::counters::PlatformCounters;
use crate::connection::platform::exchange::Failure;
use crate::connection::platform::exchange::Limits;
use crate::connection::platform::exchange::Result;
use crate::connection::platform::exchange::exchange;
use crate::ids::HostId;
use crate::ids::Version;

/// A complete answer.
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

    /// Sends an unconditional GET request.
    pub(super) async fn get(&self, kind: CallKind, path: &str, limits: Limits) -> Result<Answer> {
        let req = Request::get(path)
            .body(Body::empty())
            .expect("validated names form a valid path");
        self.send(kind, req, limits).await
    }

    /// Sends a request and receives the complete answer.
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
        let (head, body) = exchange(&self.client, self.address, req, limits).await?;
        check_status(Answer {
            status: head.status,
            version: head.headers.get(header::ETAG).and_then(wire::parse_etag),
            body,
        })
    }
}

/// Returns answers that carry a result and turns all others into failures.
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
