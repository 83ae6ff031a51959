//! Calls that may run at most once: their outcome is recorded before it is
//! given, and they go on when their caller leaves.

use chicoryarch_net::Body;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use super::answer::Tail;
use super::call::Call;
use super::clearance::Clearance;
use super::dispatch::Placed;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use super::run::Cleared;
use super::run::Work;
use crate::connection::headers;
use crate::connection::platform::Platform;
use crate::process::placing::RunOutcome;
use crate::request::answer::Ended;
use crate::units::Moment;
use crate::units::Tokens;
use crate::version::journal::Digest;
use crate::version::journal::Durability;
use crate::version::journal::Finished;
use crate::version::journal::Once;
use crate::version::journal::Outcome;
use crate::version::journal::StoredAnswer;
use crate::version::objects::Service;

/// Largest answer of a once-only call, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Value of the durability header of an answer that is not yet recorded.
const PENDING: HeaderValue = HeaderValue::from_static("pending");
/// Value of the header that marks a stored answer.
const REPLAYED: HeaderValue = HeaderValue::from_static("true");

/// The key of a call that may run at most once.
///
/// A call that may not be repeated and has no idempotency key is named by its
/// position in its program; the space keeps such names apart from callers'.
pub fn key(call: &Call, service: &Service) -> Option<String> {
    match (&call.idempotency_key, &call.program, call.ordinal) {
        (Some(key), _, _) => Some(key.as_str().to_owned()),
        (None, Some(_), Some(ordinal)) if !service.repeatable => Some(format!("call {ordinal}")),
        _ => None,
    }
}

/// What names a call that may run at most once.
pub fn name<P: Platform>(work: &Work<P>) -> Option<Once> {
    let key = key(&work.call, &work.service)?;
    let body = Digest(work.call.digest());
    Some(Once { key, body })
}

/// Runs a once-only call, whether or not its caller stays.
///
/// # Errors
///
/// A refusal; `not-run` unless an endpoint may have run the call.
pub async fn run<P: Platform>(work: Work<P>, once: Once) -> Result<Response<Body>> {
    let (tx, rx) = async_channel::bounded(1);
    let spawner = work.cx.spawner.clone();
    spawner.detach(async move {
        let result = work.record(once).await;
        // The caller may have gone; the outcome is recorded all the same.
        let _gone = tx.send(result).await;
    });
    rx.recv().await.unwrap_or_else(|_| Err(lost()))
}

impl<P: Platform> Work<P> {
    async fn record(self, once: Once) -> Result<Response<Body>> {
        let clearance = match self.clear(Some(once)).await? {
            Cleared::Run(clearance) => clearance,
            Cleared::Replay(answer) => return Ok(response(answer, Some(REPLAYED), None)),
        };
        let placed = match self.attempts(&clearance).dispatch().await {
            Ok(placed) => placed,
            Err(refusal) => {
                clearance.refused(&self.cx, &refusal).await;
                return Err(refusal);
            }
        };
        self.collect(clearance, placed).await
    }

    async fn collect(self, clearance: Clearance, placed: Placed) -> Result<Response<Body>> {
        let _in_flight = self.cx.metrics.in_flight();
        let Placed { mut slot, response } = placed;
        let (head, upstream) = response.into_parts();
        let body = match Body::collect(upstream, MAX_ANSWER_BYTES).await {
            Ok(body) => body,
            Err(_) => {
                slot.finish(RunOutcome::Failed, Tokens(0));
                self.cx.metrics.broken();
                let refusal = lost();
                clearance.refused(&self.cx, &refusal).await;
                return Err(refusal);
            }
        };
        let mut tail = Tail::default();
        tail.push(&body);
        let worst = self.worst().unwrap_or_default();
        let cost = self.cost(Ended::Whole, tail.usage(), worst);
        slot.record_usage(tail.usage());
        slot.finish(RunOutcome::Answered, cost);
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let answer = StoredAnswer {
            status: head.status.as_u16(),
            content_type: content_type.and_then(|v| Some(v.to_str().ok()?.to_owned())),
            body: body.to_vec(),
        };
        let outcome = Outcome::Answered(answer.clone());
        let durability = clearance.finish(&self.cx, Finished { cost, outcome }).await;
        self.cx.metrics.answered(Moment::now().since(self.received));
        let pending = (durability != Durability::Durable).then_some(PENDING);
        Ok(self::response(answer, None, pending))
    }
}

fn response(
    answer: StoredAnswer,
    replayed: Option<HeaderValue>,
    pending: Option<HeaderValue>,
) -> Response<Body> {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let content_type = answer
        .content_type
        .and_then(|t| HeaderValue::try_from(t).ok());
    let fields = [
        (header::CONTENT_TYPE, content_type),
        (headers::REPLAYED, replayed),
        (headers::DURABILITY, pending),
    ];
    for (name, value) in fields {
        if let Some(value) = value {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

fn lost() -> Refusal {
    let detail = "the endpoint's answer was lost; the call may have run";
    Refusal::unknown(Reason::EndpointFailed, detail)
}
