//! Stand-in for an endpoint of the platform: a plain service, or an engine that
//! streams events.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::Spawner;
use chicoryarch_net::body::BodySender;
use chicoryarch_net::server::Handler;
use futures_lite::future;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::listen::RunningServer;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const RESPONSE_SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
const TENANT: HeaderName = HeaderName::from_static("tenant");
/// Sent with the value `1` in all answers of an endpoint that is shutting down.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Requests a second that an endpoint in need takes from all callers together.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Remaining time, in milliseconds, for which an endpoint is cold.
const COLD_MS: HeaderName = HeaderName::from_static("cold-ms");
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Numbers that a faulty endpoint sends.
const ODD_NUMBERS: [&str; 10] = [
    "18446744073709551615",
    "9223372036854775807",
    "4294967295,4294967295,4294967295",
    "1e308",
    "-1",
    "99999999999999999999999999",
    "NaN",
    "inf",
    "0,0,0",
    // As a limit, it leaves no room for further calls.
    "5e-324",
];
/// Text in a request's body that ends the endpoint once it begins to run it.
pub const DEADLY: &str = "deadly";
/// Text in a request's body that ends the endpoint after the first event of its
/// stream.
pub const DEADLY_MIDWAY: &str = "fatal";
/// Time from the start of a deadly request to the end of the endpoint.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// Time after which connections break when the endpoint has ended; its listener
/// is closed by then.
const BREAK_DELAY: Duration = Duration::from_millis(10);
/// Maximum body size of a request, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Behaviour of an endpoint, including the faults it injects.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Number of events in a stream; 0 for an answer that is not a stream.
    pub events: u64,
    /// Size of an answer that is not a stream, in bytes; 0 for a short text.
    pub answer_bytes: usize,
    /// Delay before an answer that is not a stream, and before each event.
    pub pause: Duration,
    /// Number of upcoming requests that run and whose connection then closes
    /// without an answer.
    pub lost_answers: u32,
    /// Number of upcoming streams that break off in the middle of their second
    /// event.
    pub broken_streams: u32,
    /// Number of upcoming requests refused with 503 and `not-executed`.
    pub refused_requests: u32,
    /// Number of upcoming answers that carry another request's id.
    pub mismatched_answers: u32,
    /// Number of upcoming requests that run and are answered with 500.
    pub failed_requests: u32,
    /// Whether answers carry numbers out of range, another at each answer.
    pub odd_numbers: bool,
    /// Whether answers announce that the endpoint is shutting down.
    pub is_leaving: bool,
    /// Text by which all answers announce a limit of the requests a second;
    /// `None` for no limit. The endpoint itself does not enforce it.
    pub limit: Option<&'static str>,
    /// Time for which all answers announce that the endpoint is cold; `None` for no
    /// announcement. The endpoint itself enforces nothing.
    pub cold: Option<Duration>,
    /// Load that all answers report; `None` for no report. The endpoint itself
    /// has room for any.
    pub load: Option<&'static str>,
}

impl Behaviour {
    /// A short answer and no faults.
    pub const SOUND: Self = Self {
        events: 0,
        answer_bytes: 0,
        pause: Duration::ZERO,
        lost_answers: 0,
        broken_streams: 0,
        refused_requests: 0,
        mismatched_answers: 0,
        failed_requests: 0,
        odd_numbers: false,
        is_leaving: false,
        limit: None,
        cold: None,
        load: None,
    };
}

impl Default for Behaviour {
    fn default() -> Self {
        Self::SOUND
    }
}

/// A request executed by an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Value of the `request-id` header; empty if absent.
    pub id: String,
    /// Value of the `tenant` header.
    pub customer: Option<String>,
    /// Names of all request headers, in lower case.
    pub headers: Vec<String>,
    /// Event after which the stream resumes; `None` for a new stream.
    pub resume_after: Option<u64>,
    /// Time that is left for the request, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// Body of the request.
    pub body: Bytes,
}

#[derive(Debug)]
struct State {
    id: String,
    behaviour: Behaviour,
    runs: Vec<Run>,
    arrivals: Vec<Instant>,
    answers: u64,
    sent_events: u64,
    has_crashed: bool,
}

/// A running endpoint; clones refer to the same server.
#[derive(Clone, Debug)]
pub struct EndpointStandin {
    server: RunningServer,
    state: Arc<Mutex<State>>,
    crash_tx: Sender<()>,
}

