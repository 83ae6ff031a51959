//! Runs a trace through limiter, queue and placement in virtual time.

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

use crate::desk::Desk;
use crate::desk::DeskEndpoint;
use crate::desk::DeskKind;
use crate::desk::Start;
use crate::fakes::Fake;
use crate::fakes::Job;
use crate::fakes::Times;
use crate::limits;
use crate::limits::Bucket;
use crate::limits::LimitKind;
use crate::limits::Limits;

/// Start of the virtual clock, past every warm-up of the limiter.
const START: Duration = Duration::from_secs(10_000);
/// Interval of load reports and of the limiter's maintenance.
const TICK: Duration = Duration::from_millis(500);
/// Time within which a call must be answered.
const DEADLINE: Duration = Duration::from_secs(120);
/// Bytes of a prompt token.
const BYTES_PER_TOKEN: u64 = 4;
/// Refusals after which a program gives up.
const MAX_REFUSALS: u32 = 5;
/// Part of the trace whose programs are not counted.
const WARM_UP: f64 = 0.1;
/// Longest run, as a multiple of the trace.
const HORIZON: f64 = 4.0;

/// Something that goes wrong with an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// It loses its calls and refuses connections.
    Die(usize),
    /// It works again.
    Revive(usize),
    /// Its speed is multiplied.
    Slow(usize, f64),
    /// It breaks off this fraction of its calls.
    Fail(usize, f64),
}

/// One run.
#[derive(Clone, Debug)]
pub(crate) struct Setup<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) programs: &'a [Program],
    pub(crate) length: Duration,
    pub(crate) desk: DeskKind,
    pub(crate) limits: LimitKind,
    /// Rate and burst of each customer, in calls.
    pub(crate) terms: Vec<(f64, f64)>,
    pub(crate) faults: Vec<(Duration, Fault)>,
    /// Age of load reports when they arrive.
    pub(crate) load_lag: Duration,
}

/// What became of a program.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    /// Its last answer came after this time.
    Done(Duration),
    /// A call failed for good.
    Failed,
    /// It was refused too often.
    Refused,
    /// It had not ended at the end of the run.
    Unfinished(Duration),
}

/// What a run gave.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Index, customer and end of each counted program.
    pub(crate) programs: Vec<(usize, usize, End)>,
    /// Prompt tokens processed although they had been before.
    pub(crate) wasted: u64,
    /// Refusals by rate.
    pub(crate) refused_rate: u64,
    /// Calls of each customer refused by rate that a single bucket would have
    /// let pass.
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
    AtEndpoint(usize),
    First(usize),
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
    next: usize,
    open: usize,
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
    /// True if one bucket for all hosts would have let it pass by now.
    within_rate: bool,
    /// Refusals while that bucket would have refused it too.
    late: u32,
    runs: Vec<usize>,
    over: bool,
}

struct Run {
    call: usize,
    endpoint: usize,
    handle: u64,
    prefix: Prefix,
    times: Option<Times>,
    over: bool,
}

/// A run under way.
pub(crate) struct Sim<'a> {
    setup: &'a Setup<'a>,
    now: Moment,
    events: BTreeMap<(Moment, u64), Event>,
    sequence: u64,
    agents: Vec<AgentState<'a>>,
    calls: Vec<Call<'a>>,
    runs: Vec<Run>,
    fakes: Vec<Fake>,
    configured: Vec<ConfiguredEndpoint>,
    occupancies: Vec<Vec<Arc<Occupancy>>>,
    desks: Vec<Vec<Desk>>,
    limits: Limits,
    ideal: Vec<Bucket>,
    budgets: Vec<RetryBudget>,
    reports: VecDeque<(Moment, Vec<LoadReport>)>,
    ends: Vec<Option<End>>,
    open_programs: usize,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

