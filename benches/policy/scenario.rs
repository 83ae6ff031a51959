//! Traces, faults and policies that are run against each other.

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

use crate::desk::DeskKind;
use crate::fakes::DECODE;
use crate::fakes::PREFILL;
use crate::figures::Figures;
use crate::limits::LimitKind;
use crate::sim::Fault;
use crate::sim::Setup;
use crate::sim::Sim;

/// Length of a trace.
const LENGTH: Duration = Duration::from_secs(900);
/// Length of the trace that loads are calibrated on.
const CALIBRATION: Duration = Duration::from_secs(20_000);
/// Seed of the trace that loads are calibrated on.
const CALIBRATION_SEED: u64 = 4_711;
/// Rate of a customer as a multiple of what it sends on average.
const HEADROOM: f64 = 1.5;
/// Burst of a customer, in seconds of its rate.
const BURST_SECONDS: f64 = 10.0;
/// Smallest burst, in calls.
const MIN_BURST: f64 = 20.0;
/// Customer that sends too much in some scenarios.
const LOUD: usize = 1;
/// Age of load reports.
const LAG: Duration = Duration::from_millis(500);
/// Age of load reports that are late.
const LATE: Duration = Duration::from_secs(5);
/// Fraction of calls that a half-dead endpoint breaks off.
const FAILING: f64 = 0.5;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Trouble {
    /// A model engine and a plain endpoint refuse calls for a while.
    Dead,
    /// A model engine and a plain endpoint run at half their speed.
    Half,
    /// A model engine and a plain endpoint break off half of their calls.
    Failing,
    /// Endpoints are configured with three times the places that they have.
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
    pub(crate) desk: DeskKind,
    pub(crate) limits: LimitKind,
}

impl Policy {
    /// A policy with the limiter in the tree.
    pub(crate) fn new(name: &'static str, desk: DeskKind) -> Self {
        Self {
            name,
            desk,
            limits: LimitKind::Conserved,
        }
    }

    /// Everything in the tree, as configured by default.
    pub(crate) fn full() -> Self {
        Self::with("all", |_, _| {})
    }

    /// Everything in the tree, with some settings changed.
    pub(crate) fn with(
        name: &'static str,
        change: impl FnOnce(&mut QueueConfig, &mut PlaceConfig),
    ) -> Self {
        let (mut queue, mut place) = (QueueConfig::default(), PlaceConfig::default());
        change(&mut queue, &mut place);
        Self::new(name, DeskKind::Full(queue, place))
    }
}

/// A deployment with its load.
pub(crate) struct Bench {
    pub(crate) deployment: Deployment,
    rate: f64,
    terms: Vec<(f64, f64)>,
}

impl Bench {
    /// A deployment at a fraction of what it can do without cached prefixes.
    pub(crate) fn new(deployment: Deployment, load: f64) -> Self {
        let spec = TraceSpec {
            seed: CALIBRATION_SEED,
            rate: 1.0,
            length: CALIBRATION,
            surge: None,
        };
        let programs = generate(&deployment, &spec);
        let count = programs.len() as f64;
        let cost = programs.iter().map(|p| cold(&deployment, &p.root));
        let cost = cost.fold([0.0; 2], |sum, cost| [sum[0] + cost[0], sum[1] + cost[1]]);
        let capacity = capacity(&deployment);
        let rate = (0..2)
            .map(|kind| load * capacity[kind] * count / cost[kind])
            .fold(f64::INFINITY, f64::min);
        let calls = programs.iter().map(|p| p.root.calls().len()).sum::<usize>();
        let calls = calls as f64 / count;
        let terms = deployment.customers.iter().map(|customer| {
            let average = rate * customer.share * calls;
            let limit = average * HEADROOM;
            (limit, (limit * BURST_SECONDS).max(MIN_BURST))
        });
        Self {
            rate,
            terms: terms.collect(),
            deployment,
        }
    }

