//! Relays event streams from engines to callers.
//!
//! Only complete events are sent to the caller, so that a stream that breaks
//! at the engine can resume after the last event within the same answer.

use std::collections::HashSet;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use chicoryarch_net::Body;
use chicoryarch_net::body::BodySender;
use futures_lite::future;
use http::Response;
use http::header;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;

use super::attempt;
use super::attempt::AttemptResult;
use super::attempt::Call;
use super::attempt::NotRunCause;
use super::attempt::PlacementGuard;
use super::choice;
use super::choice::ResumeTarget;
use super::context::Cx;
use super::context::Gateway;
use super::crashes;
use super::crashes::Progress;
use super::directory::Endpoint;
use super::event_stream::Splitter;
use super::lines;
use super::origins;
use super::paths::MAX_CUT_OFF_SILENCE;
use super::placing::AttemptEnd;
use super::reservation::Reservation;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::platform::endpoints;
use crate::protection::fingerprint::Fingerprint;
use crate::turns::EndedTurn;
use crate::turns::Output;
use crate::units::Moment;

/// Number of chunks that are queued for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 4;
/// Largest chunk that holds several events, in bytes.
const MAX_CHUNK_BYTES: usize = 8 << 10;
/// Maximum number of times that one answer is resumed.
const MAX_RESUMES: u32 = 2;
/// Maximum number of engines that are asked to resume an answer.
const MAX_RESUME_ATTEMPTS: usize = 4;
/// Time after a call's deadline at which the gateway ends its stream. Engines
/// stop by themselves at the deadline.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// A stream whose head has been received from an engine.
#[derive(Debug)]
pub struct OpenStream {
    /// Head of the engine's answer.
    pub head: response::Parts,
    /// Body of the engine's answer: the events.
    pub body: Incoming,
    /// Counts the call at the engine.
    pub placement: PlacementGuard,
}

#[derive(Serialize)]
struct StreamLine<'a> {
    request: &'a str,
    program: Option<&'a str>,
    line: Option<&'a str>,
    route: &'a str,
    endpoint: &'a str,
    /// Host through which the call was sent.
    via: Option<&'a HostId>,
    version: &'a str,
    configuration: u64,
    configuration_age_ms: Option<u128>,
    /// Caller's attempt that the request resumes.
    resumed_attempt: Option<&'a str>,
    events: u64,
    /// Events that this engine made.
    engine_events: u64,
    /// Hash of path, caller and body, if the engine broke the stream off.
    fingerprint: Option<Fingerprint>,
    resumes: u32,
    first_ms: Option<u128>,
    spent_ms: u128,
    outcome: &'a str,
    why: &'a str,
}

/// Starts to relay a stream in the background and returns the answer for the
/// caller. `ran` names the endpoints that may have run the call before.
pub fn start<P: Platform>(
    cx: &Cx<P>,
    call: Arc<Call>,
    open: OpenStream,
    ran: Vec<Box<str>>,
    reservation: Option<Reservation<P>>,
) -> Response<Body> {
    let (tx, body) = Body::channel(MAX_QUEUED_CHUNKS);
    let mut headers = endpoints::answer_headers(&open.head);
    // The stream may resume at another engine, whose events differ in length.
    headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(body);
    *response.status_mut() = open.head.status;
    *response.headers_mut() = headers;
    let relay = Relay {
        output: call.turn.as_ref().map(|_| cx.turns.collect_output()),
        tokens_per_event: tokens_per_event(cx, &call.service),
        version: call.version.clone(),
        cx: Arc::clone(cx),
        call,
        reservation,
        splitter: Splitter::new(&cx.event_memory),
        last_event: None,
        events: 0,
        engine_events: 0,
        resumes: 0,
        ran: ran.into_iter().collect(),
        time_to_first_event: None,
    };
    cx.spawner.detach(relay.run(tx, open));
    response
}