impl<'a> Sim<'a> {
    /// Runs a setup to its end.
    pub(crate) fn run(setup: &'a Setup<'a>) -> Outcome {
        let mut sim = Self::new(setup);
        let horizon = Moment::from_start(START + setup.length.mul_f64(HORIZON));
        while let Some(((at, _), event)) = sim.events.pop_first() {
            if at > horizon || sim.open_programs == 0 {
                break;
            }
            sim.now = at;
            sim.handle(event);
        }
        sim.collect()
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
        let desk = |host: usize, service: usize| {
            let serves = |n: &usize| deployment.endpoints[*n].services.contains(&service);
            let endpoints = (0..configured.len()).filter(serves).map(|n| DeskEndpoint {
                index: n,
                configured: configured[n].clone(),
                occupancy: Arc::clone(&occupancies[host][n]),
            });
            let endpoints: Vec<_> = endpoints.collect();
            let dc = dc_name(host % deployment.data_centres);
            Desk::new(&setup.desk, &endpoints, deployment.hosts, dc)
        };
        let services = 0..deployment.services.len();
        let desks = (0..deployment.hosts)
            .map(|host| {
                services
                    .clone()
                    .map(|service| desk(host, service))
                    .collect()
            })
            .collect();
        let shapes = &deployment.endpoints;
        let mut sim = Self {
            setup,
            now: Moment::from_start(START),
            events: BTreeMap::new(),
            sequence: 0,
            agents: Vec::new(),
            calls: Vec::new(),
            runs: Vec::new(),
            fakes: shapes.iter().map(|s| Fake::new(s, model(s))).collect(),
            configured,
            occupancies,
            desks,
            limits: Limits::new(setup.limits, deployment, &setup.terms),
            ideal: setup.terms.iter().map(|t| Bucket::new(t.0, t.1)).collect(),
            budgets: vec![RetryBudget::new(RetryConfig::default()); deployment.hosts],
            reports: VecDeque::new(),
            ends: vec![None; setup.programs.len()],
            open_programs: setup.programs.len(),
            rng: ChaCha8Rng::seed_from_u64(7),
            outcome: Outcome {
                wrongful: vec![0; setup.terms.len()],
                ..Outcome::default()
            },
        };
        for (n, program) in setup.programs.iter().enumerate() {
            sim.after(program.arrival, Event::Arrive(n));
        }
        for (n, (at, _)) in setup.faults.iter().enumerate() {
            sim.after(*at, Event::Fault(n));
        }
        sim.after(TICK, Event::Tick);
        sim
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(program) => self.arrive(program),
            Event::Resume(agent) => self.advance(agent),
            Event::Submit(call) => self.submit(call),
            Event::AtEndpoint(run) => self.at_endpoint(run),
            Event::First(run) => self.first(run),
            Event::JobEnd(run) => self.job_end(run),
            Event::Answer(run, verdict, failure) => self.answer(run, verdict, failure),
            Event::Wake(host, service) => self.step(host, service),
            Event::Tick => self.tick(),
            Event::Fault(n) => self.fault(self.setup.faults[n].1),
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
            next: 0,
            open: 0,
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
        let step = agent.steps.get(state.next);
        state.next += 1;
        match step {
            Some(Step::Call(spec)) => self.new_call(index, spec),
            Some(Step::Pause(pause)) => self.after(*pause, Event::Resume(index)),
            Some(Step::Agents(children)) => {
                self.agents[index].open = children.len();
                for child in children {
                    let child = self.add_agent(child, program, Some(index));
                    self.advance(child);
                }
            }
            None => self.agent_done(index),
        }
    }

    fn agent_done(&mut self, index: usize) {
        let AgentState {
            program, parent, ..
        } = self.agents[index];
        let Some(parent) = parent else {
            let arrival = Moment::from_start(START + self.setup.programs[program].arrival);
            self.end_program(program, End::Done(self.now.since(arrival)));
            return;
        };
        self.agents[parent].open -= 1;
        if self.agents[parent].open == 0 {
            self.advance(parent);
        }
    }

    fn end_program(&mut self, program: usize, end: End) {
        if self.ends[program].is_none() {
            self.ends[program] = Some(end);
            self.open_programs -= 1;
        }
    }

    fn host_of(&self, program: usize) -> usize {
        let deployment = self.setup.deployment;
        let dcs = deployment.data_centres;
        let dc = self.setup.programs[program].data_centre;
        let hosts = (deployment.hosts - dc).div_ceil(dcs);
        dc + dcs * (program % hosts)
    }

