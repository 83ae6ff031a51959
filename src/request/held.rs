//! Calls of programs whose conversation the owner keeps: the caller sends the
//! new messages only.

use std::collections::BTreeMap;

use chicoryarch_net::Body;
use chicoryarch_net::body::BodySender;
use http::Response;
use http::header;
use http::response::Parts;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;

use super::answer;
use super::answer::Ended;
use super::answer::Tail;
use super::call::Call;
use super::clearance::Clearance;
use super::dispatch::Placed;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use super::run;
use super::run::ANSWER_CHUNKS;
use super::run::Cleared;
use super::run::Work;
use crate::connection::headers;
use crate::connection::platform::Platform;
use crate::process::context::Cx;
use crate::process::journals::history::Appended;
use crate::process::placing::Slot;
use crate::units::Moment;
use crate::utils::json;
use crate::version::history::Assembled;
use crate::version::history::CacheHandle;
use crate::version::history::HistoryMode;
use crate::version::history::Message;
use crate::version::history::Tip;
use crate::version::history::Turn;
use crate::version::history::TurnRequest;

/// Attempts to charge a call for a conversation that grows meanwhile.
const CHARGE_ATTEMPTS: usize = 4;

/// Name of the messages in a completion request.
const MESSAGES: &str = "messages";

/// Media type of a streamed answer.
const EVENT_STREAM: &str = "text/event-stream";

/// True if the owner keeps the conversation of the call's program.
pub fn is_held<P: Platform>(cx: &Cx<P>, call: &Call) -> bool {
    let program = call.program.as_ref();
    let summary = program.and_then(|program| cx.journals.program_summary(program));
    summary.is_some_and(|summary| summary.history == HistoryMode::Held)
}

/// A completion request, field by field and otherwise untouched.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
struct Request(BTreeMap<String, Box<RawValue>>);

impl Request {
    fn parse(body: &[u8]) -> Result<Self> {
        json::object(body).map_err(|e| malformed(&e))
    }

    fn messages(&self) -> Result<Vec<Message>> {
        let messages = self.0.get(MESSAGES).map(|raw| raw.get());
        serde_json::from_str(messages.unwrap_or("null")).map_err(|e| malformed(&e))
    }

    fn with_messages(mut self, messages: &[Message]) -> Vec<u8> {
        let raw = to_raw_value(messages).expect("messages always encode as JSON");
        self.0.insert(MESSAGES.to_owned(), raw);
        serde_json::to_vec(&self.0).expect("JSON values always encode")
    }
}

fn malformed(e: &serde_json::Error) -> Refusal {
    let detail = format!("the body is not a completion request with messages: {e}");
    Refusal::not_run(Reason::BadRequest, detail)
}

/// One call of a held conversation that may be dispatched.
struct Held<P: Platform> {
    work: Work<P>,
    clearance: Clearance,
    handle: CacheHandle,
    asked: Vec<Message>,
}

/// Runs a call of a held conversation.
///
/// # Errors
///
/// A refusal; `not-run` unless an endpoint may have run the call.
pub async fn run<P: Platform>(mut work: Work<P>) -> Result<Response<Body>> {
    let asked = Request::parse(&work.call.body)?.messages()?;
    let own_body = work.call.body.clone();
    for _ in 0..CHARGE_ATTEMPTS {
        work.held_bytes = work.held_bytes.max(known_bytes(&work));
        let Cleared::Run(clearance) = work.clear(None).await? else {
            unreachable!("only once-only calls are replayed");
        };
        let handle = clearance.handle(&work.call);
        let turn = TurnRequest {
            handle: handle.clone(),
            ordinal: clearance.ordinal(),
            after: work.call.after,
            messages: asked.clone(),
        };
        let messages = match work.cx.history.assemble(&turn).await {
            Ok(Assembled::Run(messages)) => messages,
            Ok(Assembled::Complete(messages)) => return complete(work, clearance, &messages).await,
            Err(refusal) => {
                clearance.refused(&work.cx, &refusal).await;
                return Err(refusal);
            }
        };
        let body = Request::parse(&own_body)?.with_messages(&messages);
        if body.len() <= own_body.len() + work.held_bytes {
            work.call.body = body.into();
            work.held_bytes = 0;
            let held = Held {
                work,
                clearance,
                handle,
                asked,
            };
            return held.dispatch().await;
        }
        // The call was charged for a shorter conversation.
        work.held_bytes = body.len() - own_body.len();
        let refusal = grown(&work.cx);
        clearance.refused(&work.cx, &refusal).await;
    }
    Err(grown(&work.cx))
}

