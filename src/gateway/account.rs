//! Reservations of programs' budgets, with grants from the platform's store.

use std::collections::HashMap;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::budget;
use super::budget::Account;
use super::budget::Record;
use super::context::Cx;
use super::context::Gateway;
use super::refusal::Outcome;
use super::refusal::Refusal;
use super::refusal::Result;
use crate::connection::platform;
use crate::connection::platform::Expect;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Written;
use crate::process::events::unix_ms;
use crate::units::Moment;

/// Shards of the programs' accounts.
const SHARDS: usize = 16;
/// Writers that may come between before a grant is given up.
const MAX_CONFLICTS: usize = 8;
/// Time after which an idle account is forgotten.
const IDLE_LIFE: Duration = Duration::from_secs(120);
/// Accounts in a shard above which idle ones are forgotten.
const SWEEP_ABOVE: usize = 512;
/// Time to come back if the store does not confirm a grant.
const STORE_RETRY: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct ProgramAccount {
    account: Account,
    /// Held while a grant is fetched, so that one fetch serves all that wait.
    fetching: Arc<async_lock::Mutex<()>>,
    used: Moment,
}

/// Accounts of programs with turns at this host.
#[derive(Debug)]
pub struct Accounts {
    shards: [Mutex<HashMap<Arc<str>, ProgramAccount>>; SHARDS],
    hasher: RandomState,
}

impl Default for Accounts {
    fn default() -> Self {
        Self {
            shards: Default::default(),
            hasher: RandomState::new(),
        }
    }
}

impl Accounts {
    fn with<T>(&self, program: &Arc<str>, act: impl FnOnce(&mut ProgramAccount) -> T) -> T {
        let now = Moment::now();
        let hash = self.hasher.hash_one(program);
        let index = usize::try_from(hash % SHARDS as u64).unwrap_or_default();
        let mut shard = self.shards[index].lock();
        if shard.len() > SWEEP_ABOVE {
            shard.retain(|_, account| now.since(account.used) < IDLE_LIFE);
        }
        let account = shard
            .entry(Arc::clone(program))
            .or_insert_with(|| ProgramAccount {
                account: Account::default(),
                fetching: Arc::default(),
                used: now,
            });
        account.used = now;
        act(account)
    }

    fn reserve(&self, program: &Arc<str>, turn: u64) -> bool {
        self.with(program, |account| account.account.reserve(turn))
    }
}

/// Tokens reserved for one turn; what was not handed to the caller goes back.
#[derive(Debug)]
pub struct Reservation<P> {
    cx: Cx<P>,
    program: Arc<str>,
    reserved: u64,
    /// Tokens handed to the caller so far.
    pub handed: u64,
}

impl<P> Drop for Reservation<P> {
    fn drop(&mut self) {
        let Self {
            reserved, handed, ..
        } = *self;
        let accounts = &self.cx.accounts;
        accounts.with(&self.program, |a| a.account.settle(reserved, handed));
    }
}

/// Reserves the most that a turn generates of its program's budget.
///
/// # Errors
///
/// [`Outcome::BudgetSpent`] if the budget does not hold the turn, or a refusal
/// with a time to come back if the store does not confirm a grant.
pub async fn reserve<P: Platform>(
    cx: &Cx<P>,
    program: &str,
    budget: u64,
    turn: u64,
) -> Result<Reservation<P>> {
    let program: Arc<str> = program.into();
    let reservation = || Reservation {
        cx: Arc::clone(cx),
        program: Arc::clone(&program),
        reserved: turn,
        handed: 0,
    };
    if cx.accounts.reserve(&program, turn) {
        return Ok(reservation());
    }
    let fetching = cx.accounts.with(&program, |a| Arc::clone(&a.fetching));
    let _only_fetch = fetching.lock().await;
    if cx.accounts.reserve(&program, turn) {
        return Ok(reservation());
    }
    let granted = fetch_grant(cx, &program, budget, turn).await?;
    cx.metrics.grants.inc();
    let reserved = cx.accounts.with(&program, |account| {
        account.account.add(granted);
        account.account.reserve(turn)
    });
    if reserved {
        Ok(reservation())
    } else {
        let detail = "other turns of the program took the grant";
        Err(Refusal::not_run(detail, STORE_RETRY))
    }
}

/// Takes a grant from the program's record.
async fn fetch_grant<P: Platform>(
    cx: &Gateway<P>,
    program: &str,
    budget: u64,
    turn: u64,
) -> Result<u64> {
    let spent = || Refusal::new(Outcome::BudgetSpent, "the program's budget is spent");
    let name = object_name(program);
    // A program's first grant finds no record, which saves the read.
    let mut known: Option<(crate::ids::Version, Record)> = None;
    for _ in 0..MAX_CONFLICTS {
        let record = known.map(|(_, record)| record);
        let grant = budget::next_grant(record, budget, turn, unix_ms()).ok_or_else(spent)?;
        let expect = known.map_or(Expect::Absent, |(version, _)| Expect::At(version));
        let written =
            platform::write_value(&cx.store, budget::KIND, &name, expect, &grant.record).await;
        match written.map_err(|e| no_store(&e))? {
            Written::Done(_) => return Ok(grant.tokens),
            Written::Conflict => (),
        }
        known = platform::read_value(&cx.store, budget::KIND, &name)
            .await
            .map_err(|e| no_store(&e))?;
    }
    Err(Refusal::not_run(
        "other hosts changed the program's budget at the same time",
        STORE_RETRY,
    ))
}

fn no_store(error: &PlatformError) -> Refusal {
    let detail = format!("the program's budget cannot be granted: {error}");
    Refusal::not_run(detail, STORE_RETRY)
}

/// Name of a program's record: its id, which may hold any character, in hex.
fn object_name(program: &str) -> String {
    hex::encode(program)
}