    fn new_call(&mut self, agent: usize, spec: &'a CallSpec) {
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
            deadline: self.now + DEADLINE,
            admitted: false,
            within_rate: false,
            late: 0,
            runs: Vec::new(),
            over: false,
        });
        self.outcome.calls += 1;
        let index = self.calls.len() - 1;
        self.submit(index);
    }

    fn customer(&self, call: usize) -> usize {
        let program = self.agents[self.calls[call].agent].program;
        self.setup.programs[program].customer
    }

    fn submit(&mut self, index: usize) {
        let customer = self.customer(index);
        let host = self.calls[index].host;
        if !self.calls[index].admitted {
            if !self.calls[index].within_rate {
                let admitted = self.ideal[customer].take(self.now).is_ok();
                self.calls[index].within_rate = admitted;
            }
            if let Err(after) = self.limits.take(self.now, host, customer) {
                self.outcome.refused_rate += 1;
                let call = &mut self.calls[index];
                let wrongful = call.within_rate && call.refusals == call.late;
                self.outcome.wrongful[customer] += u64::from(wrongful);
                call.late += u32::from(!call.within_rate);
                self.refuse(index, after);
                return;
            }
            self.calls[index].admitted = true;
        }
        self.budgets[host].deposit();
        self.join(index);
    }

    /// A refused caller comes back when it was told to, a few times.
    fn refuse(&mut self, index: usize, after: Duration) {
        self.calls[index].refusals += 1;
        if self.calls[index].refusals > MAX_REFUSALS {
            self.calls[index].over = true;
            let program = self.agents[self.calls[index].agent].program;
            self.end_program(program, End::Refused);
            return;
        }
        let after = after.max(Duration::from_millis(10));
        self.after(after, Event::Submit(index));
    }

    fn join(&mut self, index: usize) {
        let demand = self.demand(index);
        let (host, service) = (self.calls[index].host, self.calls[index].spec.service);
        let avoid = self.calls[index].avoid.clone();
        let joined = self.desks[host][service].join(self.now, index, demand, &avoid);
        match joined {
            Ok(None) => {}
            Ok(Some(displaced)) => {
                self.outcome.refused_queue += 1;
                self.refuse(displaced, Duration::from_secs(1));
            }
            Err(after) => {
                self.outcome.refused_queue += 1;
                self.refuse(index, after);
                return;
            }
        }
        self.step(host, service);
    }

    fn demand(&self, index: usize) -> Demand {
        let call = &self.calls[index];
        let agent = &self.agents[call.agent];
        let service = &self.setup.deployment.services[call.spec.service];
        let prompt_bytes = call.prompt * BYTES_PER_TOKEN;
        let avoid = call.avoid.iter().map(|n| self.configured[*n].id.clone());
        Demand {
            service: service.name.parse().expect("a valid name"),
            customer: limits::name(self.customer(index)),
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

    fn step(&mut self, host: usize, service: usize) {
        let (starts, wake) = self.desks[host][service].step(self.now);
        for start in starts {
            self.start(start);
        }
        if let Some(at) = wake {
            self.after(self.now.until(at), Event::Wake(host, service));
        }
    }

    fn start(&mut self, start: Start) {
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
            over: false,
        });
        let distance = self.distance(host, start.endpoint);
        self.after(distance, Event::AtEndpoint(run));
    }

    fn distance(&self, host: usize, endpoint: usize) -> Duration {
        let deployment = self.setup.deployment;
        let there = deployment.endpoints[endpoint].data_centre;
        if host % deployment.data_centres == there {
            Duration::ZERO
        } else {
            deployment.distance
        }
    }

    fn reply(&mut self, run: usize, verdict: RunOutcome, failure: Failure) {
        let host = self.calls[self.runs[run].call].host;
        let distance = self.distance(host, self.runs[run].endpoint);
        let delay = distance.max(Duration::from_micros(100));
        self.after(delay, Event::Answer(run, verdict, failure));
    }

    fn at_endpoint(&mut self, index: usize) {
        let run = &self.runs[index];
        if run.over {
            return;
        }
        let endpoint = run.endpoint;
        if self.fakes[endpoint].dead {
            self.reply(index, RunOutcome::Failed, Failure::NotSent);
            return;
        }
        let failing = self.fakes[endpoint].failing;
        if failing > 0.0 && self.rng.random_bool(failing) {
            self.reply(index, RunOutcome::Failed, Failure::MayHaveRun);
            return;
        }
        let job = self.job(index);
        self.fakes[endpoint].accept(job);
        self.begin_jobs(endpoint);
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
            plain: service.mean_duration.as_secs_f64() * call.spec.work,
            interactive: service.interactive,
            moved,
        }
    }

    fn begin_jobs(&mut self, endpoint: usize) {
        while let Some((job, times)) = self.fakes[endpoint].begin() {
            let call = &self.calls[self.runs[job.run].call];
            let history = self.agents[call.agent].history;
            let distance = self.distance(call.host, endpoint);
            let new = job.prompt.saturating_sub(times.cached);
            self.outcome.wasted += new.min(history);
            self.runs[job.run].times = Some(times);
            if job.prompt > 0 {
                self.after(times.first + distance, Event::First(job.run));
            }
            self.after(times.total, Event::JobEnd(job.run));
        }
    }

    fn first(&mut self, index: usize) {
        let run = &self.runs[index];
        if run.over {
            return;
        }
        let call = &self.calls[run.call];
        let id = &self.configured[run.endpoint].id;
        self.desks[call.host][call.spec.service].answering(self.now, id, run.handle);
    }

    fn job_end(&mut self, index: usize) {
        let endpoint = self.runs[index].endpoint;
        if self.fakes[endpoint].end(index).is_some() {
            self.reply(index, RunOutcome::Answered, Failure::NotSent);
        }
        self.begin_jobs(endpoint);
    }

    fn answer(&mut self, index: usize, verdict: RunOutcome, failure: Failure) {
        if !self.runs[index].over {
            self.finish_run(index, verdict);
            let call = self.runs[index].call;
            match verdict {
                RunOutcome::Answered => self.answered(call),
                _ => self.failed(call, index, failure),
            }
        }
    }

    fn finish_run(&mut self, index: usize, verdict: RunOutcome) {
        let run = &mut self.runs[index];
        run.over = true;
        let call = &self.calls[run.call];
        let usage = run.times.filter(|_| call.prompt > 0).map(|times| Usage {
            prompt_tokens: call.prompt,
            cached_tokens: times.cached,
            completion_tokens: call.spec.completion_tokens,
        });
        let endpoint = (run.endpoint, &self.configured[run.endpoint].id);
        let (host, service) = (call.host, call.spec.service);
        let desk = &mut self.desks[host][service];
        desk.finish(self.now, endpoint, run.handle, verdict, usage);
        for service in self.setup.deployment.endpoints[run.endpoint]
            .services
            .clone()
        {
            self.step(host, service);
        }
    }

    fn answered(&mut self, index: usize) {
        if std::mem::replace(&mut self.calls[index].over, true) {
            return;
        }
        let call = &self.calls[index];
        let (agent, prompt) = (call.agent, call.prompt);
        if prompt > 0 {
            self.agents[agent].history = prompt + call.spec.completion_tokens;
        }
        self.advance(agent);
    }

    fn failed(&mut self, index: usize, run: usize, failure: Failure) {
        let call = &mut self.calls[index];
        let running = call.runs.iter().any(|run| !self.runs[*run].over);
        if call.over || running {
            return;
        }
        call.avoid.push(self.runs[run].endpoint);
        let (host, attempts) = (call.host, call.attempts);
        let repeatable = self.setup.deployment.services[call.spec.service].repeatable;
        if self.budgets[host].permit(failure, repeatable, attempts) {
            self.outcome.repeated += 1;
            self.join(index);
            return;
        }
        self.calls[index].over = true;
        let program = self.agents[self.calls[index].agent].program;
        self.end_program(program, End::Failed);
    }

    fn tick(&mut self) {
        self.limits.maintain(self.now);
        let report = |fake: &Fake| LoadReport {
            running: fake.running.len() as u32,
            queued: fake.queued.len() as u32,
        };
        let taken = self.fakes.iter().map(report).collect();
        self.reports.push_back((self.now, taken));
        while let Some((at, _)) = self.reports.front() {
            if self.now.since(*at) < self.setup.load_lag {
                break;
            }
            let (_, reports) = self.reports.pop_front().expect("it is there");
            for host in &self.occupancies {
                for (occupancy, report) in host.iter().zip(&reports) {
                    occupancy.record_report(self.now, *report);
                }
            }
        }
        for host in 0..self.desks.len() {
            for service in 0..self.desks[host].len() {
                self.step(host, service);
            }
        }
        self.after(TICK, Event::Tick);
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Die(n) => {
                for run in self.fakes[n].crash() {
                    self.reply(run, RunOutcome::Failed, Failure::MayHaveRun);
                }
            }
            Fault::Revive(n) => self.fakes[n].dead = false,
            Fault::Slow(n, factor) => self.fakes[n].speed *= factor,
            Fault::Fail(n, fraction) => self.fakes[n].failing = fraction,
        }
    }

    fn collect(mut self) -> Outcome {
        let from = self.setup.length.mul_f64(WARM_UP);
        for (n, program) in self.setup.programs.iter().enumerate() {
            if program.arrival < from {
                continue;
            }
            let arrival = Moment::from_start(START + program.arrival);
            let unfinished = End::Unfinished(self.now.since(arrival));
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
