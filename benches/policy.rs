//! Compares policies of limiter, queue and placement on seeded traces, in
//! virtual time.
//!
//! `cargo bench --bench policy -- [EXPERIMENT...] [seeds=1,2,3]`
//!
//! The production code of a host runs against simple fakes of endpoints; there
//! is no network, platform or cluster. The same seeds give the same results.

#[path = "policy/dispatcher.rs"]
mod dispatcher;
#[path = "policy/experiments.rs"]
mod experiments;
#[path = "policy/fakes.rs"]
mod fakes;
#[path = "policy/limits.rs"]
mod limits;
#[path = "policy/metrics.rs"]
mod metrics;
#[path = "policy/scenario.rs"]
mod scenario;
#[path = "policy/sim.rs"]
mod sim;

use experiments::EXPERIMENTS;
use experiments::Experiment;

/// Seeds that settings are tuned on.
const TUNING_SEEDS: [u64; 3] = [1, 2, 3];
/// Seeds that are excluded from tuning.
const HELD_OUT_SEEDS: [u64; 4] = [101, 102, 103, 104];

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let is_selected = |experiment: &&Experiment| args.iter().any(|arg| arg == experiment.name);
    let mut selected: Vec<&Experiment> = EXPERIMENTS.iter().filter(is_selected).collect();
    if selected.is_empty() {
        selected = EXPERIMENTS.iter().collect();
    }
    let seeds = args.iter().find_map(|arg| arg.strip_prefix("seeds="));
    let seeds = seeds.map(|list| {
        let seeds = list.split(',').map(|seed| seed.parse().expect("a seed"));
        seeds.collect::<Vec<u64>>()
    });
    for experiment in selected {
        match &seeds {
            Some(seeds) => experiments::run(experiment, seeds),
            None => {
                experiments::run(experiment, &TUNING_SEEDS);
                experiments::run(experiment, &HELD_OUT_SEEDS);
            }
        }
    }
}
