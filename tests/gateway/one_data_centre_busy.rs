//! Load: callers of one data centre ask for more than its engines can do,
//! while the engines of the other have room.

use super::fleet_model::Engines;
use super::fleet_model::Outcome;
use super::fleet_model::Policy;
use super::fleet_model::Traffic;
use super::fleet_model::play;

const SEEDS: std::ops::Range<u64> = 1..5;

/// Worst share of programs in time, by data centre, and the largest part of
/// turns that crossed.
fn worst(engines: Engines, programs_per_s: [f64; 2], policy: Policy) -> Outcome {
    let traffic = Traffic {
        programs_per_s,
        ..Traffic::default()
    };
    let outcomes = SEEDS.map(|seed| play(engines, traffic, policy, seed));
    let worse = |a: Outcome, b: Outcome| Outcome {
        in_time: [0, 1].map(|n| a.in_time[n].min(b.in_time[n])),
        crossed: a.crossed.max(b.crossed),
    };
    outcomes.reduce(worse).expect("seeds are played")
}

fn is_served(outcome: Outcome, least: f64) -> bool {
    outcome.in_time.into_iter().all(|share| share >= least)
}

#[test]
fn calls_cross_before_the_engines_at_home_are_overloaded() {
    let outcome = worst(Engines::default(), [30.0, 5.0], Policy::Pool);
    assert!(is_served(outcome, 0.95), "{outcome:?}");
}

#[test]
fn the_busy_data_centre_is_served_up_to_what_both_can_do() {
    let outcome = worst(Engines::default(), [40.0, 6.0], Policy::Pool);
    assert!(is_served(outcome, 0.9), "{outcome:?}");
}

#[test]
fn calls_stay_at_home_while_both_have_room() {
    let outcome = worst(Engines::default(), [10.0, 10.0], Policy::Pool);
    assert!(is_served(outcome, 0.99), "{outcome:?}");
    assert!(outcome.crossed < 0.05, "{outcome:?}");
}

#[test]
fn engines_with_few_slots_share_an_uneven_load() {
    let engines = Engines {
        slots: 6,
        ..Engines::default()
    };
    let outcome = worst(engines, [24.0, 5.0], Policy::Pool);
    assert!(is_served(outcome, 0.95), "{outcome:?}");
}

#[test]
fn learnt_load_serves_more_than_counting_requests() {
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
