//! Calls of programs with a held conversation: the owner keeps the messages of
//! earlier turns, and the caller sends only the new ones.

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
use super::answer::AnswerBuffer;
use super::answer::RelayEnd;
use super::call::Call;
use super::dispatch::Dispatched;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use super::permit::DispatchPermit;
use super::run;
use super::run::Decision;
use super::run::Execution;
use super::run::MAX_BUFFERED_CHUNKS;
use crate::connection::headers;
use crate::connection::platform::Platform;
use crate::process::context::Cx;
use crate::process::journals::history::AppendOutcome;
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

/// Attempts to reserve the cost of a call whose conversation grows while it
/// waits.
const CHARGE_ATTEMPTS: usize = 4;

/// Field of a completion request that holds the messages.
const MESSAGES: &str = "messages";

/// Media type of a streamed answer.
const EVENT_STREAM: &str = "text/event-stream";

/// Whether the call's program has a held conversation, kept by the owner.
pub fn is_held<P: Platform>(cx: &Cx<P>, call: &Call) -> bool {
    let program = call.program.as_ref();
    let summary = program.and_then(|program| cx.journals.program_summary(program));
    summary.is_some_and(|summary| summary.history == HistoryMode::Held)
}

/// A completion request whose field values are kept as raw JSON.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
struct Request(BTreeMap<String, Box<RawValue>>);

impl Request {
    fn parse(body: &[u8]) -> Result<Self> {
        json::parse_object(body).map_err(|e| malformed_request(&e))
    }

    fn messages(&self) -> Result<Vec<Message>> {
        let messages = self.0.get(MESSAGES).map(|raw| raw.get());
        serde_json::from_str(messages.unwrap_or("null")).map_err(|e| malformed_request(&e))
    }

    fn with_messages(mut self, messages: &[Message]) -> Vec<u8> {
        let raw = to_raw_value(messages).expect("messages always serialize to JSON");
        self.0.insert(MESSAGES.to_owned(), raw);
        serde_json::to_vec(&self.0).expect("JSON values always serialize")
    }
}

fn malformed_request(e: &serde_json::Error) -> Refusal {
    let detail = format!("the body is not a completion request with messages: {e}");
    Refusal::not_run(Reason::BadRequest, detail)
}

/// A call of a held conversation, with its permit to be dispatched.
struct HeldCall<P: Platform> {
    execution: Execution<P>,
    permit: DispatchPermit,
    handle: CacheHandle,
    new_messages: Vec<Message>,
}

/// Runs a call of a held conversation.
///
/// # Errors
///
/// Returns a refusal; `not-run` unless an endpoint may have run the call.
pub async fn run<P: Platform>(mut execution: Execution<P>) -> Result<Response<Body>> {
    let new_messages = Request::parse(&execution.call.body)?.messages()?;
    let caller_body = execution.call.body.clone();
    for _ in 0..CHARGE_ATTEMPTS {
        execution.held_bytes = execution.held_bytes.max(history_bytes(&execution));
        let Decision::Run(permit) = execution.acquire_permit(None).await? else {
            unreachable!("only once-only calls are replayed");
        };
        let handle = permit.handle(&execution.call);
        let turn = TurnRequest {
            handle: handle.clone(),
            ordinal: permit.ordinal(),
            after: execution.call.after,
            messages: new_messages.clone(),
        };
        let messages = match execution.cx.history.assemble(&turn).await {
            Ok(Assembled::Run(messages)) => messages,
            Ok(Assembled::Complete(messages)) => return replay(execution, permit, &messages).await,
            Err(refusal) => {
                permit.record_refusal(&execution.cx, &refusal).await;
                return Err(refusal);
            }
        };
        let body = Request::parse(&caller_body)?.with_messages(&messages);
        if body.len() <= caller_body.len() + execution.held_bytes {
            execution.call.body = body.into();
            execution.held_bytes = 0;
            let held_call = HeldCall {
                execution,
                permit,
                handle,
                new_messages,
            };
            return held_call.dispatch().await;
        }
        // The reserved cost was computed for a shorter conversation.
        execution.held_bytes = body.len() - caller_body.len();
        let refusal = conversation_grew(&execution.cx);
        permit.record_refusal(&execution.cx, &refusal).await;
    }
    Err(conversation_grew(&execution.cx))
}

fn history_bytes<P: Platform>(execution: &Execution<P>) -> usize {
    let program = execution.call.program.as_ref();
    program.map_or(0, |program| execution.cx.history.encoded_bytes(program))
}

