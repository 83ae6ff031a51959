//! Streams that are passed on event by event.
//!
//! Only whole events go to the caller, so that a stream that its engine breaks
//! off can go on after the last one, within the same answer.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
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
use super::attempt::Attempted;
use super::attempt::Call;
use super::attempt::Place;
use super::context::Cx;
use super::context::Gateway;
use super::dispatch;
use super::event_stream::Splitter;
use super::placing::Ended;
use super::reservation::Reservation;
use super::routes::RouteKind;
use crate::connection::platform::Platform;
use crate::platform::endpoints;
use crate::units::Moment;

/// Events that wait for a slow caller.
const WAITING_EVENTS: usize = 16;
/// Times that one answer goes on after a break.
const MAX_RESUMES: u32 = 2;
/// Time past a call's deadline after which its stream is broken off; the
/// engine stops by itself at the deadline.
const PAST_DEADLINE: Duration = Duration::from_millis(250);

/// A stream whose head has come from an engine.
#[derive(Debug)]
pub struct OpenStream {
    /// Head of the engine's answer.
    pub head: response::Parts,
    /// Its events.
    pub body: Incoming,
    /// The engine.
    pub place: Place,
}

#[derive(Serialize)]
struct StreamLine<'a> {
    request: &'a str,
    program: Option<&'a str>,
    line: Option<&'a str>,
    route: &'a str,
    endpoint: &'a str,
    events: u64,
    resumes: u32,
    first_ms: Option<u128>,
    spent_ms: u128,
    outcome: &'a str,
    why: &'a str,
}

/// Starts to pass a stream on and gives the head of the answer.
pub fn start<P: Platform>(
    cx: &Cx<P>,
    call: Arc<Call>,
    open: OpenStream,
    reservation: Option<Reservation<P>>,
) -> Response<Body> {
    let (tx, body) = Body::channel(WAITING_EVENTS);
    let mut headers = endpoints::answer_headers(&open.head);
    // The stream may go on at another engine, whose events differ in length.
    headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(body);
    *response.status_mut() = open.head.status;
    *response.headers_mut() = headers;
    let relay = Relay {
        tokens_per_event: tokens_per_event(cx, &call.service),
        cx: Arc::clone(cx),
        call,
        reservation,
        splitter: Splitter::default(),
        last_event: None,
        events: 0,
        resumes: 0,
        first: None,
    };
    cx.spawner.detach(relay.run(tx, open));
    response
}

fn tokens_per_event<P>(cx: &Gateway<P>, service: &str) -> u64 {
    let in_force = cx.in_force.load();
    let engine = in_force.table.service(service).and_then(|spec| spec.engine);
    engine.map_or(0, |engine| engine.tokens_per_event)
}

/// Why a stage of a stream ended.
enum End {
    /// The stream is whole.
    Whole,
    /// The engine broke it off.
    Broken(String),
    /// The caller has gone.
    CallerGone,
    /// The program's budget does not hold the next event.
    OverBudget,
    /// The call's time is up.
    TimedOut,
}

struct Relay<P: Platform> {
    cx: Cx<P>,
    call: Arc<Call>,
    reservation: Option<Reservation<P>>,
    /// Tokens that count against the budget with each event; 0 if the service
    /// generates none.
    tokens_per_event: u64,
    splitter: Splitter,
    last_event: Option<u64>,
    events: u64,
    resumes: u32,
    first: Option<Duration>,
}

impl<P: Platform> Relay<P> {
    async fn run(mut self, tx: BodySender, open: OpenStream) {
        let OpenStream {
            mut body,
            mut place,
            ..
        } = open;
        loop {
            let end = self.pass_on(&tx, body).await;
            match end {
                End::Whole => {
                    self.log(&place, "whole", "");
                    place.end(Ended::Answered);
                    tx.finish().await;
                    return;
                }
                End::CallerGone => {
                    self.log(&place, "caller-gone", "");
                    return;
                }
                End::OverBudget => {
                    self.log(&place, "over-budget", "");
                    tx.fail("the program's budget is spent").await;
                    return;
                }
                End::TimedOut => {
                    self.log(&place, "timed-out", "");
                    tx.fail("the call's time is up").await;
                    return;
                }
                End::Broken(why) => {
                    self.log(&place, "broken", &why);
                    let broken_at = place.endpoint().id.clone();
                    place.end(Ended::Failed);
                    match self.resume(&tx, &broken_at).await {
                        Some(next) => (body, place) = next,
                        None => {
                            tx.fail(why).await;
                            return;
                        }
                    }
                }
            }
        }
    }

