//! Fair queue of one service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use super::attained::AttainedService;
use super::drain::DrainRate;
use super::flow::Class;
use super::flow::Flow;
use super::flow::Rank;
use super::flow::VirtualTime;
use crate::configs::queue::QueueConfig;
use crate::ids::CustomerId;
use crate::ids::ProgramId;
use crate::units::Moment;

/// Lower bound of the time after which a refused call may be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Upper bound of the time after which a refused call may be retried.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Time after which a refused call may be retried while the drain rate is
/// unknown.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// A call is refused if its expected wait exceeds the time until its deadline
/// by this factor.
const DEADLINE_MARGIN: f64 = 2.0;

/// Number of idle customers above which those whose virtual time is not ahead
/// of the queue's are removed.
const MAX_IDLE_FLOWS: usize = 64;

/// Identifies a waiting call within a queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Properties of a call that determine its order in the queue.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Customer to which the call is charged.
    pub customer: CustomerId,
    /// Share of the customer relative to other customers.
    pub weight: f64,
    /// Root program; its attained service determines the call's rank.
    pub program: ProgramId,
    /// Whether the call may use slots reserved for interactive calls.
    pub interactive: bool,
    /// Expected service: the expected duration of the call at an endpoint.
    pub cost: Duration,
    /// Time by which the answer must be complete.
    pub deadline: Moment,
}

/// Reason why a call is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Overload {
    /// The queue is full and the customer already has its share of it.
    Full,
    /// The call would not start before its deadline.
    Deadline,
}

/// Refusal of a call by the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Reason of the refusal.
    pub reason: Overload,
    /// Time after which the call may be retried.
    pub retry_after: Duration,
}

/// Result of joining the queue.
pub type Result<T> = std::result::Result<T, Refused>;

/// A call that joined the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JoinedCall {
    /// Ticket of the call.
    pub ticket: Ticket,
    /// Call removed from the full queue to make room, and the time after which
    /// it may be retried. It is a call of the customer with the most waiting
    /// calls relative to its weight.
    pub displaced: Option<(Ticket, Duration)>,
}

/// Expected service charged for a started call, corrected when the call ends.
#[derive(Clone, Debug)]
pub struct Charge {
    customer: CustomerId,
    weight: f64,
    program: ProgramId,
    expected: Duration,
}

impl Charge {
    /// Service expected at the start of the call.
    pub const fn expected(&self) -> Duration {
        self.expected
    }
}

/// A waiting call, as listed for operators.
#[derive(Clone, Debug)]
pub struct WaitingRow {
    /// Ticket of the call.
    pub ticket: Ticket,
    /// Customer to which the call is charged.
    pub customer: CustomerId,
    /// Root program of the call.
    pub program: ProgramId,
    /// Time at which the call was queued.
    pub queued_at: Moment,
    /// Whether the call may use slots reserved for interactive calls.
    pub interactive: bool,
}

#[derive(Clone, Debug)]
struct Waiting {
    entry: Entry,
    rank: Rank,
    queued_at: Moment,
}

