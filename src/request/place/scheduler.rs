//! The fair queue of a service joined with its pool of endpoints.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::demand::Demand;
use super::demand::Finish;
use super::demand::Verdict;
use super::occupancy::Occupancy;
use super::pool::Choice;
use super::pool::EndpointRow;
use super::pool::Finished;
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
use crate::request::queue::Joined;
use crate::request::queue::Ticket;
use crate::request::queue::WaitingRow;
use crate::units::Moment;
use crate::version::catalogue::ConfiguredEndpoint;
use crate::version::objects::Endpoint;

/// A call that starts.
#[derive(Clone, Debug)]
pub struct Started {
    /// The call as it waited.
    pub ticket: Ticket,
    /// The call as it runs.
    pub run: RunId,
    /// The endpoint's name.
    pub id: EndpointId,
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// What it has of the program's prefix.
    pub prefix: Prefix,
    /// How long the call waited.
    pub waited: Duration,
}

/// Result of a step.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Calls that start.
    pub started: Vec<Started>,
    /// When to step again at the latest, if calls wait for a time.
    pub wake: Option<Moment>,
}

impl Step {
    fn wake_at(&mut self, at: Moment) {
        self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
    }
}

/// Calls that were tried in a step and did not start.
#[derive(Default)]
struct Tried {
    tickets: HashSet<Ticket>,
    holds: Holds,
}

/// The fair queue of a service joined with its pool of endpoints.
#[derive(Clone, Debug)]
pub struct Scheduler {
    look_ahead: usize,
    queue: FairQueue,
    pool: Pool,
    demands: HashMap<Ticket, Demand>,
    charges: HashMap<RunId, Charge>,
}

impl Scheduler {
    /// Without calls and endpoints, at a host in `data_centre`.
    pub fn new(queue: QueueConfig, place: PlaceConfig, data_centre: DataCentre) -> Self {
        Self {
            look_ahead: queue.look_ahead,
            queue: FairQueue::new(queue),
            pool: Pool::new(place, data_centre),
            demands: HashMap::new(),
            charges: HashMap::new(),
        }
    }

    /// Takes up the configured endpoints; see [`Pool::set_endpoints`].
    pub fn set_endpoints(
        &mut self,
        endpoints: &[ConfiguredEndpoint],
        occupancy: impl FnMut(&EndpointId) -> Arc<Occupancy>,
    ) {
        self.pool.set_endpoints(endpoints, occupancy);
    }

    /// True if any endpoint takes calls.
    pub fn is_serving(&self) -> bool {
        self.pool.is_serving()
    }

    /// Adds a call to the queue; [`Self::step`] may start it.
    ///
    /// # Errors
    ///
    /// [`queue::Refused`] if it may not wait.
    pub fn join(&mut self, now: Moment, demand: Demand) -> queue::Result<Joined> {
        let entry = Entry {
            customer: demand.customer.clone(),
            weight: demand.weight,
            program: demand.program.clone(),
            interactive: demand.interactive,
            cost: self.pool.expected(&demand),
            deadline: demand.deadline,
        };
        let joined = self.queue.join(now, entry)?;
        if let Some((ticket, _)) = joined.displaced {
            self.demands.remove(&ticket);
        }
        self.demands.insert(joined.ticket, demand);
        Ok(joined)
    }

    /// Removes a waiting call; false if it does not wait any more.
    pub fn cancel(&mut self, now: Moment, ticket: Ticket) -> bool {
        self.demands.remove(&ticket);
        self.queue.cancel(now, ticket)
    }

    /// When a refused call may come back.
    pub fn retry_after(&self, now: Moment, demand: &Demand) -> Duration {
        self.queue.retry_after(now, &demand.customer, demand.weight)
    }