    /// Passes one engine's events on until its stream ends.
    async fn pass_on(&mut self, tx: &BodySender, body: Incoming) -> End {
        let mut body = pin!(body);
        self.splitter.clear();
        loop {
            let left = Moment::now().until(self.call.deadline + PAST_DEADLINE);
            let frame = async { Step::Frame(body.as_mut().frame().await) };
            let gone = async {
                tx.reader_gone().await;
                Step::CallerGone
            };
            let expire = async {
                async_io::Timer::after(left).await;
                Step::TimedOut
            };
            match future::or(frame, future::or(gone, expire)).await {
                Step::CallerGone => return End::CallerGone,
                Step::TimedOut => return End::TimedOut,
                Step::Frame(Some(Err(e))) => return End::Broken(e.to_string()),
                Step::Frame(None) if self.splitter.is_partial() => {
                    return End::Broken("the stream ended within an event".to_owned());
                }
                Step::Frame(None) => return End::Whole,
                Step::Frame(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    if let Err(e) = self.splitter.feed(&bytes) {
                        return End::Broken(e.to_string());
                    }
                    if let Some(end) = self.send_events(tx).await {
                        return end;
                    }
                }
            }
        }
    }

    /// Sends whole events on; gives why the stream ends here, if it does.
    async fn send_events(&mut self, tx: &BodySender) -> Option<End> {
        while let Some(event) = self.splitter.next_event() {
            if event.id.is_some() && event.id <= self.last_event {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            if !self.count_event() {
                return Some(End::OverBudget);
            }
            if tx.send(event.bytes).await.is_err() {
                return Some(End::CallerGone);
            }
        }
        None
    }

    /// Counts an event against the program's budget; false if it does not fit.
    fn count_event(&mut self) -> bool {
        self.events += 1;
        self.first
            .get_or_insert_with(|| Moment::now().since(self.call.received));
        let tokens = self.tokens_per_event;
        let reservation = self.reservation.as_mut();
        reservation.is_none_or(|reservation| reservation.record_sent(tokens))
    }

    /// Opens the rest of the stream after the last event that was passed on.
    async fn resume(&mut self, tx: &BodySender, broken_at: &str) -> Option<(Incoming, Place)> {
        let resumable = matches!(self.call.route.kind, RouteKind::Stream { resumable: true });
        while resumable && self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let place = dispatch::place_to_resume(&self.cx, &self.call, broken_at)?;
            let after = self.last_event.or(self.call.meta.resume_after);
            let sent = attempt::send(&self.cx, &self.call, &place, after, self.call.deadline);
            let gone = async {
                tx.reader_gone().await;
                Attempted::TimedOut
            };
            match future::or(sent, gone).await {
                Attempted::Answered(response) if response.status().is_success() => {
                    self.cx.metrics.resumed.inc();
                    return Some((response.into_body(), place));
                }
                Attempted::TimedOut => return None,
                Attempted::NotRun { why, .. } | Attempted::Unknown { why } => {
                    self.log(&place, "not-resumed", &why);
                    place.end(Ended::Failed);
                }
                Attempted::Answered(response) => {
                    let why = format!("the endpoint answered {}", response.status());
                    self.log(&place, "not-resumed", &why);
                    place.end(Ended::Failed);
                }
            }
        }
        None
    }

    fn log(&self, place: &Place, outcome: &'static str, why: &str) {
        let Gateway { log, metrics, .. } = &*self.cx;
        let spent = Moment::now().since(self.call.received);
        let program = self.call.meta.program.as_ref();
        let line = StreamLine {
            request: &self.call.meta.id,
            program: program.map(|program| &*program.id),
            line: program.map(|program| &*program.line),
            route: &self.call.route.name,
            endpoint: &place.endpoint().id,
            events: self.events,
            resumes: self.resumes,
            first_ms: self.first.map(|first| first.as_millis()),
            spent_ms: spent.as_millis(),
            outcome,
            why,
        };
        log.request("stream-ended", &line);
        metrics.ended(outcome, spent);
    }
}

enum Step {
    CallerGone,
    Frame(Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>),
    TimedOut,
}
