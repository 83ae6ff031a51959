//! Load: programs continue and start in a data centre that a partition isolates
//! from the others and from the store.

use std::sync::Arc;

use chicoryarch::gateway::budget::Account;
use chicoryarch::gateway::directory::Endpoint;
use chicoryarch::gateway::isolation::ExtraTurns;
use chicoryarch::gateway::isolation::SpentPrograms;
use chicoryarch::gateway::placing::Criteria;
use chicoryarch::gateway::placing::Pool;
use chicoryarch::gateway::roster::Founders;
use chicoryarch::ids::HostId;
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
    let grants = ExtraTurns::default();
    assert_eq!(grants.draw("p", BUDGET, TURN, TURN, 1), TURN);
    assert_eq!(grants.draw("p", BUDGET, TURN, 40, 1), 0);
    assert_eq!(grants.draw("q", BUDGET, TURN, 60, 1), 60);
    assert_eq!(grants.draw("q", BUDGET, TURN, TURN, 1), 75);
    assert_eq!(grants.draw("q", BUDGET, TURN, 1, 1), 0);
}

#[test]
fn issued_tokens_are_drawn_once_after_a_partition() {
    let grants = ExtraTurns::default();
    grants.draw("p", BUDGET, TURN, 100, 1);
    let drawn = grants.unsettled();
    assert_eq!(drawn.len(), 1);
    assert_eq!((drawn[0].wanted, drawn[0].budget), (100, BUDGET));
    grants.record_drawn("p", 100);
    assert!(grants.unsettled().is_empty());
}

// An issued turn was forgotten when the attempt to draw it from the budget
// began, and issued again in the next partition.
#[test]
fn a_turn_that_the_budget_does_not_cover_is_not_issued_again() {
    let grants = ExtraTurns::default();
    assert_eq!(grants.draw("p", BUDGET, TURN, TURN, 1), TURN);
    assert_eq!(grants.unsettled().len(), 1);
    assert_eq!(grants.draw("p", BUDGET, TURN, TURN, 1), 0);
    grants.record_spent("p");
    assert!(grants.unsettled().is_empty());
    assert_eq!(grants.draw("p", BUDGET, TURN, TURN, 1), 0);
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
        let grants = ExtraTurns::default();
        let mut issued = 0;
        for _ in 0..20 {
            issued += grants.draw("p", BUDGET, TURN, rng.random_range(1..=TURN), 1);
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

/// A process of a host. Only the first one of a founder may issue extra turns.
#[derive(Default)]
struct Process {
    is_founder: bool,
    turns: ExtraTurns,
}

/// Hosts of several data centres, any of which may be cut off from all others.
struct Hosts {
    founders: Founders,
    processes: Vec<Process>,
    names: Vec<HostId>,
}

impl Hosts {
    fn new(founders: usize, data_centres: usize) -> Self {
        let names: Vec<HostId> = (0..founders).map(Self::name).collect();
        let data_centre = |n: usize| format!("zone-{}", n % data_centres);
        let data_centres = names.iter().enumerate().map(|(n, host)| {
            let data_centre = data_centre(n).parse().expect("a name");
            (host.clone(), data_centre)
        });
        Self {
            founders: Founders {
                hosts: names.clone(),
                data_centres: data_centres.collect(),
            },
            processes: names
                .iter()
                .map(|_| Process {
                    is_founder: true,
                    ..Process::default()
                })
                .collect(),
            names,
        }
    }

    fn name(n: usize) -> HostId {
        format!("host-{n}").parse().expect("a name")
    }

    fn join(&mut self) {
        self.names.push(Self::name(self.names.len()));
        self.processes.push(Process::default());
    }

    fn restart(&mut self, host: usize) {
        self.processes[host] = Process::default();
    }

    /// What the host issues of the program's extra turn when asked.
    fn draw(&self, host: usize, key: u64, wanted: u64) -> u64 {
        let Process { is_founder, turns } = &self.processes[host];
        let holders = self.founders.extra_turn_hosts(key);
        let parts = u64::try_from(holders.len()).expect("few");
        match *is_founder && holders.contains(&&self.names[host]) {
            true => turns.draw("p", BUDGET, TURN, wanted, parts),
            false => 0,
        }
    }
}

proptest! {
    // Each of several data centres that were cut off at once issued a turn, and
    // so did hosts that took another's place.
    #[test]
    fn all_hosts_together_issue_at_most_one_turn(seed in any::<u64>()) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut hosts = Hosts::new(rng.random_range(1..9), rng.random_range(1..6));
        let key = rng.random();
        let mut issued = 0;
        for _ in 0..60 {
            let host = rng.random_range(0..hosts.processes.len());
            match rng.random_range(0..10) {
                0 => hosts.join(),
                1 => hosts.restart(host),
                2 => {
                    let turns = &hosts.processes[host].turns;
                    for draw in turns.unsettled() {
                        if rng.random_bool(0.5) {
                            // The tokens are now part of the budget.
                            issued -= draw.wanted;
                            turns.record_drawn("p", draw.wanted);
                        } else if rng.random_bool(0.3) {
                            turns.record_spent("p");
                        }
                    }
                }
                _ => issued += hosts.draw(host, key, rng.random_range(1..=TURN)),
            }
            prop_assert!(issued <= TURN);
        }
    }
}

// Guards against a partition in which one data centre holds both the allowance
// and the extra turn, and the others nothing.
#[test]
fn the_extra_turn_is_divided_among_data_centres_without_the_allowance() {
    for (data_centres, parts) in [(1, 1), (2, 1), (3, 2), (4, 3), (19, 3)] {
        let hosts = Hosts::new(2 * data_centres, data_centres);
        let place = |host: &HostId| hosts.founders.data_centres[host].clone();
        for key in 0..100 {
            let holders = hosts.founders.extra_turn_hosts(key);
            let mut places: Vec<_> = holders.iter().map(|host| place(host)).collect();
            assert_eq!(places.len(), parts);
            places.sort_unstable();
            places.dedup();
            assert_eq!(places.len(), parts);
            let allowance = hosts.founders.allowance_host(key).expect("a host");
            assert_eq!(places.contains(&place(allowance)), data_centres == 1);
        }
    }
}

// Guards against a list of founders by an earlier release, which does not name
// their data centres.
#[test]
fn without_data_centres_one_founder_holds_the_extra_turn() {
    let stored = r#"{"hosts":["host-1","host-2","host-3"]}"#;
    let founders: Founders = serde_json::from_str(stored).expect("a list");
    for key in 0..100 {
        assert_eq!(founders.extra_turn_hosts(key).len(), 1);
    }
}

// Guards against parts that are too small to begin a turn with.
#[test]
fn a_part_of_an_extra_turn_begins_a_turn() {
    for turn in [1, 2, 3, 50, 100, 134, 135, 136] {
        for parts in 1..=3 {
            let grants = ExtraTurns::default();
            let tokens = grants.draw("p", BUDGET, turn, turn, parts);
            assert_eq!(tokens, turn / parts);
            let mut account = Account::default();
            account.add(tokens);
            let begins = account.reserve_remaining(turn).is_some();
            assert_eq!(begins, tokens > 0, "{turn} in {parts}");
        }
    }
}
