//! HTTP calls to archive hosts.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Client;
use chicoryarch_net::body::BodyError;
use chicoryarch_net::buffered::BodyMemory;
use chicoryarch_net::buffered::BufferedBody;
use chicoryarch_net::buffered::ReservedBytes;
use chicoryarch_net::client::ClientError;
use futures_lite::future;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use serde::Deserialize;

use super::key::TurnKey;
use super::record::Record;

/// Path of the archive hosts' calls.
const PATH: &str = "/turns";
/// Header that tells for how long an archive host has held everything, in
/// milliseconds, in an answer without a body.
const WHOLE_FOR_HEADER: &str = "whole-for-ms";
/// Maximum size of an answer without a record, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 10;
/// Room for a frame's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// An archive host's answer to a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum StoreReply {
    /// It has stored the record.
    Stored,
    /// It lacks the turn before.
    Missing,
    /// It has no room, is draining, or cannot write.
    Refused,
    /// It does not take this record, or the record was not sent.
    Rejected(String),
    /// There is no answer.
    Failed(String),
}

/// An archive host's answer to the question for a turn.
#[derive(Debug)]
pub(super) enum FindReply {
    /// It has the turn, whose record is still to be received.
    Found(Box<Response<Incoming>>),
    /// It has the turn, and was not asked for its record.
    Exists,
    /// It does not have it, and has held everything for this time.
    Absent(Duration),
    /// The answer says neither.
    Unusable(String),
    /// There is no answer.
    Failed(String),
}

/// Why a record was not received.
#[derive(Debug)]
pub(super) enum ReceiveError {
    /// It is larger than the limit.
    TooLarge,
    /// It does not fit the memory.
    MemoryFull,
    /// It broke off or is damaged.
    Failed(String),
}

#[derive(Deserialize)]
struct AbsentBody {
    whole_for_ms: u64,
}

/// Client of the archive hosts.
#[derive(Clone, Debug)]
pub(super) struct ArchiveClient {
    client: Client,
    memory: BodyMemory,
}

impl ArchiveClient {
    pub(super) const fn new(client: Client, memory: BodyMemory) -> Self {
        Self { client, memory }
    }

    /// Sends a record and waits for the answer.
    pub(super) async fn store(
        &self,
        to: SocketAddr,
        frame: Bytes,
        timeout: Duration,
    ) -> StoreReply {
        let build = || {
            let req = Request::post(PATH).header(header::HOST, to.to_string());
            req.body(Body::from_bytes(frame.clone()))
        };
        let response = match self.send(to, build, timeout).await {
            Ok(response) => response,
            Err(why) => return StoreReply::Failed(why),
        };
        let status = response.status();
        // The connection is used again only after the whole answer was read.
        let read = Body::collect(response.into_body(), MAX_REPLY_BYTES).await;
        match status {
            StatusCode::OK => match read {
                Ok(_) => StoreReply::Stored,
                Err(e) => StoreReply::Failed(e.to_string()),
            },
            StatusCode::CONFLICT => StoreReply::Missing,
            status if status.is_server_error() => StoreReply::Refused,
            status => StoreReply::Rejected(format!("the archive host answered {status}")),
        }
    }

    /// Asks for the record of a turn with its whole text.
    pub(super) async fn find(&self, to: SocketAddr, key: &TurnKey, timeout: Duration) -> FindReply {
        let path = format!("{PATH}/{}", key.to_path());
        let build = || {
            let req = Request::get(&path).header(header::HOST, to.to_string());
            req.body(Body::empty())
        };
        let response = match self.send(to, build, timeout).await {
            Ok(response) => response,
            Err(why) => return FindReply::Failed(why),
        };
        match response.status() {
            StatusCode::OK => FindReply::Found(Box::new(response)),
            StatusCode::NOT_FOUND => {
                let read = Body::collect(response.into_body(), MAX_REPLY_BYTES).await;
                let body = match read {
                    Ok(body) => serde_json::from_slice::<AbsentBody>(&body),
                    Err(e) => return FindReply::Failed(e.to_string()),
                };
                match body {
                    Ok(body) => FindReply::Absent(Duration::from_millis(body.whole_for_ms)),
                    Err(e) => FindReply::Unusable(e.to_string()),
                }
            }
            status => FindReply::Unusable(format!("the archive host answered {status}")),
        }
    }

    /// Asks whether a host has a turn, without its text.
    pub(super) async fn exists(
        &self,
        to: SocketAddr,
        key: &TurnKey,
        timeout: Duration,
    ) -> FindReply {
        let path = format!("{PATH}/{}", key.to_path());
        let build = || {
            let req = Request::head(&path).header(header::HOST, to.to_string());
            req.body(Body::empty())
        };
        let response = match self.send(to, build, timeout).await {
            Ok(response) => response,
            Err(why) => return FindReply::Failed(why),
        };
        let whole_for = response.headers().get(WHOLE_FOR_HEADER);
        let whole_for = whole_for.and_then(|value| value.to_str().ok()?.parse().ok());
        match (response.status(), whole_for) {
            (StatusCode::OK, _) => FindReply::Exists,
            (StatusCode::NOT_FOUND, Some(ms)) => FindReply::Absent(Duration::from_millis(ms)),
            // An archive host of an earlier release knows no such question.
            (status, _) => FindReply::Unusable(format!("the archive host answered {status}")),
        }
    }

    /// Receives the record of a turn that was found. Its text has at most
    /// `max_bytes` bytes.
    pub(super) async fn receive(
        &self,
        body: Incoming,
        max_bytes: usize,
    ) -> Result<(Record, ReservedBytes), ReceiveError> {
        let limit = max_bytes.saturating_add(MAX_HEAD_BYTES);
        let read = BufferedBody::read_contiguous(body, &self.memory, limit).await;
        let (mut bytes, memory) = read.map_err(|e| match e {
            BodyError::TooLarge(_) => ReceiveError::TooLarge,
            BodyError::MemoryFull(_) => ReceiveError::MemoryFull,
            e => ReceiveError::Failed(e.to_string()),
        })?;
        match Record::decode(&mut bytes) {
            Ok(Some(record)) if record.text.len() > max_bytes => Err(ReceiveError::TooLarge),
            Ok(Some(record)) => Ok((record, memory)),
            Ok(None) => Err(ReceiveError::Failed("no record was sent".to_owned())),
            Err(e) => Err(ReceiveError::Failed(e.to_string())),
        }
    }

    /// Sends a request, again on a new connection if an idle one is lost: the host
    /// may have closed it at the same moment. All calls may be repeated.
    async fn send(
        &self,
        to: SocketAddr,
        build: impl Fn() -> http::Result<Request<Body>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, String> {
        let exchange = async {
            let invalid = |e: http::Error| format!("not a valid request: {e}");
            let sent = self.client.send(to, build().map_err(invalid)?, timeout);
            let sent = match sent.await {
                Err(ClientError::Lost(_) | ClientError::NotSent(_)) => {
                    let req = build().map_err(invalid)?;
                    self.client.send_fresh(to, req, timeout).await
                }
                sent => sent,
            };
            sent.map_err(|e| e.to_string())
        };
        let expire = async {
            Timer::after(timeout).await;
            Err(format!("no answer within {timeout:?}"))
        };
        future::or(exchange, expire).await
    }
}
