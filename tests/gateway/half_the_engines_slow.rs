//! Some endpoints of a service become slow or fail a part of their calls.
//!
//! They still answer and so are never ejected. The estimated latency ratio and
//! error rate must move calls to the other endpoints.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicoryarch::gateway::placing::AttemptEnd;
use chicoryarch::gateway::placing::Criteria;
use chicoryarch::gateway::placing::Placement;
use chicoryarch::gateway::placing::Pool;

use super::support::at;
use super::support::endpoint;

const HOME: &str = "a";
const ENDPOINTS: usize = 6;

/// Simulates 400 calls, 20 ms apart, and counts the last 200 by endpoint.
fn simulate(ended: impl Fn(usize, usize) -> (AttemptEnd, u64)) -> HashMap<usize, usize> {
    let mut pool = Pool::default();
    pool.replace(
        (0..ENDPOINTS).map(|n| Arc::new(endpoint(&n.to_string(), 4))),
        at(0),
    );
    let mut in_flight: Vec<(u64, Placement, AttemptEnd, u64)> = Vec::new();
    let mut chosen = HashMap::new();
    for call in 0..400 {
        let now = u64::try_from(call).expect("few calls") * 20;
        let (done, left): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|(ends, ..)| *ends <= now);
        in_flight = left;
        for (ends, placement, ended, spent) in done {
            pool.record_end(&placement, ended, Duration::from_millis(spent), at(ends));
        }
        let to = pool
            .choose(&Criteria::default(), HOME, at(now))
            .expect("one");
        let index: usize = to.endpoint.id.parse().expect("a number");
        if call >= 200 {
            *chosen.entry(index).or_default() += 1;
        }
        let (ended, spent) = ended(index, call);
        in_flight.push((now + spent, to, ended, spent));
    }
    chosen
}

fn share(chosen: &HashMap<usize, usize>, endpoints: std::ops::Range<usize>) -> usize {
    endpoints
        .map(|n| chosen.get(&n).copied().unwrap_or(0))
        .sum()
}

#[test]
fn slow_endpoints_get_few_calls() {
    let chosen = simulate(|index, _| {
        let spent = if index < 3 { 320 } else { 80 };
        (AttemptEnd::Answered, spent)
    });
    assert!(share(&chosen, 0..3) < 50, "{chosen:?}");
}

#[test]
fn an_endpoint_with_a_high_error_rate_gets_few_calls() {
    let chosen = simulate(|index, call| match index == 0 && call % 5 < 2 {
        true => (AttemptEnd::Errored, 80),
        false => (AttemptEnd::Answered, 80),
    });
    assert!(share(&chosen, 0..1) < 17, "{chosen:?}");
}

#[test]
fn equal_endpoints_share_the_calls() {
    let chosen = simulate(|_, _| (AttemptEnd::Answered, 80));
    for index in 0..ENDPOINTS {
        let calls = share(&chosen, index..index + 1);
        assert!((15..60).contains(&calls), "{chosen:?}");
    }
}
