//! Places a call on an endpoint, sends it and retries failed attempts.

use chicoryarch_net::client::ClientError;
use http::Response;
use hyper::body::Incoming;

use super::call::Call;
use super::cost;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::outcome::Result;
use super::permit::DispatchPermit;
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

/// Scheduling weight of calls whose customer is not configured.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Response to a dispatched call, with the endpoint slot that the call occupies.
pub struct Dispatched {
    /// Slot at the endpoint; released at the end of the answer.
    pub slot: Slot,
    /// Response head; the body is still streaming.
    pub response: Response<Incoming>,
}

/// Dispatches one call to the endpoints of its service.
pub struct Dispatcher<'a, P: Platform> {
    /// Shared state of the host.
    pub cx: &'a Cx<P>,
    /// Call to dispatch.
    pub call: &'a Call,
    /// Service that is called.
    pub service: &'a Service,
    /// Permit under which the call is dispatched.
    pub permit: &'a DispatchPermit,
    /// Whether the call may run more than once.
    pub repeatable: bool,
}

impl<P: Platform> Dispatcher<'_, P> {
    /// Dispatches the call, and retries on another endpoint where that is safe.
    ///
    /// # Errors
    ///
    /// Returns a refusal; `unknown` if any attempt may have run.
    pub async fn dispatch(&self) -> Result<Dispatched> {
        let mut demand = self.demand()?;
        let mut failure = Failure::NotSent;
        self.cx.retries.lock().deposit();
        for attempts in 1.. {
            let mut slot = self
                .place(&demand)
                .await
                .map_err(|refusal| refusal_after(failure, refusal))?;
            self.check_dispatch()
                .map_err(|refusal| refusal_after(failure, refusal))?;
            match self.send(&slot).await {
                Ok(response) => {
                    slot.record_answer_start(response.status());
                    return Ok(Dispatched { slot, response });
                }
                Err(e) => {
                    demand.avoid.push(slot.id.clone());
                    slot.finish(RunOutcome::Failed, Tokens(0));
                    failure = failure.max(Failure::from(&e));
                    if !self.may_retry(&e, attempts) {
                        break;
                    }
                }
            }
        }
        Err(refusal_after(failure, no_endpoint(self.cx)))
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
            program: self.cx.journals.root(self.permit.program()),
            conversation: call.program.clone(),
            interactive: self.service.interactive,
            max_cost: cost::max_cost(&self.cx.cfg.caller, self.service, &call.body, 0)?,
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
        let draining = &self.cx.endpoints.draining;
        Ok(draining.mark_draining(&self.call.service, endpoints))
    }

    /// Checks, right before the dispatch, that the call may still run.
    fn check_dispatch(&self) -> Result<()> {
        self.check_key()?;
        self.permit.check_dispatch(self.cx)
    }

    fn check_key(&self) -> Result<()> {
        match self.call.caller.key() {
            Some(key) if self.cx.configuration.is_withdrawn(key) => Err(key_withdrawn()),
            _ => Ok(()),
        }
    }

    async fn send(&self, slot: &Slot) -> chicoryarch_net::client::Result<Response<Incoming>> {
        let dispatch = Dispatch {
            call: self.call,
            program: self.permit.program(),
            ordinal: self.permit.ordinal(),
            fence: self.permit.epoch(),
            cache: self.cache_handle(slot),
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

    /// Returns the handle of the cache to use at the engine; `None` if the call
    /// has no cache or the cache is being released there.
    fn cache_handle(&self, slot: &Slot) -> Option<CacheHandle> {
        if self.service.kind != ServiceKind::Model {
            return None;
        }
        let handle = self.permit.cache_handle(self.call)?;
        let endpoints = &self.cx.endpoints;
        let may_use = endpoints.caches.record_dispatch(&handle, &slot.id);
        if !may_use {
            endpoints.counters.record_uncached_dispatch();
        }
        may_use.then_some(handle)
    }

    fn may_retry(&self, e: &ClientError, attempts: u32) -> bool {
        let is_in_time = Moment::now() < self.call.deadline;
        let mut budget = self.cx.retries.lock();
        let is_permitted = is_in_time && budget.permit(Failure::from(e), self.repeatable, attempts);
        if is_permitted {
            self.cx.metrics.record_retry();
        }
        is_permitted
    }
}

/// Returns the refusal of a call whose worst failed attempt so far is `failure`.
///
/// Keeps `refusal` if no attempt can have run, else reports the call as unknown.
fn refusal_after(failure: Failure, refusal: Refusal) -> Refusal {
    match failure {
        Failure::NotSent => refusal,
        Failure::MayHaveRun => Refusal::unknown(
            Reason::EndpointFailed,
            "the endpoint's answer was lost; the call may have run",
        ),
    }
}

fn no_endpoint<P: Platform>(cx: &Cx<P>) -> Refusal {
    let detail = "no endpoint accepted the call";
    Refusal::not_run(Reason::NoEndpoint, detail).retry_after(cx.cfg.caller.retry_after)
}

/// Returns the refusal of a call whose key was withdrawn while the call waited.
pub fn key_withdrawn() -> Refusal {
    Refusal::not_run(Reason::Unauthorized, "the key has been withdrawn")
}