impl EndpointStandin {
    /// Starts an endpoint; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding `address`.
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
            arrivals: Vec::new(),
            answers: 0,
            sent_events: 0,
            has_crashed: false,
        }));
        let (crash_tx, crash_rx) = async_channel::bounded(1);
        let api = Api {
            state: Arc::clone(&state),
            spawner: spawner.clone(),
            crash_tx: crash_tx.clone(),
            crash_rx: crash_rx.clone(),
        };
        let server = RunningServer::start(spawner, address, api).await?;
        let listener = server.clone();
        spawner.detach(async move {
            // The channel carries no items; `recv` returns when it is closed.
            let _closed = crash_rx.recv().await;
            listener.stop();
        });
        Ok(Self {
            server,
            state,
            crash_tx,
        })
    }

    /// Returns the listen address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops accepting connections; open ones close after their current request.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Ends the endpoint: it refuses connections and breaks the open ones.
    pub fn crash(&self) {
        self.state.lock().has_crashed = true;
        self.crash_tx.close();
    }

    /// Whether a request has ended the endpoint.
    pub fn has_crashed(&self) -> bool {
        self.state.lock().has_crashed
    }

    /// Replaces the behaviour, including the remaining fault counts.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().behaviour = behaviour;
    }

    /// Returns all executed requests, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }

    /// Returns when each request arrived, including those that were refused.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.lock().arrivals.clone()
    }

    /// Returns the number of answers, including refusals.
    pub fn answers(&self) -> u64 {
        self.state.lock().answers
    }

    /// Returns the number of complete events sent in all streams.
    pub fn sent_events(&self) -> u64 {
        self.state.lock().sent_events
    }
}

#[derive(Clone)]
struct Api {
    state: Arc<Mutex<State>>,
    spawner: Spawner,
    /// Closed when the endpoint ends.
    crash_tx: Sender<()>,
    crash_rx: Receiver<()>,
}

/// Outcome of a request.
enum Outcome {
    Answered { is_mismatched: bool },
    Broken,
    Failed,
    Lost,
    WrongInstance,
    Refused,
}

impl Handler for Api {
    async fn handle(&self, req: Request<Incoming>, _from: SocketAddr) -> Response<Body> {
        let (head, body) = req.into_parts();
        // Endpoints read the whole request before they answer.
        let received = Body::collect(body, MAX_BODY_BYTES).await;
        let body = received.unwrap_or_default();
        let (outcome, behaviour) = self.decide_outcome(&head.headers, &body);
        let is_run = !matches!(outcome, Outcome::WrongInstance | Outcome::Refused);
        if is_run && contains(&body, DEADLY) {
            Timer::after(CRASH_DELAY).await;
            self.crash();
            return self.crashed().await;
        }
        let answer = async {
            if is_run && contains(&body, DEADLY_MIDWAY) {
                return self.crash_midway(&head.headers);
            }
            self.answer(&head.headers, outcome, behaviour).await
        };
        let mut response = future::or(self.crashed(), answer).await;
        if behaviour.is_leaving {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert(SERVER_LEAVING, value);
        }
        if behaviour.odd_numbers {
            let before = self.state.lock().answers.saturating_sub(1);
            let before = usize::try_from(before).unwrap_or_default();
            let number = ODD_NUMBERS[before % ODD_NUMBERS.len()];
            for (name, before) in [
                (KEEP_ALIVE, "timeout="),
                (SERVER_LOAD, ""),
                (SERVER_LIMIT, ""),
            ] {
                let value = format!("{before}{number}");
                let value = HeaderValue::from_str(&value).expect("visible characters");
                response.headers_mut().insert(name, value);
            }
        }
        if let Some(load) = behaviour.load {
            let value = HeaderValue::from_static(load);
            response.headers_mut().insert(SERVER_LOAD, value);
        }
        if let Some(limit) = behaviour.limit {
            let value = HeaderValue::from_static(limit);
            response.headers_mut().insert(SERVER_LIMIT, value);
        }
        if let Some(cold) = behaviour.cold {
            let ms = u64::try_from(cold.as_millis()).unwrap_or(u64::MAX);
            response.headers_mut().insert(COLD_MS, ms.into());
        }
        response
    }
}

fn contains(body: &[u8], text: &str) -> bool {
    body.windows(text.len()).any(|part| part == text.as_bytes())
}

impl Api {
    fn crash(&self) {
        self.state.lock().has_crashed = true;
        self.crash_tx.close();
    }

    /// Begins a stream and ends the endpoint after its first event.
    fn crash_midway(&self, headers: &HeaderMap) -> Response<Body> {
        let id = header_text(headers, &REQUEST_ID).unwrap_or_default();
        let after = header_text(headers, &LAST_EVENT_ID).and_then(|t| t.parse::<u64>().ok());
        let event = after.unwrap_or(0) + 1;
        let (tx, body) = Body::channel(4);
        let api = self.clone();
        self.spawner.detach(async move {
            let event = format!("id: {event}\ndata: piece {event}\n\n");
            // The caller may have disconnected.
            let _sent = tx.send(event.into()).await;
            Timer::after(CRASH_DELAY).await;
            api.crash();
            Timer::after(BREAK_DELAY).await;
            tx.fail("the endpoint has crashed").await;
        });
        sign(Response::new(body), &id)
    }

