//! Calls to other archive hosts.

use std::collections::HashSet;
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
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header;

use super::server_api::HELD_PATH;
use super::server_api::HeldQuestion;
use super::server_api::HeldTurns;
use super::server_api::MAX_BODY_BYTES;
use super::server_api::MissingTurns;
use super::server_api::NEXT_HEADER;
use super::server_api::TURNS_PATH;
use super::server_api::WHOLE_FOR_HEADER;
use crate::ids::HostId;
use crate::turns::TurnKey;

/// Time for the answer to a call that reads records, of which a large one takes
/// seconds on the slowest links.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The request could not be sent, or no response head arrived.
    #[error("{0}")]
    Client(#[from] ClientError),
    /// The body of the answer did not arrive, or did not fit the memory.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// The host refused the request.
    #[error("the host answered {0}")]
    Refused(StatusCode),
    /// The answer was not complete in time.
    #[error("no complete answer within {0:?}")]
    Timeout(Duration),
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, PeerError>;

/// A page of records.
#[derive(Debug)]
pub struct PageAnswer {
    /// Frames of the records.
    pub frames: Bytes,
    /// Memory of the frames.
    pub memory: ReservedBytes,
    /// Cursor of the next page.
    pub next: Option<u64>,
    /// For how long the host has held everything that it acknowledged.
    pub whole_for: Duration,
}

/// Answer to records that were sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SentAnswer {
    /// All are stored.
    Stored,
    /// All are stored, except those that continue these turns.
    Missing(Vec<TurnKey>),
}

/// Answer to the question which turns a host has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Held {
    /// Whether it has each.
    Known(Vec<bool>),
    /// The host is of a release that does not know the question.
    Unsupported,
}

struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    memory: ReservedBytes,
}

/// Client of the other archive hosts.
#[derive(Clone, Debug)]
pub struct Peers {
    own: HostId,
    client: Client,
    memory: BodyMemory,
}

impl Peers {
    /// Creates a client whose answers use the memory of bodies.
    pub const fn new(own: HostId, client: Client, memory: BodyMemory) -> Self {
        Self {
            own,
            client,
            memory,
        }
    }

    /// Reads a page of the records that this host should hold.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] without a complete answer.
    pub async fn page(&self, to: SocketAddr, skip: &[HostId], after: u64) -> Result<PageAnswer> {
        self.page_within(to, skip, after, READ_TIMEOUT).await
    }

    async fn page_within(
        &self,
        to: SocketAddr,
        skip: &[HostId],
        after: u64,
        timeout: Duration,
    ) -> Result<PageAnswer> {
        let skip: Vec<&str> = skip.iter().map(HostId::as_str).collect();
        let target = format!(
            "{TURNS_PATH}?holder={}&after={after}&skip={}",
            self.own,
            skip.join(",")
        );
        let answer = self
            .call(to, Request::get(target), Body::empty(), timeout)
            .await?;
        if answer.status != StatusCode::OK {
            return Err(PeerError::Refused(answer.status));
        }
        let whole_for = number(&answer.headers, WHOLE_FOR_HEADER).unwrap_or(0);
        Ok(PageAnswer {
            frames: answer.body,
            memory: answer.memory,
            next: number(&answer.headers, NEXT_HEADER),
            whole_for: Duration::from_millis(whole_for),
        })
    }

    /// Checks that a host answers.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] without an answer.
    pub async fn probe(&self, to: SocketAddr, timeout: Duration) -> Result<()> {
        // No record is that far in a log, so that the page is empty.
        let answer = self.page_within(to, &[], u64::MAX, timeout).await;
        answer.map(drop)
    }

    /// Reads the whole text of a turn; `None` if the host does not have it.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] without a complete answer.
    pub async fn whole(
        &self,
        to: SocketAddr,
        key: &TurnKey,
    ) -> Result<Option<(Bytes, ReservedBytes)>> {
        let req = Request::get(format!("{TURNS_PATH}/{}", key.to_path()));
        let answer = self.call(to, req, Body::empty(), READ_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK => Ok(Some((answer.body, answer.memory))),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PeerError::Refused(status)),
        }
    }

    /// Sends records, and waits until they are on the other host's disk.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if they may not be.
    pub async fn store(
        &self,
        to: SocketAddr,
        frames: Bytes,
        timeout: Duration,
    ) -> Result<SentAnswer> {
        let body = Body::from_bytes(frames);
        let answer = self
            .call(to, Request::post(TURNS_PATH), body, timeout)
            .await?;
        match answer.status {
            StatusCode::OK => Ok(SentAnswer::Stored),
            StatusCode::CONFLICT => serde_json::from_slice::<MissingTurns>(&answer.body)
                .map(|answer| SentAnswer::Missing(answer.missing))
                .map_err(|_| PeerError::Refused(StatusCode::CONFLICT)),
            status => Err(PeerError::Refused(status)),
        }
    }

    /// Asks which turns a host has.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] without an answer.
    pub async fn held(&self, to: SocketAddr, turns: &[TurnKey], timeout: Duration) -> Result<Held> {
        let question = HeldQuestion {
            turns: turns.into(),
        };
        let text = serde_json::to_vec(&question).expect("typed fields always encode as JSON");
        let req = Request::post(format!("{TURNS_PATH}{HELD_PATH}"));
        let answer = self.call(to, req, Body::from(text), timeout).await?;
        let refused = PeerError::Refused(answer.status);
        match answer.status {
            StatusCode::OK => {
                let parsed = serde_json::from_slice::<HeldTurns>(&answer.body);
                let held: HashSet<usize> = parsed.map_err(|_| refused)?.held.into_iter().collect();
                let known = (0..turns.len()).map(|n| held.contains(&n));
                Ok(Held::Known(known.collect()))
            }
            StatusCode::METHOD_NOT_ALLOWED => Ok(Held::Unsupported),
            _ => Err(refused),
        }
    }

    async fn call(
        &self,
        to: SocketAddr,
        req: http::request::Builder,
        body: Body,
        timeout: Duration,
    ) -> Result<Answer> {
        let req = req
            .header(header::HOST, to.to_string())
            .body(body)
            .expect("names of hosts and hex digits are valid in a URL");
        let exchange = async {
            let response = self.client.send(to, req, timeout).await?;
            let (head, body) = response.into_parts();
            let (body, memory) =
                BufferedBody::read_contiguous(body, &self.memory, MAX_BODY_BYTES).await?;
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body,
                memory,
            })
        };
        let expire = async {
            Timer::after(timeout).await;
            Err(PeerError::Timeout(timeout))
        };
        let result = future::or(exchange, expire).await;
        if matches!(result, Err(PeerError::Timeout(_) | PeerError::Client(_))) {
            // The idle connections may carry nothing any more, either.
            self.client.close_idle(to);
        }
        result
    }
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