fn tokens_per_event<P>(cx: &Gateway<P>, service: &str) -> u64 {
    let in_force = cx.in_force.load();
    let engine = in_force.table.service(service).and_then(|spec| spec.engine);
    engine.map_or(0, |engine| engine.tokens_per_event)
}

/// Why the relay of one engine's stream ended.
enum StreamEnd {
    /// The engine sent the complete stream.
    Complete,
    /// The stream broke before its end.
    Broken {
        why: String,
        /// Whether this host has lost its way to the engine, which may go on.
        is_path_lost: bool,
    },
    CallerDisconnected,
    /// The tokens reserved from the program's budget do not cover the next
    /// event.
    OverBudget,
    /// The call's deadline passed.
    TimedOut,
    /// The turn cannot be kept, so that the caller must not take it for complete.
    NotStorable {
        why: String,
    },
}

impl StreamEnd {
    fn broken(why: impl Into<String>) -> Self {
        Self::Broken {
            why: why.into(),
            is_path_lost: false,
        }
    }
}

struct Relay<P: Platform> {
    cx: Cx<P>,
    call: Arc<Call>,
    reservation: Option<Reservation<P>>,
    /// Tokens that each event charges to the budget; 0 if the service generates
    /// no tokens.
    tokens_per_event: u64,
    /// Version of the engine that made the first event of the stream; `None`
    /// before it.
    version: Option<Arc<str>>,
    /// Output of the turn, if it is kept.
    output: Option<Output>,
    splitter: Splitter,
    last_event: Option<u64>,
    events: u64,
    /// Events of the engine that makes the stream now.
    engine_events: u64,
    resumes: u32,
    /// Endpoints that may have run the call.
    ran: HashSet<Box<str>>,
    time_to_first_event: Option<Duration>,
}

impl<P: Platform> Relay<P> {
    async fn run(mut self, tx: BodySender, open: OpenStream) {
        let OpenStream {
            mut body,
            mut placement,
            ..
        } = open;
        loop {
            self.ran.insert(placement.endpoint().id.clone());
            let end = self.forward_events(&tx, body, &placement).await;
            match end {
                StreamEnd::Complete => {
                    crashes::record_answer(&self.cx, &self.call);
                    let ended = EndedAt::new(&placement);
                    if let Some(part) = self.call.retained_part(&self.cx, self.output_tokens()) {
                        placement.expect_cached(part);
                    }
                    placement.end(AttemptEnd::Answered);
                    match self.store_turn().await {
                        Ok(()) => {
                            self.log_at(&ended, "whole", "");
                            tx.finish().await;
                        }
                        Err(why) => {
                            self.log_at(&ended, "not-stored", &why);
                            tx.fail(why).await;
                        }
                    }
                    return;
                }
                StreamEnd::NotStorable { why } => {
                    self.log(&placement, "not-stored", &why);
                    tx.fail(why).await;
                    return;
                }
                StreamEnd::CallerDisconnected => {
                    self.log(&placement, "caller-gone", "");
                    return;
                }
                StreamEnd::OverBudget => {
                    self.log(&placement, "over-budget", "");
                    tx.fail("the program's budget is spent").await;
                    return;
                }
                StreamEnd::TimedOut => {
                    let size = placement.call_size(&self.call);
                    if let Some(size) = size.filter(|_| self.events == 0) {
                        self.cx.metrics.count_no_first_event(size);
                    }
                    self.log(&placement, "timed-out", "");
                    tx.fail("the call's time is up").await;
                    return;
                }
                StreamEnd::Broken { why, is_path_lost } => {
                    self.log(&placement, "broken", &why);
                    let endpoint = Arc::clone(placement.endpoint());
                    let evidence = placement.broken_evidence();
                    placement.end(evidence);
                    self.record_lost(&endpoint, is_path_lost).await;
                    match self.resume(&tx, &endpoint.id).await {
                        Some(next) => (body, placement) = next,
                        None => {
                            tx.fail(why).await;
                            return;
                        }
                    }
                }
            }
        }
    }

