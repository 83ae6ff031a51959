//! Metrics of a run.

use std::time::Duration;

use chicoryarch::load::deployment::Deployment;
use chicoryarch::load::program::Agent;
use chicoryarch::load::program::CallSpec;
use chicoryarch::load::program::Program;
use chicoryarch::load::program::Step;

use crate::fakes::DECODE_SECONDS;
use crate::fakes::PREFILL_SECONDS;
use crate::sim::Outcome;
use crate::sim::ProgramEnd;

/// Metrics of one run, or their averages over several runs.
///
/// Latencies are in seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Metrics {
    pub(crate) p50: f64,
    pub(crate) p95: f64,
    pub(crate) p99: f64,
    /// Largest mean ratio of latency to ideal latency of any customer.
    pub(crate) stretch: f64,
    /// Mean and 95th percentile of latency, by customer.
    pub(crate) customers: Vec<(f64, f64)>,
    pub(crate) reprocessed: f64,
    pub(crate) refused_rate: f64,
    pub(crate) wrongful: f64,
    pub(crate) refused_queue: f64,
    pub(crate) failed: f64,
    pub(crate) given_up: f64,
    pub(crate) unfinished: f64,
    pub(crate) repeated: f64,
    pub(crate) calls: f64,
}

impl Metrics {
    /// Metrics of one run; latencies and wrongful refusals leave out the
    /// customer `excluded`.
    pub(crate) fn from_run(
        deployment: &Deployment,
        programs: &[Program],
        outcome: &Outcome,
        excluded: Option<usize>,
    ) -> Self {
        let latency = |end: &ProgramEnd| match end {
            ProgramEnd::Done(latency) | ProgramEnd::Unfinished(latency) => {
                Some(latency.as_secs_f64())
            }
            ProgramEnd::Failed | ProgramEnd::Refused => None,
        };
        let mut all = Vec::new();
        let mut by_customer = vec![Vec::new(); deployment.customers.len()];
        let mut stretches = vec![Vec::new(); deployment.customers.len()];
        for (n, customer, end) in &outcome.programs {
            let Some(latency) = latency(end).filter(|_| excluded != Some(*customer)) else {
                continue;
            };
            let ideal = ideal_latency(deployment, &programs[*n].root).as_secs_f64();
            all.push(latency);
            by_customer[*customer].push(latency);
            stretches[*customer].push(latency / ideal);
        }
        let count = |is: fn(&ProgramEnd) -> bool| {
            let ends = outcome.programs.iter();
            ends.filter(|(_, _, end)| is(end)).count() as f64
        };
        let wrongful = outcome.wrongful.iter().enumerate();
        let wrongful = wrongful.filter(|(customer, _)| excluded != Some(*customer));
        let wrongful: u64 = wrongful.map(|(_, count)| count).sum();
        let stretch = stretches.iter().filter(|s| !s.is_empty()).map(|s| mean(s));
        Self {
            p50: percentile(&mut all, 0.50),
            p95: percentile(&mut all, 0.95),
            p99: percentile(&mut all, 0.99),
            stretch: stretch.fold(0.0, f64::max),
            customers: by_customer
                .iter_mut()
                .map(|latencies| (mean(latencies), percentile(latencies, 0.95)))
                .collect(),
            reprocessed: outcome.reprocessed as f64,
            refused_rate: outcome.refused_rate as f64,
            wrongful: wrongful as f64,
            refused_queue: outcome.refused_queue as f64,
            failed: count(|end| matches!(end, ProgramEnd::Failed)),
            given_up: count(|end| matches!(end, ProgramEnd::Refused)),
            unfinished: count(|end| matches!(end, ProgramEnd::Unfinished(_))),
            repeated: outcome.repeated as f64,
            calls: outcome.calls as f64,
        }
    }

    /// Returns the averages over runs.
    pub(crate) fn average(runs: &[Self]) -> Self {
        let over = |get: fn(&Self) -> f64| mean(&runs.iter().map(get).collect::<Vec<_>>());
        let customers = runs[0].customers.len();
        let customer = |n: usize| {
            let means: Vec<_> = runs.iter().map(|run| run.customers[n].0).collect();
            let p95s: Vec<_> = runs.iter().map(|run| run.customers[n].1).collect();
            (mean(&means), mean(&p95s))
        };
        Self {
            p50: over(|f| f.p50),
            p95: over(|f| f.p95),
            p99: over(|f| f.p99),
            stretch: over(|f| f.stretch),
            customers: (0..customers).map(customer).collect(),
            reprocessed: over(|f| f.reprocessed),
            refused_rate: over(|f| f.refused_rate),
            wrongful: over(|f| f.wrongful),
            refused_queue: over(|f| f.refused_queue),
            failed: over(|f| f.failed),
            given_up: over(|f| f.given_up),
            unfinished: over(|f| f.unfinished),
            repeated: over(|f| f.repeated),
            calls: over(|f| f.calls),
        }
    }

    /// Largest ratios of any customer's mean and 95th percentile of latency to
    /// those of a run without disturbances.
    pub(crate) fn slowdown(&self, baseline: &Self) -> (f64, f64) {
        let both = self.customers.iter().zip(&baseline.customers);
        let measured = both.filter(|(here, _)| here.0 > 0.0);
        measured.fold((0.0, 0.0), |(mean, p95), (here, baseline)| {
            (
                f64::max(mean, here.0 / baseline.0),
                f64::max(p95, here.1 / baseline.1),
            )
        })
    }
}

/// Latency of an agent that runs alone, at endpoints of speed 1 that hold its
/// prefix.
fn ideal_latency(deployment: &Deployment, agent: &Agent) -> Duration {
    let step = |step: &Step| match step {
        Step::Call(call) => Duration::from_secs_f64(service_seconds(deployment, call)),
        Step::Pause(pause) => *pause,
        Step::Agents(agents) => {
            let ideals = agents.iter().map(|agent| ideal_latency(deployment, agent));
            ideals.max().unwrap_or_default()
        }
    };
    agent.steps.iter().map(step).sum()
}

/// Service time of a call at an endpoint of speed 1 that holds its prefix, in
/// seconds.
pub(crate) fn service_seconds(deployment: &Deployment, call: &CallSpec) -> f64 {
    let mean_duration = deployment.services[call.service]
        .mean_duration
        .as_secs_f64()
        * call.work;
    mean_duration
        + call.new_tokens as f64 * PREFILL_SECONDS
        + call.completion_tokens as f64 * DECODE_SECONDS
}

fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.iter().sum::<f64>() / values.len() as f64
}

fn percentile(values: &mut [f64], fraction: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let index = (values.len() - 1) as f64 * fraction;
    values[index.round() as usize]
}