fn conversation_grew<P: Platform>(cx: &Cx<P>) -> Refusal {
    let detail = "the conversation grew while the call waited";
    Refusal::not_run(Reason::Overloaded, detail).retry_after(cx.cfg.caller.retry_after)
}

/// Returns the recorded answer of a turn that has already run.
async fn replay<P: Platform>(
    execution: Execution<P>,
    permit: DispatchPermit,
    messages: &[Message],
) -> Result<Response<Body>> {
    let message = messages.last().map_or("null", Message::as_str);
    let body = format!(
        "{{\"object\":\"chat.completion\",\"choices\":[{{\"index\":0,\"message\":{message},\
         \"finish_reason\":\"stop\"}}]}}"
    );
    permit
        .record_end(&execution.cx, RelayEnd::Whole, Default::default())
        .await;
    let mut response = Response::new(Body::from(body));
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, headers::value("application/json"));
    fields.insert(headers::REPLAYED, headers::value(true));
    Ok(response)
}

impl<P: Platform> HeldCall<P> {
    async fn dispatch(self) -> Result<Response<Body>> {
        let dispatched = match self.execution.dispatcher(&self.permit).dispatch().await {
            Ok(dispatched) => dispatched,
            Err(refusal) => {
                self.permit
                    .record_refusal(&self.execution.cx, &refusal)
                    .await;
                return Err(refusal);
            }
        };
        let Dispatched { slot, response } = dispatched;
        let (head, upstream) = response.into_parts();
        let (tx, body) = Body::channel(MAX_BUFFERED_CHUNKS);
        let answer = run::build_response(&head, &self.permit, body);
        let spawner = self.execution.cx.spawner.clone();
        spawner.detach(self.relay(head, upstream, slot, tx));
        Ok(answer)
    }

    /// Relays the answer, and records the turn before it sends the answer's end.
    async fn relay(self, head: Parts, upstream: Incoming, mut slot: Slot, tx: BodySender) {
        let cx = Cx::clone(&self.execution.cx);
        let _in_flight = cx.metrics.track_in_flight();
        let mut buffer = AnswerBuffer::unbounded();
        let call = &self.execution.call;
        let is_key_withdrawn = || self.execution.is_key_withdrawn();
        let ended =
            answer::relay(upstream, &tx, call.deadline, is_key_withdrawn, &mut buffer).await;
        let max_cost = self.execution.max_cost().unwrap_or_default();
        let cost = self.execution.cost(ended, buffer.usage(), max_cost);
        slot.record_usage(buffer.usage());
        slot.finish(run::run_outcome(ended), cost);
        let is_stream = is_event_stream(&head);
        let answered = buffer
            .message(is_stream)
            .filter(|_| head.status.is_success());
        let appended = match (ended, answered) {
            (RelayEnd::Whole, Some(message)) => self.append_turn(message).await,
            // An answer without a message, such as an error, adds no turn.
            (RelayEnd::Whole, None) => Some(AppendOutcome::Durable),
            _ => None,
        };
        let received = self.execution.received;
        let turn_comment = self.turn_comment(appended);
        self.permit.record_end(&cx, ended, cost).await;
        match appended {
            Some(AppendOutcome::Durable | AppendOutcome::Pending) => {
                cx.metrics.record_answer(Moment::now().since(received));
                if is_stream {
                    let _sent = tx.send(turn_comment.into()).await;
                }
                tx.finish().await;
            }
            _ if ended == RelayEnd::CallerGone => cx.metrics.record_cancel(),
            _ => {
                cx.metrics.record_broken_answer();
                tx.fail("the turn is not part of the conversation").await;
            }
        }
    }

    async fn append_turn(&self, message: Message) -> Option<AppendOutcome> {
        let turn = Turn {
            asked: self.new_messages.clone(),
            answered: vec![message],
        };
        let ordinal = self.permit.ordinal();
        self.execution
            .cx
            .history
            .append(&self.handle, ordinal, turn)
            .await
    }

    /// Returns event-stream comments with the turn that the next call must name,
    /// and with the durability if the turn is not yet recorded.
    fn turn_comment(&self, appended: Option<AppendOutcome>) -> String {
        let tip: Option<Tip> = self.execution.cx.history.tip(&self.handle);
        let turn = tip.map(|tip| format!(": chicoryarch-turn {tip}\n"));
        let pending = matches!(appended, Some(AppendOutcome::Pending));
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
