//! Queueing and placement policies of one host for the calls of one service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicoryarch::configs::place::PlaceConfig;
use chicoryarch::configs::queue::QueueConfig;
use chicoryarch::ids::CustomerId;
use chicoryarch::ids::DataCentre;
use chicoryarch::ids::EndpointId;
use chicoryarch::request::answer::Usage;
use chicoryarch::request::place::Demand;
use chicoryarch::request::place::Occupancy;
use chicoryarch::request::place::Prefix;
use chicoryarch::request::place::RunId;
use chicoryarch::request::place::RunOutcome;
use chicoryarch::request::place::RunResult;
use chicoryarch::request::place::Scheduler;
use chicoryarch::request::queue::Charge;
use chicoryarch::request::queue::Class;
use chicoryarch::request::queue::Entry;
use chicoryarch::request::queue::FairQueue;
use chicoryarch::request::queue::Ticket;
use chicoryarch::units::Moment;
use chicoryarch::version::catalogue::ConfiguredEndpoint;

/// Expected service time of each call in a fair queue without speed estimates.
const FLAT_COST: Duration = Duration::from_secs(1);

/// A policy of queueing and placement.
#[derive(Clone, Debug)]
pub(crate) enum DispatchPolicy {
    /// No queue; endpoints in round robin, without a concurrency limit.
    Unbounded,
    /// First come, first served; endpoints with a free slot in round robin.
    RoundRobin,
    /// First come, first served; the endpoint with the fewest calls in flight.
    LeastInFlight,
    /// The fair queue; the endpoint with the fewest calls in flight.
    FairLeast(QueueConfig),
    /// First come, first served; the scheduler's choice of endpoints.
    FcfsPlaced(PlaceConfig),
    /// The fair queue and the scheduler's choice of endpoints, as in a host.
    Full(QueueConfig, PlaceConfig),
}

/// A call that is dispatched to an endpoint.
#[derive(Debug)]
pub(crate) struct Start {
    /// Index of the call.
    pub(crate) call: usize,
    /// Index of the endpoint among those of the deployment.
    pub(crate) endpoint: usize,
    /// Identifies the run in [`Dispatcher::finish`].
    pub(crate) handle: u64,
    /// Prompt prefix that the endpoint is expected to hold.
    pub(crate) prefix: Prefix,
}

/// Queues the calls of one service at one host and assigns them to endpoints.
pub(crate) enum Dispatcher {
    /// Dispatches every call immediately.
    Direct(Direct),
    /// The fair queue with call counts by endpoint.
    Counted(Box<Counted>),
    /// The scheduler of a host.
    Scheduled(Scheduled),
}

/// Dispatches every call immediately, to endpoints in round robin.
pub(crate) struct Direct {
    next: usize,
    endpoints: Vec<usize>,
    running: BTreeMap<usize, u32>,
    ready: Vec<Start>,
}

/// The fair queue with call counts by endpoint.
pub(crate) struct Counted {
    queue: FairQueue,
    single_customer: bool,
    round_robin: bool,
    last_endpoint: usize,
    limits: BTreeMap<usize, u32>,
    running: BTreeMap<usize, u32>,
    calls: HashMap<Ticket, (usize, Demand)>,
    charges: HashMap<u64, (Charge, Moment)>,
}

/// The scheduler of a host.
pub(crate) struct Scheduled {
    scheduler: Box<Scheduler>,
    single_customer: bool,
    calls: HashMap<Ticket, usize>,
    indices: HashMap<EndpointId, usize>,
}

/// An endpoint that a dispatcher uses.
#[derive(Clone, Debug)]
pub(crate) struct DispatcherEndpoint {
    /// Index among the endpoints of the deployment.
    pub(crate) index: usize,
    /// Configuration of the endpoint.
    pub(crate) configured: ConfiguredEndpoint,
    /// Calls of this host at the endpoint.
    pub(crate) occupancy: Arc<Occupancy>,
}

