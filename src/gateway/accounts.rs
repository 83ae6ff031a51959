//! Accounts and balances of programs at this host, in shards.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;

use super::budget;
use super::budget::Account;
use super::budget::Balance;
use super::context::Gateway;
use super::held_parts::Part;
use super::lines::LineLocations;
use super::roster::Founders;
use super::roster::PartHolders;
use super::roster::Peer;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::units::Moment;

const SHARDS: usize = 16;
/// Time after its last use at which an account may be evicted.
const IDLE_RETENTION: Duration = Duration::from_secs(120);
/// Number of accounts in a shard above which idle ones are evicted.
const SWEEP_THRESHOLD: usize = 512;
/// Number of evicted balances, recorded at 8 bytes each, at which this host
/// stops issuing allowances: every program then begins with a grant record.
const MAX_EVICTED: usize = 200_000;

#[derive(Debug, Default)]
pub(super) struct ProgramAccount {
    pub(super) account: Account,
    /// `Some` if this host is or was the program's home.
    pub(super) balance: Option<Balance>,
    /// Whether the program's first turn was refused and none has come since.
    pub(super) is_refused: bool,
    /// Host from whose balance the account's tokens were drawn; `None` for this
    /// host.
    pub(super) drawn_from: Option<Peer>,
    /// Whether unused tokens stay here for the program's next turn.
    pub(super) retains_unspent: bool,
    /// When the parts of the allowance at other hosts were last asked for.
    pub(super) collected_at: Option<Moment>,
    /// Whether all of their holders have answered.
    pub(super) has_collected_all: bool,
    /// Held while a grant for the balance is written to the store.
    pub(super) grant_lock: Arc<async_lock::Mutex<()>>,
    /// Held while tokens are drawn, so that one draw serves all waiting turns.
    pub(super) draw_lock: Arc<async_lock::Mutex<()>>,
    pub(super) last_used: Moment,
    /// Where the program's sessions run, as far as this host knows; complete at
    /// the program's home.
    pub(super) lines: LineLocations,
}

/// Accounts and balances of all programs at this host.
#[derive(Debug)]
pub struct Accounts {
    shards: [Mutex<HashMap<Arc<str>, ProgramAccount>>; SHARDS],
    hasher: RandomState,
    /// Hosts of the system's first start, once they are known.
    founders: OnceLock<Founders>,
    /// Whether this is the first process of one of them.
    is_founder: AtomicBool,
    /// Whether the process before has passed its parts of extra turns on.
    has_inherited: AtomicBool,
    /// Hashes of the programs whose balance was evicted here. Their allowance
    /// may be spent, so it is not issued again.
    evicted: Mutex<HashSet<u64>>,
    /// Set when the balances have been handed over at shutdown.
    pub(super) is_closed: AtomicBool,
}

impl Default for Accounts {
    fn default() -> Self {
        Self {
            shards: Default::default(),
            hasher: RandomState::new(),
            founders: OnceLock::new(),
            is_founder: AtomicBool::new(false),
            has_inherited: AtomicBool::new(false),
            evicted: Mutex::default(),
            is_closed: AtomicBool::new(false),
        }
    }
}

impl Accounts {
    /// Sets the list of founders. The process of a founder, its first one, may
    /// issue the allowances and extra turns that the list assigns to its host.
    pub fn set_founders(&self, founders: Founders, is_founder: bool) {
        // All hosts agree on one list, so a second value is the same.
        let _already_set = self.founders.set(founders);
        self.is_founder.store(is_founder, Ordering::Release);
    }

    /// Returns the founders if this is the first process of one of them.
    fn own_founders(&self) -> Option<&Founders> {
        let is_founder = self.is_founder.load(Ordering::Acquire);
        self.founders.get().filter(|_| is_founder)
    }

    /// Returns the hosts that hold parts of the tokens of the program with this
    /// key; none if they are not known.
    pub(super) fn part_holders(&self, key: u64) -> PartHolders {
        let founders = self.founders.get();
        founders.map_or_else(PartHolders::default, |founders| founders.part_holders(key))
    }

    /// Returns the host of a data centre that may issue a part of the extra turn
    /// of the program with this key.
    pub(super) fn extra_turn_host(&self, key: u64, data_centre: &DataCentre) -> Option<HostId> {
        let founders = self.founders.get()?;
        let PartHolders { home, remote } = founders.part_holders(key);
        if remote.is_empty() {
            return home;
        }
        let mut remote = remote.into_iter();
        remote.find(|host| founders.data_centres.get(host) == Some(data_centre))
    }

