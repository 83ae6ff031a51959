//! Dispatches a call: sends it to endpoints until one of them answers.

use std::sync::Arc;
use std::time::Duration;

use chicoryarch_net::Body;
use http::Response;
use hyper::body::Incoming;
use serde::Serialize;

use super::answer;
use super::attempt;
use super::attempt::AttemptResult;
use super::attempt::Call;
use super::attempt::NotRunCause;
use super::attempt::PlacementGuard;
use super::choice;
use super::choice::Choice;
use super::choice::NoChoice;
use super::context::Cx;
use super::context::Gateway;
use super::crashes;
use super::crashes::Progress;
use super::directory::Endpoint;
use super::lines;
use super::placing::AttemptEnd;
use super::refusal::Outcome;
use super::refusal::Refusal;
use super::refusal::Result;
use super::relay;
use super::reservation::Reservation;
use super::routes::RouteKind;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::protection::fingerprint::Fingerprint;
use crate::units::Moment;

/// Number of refusals by endpoints after which a call is refused.
const MAX_REFUSALS: usize = 6;
/// Retry time sent to callers when no endpoint has room or no time is left for
/// a first attempt.
const NO_CAPACITY_RETRY: Duration = Duration::from_millis(400);
/// Retry time sent to callers when the service has no usable endpoint.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(800);
/// Timeout of an attempt that may be repeated, as a multiple of the route's
/// target latency.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 1.5;
/// No attempt is made with less time left than this.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct AttemptLine<'a> {
    request: &'a str,
    service: &'a str,
    endpoint: &'a str,
    version: &'a str,
    attempt: usize,
    outcome: &'a str,
    why: &'a str,
    /// Host through which the call was sent.
    via: Option<&'a HostId>,
    /// Hash of path, caller and body; `None` if the call did not run.
    fingerprint: Option<Fingerprint>,
    left_ms: u128,
}

/// Endpoints that have been sent the call so far.
#[derive(Debug, Default)]
struct Attempts {
    /// Ids of the endpoints that did not run the call.
    refused: Vec<Box<str>>,
    /// Endpoints that may have run the call.
    ran: Vec<Arc<Endpoint>>,
    /// Whether the last attempt was lost on the way to or from its endpoint,
    /// which may be sound.
    is_lost_on_way: bool,
}

impl Attempts {
    fn runs(&self) -> u32 {
        u32::try_from(self.ran.len()).unwrap_or(u32::MAX)
    }

    /// The only endpoint that may still run the call, once as many have as may.
    fn only(&self, max_runs: u32) -> Option<&str> {
        let last = self.ran.last()?;
        (self.runs() >= max_runs).then_some(&*last.id)
    }

    fn ids(&self) -> Vec<Box<str>> {
        self.refused.iter().cloned().chain(self.ran_ids()).collect()
    }

    fn ran_ids(&self) -> Vec<Box<str>> {
        let ran = self.ran.iter().map(|endpoint| endpoint.id.clone());
        ran.collect()
    }
}

