//! Scheduler of one service: its fair queue and its pool of endpoints.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::demand::Demand;
use super::demand::RunOutcome;
use super::demand::RunResult;
use super::occupancy::Occupancy;
use super::pool::Choice;
use super::pool::EndpointRow;
use super::pool::FinishedCall;
use super::pool::Holds;
use super::pool::Offer;
use super::pool::Pool;
use super::pool::RunId;
use super::prefix::Prefix;
use crate::configs::place::PlaceConfig;
use crate::configs::queue::QueueConfig;
use crate::ids::DataCentre;
use crate::ids::EndpointId;
use crate::ids::ProgramId;
use crate::request::queue;
use crate::request::queue::Charge;
use crate::request::queue::Class;
use crate::request::queue::Entry;
use crate::request::queue::FairQueue;
use crate::request::queue::JoinedCall;
use crate::request::queue::Ticket;
use crate::request::queue::WaitingRow;
use crate::units::Moment;
use crate::version::catalogue::ConfiguredEndpoint;
use crate::version::objects::Endpoint;

/// A call started by a step.
#[derive(Clone, Debug)]
pub struct StartedCall {
    /// Ticket of the call in the queue.
    pub ticket: Ticket,
    /// Identifies the call in the pool from now on.
    pub run: RunId,
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Configuration of the endpoint.
    pub endpoint: Arc<Endpoint>,
    /// State of the program's prompt prefix at the endpoint.
    pub prefix: Prefix,
    /// Time that the call spent in the queue.
    pub waited: Duration,
}

/// Result of [`Scheduler::step`].
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Calls to start now.
    pub started: Vec<StartedCall>,
    /// Latest time of the next step; `None` if no call waits for a point in
    /// time.
    pub wake: Option<Moment>,
}

impl Step {
    fn wake_at(&mut self, at: Moment) {
        self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
    }
}

/// Calls that could not start in the current step.
#[derive(Default)]
struct TriedCalls {
    tickets: HashSet<Ticket>,
    holds: Holds,
}

/// Scheduler of one service: its fair queue and its pool of endpoints.
#[derive(Clone, Debug)]
pub struct Scheduler {
    look_ahead: usize,
    queue: FairQueue,
    pool: Pool,
    demands: HashMap<Ticket, Demand>,
    charges: HashMap<RunId, Charge>,
}

impl Scheduler {
    /// Creates a scheduler without calls or endpoints for a host in
    /// `data_centre`.
    pub fn new(queue: QueueConfig, place: PlaceConfig, data_centre: DataCentre) -> Self {
        Self {
            look_ahead: queue.look_ahead,
            queue: FairQueue::new(queue),
            pool: Pool::new(place, data_centre),
            demands: HashMap::new(),
            charges: HashMap::new(),
        }
    }

    /// Applies the configured endpoints; see [`Pool::set_endpoints`].
    pub fn set_endpoints(
        &mut self,
        endpoints: &[ConfiguredEndpoint],
        occupancy: impl FnMut(&EndpointId) -> Arc<Occupancy>,
    ) {
        self.pool.set_endpoints(endpoints, occupancy);
    }

    /// Whether any endpoint accepts calls.
    pub fn is_serving(&self) -> bool {
        self.pool.is_serving()
    }

    /// Adds a call to the queue; a later [`Self::step`] starts it.
    ///
    /// # Errors
    ///
    /// [`queue::Refused`] if the queue is full or the deadline cannot be met.
    pub fn join(&mut self, now: Moment, demand: Demand) -> queue::Result<JoinedCall> {
        let entry = Entry {
            customer: demand.customer.clone(),
            weight: demand.weight,
            program: demand.program.clone(),
            interactive: demand.interactive,
            cost: self.pool.expected_duration(&demand),
            deadline: demand.deadline,
        };
        let joined = self.queue.join(now, entry)?;
        if let Some((ticket, _)) = joined.displaced {
            self.demands.remove(&ticket);
        }
        self.demands.insert(joined.ticket, demand);
        Ok(joined)
    }

    /// Removes a waiting call; returns whether it was still waiting.
    pub fn cancel(&mut self, now: Moment, ticket: Ticket) -> bool {
        self.demands.remove(&ticket);
        self.queue.cancel(now, ticket)
    }

    /// Time after which a refused call may be retried.
    pub fn retry_after(&self, now: Moment, demand: &Demand) -> Duration {
        self.queue.retry_after(now, &demand.customer, demand.weight)
    }

    /// Starts the waiting calls that can start now.
    pub fn step(&mut self, now: Moment) -> Step {
        let mut step = Step::default();
        let mut tried = TriedCalls::default();
        while let Some(class) = self.startable_class(now) {
            let Some((ticket, offer)) = self.next_startable(now, class, &mut tried, &mut step)
            else {
                break;
            };
            match self.start(now, ticket, offer) {
                Some(started) => step.started.push(started),
                None => {
                    tried.tickets.insert(ticket);
                }
            }
        }
        if !self.queue.is_empty()
            && let Some(at) = self.pool.next_probe(now)
        {
            step.wake_at(at);
        }
        step
    }