    /// Waits until the endpoint has ended and breaks the connection.
    async fn crashed(&self) -> Response<Body> {
        let _closed = self.crash_rx.recv().await;
        Timer::after(BREAK_DELAY).await;
        broken_response("the endpoint has crashed").await
    }

    async fn answer(
        &self,
        headers: &HeaderMap,
        outcome: Outcome,
        behaviour: Behaviour,
    ) -> Response<Body> {
        let id = header_text(headers, &REQUEST_ID).unwrap_or_default();
        match outcome {
            Outcome::WrongInstance => empty_response(StatusCode::MISDIRECTED_REQUEST),
            Outcome::Refused => {
                let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
                let value = HeaderValue::from_static("1");
                response.headers_mut().insert(NOT_EXECUTED, value);
                response
            }
            Outcome::Lost => broken_response("answer dropped by the lost_answers fault").await,
            Outcome::Answered { .. } | Outcome::Broken if behaviour.events > 0 => {
                let (tx, body) = Body::channel(4);
                let after = header_text(headers, &LAST_EVENT_ID).and_then(|t| t.parse().ok());
                let is_broken = matches!(outcome, Outcome::Broken);
                let state = Arc::clone(&self.state);
                let events = send_events(state, tx, behaviour, after.unwrap_or(0), is_broken);
                self.spawner.detach(events);
                sign(Response::new(body), &id)
            }
            Outcome::Failed => {
                let mut response = sign(Response::new(Body::from("failed")), &id);
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            }
            Outcome::Broken
            | Outcome::Answered {
                is_mismatched: false,
            } => {
                Timer::after(behaviour.pause).await;
                let body = match behaviour.answer_bytes {
                    0 => Body::from("done"),
                    length => Body::from(vec![b'x'; length]),
                };
                sign(Response::new(body), &id)
            }
            Outcome::Answered {
                is_mismatched: true,
            } => sign(Response::new(Body::from("other")), "another-request"),
        }
    }

    fn decide_outcome(&self, headers: &HeaderMap, body: &Bytes) -> (Outcome, Behaviour) {
        let mut state = self.state.lock();
        state.answers += 1;
        state.arrivals.push(Instant::now());
        let behaviour = state.behaviour;
        if header_text(headers, &EXPECT_INSTANCE).is_some_and(|id| id != state.id) {
            return (Outcome::WrongInstance, behaviour);
        }
        let remaining = &mut state.behaviour;
        if consume_one(&mut remaining.refused_requests) {
            return (Outcome::Refused, behaviour);
        }
        let outcome = if consume_one(&mut remaining.lost_answers) {
            Outcome::Lost
        } else if consume_one(&mut remaining.broken_streams) {
            Outcome::Broken
        } else if consume_one(&mut remaining.failed_requests) {
            Outcome::Failed
        } else {
            let is_mismatched = consume_one(&mut remaining.mismatched_answers);
            Outcome::Answered { is_mismatched }
        };
        let names = headers.keys().map(|name| name.as_str().to_owned());
        let run = Run {
            id: header_text(headers, &REQUEST_ID).unwrap_or_default(),
            customer: header_text(headers, &TENANT),
            headers: names.collect(),
            resume_after: header_text(headers, &LAST_EVENT_ID).and_then(|t| t.parse().ok()),
            time_left_ms: header_text(headers, &DEADLINE_MS).and_then(|t| t.parse().ok()),
            body: body.clone(),
        };
        state.runs.push(run);
        (outcome, behaviour)
    }
}

fn consume_one(count: &mut u32) -> bool {
    let is_positive = *count > 0;
    *count = count.saturating_sub(1);
    is_positive
}

async fn send_events(
    state: Arc<Mutex<State>>,
    tx: BodySender,
    behaviour: Behaviour,
    after: u64,
    is_broken: bool,
) {
    for id in after + 1..=behaviour.events {
        Timer::after(behaviour.pause).await;
        if state.lock().has_crashed {
            tx.fail("the endpoint has crashed").await;
            return;
        }
        if is_broken && id == after + 2 {
            let half = format!("id: {id}\nda");
            // The caller may have disconnected.
            let _sent = tx.send(half.into()).await;
            tx.fail("stream broken off by the broken_streams fault")
                .await;
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

fn header_text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    headers.get(name)?.to_str().ok().map(ToOwned::to_owned)
}

fn sign(mut response: Response<Body>, id: &str) -> Response<Body> {
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, id);
    }
    headers.insert(RESPONSE_SIGNATURE, HeaderValue::from_static("standin.1"));
    response
}

/// Returns a response that closes its connection before its first byte.
async fn broken_response(why: &'static str) -> Response<Body> {
    let (tx, body) = Body::channel(1);
    tx.fail(why).await;
    let mut response = Response::new(body);
    let length = HeaderValue::from_static("5");
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length);
    response
}

fn empty_response(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = code;
    response
}