    /// Forwards the events of one engine until its stream ends.
    async fn forward_events(
        &mut self,
        tx: &BodySender,
        body: Incoming,
        placement: &PlacementGuard,
    ) -> StreamEnd {
        let mut body = pin!(body);
        let version = &placement.endpoint().version;
        self.engine_events = 0;
        self.splitter.clear();
        let deadline = self.call.deadline + DEADLINE_GRACE;
        loop {
            let left = Moment::now().until(deadline);
            let frame = async { StreamInput::Frame(body.as_mut().frame().await) };
            let disconnected = async {
                tx.wait_closed().await;
                StreamInput::CallerDisconnected
            };
            let expire = async {
                async_io::Timer::after(left).await;
                StreamInput::TimedOut
            };
            let path_lost = async {
                if !self.call.route.kind.is_repeatable() {
                    future::pending::<()>().await;
                }
                placement.path_lost(MAX_CUT_OFF_SILENCE).await;
                StreamInput::PathLost
            };
            let ended = future::or(disconnected, future::or(expire, path_lost));
            match future::or(frame, ended).await {
                StreamInput::PathLost => {
                    return StreamEnd::Broken {
                        why: "the host was cut off from the service".to_owned(),
                        is_path_lost: true,
                    };
                }
                StreamInput::CallerDisconnected => return StreamEnd::CallerDisconnected,
                StreamInput::TimedOut => return StreamEnd::TimedOut,
                StreamInput::Frame(Some(Err(e))) => return StreamEnd::broken(e.to_string()),
                StreamInput::Frame(None) if self.splitter.is_partial() => {
                    return StreamEnd::broken("the stream ended within an event");
                }
                StreamInput::Frame(None) => return StreamEnd::Complete,
                StreamInput::Frame(Some(Ok(frame))) => {
                    placement.record_heard();
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    if let Err(e) = self.splitter.feed(&bytes) {
                        return StreamEnd::broken(e.to_string());
                    }
                    let has_begun = self.engine_events > 0;
                    let end = self.send_events(tx, version, deadline).await;
                    if !has_begun && self.engine_events > 0 {
                        placement.record_begun();
                        self.count_first_event(placement);
                    }
                    if let Some(end) = end {
                        return end;
                    }
                }
            }
        }
    }

    /// Counts the first event of the answer by the size of the prompt, once.
    fn count_first_event(&self, placement: &PlacementGuard) {
        let is_first = self.events == self.engine_events;
        let size = placement.call_size(&self.call).filter(|_| is_first);
        if let (Some(size), Some(first)) = (size, self.time_to_first_event) {
            let objective = self.call.route.objective;
            let metrics = &self.cx.metrics;
            metrics.record_first_event(size, first, objective);
        }
    }

    /// Sends all complete events to the caller. Returns a reason if the stream
    /// must end.
    async fn send_events(
        &mut self,
        tx: &BodySender,
        version: &Arc<str>,
        deadline: Moment,
    ) -> Option<StreamEnd> {
        loop {
            let left = Moment::now().until(deadline);
            if left.is_zero() {
                return Some(StreamEnd::TimedOut);
            }
            let (chunk, end) = self.next_chunk(version);
            if chunk.is_empty() {
                return end;
            }
            let send = async {
                let sent = tx.send(chunk).await;
                sent.err().map(|_| StreamEnd::CallerDisconnected)
            };
            let expire = async {
                async_io::Timer::after(left).await;
                Some(StreamEnd::TimedOut)
            };
            let ended = future::or(send, expire).await;
            if ended.is_some() || end.is_some() {
                return ended.or(end);
            }
        }
    }

