//! A call at the host that decides about it.

use std::sync::Arc;

use bytes::Bytes;
use chicoryarch_net::Body;
use chicoryarch_net::body::BodySender;
use http::Response;
use http::response::Parts;
use hyper::body::Incoming;

use super::answer;
use super::answer::Ended;
use super::answer::Tail;
use super::answer::Usage;
use super::call::Call;
use super::clearance;
use super::clearance::Clearance;
use super::clearance::Journaled;
use super::cost;
use super::dispatch::Attempts;
use super::dispatch::Placed;
use super::held;
use super::once;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use crate::connection::headers;
use crate::connection::platform::Platform;
use crate::ids::Partition;
use crate::ids::ProgramId;
use crate::process::context::Cx;
use crate::process::journals::Begun;
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

/// Chunks of an answer held for a caller that reads slowly.
pub const ANSWER_CHUNKS: usize = 16;

/// One call at the host that decides about it.
pub struct Work<P: Platform> {
    /// Context of the host.
    pub cx: Cx<P>,
    /// The call.
    pub call: Call,
    /// The service that it calls.
    pub service: Arc<Service>,
    /// When the call reached this host.
    pub received: Moment,
    /// Bytes of held conversation that are added to the body.
    pub held_bytes: usize,
}

/// Runs a call whose caller has been identified.
///
/// # Errors
///
/// A refusal; `not-run` unless an endpoint may have run the call.
pub async fn run<P: Platform>(cx: &Cx<P>, mut call: Call) -> Result<Response<Body>> {
    let service = service(cx, &call)?;
    if service.kind == ServiceKind::Model {
        call.body = cost::with_limit(&cx.cfg.caller, call.body)?;
    }
    let work = Work {
        cx: Cx::clone(cx),
        call,
        service,
        received: Moment::now(),
        held_bytes: 0,
    };
    if work.service.kind == ServiceKind::Model && held::is_held(cx, &work.call) {
        return held::run(work).await;
    }
    match once::name(&work) {
        Some(once) => once::run(work, once).await,
        None => work.run().await,
    }
}

fn service<P: Platform>(cx: &Cx<P>, call: &Call) -> Result<Arc<Service>> {
    cx.configuration.service(&call.service).ok_or_else(|| {
        let detail = format!("there is no service `{}`", call.service);
        Refusal::not_run(Reason::UnknownService, detail)
    })
}

/// A call that may be dispatched, or the answer of one that has run before.
pub enum Cleared {
    /// It may be dispatched.
    Run(Clearance),
    /// It has run before and this is its answer.
    Replay(StoredAnswer),
}

impl<P: Platform> Work<P> {
    /// Runs a call that leaves no record of its outcome; its answer streams.
    async fn run(self) -> Result<Response<Body>> {
        let clearance = match self.clear(None).await? {
            Cleared::Run(clearance) => clearance,
            Cleared::Replay(_) => unreachable!("only once-only calls are replayed"),
        };
        match self.attempts(&clearance).dispatch().await {
            Ok(placed) => Ok(self.stream(clearance, placed)),
            Err(refusal) => {
                clearance.refused(&self.cx, &refusal).await;
                Err(refusal)
            }
        }
    }

    /// The attempts to dispatch this call.
    pub fn attempts<'a>(&'a self, clearance: &'a Clearance) -> Attempts<'a, P> {
        Attempts {
            cx: &self.cx,
            call: &self.call,
            service: &self.service,
            clearance,
            repeatable: self.service.repeatable && self.call.idempotency_key.is_none(),
        }
    }

