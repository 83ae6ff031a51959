//! Simulates a trace through limiter, queue and placement in virtual time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use chicoryarch::configs::retry::RetryConfig;
use chicoryarch::ids::Partition;
use chicoryarch::ids::ProgramId;
use chicoryarch::load::deployment::Deployment;
use chicoryarch::load::program::Agent;
use chicoryarch::load::program::CallSpec;
use chicoryarch::load::program::Program;
use chicoryarch::load::program::Step;
use chicoryarch::request::answer::Usage;
use chicoryarch::request::place::Demand;
use chicoryarch::request::place::LoadReport;
use chicoryarch::request::place::Occupancy;
use chicoryarch::request::place::Prefix;
use chicoryarch::request::place::RunOutcome;
use chicoryarch::request::retry::Failure;
use chicoryarch::request::retry::RetryBudget;
use chicoryarch::units::Moment;
use chicoryarch::units::Tokens;
use chicoryarch::version::catalogue::ConfiguredEndpoint;
use chicoryarch::version::objects::Endpoint;
use chicoryarch::version::objects::EndpointState;

use crate::dispatcher::DispatchPolicy;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::DispatcherEndpoint;
use crate::dispatcher::Start;
use crate::fakes::FakeEndpoint;
use crate::fakes::Job;
use crate::fakes::ServiceTimes;
use crate::limits;
use crate::limits::Bucket;
use crate::limits::LimitKind;
use crate::limits::Limits;

/// Start of the virtual clock, after any warm-up of the limiter.
const CLOCK_START: Duration = Duration::from_secs(10_000);
/// Interval of load reports and of the limiter's maintenance.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which a call must be answered.
const CALL_DEADLINE: Duration = Duration::from_secs(120);
/// Bytes per prompt token.
const BYTES_PER_TOKEN: u64 = 4;
/// Refusals of one call after which its program gives up.
const MAX_REFUSALS: u32 = 5;
/// Fraction of the trace at its start whose programs are not counted.
const WARM_UP_FRACTION: f64 = 0.1;
/// Maximum length of a run, as a multiple of the trace length.
const HORIZON_FACTOR: f64 = 4.0;

/// Fault of an endpoint, given by its index.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The endpoint loses its calls and refuses connections.
    Crash(usize),
    /// The endpoint accepts connections again.
    Recover(usize),
    /// The speed of the endpoint is multiplied by a factor.
    Slow(usize, f64),
    /// The endpoint fails this fraction of its calls.
    Fail(usize, f64),
}

/// Input of one run.
#[derive(Clone, Debug)]
pub(crate) struct Setup<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) programs: &'a [Program],
    pub(crate) length: Duration,
    pub(crate) dispatch: DispatchPolicy,
    pub(crate) limits: LimitKind,
    /// Rate and burst of each customer, in calls per second and calls.
    pub(crate) rate_limits: Vec<(f64, f64)>,
    pub(crate) faults: Vec<(Duration, Fault)>,
    /// Age of load reports when they arrive.
    pub(crate) load_lag: Duration,
}

/// Result of a program.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ProgramEnd {
    /// The last answer arrived this long after the program.
    Done(Duration),
    /// A call failed and could not be retried.
    Failed,
    /// A call was refused too often.
    Refused,
    /// The program was still active at the end of the run, this long after its
    /// arrival.
    Unfinished(Duration),
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Index, customer and result of each counted program.
    pub(crate) programs: Vec<(usize, usize, ProgramEnd)>,
    /// Prompt tokens of the history that were processed again.
    pub(crate) reprocessed: u64,
    /// Refusals by the rate limiter.
    pub(crate) refused_rate: u64,
    /// Calls of each customer that the rate limiter refused although a single
    /// bucket would have admitted them.
    pub(crate) wrongful: Vec<u64>,
    /// Refusals by the queue.
    pub(crate) refused_queue: u64,
    /// Attempts after the first.
    pub(crate) repeated: u64,
    /// Calls sent by customers.
    pub(crate) calls: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    Resume(usize),
    Submit(usize),
    ReachEndpoint(usize),
    FirstToken(usize),
    JobEnd(usize),
    Answer(usize, RunOutcome, Failure),
    Wake(usize, usize),
    Tick,
    Fault(usize),
}

