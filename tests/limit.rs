//! Properties of the rate limiter over all hosts together, checked in a
//! simulated fleet.

use std::cell::Cell;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use chicoryarch::configs::limit::LimitConfig;

#[path = "limit/fleet.rs"]
mod fleet;

use fleet::Fault;
use fleet::Fleet;
use fleet::MS;
use fleet::Net;
use fleet::Outcome;
use fleet::Plan;
use fleet::Report;
use fleet::SECOND;
use fleet::poisson;

const DEFAULT_CASES: u32 = 16;
const DEFAULT_SEED: u64 = 0x0c41_c042;

fn env_or<T: std::str::FromStr>(name: &str, default: T) -> T {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| text.parse().ok().expect("a number"))
}

fn runner() -> TestRunner {
    let seed = env_or("CHICORYARCH_SEED", DEFAULT_SEED);
    let cases = env_or("CHICORYARCH_CASES", DEFAULT_CASES);
    println!("CHICORYARCH_SEED={seed} CHICORYARCH_CASES={cases}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 64,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

/// A fault and the event that ends it, each with its time.
fn fault_pair(hosts: usize, centres: usize) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let kind = prop_oneof![
        3 => (0..hosts).prop_map(|i| (Fault::Kill(i), Fault::Restart(i))),
        4 => (0..hosts).prop_map(|i| (Fault::Freeze(i), Fault::Resume(i))),
        2 => (0..centres).prop_map(|i| (Fault::Cut(i), Fault::Heal(i))),
        1 => (1.0..300.0, 2.0..200.0, 0.0..1.0).prop_map(|(rate, burst, first_share)| {
            let change = Fault::Change { rate, burst, first_share };
            (change, Fault::None)
        }),
    ];
    let time = (0..20 * SECOND, 100 * MS..6 * SECOND);
    (time, kind).prop_map(|((at, span), (start, end))| vec![(at, start), (at + span, end)])
}

fn config_strategy() -> impl Strategy<Value = LimitConfig> {
    let times = (20..1_000_u64, 200..2_000_u64, 0.0..1.0_f64);
    (times, 0.0..1.0_f64).prop_map(|((timeout, ttl, idle), floor_share)| LimitConfig {
        borrow_timeout: Duration::from_millis(timeout),
        token_ttl: Duration::from_millis(ttl),
        idle_return: Duration::from_millis(100 + ((ttl - 100) as f64 * idle) as u64),
        floor_share,
        clock_drift_ppm: 10_000,
        ..LimitConfig::default()
    })
}

fn plan_strategy(net: Net) -> impl Strategy<Value = Plan> {
    let shape = (2..5_usize, 2..4_usize);
    shape.prop_flat_map(move |(centres, hosts)| {
        let all = centres * hosts;
        let faults = prop::collection::vec(fault_pair(all, centres), 0..12);
        let weights = prop::collection::vec(0.0..4.0_f64, all);
        let limits = (2.0..200.0_f64, 2.0..200.0_f64, 0.2..3.0_f64);
        (any::<u64>(), config_strategy(), limits, weights, faults).prop_map(
            move |(seed, cfg, (rate, burst, load), mut weights, faults)| {
                weights[0] += 0.1;
                let end = 22 * SECOND;
                Plan {
                    seed,
                    data_centres: centres,
                    hosts,
                    rate,
                    burst,
                    cfg,
                    net,
                    drift_ppm: 10_000,
                    calls: poisson(seed, rate * load, 0, end, &weights),
                    faults: faults.into_iter().flatten().collect(),
                    end,
                }
            },
        )
    })
}

fn check_invariants(net: Net) {
    let steps = Cell::new(0);
    let result = runner().run(&plan_strategy(net), |plan| {
        steps.set(steps.get() + Fleet::run(plan).steps);
        Ok(())
    });
    println!("{} steps", steps.get());
    if let Err(TestError::Fail(reason, plan)) = result {
        let calls = Vec::new();
        panic!("{reason}: {:?}", Plan { calls, ..plan });
    }
}

fn plan(seed: u64, rate: f64, burst: f64, load: f64, weights: &[f64]) -> Plan {
    let end = 20 * SECOND;
    Plan {
        seed,
        data_centres: 3,
        hosts: weights.len() / 3,
        rate,
        burst,
        cfg: LimitConfig::default(),
        net: Net::GOOD,
        drift_ppm: 100,
        calls: poisson(seed, rate * load, 0, end, weights),
        faults: Vec::new(),
        end,
    }
}

fn count_outcomes(report: &Report, from: u64, to: u64, is: impl Fn(&Outcome) -> bool) -> usize {
    let within = report
        .outcomes
        .iter()
        .filter(|(at, ..)| (from..to).contains(at));
    within
        .filter(|(_, _, outcome)| outcome.as_ref().is_some_and(&is))
        .count()
}

fn is_admitted(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Admitted { .. })
}

