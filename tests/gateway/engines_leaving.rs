//! Engines that announce their shutdown in their answers before the list of
//! endpoints shows it, if it ever does.
//!
//! Calls must not reach such an engine any more, and sessions there must move
//! to another engine while there is time to prefill their prompts again.

use std::sync::Arc;
use std::time::Duration;

use chicoryarch::gateway::call::PromptPart;
use chicoryarch::gateway::departures::Departures;
use chicoryarch::gateway::directory::Endpoint;
use chicoryarch::gateway::directory::EndpointState;
use chicoryarch::gateway::placing::AttemptEnd;
use chicoryarch::gateway::placing::Criteria;
use chicoryarch::gateway::placing::Pool;

use super::support::at;
use super::support::endpoint;

const HOME: &str = "a";

fn pool_of(endpoints: impl IntoIterator<Item = Endpoint>) -> Pool {
    let mut pool = Pool::with_seed(1);
    list(&mut pool, endpoints);
    pool
}

fn list(pool: &mut Pool, endpoints: impl IntoIterator<Item = Endpoint>) {
    pool.replace(endpoints.into_iter().map(Arc::new), at(0));
}

fn choose(pool: &mut Pool, criteria: &Criteria<'_>, ms: u64) -> Option<Box<str>> {
    let chosen = pool.choose(criteria, HOME, at(ms))?;
    let turn = Duration::from_millis(50);
    pool.record_end(&chosen, AttemptEnd::Answered, turn, at(ms + 50));
    Some(chosen.endpoint.id.clone())
}

#[test]
fn no_call_goes_to_an_engine_after_its_notice() {
    let mut pool = pool_of([endpoint("leaving", 8), endpoint("staying", 8)]);
    assert!(pool.record_departure(&endpoint("leaving", 8), at(100)));
    for n in 0..50 {
        let chosen = choose(&mut pool, &Criteria::default(), 100 + n);
        assert_eq!(chosen.as_deref(), Some("staying"));
    }
}

#[test]
fn a_notice_outlives_the_entry_in_the_list() {
    let mut pool = pool_of([endpoint("leaving", 8), endpoint("staying", 8)]);
    pool.record_departure(&endpoint("leaving", 8), at(100));
    list(&mut pool, [endpoint("staying", 8)]);
    // A stale list of another host, or the list of a store that was restored.
    list(&mut pool, [endpoint("leaving", 8), endpoint("staying", 8)]);
    for n in 0..50 {
        let chosen = choose(&mut pool, &Criteria::default(), 60_000 + n);
        assert_eq!(chosen.as_deref(), Some("staying"));
    }
}

#[test]
fn an_entry_without_a_later_start_does_not_end_a_notice() {
    for started_ms in [0, 4, 5] {
        let mut departures = Departures::default();
        let leaving = Endpoint {
            started_ms: 5,
            ..endpoint("e", 8)
        };
        assert!(departures.record(&leaving, at(100)));
        let listed = Endpoint {
            started_ms,
            state: EndpointState::Ready,
            ..leaving
        };
        assert!(departures.has_left(&listed), "{started_ms}");
        assert!(!departures.record(&listed, at(200)), "{started_ms}");
    }
}

#[test]
fn a_notice_of_an_engine_with_unknown_start_stays() {
    let mut departures = Departures::default();
    let unknown = Endpoint {
        started_ms: 0,
        ..endpoint("e", 8)
    };
    departures.record(&unknown, at(100));
    assert!(departures.has_left(&endpoint("e", 8)));
}

#[test]
fn a_restarted_engine_with_the_same_id_takes_calls() {
    let mut pool = pool_of([endpoint("e", 8)]);
    pool.record_departure(&endpoint("e", 8), at(100));
    assert_eq!(choose(&mut pool, &Criteria::default(), 200), None);
    let restarted = Endpoint {
        started_ms: 2,
        ..endpoint("e", 8)
    };
    list(&mut pool, [restarted.clone()]);
    assert!(choose(&mut pool, &Criteria::default(), 300).is_some());
    // The new process may leave as well.
    assert!(pool.record_departure(&restarted, at(400)));
    assert_eq!(choose(&mut pool, &Criteria::default(), 500), None);
}

#[test]
fn a_session_moves_when_its_engine_gives_notice() {
    let mut pool = pool_of([endpoint("a", 8), endpoint("b", 8), endpoint("c", 8)]);
    let parts = [PromptPart {
        id: 7,
        tokens: 3_000,
    }];
    let criteria = Criteria {
        parts: &parts,
        ..Criteria::default()
    };
    let first = choose(&mut pool, &criteria, 0).expect("an engine");
    assert_eq!(choose(&mut pool, &criteria, 100), Some(first.clone()));
    pool.record_departure(&endpoint(&first, 8), at(200));
    let second = choose(&mut pool, &criteria, 300).expect("another engine");
    assert_ne!(second, first);
    // The prompt is cached at the second engine now.
    assert_eq!(choose(&mut pool, &criteria, 400), Some(second));
}

#[test]
fn only_a_call_received_before_the_notice_may_go_back_to_its_engine() {
    let mut pool = pool_of([endpoint("e", 8), endpoint("other", 8)]);
    pool.record_departure(&endpoint("e", 8), at(1_000));
    let resumed = |received| Criteria {
        only: Some("e"),
        received,
        ..Criteria::default()
    };
    let before = choose(&mut pool, &resumed(at(900)), 1_500);
    assert_eq!(before.as_deref(), Some("e"));
    assert_eq!(choose(&mut pool, &resumed(at(1_100)), 1_500), None);
}

#[test]
fn old_notices_are_dropped_before_recent_ones() {
    let mut departures = Departures::default();
    for n in 0..5_000 {
        departures.record(&endpoint(&n.to_string(), 8), at(n));
    }
    assert!(!departures.has_left(&endpoint("0", 8)));
    assert!(departures.has_left(&endpoint("4999", 8)));
}