    /// Programs a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Runs a policy on the trace of a seed.
    pub(crate) fn run(&self, policy: &Policy, troubles: &[Trouble], seed: u64) -> Figures {
        let loud = troubles.contains(&Trouble::Loud);
        let surge = loud.then_some(Surge {
            customer: LOUD,
            factor: 5.0,
            from: LENGTH.mul_f64(0.2),
            until: LENGTH.mul_f64(0.8),
        });
        let spec = TraceSpec {
            seed,
            rate: self.rate,
            length: LENGTH,
            surge,
        };
        let programs: Vec<Program> = generate(&self.deployment, &spec);
        let mut deployment = self.deployment.clone();
        if troubles.contains(&Trouble::Oversized) {
            for shape in &mut deployment.endpoints {
                shape.concurrency *= 3;
            }
        }
        let late = troubles.contains(&Trouble::Late);
        let setup = Setup {
            deployment: &deployment,
            programs: &programs,
            length: LENGTH,
            desk: policy.desk.clone(),
            limits: policy.limits,
            terms: self.terms.clone(),
            faults: self.faults(troubles),
            load_lag: if late { LATE } else { LAG },
        };
        let outcome = Sim::run(&setup);
        let except = loud.then_some(LOUD);
        Figures::of(&self.deployment, &programs, &outcome, except)
    }

    /// Runs a policy on several seeds and averages.
    pub(crate) fn average(&self, policy: &Policy, troubles: &[Trouble], seeds: &[u64]) -> Figures {
        let runs: Vec<_> = std::thread::scope(|scope| {
            let run = |seed: &u64| {
                let seed = *seed;
                scope.spawn(move || self.run(policy, troubles, seed))
            };
            let threads: Vec<_> = seeds.iter().map(run).collect();
            let joined = threads.into_iter().map(|thread| thread.join());
            joined.map(|run| run.expect("a run panicked")).collect()
        });
        Figures::average(&runs)
    }

    fn faults(&self, troubles: &[Trouble]) -> Vec<(Duration, Fault)> {
        let plain = match self.deployment.mix {
            Mix::Scores => 12,
            Mix::Labels => 8,
        };
        let at = |fraction: f64| LENGTH.mul_f64(fraction);
        let mut faults = Vec::new();
        for trouble in troubles {
            match trouble {
                Trouble::Dead => {
                    for n in [0, plain] {
                        faults.push((at(0.3), Fault::Die(n)));
                        faults.push((at(0.7), Fault::Revive(n)));
                    }
                }
                Trouble::Half => {
                    for n in [1, plain + 1] {
                        faults.push((at(0.2), Fault::Slow(n, 0.5)));
                    }
                }
                Trouble::Failing => {
                    for n in [2, plain + 2] {
                        faults.push((at(0.2), Fault::Fail(n, FAILING)));
                    }
                }
                Trouble::Late | Trouble::Loud | Trouble::Oversized => {}
            }
        }
        faults
    }
}

/// Seconds of work of an agent at model engines and plain endpoints of speed
/// 1, if no prefix is cached.
fn cold(deployment: &Deployment, agent: &Agent) -> [f64; 2] {
    let mut history = 0;
    let mut sum = [0.0; 2];
    for step in &agent.steps {
        match step {
            Step::Call(call) if deployment.services[call.service].model => {
                let prompt = history + call.new_tokens;
                history = prompt + call.completion_tokens;
                sum[0] += prompt as f64 * PREFILL + call.completion_tokens as f64 * DECODE;
            }
            Step::Call(call) => {
                let service = &deployment.services[call.service];
                sum[1] += service.mean_duration.as_secs_f64() * call.work;
            }
            Step::Pause(_) => {}
            Step::Agents(agents) => {
                for agent in agents {
                    let cost = cold(deployment, agent);
                    sum = [sum[0] + cost[0], sum[1] + cost[1]];
                }
            }
        }
    }
    sum
}

/// Seconds of work at speed 1 that model engines and plain endpoints do in a
/// second.
fn capacity(deployment: &Deployment) -> [f64; 2] {
    let mut sum = [0.0; 2];
    for shape in &deployment.endpoints {
        let model = deployment.services[shape.services[0]].model;
        sum[usize::from(!model)] += f64::from(shape.knee) * shape.speed;
    }
    sum
}
