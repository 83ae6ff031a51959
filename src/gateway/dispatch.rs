//! Takes a call to endpoints until one has answered it.

use std::sync::Arc;
use std::time::Duration;

use chicoryarch_net::Body;
use http::Response;
use hyper::body::Incoming;
use serde::Serialize;

use super::answer;
use super::attempt;
use super::attempt::Attempted;
use super::attempt::Call;
use super::attempt::Place;
use super::context::Cx;
use super::context::Gateway;
use super::directory::Endpoint;
use super::placing::Ended;
use super::placing::Want;
use super::refusal::Outcome;
use super::refusal::Refusal;
use super::refusal::Result;
use super::relay;
use super::reservation::Reservation;
use super::routes::RouteKind;
use crate::connection::platform::Platform;
use crate::units::Moment;

/// Endpoints that may refuse a call before it is given up.
const MAX_REFUSED: usize = 6;
/// Time to come back when no endpoint has room.
const FULL_RETRY: Duration = Duration::from_millis(400);
/// Time to come back when no endpoint is known.
const ABSENT_RETRY: Duration = Duration::from_millis(800);
/// Time that an endpoint is given for a call that may be repeated, as a part of
/// the call's objective.
const PATIENCE: f64 = 1.5;
/// Time below which no further attempt is made.
const MIN_ATTEMPT: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct AttemptLine<'a> {
    request: &'a str,
    service: &'a str,
    endpoint: &'a str,
    attempt: usize,
    outcome: &'a str,
    why: &'a str,
    left_ms: u128,
}

/// Endpoints that a call was sent to so far.
#[derive(Debug, Default)]
struct Tried {
    /// Endpoints that did not run it.
    refused: Vec<Box<str>>,
    /// Endpoints that may have run it.
    ran: Vec<Arc<Endpoint>>,
}

impl Tried {
    fn ids(&self) -> Vec<Box<str>> {
        let ran = self.ran.iter().map(|endpoint| endpoint.id.clone());
        self.refused.iter().cloned().chain(ran).collect()
    }
}

/// Runs a call and gives its answer.
///
/// # Errors
///
/// A refusal that says whether the call may have run.
pub async fn run<P: Platform>(
    cx: &Cx<P>,
    call: Arc<Call>,
    reservation: Option<Reservation<P>>,
) -> Result<Response<Body>> {
    let mut tried = Tried::default();
    loop {
        check_time(&call, &tried)?;
        let place = choose(cx, &call, &tried)?;
        let limit = attempt_limit(&call, &tried);
        let sent = attempt::send(cx, &call, &place, call.meta.resume_after, limit).await;
        let why = match sent {
            Attempted::Answered(response) => match receive(cx, &call, place, *response).await {
                Received::Whole(response) => return Ok(response),
                Received::Stream(open) => {
                    return Ok(relay::start(cx, call, open, reservation));
                }
                Received::Broken { why, endpoint } => {
                    tried.ran.push(endpoint);
                    why
                }
            },
            Attempted::NotRun { why, is_full } => {
                log_attempt(cx, &call, &place, &tried, "not-run", &why);
                tried.refused.push(place.endpoint().id.clone());
                place.end(if is_full { Ended::Full } else { Ended::Failed });
                if tried.refused.len() >= MAX_REFUSED {
                    return Err(refused_everywhere(&tried, &why));
                }
                continue;
            }
            Attempted::TimedOut => {
                log_attempt(cx, &call, &place, &tried, "timed-out", "");
                tried.ran.push(Arc::clone(place.endpoint()));
                place.end(Ended::Errored);
                if !may_repeat(&call, &tried) || has_no_time(&call) {
                    return Err(Refusal::new(Outcome::TimedOut, "no answer in time"));
                }
                "no answer in time".to_owned()
            }
            Attempted::Unknown { why } => {
                log_attempt(cx, &call, &place, &tried, "unknown", &why);
                tried.ran.push(Arc::clone(place.endpoint()));
                place.end(Ended::Failed);
                why
            }
        };
        if !may_repeat(&call, &tried) {
            return Err(Refusal::new(Outcome::UnknownResult, why));
        }
        cx.metrics.retries.inc();
    }
}

/// When an attempt is given up. A call that may be repeated does not wait for
/// one endpoint until its own deadline.
fn attempt_limit(call: &Call, tried: &Tried) -> Moment {
    let is_last = tried.ran.len() + 1 >= usize::try_from(call.route.max_runs).unwrap_or(1);
    if call.route.kind != RouteKind::Idempotent || is_last {
        return call.deadline;
    }
    let patience = call.route.objective.mul_f64(PATIENCE);
    call.deadline.min(Moment::now() + patience)
}