    /// Waits until the call may be dispatched.
    ///
    /// # Errors
    ///
    /// A refusal from the partition's owner or journal.
    pub async fn clear(&self, once: Option<Once>) -> Result<Cleared> {
        let Some(scope) = self.scope(once.as_ref())? else {
            return Ok(Cleared::Run(Clearance::Single(self.single_program())));
        };
        let partition = scope.partition();
        let repeatable = once.is_none() && self.service.repeatable;
        clearance::check_owner(&self.cx, &partition, repeatable)?;
        let started = Moment::now();
        let begun = self.cx.journals.begin(self.spec(scope, once)?).await;
        self.cx
            .metrics
            .observe(Stage::Journal, Moment::now().since(started));
        let ticket = match begun? {
            Begun::Run(ticket) => ticket,
            Begun::Replay(answer) => return Ok(Cleared::Replay(answer)),
        };
        let program = ticket.program().cloned();
        Ok(Cleared::Run(Clearance::Journaled(Journaled {
            ticket,
            partition,
            program: program.unwrap_or_else(|| self.single_program()),
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
        let partition = self.cx.home_of_key(self.call.account(), &once.key)?;
        Ok(Some(Scope::Single(partition)))
    }

    fn spec(&self, scope: Scope, once: Option<Once>) -> Result<CallSpec> {
        let call = &self.call;
        Ok(CallSpec {
            scope,
            customer: call.account().clone(),
            ordinal: call.ordinal,
            worst_cost: self.worst()?,
            once,
            repeatable: self.service.repeatable,
            deadline: call.deadline,
        })
    }

    /// The made-up program of a single call.
    fn single_program(&self) -> ProgramId {
        ProgramId {
            data_centre: self.cx.cfg.data_centre.clone(),
            partition: Partition(0),
            random: rand::random(),
        }
    }

    fn stream(self, clearance: Clearance, placed: Placed) -> Response<Body> {
        let (head, upstream) = placed.response.into_parts();
        let (tx, body) = Body::channel(ANSWER_CHUNKS);
        let response = answer_head(&head, &clearance, body);
        let in_flight = self.cx.metrics.in_flight();
        let spawner = self.cx.spawner.clone();
        let relay = Relay {
            work: self,
            clearance,
            slot: placed.slot,
            _in_flight: in_flight,
        };
        spawner.detach(relay.run(upstream, tx));
        response
    }
}

/// The head of an answer as its caller sees it.
pub fn answer_head(head: &Parts, clearance: &Clearance, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers::passed_on(&head.headers);
    if let Clearance::Journaled(_) = clearance {
        let program = headers::value(clearance.program());
        response.headers_mut().insert(headers::PROGRAM, program);
    }
    response
}

struct Relay<P: Platform> {
    work: Work<P>,
    clearance: Clearance,
    slot: Slot,
    _in_flight: InFlight,
}

impl<P: Platform> Relay<P> {
    /// Relays the answer; what it cost is recorded before its end is sent.
    async fn run(self, upstream: Incoming, tx: BodySender) {
        let Self {
            mut work,
            clearance,
            mut slot,
            _in_flight,
        } = self;
        let worst = work.worst().unwrap_or_default();
        // It has been sent, and the answer may take long.
        work.call.body = Bytes::new();
        let cx = &work.cx;
        let is_withdrawn = || work.is_withdrawn();
        let mut tail = Tail::default();
        let deadline = work.call.deadline;
        let ended = answer::relay(upstream, &tx, deadline, is_withdrawn, &mut tail).await;
        let cost = work.cost(ended, tail.usage(), worst);
        slot.record_usage(tail.usage());
        slot.finish(verdict(ended), cost);
        clearance.ended(cx, ended, cost).await;
        match ended {
            Ended::Whole => {
                cx.metrics.answered(Moment::now().since(work.received));
                tx.finish().await;
            }
            Ended::CallerGone => cx.metrics.cancelled(),
            Ended::Broken | Ended::Expired | Ended::Withdrawn => {
                cx.metrics.broken();
                tx.fail(format!("{ended:?}")).await;
            }
        }
    }
}

impl<P: Platform> Work<P> {
    /// The most that the call can cost.
    ///
    /// # Errors
    ///
    /// A bad-request refusal if the body is not a completion request.
    pub fn worst(&self) -> Result<Tokens> {
        let cfg = &self.cx.cfg.caller;
        cost::worst(cfg, &self.service, &self.call.body, self.held_bytes)
    }

    /// True if the caller's key has been withdrawn.
    pub fn is_withdrawn(&self) -> bool {
        let key = self.call.caller.key();
        key.is_some_and(|key| self.cx.configuration.is_withdrawn(key))
    }

    /// What the call is charged: what the engine reports, else its worst case.
    pub fn cost(&self, ended: Ended, usage: Option<Usage>, worst: Tokens) -> Tokens {
        match (self.service.kind, ended, usage) {
            (ServiceKind::Model, Ended::Whole, Some(usage)) => usage.cost(),
            _ => worst,
        }
    }
}

/// What the end of an answer says about its endpoint.
pub const fn verdict(ended: Ended) -> RunOutcome {
    match ended {
        Ended::Whole => RunOutcome::Answered,
        Ended::Broken | Ended::Expired => RunOutcome::Failed,
        Ended::CallerGone | Ended::Withdrawn => RunOutcome::Cancelled,
    }
}
