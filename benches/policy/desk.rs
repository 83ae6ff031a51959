//! How one host queues and places the calls of one service.

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

/// Service that a fair queue without learnt speeds expects of each call.
const FLAT_COST: Duration = Duration::from_secs(1);

/// A policy of queueing and placement.
#[derive(Clone, Debug)]
pub(crate) enum DeskKind {
    /// No queue; endpoints in turn, each with as many calls as come.
    Unbounded,
    /// First come, first served; endpoints in turn that have a place free.
    RoundRobin,
    /// First come, first served; the endpoint with the fewest calls.
    LeastInFlight,
    /// The fair queue before the endpoint with the fewest calls.
    FairLeast(QueueConfig),
    /// First come, first served before the choice of endpoints in the tree.
    FcfsPlaced(PlaceConfig),
    /// The fair queue and the choice of endpoints in the tree.
    Full(QueueConfig, PlaceConfig),
}

/// A call that starts.
#[derive(Debug)]
pub(crate) struct Start {
    /// Number of the call.
    pub(crate) call: usize,
    /// Index of the endpoint among those of the deployment.
    pub(crate) endpoint: usize,
    /// Number to give back at the end.
    pub(crate) handle: u64,
    /// What the endpoint is believed to hold.
    pub(crate) prefix: Prefix,
}

/// One host's part for one service.
pub(crate) enum Desk {
    /// Starts every call at once.
    Direct(Direct),
    /// The fair queue with simple counts.
    Counted(Box<Counted>),
    /// The scheduler in the tree.
    Scheduled(Scheduled),
}

/// Starts every call at once, at endpoints in turn.
pub(crate) struct Direct {
    next: usize,
    endpoints: Vec<usize>,
    running: BTreeMap<usize, u32>,
    ready: Vec<Start>,
}

/// The fair queue with simple counts.
pub(crate) struct Counted {
    queue: FairQueue,
    single: bool,
    in_turn: bool,
    last: usize,
    most: BTreeMap<usize, u32>,
    running: BTreeMap<usize, u32>,
    calls: HashMap<Ticket, (usize, Demand)>,
    charges: HashMap<u64, (Charge, Moment)>,
}

/// The scheduler in the tree.
pub(crate) struct Scheduled {
    scheduler: Box<Scheduler>,
    single: bool,
    calls: HashMap<Ticket, usize>,
    indices: HashMap<EndpointId, usize>,
}

/// An endpoint of a desk.
#[derive(Clone, Debug)]
pub(crate) struct DeskEndpoint {
    /// Index among those of the deployment.
    pub(crate) index: usize,
    /// Its configuration.
    pub(crate) configured: ConfiguredEndpoint,
    /// Calls of this host there.
    pub(crate) occupancy: Arc<Occupancy>,
}

impl Desk {
    /// A desk at a host in `data_centre`, one of `hosts`.
    pub(crate) fn new(
        kind: &DeskKind,
        endpoints: &[DeskEndpoint],
        hosts: usize,
        data_centre: DataCentre,
    ) -> Self {
        let counted = |cfg: QueueConfig, single, in_turn| {
            let share = |places: u32| places.div_ceil(hosts as u32);
            let most = |e: &DeskEndpoint| (e.index, share(e.configured.endpoint.concurrency));
            Self::Counted(Box::new(Counted {
                queue: FairQueue::new(cfg),
                single,
                in_turn,
                last: 0,
                most: endpoints.iter().map(most).collect(),
                running: BTreeMap::new(),
                calls: HashMap::new(),
                charges: HashMap::new(),
            }))
        };
        match kind {
            DeskKind::Unbounded => Self::Direct(Direct {
                next: 0,
                endpoints: endpoints.iter().map(|e| e.index).collect(),
                running: BTreeMap::new(),
                ready: Vec::new(),
            }),
            DeskKind::RoundRobin => counted(fcfs(), true, true),
            DeskKind::LeastInFlight => counted(fcfs(), true, false),
            DeskKind::FairLeast(cfg) => counted(cfg.clone(), false, false),
            DeskKind::FcfsPlaced(place) => {
                Self::scheduled(fcfs(), place.clone(), endpoints, data_centre, true)
            }
            DeskKind::Full(queue, place) => {
                Self::scheduled(queue.clone(), place.clone(), endpoints, data_centre, false)
            }
        }
    }

