//! Property tests with a fixed seed. `CHICORYARCH_CASES` sets the number of
//! cases and `CHICORYARCH_SEED` another seed.

use std::fmt::Debug;

use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseResult;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const DEFAULT_CASES: u32 = 64;
const DEFAULT_SEED: u64 = 0x0c41_c0de;

fn variable<T: std::str::FromStr>(name: &str, default: T) -> T {
    let set = std::env::var(name).ok();
    set.map_or(default, |text| text.parse().ok().expect("a number"))
}

/// Checks a property for random values of a strategy.
pub(crate) fn check<S: Strategy<Value: Debug>>(
    strategy: &S,
    property: impl Fn(&S::Value) -> TestCaseResult,
) {
    let seed = variable("CHICORYARCH_SEED", DEFAULT_SEED);
    let cases = variable("CHICORYARCH_CASES", DEFAULT_CASES);
    println!("CHICORYARCH_SEED={seed} CHICORYARCH_CASES={cases}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(strategy, |value| property(&value));
    result.expect("the property holds in every run");
}