impl Dispatcher {
    /// Dispatcher of one of `hosts` hosts; its host is in `data_centre`.
    pub(crate) fn new(
        kind: &DispatchPolicy,
        endpoints: &[DispatcherEndpoint],
        hosts: usize,
        data_centre: DataCentre,
    ) -> Self {
        let counted = |cfg: QueueConfig, single_customer, round_robin| {
            let share = |places: u32| places.div_ceil(hosts as u32);
            let limit =
                |e: &DispatcherEndpoint| (e.index, share(e.configured.endpoint.concurrency));
            Self::Counted(Box::new(Counted {
                queue: FairQueue::new(cfg),
                single_customer,
                round_robin,
                last_endpoint: 0,
                limits: endpoints.iter().map(limit).collect(),
                running: BTreeMap::new(),
                calls: HashMap::new(),
                charges: HashMap::new(),
            }))
        };
        match kind {
            DispatchPolicy::Unbounded => Self::Direct(Direct {
                next: 0,
                endpoints: endpoints.iter().map(|e| e.index).collect(),
                running: BTreeMap::new(),
                ready: Vec::new(),
            }),
            DispatchPolicy::RoundRobin => counted(fcfs_config(), true, true),
            DispatchPolicy::LeastInFlight => counted(fcfs_config(), true, false),
            DispatchPolicy::FairLeast(cfg) => counted(cfg.clone(), false, false),
            DispatchPolicy::FcfsPlaced(place) => {
                Self::scheduled(fcfs_config(), place.clone(), endpoints, data_centre, true)
            }
            DispatchPolicy::Full(queue, place) => {
                Self::scheduled(queue.clone(), place.clone(), endpoints, data_centre, false)
            }
        }
    }

    fn scheduled(
        queue: QueueConfig,
        place: PlaceConfig,
        endpoints: &[DispatcherEndpoint],
        data_centre: DataCentre,
        single_customer: bool,
    ) -> Self {
        let mut scheduler = Scheduler::new(queue, place, data_centre);
        let configured: Vec<_> = endpoints.iter().map(|e| e.configured.clone()).collect();
        let occupancy = |id: &EndpointId| {
            let found = endpoints.iter().find(|e| e.configured.id == *id);
            Arc::clone(&found.expect("the endpoint is configured").occupancy)
        };
        scheduler.set_endpoints(&configured, occupancy);
        let indices = endpoints.iter().map(|e| (e.configured.id.clone(), e.index));
        Self::Scheduled(Scheduled {
            scheduler: Box::new(scheduler),
            single_customer,
            calls: HashMap::new(),
            indices: indices.collect(),
        })
    }

    /// Queues a call. Returns the call that it displaced, if any.
    ///
    /// # Errors
    ///
    /// The time after which to retry, if the queue refuses the call.
    pub(crate) fn join(
        &mut self,
        now: Moment,
        call: usize,
        mut demand: Demand,
        avoid: &[usize],
    ) -> Result<Option<usize>, Duration> {
        match self {
            Self::Direct(direct) => {
                direct.join(call, avoid);
                Ok(None)
            }
            Self::Counted(counted) => {
                if counted.single_customer {
                    demand.customer = shared_customer();
                }
                counted.join(now, call, demand).map(|()| None)
            }
            Self::Scheduled(scheduled) => {
                if scheduled.single_customer {
                    demand.customer = shared_customer();
                }
                let joined = scheduled.scheduler.join(now, demand);
                let joined = joined.map_err(|refused| refused.retry_after)?;
                scheduled.calls.insert(joined.ticket, call);
                let displaced = joined.displaced;
                Ok(displaced.and_then(|(ticket, _)| scheduled.calls.remove(&ticket)))
            }
        }
    }

    /// Dispatches calls; also returns when to call this again.
    pub(crate) fn step(&mut self, now: Moment) -> (Vec<Start>, Option<Moment>) {
        match self {
            Self::Direct(direct) => (std::mem::take(&mut direct.ready), None),
            Self::Counted(counted) => (counted.step(now), None),
            Self::Scheduled(scheduled) => {
                let step = scheduled.scheduler.step(now);
                let starts = step.started.into_iter().map(|started| Start {
                    call: scheduled
                        .calls
                        .remove(&started.ticket)
                        .expect("the call was queued"),
                    endpoint: scheduled.indices[&started.id],
                    handle: started.run.0,
                    prefix: started.prefix,
                });
                (starts.collect(), step.wake)
            }
        }
    }

