//! Randomised tests of the decision code, with a fixed seed.
//!
//! `CHICORYARCH_CASES` and `CHICORYARCH_SEED` replace the number of cases and
//! the seed.

use std::cell::Cell;
use std::env;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use super::world::CUSTOMERS;
use super::world::EVERY_HOST;
use super::world::HOSTS;
use super::world::Intent;
use super::world::KEYS;
use super::world::OPERATORS;
use super::world::Step;
use super::world::World;

const DEFAULT_CASES: u32 = 2_000;
const DEFAULT_SEED: u64 = 6;
const MAX_STEPS: usize = 200;

fn env_or<T: std::str::FromStr>(name: &str, default: T) -> T {
    env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn intent() -> impl Strategy<Value = Intent> {
    prop_oneof![
        3 => Just(Intent::Change),
        1 => Just(Intent::Remove),
        3 => (0..KEYS.len()).prop_map(Intent::Grant),
    ]
}

fn change_step() -> impl Strategy<Value = Step> {
    let (op, host, name) = (0..OPERATORS, 0..HOSTS, 0..CUSTOMERS.len());
    prop_oneof![
        9 => (op.clone(), host.clone(), name.clone(), intent())
            .prop_map(|(op, host, name, intent)| Step::Read(op, host, name, intent)),
        9 => op.clone().prop_map(|op| Step::Write(op, true, true)),
        2 => (op.clone(), any::<bool>()).prop_map(|(op, effect)| Step::Write(op, effect, false)),
        2 => any::<usize>().prop_map(Step::LateWrite),
        4 => op.clone().prop_map(Step::Settle),
        16 => (op.clone(), any::<bool>()).prop_map(|(op, again)| Step::Confirm(op, again)),
        1 => op.prop_map(Step::StopWaiting),
        4 => (0..=EVERY_HOST).prop_map(Step::RefreshView),
        2 => (host.clone(), name, 0..KEYS.len())
            .prop_map(|(host, name, key)| Step::Withdraw(host, name, key)),
        2 => host.prop_map(Step::RecordWithdrawals),
    ]
}

fn exchange_step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        4 => (any::<usize>(), any::<bool>()).prop_map(|(index, again)| Step::Deliver(index, again)),
        1 => any::<usize>().prop_map(Step::DropMessage),
        3 => (host.clone(), any::<usize>()).prop_map(|(host, index)| Step::Watch(host, index)),
        1 => host.clone().prop_map(Step::List),
        3 => (host.clone(), host.clone()).prop_map(|(to, from)| Step::Exchange(to, from)),
        1 => host.prop_map(Step::Save),
    ]
}

fn fault_step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        2 => host.clone().prop_map(Step::Freeze),
        3 => host.clone().prop_map(Step::Lapse),
        16 => host.clone().prop_map(Step::Thaw),
        3 => host.clone().prop_map(Step::Restart),
        6 => (host, 0..=EVERY_HOST).prop_map(|(host, reached)| Step::CatchUp(host, reached)),
        2 => Just(Step::SetPlatformDown(true)),
        4 => Just(Step::SetPlatformDown(false)),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![8 => change_step(), 3 => exchange_step(), 3 => fault_step()];
    vec(step, 1..MAX_STEPS)
}

#[test]
fn no_order_of_events_reverts_a_configuration() {
    let seed = env_or("CHICORYARCH_SEED", DEFAULT_SEED);
    let cases = env_or("CHICORYARCH_CASES", DEFAULT_CASES);
    let config = Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    };
    let (step_count, confirmed) = (Cell::new(0), Cell::new(0));
    let outcome = TestRunner::new(config).run(&steps(), |steps| {
        let mut world = World::new();
        step_count.set(step_count.get() + steps.len());
        for step in steps {
            world.step(step);
        }
        confirmed.set(confirmed.get() + world.confirmed);
        world.finish();
        Ok(())
    });
    let (step_count, confirmed) = (step_count.get(), confirmed.get());
    println!("seed={seed} cases={cases} steps={step_count} in_force_reports={confirmed}");
    if let Err(e) = outcome {
        panic!("CHICORYARCH_SEED={seed} CHICORYARCH_CASES={cases}\n{e}");
    }
}