fn known_bytes<P: Platform>(work: &Work<P>) -> usize {
    let program = work.call.program.as_ref();
    program.map_or(0, |program| work.cx.history.encoded_bytes(program))
}

fn grown<P: Platform>(cx: &Cx<P>) -> Refusal {
    let detail = "the conversation grew while the call waited";
    Refusal::not_run(Reason::Overloaded, detail).retry_after(cx.cfg.caller.retry_after)
}

/// Gives the recorded answer of a turn that is complete already.
async fn complete<P: Platform>(
    work: Work<P>,
    clearance: Clearance,
    messages: &[Message],
) -> Result<Response<Body>> {
    let message = messages.last().map_or("null", Message::as_str);
    let body = format!(
        "{{\"object\":\"chat.completion\",\"choices\":[{{\"index\":0,\"message\":{message},\
         \"finish_reason\":\"stop\"}}]}}"
    );
    clearance
        .ended(&work.cx, Ended::Whole, Default::default())
        .await;
    let mut response = Response::new(Body::from(body));
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, headers::value("application/json"));
    fields.insert(headers::REPLAYED, headers::value(true));
    Ok(response)
}

impl<P: Platform> Held<P> {
    async fn dispatch(self) -> Result<Response<Body>> {
        let placed = match self.work.attempts(&self.clearance).dispatch().await {
            Ok(placed) => placed,
            Err(refusal) => {
                self.clearance.refused(&self.work.cx, &refusal).await;
                return Err(refusal);
            }
        };
        let Placed { slot, response } = placed;
        let (head, upstream) = response.into_parts();
        let (tx, body) = Body::channel(ANSWER_CHUNKS);
        let answer = run::answer_head(&head, &self.clearance, body);
        let spawner = self.work.cx.spawner.clone();
        spawner.detach(self.relay(head, upstream, slot, tx));
        Ok(answer)
    }

    /// Relays the answer and records the turn before the answer's end.
    async fn relay(self, head: Parts, upstream: Incoming, mut slot: Slot, tx: BodySender) {
        let cx = Cx::clone(&self.work.cx);
        let _in_flight = cx.metrics.in_flight();
        let mut tail = Tail::whole();
        let call = &self.work.call;
        let is_withdrawn = || self.work.is_withdrawn();
        let ended = answer::relay(upstream, &tx, call.deadline, is_withdrawn, &mut tail).await;
        let worst = self.work.worst().unwrap_or_default();
        let cost = self.work.cost(ended, tail.usage(), worst);
        slot.record_usage(tail.usage());
        slot.finish(run::verdict(ended), cost);
        let is_stream = is_event_stream(&head);
        let answered = tail.message(is_stream).filter(|_| head.status.is_success());
        let appended = match (ended, answered) {
            (Ended::Whole, Some(message)) => self.append(message).await,
            // An answer without a message, such as an error, is no turn.
            (Ended::Whole, None) => Some(Appended::Durable),
            _ => None,
        };
        let received = self.work.received;
        let note = self.note(appended);
        self.clearance.ended(&cx, ended, cost).await;
        match appended {
            Some(Appended::Durable | Appended::Pending) => {
                cx.metrics.answered(Moment::now().since(received));
                if is_stream {
                    let _gone = tx.send(note.into()).await;
                }
                tx.finish().await;
            }
            _ if ended == Ended::CallerGone => cx.metrics.cancelled(),
            _ => {
                cx.metrics.broken();
                tx.fail("the turn is not part of the conversation").await;
            }
        }
    }

    async fn append(&self, message: Message) -> Option<Appended> {
        let turn = Turn {
            asked: self.asked.clone(),
            answered: vec![message],
        };
        let ordinal = self.clearance.ordinal();
        self.work
            .cx
            .history
            .append(&self.handle, ordinal, turn)
            .await
    }

    /// An event-stream comment with the turn to name in the next call.
    fn note(&self, appended: Option<Appended>) -> String {
        let tip: Option<Tip> = self.work.cx.history.tip(&self.handle);
        let turn = tip.map(|tip| format!(": chicoryarch-turn {tip}\n"));
        let pending = matches!(appended, Some(Appended::Pending));
        let durability = if pending {
            ": chicoryarch-durability pending\n"
        } else {
            ""
        };
        format!("{}{durability}\n", turn.unwrap_or_default())
    }
}

fn is_event_stream(head: &Parts) -> bool {
    let media_type = head.headers.get(header::CONTENT_TYPE);
    media_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM.as_bytes()))
}
