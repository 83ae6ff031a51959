//! Randomised simulations of several hosts under faults.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRunner;

use super::simulation::Fault;
use super::simulation::Simulation;
use super::simulation::config;

const DEFAULT_CASES: u32 = 48;
const DEFAULT_SEED: u64 = 20_261_203;
const HOSTS: usize = 5;
const FLEETS: [&[(&str, usize)]; 3] = [
    &[("east", 3), ("west", 2)],
    &[("east", 1), ("west", 4)],
    &[("east", 2), ("north", 1), ("west", 2)],
];
const MAX_FAULTS: usize = 30;
const MAX_WAIT_MS: u64 = 1_500;

fn fault() -> impl Strategy<Value = Fault> {
    let host = || 0..HOSTS;
    prop_oneof![
        2 => host().prop_map(Fault::Kill),
        3 => host().prop_map(Fault::Restart),
        1 => host().prop_map(Fault::StartDuplicate),
        3 => host().prop_map(Fault::Freeze),
        3 => host().prop_map(Fault::Resume),
        2 => (host(), host()).prop_map(|(a, b)| Fault::CutHosts(a, b)),
        2 => host().prop_map(Fault::CutPlatform),
        1 => Just(Fault::CutDataCentre),
        2 => Just(Fault::HealCuts),
        1 => Just(Fault::PlatformOut),
        2 => Just(Fault::PlatformRestored),
        2 => (1..6u8).prop_map(Fault::LoseAnswers),
        2 => (1..6u8).prop_map(Fault::SlowWrites),
        2 => host().prop_map(Fault::Drain),
    ]
}

fn env_number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(
        text.parse()
            .unwrap_or_else(|_| panic!("{name} is not a number: {text}")),
    )
}

#[test]
fn partitions_never_have_two_owners_and_recover_after_faults() {
    let cases = env_number("CHICORYARCH_CASES").map_or(DEFAULT_CASES, |n| {
        u32::try_from(n).expect("CHICORYARCH_CASES is too large")
    });
    let seed = env_number("CHICORYARCH_SEED").unwrap_or(DEFAULT_SEED);
    let cfg = ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_time: 60_000,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    };
    let totals: [AtomicU64; 7] = Default::default();
    let faults = vec((0..MAX_WAIT_MS, fault()), 1..MAX_FAULTS);
    let case = (any::<u64>(), 0..FLEETS.len(), faults);
    let outcome = TestRunner::new(cfg).run(&case, |(seed, fleet, faults)| {
        let simulation = run(seed, FLEETS[fleet], &faults);
        let s = &simulation.stats;
        let figures = [
            s.steps,
            s.commits,
            s.takeovers,
            s.handovers,
            s.adoptions,
            s.full,
            s.repeatable_only,
        ];
        for (total, figure) in totals.iter().zip(figures) {
            total.fetch_add(figure, Ordering::Relaxed);
        }
        Ok(())
    });
    let [
        steps,
        commits,
        takeovers,
        handovers,
        adoptions,
        full,
        repeatable,
    ] = totals.map(AtomicU64::into_inner);
    println!(
        "seed {seed}: {cases} cases, {steps} steps, {commits} commits, {takeovers} takeovers, \
         {handovers} hand-overs, {adoptions} adoptions, {full} full and {repeatable} \
         repeatable-only checks"
    );
    match outcome {
        Ok(()) => {}
        Err(TestError::Fail(reason, case)) => {
            panic!("CHICORYARCH_SEED={seed} CHICORYARCH_CASES={cases}: {reason}: {case:?}")
        }
        Err(TestError::Abort(reason)) => panic!("the run was aborted: {reason}"),
    }
}

fn run(seed: u64, fleet: &[(&str, usize)], faults: &[(u64, Fault)]) -> Simulation {
    let mut simulation = Simulation::new(config(), seed, fleet);
    simulation.run(Duration::from_secs(3));
    for (wait_ms, fault) in faults {
        simulation.run(Duration::from_millis(*wait_ms));
        simulation.fault(fault);
    }
    simulation.heal();
    simulation.run(Duration::from_secs(10));
    simulation.assert_settled();
    simulation
}
