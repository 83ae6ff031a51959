//! Workloads, disturbances and policies of the experiments.

use std::time::Duration;

use chicoryarch::configs::place::PlaceConfig;
use chicoryarch::configs::queue::QueueConfig;
use chicoryarch::load::deployment::Deployment;
use chicoryarch::load::deployment::Mix;
use chicoryarch::load::program::Agent;
use chicoryarch::load::program::Program;
use chicoryarch::load::program::Step;
use chicoryarch::load::trace::Surge;
use chicoryarch::load::trace::TraceSpec;
use chicoryarch::load::trace::generate;

use crate::dispatcher::DispatchPolicy;
use crate::fakes::DECODE_SECONDS;
use crate::fakes::PREFILL_SECONDS;
use crate::limits::LimitKind;
use crate::metrics::Metrics;
use crate::sim::Fault;
use crate::sim::Setup;
use crate::sim::Sim;

/// Length of a trace.
const TRACE_LENGTH: Duration = Duration::from_secs(900);
/// Length of the trace that loads are calibrated on.
const CALIBRATION_LENGTH: Duration = Duration::from_secs(20_000);
/// Seed of the trace that loads are calibrated on.
const CALIBRATION_SEED: u64 = 4_711;
/// Rate limit of a customer as a multiple of its average rate.
const RATE_HEADROOM: f64 = 1.5;
/// Burst of a customer, in seconds of its rate.
const BURST_SECONDS: f64 = 10.0;
/// Smallest burst, in calls.
const MIN_BURST: f64 = 20.0;
/// Customer that exceeds its rate limit under [`Disturbance::Loud`].
const LOUD_CUSTOMER: usize = 1;
/// Age of load reports.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Age of load reports under [`Disturbance::Late`].
const LATE_REPORT_LAG: Duration = Duration::from_secs(5);
/// Fraction of calls that fail under [`Disturbance::Failing`].
const FAILURE_RATE: f64 = 0.5;

/// A disturbance of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Disturbance {
    /// A model engine and a plain endpoint go down and recover later.
    Dead,
    /// A model engine and a plain endpoint run at half their speed.
    Half,
    /// A model engine and a plain endpoint fail half of their calls.
    Failing,
    /// Endpoints are configured with three times their actual slots.
    Oversized,
    /// Load reports are ten times as old as configured.
    Late,
    /// One customer sends five times its rate.
    Loud,
}

/// A policy under test.
#[derive(Clone, Debug)]
pub(crate) struct Policy {
    pub(crate) name: &'static str,
    pub(crate) dispatch: DispatchPolicy,
    pub(crate) limits: LimitKind,
}

impl Policy {
    /// A policy with the limiter of the hosts.
    pub(crate) fn new(name: &'static str, dispatch: DispatchPolicy) -> Self {
        Self {
            name,
            dispatch,
            limits: LimitKind::Conserved,
        }
    }

    /// The complete scheduler and limiter of a host, with default settings.
    pub(crate) fn full() -> Self {
        Self::with("all", |_, _| {})
    }

    /// The complete scheduler and limiter of a host, with changed settings.
    pub(crate) fn with(
        name: &'static str,
        change: impl FnOnce(&mut QueueConfig, &mut PlaceConfig),
    ) -> Self {
        let (mut queue, mut place) = (QueueConfig::default(), PlaceConfig::default());
        change(&mut queue, &mut place);
        Self::new(name, DispatchPolicy::Full(queue, place))
    }
}

/// A deployment with a load and the rate limits of its customers.
pub(crate) struct Workload {
    pub(crate) deployment: Deployment,
    rate: f64,
    /// Rate and burst of each customer, in calls per second and calls.
    rate_limits: Vec<(f64, f64)>,
}

impl Workload {
    /// Calibrates the load to a fraction of the deployment's capacity without
    /// cached prefixes.
    pub(crate) fn new(deployment: Deployment, load: f64) -> Self {
        let spec = TraceSpec {
            seed: CALIBRATION_SEED,
            rate: 1.0,
            length: CALIBRATION_LENGTH,
            surge: None,
        };
        let programs = generate(&deployment, &spec);
        let count = programs.len() as f64;
        let cost = programs.iter().map(|p| uncached_work(&deployment, &p.root));
        let cost = cost.fold([0.0; 2], |sum, cost| [sum[0] + cost[0], sum[1] + cost[1]]);
        let capacity = capacity(&deployment);
        let rate = (0..2)
            .map(|kind| load * capacity[kind] * count / cost[kind])
            .fold(f64::INFINITY, f64::min);
        let calls = programs.iter().map(|p| p.root.calls().len()).sum::<usize>();
        let calls = calls as f64 / count;
        let rate_limits = deployment.customers.iter().map(|customer| {
            let average = rate * customer.share * calls;
            let limit = average * RATE_HEADROOM;
            (limit, (limit * BURST_SECONDS).max(MIN_BURST))
        });
        Self {
            rate,
            rate_limits: rate_limits.collect(),
            deployment,
        }
    }

