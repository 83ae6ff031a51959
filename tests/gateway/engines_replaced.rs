//! The engines of a service are replaced one by one while sessions continue.
//!
//! A session must stay at the engine that caches its prompt, but not at an
//! engine that is draining or that restarted with an empty cache.

use std::sync::Arc;
use std::time::Duration;

use chicoryarch::gateway::call::PromptPart;
use chicoryarch::gateway::directory::Endpoint;
use chicoryarch::gateway::directory::EndpointState;
use chicoryarch::gateway::placing::AttemptEnd;
use chicoryarch::gateway::placing::Criteria;
use chicoryarch::gateway::placing::Pool;

use super::support::at;
use super::support::endpoint;

const HOME: &str = "a";
const TURN: Duration = Duration::from_millis(200);

fn parts(session: u64, tokens: u64) -> [PromptPart; 2] {
    [
        PromptPart {
            id: 1,
            tokens: 2000,
        },
        PromptPart {
            id: 100 + session,
            tokens,
        },
    ]
}

#[test]
fn a_session_stays_at_the_engine_that_caches_its_prompt() {
    let mut pool = Pool::default();
    pool.replace(
        (0..4).map(|n| Arc::new(endpoint(&format!("e{n}"), 8))),
        at(0),
    );
    let mut first = None;
    for turn in 0..6 {
        let parts = parts(7, 1000 + turn * 50);
        let criteria = Criteria {
            parts: &parts,
            ..Criteria::default()
        };
        let now = at(turn * 1000);
        let chosen = pool.choose(&criteria, HOME, now).expect("an engine");
        pool.record_end(&chosen, AttemptEnd::Answered, TURN, now);
        assert_eq!(
            *first.get_or_insert(chosen.endpoint.id.clone()),
            chosen.endpoint.id
        );
    }
}

#[test]
fn no_call_goes_to_a_draining_engine() {
    let mut pool = Pool::default();
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..endpoint("old", 8)
    };
    pool.replace(
        [Arc::new(draining), Arc::new(endpoint("new", 8))].into_iter(),
        at(0),
    );
    for turn in 0..50 {
        let parts = parts(turn, 1000);
        let criteria = Criteria {
            parts: &parts,
            ..Criteria::default()
        };
        let chosen = pool.choose(&criteria, HOME, at(turn)).expect("an engine");
        assert_eq!(&*chosen.endpoint.id, "new");
    }
}

#[test]
fn a_restarted_engine_has_an_empty_cache() {
    let mut pool = Pool::default();
    pool.replace(
        [Arc::new(endpoint("e0", 8)), Arc::new(endpoint("e1", 8))].into_iter(),
        at(0),
    );
    let parts = parts(7, 1000);
    let criteria = Criteria {
        parts: &parts,
        ..Criteria::default()
    };
    let chosen = pool.choose(&criteria, HOME, at(0)).expect("an engine");
    pool.record_end(&chosen, AttemptEnd::Answered, TURN, at(100));
    let other = if &*chosen.endpoint.id == "e0" {
        "e1"
    } else {
        "e0"
    };
    // The other engine caches the prompt as well; then the first one restarts.
    let on_other = Criteria {
        only: Some(other),
        ..criteria
    };
    let second = pool
        .choose(&on_other, HOME, at(200))
        .expect("the other engine");
    pool.record_end(&second, AttemptEnd::Answered, TURN, at(300));
    let restarted = Endpoint {
        started_ms: 2,
        ..endpoint(&chosen.endpoint.id, 8)
    };
    pool.replace(
        [Arc::new(restarted), Arc::new(endpoint(other, 8))].into_iter(),
        at(0),
    );
    let next = pool.choose(&criteria, HOME, at(400)).expect("an engine");
    assert_eq!(&*next.endpoint.id, other);
}

#[test]
fn a_cold_engine_gets_few_calls() {
    let mut pool = Pool::with_seed(1);
    let cold = Endpoint {
        cold_ms: 3_000,
        ..endpoint("cold", 8)
    };
    pool.replace(
        [Arc::new(endpoint("warm", 8)), Arc::new(cold)].into_iter(),
        at(0),
    );
    let mut to_cold = |from: u64| {
        let chosen = (0..6).map(|n| pool.choose(&Criteria::default(), HOME, at(from + n)));
        let ids = chosen.map(|placement| placement.expect("an engine").endpoint.id.clone());
        ids.filter(|id| **id == *"cold").count()
    };
    assert!(to_cold(0) <= 2);
    assert!(to_cold(4_000) >= 2);
}
