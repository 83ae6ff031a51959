//! Guards against overspending: the allowance and all grants together must not
//! exceed a program's budget. This could happen if a process issued an
//! allowance again or if a grant ignored the stored record.

use std::collections::HashMap;

use chicoryarch::gateway::budget;
use chicoryarch::gateway::budget::Account;
use chicoryarch::gateway::budget::Balance;
use chicoryarch::gateway::budget::GrantRequest;
use chicoryarch::gateway::budget::GrantSize;
use chicoryarch::gateway::budget::Record;
use chicoryarch::ids::Version;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Grant request of an empty balance for a whole turn.
fn request(budget: u64, turn: u64, size: GrantSize) -> GrantRequest {
    GrantRequest {
        budget,
        wanted: turn,
        size,
    }
}

#[test]
fn a_program_without_a_record_counts_its_allowance_as_spent() {
    let request = request(1000, 35, GrantSize::Large);
    let grant = budget::next_grant(None, &request, 7).expect("half is left");
    assert_eq!(grant.tokens, 250);
    assert_eq!(grant.record.granted, 750);
    assert_eq!(grant.record.at_ms, 7);
}

#[test]
fn a_spent_budget_gives_no_grant() {
    let record = Record {
        granted: 900,
        at_ms: 0,
    };
    let grant = |turn, size| budget::next_grant(Some(record), &request(1000, turn, size), 0);
    assert_eq!(grant(101, GrantSize::Small), None);
    assert_eq!(grant(101, GrantSize::Large), None);
    assert!(grant(100, GrantSize::Large).is_some());
}

#[test]
fn a_large_grant_takes_half_of_the_remaining_budget() {
    // The balance is lost if the home host's process is killed.
    let grant = budget::next_grant(None, &request(1000, 35, GrantSize::Large), 0);
    let record = grant.expect("half is left").record;
    assert_eq!(record.granted, 750);
    let next = budget::next_grant(Some(record), &request(1000, 35, GrantSize::Small), 0);
    assert_eq!(next.map(|grant| grant.tokens), Some(62));
}

#[test]
fn an_account_keeps_unspent_tokens_while_a_turn_is_reserved() {
    let mut account = Account::default();
    account.add(200);
    assert!(account.reserve(100));
    assert!(account.reserve(100));
    account.settle(100, 30);
    assert_eq!(account.take_unspent(), 0);
    account.settle(100, 20);
    assert_eq!(account.take_unspent(), 150);
    assert_eq!(account.shortfall(135), 135);
}

/// Hosts that serve one program. Balances and accounts are lost with their
/// process; the record in the store is kept.
struct World {
    rng: ChaCha8Rng,
    budget: u64,
    turn: u64,
    record: Option<(Version, Record)>,
    /// Balance of each process.
    balances: HashMap<usize, Balance>,
    /// Process that may issue the allowance; `None` once it was killed.
    founder: Option<usize>,
    accounts: HashMap<usize, Account>,
    sent: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let turn = rng.random_range(1..200);
        Self {
            budget: rng.random_range(turn..20 * turn),
            turn,
            rng,
            record: None,
            balances: HashMap::new(),
            founder: Some(0),
            accounts: HashMap::new(),
            sent: 0,
        }
    }

    /// Runs a turn at one host, which draws from a home host that may be any
    /// host.
    fn turn(&mut self, host: usize, home: usize, is_store_reachable: bool) {
        let account = self.accounts.entry(host).or_default();
        if !account.reserve(self.turn) {
            let wanted = account.shortfall(self.turn);
            if !self.draw(home, wanted, is_store_reachable) {
                return;
            }
            if self.rng.random_bool(0.05) {
                // The reply to the draw is lost, and its tokens with it.
                return;
            }
            let account = self.accounts.entry(host).or_default();
            account.add(wanted);
            assert!(account.reserve(self.turn));
        }
        let sent = self.rng.random_range(0..=self.turn);
        self.sent += sent;
        let account = self.accounts.entry(host).or_default();
        account.settle(self.turn, sent);
        let unspent = account.take_unspent();
        let arrives = self.rng.random_bool(0.9);
        if let Some(balance) = self.balances.get_mut(&home).filter(|_| arrives) {
            balance.deposit(unspent);
        }
    }

    fn draw(&mut self, home: usize, wanted: u64, is_store_reachable: bool) -> bool {
        let allowance = self.allowance(home);
        let budget = self.budget;
        let balance = self
            .balances
            .entry(home)
            .or_insert_with(|| Balance::open(budget, allowance));
        let Err(missing) = balance.draw(wanted) else {
            return true;
        };
        let last_seen = balance.last_record();
        let stored = self.record;
        let record = stored.or(last_seen).map(|(_, record)| record);
        let size = match self.rng.random_bool(0.5) {
            true => GrantSize::Large,
            false => GrantSize::Small,
        };
        let request = GrantRequest {
            budget,
            wanted: missing,
            size,
        };
        let Some(grant) = budget::next_grant(record, &request, 0) else {
            return false;
        };
        if !is_store_reachable {
            return false;
        }
        let version = Version(stored.map_or(1, |(version, _)| version.0 + 1));
        self.record = Some((version, grant.record));
        balance.set_last_record(version, grant.record);
        balance.deposit(grant.tokens);
        balance.draw(wanted).is_ok()
    }

    /// Tokens that a host may issue without a record.
    fn allowance(&self, host: usize) -> u64 {
        match self.founder == Some(host) {
            true => budget::allowance(self.budget),
            false => 0,
        }
    }

    /// Hands the program's balance over from one host to another.
    fn hand_over(&mut self, from: usize, to: usize) {
        let Some(tokens) = self.balances.get_mut(&from).map(Balance::take_all) else {
            return;
        };
        if self.rng.random_bool(0.9) {
            let allowance = self.allowance(to);
            let budget = self.budget;
            let balance = self.balances.entry(to);
            balance
                .or_insert_with(|| Balance::open(budget, allowance))
                .deposit(tokens);
        }
    }

    fn kill(&mut self, host: usize) {
        self.balances.remove(&host);
        self.accounts.remove(&host);
        if self.founder == Some(host) {
            self.founder = None;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn crashes_and_outages_never_let_a_program_exceed_its_budget(seed in any::<u64>()) {
        let mut world = World::new(seed);
        for _ in 0..300 {
            let host = world.rng.random_range(0..5);
            // Hosts that cannot reach the home host act as home themselves.
            let home = if world.rng.random_bool(0.7) { 0 } else { host };
            let is_store_reachable = world.rng.random_bool(0.8);
            world.turn(host, home, is_store_reachable);
            if world.rng.random_bool(0.03) {
                world.kill(host);
            }
            if world.rng.random_bool(0.05) {
                let to = world.rng.random_range(0..5);
                world.hand_over(host, to);
            }
            prop_assert!(world.sent <= world.budget, "{} of {}", world.sent, world.budget);
        }
    }
}