    /// Records the start of a call's answer.
    pub fn record_answer_start(&mut self, now: Moment, endpoint: &EndpointId, run: RunId) {
        self.pool.record_answer_start(now, endpoint, run);
    }

    /// Ends a running call and settles its charge.
    ///
    /// A failed call is charged at most its expected duration.
    ///
    /// # Panics
    ///
    /// If the call is not in progress.
    pub fn finish(
        &mut self,
        now: Moment,
        endpoint: &EndpointId,
        run: RunId,
        result: &RunResult,
    ) -> FinishedCall {
        let finished = self.pool.finish(now, endpoint, run, result);
        let charge = self.charges.remove(&run);
        let charge = charge.expect("invariant: each running call has a charge");
        let service = match result.outcome {
            RunOutcome::Failed => finished.duration.min(charge.expected()),
            _ => finished.duration,
        };
        self.queue.settle(now, &charge, service);
        finished
    }

    /// Removes the cached prefixes of a program that has ended.
    pub fn forget_program(&mut self, program: &ProgramId) {
        self.pool.forget_program(program);
    }

    /// Number of waiting calls.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Number of running calls.
    pub fn running_count(&self) -> usize {
        self.charges.len()
    }

    /// The fair queue of the service.
    pub fn queue(&self) -> &FairQueue {
        &self.queue
    }

    /// The pool of endpoints of the service.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// The first `max_rows` waiting calls in order of arrival, with the reason
    /// why each one waits.
    pub fn waiting_rows(&self, now: Moment, max_rows: usize) -> Vec<(WaitingRow, WaitReason)> {
        let rows = self.queue.rows().into_iter().take(max_rows);
        rows.map(|row| {
            let reason = self.wait_reason(now, &row);
            (row, reason)
        })
        .collect()
    }

    /// State of all endpoints, as listed for operators.
    pub fn endpoint_rows(&self, now: Moment) -> Vec<EndpointRow> {
        self.pool.rows(now)
    }

    fn wait_reason(&self, now: Moment, row: &WaitingRow) -> WaitReason {
        let Some(demand) = self.demands.get(&row.ticket) else {
            return WaitReason::Turn;
        };
        match self.pool.choose(now, demand, row.queued_at) {
            Choice::Place(_) => WaitReason::Turn,
            Choice::Hold { endpoint, .. } => WaitReason::Prefix(endpoint),
            Choice::Full => WaitReason::Place,
        }
    }

    /// Class of calls for which an endpoint has a free slot; `None` if no
    /// waiting call can start.
    fn startable_class(&self, now: Moment) -> Option<Class> {
        if self.queue.is_empty() {
            return None;
        }
        if self.pool.has_room(now, false) {
            return Some(Class::Any);
        }
        let reserved = self.queue.has_interactive() && self.pool.has_room(now, true);
        reserved.then_some(Class::Interactive)
    }

    /// First waiting call in queue order that can start, within the look-ahead.
    fn next_startable(
        &self,
        now: Moment,
        class: Class,
        tried: &mut TriedCalls,
        step: &mut Step,
    ) -> Option<(Ticket, Offer)> {
        let remaining = self.look_ahead.saturating_sub(tried.tickets.len());
        let mut passed = Vec::new();
        let waiting = self.queue.order(class);
        let untried = waiting.filter(|ticket| !tried.tickets.contains(ticket));
        let mut found = None;
        for ticket in untried.take(remaining) {
            let demand = &self.demands[&ticket];
            let since = self.queue.queued_at(ticket).unwrap_or(now);
            match self
                .pool
                .choose_with_holds(now, demand, since, &tried.holds)
            {
                Choice::Place(offer) => {
                    found = Some((ticket, offer));
                    break;
                }
                Choice::Hold { endpoint, until } => {
                    *tried.holds.entry(endpoint).or_default() += 1;
                    step.wake_at(until);
                }
                Choice::Full => {}
            }
            passed.push(ticket);
        }
        tried.tickets.extend(passed);
        found
    }

    fn start(&mut self, now: Moment, ticket: Ticket, offer: Offer) -> Option<StartedCall> {
        let demand = &self.demands[&ticket];
        let run = self.pool.start(now, demand, &offer)?;
        let since = self.queue.queued_at(ticket).unwrap_or(now);
        let charge = self.queue.start(now, ticket);
        self.demands.remove(&ticket);
        self.charges.insert(run, charge);
        let endpoint = self.pool.endpoint(&offer.endpoint);
        let endpoint = endpoint.expect("invariant: the endpoint of a started call is in the pool");
        Some(StartedCall {
            ticket,
            run,
            endpoint: Arc::clone(endpoint),
            id: offer.endpoint,
            prefix: offer.prefix,
            waited: now.since(since),
        })
    }
}

/// Reason why a call waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// Every slot that the call may use is occupied.
    Place,
    /// The endpoint that has the call's prefix cached is full.
    Prefix(EndpointId),
    /// Other calls are ahead in the queue.
    Turn,
}