/// Runs a call and returns its answer.
///
/// # Errors
///
/// Returns a refusal, whose outcome shows whether the call may have run.
pub async fn run<P: Platform>(
    cx: &Cx<P>,
    call: Arc<Call>,
    reservation: Option<Reservation<P>>,
) -> Result<Response<Body>> {
    let mut attempts = Attempts::default();
    loop {
        check_deadline(&call, &attempts)?;
        attempts.is_lost_on_way = false;
        let mut placement = choose_endpoint(cx, &call, &attempts).await?;
        let deadline = attempt_deadline(&call, &attempts);
        let result =
            attempt::send(cx, &call, &mut placement, call.meta.resume_after, deadline).await;
        let why = match result {
            AttemptResult::Answered(response) => {
                match receive_answer(cx, &call, placement, *response).await {
                    ReceivedAnswer::Complete(response) => return Ok(response),
                    ReceivedAnswer::Stream(open) => {
                        lines::report(cx, &call, &open.placement.endpoint().id);
                        return Ok(relay::start(
                            cx,
                            call,
                            open,
                            attempts.ran_ids(),
                            reservation,
                        ));
                    }
                    ReceivedAnswer::Broken { why, endpoint } => {
                        crashes::record_lost(cx, &call, &endpoint, Progress::Nothing).await;
                        attempts.ran.push(endpoint);
                        why
                    }
                }
            }
            AttemptResult::NotRun { why, cause } => {
                log_attempt(cx, &call, &placement, &attempts, "not-run", &why);
                attempts.refused.push(placement.endpoint().id.clone());
                placement.end(cause.evidence());
                if cause == NotRunCause::NoPath && attempts.ran.is_empty() {
                    return Err(Refusal::not_run(why, NO_CAPACITY_RETRY));
                }
                if attempts.refused.len() >= MAX_REFUSALS {
                    return Err(refusal_after(&attempts, &why));
                }
                continue;
            }
            AttemptResult::TimedOut => {
                log_attempt(cx, &call, &placement, &attempts, "timed-out", "");
                let size = placement.call_size(&call);
                attempts.ran.push(Arc::clone(placement.endpoint()));
                placement.end(AttemptEnd::Errored);
                if !may_repeat(&call, &attempts) || is_out_of_time(&call) {
                    if let Some(size) = size {
                        cx.metrics.count_no_first_event(size);
                    }
                    return Err(Refusal::new(Outcome::TimedOut, "no answer in time"));
                }
                "no answer in time".to_owned()
            }
            AttemptResult::Unknown { why, evidence } => {
                log_attempt(cx, &call, &placement, &attempts, "unknown", &why);
                let endpoint = Arc::clone(placement.endpoint());
                placement.end(evidence);
                attempts.is_lost_on_way = evidence == AttemptEnd::Abandoned;
                if !attempts.is_lost_on_way {
                    crashes::record_lost(cx, &call, &endpoint, Progress::Nothing).await;
                }
                attempts.ran.push(endpoint);
                why
            }
        };
        if !may_repeat(&call, &attempts) || crashes::is_barred(cx, &call) {
            return Err(Refusal::new(Outcome::UnknownResult, why));
        }
        cx.metrics.retries.inc();
    }
}

/// Deadline of the next attempt. Attempts of a repeatable call other than the
/// last have a timeout of their own, so that time remains for another endpoint.
fn attempt_deadline(call: &Call, attempts: &Attempts) -> Moment {
    let is_last = attempts.ran.len() + 1 >= usize::try_from(call.route.max_runs).unwrap_or(1);
    if call.route.kind != RouteKind::Idempotent || is_last {
        return call.deadline;
    }
    let timeout = call.route.objective.mul_f64(ATTEMPT_TIMEOUT_FACTOR);
    call.deadline.min(Moment::now() + timeout)
}

fn is_out_of_time(call: &Call) -> bool {
    Moment::now() + MIN_ATTEMPT_TIME >= call.deadline
}

fn check_deadline(call: &Call, attempts: &Attempts) -> Result<()> {
    if !is_out_of_time(call) {
        return Ok(());
    }
    if attempts.ran.is_empty() {
        return Err(Refusal::not_run("no time is left", NO_CAPACITY_RETRY));
    }
    Err(Refusal::new(Outcome::TimedOut, "no time is left"))
}

/// Whether a call without an answer to its last attempt may run again. One that
/// was lost on the way may run once more at the same endpoint.
fn may_repeat(call: &Call, attempts: &Attempts) -> bool {
    let max_runs = call.route.max_runs + u32::from(attempts.is_lost_on_way);
    call.route.kind.is_repeatable() && attempts.runs() < max_runs
}

fn refusal_after(attempts: &Attempts, why: &str) -> Refusal {
    if attempts.ran.is_empty() {
        return Refusal::not_run(format!("no endpoint has room: {why}"), NO_CAPACITY_RETRY);
    }
    Refusal::new(Outcome::UnknownResult, "an earlier attempt may have run")
}