    fn scheduled(
        queue: QueueConfig,
        place: PlaceConfig,
        endpoints: &[DeskEndpoint],
        data_centre: DataCentre,
        single: bool,
    ) -> Self {
        let mut scheduler = Scheduler::new(queue, place, data_centre);
        let configured: Vec<_> = endpoints.iter().map(|e| e.configured.clone()).collect();
        let occupancy = |id: &EndpointId| {
            let found = endpoints.iter().find(|e| e.configured.id == *id);
            Arc::clone(&found.expect("it is one of them").occupancy)
        };
        scheduler.set_endpoints(&configured, occupancy);
        let indices = endpoints.iter().map(|e| (e.configured.id.clone(), e.index));
        Self::Scheduled(Scheduled {
            scheduler: Box::new(scheduler),
            single,
            calls: HashMap::new(),
            indices: indices.collect(),
        })
    }

    /// Adds a call, or says when it may come back; a call that is removed for
    /// it is returned.
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
                if counted.single {
                    demand.customer = everyone();
                }
                counted.join(now, call, demand).map(|()| None)
            }
            Self::Scheduled(desk) => {
                if desk.single {
                    demand.customer = everyone();
                }
                let joined = desk.scheduler.join(now, demand);
                let joined = joined.map_err(|refused| refused.retry_after)?;
                desk.calls.insert(joined.ticket, call);
                let displaced = joined.displaced;
                Ok(displaced.and_then(|(ticket, _)| desk.calls.remove(&ticket)))
            }
        }
    }

    /// Starts what can start; also when to step again.
    pub(crate) fn step(&mut self, now: Moment) -> (Vec<Start>, Option<Moment>) {
        match self {
            Self::Direct(direct) => (std::mem::take(&mut direct.ready), None),
            Self::Counted(counted) => (counted.step(now), None),
            Self::Scheduled(desk) => {
                let step = desk.scheduler.step(now);
                let starts = step.started.into_iter().map(|started| Start {
                    call: desk.calls.remove(&started.ticket).expect("it waited"),
                    endpoint: desk.indices[&started.id],
                    handle: started.run.0,
                    prefix: started.prefix,
                });
                (starts.collect(), step.wake)
            }
        }
    }

    /// The answer of a call begins.
    pub(crate) fn answering(&mut self, now: Moment, endpoint: &EndpointId, handle: u64) {
        if let Self::Scheduled(desk) = self {
            desk.scheduler
                .record_answer_start(now, endpoint, RunId(handle));
        }
    }

    /// A call ends.
    pub(crate) fn finish(
        &mut self,
        now: Moment,
        (index, endpoint): (usize, &EndpointId),
        handle: u64,
        verdict: RunOutcome,
        usage: Option<Usage>,
    ) {
        match self {
            Self::Direct(direct) => *direct.running.entry(index).or_default() -= 1,
            Self::Counted(counted) => {
                *counted.running.entry(index).or_default() -= 1;
                let (charge, since) = counted.charges.remove(&handle).expect("it runs");
                counted.queue.settle(now, &charge, now.since(since));
            }
            Self::Scheduled(desk) => {
                let finish = RunResult {
                    outcome: verdict,
                    usage,
                };
                desk.scheduler.finish(now, endpoint, RunId(handle), &finish);
            }
        }
    }
}

/// A queue without order between programs.
fn fcfs() -> QueueConfig {
    QueueConfig {
        max_attained: Duration::ZERO,
        ..QueueConfig::default()
    }
}

/// The one customer of a queue without order between customers.
fn everyone() -> CustomerId {
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
            let Some(endpoint) = self.free() else {
                break;
            };
            self.last = endpoint;
            let charge = self.queue.start(now, ticket);
            let (call, _) = self.calls.remove(&ticket).expect("it waited");
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

    /// The endpoint to use next, of those with a free place.
    fn free(&self) -> Option<usize> {
        let free = self.most.iter().filter_map(|(index, most)| {
            let running = self.running.get(index).copied().unwrap_or_default();
            (running < *most).then_some((running, *index))
        });
        let free: Vec<_> = free.collect();
        if self.in_turn {
            let after = free.iter().find(|(_, index)| *index > self.last);
            return after.or(free.first()).map(|(_, index)| *index);
        }
        free.iter().min().map(|(_, index)| *index)
    }
}