    /// Records that the answer of a run has started.
    pub(crate) fn record_answer_start(&mut self, now: Moment, endpoint: &EndpointId, handle: u64) {
        if let Self::Scheduled(scheduled) = self {
            scheduled
                .scheduler
                .record_answer_start(now, endpoint, RunId(handle));
        }
    }

    /// Records the end of a run.
    pub(crate) fn finish(
        &mut self,
        now: Moment,
        (index, endpoint): (usize, &EndpointId),
        handle: u64,
        outcome: RunOutcome,
        usage: Option<Usage>,
    ) {
        match self {
            Self::Direct(direct) => *direct.running.entry(index).or_default() -= 1,
            Self::Counted(counted) => {
                *counted.running.entry(index).or_default() -= 1;
                let (charge, since) = counted
                    .charges
                    .remove(&handle)
                    .expect("the run is in progress");
                counted.queue.settle(now, &charge, now.since(since));
            }
            Self::Scheduled(scheduled) => {
                let finish = RunResult { outcome, usage };
                scheduled
                    .scheduler
                    .finish(now, endpoint, RunId(handle), &finish);
            }
        }
    }
}

/// Queue settings without ordering between programs.
fn fcfs_config() -> QueueConfig {
    QueueConfig {
        max_attained: Duration::ZERO,
        ..QueueConfig::default()
    }
}

/// The only customer of a queue without ordering between customers.
fn shared_customer() -> CustomerId {
    "everyone".parse().expect("a valid name")
}

impl Direct {
    fn join(&mut self, call: usize, avoid: &[usize]) {
        let endpoints = &self.endpoints;
        let allowed = |e: &usize| avoid.len() >= endpoints.len() || !avoid.contains(e);
        let allowed: Vec<_> = endpoints.iter().copied().filter(allowed).collect();
        self.next += 1;
        let endpoint = allowed[self.next % allowed.len()];
        *self.running.entry(endpoint).or_default() += 1;
        self.ready.push(Start {
            call,
            endpoint,
            handle: 0,
            prefix: Prefix::Cold,
        });
    }
}

impl Counted {
    fn join(&mut self, now: Moment, call: usize, demand: Demand) -> Result<(), Duration> {
        let entry = Entry {
            customer: demand.customer.clone(),
            weight: demand.weight,
            program: demand.program.clone(),
            interactive: demand.interactive,
            cost: FLAT_COST,
            deadline: demand.deadline,
        };
        let joined = self.queue.join(now, entry).map_err(|e| e.retry_after)?;
        self.calls.insert(joined.ticket, (call, demand));
        Ok(())
    }

    fn step(&mut self, now: Moment) -> Vec<Start> {
        let mut starts = Vec::new();
        loop {
            let next = self.queue.order(Class::Any).next();
            let Some(ticket) = next else {
                break;
            };
            let Some(endpoint) = self.next_endpoint() else {
                break;
            };
            self.last_endpoint = endpoint;
            let charge = self.queue.start(now, ticket);
            let (call, _) = self.calls.remove(&ticket).expect("the call was queued");
            *self.running.entry(endpoint).or_default() += 1;
            let handle = ticket.0;
            self.charges.insert(handle, (charge, now));
            starts.push(Start {
                call,
                endpoint,
                handle,
                prefix: Prefix::Cold,
            });
        }
        starts
    }

    /// The next endpoint to use, `None` if all are full.
    fn next_endpoint(&self) -> Option<usize> {
        let free = self.limits.iter().filter_map(|(index, limit)| {
            let running = self.running.get(index).copied().unwrap_or_default();
            (running < *limit).then_some((running, *index))
        });
        let free: Vec<_> = free.collect();
        if self.round_robin {
            let after = free.iter().find(|(_, index)| *index > self.last_endpoint);
            return after.or(free.first()).map(|(_, index)| *index);
        }
        free.iter().min().map(|(_, index)| *index)
    }
}
