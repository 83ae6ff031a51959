//! Calls that may run at most once.
//!
//! The outcome is recorded before it is returned, and the call continues when
//! its caller disconnects.

use chicoryarch_net::Body;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use super::answer::AnswerBuffer;
use super::call::Call;
use super::dispatch::Dispatched;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use super::permit::DispatchPermit;
use super::run::Decision;
use super::run::Execution;
use crate::connection::headers;
use crate::connection::platform::Platform;
use crate::process::placing::RunOutcome;
use crate::request::answer::RelayEnd;
use crate::units::Moment;
use crate::units::Tokens;
use crate::version::journal::CallEnd;
use crate::version::journal::Digest;
use crate::version::journal::Durability;
use crate::version::journal::Once;
use crate::version::journal::Outcome;
use crate::version::journal::StoredAnswer;
use crate::version::objects::Service;

/// Maximum size of the answer of a once-only call, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Value of the durability header of an answer whose record is not yet durable.
const PENDING: HeaderValue = HeaderValue::from_static("pending");
/// Value of the header that marks a replayed answer.
const REPLAYED: HeaderValue = HeaderValue::from_static("true");

/// Returns the key of a call that may run at most once; `None` for other calls.
///
/// A non-repeatable call without an idempotency key is identified by its
/// position in its program. Such a key contains a space, so it cannot collide
/// with a caller's key.
pub fn key(call: &Call, service: &Service) -> Option<String> {
    match (&call.idempotency_key, &call.program, call.ordinal) {
        (Some(key), _, _) => Some(key.as_str().to_owned()),
        (None, Some(_), Some(ordinal)) if !service.repeatable => Some(format!("call {ordinal}")),
        _ => None,
    }
}

/// Returns the key and body digest of a call that may run at most once; `None`
/// for other calls.
pub fn identity<P: Platform>(execution: &Execution<P>) -> Option<Once> {
    let key = key(&execution.call, &execution.service)?;
    let body = Digest(execution.call.digest());
    Some(Once { key, body })
}

/// Runs a once-only call, which continues if its caller disconnects.
///
/// # Errors
///
/// Returns a refusal; `not-run` unless an endpoint may have run the call.
pub async fn run<P: Platform>(execution: Execution<P>, once: Once) -> Result<Response<Body>> {
    let (tx, rx) = async_channel::bounded(1);
    let spawner = execution.cx.spawner.clone();
    spawner.detach(async move {
        let result = execution.run_and_record(once).await;
        // The send fails if the caller has disconnected; the outcome is recorded
        // regardless.
        let _sent = tx.send(result).await;
    });
    rx.recv().await.unwrap_or_else(|_| Err(answer_lost()))
}

impl<P: Platform> Execution<P> {
    async fn run_and_record(self, once: Once) -> Result<Response<Body>> {
        let permit = match self.acquire_permit(Some(once)).await? {
            Decision::Run(permit) => permit,
            Decision::Replay(answer) => return Ok(response(answer, Some(REPLAYED), None)),
        };
        let dispatched = match self.dispatcher(&permit).dispatch().await {
            Ok(dispatched) => dispatched,
            Err(refusal) => {
                permit.record_refusal(&self.cx, &refusal).await;
                return Err(refusal);
            }
        };
        self.collect_answer(permit, dispatched).await
    }

    async fn collect_answer(
        self,
        permit: DispatchPermit,
        dispatched: Dispatched,
    ) -> Result<Response<Body>> {
        let _in_flight = self.cx.metrics.track_in_flight();
        let Dispatched { mut slot, response } = dispatched;
        let (head, upstream) = response.into_parts();
        let body = match Body::collect(upstream, MAX_ANSWER_BYTES).await {
            Ok(body) => body,
            Err(_) => {
                slot.finish(RunOutcome::Failed, Tokens(0));
                self.cx.metrics.record_broken_answer();
                let refusal = answer_lost();
                permit.record_refusal(&self.cx, &refusal).await;
                return Err(refusal);
            }
        };
        let mut buffer = AnswerBuffer::default();
        buffer.push(&body);
        let max_cost = self.max_cost().unwrap_or_default();
        let cost = self.cost(RelayEnd::Whole, buffer.usage(), max_cost);
        slot.record_usage(buffer.usage());
        slot.finish(RunOutcome::Answered, cost);
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let answer = StoredAnswer {
            status: head.status.as_u16(),
            content_type: content_type.and_then(|v| Some(v.to_str().ok()?.to_owned())),
            body: body.to_vec(),
        };
        let outcome = Outcome::Answered(answer.clone());
        let durability = permit.finish(&self.cx, CallEnd { cost, outcome }).await;
        self.cx
            .metrics
            .record_answer(Moment::now().since(self.received));
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

fn answer_lost() -> Refusal {
    let detail = "the endpoint's answer was lost; the call may have run";
    Refusal::unknown(Reason::EndpointFailed, detail)
}
