//! The demand in one data centre exceeds the capacity of its engines, while the
//! engines of the other have capacity left.
//!
//! If hosts prefer local engines too much, programs miss their deadlines while
//! other engines are idle.

use super::fleet_model::Engines;
use super::fleet_model::Outcome;
use super::fleet_model::Policy;
use super::fleet_model::Traffic;
use super::fleet_model::simulate;

const SEEDS: std::ops::Range<u64> = 1..5;

/// Runs all seeds and returns the lowest share of programs in time, by data
/// centre, and the highest share of remote turns.
fn worst(engines: Engines, programs_per_s: [f64; 2], policy: Policy) -> Outcome {
    let traffic = Traffic {
        programs_per_s,
        ..Traffic::default()
    };
    let outcomes = SEEDS.map(|seed| simulate(engines, traffic, policy, seed));
    let worst_of = |a: Outcome, b: Outcome| Outcome {
        in_time: [0, 1].map(|n| a.in_time[n].min(b.in_time[n])),
        remote_share: a.remote_share.max(b.remote_share),
        prefilled_per_turn: a.prefilled_per_turn.max(b.prefilled_per_turn),
    };
    outcomes.reduce(worst_of).expect("at least one seed")
}

fn is_in_time(outcome: Outcome, min_share: f64) -> bool {
    outcome.in_time.into_iter().all(|share| share >= min_share)
}

#[test]
fn calls_leave_a_data_centre_before_it_is_overloaded() {
    let outcome = worst(Engines::default(), [30.0, 5.0], Policy::Pool);
    assert!(is_in_time(outcome, 0.95), "{outcome:?}");
}

#[test]
fn a_busy_data_centre_uses_the_capacity_of_both() {
    let outcome = worst(Engines::default(), [40.0, 6.0], Policy::Pool);
    assert!(is_in_time(outcome, 0.9), "{outcome:?}");
}

#[test]
fn calls_stay_local_while_both_have_capacity() {
    let outcome = worst(Engines::default(), [10.0, 10.0], Policy::Pool);
    assert!(is_in_time(outcome, 0.99), "{outcome:?}");
    assert!(outcome.remote_share < 0.05, "{outcome:?}");
}

#[test]
fn engines_with_few_slots_share_an_uneven_load() {
    let engines = Engines {
        slots: 6,
        ..Engines::default()
    };
    let outcome = worst(engines, [24.0, 5.0], Policy::Pool);
    assert!(is_in_time(outcome, 0.95), "{outcome:?}");
}

#[test]
fn estimated_cost_serves_more_than_simple_policies() {
    let rates = [22.0, 22.0];
    let pool = worst(Engines::default(), rates, Policy::Pool);
    for policy in [Policy::RoundRobin, Policy::LeastInFlight] {
        let other = worst(Engines::default(), rates, policy);
        let gain = |n: usize| pool.in_time[n] - other.in_time[n];
        assert!(
            gain(0) > 0.2 && gain(1) > 0.2,
            "{pool:?} {policy:?} {other:?}"
        );
    }
}
