//! Randomised runs of owners and stewards over engines' memory, in virtual
//! time, and the rules one by one.
//!
//! `CHICORYARCH_CASES` sets the number of runs and `CHICORYARCH_SEED` the seed;
//! a failure prints the seed and the shortest steps found.

#[path = "engine_memory/world.rs"]
mod world;

use std::cell::Cell;
use std::env;
use std::str::FromStr;

use chicoryarch::ids::EndpointId;
use chicoryarch::ids::HostId;
use chicoryarch::version::engine_memory::CacheHandle;
use chicoryarch::version::engine_memory::steward;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use world::ENGINES;
use world::Fate;
use world::LISTS_KEPT;
use world::PARTITIONS;
use world::STEWARDS;
use world::Step;
use world::Totals;
use world::World;

const CASES: u32 = 300;
const SEED: u64 = 20_261_203;
const STEPS: usize = 300;

fn setting<T: FromStr>(name: &str, default: T) -> T {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn step() -> impl Strategy<Value = Step> {
    let fate = prop_oneof![
        3 => proptest::strategy::Just(Fate::Arrives),
        1 => proptest::strategy::Just(Fate::AnswerLost),
        1 => proptest::strategy::Just(Fate::Lost),
    ];
    let review = (0..ENGINES, 0..STEWARDS);
    let gaps = any::<u64>().prop_map(|bits| bits & (bits >> 7));
    prop_oneof![
        4 => (1_u64..200).prop_map(|ms| Step::Advance { ms }),
        6 => (any::<usize>(), 0..ENGINES)
            .prop_map(|(program, engine)| Step::Call { program, engine }),
        6 => any::<usize>().prop_map(|call| Step::Finish { call }),
        3 => review.clone().prop_map(|(engine, steward)| Step::Confirm { engine, steward }),
        4 => (any::<usize>(), fate).prop_map(|(order, fate)| Step::Deliver { order, fate }),
        1 => (any::<usize>(), any::<bool>())
            .prop_map(|(program, event_lost)| Step::End { program, event_lost }),
        5 => (review.clone(), 0..LISTS_KEPT, gaps).prop_map(|((engine, steward), lag, gaps)| {
            Step::List { engine, steward, lag, gaps }
        }),
        2 => (0..PARTITIONS).prop_map(|partition| Step::Open { partition }),
        1 => review.prop_map(|(engine, steward)| Step::Replace { engine, steward }),
        2 => (0..PARTITIONS, any::<bool>())
            .prop_map(|(partition, serves)| Step::Serve { partition, serves }),
        2 => (0..PARTITIONS).prop_map(|partition| Step::Sweep { partition }),
        1 => (0..PARTITIONS).prop_map(|partition| Step::TakeOver { partition }),
    ]
}

fn runner(seed: u64) -> TestRunner {
    let config = Config {
        cases: setting("CHICORYARCH_CASES", CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    TestRunner::new_with_rng(config, rng)
}

fn add(sum: Totals, run: Totals) -> Totals {
    Totals {
        kept_unknown: sum.kept_unknown + run.kept_unknown,
        owner_releases: sum.owner_releases + run.owner_releases,
        refused: sum.refused + run.refused,
        steward_releases: sum.steward_releases + run.steward_releases,
        takeovers: sum.takeovers + run.takeovers,
        uncached: sum.uncached + run.uncached,
    }
}

fn run(checks_fence: bool) -> Totals {
    let seed = setting("CHICORYARCH_SEED", SEED);
    let sum = Cell::new(Totals::default());
    let result = runner(seed).run(&vec(step(), STEPS), |steps| {
        let mut world = World::new(checks_fence);
        for step in steps {
            world.apply(step);
        }
        world.settle();
        sum.set(add(sum.get(), world.totals));
        Ok(())
    });
    if let Err(error) = result {
        panic!("CHICORYARCH_SEED={seed} fails: {error}");
    }
    println!("seed {seed}: {:?}", sum.get());
    sum.get()
}

fn assert_exercised(totals: Totals) {
    let counts = [
        totals.kept_unknown,
        totals.owner_releases,
        totals.steward_releases,
        totals.takeovers,
        totals.uncached,
    ];
    assert!(counts.iter().all(|count| *count > 0), "{totals:?}");
}

#[test]
fn memory_is_released_once_unused_at_engines_that_ignore_fencing_numbers() {
    assert_exercised(run(false));
}

#[test]
fn memory_is_released_once_unused_at_engines_that_check_fencing_numbers() {
    let totals = run(true);
    assert_exercised(totals);
    assert!(totals.refused > 0, "{totals:?}");
}

#[test]
fn engines_move_only_from_a_host_that_goes() {
    let hosts: Vec<HostId> = (0..5)
        .map(|n| format!("host-{n}").parse().expect("a valid name"))
        .collect();
    let gone = &hosts[2];
    for n in 0..100 {
        let engine: EndpointId = format!("engine-{n}").parse().expect("a valid name");
        let before = steward(&engine, &hosts).expect("there are hosts");
        let after = steward(&engine, hosts.iter().filter(|host| *host != gone));
        assert!(before == gone || after == Some(before), "{engine}");
    }
}

#[test]
fn only_canonical_handles_are_read() {
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
