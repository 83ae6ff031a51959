//! Stand-in for an endpoint of the platform: a plain service, or an engine
//! that streams events.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use chicoryarch_net::Body;
use chicoryarch_net::Spawner;
use chicoryarch_net::body::BodySender;
use chicoryarch_net::server::Handler;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::listen::Listening;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const RESPONSE_SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const TENANT: HeaderName = HeaderName::from_static("tenant");
/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// What an endpoint does with requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// Events of a stream; 0 for a plain answer.
    pub events: u64,
    /// Time before a plain answer, and before each event.
    pub pause: Duration,
    /// Requests that run and whose connection then closes without an answer.
    pub lost_answers: u32,
    /// Streams that break off after an event and a half.
    pub broken_streams: u32,
    /// Requests that are refused as not run.
    pub refused: u32,
    /// Answers that carry the id of another request.
    pub foreign_answers: u32,
}

/// A request that an endpoint ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Customer that the request names.
    pub customer: Option<String>,
    /// Names of all its headers.
    pub headers: Vec<String>,
    /// Event after which it goes on.
    pub after: Option<u64>,
}

#[derive(Debug)]
struct State {
    id: String,
    behaviour: Behaviour,
    runs: Vec<Run>,
    sent_events: u64,
}

/// A running endpoint; clones share it.
#[derive(Clone, Debug)]
pub struct EndpointStandin {
    listening: Listening,
    state: Arc<Mutex<State>>,
}

impl EndpointStandin {
    /// Starts an endpoint; port 0 lets the kernel choose.
    ///
    /// # Errors
    ///
    /// What the operating system answered to the bind.
    pub async fn start(
        spawner: &Spawner,
        address: SocketAddr,
        id: &str,
        behaviour: Behaviour,
    ) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            behaviour,
            runs: Vec::new(),
            sent_events: 0,
        }));
        let api = Api {
            state: Arc::clone(&state),
            spawner: spawner.clone(),
        };
        let listening = Listening::start(spawner, address, api).await?;
        Ok(Self { listening, state })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.listening.addr()
    }

    /// Replaces what it does with requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().behaviour = behaviour;
    }

    /// Requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }

    /// Events that it sent in all streams.
    pub fn sent_events(&self) -> u64 {
        self.state.lock().sent_events
    }
}

#[derive(Clone)]
struct Api {
    state: Arc<Mutex<State>>,
    spawner: Spawner,
}

/// What becomes of one request.
enum Fate {
    Answered { is_foreign: bool },
    Broken,
    Lost,
    OtherEndpoint,
    Refused,
}

impl Handler for Api {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        let (head, body) = req.into_parts();
        // An endpoint reads what it is sent before it answers.
        let _received = Body::collect(body, MAX_BODY_BYTES).await;
        let (fate, behaviour) = self.decide(&head.headers);
        let id = text(&head.headers, &REQUEST_ID).unwrap_or_default();
        match fate {
            Fate::OtherEndpoint => status(StatusCode::MISDIRECTED_REQUEST),
            Fate::Refused => {
                let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
                let value = HeaderValue::from_static("1");
                response.headers_mut().insert(NOT_EXECUTED, value);
                response
            }
            Fate::Lost => {
                let (tx, body) = Body::channel(1);
                tx.fail("the answer is lost").await;
                let mut response = Response::new(body);
                // A body that fails before its first byte closes the connection.
                response
                    .headers_mut()
                    .insert(header::CONTENT_LENGTH, HeaderValue::from_static("5"));
                response
            }
            Fate::Answered { .. } | Fate::Broken if behaviour.events > 0 => {
                let (tx, body) = Body::channel(4);
                let after = text(&head.headers, &LAST_EVENT_ID).and_then(|t| t.parse().ok());
                let is_broken = matches!(fate, Fate::Broken);
                let state = Arc::clone(&self.state);
                let events = stream(state, tx, behaviour, after.unwrap_or(0), is_broken);
                self.spawner.detach(events);
                signed(Response::new(body), &id)
            }
            Fate::Broken | Fate::Answered { is_foreign: false } => {
                Timer::after(behaviour.pause).await;
                signed(Response::new(Body::from("done")), &id)
            }
            Fate::Answered { is_foreign: true } => {
                signed(Response::new(Body::from("other")), "another-request")
            }
        }
    }
}

impl Api {
    fn decide(&self, headers: &HeaderMap) -> (Fate, Behaviour) {
        let mut state = self.state.lock();
        let behaviour = state.behaviour;
        if text(headers, &EXPECT_INSTANCE).is_some_and(|id| id != state.id) {
            return (Fate::OtherEndpoint, behaviour);
        }
        let left = &mut state.behaviour;
        if take(&mut left.refused) {
            return (Fate::Refused, behaviour);
        }
        let fate = if take(&mut left.lost_answers) {
            Fate::Lost
        } else if take(&mut left.broken_streams) {
            Fate::Broken
        } else {
            let is_foreign = take(&mut left.foreign_answers);
            Fate::Answered { is_foreign }
        };
        let names = headers.keys().map(|name| name.as_str().to_owned());
        let run = Run {
            id: text(headers, &REQUEST_ID).unwrap_or_default(),
            customer: text(headers, &TENANT),
            headers: names.collect(),
            after: text(headers, &LAST_EVENT_ID).and_then(|t| t.parse().ok()),
        };
        state.runs.push(run);
        (fate, behaviour)
    }
}

fn take(left: &mut u32) -> bool {
    let is_left = *left > 0;
    *left = left.saturating_sub(1);
    is_left
}

async fn stream(
    state: Arc<Mutex<State>>,
    tx: BodySender,
    behaviour: Behaviour,
    after: u64,
    is_broken: bool,
) {
    for id in after + 1..=behaviour.events {
        Timer::after(behaviour.pause).await;
        if is_broken && id == after + 2 {
            let half = format!("id: {id}\nda");
            // The caller may be gone already.
            let _sent = tx.send(half.into()).await;
            tx.fail("the stream breaks off").await;
            return;
        }
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        if tx.send(event.into()).await.is_err() {
            return;
        }
        state.lock().sent_events += 1;
    }
    tx.finish().await;
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    headers.get(name)?.to_str().ok().map(ToOwned::to_owned)
}

fn signed(mut response: Response<Body>, id: &str) -> Response<Body> {
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, id);
    }
    headers.insert(RESPONSE_SIGNATURE, HeaderValue::from_static("standin.1"));
    response
}

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = code;
    response
}
