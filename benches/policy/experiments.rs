//! Experiments: the policies that are compared, and their loads and
//! disturbances.

use std::time::Duration;

use chicoryarch::configs::place::PlaceConfig;
use chicoryarch::configs::queue::QueueConfig;
use chicoryarch::load::deployment::Deployment;

use crate::dispatcher::DispatchPolicy;
use crate::limits::LimitKind;
use crate::metrics::Metrics;
use crate::scenario::Disturbance;
use crate::scenario::Policy;
use crate::scenario::Workload;

/// Ordinary loads of the scores and labels traces.
const ORDINARY_LOADS: (f64, f64) = (0.85, 0.70);
/// Loads of the scores and labels traces at which calls queue even if prefixes
/// are cached.
const HEAVY_LOADS: (f64, f64) = (1.7, 1.0);

/// A comparison of policies.
pub(crate) struct Experiment {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// Loads of the scores and labels traces, as fractions of the capacity
    /// without cached prefixes.
    loads: (f64, f64),
    policies: fn() -> Vec<Policy>,
    disturbances: &'static [&'static [Disturbance]],
}

const NO_DISTURBANCE: &[Disturbance] = &[];

pub(crate) const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "baselines",
        loads: ORDINARY_LOADS,
        policies: baselines,
        disturbances: &[NO_DISTURBANCE],
    },
    Experiment {
        name: "limits",
        loads: ORDINARY_LOADS,
        policies: limits,
        disturbances: &[NO_DISTURBANCE, &[Disturbance::Loud]],
    },
    Experiment {
        name: "mechanisms",
        loads: ORDINARY_LOADS,
        policies: mechanisms,
        disturbances: &[NO_DISTURBANCE, &[Disturbance::Loud]],
    },
    Experiment {
        name: "faults",
        loads: ORDINARY_LOADS,
        policies: faults,
        disturbances: &[
            NO_DISTURBANCE,
            &[Disturbance::Dead],
            &[Disturbance::Half],
            &[Disturbance::Failing],
            &[Disturbance::Late],
            &[Disturbance::Loud],
            &[Disturbance::Dead, Disturbance::Loud],
            &[Disturbance::Half, Disturbance::Late],
        ],
    },
    Experiment {
        name: "heavy",
        loads: HEAVY_LOADS,
        policies: heavy,
        disturbances: &[NO_DISTURBANCE, &[Disturbance::Loud]],
    },
    Experiment {
        name: "oversized",
        loads: HEAVY_LOADS,
        policies: adaptive,
        disturbances: &[&[Disturbance::Oversized]],
    },
    Experiment {
        name: "spread",
        loads: ORDINARY_LOADS,
        policies: spread,
        disturbances: &[NO_DISTURBANCE],
    },
    Experiment {
        name: "ageing",
        loads: HEAVY_LOADS,
        policies: ageing,
        disturbances: &[NO_DISTURBANCE],
    },
    Experiment {
        name: "adaptive",
        loads: ORDINARY_LOADS,
        policies: adaptive,
        disturbances: &[NO_DISTURBANCE, &[Disturbance::Half]],
    },
];

fn baselines() -> Vec<Policy> {
    vec![
        Policy::new("round robin, no queue", DispatchPolicy::Unbounded),
        Policy::new("fcfs, round robin", DispatchPolicy::RoundRobin),
        Policy::new("fcfs, least in flight", DispatchPolicy::LeastInFlight),
        Policy::full(),
    ]
}

fn limits() -> Vec<Policy> {
    let with = |name, limits| Policy {
        limits,
        ..Policy::with(name, |_, _| {})
    };
    vec![
        with("static split", LimitKind::StaticSplit),
        with("one owner, no borrowing", LimitKind::OwnerOnly),
        with("conserved tokens", LimitKind::Conserved),
    ]
}

fn mechanisms() -> Vec<Policy> {
    let fair = DispatchPolicy::FairLeast(QueueConfig::default());
    let placed = DispatchPolicy::FcfsPlaced(PlaceConfig::default());
    vec![
        Policy::new("fcfs, round robin", DispatchPolicy::RoundRobin),
        Policy::new("queue alone", fair),
        Policy::new("placement alone", placed),
        Policy::full(),
        Policy::with("all, no prefix", |_, place| place.prefix_affinity = false),
        Policy::with("all, moves", |_, place| place.move_prefixes = true),
        Policy::with("all, fixed limits", |_, place| {
            place.adaptive_concurrency = false;
        }),
        Policy::with("all, no attained", |queue, _| {
            queue.max_attained = Duration::ZERO;
        }),
        Policy::with("all, no reserve", |_, place| place.interactive_share = 0.0),
    ]
}

