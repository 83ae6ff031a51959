//! Property tests: several owners of one journal under random faults, in virtual
//! time.
//!
//! `CHICORYARCH_CASES` sets the number of cases and `CHICORYARCH_SEED` the seed;
//! a failure prints the seed and the shrunk steps.

#[path = "journal/steps.rs"]
mod steps;
#[path = "journal/store.rs"]
mod store;
#[path = "journal/world.rs"]
mod world;

use std::cell::Cell;
use std::env;
use std::str::FromStr;

use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use world::Totals;
use world::World;

const CASES: u32 = 200;
const SEED: u64 = 20_260_801;
const STEPS: usize = 400;

fn setting<T: FromStr>(name: &str, default: T) -> T {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn runner(seed: u64) -> TestRunner {
    let config = Config {
        cases: setting("CHICORYARCH_CASES", CASES),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    TestRunner::new_with_rng(config, rng)
}

fn add_totals(sum: Totals, run: Totals) -> Totals {
    Totals {
        runs: sum.runs + run.runs,
        once_runs: sum.once_runs + run.once_runs,
        replays: sum.replays + run.replays,
        unknown: sum.unknown + run.unknown,
        not_run: sum.not_run + run.not_run,
        takeovers: sum.takeovers + run.takeovers,
        late_dispatches: sum.late_dispatches + run.late_dispatches,
        recorded: sum.recorded + run.recorded,
        archives: sum.archives + run.archives,
        archive_replays: sum.archive_replays + run.archive_replays,
    }
}

fn check_invariants(checks_fence: bool) -> Totals {
    let seed = setting("CHICORYARCH_SEED", SEED);
    let sum = Cell::new(Totals::default());
    let result = runner(seed).run(&steps::steps(STEPS), |steps| {
        let mut world = World::new(checks_fence);
        for step in steps {
            world.apply(step);
        }
        sum.set(add_totals(sum.get(), world.totals));
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
        totals.once_runs,
        totals.replays,
        totals.unknown,
        totals.not_run,
        totals.takeovers,
        totals.recorded,
        totals.archive_replays,
    ];
    assert!(counts.iter().all(|count| *count > 0), "{totals:?}");
}

#[test]
fn invariants_hold_with_endpoints_that_ignore_fencing_numbers() {
    let totals = check_invariants(false);
    assert_exercised(totals);
    assert!(totals.late_dispatches > 0, "{totals:?}");
}

#[test]
fn invariants_hold_with_endpoints_that_check_fencing_numbers() {
    assert_exercised(check_invariants(true));
}