struct AgentState<'a> {
    agent: &'a Agent,
    program: usize,
    root: usize,
    parent: Option<usize>,
    next_step: usize,
    running_children: usize,
    history: u64,
}

struct Call<'a> {
    agent: usize,
    spec: &'a CallSpec,
    host: usize,
    prompt: u64,
    avoid: Vec<usize>,
    attempts: u32,
    refusals: u32,
    deadline: Moment,
    admitted: bool,
    /// Whether a single bucket for all hosts would have admitted the call by
    /// now.
    within_rate: bool,
    /// Refusals by the rate limiter while that bucket would have refused the
    /// call as well.
    rightful_refusals: u32,
    runs: Vec<usize>,
    is_over: bool,
}

struct Run {
    call: usize,
    endpoint: usize,
    handle: u64,
    prefix: Prefix,
    times: Option<ServiceTimes>,
    is_over: bool,
}

/// A simulation in progress.
pub(crate) struct Sim<'a> {
    setup: &'a Setup<'a>,
    now: Moment,
    events: BTreeMap<(Moment, u64), Event>,
    sequence: u64,
    agents: Vec<AgentState<'a>>,
    calls: Vec<Call<'a>>,
    runs: Vec<Run>,
    fakes: Vec<FakeEndpoint>,
    configured: Vec<ConfiguredEndpoint>,
    occupancies: Vec<Vec<Arc<Occupancy>>>,
    dispatchers: Vec<Vec<Dispatcher>>,
    limits: Limits,
    ideal_buckets: Vec<Bucket>,
    retry_budgets: Vec<RetryBudget>,
    pending_reports: VecDeque<(Moment, Vec<LoadReport>)>,
    ends: Vec<Option<ProgramEnd>>,
    active_programs: usize,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

impl<'a> Sim<'a> {
    /// Runs a setup to its end.
    pub(crate) fn run(setup: &'a Setup<'a>) -> Outcome {
        let mut sim = Self::new(setup);
        let horizon = Moment::from_start(CLOCK_START + setup.length.mul_f64(HORIZON_FACTOR));
        while let Some(((at, _), event)) = sim.events.pop_first() {
            if at > horizon || sim.active_programs == 0 {
                break;
            }
            sim.now = at;
            sim.handle(event);
        }
        sim.into_outcome()
    }

