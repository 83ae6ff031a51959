//! Policies of limiter, queue and placement on seeded traces, in virtual time.
//!
//! `cargo bench --bench policy -- [ROUND...] [seeds=1,2,3]`
//!
//! The code that a host runs is driven over small fakes of endpoints; there is
//! no network, platform or cluster. The same seeds give the same figures.

#[path = "policy/desk.rs"]
mod desk;
#[path = "policy/fakes.rs"]
mod fakes;
#[path = "policy/figures.rs"]
mod figures;
#[path = "policy/limits.rs"]
mod limits;
#[path = "policy/rounds.rs"]
mod rounds;
#[path = "policy/scenario.rs"]
mod scenario;
#[path = "policy/sim.rs"]
mod sim;

use rounds::ROUNDS;
use rounds::Round;

/// Seeds that settings are tuned on.
const TUNED: [u64; 3] = [1, 2, 3];
/// Seeds kept apart from tuning.
const KEPT: [u64; 4] = [101, 102, 103, 104];

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let named = |round: &&Round| args.iter().any(|arg| arg == round.name);
    let mut chosen: Vec<&Round> = ROUNDS.iter().filter(named).collect();
    if chosen.is_empty() {
        chosen = ROUNDS.iter().collect();
    }
    let seeds = args.iter().find_map(|arg| arg.strip_prefix("seeds="));
    let seeds = seeds.map(|list| {
        let seeds = list.split(',').map(|seed| seed.parse().expect("a seed"));
        seeds.collect::<Vec<u64>>()
    });
    for round in chosen {
        match &seeds {
            Some(seeds) => rounds::run(round, seeds),
            None => {
                rounds::run(round, &TUNED);
                rounds::run(round, &KEPT);
            }
        }
    }
}