fn has_no_time(call: &Call) -> bool {
    Moment::now() + MIN_ATTEMPT >= call.deadline
}

fn check_time(call: &Call, tried: &Tried) -> Result<()> {
    if !has_no_time(call) {
        return Ok(());
    }
    if tried.ran.is_empty() {
        return Err(Refusal::not_run("no time is left", FULL_RETRY));
    }
    Err(Refusal::new(Outcome::TimedOut, "no time is left"))
}

/// True if a call whose last attempt has no answer may run again.
fn may_repeat(call: &Call, tried: &Tried) -> bool {
    let runs = u32::try_from(tried.ran.len()).unwrap_or(u32::MAX);
    match call.route.kind {
        RouteKind::Idempotent => runs < call.route.max_runs,
        RouteKind::Once => false,
        RouteKind::Stream { resumable } => resumable && runs < call.route.max_runs,
    }
}

fn refused_everywhere(tried: &Tried, why: &str) -> Refusal {
    if tried.ran.is_empty() {
        return Refusal::not_run(format!("no endpoint has room: {why}"), FULL_RETRY);
    }
    Refusal::new(Outcome::UnknownResult, "an earlier attempt may have run")
}

fn choose<P: Platform>(cx: &Gateway<P>, call: &Call, tried: &Tried) -> Result<Place> {
    let ids = tried.ids();
    if let Some(place) = place_for(cx, call, &ids) {
        return Ok(place);
    }
    let Some(last) = tried.ran.last() else {
        let detail = format!("no endpoint of service {} takes work", call.service);
        return Err(Refusal::not_run(detail, ABSENT_RETRY));
    };
    // A call that may be repeated may run at the same endpoint again.
    place_among(cx, call, &[], Some(&last.id))
        .ok_or_else(|| Refusal::new(Outcome::UnknownResult, "no other endpoint takes work"))
}

/// Counts the rest of a broken stream at an endpoint.
///
/// A route that lets an attempt run on one endpoint only goes on at the same
/// one, unless that one has ended.
pub fn place_to_resume<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    broken_at: &str,
) -> Option<Place> {
    let pool = cx.pools.get(&call.service)?;
    let is_listed = pool.lock().has(broken_at);
    let only = (is_listed && call.route.max_runs < 2).then_some(broken_at);
    place_among(cx, call, &[], only)
}

/// Counts the call at the best endpoint that was not tried.
pub fn place_for<P: Platform>(cx: &Gateway<P>, call: &Call, tried: &[Box<str>]) -> Option<Place> {
    place_among(cx, call, tried, None)
}

fn place_among<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    tried: &[Box<str>],
    only: Option<&str>,
) -> Option<Place> {
    let pool = cx.pools.get(&call.service)?;
    let parts = call.meta.known_parts(call.route.is_sticky);
    let want = Want {
        parts: &parts,
        tried,
        only,
        stays: cx.is_isolated(),
    };
    let home = cx.cfg.place.data_centre.as_str();
    let chosen = pool.lock().choose(&want, home, Moment::now())?;
    Some(Place::new(pool, chosen))
}

fn log_attempt<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    place: &Place,
    tried: &Tried,
    outcome: &str,
    why: &str,
) {
    let line = AttemptLine {
        request: &call.meta.id,
        service: &call.service,
        endpoint: &place.endpoint().id,
        attempt: tried.refused.len() + tried.ran.len() + 1,
        outcome,
        why,
        left_ms: Moment::now().until(call.deadline).as_millis(),
    };
    cx.log.request("attempt-failed", &line);
}

/// An answer after its head.
enum Received {
    /// A complete answer.
    Whole(Response<Body>),
    /// A stream that has begun.
    Stream(relay::OpenStream),
    /// The answer broke off before the caller saw any of it.
    Broken {
        why: String,
        endpoint: Arc<Endpoint>,
    },
}

async fn receive<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    place: Place,
    response: Response<Incoming>,
) -> Received {
    let (head, body) = response.into_parts();
    let is_stream = matches!(call.route.kind, RouteKind::Stream { .. });
    if is_stream && head.status.is_success() {
        return Received::Stream(relay::OpenStream { head, body, place });
    }
    match attempt::read_whole(body, answer::MAX_WHOLE_BYTES, call.deadline).await {
        Ok(body) => {
            let ended = match head.status.is_server_error() {
                true => Ended::Errored,
                false => Ended::Answered,
            };
            answer::log_ended(cx, call, &place, head.status);
            place.end(ended);
            Received::Whole(answer::whole(&head, body))
        }
        Err(why) => {
            let endpoint = Arc::clone(place.endpoint());
            place.end(Ended::Failed);
            Received::Broken { why, endpoint }
        }
    }
}