/// Fair queue of one service.
#[derive(Clone, Debug)]
pub struct FairQueue {
    cfg: QueueConfig,
    flows: BTreeMap<CustomerId, Flow>,
    /// Customers with waiting calls, ordered by virtual time.
    active: BTreeSet<(VirtualTime, CustomerId)>,
    waiting: HashMap<Ticket, Waiting>,
    attained_service: AttainedService,
    drain_rate: DrainRate,
    virtual_time: VirtualTime,
    next_ticket: u64,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(cfg: QueueConfig) -> Self {
        Self {
            cfg,
            flows: BTreeMap::new(),
            active: BTreeSet::new(),
            waiting: HashMap::new(),
            attained_service: AttainedService::default(),
            drain_rate: DrainRate::default(),
            virtual_time: VirtualTime::default(),
            next_ticket: 0,
        }
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Attained service of the tracked programs.
    pub fn attained_service(&self) -> &AttainedService {
        &self.attained_service
    }

    /// Adds a call to the queue.
    ///
    /// # Errors
    ///
    /// [`Refused`] if the queue is full or the deadline cannot be met.
    pub fn join(&mut self, now: Moment, entry: Entry) -> Result<JoinedCall> {
        self.attained_service
            .remove_idle(now, self.cfg.program_idle);
        let attained = self.attained_service.attained(&entry.program);
        let rank = Rank::new(now, attained.min(self.cfg.max_attained), self.cfg.ageing);
        if self.misses_deadline(now, &entry, rank) {
            return Err(self.refusal(now, Overload::Deadline, &entry));
        }
        let displaced = self.make_room(now, &entry)?;
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.attained_service.open_call(&entry.program, entry.cost);
        self.drain_rate.mark_backlogged(now);
        self.insert(
            ticket,
            Waiting {
                entry,
                rank,
                queued_at: now,
            },
        );
        Ok(JoinedCall { ticket, displaced })
    }

    /// Removes a cancelled call; returns whether it was still waiting.
    pub fn cancel(&mut self, now: Moment, ticket: Ticket) -> bool {
        let Some(Waiting { entry, .. }) = self.remove(ticket) else {
            return false;
        };
        let no_service = Duration::ZERO;
        self.attained_service
            .close_call(now, &entry.program, entry.cost, no_service);
        if self.waiting.is_empty() {
            self.drain_rate.mark_empty();
        }
        true
    }

    /// Waiting calls in the order in which they should start.
    ///
    /// Each start changes the order.
    pub fn order(&self, class: Class) -> impl Iterator<Item = Ticket> {
        let customers = self.active.iter();
        customers.flat_map(move |(_, customer)| self.flows[customer].calls(class))
    }

    /// Whether an interactive call waits.
    pub fn has_interactive(&self) -> bool {
        let mut customers = self.active.iter();
        customers.any(|(_, customer)| self.flows[customer].has_interactive())
    }

    /// Starts a waiting call and charges its expected service to the customer.
    ///
    /// # Panics
    ///
    /// If the call is not waiting.
    pub fn start(&mut self, now: Moment, ticket: Ticket) -> Charge {
        let removed = self.remove(ticket);
        let Waiting { entry, .. } = removed.expect("invariant: only waiting calls start");
        self.drain_rate.record_start(now, !self.waiting.is_empty());
        let flow = self.flows.get(&entry.customer);
        let flow = flow.expect("invariant: a customer with a call has a flow");
        self.virtual_time = self.virtual_time.max(flow.virtual_time);
        let weight = flow.weight;
        self.set_virtual_time(
            &entry.customer,
            flow.virtual_time.advanced_by(entry.cost, weight),
        );
        Charge {
            customer: entry.customer,
            weight,
            program: entry.program,
            expected: entry.cost,
        }
    }

    /// Corrects a charge to the actual service at the end of the call.
    pub fn settle(&mut self, now: Moment, charge: &Charge, actual: Duration) {
        let Charge {
            customer,
            weight,
            program,
            expected,
        } = charge;
        self.attained_service
            .close_call(now, program, *expected, actual);
        let Some(flow) = self.flows.get(customer) else {
            return;
        };
        let more = actual.saturating_sub(*expected);
        let less = expected.saturating_sub(actual);
        let time = flow
            .virtual_time
            .advanced_by(more, *weight)
            .moved_back_by(less, *weight);
        self.set_virtual_time(customer, time);
        if self.flows.len() > self.active.len() + MAX_IDLE_FLOWS {
            self.remove_idle_flows();
        }
    }

    /// Difference between a customer's virtual time and that of the queue; 0 if
    /// the customer is not ahead.
    pub fn virtual_lead(&self, customer: &CustomerId) -> Duration {
        let flow = self.flows.get(customer);
        flow.map(|flow| flow.virtual_time.since(self.virtual_time))
            .unwrap_or_default()
    }

    /// Time at which a call was queued; `None` if it is not waiting.
    pub fn queued_at(&self, ticket: Ticket) -> Option<Moment> {
        self.waiting.get(&ticket).map(|waiting| waiting.queued_at)
    }

    /// Waiting calls in order of arrival, as listed for operators.
    pub fn rows(&self) -> Vec<WaitingRow> {
        let row = |(ticket, waiting): (&Ticket, &Waiting)| WaitingRow {
            ticket: *ticket,
            customer: waiting.entry.customer.clone(),
            program: waiting.entry.program.clone(),
            queued_at: waiting.queued_at,
            interactive: waiting.entry.interactive,
        };
        let mut rows: Vec<_> = self.waiting.iter().map(row).collect();
        rows.sort_by_key(|row| row.ticket);
        rows
    }

    /// Time after which a refused call of a customer may be retried.
    pub fn retry_after(&self, now: Moment, customer: &CustomerId, weight: f64) -> Duration {
        let Some(interval) = self.start_interval(now, customer, weight) else {
            return DEFAULT_RETRY_AFTER;
        };
        let waiting = self.flows.get(customer).map_or(0, Flow::len);
        let wait = interval.as_secs_f64() * (waiting + 1) as f64;
        let wait = wait.min(MAX_RETRY_AFTER.as_secs_f64());
        Duration::from_secs_f64(wait).max(MIN_RETRY_AFTER)
    }

    /// Expected interval between starts of a customer's calls; `None` while the
    /// drain rate is unknown.
    fn start_interval(&self, now: Moment, customer: &CustomerId, weight: f64) -> Option<Duration> {
        let interval = self.drain_rate.interval(now)?.as_secs_f64();
        let others = self.active.iter().filter(|(_, active)| active != customer);
        let weights: f64 = others.map(|(_, other)| self.flows[other].weight).sum();
        let seconds = interval * (weights + weight) / weight;
        Some(Duration::from_secs_f64(
            seconds.min(MAX_RETRY_AFTER.as_secs_f64()),
        ))
    }

    fn misses_deadline(&self, now: Moment, entry: &Entry, rank: Rank) -> bool {
        if now >= entry.deadline {
            return true;
        }
        let Some(flow) = self.flows.get(&entry.customer) else {
            return false;
        };
        let Some(interval) = self.start_interval(now, &entry.customer, entry.weight) else {
            return false;
        };
        let remaining = now.until(entry.deadline).as_secs_f64() * DEADLINE_MARGIN;
        let max_ahead = remaining / interval.as_secs_f64().max(f64::MIN_POSITIVE);
        flow.has_more_ahead(entry.interactive, rank, max_ahead.min(1e9) as usize)
    }

    /// Displaces the last call of the customer with the most waiting calls
    /// relative to its weight if the queue is full.
    ///
    /// Refuses the new call if its own customer is that customer.
    fn make_room(&mut self, now: Moment, entry: &Entry) -> Result<Option<(Ticket, Duration)>> {
        if self.waiting.len() < self.cfg.max_waiting {
            return Ok(None);
        }
        let own_calls = self.flows.get(&entry.customer).map_or(0, Flow::len) + 1;
        let own_length = own_calls as f64 / entry.weight;
        let active = self.active.iter().map(|(_, customer)| customer);
        let longest = active
            .filter(|customer| **customer != entry.customer)
            .map(|customer| (self.flows[customer].weighted_length(), customer))
            .max_by(|a, b| a.0.total_cmp(&b.0));
        let Some((length, customer)) = longest.filter(|(length, _)| *length > own_length) else {
            return Err(self.refusal(now, Overload::Full, entry));
        };
        debug_assert!(length > 0.0, "the flow of an active customer is not empty");
        let flow = &self.flows[customer];
        let retry_after = self.retry_after(now, customer, flow.weight);
        let last = flow
            .last()
            .expect("invariant: an active customer has waiting calls");
        self.cancel(now, last);
        Ok(Some((last, retry_after)))
    }

    fn refusal(&self, now: Moment, reason: Overload, entry: &Entry) -> Refused {
        Refused {
            reason,
            retry_after: self.retry_after(now, &entry.customer, entry.weight),
        }
    }

    fn insert(&mut self, ticket: Ticket, waiting: Waiting) {
        let entry = &waiting.entry;
        let new_flow = || Flow::new(entry.weight, self.virtual_time);
        let flow = self
            .flows
            .entry(entry.customer.clone())
            .or_insert_with(new_flow);
        flow.weight = entry.weight;
        if flow.is_empty() {
            flow.virtual_time = flow.virtual_time.max(self.virtual_time);
            self.active
                .insert((flow.virtual_time, entry.customer.clone()));
        }
        flow.insert(entry.interactive, waiting.rank, ticket);
        self.waiting.insert(ticket, waiting);
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        let customer = &waiting.entry.customer;
        let flow = self.flows.get_mut(customer);
        let flow = flow.expect("invariant: a customer with a call has a flow");
        flow.remove(waiting.entry.interactive, waiting.rank, ticket);
        if flow.is_empty() {
            self.active.remove(&(flow.virtual_time, customer.clone()));
        }
        Some(waiting)
    }

    fn set_virtual_time(&mut self, customer: &CustomerId, time: VirtualTime) {
        let Some(flow) = self.flows.get_mut(customer) else {
            return;
        };
        if !flow.is_empty() {
            self.active.remove(&(flow.virtual_time, customer.clone()));
            self.active.insert((time, customer.clone()));
        }
        flow.virtual_time = time;
    }

    /// Removes idle customers whose virtual time is not ahead of the queue's;
    /// they would start at the queue's virtual time anyway.
    fn remove_idle_flows(&mut self) {
        let time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.is_empty() || flow.virtual_time > time);
    }
}
