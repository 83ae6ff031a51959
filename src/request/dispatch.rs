//! Finds an endpoint for a call, sends it and repeats failed attempts.

use chicoryarch_net::client::ClientError;
use http::Response;
use hyper::body::Incoming;

use super::call::Call;
use super::clearance::Clearance;
use super::cost;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use super::retry::Failure;
use crate::connection::endpoint::Dispatch;
use crate::connection::endpoint::INTERACTIVE_PRIORITY;
use crate::connection::platform::Platform;
use crate::process::context::Cx;
use crate::process::metrics::Stage;
use crate::process::placing::Candidates;
use crate::process::placing::Demand;
use crate::process::placing::RunOutcome;
use crate::process::placing::Slot;
use crate::units::Moment;
use crate::units::Tokens;
use crate::version::engine_memory::CacheHandle;
use crate::version::objects::Service;
use crate::version::objects::ServiceKind;

/// Weight of calls that are charged to no configured customer.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A response head with the place that its call holds.
pub struct Placed {
    /// Place at the endpoint, to be given back at the end of the answer.
    pub slot: Slot,
    /// Head of the answer; the body streams.
    pub response: Response<Incoming>,
}

/// A call on its way to an endpoint.
pub struct Attempts<'a, P: Platform> {
    /// Context of the host.
    pub cx: &'a Cx<P>,
    /// The call.
    pub call: &'a Call,
    /// The service that it calls.
    pub service: &'a Service,
    /// Clearance to dispatch.
    pub clearance: &'a Clearance,
    /// True if the call may run more than once.
    pub repeatable: bool,
}

impl<P: Platform> Attempts<'_, P> {
    /// Dispatches the call, on another endpoint again where that is safe.
    ///
    /// # Errors
    ///
    /// A refusal, `unknown` if any attempt may have run.
    pub async fn dispatch(&self) -> Result<Placed> {
        let mut demand = self.demand()?;
        let mut failure = Failure::NotSent;
        self.cx.retries.lock().deposit();
        for attempts in 1.. {
            let mut slot = self
                .place(&demand)
                .await
                .map_err(|refusal| after(failure, refusal))?;
            self.check().map_err(|refusal| after(failure, refusal))?;
            match self.send(&slot).await {
                Ok(response) => {
                    slot.record_answer_start(response.status());
                    return Ok(Placed { slot, response });
                }
                Err(e) => {
                    demand.avoid.push(slot.id.clone());
                    slot.finish(RunOutcome::Failed, Tokens(0));
                    failure = failure.max(Failure::from(&e));
                    if !self.may_repeat(&e, attempts) {
                        break;
                    }
                }
            }
        }
        Err(after(failure, failed(self.cx)))
    }

    fn demand(&self) -> Result<Demand> {
        let call = self.call;
        let prompt_bytes = match self.service.kind {
            ServiceKind::Model => call.body.len(),
            ServiceKind::Plain => 0,
        };
        let customer = self.cx.configuration.customer(call.account());
        Ok(Demand {
            service: call.service.clone(),
            customer: call.account().clone(),
            weight: customer.map_or(DEFAULT_WEIGHT, |customer| customer.weight),
            program: self.cx.journals.root(self.clearance.program()),
            conversation: call.program.clone(),
            interactive: self.service.interactive,
            max_cost: cost::worst(&self.cx.cfg.caller, self.service, &call.body, 0)?,
            prompt_bytes,
            avoid: Vec::new(),
            deadline: call.deadline,
        })
    }

    async fn place(&self, demand: &Demand) -> Result<Slot> {
        let started = Moment::now();
        let slot = self.cx.placing.acquire(demand, || self.candidates()).await;
        self.cx
            .metrics
            .observe(Stage::Queue, Moment::now().since(started));
        slot
    }

    fn candidates(&self) -> Result<Candidates> {
        self.check_key()?;
        let endpoints = self.cx.configuration.endpoints_of(&self.call.service);
        let leaving = &self.cx.endpoints.leaving;
        Ok(leaving.mark(&self.call.service, endpoints))
    }

    /// Checks, right before the dispatch, that the call may still run.
    fn check(&self) -> Result<()> {
        self.check_key()?;
        self.clearance.check_dispatch(self.cx)
    }

    fn check_key(&self) -> Result<()> {
        match self.call.caller.key() {
            Some(key) if self.cx.configuration.is_withdrawn(key) => Err(withdrawn()),
            _ => Ok(()),
        }
    }

    async fn send(&self, slot: &Slot) -> chicoryarch_net::client::Result<Response<Incoming>> {
        let dispatch = Dispatch {
            call: self.call,
            program: self.clearance.program(),
            ordinal: self.clearance.ordinal(),
            fence: self.clearance.epoch(),
            cache: self.cache(slot),
            repeatable: self.repeatable,
            priority: if self.service.interactive {
                INTERACTIVE_PRIORITY
            } else {
                0
            },
        };
        let started = Moment::now();
        let timeout = started.until(self.call.deadline);
        let response = dispatch
            .send(&self.cx.client, slot.endpoint.address, timeout)
            .await;
        self.cx
            .metrics
            .observe(Stage::Endpoint, Moment::now().since(started));
        response
    }

    /// The cache to use at an engine, unless it is being released there.
    fn cache(&self, slot: &Slot) -> Option<CacheHandle> {
        if self.service.kind != ServiceKind::Model {
            return None;
        }
        let handle = self.clearance.cache_handle(self.call)?;
        let endpoints = &self.cx.endpoints;
        let may_use = endpoints.memory.dispatch(&handle, &slot.id);
        if !may_use {
            endpoints.counters.uncached_dispatch();
        }
        may_use.then_some(handle)
    }

    fn may_repeat(&self, e: &ClientError, attempts: u32) -> bool {
        let in_time = Moment::now() < self.call.deadline;
        let mut budget = self.cx.retries.lock();
        let permitted = in_time && budget.permit(Failure::from(e), self.repeatable, attempts);
        if permitted {
            self.cx.metrics.retried();
        }
        permitted
    }
}

/// The refusal of a call whose earlier attempts left `failure` behind.
fn after(failure: Failure, refusal: Refusal) -> Refusal {
    match failure {
        Failure::NotSent => refusal,
        Failure::MayHaveRun => Refusal::unknown(
            Reason::EndpointFailed,
            "the endpoint's answer was lost; the call may have run",
        ),
    }
}

fn failed<P: Platform>(cx: &Cx<P>) -> Refusal {
    let detail = "no endpoint accepted the call";
    Refusal::not_run(Reason::NoEndpoint, detail).retry_after(cx.cfg.caller.retry_after)
}

/// The refusal of a call whose key was withdrawn while it waited.
pub fn withdrawn() -> Refusal {
    Refusal::not_run(Reason::Unauthorized, "the key has been withdrawn")
}