fn is_refused(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused { .. })
}

#[test]
fn rate_and_burst_hold_over_all_hosts_under_failures() {
    check_invariants(Net::GOOD);
}

#[test]
fn rate_and_burst_hold_when_messages_are_lost_repeated_and_late() {
    check_invariants(Net::BAD);
}

#[test]
fn steady_skewed_calls_within_the_rate_are_not_refused() {
    let plan = plan(7, 200.0, 100.0, 0.7, &[8.0, 1.0, 0.0, 1.0, 0.0, 0.0]);
    let report = Fleet::run(plan);
    assert_eq!(
        count_outcomes(&report, 5 * SECOND, 20 * SECOND, is_refused),
        0
    );
}

#[test]
fn an_isolated_data_centre_admits_calls_at_its_floor_rate() {
    let mut plan = plan(11, 120.0, 120.0, 1.0, &[1.0; 6]);
    plan.faults = vec![(5 * SECOND, Fault::Cut(0))];
    let report = Fleet::run(plan);
    let is_admitted_here = |(at, host, outcome): &&(u64, usize, Option<Outcome>)| {
        *at > 10 * SECOND && *host < 2 && outcome.as_ref().is_some_and(is_admitted)
    };
    let count = report.outcomes.iter().filter(is_admitted_here).count();
    // The data centre has a third of the rate, a floor share of 0.3 and two of
    // four slots in use, over ten seconds.
    let floor = 120.0 / 3.0 * 0.3 * 2.0 / 4.0 * 10.0;
    assert!(count as f64 >= floor * 0.9, "{count} of {floor}");
}

#[test]
fn a_new_owner_starts_empty_and_refills_after_the_former_lease_lapsed() {
    let mut plan = plan(19, 120.0, 60.0, 0.5, &[1.0, 1.0, 0.0, 0.0, 0.0, 0.0]);
    plan.cfg.floor_share = 0.0;
    let owner = Fleet::owner(plan.clone(), 0);
    plan.faults = vec![
        (5 * SECOND, Fault::Kill(owner)),
        (5 * SECOND, Fault::Cut(0)),
        (6 * SECOND, Fault::Heal(0)),
    ];
    let report = Fleet::run(plan);
    assert!(count_outcomes(&report, 5 * SECOND, 6 * SECOND, is_refused) > 0);
    assert_eq!(
        count_outcomes(&report, 12 * SECOND, 20 * SECOND, is_refused),
        0
    );
}

#[test]
fn a_customer_at_five_times_its_rate_gets_its_rate() {
    let report = Fleet::run(plan(13, 100.0, 50.0, 5.0, &[3.0, 1.0, 1.0, 1.0, 0.0, 0.0]));
    let count = count_outcomes(&report, 5 * SECOND, 20 * SECOND, is_admitted);
    assert!(count >= 1_350, "{count} of 1500");
}

/// Retries the last refused call shortly after its `retry_after`.
fn retry_refused(seed: u64) -> (Option<Outcome>, Duration) {
    let mut plan = plan(seed, 20.0, 10.0, 3.0, &[1.0, 0.0, 1.0, 0.0, 1.0, 0.0]);
    plan.calls.retain(|(at, _)| *at < 10 * SECOND);
    let first = Fleet::run(plan.clone());
    let refusal = |(at, host, outcome): &(u64, usize, Option<Outcome>)| match outcome {
        Some(Outcome::Refused { retry_after }) => Some((*at, *host, *retry_after)),
        _ => None,
    };
    let refusal = first.outcomes.iter().rev().find_map(refusal);
    let (at, host, retry_after) = refusal.expect("a refusal");
    plan.calls.retain(|(call, _)| *call <= at);
    let retry_at = at + retry_after.as_nanos() as u64 + 5 * MS;
    plan.calls.push((retry_at, host));
    plan.end = retry_at + SECOND;
    let second = Fleet::run(plan);
    let last = second.outcomes.last().and_then(|(_, _, outcome)| *outcome);
    (last, retry_after)
}

#[test]
fn a_refused_call_is_admitted_when_retried_after_retry_after() {
    for seed in 0..20 {
        let (last, retry_after) = retry_refused(seed);
        assert!(
            last.as_ref().is_some_and(is_admitted),
            "seed {seed}: {last:?} after {retry_after:?}"
        );
    }
}

#[test]
fn an_out_of_range_setting_is_reported_by_name() {
    assert_eq!(LimitConfig::default().check(), Ok(()));
    let cfg = LimitConfig {
        idle_return: Duration::from_secs(90),
        ..LimitConfig::default()
    };
    let error = cfg.check().expect_err("out of range");
    assert_eq!(error.field, "idle_return_ms");
}
