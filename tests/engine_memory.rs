//! Releases of engine caches: randomised simulations in virtual time of owners,
//! reviewers and engines, and tests of single rules.
//!
//! The simulations guard against two failures: an engine releases a cache that a
//! call still uses, because an owner or reviewer acts on outdated state or a
//! request arrives late; and an unused cache is never released, because a
//! request or the end of a program is lost.
//!
//! `CHICORYARCH_CASES` sets the number of runs and `CHICORYARCH_SEED` the seed.
//! A failure prints the seed and the shortest failing sequence of steps.

#[path = "engine_memory/world.rs"]
mod world;

use std::cell::Cell;
use std::env;
use std::str::FromStr;

use chicoryarch::ids::EndpointId;
use chicoryarch::ids::HostId;
use chicoryarch::version::engine_memory::CacheHandle;
use chicoryarch::version::engine_memory::select_reviewer;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use world::Delivery;
use world::ENGINES;
use world::MAX_KEPT_LISTS;
use world::PARTITIONS;
use world::REVIEWERS;
use world::Step;
use world::Totals;
use world::World;

const CASES: u32 = 300;
const SEED: u64 = 20_261_203;
const STEPS: usize = 300;

fn env_or<T: FromStr>(name: &str, default: T) -> T {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn any_step() -> impl Strategy<Value = Step> {
    let delivery = prop_oneof![
        3 => proptest::strategy::Just(Delivery::Arrives),
        1 => proptest::strategy::Just(Delivery::ResponseLost),
        1 => proptest::strategy::Just(Delivery::Lost),
    ];
    let review = (0..ENGINES, 0..REVIEWERS);
    let gaps = any::<u64>().prop_map(|bits| bits & (bits >> 7));
    prop_oneof![
        4 => (1_u64..200).prop_map(|ms| Step::Advance { ms }),
        6 => (any::<usize>(), 0..ENGINES)
            .prop_map(|(program, engine)| Step::Call { program, engine }),
        6 => any::<usize>().prop_map(|call| Step::Finish { call }),
        3 => review.clone().prop_map(|(engine, reviewer)| Step::Confirm { engine, reviewer }),
        4 => (any::<usize>(), delivery)
            .prop_map(|(request, delivery)| Step::Deliver { request, delivery }),
        1 => (any::<usize>(), any::<bool>())
            .prop_map(|(program, event_lost)| Step::End { program, event_lost }),
        5 => (review.clone(), 0..MAX_KEPT_LISTS, gaps).prop_map(|((engine, reviewer), lag, gaps)| {
            Step::List { engine, reviewer, lag, gaps }
        }),
        2 => (0..PARTITIONS).prop_map(|partition| Step::Open { partition }),
        1 => review.prop_map(|(engine, reviewer)| Step::Reset { engine, reviewer }),
        2 => (0..PARTITIONS, any::<bool>())
            .prop_map(|(partition, serves)| Step::Serve { partition, serves }),
        2 => (0..PARTITIONS).prop_map(|partition| Step::Sweep { partition }),
        1 => (0..PARTITIONS).prop_map(|partition| Step::TakeOver { partition }),
    ]
}

fn test_runner(seed: u64) -> TestRunner {
    let config = Config {
        cases: env_or("CHICORYARCH_CASES", CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    TestRunner::new_with_rng(config, rng)
}

fn add_totals(sum: Totals, run: Totals) -> Totals {
    Totals {
        unknown_statuses: sum.unknown_statuses + run.unknown_statuses,
        owner_releases: sum.owner_releases + run.owner_releases,
        rejected: sum.rejected + run.rejected,
        reviewer_releases: sum.reviewer_releases + run.reviewer_releases,
        takeovers: sum.takeovers + run.takeovers,
        uncached_calls: sum.uncached_calls + run.uncached_calls,
    }
}

fn run_simulations(checks_fence: bool) -> Totals {
    let seed = env_or("CHICORYARCH_SEED", SEED);
    let sum = Cell::new(Totals::default());
    let result = test_runner(seed).run(&vec(any_step(), STEPS), |steps| {
        let mut world = World::new(checks_fence);
        for step in steps {
            world.apply(step);
        }
        world.settle();
        sum.set(add_totals(sum.get(), world.totals));
        Ok(())
    });
    if let Err(error) = result {
        panic!("CHICORYARCH_SEED={seed} fails: {error}");
    }
    println!("seed {seed}: {:?}", sum.get());
    sum.get()
}

fn assert_covered(totals: Totals) {
    let counts = [
        totals.unknown_statuses,
        totals.owner_releases,
        totals.reviewer_releases,
        totals.takeovers,
        totals.uncached_calls,
    ];
    assert!(counts.iter().all(|count| *count > 0), "{totals:?}");
}

#[test]
fn unused_caches_are_released_at_engines_without_fencing() {
    assert_covered(run_simulations(false));
}

#[test]
fn unused_caches_are_released_at_engines_with_fencing() {
    let totals = run_simulations(true);
    assert_covered(totals);
    assert!(totals.rejected > 0, "{totals:?}");
}

#[test]
fn only_engines_of_a_removed_host_are_reassigned() {
    let hosts: Vec<HostId> = (0..5)
        .map(|n| format!("host-{n}").parse().expect("a valid name"))
        .collect();
    let removed = &hosts[2];
    for n in 0..100 {
        let engine: EndpointId = format!("engine-{n}").parse().expect("a valid name");
        let before = select_reviewer(&engine, &hosts).expect("there are hosts");
        let after = select_reviewer(&engine, hosts.iter().filter(|host| *host != removed));
        assert!(before == removed || after == Some(before), "{engine}");
    }
}

#[test]
fn only_canonical_handles_are_parsed() {
    let text = "choir/north.3.00000000000000ff/7";
    let handle: CacheHandle = text.parse().expect("a handle");
    assert_eq!(handle.to_string(), text);
    for other in [
        "",
        "choir",
        "choir/north.3.ff/7",
        "choir/north.3.00000000000000ff/07",
    ] {
        assert!(other.parse::<CacheHandle>().is_err(), "{other}");
    }
}