    /// Rate of arriving programs, per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Runs a policy on the trace of a seed.
    pub(crate) fn run(&self, policy: &Policy, disturbances: &[Disturbance], seed: u64) -> Metrics {
        let loud = disturbances.contains(&Disturbance::Loud);
        let surge = loud.then_some(Surge {
            customer: LOUD_CUSTOMER,
            factor: 5.0,
            from: TRACE_LENGTH.mul_f64(0.2),
            until: TRACE_LENGTH.mul_f64(0.8),
        });
        let spec = TraceSpec {
            seed,
            rate: self.rate,
            length: TRACE_LENGTH,
            surge,
        };
        let programs: Vec<Program> = generate(&self.deployment, &spec);
        let mut deployment = self.deployment.clone();
        if disturbances.contains(&Disturbance::Oversized) {
            for shape in &mut deployment.endpoints {
                shape.concurrency *= 3;
            }
        }
        let late = disturbances.contains(&Disturbance::Late);
        let setup = Setup {
            deployment: &deployment,
            programs: &programs,
            length: TRACE_LENGTH,
            dispatch: policy.dispatch.clone(),
            limits: policy.limits,
            rate_limits: self.rate_limits.clone(),
            faults: self.faults(disturbances),
            load_lag: if late { LATE_REPORT_LAG } else { REPORT_LAG },
        };
        let outcome = Sim::run(&setup);
        let excluded = loud.then_some(LOUD_CUSTOMER);
        Metrics::from_run(&self.deployment, &programs, &outcome, excluded)
    }

    /// Runs a policy on several seeds and returns the averages.
    pub(crate) fn average(
        &self,
        policy: &Policy,
        disturbances: &[Disturbance],
        seeds: &[u64],
    ) -> Metrics {
        let runs: Vec<_> = std::thread::scope(|scope| {
            let run = |seed: &u64| {
                let seed = *seed;
                scope.spawn(move || self.run(policy, disturbances, seed))
            };
            let threads: Vec<_> = seeds.iter().map(run).collect();
            let joined = threads.into_iter().map(|thread| thread.join());
            joined
                .map(|run| run.expect("the run does not panic"))
                .collect()
        });
        Metrics::average(&runs)
    }

    fn faults(&self, disturbances: &[Disturbance]) -> Vec<(Duration, Fault)> {
        let plain = match self.deployment.mix {
            Mix::Scores => 12,
            Mix::Labels => 8,
        };
        let at = |fraction: f64| TRACE_LENGTH.mul_f64(fraction);
        let mut faults = Vec::new();
        for disturbance in disturbances {
            match disturbance {
                Disturbance::Dead => {
                    for n in [0, plain] {
                        faults.push((at(0.3), Fault::Crash(n)));
                        faults.push((at(0.7), Fault::Recover(n)));
                    }
                }
                Disturbance::Half => {
                    for n in [1, plain + 1] {
                        faults.push((at(0.2), Fault::Slow(n, 0.5)));
                    }
                }
                Disturbance::Failing => {
                    for n in [2, plain + 2] {
                        faults.push((at(0.2), Fault::Fail(n, FAILURE_RATE)));
                    }
                }
                Disturbance::Late | Disturbance::Loud | Disturbance::Oversized => {}
            }
        }
        faults
    }
}

/// Service time of an agent at model engines and at plain endpoints of speed 1
/// without cached prefixes, in seconds.
fn uncached_work(deployment: &Deployment, agent: &Agent) -> [f64; 2] {
    let mut history = 0;
    let mut sum = [0.0; 2];
    for step in &agent.steps {
        match step {
            Step::Call(call) if deployment.services[call.service].model => {
                let prompt = history + call.new_tokens;
                history = prompt + call.completion_tokens;
                sum[0] += prompt as f64 * PREFILL_SECONDS
                    + call.completion_tokens as f64 * DECODE_SECONDS;
            }
            Step::Call(call) => {
                let service = &deployment.services[call.service];
                sum[1] += service.mean_duration.as_secs_f64() * call.work;
            }
            Step::Pause(_) => {}
            Step::Agents(agents) => {
                for agent in agents {
                    let cost = uncached_work(deployment, agent);
                    sum = [sum[0] + cost[0], sum[1] + cost[1]];
                }
            }
        }
    }
    sum
}

/// Work that model engines and plain endpoints do per second, in seconds of
/// service time at speed 1.
fn capacity(deployment: &Deployment) -> [f64; 2] {
    let mut sum = [0.0; 2];
    for shape in &deployment.endpoints {
        let model = deployment.services[shape.services[0]].model;
        sum[usize::from(!model)] += f64::from(shape.knee) * shape.speed;
    }
    sum
}
