//! Rounds of measurement: which policies are compared under what.

use std::time::Duration;

use chicoryarch::configs::place::PlaceConfig;
use chicoryarch::configs::queue::QueueConfig;
use chicoryarch::load::deployment::Deployment;

use crate::desk::DeskKind;
use crate::figures::Figures;
use crate::limits::LimitKind;
use crate::scenario::Bench;
use crate::scenario::Policy;
use crate::scenario::Trouble;

/// Ordinary loads of the traces of scores and of labels.
const ORDINARY: (f64, f64) = (0.85, 0.70);
/// Loads at which calls wait also where prefixes are cached.
const HEAVY: (f64, f64) = (1.7, 1.0);

/// A comparison of policies.
pub(crate) struct Round {
    /// Its name on the command line.
    pub(crate) name: &'static str,
    /// Loads of the traces of scores and of labels.
    loads: (f64, f64),
    policies: fn() -> Vec<Policy>,
    troubles: &'static [&'static [Trouble]],
}

const QUIET: &[Trouble] = &[];

/// Every round.
pub(crate) const ROUNDS: &[Round] = &[
    Round {
        name: "baselines",
        loads: ORDINARY,
        policies: baselines,
        troubles: &[QUIET],
    },
    Round {
        name: "limits",
        loads: ORDINARY,
        policies: limits,
        troubles: &[QUIET, &[Trouble::Loud]],
    },
    Round {
        name: "mechanisms",
        loads: ORDINARY,
        policies: mechanisms,
        troubles: &[QUIET, &[Trouble::Loud]],
    },
    Round {
        name: "faults",
        loads: ORDINARY,
        policies: faults,
        troubles: &[
            QUIET,
            &[Trouble::Dead],
            &[Trouble::Half],
            &[Trouble::Failing],
            &[Trouble::Late],
            &[Trouble::Loud],
            &[Trouble::Dead, Trouble::Loud],
            &[Trouble::Half, Trouble::Late],
        ],
    },
    Round {
        name: "heavy",
        loads: HEAVY,
        policies: heavy,
        troubles: &[QUIET, &[Trouble::Loud]],
    },
    Round {
        name: "oversized",
        loads: HEAVY,
        policies: adaptive,
        troubles: &[&[Trouble::Oversized]],
    },
    Round {
        name: "spread",
        loads: ORDINARY,
        policies: spread,
        troubles: &[QUIET],
    },
    Round {
        name: "ageing",
        loads: HEAVY,
        policies: ageing,
        troubles: &[QUIET],
    },
    Round {
        name: "adaptive",
        loads: ORDINARY,
        policies: adaptive,
        troubles: &[QUIET, &[Trouble::Half]],
    },
];

fn baselines() -> Vec<Policy> {
    vec![
        Policy::new("round robin, no queue", DeskKind::Unbounded),
        Policy::new("fcfs, round robin", DeskKind::RoundRobin),
        Policy::new("fcfs, least in flight", DeskKind::LeastInFlight),
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
    let fair = DeskKind::FairLeast(QueueConfig::default());
    let placed = DeskKind::FcfsPlaced(PlaceConfig::default());
    vec![
        Policy::new("fcfs, round robin", DeskKind::RoundRobin),
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
    let fair = DeskKind::FairLeast(QueueConfig::default());
    let placed = DeskKind::FcfsPlaced(PlaceConfig::default());
    vec![
        Policy::new("fcfs, round robin", DeskKind::RoundRobin),
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
        Policy::new("fcfs, round robin", DeskKind::RoundRobin),
        Policy::new("fcfs, least in flight", DeskKind::LeastInFlight),
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

/// Runs a round on both deployments and prints its tables.
pub(crate) fn run(round: &Round, seeds: &[u64]) {
    let benches = [
        Bench::new(Deployment::scores(), round.loads.0),
        Bench::new(Deployment::labels(), round.loads.1),
    ];
    for bench in &benches {
        let (name, rate) = (bench.deployment.name, bench.rate());
        println!(
            "\n## {}: {name}, seeds {seeds:?}, {rate:.2} programs/s",
            round.name
        );
        let policies = (round.policies)();
        let quiet: Vec<_> = policies
            .iter()
            .map(|policy| bench.average(policy, QUIET, seeds))
            .collect();
        for troubles in round.troubles {
            println!("\n{}\n", title(troubles));
            header();
            for (policy, quiet) in policies.iter().zip(&quiet) {
                let figures = match troubles.is_empty() {
                    true => quiet.clone(),
                    false => bench.average(policy, troubles, seeds),
                };
                row(policy, &figures, quiet);
            }
        }
    }
}

fn title(troubles: &[Trouble]) -> String {
    if troubles.is_empty() {
        return "Quiet".to_owned();
    }
    let names: Vec<_> = troubles.iter().map(|t| format!("{t:?}")).collect();
    names.join(" and ")
}

fn header() {
    println!(
        "| policy | p50 s | p95 s | p99 s | wasted Mtok | worst stretch | slowdown mean, p95 | \
         refused rate, wrongful | refused queue | failed | given up | repeats |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
}

fn row(policy: &Policy, figures: &Figures, quiet: &Figures) {
    let f = figures;
    let (mean, p95) = f.slowdown(quiet);
    println!(
        "| {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {mean:.2}, {p95:.2} | {:.0}, {:.1} | \
         {:.1} | {:.1} | {:.1} | {:.0} |",
        policy.name,
        f.p50,
        f.p95,
        f.p99,
        f.wasted / 1e6,
        f.stretch,
        f.refused_rate,
        f.wrongful,
        f.refused_queue,
        f.failed,
        f.given_up,
        f.repeated,
    );
}
