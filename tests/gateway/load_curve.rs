//! How the time of calls is learnt from the load at their endpoints.

use chicoryarch::gateway::load_curve::LoadCurve;

const FIRST_MS: f64 = 100.0;
const ASSUMED: f64 = 0.25;

fn curve(calls: impl Iterator<Item = (f64, f64)>) -> LoadCurve {
    let mut curve = LoadCurve::new(FIRST_MS, ASSUMED);
    for (load, time_ms) in calls {
        curve.add(load, time_ms);
    }
    curve
}

fn is_near(value: f64, wanted: f64) -> bool {
    (value - wanted).abs() < wanted * 0.1
}

#[test]
fn before_any_call_the_assumptions_hold() {
    let curve = curve(std::iter::empty());
    assert!(is_near(curve.time_ms(0.0), FIRST_MS));
    assert!(is_near(curve.growth_ms(), FIRST_MS * ASSUMED));
}

#[test]
fn a_line_through_the_calls_is_found() {
    let loads = (0..200).map(|n| f64::from(n % 5) * 0.2);
    let curve = curve(loads.map(|load| (load, 80.0 + 400.0 * load)));
    assert!(is_near(curve.growth_ms(), 400.0), "{curve:?}");
    assert!(is_near(curve.idle_ms(), 80.0), "{curve:?}");
    assert!(is_near(curve.time_ms(0.5), 280.0), "{curve:?}");
}

#[test]
fn calls_at_one_load_teach_no_growth() {
    let curve = curve((0..200).map(|n| (0.5, if n % 2 == 0 { 90.0 } else { 110.0 })));
    assert!(is_near(curve.growth_ms(), 25.0), "{curve:?}");
}

#[test]
fn time_that_falls_with_load_is_not_believed() {
    let loads = (0..200).map(|n| f64::from(n % 5) * 0.2);
    let curve = curve(loads.map(|load| (load, 200.0 - 100.0 * load)));
    assert!(curve.growth_ms() > 0.0);
    assert!(curve.idle_ms() > 0.0);
}

#[test]
fn what_was_learnt_gives_way_to_newer_calls() {
    let loads = || (0..600).map(|n| f64::from(n % 5) * 0.2);
    let slow = loads().map(|load| (load, 400.0 + 800.0 * load));
    let fast = loads().map(|load| (load, 50.0 + 100.0 * load));
    let curve = curve(slow.chain(fast));
    assert!(is_near(curve.idle_ms(), 50.0), "{curve:?}");
}