fn heavy() -> Vec<Policy> {
    let fair = DispatchPolicy::FairLeast(QueueConfig::default());
    let placed = DispatchPolicy::FcfsPlaced(PlaceConfig::default());
    vec![
        Policy::new("fcfs, round robin", DispatchPolicy::RoundRobin),
        Policy::new("queue alone", fair),
        Policy::new("placement alone", placed),
        Policy::full(),
        Policy::with("all, moves", |_, place| place.move_prefixes = true),
        Policy::with("all, no attained", |queue, _| {
            queue.max_attained = Duration::ZERO;
        }),
    ]
}

fn spread() -> Vec<Policy> {
    let with = |name, slowdown| Policy::with(name, move |_, place| place.load_slowdown = slowdown);
    vec![
        with("slowdown 0", 0.0),
        with("slowdown 0.1", 0.1),
        with("slowdown 0.25", 0.25),
        with("slowdown 0.5", 0.5),
        with("slowdown 1", 1.0),
    ]
}

fn faults() -> Vec<Policy> {
    vec![
        Policy::new("fcfs, round robin", DispatchPolicy::RoundRobin),
        Policy::new("fcfs, least in flight", DispatchPolicy::LeastInFlight),
        Policy::full(),
        Policy::with("all, no ejection", |_, place| place.eject_after = 1_000),
    ]
}

fn ageing() -> Vec<Policy> {
    let with = |name, ageing| Policy::with(name, move |queue, _| queue.ageing = ageing);
    vec![
        with("ageing 0.01", 0.01),
        with("ageing 0.1", 0.1),
        with("ageing 0.3", 0.3),
        with("ageing 1", 1.0),
        with("ageing 3", 3.0),
    ]
}

fn adaptive() -> Vec<Policy> {
    let with =
        |name, tolerance| Policy::with(name, move |_, place| place.latency_tolerance = tolerance);
    vec![
        Policy::with("fixed", |_, place| place.adaptive_concurrency = false),
        with("tolerance 1.5", 1.5),
        with("tolerance 2", 2.0),
        with("tolerance 2.5", 2.5),
        with("tolerance 4", 4.0),
    ]
}

/// Runs an experiment on both deployments and prints its tables.
pub(crate) fn run(experiment: &Experiment, seeds: &[u64]) {
    let workloads = [
        Workload::new(Deployment::scores(), experiment.loads.0),
        Workload::new(Deployment::labels(), experiment.loads.1),
    ];
    for workload in &workloads {
        let (name, rate) = (workload.deployment.name, workload.rate());
        println!(
            "\n## {}: {name}, seeds {seeds:?}, {rate:.2} programs/s",
            experiment.name
        );
        let policies = (experiment.policies)();
        let baselines: Vec<_> = policies
            .iter()
            .map(|policy| workload.average(policy, NO_DISTURBANCE, seeds))
            .collect();
        for disturbances in experiment.disturbances {
            println!("\n{}\n", title(disturbances));
            print_header();
            for (policy, baseline) in policies.iter().zip(&baselines) {
                let metrics = match disturbances.is_empty() {
                    true => baseline.clone(),
                    false => workload.average(policy, disturbances, seeds),
                };
                print_row(policy, &metrics, baseline);
            }
        }
    }
}

fn title(disturbances: &[Disturbance]) -> String {
    if disturbances.is_empty() {
        return "No disturbance".to_owned();
    }
    let names: Vec<_> = disturbances.iter().map(|t| format!("{t:?}")).collect();
    names.join(" and ")
}

fn print_header() {
    println!(
        "| policy | p50 s | p95 s | p99 s | reprocessed Mtok | worst stretch | slowdown mean, p95 | \
         refused rate, wrongful | refused queue | failed | given up | repeats |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
}

fn print_row(policy: &Policy, metrics: &Metrics, baseline: &Metrics) {
    let f = metrics;
    let (mean, p95) = f.slowdown(baseline);
    println!(
        "| {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {mean:.2}, {p95:.2} | {:.0}, {:.1} | \
         {:.1} | {:.1} | {:.1} | {:.0} |",
        policy.name,
        f.p50,
        f.p95,
        f.p99,
        f.reprocessed / 1e6,
        f.stretch,
        f.refused_rate,
        f.wrongful,
        f.refused_queue,
        f.failed,
        f.given_up,
        f.repeated,
    );
}