    /// Records that the process before has passed its parts of extra turns on.
    pub(super) fn inherit_extra_turns(&self) {
        self.has_inherited.store(true, Ordering::Release);
    }

    /// Whether this process, and no other of its host, may issue parts of extra
    /// turns.
    pub(super) fn may_issue_extra(&self) -> bool {
        self.is_founder.load(Ordering::Acquire) || self.has_inherited.load(Ordering::Acquire)
    }

    /// Returns the part of a program's tokens that this process may issue beside
    /// balances. What it inherited is a part of the extra turn alone: the process
    /// before may have issued its part of the allowance.
    pub(super) fn held_part(&self, own: &HostId, key: u64, budget: u64) -> Option<Part> {
        let holders = self.part_holders(key);
        let may_issue = self.may_issue_extra() && holders.holds_extra(own);
        let is_founder = self.is_founder.load(Ordering::Acquire);
        may_issue.then(|| Part {
            budget,
            allowance_holders: if is_founder {
                holders.remote_count()
            } else {
                0
            },
            extra_parts: holders.extra_parts(),
        })
    }

    /// Returns the hosts that hold parts of a program's tokens if this process
    /// may issue its part of the allowance.
    fn own_part(&self, own: &HostId, key: u64) -> Option<PartHolders> {
        let holders = self.own_founders()?.part_holders(key);
        let is_holder = holders.home.as_ref() == Some(own) || holders.remote.contains(own);
        is_holder.then_some(holders)
    }

    pub(super) fn with_account<T>(
        &self,
        program: &Arc<str>,
        act: impl FnOnce(&mut ProgramAccount) -> T,
    ) -> T {
        let now = Moment::now();
        let hash = self.hasher.hash_one(program);
        let index = usize::try_from(hash % SHARDS as u64).unwrap_or_default();
        let mut shard = self.shards[index].lock();
        if shard.len() > SWEEP_THRESHOLD {
            shard.retain(|program, account| {
                let is_kept = now.since(account.last_used) < IDLE_RETENTION;
                if !is_kept && account.balance.is_some() {
                    self.evicted.lock().insert(super::hash_of(program));
                }
                is_kept
            });
        }
        let account = shard.entry(Arc::clone(program)).or_default();
        account.last_used = now;
        act(account)
    }

    pub(super) fn for_each(&self, mut act: impl FnMut(&Arc<str>, &mut ProgramAccount)) {
        for shard in &self.shards {
            for (program, account) in shard.lock().iter_mut() {
                act(program, account);
            }
        }
    }

    pub(super) fn reserve(&self, program: &Arc<str>, turn: u64) -> std::result::Result<(), u64> {
        self.with_account(program, |account| match account.account.reserve(turn) {
            true => Ok(()),
            false => Err(account.account.shortfall(turn)),
        })
    }

    /// Part of the program's allowance that this process, and no other, issues as
    /// its first home.
    fn home_allowance(&self, own: &HostId, program: &str, budget: u64) -> u64 {
        let key = super::hash_of(program);
        let part = self.own_part(own, key);
        let Some(holders) = part.filter(|holders| holders.home.as_ref() == Some(own)) else {
            return 0;
        };
        let evicted = self.evicted.lock();
        match evicted.len() < MAX_EVICTED && !evicted.contains(&key) {
            true => budget::home_allowance(budget, holders.remote_count()),
            false => 0,
        }
    }
}

impl ProgramAccount {
    /// Returns the program's balance. A new one holds the allowance if this
    /// process may issue it.
    pub(super) fn open_balance<P>(
        &mut self,
        cx: &Gateway<P>,
        program: &str,
        budget: u64,
    ) -> &mut Balance {
        self.balance.get_or_insert_with(|| {
            let own = &cx.cfg.place.host;
            Balance::open(budget, cx.accounts.home_allowance(own, program, budget))
        })
    }

    /// Takes the unused tokens out of the account. Tokens drawn from this host
    /// go back into its balance; otherwise returns the home host and the number
    /// of tokens to send to it.
    pub(super) fn return_unspent(&mut self) -> Option<(Peer, u64)> {
        let tokens = self.account.take_unspent();
        match (&self.drawn_from, &mut self.balance) {
            (Some(home), _) if tokens > 0 => Some((home.clone(), tokens)),
            (None, Some(balance)) => {
                balance.deposit(tokens);
                None
            }
            _ => None,
        }
    }
}
