//! Load: programs continue and start in a data centre that a partition isolates
//! from the others and from the store.

use std::sync::Arc;

use chicoryarch::gateway::budget;
use chicoryarch::gateway::budget::Account;
use chicoryarch::gateway::directory::Endpoint;
use chicoryarch::gateway::held_parts::HeldParts;
use chicoryarch::gateway::held_parts::Part;
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
/// The whole extra turn, at a host without a part of the allowance.
const WHOLE: Part = Part {
    budget: BUDGET,
    allowance_holders: 0,
    extra_parts: 1,
};

fn draw(parts: &HeldParts, program: &str, wanted: u64) -> u64 {
    parts.draw(program, &WHOLE, TURN, wanted, at(0))
}

#[test]
fn a_program_gets_at_most_one_turn_in_total() {
    let grants = HeldParts::default();
    assert_eq!(draw(&grants, "p", TURN), TURN);
    assert_eq!(draw(&grants, "p", 40), 0);
    assert_eq!(draw(&grants, "q", 60), 60);
    assert_eq!(draw(&grants, "q", TURN), 75);
    assert_eq!(draw(&grants, "q", 1), 0);
}

#[test]
fn issued_tokens_are_drawn_once_after_a_partition() {
    let grants = HeldParts::default();
    draw(&grants, "p", 100);
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
    let grants = HeldParts::default();
    assert_eq!(draw(&grants, "p", TURN), TURN);
    assert_eq!(grants.unsettled().len(), 1);
    assert_eq!(draw(&grants, "p", TURN), 0);
    grants.record_spent("p");
    assert!(grants.unsettled().is_empty());
    assert_eq!(draw(&grants, "p", TURN), 0);
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
        let grants = HeldParts::default();
        let mut issued = 0;
        for _ in 0..20 {
            issued += draw(&grants, "p", rng.random_range(1..=TURN));
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

/// A process of a host. Only the first one of a founder may issue parts.
#[derive(Default)]
struct Process {
    is_founder: bool,
    parts: HeldParts,
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

    /// The part that a host may issue.
    fn part(&self, host: usize, key: u64) -> Option<Part> {
        let holders = self.founders.part_holders(key);
        let may_issue = self.processes[host].is_founder && holders.holds_extra(&self.names[host]);
        may_issue.then(|| Part {
            budget: BUDGET,
            allowance_holders: holders.remote_count(),
            extra_parts: holders.extra_parts(),
        })
    }
}

/// Whether the tokens that hosts issued without a record, beside the part of the
/// first home, fit the guarantee.
fn is_within(hosts: &Hosts, key: u64, issued: u64) -> bool {
    let remote = hosts.founders.part_holders(key).remote_count();
    let home = budget::home_allowance(BUDGET, remote);
    home + issued <= budget::allowance(BUDGET) + TURN
}

proptest! {
    // Each of several data centres that were cut off at once issued a turn, and
    // so did hosts that took another's place.
    #[test]
    fn all_hosts_together_issue_the_allowance_and_one_turn(seed in any::<u64>()) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut hosts = Hosts::new(rng.random_range(1..9), rng.random_range(1..6));
        let key = rng.random();
        let mut issued = 0;
        for step in 0..80 {
            let host = rng.random_range(0..hosts.processes.len());
            let now = at(step * 1_000);
            match rng.random_range(0..10) {
                0 => hosts.join(),
                1 => hosts.restart(host),
                2 => {
                    let parts = &hosts.processes[host].parts;
                    for draw in parts.unsettled() {
                        if rng.random_bool(0.5) {
                            // The tokens are now part of the budget.
                            issued -= draw.wanted;
                            parts.record_drawn("p", draw.wanted);
                        } else if rng.random_bool(0.3) {
                            parts.record_spent("p");
                        }
                    }
                }
                3 => if let Some(part) = hosts.part(host, key) {
                    let parts = &hosts.processes[host].parts;
                    issued += parts.take_allowance("p", &part, now);
                }
                _ => if let Some(part) = hosts.part(host, key) {
                    let wanted = rng.random_range(1..=TURN);
                    let parts = &hosts.processes[host].parts;
                    issued += parts.draw("p", &part, TURN, wanted, now);
                }
            }
            prop_assert!(is_within(&hosts, key, issued), "{issued}");
        }
    }
}

// Guards against a partition in which one data centre holds all that is issued
// without a record, and the others nothing.
#[test]
fn each_of_a_few_data_centres_holds_a_part() {
    for (data_centres, remote) in [(1, 0), (2, 1), (3, 2), (4, 3), (19, 3)] {
        let hosts = Hosts::new(2 * data_centres, data_centres);
        for key in 0..100 {
            let holders = hosts.founders.part_holders(key);
            assert_eq!(holders.remote.len(), remote);
            let all = holders.remote.iter().chain(&holders.home);
            let mut places: Vec<_> = all
                .map(|host| hosts.founders.data_centres[host].clone())
                .collect();
            places.sort_unstable();
            places.dedup();
            assert_eq!(places.len(), remote + 1);
        }
    }
}

// Guards against a list of founders by an earlier release, which does not name
// their data centres: its hosts issue the whole allowance at one of them.
#[test]
fn without_data_centres_one_founder_holds_all() {
    let stored = r#"{"hosts":["host-1","host-2","host-3"]}"#;
    let founders: Founders = serde_json::from_str(stored).expect("a list");
    for key in 0..100 {
        let holders = founders.part_holders(key);
        assert!(holders.remote.is_empty());
        assert!(holders.holds_extra(&holders.home.clone().expect("a host")));
    }
    assert_eq!(budget::home_allowance(BUDGET, 0), budget::allowance(BUDGET));
}

// Guards against parts that are too small to begin a turn with.
#[test]
fn a_part_of_an_extra_turn_begins_a_turn() {
    for turn in [1, 2, 3, 50, 100, 134, 135, 136] {
        for extra_parts in 1..=3 {
            let part = Part {
                extra_parts,
                ..WHOLE
            };
            let tokens = HeldParts::default().draw("p", &part, turn, turn, at(0));
            assert_eq!(tokens, turn / extra_parts);
            let mut account = Account::default();
            account.add(tokens);
            let begins = account.reserve_remaining(turn).is_some();
            assert_eq!(begins, tokens > 0, "{turn} in {extra_parts}");
        }
    }
}

// Guards against a part of the allowance that is given to the program's home and
// issued here, too.
#[test]
fn a_part_of_the_allowance_is_issued_once() {
    let part = Part {
        allowance_holders: 2,
        extra_parts: 2,
        ..WHOLE
    };
    let allowance = budget::remote_allowance(BUDGET, 2);
    let parts = HeldParts::default();
    assert_eq!(parts.draw("p", &part, TURN, 40, at(0)), 40);
    assert_eq!(parts.take_allowance("p", &part, at(0)), allowance - 40);
    assert_eq!(parts.take_allowance("p", &part, at(0)), 0);
    assert_eq!(parts.draw("p", &part, TURN, TURN, at(0)), TURN / 2);
    assert!(parts.unsettled().iter().all(|draw| draw.wanted == TURN / 2));
}