    /// Starts every call that can start now.
    pub fn step(&mut self, now: Moment) -> Step {
        let mut step = Step::default();
        let mut tried = Tried::default();
        while let Some(class) = self.open_class(now) {
            let Some((ticket, offer)) = self.next(now, class, &mut tried, &mut step) else {
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

    /// Records that the answer of a call began.
    pub fn answering(&mut self, now: Moment, endpoint: &EndpointId, run: RunId) {
        self.pool.answering(now, endpoint, run);
    }

    /// Ends a running call. A failed call is charged no more than it was
    /// expected to take.
    ///
    /// # Panics
    ///
    /// If the call does not run.
    pub fn finish(
        &mut self,
        now: Moment,
        endpoint: &EndpointId,
        run: RunId,
        finish: &Finish,
    ) -> Finished {
        let finished = self.pool.finish(now, endpoint, run, finish);
        let charge = self.charges.remove(&run);
        let charge = charge.expect("invariant: a running call has a charge");
        let service = match finish.verdict {
            Verdict::Failed => finished.took.min(charge.expected()),
            _ => finished.took,
        };
        self.queue.settle(now, &charge, service);
        finished
    }

    /// Forgets the prefixes of a program that has ended.
    pub fn forget(&mut self, program: &ProgramId) {
        self.pool.forget(program);
    }

    /// Number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of running calls.
    pub fn running(&self) -> usize {
        self.charges.len()
    }

    /// The queue.
    pub fn queue(&self) -> &FairQueue {
        &self.queue
    }

    /// The endpoints.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Waiting calls and why each waits, in order of arrival, at most `most`.
    pub fn waiting_rows(&self, now: Moment, most: usize) -> Vec<(WaitingRow, Wait)> {
        let rows = self.queue.rows().into_iter().take(most);
        rows.map(|row| {
            let why = self.why(now, &row);
            (row, why)
        })
        .collect()
    }

    /// Endpoints as operators see them.
    pub fn endpoint_rows(&self, now: Moment) -> Vec<EndpointRow> {
        self.pool.rows(now)
    }

    fn why(&self, now: Moment, row: &WaitingRow) -> Wait {
        let Some(demand) = self.demands.get(&row.ticket) else {
            return Wait::Turn;
        };
        match self.pool.choose(now, demand, row.since) {
            Choice::Place(_) => Wait::Turn,
            Choice::Hold { endpoint, .. } => Wait::Prefix(endpoint),
            Choice::Full => Wait::Place,
        }
    }

    /// Calls for which some endpoint has room.
    fn open_class(&self, now: Moment) -> Option<Class> {
        if self.queue.is_empty() {
            return None;
        }
        if self.pool.has_room(now, false) {
            return Some(Class::Any);
        }
        let reserved = self.queue.has_interactive() && self.pool.has_room(now, true);
        reserved.then_some(Class::Interactive)
    }

    /// The first waiting call in order that has an endpoint.
    fn next(
        &self,
        now: Moment,
        class: Class,
        tried: &mut Tried,
        step: &mut Step,
    ) -> Option<(Ticket, Offer)> {
        let left = self.look_ahead.saturating_sub(tried.tickets.len());
        let mut passed = Vec::new();
        let waiting = self.queue.order(class);
        let untried = waiting.filter(|ticket| !tried.tickets.contains(ticket));
        let mut found = None;
        for ticket in untried.take(left) {
            let demand = &self.demands[&ticket];
            let since = self.queue.since(ticket).unwrap_or(now);
            match self.pool.choose_beside(now, demand, since, &tried.holds) {
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

    fn start(&mut self, now: Moment, ticket: Ticket, offer: Offer) -> Option<Started> {
        let demand = &self.demands[&ticket];
        let run = self.pool.start(now, demand, &offer)?;
        let since = self.queue.since(ticket).unwrap_or(now);
        let charge = self.queue.start(now, ticket);
        self.demands.remove(&ticket);
        self.charges.insert(run, charge);
        let endpoint = self.pool.endpoint(&offer.endpoint);
        let endpoint = endpoint.expect("invariant: a started call has an endpoint");
        Some(Started {
            ticket,
            run,
            endpoint: Arc::clone(endpoint),
            id: offer.endpoint,
            prefix: offer.prefix,
            waited: now.since(since),
        })
    }
}

/// Why a call waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Wait {
    /// Every place that it may use is taken.
    Place,
    /// The endpoint that holds its prefix is full.
    Prefix(EndpointId),
    /// Other calls go first.
    Turn,
}
