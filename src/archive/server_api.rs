//! HTTP calls of the storage: hosts store and read turns, and archive hosts read
//! the records that a host without its disk should hold.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::body::BodyError;
use chicoryarch_net::buffered::BufferedBody;
use chicoryarch_net::buffered::ReservedBytes;
use chicoryarch_net::server;
use chicoryarch_net::server::Handler;
use futures_lite::future;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

use super::Storage;
use super::index::Link;
use super::reader::ReadError;
use super::reader::Reader;
use super::writer::Received;
use super::writer::Stored;
use crate::ids::HostId;
use crate::process::events::unix_ms;
use crate::turns::TurnKey;
use crate::turns::record::MAX_FRAME_BYTES;

/// Path of the calls.
pub const TURNS_PATH: &str = "/turns";
/// Path of the question which turns are stored, below [`TURNS_PATH`].
pub const HELD_PATH: &str = "/held";
/// Largest question, in bytes.
const MAX_QUESTION_BYTES: usize = 1 << 20;
/// Header with the cursor of the next page.
pub const NEXT_HEADER: &str = "next";
/// Header of a page, and of an answer about a turn without its text, that tells for
/// how long the host has held everything that it acknowledged, in milliseconds.
pub const WHOLE_FOR_HEADER: &str = "whole-for-ms";
/// Size of a page, in bytes; a single larger record is sent alone.
pub const MAX_PAGE_BYTES: u64 = 1 << 20;
/// Largest body of a request, in bytes: the largest frame with its length and
/// checksum.
pub const MAX_BODY_BYTES: usize = MAX_FRAME_BYTES + 8;
/// Time within which a request's body must arrive. A sender gives up long
/// before, and its body takes memory until then.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Announcement of the time for which an idle connection is kept, so that no
/// request crosses its close.
const KEEP_ALIVE: &str = "timeout=15";
/// Time after which an idle connection is closed; longer than announced.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Answer to a body with records whose previous turns are not stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MissingTurns {
    /// Keys of the turns that are not stored.
    pub missing: Vec<TurnKey>,
}

/// Question which of some turns are stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldQuestion {
    /// Keys of the turns.
    pub turns: Vec<TurnKey>,
}

/// Answer to a [`HeldQuestion`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldTurns {
    /// Numbers of the turns that are stored, counted from 0 in the question.
    pub held: Vec<usize>,
}

/// Answer if a turn is not stored.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AbsentTurn {
    /// For how long the host has held everything that it acknowledged, in
    /// milliseconds.
    pub whole_for_ms: u64,
}

#[derive(Serialize)]
struct UnreadableLine {
    why: String,
}

/// Serves the calls.
#[derive(Clone, Debug)]
pub struct TurnsHandler(pub Arc<Storage>);

impl Handler for TurnsHandler {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        let mut response = self.answer(req).await;
        let idle = HeaderValue::from_static(KEEP_ALIVE);
        response.headers_mut().insert("keep-alive", idle);
        response
    }
}