    fn new(setup: &'a Setup<'a>) -> Self {
        let deployment = setup.deployment;
        let model = |shape: &chicoryarch::load::deployment::EndpointShape| {
            deployment.services[shape.services[0]].model
        };
        let configured: Vec<_> = (0..deployment.endpoints.len())
            .map(|n| configured(deployment, n))
            .collect();
        let lag = Duration::from_millis(500);
        let occupancy = |n: usize| {
            let occupancy = Occupancy::new(lag);
            occupancy.set_reserved(is_mixed(deployment, n));
            Arc::new(occupancy)
        };
        let occupancies: Vec<Vec<_>> = (0..deployment.hosts)
            .map(|_| (0..configured.len()).map(occupancy).collect())
            .collect();
        let dispatcher = |host: usize, service: usize| {
            let serves = |n: &usize| deployment.endpoints[*n].services.contains(&service);
            let endpoints = (0..configured.len())
                .filter(serves)
                .map(|n| DispatcherEndpoint {
                    index: n,
                    configured: configured[n].clone(),
                    occupancy: Arc::clone(&occupancies[host][n]),
                });
            let endpoints: Vec<_> = endpoints.collect();
            let dc = dc_name(host % deployment.data_centres);
            Dispatcher::new(&setup.dispatch, &endpoints, deployment.hosts, dc)
        };
        let services = 0..deployment.services.len();
        let dispatchers = (0..deployment.hosts)
            .map(|host| {
                services
                    .clone()
                    .map(|service| dispatcher(host, service))
                    .collect()
            })
            .collect();
        let shapes = &deployment.endpoints;
        let mut sim = Self {
            setup,
            now: Moment::from_start(CLOCK_START),
            events: BTreeMap::new(),
            sequence: 0,
            agents: Vec::new(),
            calls: Vec::new(),
            runs: Vec::new(),
            fakes: shapes
                .iter()
                .map(|s| FakeEndpoint::new(s, model(s)))
                .collect(),
            configured,
            occupancies,
            dispatchers,
            limits: Limits::new(setup.limits, deployment, &setup.rate_limits),
            ideal_buckets: setup
                .rate_limits
                .iter()
                .map(|t| Bucket::new(t.0, t.1))
                .collect(),
            retry_budgets: vec![RetryBudget::new(RetryConfig::default()); deployment.hosts],
            pending_reports: VecDeque::new(),
            ends: vec![None; setup.programs.len()],
            active_programs: setup.programs.len(),
            rng: ChaCha8Rng::seed_from_u64(7),
            outcome: Outcome {
                wrongful: vec![0; setup.rate_limits.len()],
                ..Outcome::default()
            },
        };
        for (n, program) in setup.programs.iter().enumerate() {
            sim.schedule(program.arrival, Event::Arrive(n));
        }
        for (n, (at, _)) in setup.faults.iter().enumerate() {
            sim.schedule(*at, Event::Fault(n));
        }
        sim.schedule(TICK_INTERVAL, Event::Tick);
        sim
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(program) => self.arrive(program),
            Event::Resume(agent) => self.advance(agent),
            Event::Submit(call) => self.submit(call),
            Event::ReachEndpoint(run) => self.reach_endpoint(run),
            Event::FirstToken(run) => self.record_first_token(run),
            Event::JobEnd(run) => self.finish_job(run),
            Event::Answer(run, outcome, failure) => self.finish_attempt(run, outcome, failure),
            Event::Wake(host, service) => self.dispatch(host, service),
            Event::Tick => self.tick(),
            Event::Fault(n) => self.apply_fault(self.setup.faults[n].1),
        }
    }

    fn arrive(&mut self, program: usize) {
        let root = &self.setup.programs[program].root;
        let agent = self.add_agent(root, program, None);
        self.advance(agent);
    }

    fn add_agent(&mut self, agent: &'a Agent, program: usize, parent: Option<usize>) -> usize {
        let index = self.agents.len();
        let root = parent.map_or(index, |parent| self.agents[parent].root);
        self.agents.push(AgentState {
            agent,
            program,
            root,
            parent,
            next_step: 0,
            running_children: 0,
            history: 0,
        });
        index
    }

    fn advance(&mut self, index: usize) {
        let state = &mut self.agents[index];
        let (agent, program) = (state.agent, state.program);
        if self.ends[program].is_some() {
            return;
        }
        let step = agent.steps.get(state.next_step);
        state.next_step += 1;
        match step {
            Some(Step::Call(spec)) => self.start_call(index, spec),
            Some(Step::Pause(pause)) => self.schedule(*pause, Event::Resume(index)),
            Some(Step::Agents(children)) => {
                self.agents[index].running_children = children.len();
                for child in children {
                    let child = self.add_agent(child, program, Some(index));
                    self.advance(child);
                }
            }
            None => self.finish_agent(index),
        }
    }

    fn finish_agent(&mut self, index: usize) {
        let AgentState {
            program, parent, ..
        } = self.agents[index];
        let Some(parent) = parent else {
            let arrival = Moment::from_start(CLOCK_START + self.setup.programs[program].arrival);
            self.end_program(program, ProgramEnd::Done(self.now.since(arrival)));
            return;
        };
        self.agents[parent].running_children -= 1;
        if self.agents[parent].running_children == 0 {
            self.advance(parent);
        }
    }

    fn end_program(&mut self, program: usize, end: ProgramEnd) {
        if self.ends[program].is_none() {
            self.ends[program] = Some(end);
            self.active_programs -= 1;
        }
    }

    fn host_of(&self, program: usize) -> usize {
        let deployment = self.setup.deployment;
        let dcs = deployment.data_centres;
        let dc = self.setup.programs[program].data_centre;
        let hosts = (deployment.hosts - dc).div_ceil(dcs);
        dc + dcs * (program % hosts)
    }

    fn start_call(&mut self, agent: usize, spec: &'a CallSpec) {
        let state = &self.agents[agent];
        let prompt = match spec.new_tokens {
            0 => 0,
            new => state.history + new,
        };
        self.calls.push(Call {
            agent,
            spec,
            host: self.host_of(state.program),
            prompt,
            avoid: Vec::new(),
            attempts: 0,
            refusals: 0,
            deadline: self.now + CALL_DEADLINE,
            admitted: false,
            within_rate: false,
            rightful_refusals: 0,
            runs: Vec::new(),
            is_over: false,
        });
        self.outcome.calls += 1;
        let index = self.calls.len() - 1;
        self.submit(index);
    }

    fn customer_of(&self, call: usize) -> usize {
        let program = self.agents[self.calls[call].agent].program;
        self.setup.programs[program].customer
    }

    fn submit(&mut self, index: usize) {
        let customer = self.customer_of(index);
        let host = self.calls[index].host;
        if !self.calls[index].admitted {
            if !self.calls[index].within_rate {
                let admitted = self.ideal_buckets[customer].take(self.now).is_ok();
                self.calls[index].within_rate = admitted;
            }
            if let Err(after) = self.limits.take(self.now, host, customer) {
                self.outcome.refused_rate += 1;
                let call = &mut self.calls[index];
                let wrongful = call.within_rate && call.refusals == call.rightful_refusals;
                self.outcome.wrongful[customer] += u64::from(wrongful);
                call.rightful_refusals += u32::from(!call.within_rate);
                self.handle_refusal(index, after);
                return;
            }
            self.calls[index].admitted = true;
        }
        self.retry_budgets[host].deposit();
        self.enqueue(index);
    }

    /// The caller retries after the given time, until its program gives up.
    fn handle_refusal(&mut self, index: usize, after: Duration) {
        self.calls[index].refusals += 1;
        if self.calls[index].refusals > MAX_REFUSALS {
            self.calls[index].is_over = true;
            let program = self.agents[self.calls[index].agent].program;
            self.end_program(program, ProgramEnd::Refused);
            return;
        }
        let after = after.max(Duration::from_millis(10));
        self.schedule(after, Event::Submit(index));
    }

    fn enqueue(&mut self, index: usize) {
        let demand = self.demand(index);
        let (host, service) = (self.calls[index].host, self.calls[index].spec.service);
        let avoid = self.calls[index].avoid.clone();
        let joined = self.dispatchers[host][service].join(self.now, index, demand, &avoid);
        match joined {
            Ok(None) => {}
            Ok(Some(displaced)) => {
                self.outcome.refused_queue += 1;
                self.handle_refusal(displaced, Duration::from_secs(1));
            }
            Err(after) => {
                self.outcome.refused_queue += 1;
                self.handle_refusal(index, after);
                return;
            }
        }
        self.dispatch(host, service);
    }

    fn demand(&self, index: usize) -> Demand {
        let call = &self.calls[index];
        let agent = &self.agents[call.agent];
        let service = &self.setup.deployment.services[call.spec.service];
        let prompt_bytes = call.prompt * BYTES_PER_TOKEN;
        let avoid = call.avoid.iter().map(|n| self.configured[*n].id.clone());
        Demand {
            service: service.name.parse().expect("a valid name"),
            customer: limits::customer_name(self.customer_of(index)),
            weight: 1.0,
            program: program_id(agent.root),
            conversation: (call.prompt > 0).then(|| program_id(call.agent)),
            interactive: service.interactive,
            max_cost: Tokens(1),
            prompt_bytes: usize::try_from(prompt_bytes).expect("a prompt fits"),
            avoid: avoid.collect(),
            deadline: call.deadline,
        }
    }

    fn dispatch(&mut self, host: usize, service: usize) {
        let (starts, wake) = self.dispatchers[host][service].step(self.now);
        for start in starts {
            self.start_run(start);
        }
        if let Some(at) = wake {
            self.schedule(self.now.until(at), Event::Wake(host, service));
        }
    }

    fn start_run(&mut self, start: Start) {
        let run = self.runs.len();
        let call = &mut self.calls[start.call];
        call.attempts += 1;
        call.runs.push(run);
        let host = call.host;
        self.runs.push(Run {
            call: start.call,
            endpoint: start.endpoint,
            handle: start.handle,
            prefix: start.prefix,
            times: None,
            is_over: false,
        });
        let distance = self.distance(host, start.endpoint);
        self.schedule(distance, Event::ReachEndpoint(run));
    }

    fn distance(&self, host: usize, endpoint: usize) -> Duration {
        let deployment = self.setup.deployment;
        let endpoint_dc = deployment.endpoints[endpoint].data_centre;
        if host % deployment.data_centres == endpoint_dc {
            Duration::ZERO
        } else {
            deployment.distance
        }
    }

    fn schedule_reply(&mut self, run: usize, outcome: RunOutcome, failure: Failure) {
        let host = self.calls[self.runs[run].call].host;
        let distance = self.distance(host, self.runs[run].endpoint);
        let delay = distance.max(Duration::from_micros(100));
        self.schedule(delay, Event::Answer(run, outcome, failure));
    }

    fn reach_endpoint(&mut self, index: usize) {
        let run = &self.runs[index];
        if run.is_over {
            return;
        }
        let endpoint = run.endpoint;
        if self.fakes[endpoint].is_down {
            self.schedule_reply(index, RunOutcome::Failed, Failure::NotSent);
            return;
        }
        let failure_rate = self.fakes[endpoint].failure_rate;
        if failure_rate > 0.0 && self.rng.random_bool(failure_rate) {
            self.schedule_reply(index, RunOutcome::Failed, Failure::MayHaveRun);
            return;
        }
        let job = self.job(index);
        self.fakes[endpoint].enqueue(job);
        self.start_jobs(endpoint);
    }

    fn job(&mut self, index: usize) -> Job {
        let run = &self.runs[index];
        let call = &self.calls[run.call];
        let service = &self.setup.deployment.services[call.spec.service];
        let moved = match &run.prefix {
            Prefix::Move { tokens, .. } => *tokens,
            _ => 0,
        };
        Job {
            run: index,
            conversation: call.agent as u64,
            prompt: call.prompt,
            completion: call.spec.completion_tokens,
            plain_seconds: service.mean_duration.as_secs_f64() * call.spec.work,
            interactive: service.interactive,
            moved,
        }
    }

    fn start_jobs(&mut self, endpoint: usize) {
        while let Some((job, times)) = self.fakes[endpoint].start_next() {
            let call = &self.calls[self.runs[job.run].call];
            let history = self.agents[call.agent].history;
            let distance = self.distance(call.host, endpoint);
            let new = job.prompt.saturating_sub(times.cached);
            self.outcome.reprocessed += new.min(history);
            self.runs[job.run].times = Some(times);
            if job.prompt > 0 {
                self.schedule(times.first + distance, Event::FirstToken(job.run));
            }
            self.schedule(times.total, Event::JobEnd(job.run));
        }
    }

    fn record_first_token(&mut self, index: usize) {
        let run = &self.runs[index];
        if run.is_over {
            return;
        }
        let call = &self.calls[run.call];
        let id = &self.configured[run.endpoint].id;
        self.dispatchers[call.host][call.spec.service]
            .record_answer_start(self.now, id, run.handle);
    }

    fn finish_job(&mut self, index: usize) {
        let endpoint = self.runs[index].endpoint;
        if self.fakes[endpoint].finish(index).is_some() {
            self.schedule_reply(index, RunOutcome::Answered, Failure::NotSent);
        }
        self.start_jobs(endpoint);
    }

    fn finish_attempt(&mut self, index: usize, outcome: RunOutcome, failure: Failure) {
        if !self.runs[index].is_over {
            self.finish_run(index, outcome);
            let call = self.runs[index].call;
            match outcome {
                RunOutcome::Answered => self.complete_call(call),
                _ => self.handle_failure(call, index, failure),
            }
        }
    }

    fn finish_run(&mut self, index: usize, outcome: RunOutcome) {
        let run = &mut self.runs[index];
        run.is_over = true;
        let call = &self.calls[run.call];
        let usage = run.times.filter(|_| call.prompt > 0).map(|times| Usage {
            prompt_tokens: call.prompt,
            cached_tokens: times.cached,
            completion_tokens: call.spec.completion_tokens,
        });
        let endpoint = (run.endpoint, &self.configured[run.endpoint].id);
        let (host, service) = (call.host, call.spec.service);
        let dispatcher = &mut self.dispatchers[host][service];
        dispatcher.finish(self.now, endpoint, run.handle, outcome, usage);
        for service in self.setup.deployment.endpoints[run.endpoint]
            .services
            .clone()
        {
            self.dispatch(host, service);
        }
    }

    fn complete_call(&mut self, index: usize) {
        if std::mem::replace(&mut self.calls[index].is_over, true) {
            return;
        }
        let call = &self.calls[index];
        let (agent, prompt) = (call.agent, call.prompt);
        if prompt > 0 {
            self.agents[agent].history = prompt + call.spec.completion_tokens;
        }
        self.advance(agent);
    }

    fn handle_failure(&mut self, index: usize, run: usize, failure: Failure) {
        let call = &mut self.calls[index];
        let running = call.runs.iter().any(|run| !self.runs[*run].is_over);
        if call.is_over || running {
            return;
        }
        call.avoid.push(self.runs[run].endpoint);
        let (host, attempts) = (call.host, call.attempts);
        let repeatable = self.setup.deployment.services[call.spec.service].repeatable;
        if self.retry_budgets[host].permit(failure, repeatable, attempts) {
            self.outcome.repeated += 1;
            self.enqueue(index);
            return;
        }
        self.calls[index].is_over = true;
        let program = self.agents[self.calls[index].agent].program;
        self.end_program(program, ProgramEnd::Failed);
    }

    fn tick(&mut self) {
        self.limits.maintain(self.now);
        let report = |fake: &FakeEndpoint| LoadReport {
            running: fake.running.len() as u32,
            queued: fake.queued.len() as u32,
        };
        let taken = self.fakes.iter().map(report).collect();
        self.pending_reports.push_back((self.now, taken));
        while let Some((at, _)) = self.pending_reports.front() {
            if self.now.since(*at) < self.setup.load_lag {
                break;
            }
            let (_, reports) = self
                .pending_reports
                .pop_front()
                .expect("the queue is not empty");
            for host in &self.occupancies {
                for (occupancy, report) in host.iter().zip(&reports) {
                    occupancy.record_report(self.now, *report);
                }
            }
        }
        for host in 0..self.dispatchers.len() {
            for service in 0..self.dispatchers[host].len() {
                self.dispatch(host, service);
            }
        }
        self.schedule(TICK_INTERVAL, Event::Tick);
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(n) => {
                for run in self.fakes[n].crash() {
                    self.schedule_reply(run, RunOutcome::Failed, Failure::MayHaveRun);
                }
            }
            Fault::Recover(n) => self.fakes[n].is_down = false,
            Fault::Slow(n, factor) => self.fakes[n].speed *= factor,
            Fault::Fail(n, fraction) => self.fakes[n].failure_rate = fraction,
        }
    }

    fn into_outcome(mut self) -> Outcome {
        let from = self.setup.length.mul_f64(WARM_UP_FRACTION);
        for (n, program) in self.setup.programs.iter().enumerate() {
            if program.arrival < from {
                continue;
            }
            let arrival = Moment::from_start(CLOCK_START + program.arrival);
            let unfinished = ProgramEnd::Unfinished(self.now.since(arrival));
            let end = self.ends[n].unwrap_or(unfinished);
            self.outcome.programs.push((n, program.customer, end));
        }
        self.outcome
    }
}

fn dc_name(dc: usize) -> chicoryarch::ids::DataCentre {
    format!("dc-{dc}").parse().expect("a valid name")
}

fn program_id(agent: usize) -> ProgramId {
    ProgramId {
        data_centre: dc_name(0),
        partition: Partition(0),
        random: agent as u64,
    }
}

fn is_mixed(deployment: &Deployment, endpoint: usize) -> bool {
    let services = &deployment.endpoints[endpoint].services;
    let interactive = |service: &usize| deployment.services[*service].interactive;
    services.iter().any(interactive) && !services.iter().all(interactive)
}

fn configured(deployment: &Deployment, n: usize) -> ConfiguredEndpoint {
    let shape = &deployment.endpoints[n];
    let name = |service: &usize| {
        let name = deployment.services[*service].name;
        name.parse().expect("a valid name")
    };
    ConfiguredEndpoint {
        id: format!("e-{n:03}").parse().expect("a valid name"),
        endpoint: Arc::new(Endpoint {
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: dc_name(shape.data_centre),
            services: shape.services.iter().map(name).collect(),
            concurrency: shape.concurrency,
            checks_fence: false,
            state: EndpointState::Serving,
            host: None,
        }),
    }
}
