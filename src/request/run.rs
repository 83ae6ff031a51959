//! Runs a call at the host that orders and dispatches it.

use std::sync::Arc;

use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::body::BodySender;
use http::Response;
use http::response::Parts;
use hyper::body::Incoming;

use super::answer;
use super::answer::AnswerBuffer;
use super::answer::RelayEnd;
use super::answer::Usage;
use super::call::Call;
use super::cost;
use super::dispatch::Dispatched;
use super::dispatch::Dispatcher;
use super::held;
use super::once;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use super::permit;
use super::permit::DispatchPermit;
use super::permit::Journaled;
use crate::connection::headers;
use crate::connection::platform::Platform;
use crate::ids::Partition;
use crate::ids::ProgramId;
use crate::process::context::Cx;
use crate::process::journals::BeginOutcome;
use crate::process::metrics::InFlight;
use crate::process::metrics::Stage;
use crate::process::placing::RunOutcome;
use crate::process::placing::Slot;
use crate::units::Moment;
use crate::units::Tokens;
use crate::version::journal::CallSpec;
use crate::version::journal::Once;
use crate::version::journal::Scope;
use crate::version::journal::StoredAnswer;
use crate::version::objects::Service;
use crate::version::objects::ServiceKind;

/// Maximum number of answer chunks buffered for a caller that reads slowly.
pub const MAX_BUFFERED_CHUNKS: usize = 16;

/// State of a call at the host that orders and dispatches it.
pub struct Execution<P: Platform> {
    /// Shared state of the host.
    pub cx: Cx<P>,
    /// Call to run.
    pub call: Call,
    /// Service that is called.
    pub service: Arc<Service>,
    /// When the call reached this host.
    pub received: Moment,
    /// Bytes of held conversation to be added to the body; 0 if none, or once
    /// they are part of it.
    pub held_bytes: usize,
}

/// Runs a call whose caller has been identified.
///
/// # Errors
///
/// Returns a refusal; `not-run` unless an endpoint may have run the call.
pub async fn run<P: Platform>(cx: &Cx<P>, mut call: Call) -> Result<Response<Body>> {
    let service = find_service(cx, &call)?;
    if service.kind == ServiceKind::Model {
        call.body = cost::with_max_tokens(&cx.cfg.caller, call.body)?;
    }
    let execution = Execution {
        cx: Cx::clone(cx),
        call,
        service,
        received: Moment::now(),
        held_bytes: 0,
    };
    if execution.service.kind == ServiceKind::Model && held::is_held(cx, &execution.call) {
        return held::run(execution).await;
    }
    match once::identity(&execution) {
        Some(once) => once::run(execution, once).await,
        None => execution.run().await,
    }
}

fn find_service<P: Platform>(cx: &Cx<P>, call: &Call) -> Result<Arc<Service>> {
    cx.configuration.service(&call.service).ok_or_else(|| {
        let detail = format!("there is no service `{}`", call.service);
        Refusal::not_run(Reason::UnknownService, detail)
    })
}

/// Whether a call is dispatched or answered from the journal.
pub enum Decision {
    /// The call may be dispatched under this permit.
    Run(DispatchPermit),
    /// The call has already run and this is its recorded answer.
    Replay(StoredAnswer),
}

impl<P: Platform> Execution<P> {
    /// Runs a call whose answer is not stored, and streams the answer.
    async fn run(self) -> Result<Response<Body>> {
        let permit = match self.acquire_permit(None).await? {
            Decision::Run(permit) => permit,
            Decision::Replay(_) => unreachable!("only once-only calls are replayed"),
        };
        match self.dispatcher(&permit).dispatch().await {
            Ok(dispatched) => Ok(self.stream_answer(permit, dispatched)),
            Err(refusal) => {
                permit.record_refusal(&self.cx, &refusal).await;
                Err(refusal)
            }
        }
    }

    /// Returns the dispatcher of this call.
    ///
    /// A call with an idempotency key is never repeatable.
    pub fn dispatcher<'a>(&'a self, permit: &'a DispatchPermit) -> Dispatcher<'a, P> {
        Dispatcher {
            cx: &self.cx,
            call: &self.call,
            service: &self.service,
            permit,
            repeatable: self.service.repeatable && self.call.idempotency_key.is_none(),
        }
    }

    /// Waits until the call may be dispatched.
    ///
    /// # Errors
    ///
    /// Returns a refusal if this host may not serve the partition, the journal
    /// refuses the call or its maximum cost cannot be computed.
    pub async fn acquire_permit(&self, once: Option<Once>) -> Result<Decision> {
        let Some(scope) = self.scope(once.as_ref())? else {
            return Ok(Decision::Run(DispatchPermit::Unjournaled(
                self.generate_program(),
            )));
        };
        let partition = scope.partition();
        let repeatable = once.is_none() && self.service.repeatable;
        permit::check_owner(&self.cx, &partition, repeatable)?;
        let started = Moment::now();
        let begun = self.cx.journals.begin(self.spec(scope, once)?).await;
        self.cx
            .metrics
            .observe(Stage::Journal, Moment::now().since(started));
        let ticket = match begun? {
            BeginOutcome::Run(ticket) => ticket,
            BeginOutcome::Replay(answer) => return Ok(Decision::Replay(answer)),
        };
        let program = ticket.program().cloned();
        Ok(Decision::Run(DispatchPermit::Journaled(Journaled {
            ticket,
            partition,
            program: program.unwrap_or_else(|| self.generate_program()),
            repeatable,
        })))
    }