impl TurnsHandler {
    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(rest) = req.uri().path().strip_prefix(TURNS_PATH) else {
            return empty(StatusCode::NOT_FOUND);
        };
        match (req.method(), rest) {
            (&Method::POST, "") => self.store(req).await,
            (&Method::POST, HELD_PATH) => self.held(req).await,
            (&Method::GET, "") => self.page(req.uri().query().unwrap_or_default()).await,
            (&Method::HEAD, path) => self.has(path.strip_prefix('/').unwrap_or_default()),
            (&Method::GET, path) => self.read(path.strip_prefix('/').unwrap_or_default()).await,
            _ => empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn store(&self, req: Request<Incoming>) -> Response<Body> {
        let (body, memory) = match self.receive(req, MAX_BODY_BYTES).await {
            Ok(received) => received,
            Err(status) => return empty(status),
        };
        // A skipped record would not be stored, so that the body is refused.
        let Ok((records, 0)) = Received::decode_all(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        if self.0.shared.is_draining() {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        match self.0.writer.store(records, Some(memory)).await {
            Stored::Full => empty(StatusCode::SERVICE_UNAVAILABLE),
            Stored::Except(missing) if missing.is_empty() => empty(StatusCode::OK),
            Stored::Except(missing) => json(StatusCode::CONFLICT, &MissingTurns { missing }),
        }
    }

    /// Receives the body of a request; otherwise returns the status to refuse it
    /// with.
    async fn receive(
        &self,
        req: Request<Incoming>,
        max_bytes: usize,
    ) -> Result<(Bytes, ReservedBytes), StatusCode> {
        let (head, body) = req.into_parts();
        let receiving = server::receive_body(&head.extensions);
        let read = BufferedBody::read_contiguous(body, &self.0.shared.memory, max_bytes);
        let expire = async {
            Timer::after(BODY_TIMEOUT).await;
            Err(BodyError::TooSlow {
                received: 0,
                limit: BODY_TIMEOUT,
            })
        };
        let received = future::or(read, expire).await;
        drop(receiving);
        received.map_err(|e| match e {
            BodyError::MemoryFull(_) => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        })
    }

    /// Tells which of some turns are stored.
    async fn held(&self, req: Request<Incoming>) -> Response<Body> {
        let (body, _memory) = match self.receive(req, MAX_QUESTION_BYTES).await {
            Ok(received) => received,
            Err(status) => return empty(status),
        };
        let Ok(question) = serde_json::from_slice::<HeldQuestion>(&body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let now_ms = unix_ms();
        let index = self.0.shared.index.lock();
        let turns = question.turns.iter().enumerate();
        let held = turns.filter(|(_, key)| index.is_live(key, now_ms));
        let held = held.map(|(n, _)| n).collect();
        json(StatusCode::OK, &HeldTurns { held })
    }

    /// Tells whether a turn is stored, without its text.
    fn has(&self, path: &str) -> Response<Body> {
        let Some(key) = TurnKey::from_path(path) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let is_stored = self.0.shared.index.lock().is_live(&key, unix_ms());
        let mut response = empty(match is_stored {
            true => StatusCode::OK,
            false => StatusCode::NOT_FOUND,
        });
        let whole_for = HeaderValue::from(self.0.shared.whole_for_ms());
        response.headers_mut().insert(WHOLE_FOR_HEADER, whole_for);
        response
    }

    async fn read(&self, path: &str) -> Response<Body> {
        let Some(key) = TurnKey::from_path(path) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        loop {
            let chain = self.0.shared.index.lock().chain(&key, unix_ms());
            let Some(chain) = chain else {
                self.0.shared.counters.add_read(false);
                let whole_for_ms = self.0.shared.whole_for_ms();
                return json(StatusCode::NOT_FOUND, &AbsentTurn { whole_for_ms });
            };
            match self.frames(&self.0.reader, vec![chain]).await {
                // Its segment was deleted meanwhile, after its records had expired
                // or were copied.
                Err(ReadError::Moved) => {}
                answer => {
                    self.0.shared.counters.add_read(answer.is_ok());
                    return answer.unwrap_or_else(|e| self.report(&e));
                }
            }
        }
    }

    async fn page(&self, query: &str) -> Response<Body> {
        let Some(query) = PageQuery::parse(query) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let (response, next) = loop {
            let page = {
                let index = self.0.shared.index.lock();
                let (holder, skip) = (&query.holder, &query.skip[..]);
                index.page(holder, skip, query.after, MAX_PAGE_BYTES, unix_ms())
            };
            match self.frames(&self.0.bulk_reader, page.chains).await {
                Err(ReadError::Moved) => {}
                answer => break (answer, page.next),
            }
        };
        let mut response = match response {
            Ok(response) => response,
            Err(e) => return self.report(&e),
        };
        let headers = response.headers_mut();
        headers.insert(
            WHOLE_FOR_HEADER,
            HeaderValue::from(self.0.shared.whole_for_ms()),
        );
        if let Some(next) = next {
            headers.insert(NEXT_HEADER, HeaderValue::from(next));
        }
        response
    }

    async fn frames(
        &self,
        reader: &Reader,
        chains: Vec<Vec<Link>>,
    ) -> Result<Response<Body>, ReadError> {
        let size: u64 = chains.iter().flatten().map(|link| link.at.bytes).sum();
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        let memory = self.0.shared.memory.reserve_relieved(size).await;
        let memory = memory.map_err(|_| ReadError::MemoryFull)?;
        let frames = reader.frames(chains).await?;
        Ok(Response::new(BufferedBody::new(frames, memory).into()))
    }

    /// Logs why turns cannot be returned, and answers so.
    fn report(&self, error: &ReadError) -> Response<Body> {
        let why = error.to_string();
        self.0
            .log
            .request("turn-unreadable", &UnreadableLine { why });
        match error {
            ReadError::TooLarge => empty(StatusCode::PAYLOAD_TOO_LARGE),
            ReadError::Damaged => {
                self.0.shared.note_damage();
                empty(StatusCode::SERVICE_UNAVAILABLE)
            }
            ReadError::Io(_) | ReadError::MemoryFull | ReadError::Moved => {
                empty(StatusCode::SERVICE_UNAVAILABLE)
            }
        }
    }
}

/// Query of a page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PageQuery {
    /// Host whose records are asked for.
    pub holder: HostId,
    /// Cursor from which the page begins.
    pub after: u64,
    /// Hosts that send their records themselves, so that these are left out.
    pub skip: Vec<HostId>,
}

impl PageQuery {
    /// Parses the query of a URL; `None` if it is not valid.
    pub fn parse(query: &str) -> Option<Self> {
        let mut holder = None;
        let mut after = 0;
        let mut skip = Vec::new();
        for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match name {
                "holder" => holder = Some(value.parse().ok()?),
                "after" => after = value.parse().ok()?,
                "skip" if !value.is_empty() => {
                    let hosts = value.split(',').map(|host| host.parse().ok());
                    skip = hosts.collect::<Option<_>>()?;
                }
                _ => {}
            }
        }
        Some(Self {
            holder: holder?,
            after,
            skip,
        })
    }
}

fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("typed fields always encode as JSON");
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
