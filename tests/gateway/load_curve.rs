//! Estimates the duration of calls from samples of load and time.

use chicoryarch::gateway::load_curve::LoadCurve;

const INITIAL_MS: f64 = 100.0;
const ASSUMED_GROWTH: f64 = 0.25;

fn curve(calls: impl Iterator<Item = (f64, f64)>) -> LoadCurve {
    let mut curve = LoadCurve::new(INITIAL_MS, ASSUMED_GROWTH);
    for (load, time_ms) in calls {
        curve.add(load, time_ms);
    }
    curve
}

fn is_near(value: f64, expected: f64) -> bool {
    (value - expected).abs() < expected * 0.1
}

#[test]
fn the_assumed_values_hold_without_samples() {
    let curve = curve(std::iter::empty());
    assert!(is_near(curve.time_ms(0.0), INITIAL_MS));
    assert!(is_near(curve.growth_ms(), INITIAL_MS * ASSUMED_GROWTH));
}

#[test]
fn a_linear_growth_is_estimated() {
    let loads = (0..200).map(|n| f64::from(n % 5) * 0.2);
    let curve = curve(loads.map(|load| (load, 80.0 + 400.0 * load)));
    assert!(is_near(curve.growth_ms(), 400.0), "{curve:?}");
    assert!(is_near(curve.idle_ms(), 80.0), "{curve:?}");
    assert!(is_near(curve.time_ms(0.5), 280.0), "{curve:?}");
}

#[test]
fn calls_at_one_load_give_the_assumed_growth() {
    let curve = curve((0..200).map(|n| (0.5, if n % 2 == 0 { 90.0 } else { 110.0 })));
    assert!(is_near(curve.growth_ms(), 25.0), "{curve:?}");
}

#[test]
fn growth_and_idle_time_stay_positive() {
    let loads = (0..200).map(|n| f64::from(n % 5) * 0.2);
    let curve = curve(loads.map(|load| (load, 200.0 - 100.0 * load)));
    assert!(curve.growth_ms() > 0.0);
    assert!(curve.idle_ms() > 0.0);
}

#[test]
fn recent_calls_replace_older_ones() {
    let loads = || (0..600).map(|n| f64::from(n % 5) * 0.2);
    let slow = loads().map(|load| (load, 400.0 + 800.0 * load));
    let fast = loads().map(|load| (load, 50.0 + 100.0 * load));
    let curve = curve(slow.chain(fast));
    assert!(is_near(curve.idle_ms(), 50.0), "{curve:?}");
}