    fn scope(&self, once: Option<&Once>) -> Result<Option<Scope>> {
        if let Some(program) = &self.call.program {
            return Ok(Some(Scope::Program(program.clone())));
        }
        let Some(once) = once else {
            return Ok(None);
        };
        let partition = self.cx.partition_of_key(self.call.account(), &once.key)?;
        Ok(Some(Scope::Single(partition)))
    }

    fn spec(&self, scope: Scope, once: Option<Once>) -> Result<CallSpec> {
        let call = &self.call;
        Ok(CallSpec {
            scope,
            customer: call.account().clone(),
            ordinal: call.ordinal,
            max_cost: self.max_cost()?,
            once,
            repeatable: self.service.repeatable,
            deadline: call.deadline,
        })
    }

    /// Generates a program id for a single call.
    fn generate_program(&self) -> ProgramId {
        ProgramId {
            data_centre: self.cx.cfg.data_centre.clone(),
            partition: Partition(0),
            random: rand::random(),
        }
    }

    fn stream_answer(self, permit: DispatchPermit, dispatched: Dispatched) -> Response<Body> {
        let (head, upstream) = dispatched.response.into_parts();
        let (tx, body) = Body::channel(MAX_BUFFERED_CHUNKS);
        let response = build_response(&head, &permit, body);
        let in_flight = self.cx.metrics.track_in_flight();
        let spawner = self.cx.spawner.clone();
        let relay = Relay {
            execution: self,
            permit,
            slot: dispatched.slot,
            _in_flight: in_flight,
        };
        spawner.detach(relay.run(upstream, tx));
        response
    }
}

/// Returns the response sent to the caller, with `body` and the forwarded status
/// and headers of `head`.
pub fn build_response(head: &Parts, permit: &DispatchPermit, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers::forwardable(&head.headers);
    if let DispatchPermit::Journaled(_) = permit {
        let program = headers::value(permit.program());
        response.headers_mut().insert(headers::PROGRAM, program);
    }
    response
}

struct Relay<P: Platform> {
    execution: Execution<P>,
    permit: DispatchPermit,
    slot: Slot,
    _in_flight: InFlight,
}

impl<P: Platform> Relay<P> {
    /// Relays the answer, and records its cost before it sends the answer's end.
    async fn run(self, upstream: Incoming, tx: BodySender) {
        let Self {
            mut execution,
            permit,
            mut slot,
            _in_flight,
        } = self;
        let max_cost = execution.max_cost().unwrap_or_default();
        // Frees the request body, which has been sent; the answer may take long.
        execution.call.body = Bytes::new();
        let cx = &execution.cx;
        let is_key_withdrawn = || execution.is_key_withdrawn();
        let mut buffer = AnswerBuffer::default();
        let deadline = execution.call.deadline;
        let ended = answer::relay(upstream, &tx, deadline, is_key_withdrawn, &mut buffer).await;
        let cost = execution.cost(ended, buffer.usage(), max_cost);
        slot.record_usage(buffer.usage());
        slot.finish(run_outcome(ended), cost);
        permit.record_end(cx, ended, cost).await;
        match ended {
            RelayEnd::Whole => {
                cx.metrics
                    .record_answer(Moment::now().since(execution.received));
                tx.finish().await;
            }
            RelayEnd::CallerGone => cx.metrics.record_cancel(),
            RelayEnd::Broken | RelayEnd::Expired | RelayEnd::Withdrawn => {
                cx.metrics.record_broken_answer();
                tx.fail(format!("{ended:?}")).await;
            }
        }
    }
}

impl<P: Platform> Execution<P> {
    /// Returns the maximum cost of the call.
    ///
    /// # Errors
    ///
    /// Returns a bad-request refusal if a model call's body is not a completion
    /// request.
    pub fn max_cost(&self) -> Result<Tokens> {
        let cfg = &self.cx.cfg.caller;
        cost::max_cost(cfg, &self.service, &self.call.body, self.held_bytes)
    }

    /// Whether the caller's key has been withdrawn.
    pub fn is_key_withdrawn(&self) -> bool {
        let key = self.call.caller.key();
        key.is_some_and(|key| self.cx.configuration.is_withdrawn(key))
    }

    /// Returns the cost charged for the call: the usage reported by the engine
    /// for a whole answer of a model call, else `max_cost`.
    pub fn cost(&self, ended: RelayEnd, usage: Option<Usage>, max_cost: Tokens) -> Tokens {
        match (self.service.kind, ended, usage) {
            (ServiceKind::Model, RelayEnd::Whole, Some(usage)) => usage.cost(),
            _ => max_cost,
        }
    }
}

/// Maps the end of a relay to the outcome recorded for the endpoint.
pub const fn run_outcome(ended: RelayEnd) -> RunOutcome {
    match ended {
        RelayEnd::Whole => RunOutcome::Answered,
        RelayEnd::Broken | RelayEnd::Expired => RunOutcome::Failed,
        RelayEnd::CallerGone | RelayEnd::Withdrawn => RunOutcome::Cancelled,
    }
}