    /// Joins events that were received together, so that many small ones cost no
    /// more than a few large ones. Returns nothing if no event is complete, and
    /// a reason if the stream must end after these events.
    fn next_chunk(&mut self, version: &Arc<str>) -> (Bytes, Option<StreamEnd>) {
        let mut chunk = BytesMut::new();
        let mut reserved = None;
        while chunk.len() < MAX_CHUNK_BYTES {
            let Some(event) = self.splitter.next_event() else {
                break;
            };
            if event.id.is_some() && event.id <= self.last_event {
                continue;
            }
            if event.bytes.len() > MAX_CHUNK_BYTES {
                // Until it has been sent to the caller.
                let length = chunk.len() + event.bytes.len();
                match self.cx.event_memory.reserve(length) {
                    Ok(memory) => reserved = Some(memory),
                    Err(e) => return (chunk.freeze(), Some(StreamEnd::broken(e.to_string()))),
                }
            }
            if !event.is_blank && !self.record_event(event.id, version) {
                return (chunk.freeze(), Some(StreamEnd::OverBudget));
            }
            if let Err(why) = self.collect(&event.bytes) {
                return (chunk.freeze(), Some(StreamEnd::NotStorable { why }));
            }
            chunk.extend_from_slice(&event.bytes);
        }
        let chunk = chunk.freeze();
        let chunk = match reserved {
            Some(reserved) => reserved.hold(chunk),
            None => chunk,
        };
        (chunk, None)
    }

    /// Adds an event to the output of a kept turn.
    fn collect(&mut self, event: &[u8]) -> std::result::Result<(), String> {
        match &mut self.output {
            Some(output) => output.push_event(event).map_err(|e| e.to_string()),
            None => Ok(()),
        }
    }

    /// Tokens of the events so far.
    fn output_tokens(&self) -> u64 {
        self.events.saturating_mul(self.tokens_per_event)
    }

    /// Stores the turn of a complete stream, if it is kept.
    async fn store_turn(&self) -> std::result::Result<(), String> {
        let (Some(begun), Some(output)) = (&self.call.turn, &self.output) else {
            return Ok(());
        };
        let turn = EndedTurn {
            begun,
            body: &self.call.body,
            output,
            output_tokens: self.output_tokens(),
        };
        let stored = self.cx.turns.store(turn).await;
        stored.map(drop).map_err(|e| e.to_string())
    }

    /// Records an event and charges it to the program's budget; `false` if the
    /// turn's reservation is too small.
    fn record_event(&mut self, id: Option<u64>, version: &Arc<str>) -> bool {
        self.last_event = id.or(self.last_event);
        if self.events == 0 {
            let version = self.version.get_or_insert_with(|| Arc::clone(version));
            origins::report(&self.cx, &self.call, version);
        }
        self.events += 1;
        self.engine_events += 1;
        self.time_to_first_event
            .get_or_insert_with(|| Moment::now().since(self.call.received));
        let tokens = self.tokens_per_event;
        let reservation = self.reservation.as_mut();
        reservation.is_none_or(|reservation| reservation.record_sent(tokens))
    }

    /// Records that an engine broke the stream, in case its process has ended.
    async fn record_lost(&self, engine: &Arc<Endpoint>, is_path_lost: bool) {
        if self.engine_events == 0 {
            crashes::record_lost(&self.cx, &self.call, engine, Progress::Nothing).await;
        } else if is_path_lost {
            // Whether the engine has ended takes long to find out, and the stream
            // need not wait for it.
            let (cx, call, engine) = (
                Arc::clone(&self.cx),
                Arc::clone(&self.call),
                Arc::clone(engine),
            );
            self.cx.spawner.detach(async move {
                crashes::record_lost(&cx, &call, &engine, Progress::Events).await;
            });
        } else {
            crashes::record_lost(&self.cx, &self.call, engine, Progress::Events).await;
        }
    }