async fn choose_endpoint<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    attempts: &Attempts,
) -> Result<PlacementGuard> {
    let ids = attempts.ids();
    let others = Choice {
        excluded: &ids,
        only: attempts.only(call.route.max_runs),
        ..Choice::of(call)
    };
    let none = match choice::place(cx, call, others).await {
        Ok(placement) => return Ok(placement),
        Err(none) => none,
    };
    let Some(last) = attempts.ran.last() else {
        return Err(no_endpoint(call, &none));
    };
    // No other endpoint is left; a repeatable call may use the same one again.
    let again = Choice {
        only: Some(&last.id),
        ..Choice::of(call)
    };
    let placement = choice::place(cx, call, again).await;
    placement.map_err(|_| Refusal::new(Outcome::UnknownResult, "no other endpoint takes work"))
}

fn no_endpoint(call: &Call, none: &NoChoice) -> Refusal {
    match none {
        NoChoice::NoEndpoint => {
            let within = match call.homes.is_anywhere() {
                true => String::new(),
                false => format!(" in the allowed regions ({})", call.homes),
            };
            let detail = format!("no endpoint of service {}{within} takes work", call.service);
            Refusal::not_run(detail, NO_ENDPOINT_RETRY)
        }
        NoChoice::NoMemory => {
            let detail = format!("the memory of service {}'s engines is full", call.service);
            Refusal::not_run(detail, NO_CAPACITY_RETRY)
        }
        NoChoice::AtLimit {
            endpoint,
            per_s,
            wait,
        } => {
            let detail = format!(
                "the endpoints of service {} are at their limits, {endpoint} of {per_s} a second",
                call.service
            );
            Refusal::not_run(detail, *wait)
        }
    }
}

fn log_attempt<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    placement: &PlacementGuard,
    attempts: &Attempts,
    outcome: &str,
    why: &str,
) {
    let line = AttemptLine {
        request: &call.meta.id,
        service: &call.service,
        endpoint: &placement.endpoint().id,
        version: &placement.endpoint().version,
        attempt: attempts.refused.len() + attempts.ran.len() + 1,
        outcome,
        why,
        via: placement.via(),
        fingerprint: (outcome != "not-run").then(|| call.fingerprint()),
        left_ms: Moment::now().until(call.deadline).as_millis(),
    };
    cx.log.request("attempt-failed", &line);
}

/// Result of receiving the body of an endpoint's answer.
enum ReceivedAnswer {
    /// A complete answer.
    Complete(Response<Body>),
    /// The head of a stream, whose events are still to come.
    Stream(relay::OpenStream),
    /// The connection broke before the answer was complete. Nothing of it was
    /// sent to the caller.
    Broken {
        why: String,
        endpoint: Arc<Endpoint>,
    },
}

async fn receive_answer<P: Platform>(
    cx: &Gateway<P>,
    call: &Call,
    placement: PlacementGuard,
    response: Response<Incoming>,
) -> ReceivedAnswer {
    let (head, body) = response.into_parts();
    let is_stream = matches!(call.route.kind, RouteKind::Stream { .. });
    if is_stream && head.status.is_success() {
        return ReceivedAnswer::Stream(relay::OpenStream {
            head,
            body,
            placement,
        });
    }
    let limit = answer::MAX_BUFFERED_BYTES;
    match attempt::read_body(&cx.answer_memory, body, limit, call.deadline).await {
        Ok(body) => {
            let ended = match head.status.is_server_error() {
                true => AttemptEnd::Errored,
                false => AttemptEnd::Answered,
            };
            answer::log_answered(cx, call, &placement, head.status);
            crashes::record_answer(cx, call);
            placement.end(ended);
            ReceivedAnswer::Complete(answer::build_response(&head, body))
        }
        Err(why) => {
            let endpoint = Arc::clone(placement.endpoint());
            let evidence = placement.broken_evidence();
            placement.end(evidence);
            ReceivedAnswer::Broken { why, endpoint }
        }
    }
}
