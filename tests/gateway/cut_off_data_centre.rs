//! Load: programs continue and start in a data centre that a partition isolates
//! from the others and from the store.

use std::sync::Arc;

use chicoryarch::gateway::budget::Account;
use chicoryarch::gateway::directory::Endpoint;
use chicoryarch::gateway::isolation::IsolatedGrants;
use chicoryarch::gateway::isolation::SpentPrograms;
use chicoryarch::gateway::placing::Criteria;
use chicoryarch::gateway::placing::Pool;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::support::at;
use super::support::endpoint;

const TURN: u64 = 135;
const BUDGET: u64 = 700;

#[test]
fn a_program_gets_at_most_one_turn_in_total() {
    let grants = IsolatedGrants::default();
    assert_eq!(grants.draw("p", BUDGET, TURN, TURN), TURN);
    assert_eq!(grants.draw("p", BUDGET, TURN, 40), 0);
    assert_eq!(grants.draw("q", BUDGET, TURN, 60), 60);
    assert_eq!(grants.draw("q", BUDGET, TURN, TURN), 75);
    assert_eq!(grants.draw("q", BUDGET, TURN, 1), 0);
}

#[test]
fn issued_tokens_are_drawn_once_after_a_partition() {
    let grants = IsolatedGrants::default();
    grants.draw("p", BUDGET, TURN, 100);
    let drawn = grants.take_all();
    assert_eq!(drawn.len(), 1);
    assert_eq!((drawn[0].wanted, drawn[0].budget), (100, BUDGET));
    assert!(grants.take_all().is_empty());
}

#[test]
fn a_spent_budget_is_remembered_and_reported_for_a_while() {
    let spent = SpentPrograms::default();
    spent.add("p", at(0));
    let other = SpentPrograms::default();
    other.merge(&spent.recent(at(1_000)), at(1_000));
    assert!(other.contains("p"));
    assert!(spent.recent(at(60_000)).is_empty());
    assert!(spent.contains("p"));
}

#[test]
fn a_started_program_continues_with_retained_tokens() {
    let mut account = Account::default();
    account.add(TURN);
    assert!(account.reserve(TURN));
    account.settle(TURN, 34);
    assert!(!account.reserve(TURN));
    assert_eq!(account.reserve_remaining(TURN), Some(101));
    account.settle(101, 90);
    assert_eq!(account.reserve_remaining(TURN), None);
}

proptest! {
    #[test]
    fn random_draws_issue_at_most_one_turn(seed in any::<u64>()) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let grants = IsolatedGrants::default();
        let mut issued = 0;
        for _ in 0..20 {
            issued += grants.draw("p", BUDGET, TURN, rng.random_range(1..=TURN));
            prop_assert!(issued <= TURN);
        }
    }
}

#[test]
fn calls_of_an_isolated_host_stay_in_its_data_centre() {
    let mut pool = Pool::with_seed(1);
    let far = (0..4).map(|n| Endpoint {
        data_centre: "b".into(),
        ..endpoint(&format!("far-{n}"), 64)
    });
    let near = endpoint("near", 1);
    pool.replace(far.chain([near]).map(Arc::new), at(0));
    let isolated = Criteria {
        is_isolated: true,
        ..Criteria::default()
    };
    for call in 0..20 {
        let placed = pool
            .choose(&isolated, "a", at(call))
            .expect("a near endpoint");
        assert_eq!(&*placed.endpoint.id, "near");
    }
    let placed = pool
        .choose(&Criteria::default(), "a", at(100))
        .expect("one");
    assert_ne!(&*placed.endpoint.id, "near");
}