    /// Resumes the stream at an engine after the last event that was sent to
    /// the caller.
    async fn resume(
        &mut self,
        tx: &BodySender,
        failed_endpoint: &str,
    ) -> Option<(Incoming, PlacementGuard)> {
        let resumable = self.call.route.kind.is_repeatable();
        let mut gone = Vec::new();
        for _ in 0..MAX_RESUME_ATTEMPTS {
            let is_barred = crashes::is_barred(&self.cx, &self.call);
            if !resumable || is_barred || self.resumes >= MAX_RESUMES {
                return None;
            }
            let target = ResumeTarget {
                version: self.version.as_deref(),
                failed_endpoint,
                gone: &gone,
                runs: self.ran.iter().filter(|id| !gone.contains(*id)).count(),
            };
            let mut placement = choice::place_resume(&self.cx, &self.call, &target).await?;
            let after = self.last_event.or(self.call.meta.resume_after);
            let deadline = self.call.deadline;
            let result = attempt::send(&self.cx, &self.call, &mut placement, after, deadline);
            let disconnected = async {
                tx.wait_closed().await;
                AttemptResult::TimedOut
            };
            match future::or(result, disconnected).await {
                AttemptResult::Answered(response) if response.status().is_success() => {
                    self.resumes += 1;
                    self.cx.metrics.resumed.inc();
                    lines::report(&self.cx, &self.call, &placement.endpoint().id);
                    return Some((response.into_body(), placement));
                }
                AttemptResult::TimedOut => return None,
                AttemptResult::NotRun { why, cause } => {
                    self.log(&placement, "not-resumed", &why);
                    if cause == NotRunCause::Gone {
                        gone.push(placement.endpoint().id.clone());
                    } else {
                        self.resumes += 1;
                    }
                    placement.end(cause.evidence());
                }
                AttemptResult::Unknown { why, evidence } => {
                    self.resumes += 1;
                    self.log(&placement, "not-resumed", &why);
                    let endpoint = Arc::clone(placement.endpoint());
                    self.ran.insert(endpoint.id.clone());
                    placement.end(evidence);
                    if evidence == AttemptEnd::Failed {
                        crashes::record_lost(&self.cx, &self.call, &endpoint, Progress::Nothing)
                            .await;
                    }
                }
                AttemptResult::Answered(response) => {
                    self.resumes += 1;
                    let why = format!("the endpoint answered {}", response.status());
                    self.log(&placement, "not-resumed", &why);
                    placement.end(AttemptEnd::Failed);
                }
            }
        }
        None
    }

    fn log(&self, placement: &PlacementGuard, outcome: &'static str, why: &str) {
        self.log_at(&EndedAt::new(placement), outcome, why);
    }

    fn log_at(&self, ended: &EndedAt, outcome: &'static str, why: &str) {
        let Gateway { log, metrics, .. } = &*self.cx;
        let spent = Moment::now().since(self.call.received);
        let program = self.call.meta.program.as_ref();
        let line = StreamLine {
            request: &self.call.meta.id,
            program: program.map(|program| &*program.id),
            line: program.map(|program| &*program.session),
            route: &self.call.route.name,
            endpoint: &ended.endpoint.id,
            via: ended.via.as_ref(),
            version: &ended.endpoint.version,
            configuration: self.call.configuration,
            configuration_age_ms: self.cx.configuration_age_ms(),
            resumed_attempt: self.call.meta.resumed_attempt.as_deref(),
            events: self.events,
            engine_events: self.engine_events,
            fingerprint: (outcome == "broken").then(|| self.call.fingerprint()),
            resumes: self.resumes,
            first_ms: self.time_to_first_event.map(|first| first.as_millis()),
            spent_ms: spent.as_millis(),
            outcome,
            why,
        };
        log.request("stream-ended", &line);
        metrics.record_request(outcome, spent);
    }
}

/// Where the relay of one engine's stream ended, for the log.
struct EndedAt {
    endpoint: Arc<Endpoint>,
    via: Option<HostId>,
}

impl EndedAt {
    fn new(placement: &PlacementGuard) -> Self {
        Self {
            endpoint: Arc::clone(placement.endpoint()),
            via: placement.via().cloned(),
        }
    }
}

enum StreamInput {
    CallerDisconnected,
    Frame(Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>),
    PathLost,
    TimedOut,
}
