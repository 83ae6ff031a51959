//! Program budgets: the number of tokens that all turns of a program may
//! generate, whichever hosts serve them.
//!
//! Each program has a home host, which keeps its balance; the hosts that serve
//! its turns draw tokens from there. A balance opens with an allowance that
//! needs no record. Every token beyond the allowance is granted by a record in
//! the platform's store, which is changed by conditional writes only. The
//! allowance is divided among a few processes, each of which alone can issue its
//! part, and every record counts the whole allowance as spent, so allowance and
//! grants never exceed the budget, even if hosts crash, restart or are
//! partitioned. Tokens that are drawn and then lost in transit stay spent.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Version;

/// Object kind of the budget records; each program has one object.
pub const KIND: &str = "chicoryarch-budgets";

/// Divisor of the budget that gives the allowance, which is issued without a
/// record. Programs that end by themselves seldom use more.
const ALLOWANCE_DIVISOR: u64 = 2;
/// Divisor of the allowance that gives what other data centres than the first
/// home's hold of it together.
const REMOTE_ALLOWANCE_DIVISOR: u64 = 2;
/// Divisor of the remaining budget that gives the size of a large grant.
const LARGE_GRANT_DIVISOR: u64 = 2;
/// Divisor of the remaining budget that gives the size of a small grant.
const SMALL_GRANT_DIVISOR: u64 = 4;

/// Divisor of a turn's maximum that gives the tokens an isolated host needs to
/// start the turn. Turns seldom generate their maximum.
const MIN_START_DIVISOR: u64 = 3;
/// Number of turns that a balance must cover for other hosts to retain unused
/// tokens.
const RETENTION_TURNS: u64 = 4;

/// A program's budget record in the platform's store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Tokens granted to all hosts so far, including the allowance.
    pub granted: u64,
    /// Time of the last grant in Unix milliseconds; old records are removed by
    /// it.
    pub at_ms: u64,
}

/// A grant and the record that must be stored before it may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Tokens that the host may issue once the record is stored.
    pub tokens: u64,
    /// Next state of the program's record.
    pub record: Record,
}

/// Returns the part of a budget that may be issued without a record.
pub const fn allowance(budget: u64) -> u64 {
    budget / ALLOWANCE_DIVISOR
}

/// Returns the part of the allowance that each of `holders` hosts in other data
/// centres issues.
pub const fn remote_allowance(budget: u64, holders: u64) -> u64 {
    match holders {
        0 => 0,
        _ => allowance(budget) / REMOTE_ALLOWANCE_DIVISOR / holders,
    }
}

/// Returns the part of the allowance that the first home host issues beside
/// `holders` hosts in other data centres.
pub const fn home_allowance(budget: u64, holders: u64) -> u64 {
    allowance(budget) - remote_allowance(budget, holders) * holders
}

/// How much of the remaining budget a grant takes, if that is more than the
/// tokens requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantSize {
    /// Half of the remaining budget, so that the home host seldom needs another
    /// grant.
    Large,
    /// A quarter of the remaining budget, for a host that acts in place of the
    /// home host: its balance is lost if its process ends before the home host
    /// is back.
    Small,
}

/// A request for a grant.
#[derive(Clone, Copy, Debug)]
pub struct GrantRequest {
    /// Budget of the program in tokens.
    pub budget: u64,
    /// Tokens that the balance is short of.
    pub wanted: u64,
    /// Size of the grant if it exceeds `wanted`.
    pub size: GrantSize,
}

/// Returns the next grant of at least the tokens requested, or `None` if the
/// remaining budget is too small. Without a record, the program's allowance
/// counts as spent.
pub fn next_grant(record: Option<Record>, request: &GrantRequest, now_ms: u64) -> Option<Grant> {
    let granted = record.map_or(allowance(request.budget), |record| record.granted);
    let left = request.budget.saturating_sub(granted);
    if left < request.wanted {
        return None;
    }
    let divisor = match request.size {
        GrantSize::Large => LARGE_GRANT_DIVISOR,
        GrantSize::Small => SMALL_GRANT_DIVISOR,
    };
    let tokens = (left / divisor).max(request.wanted);
    let record = Record {
        granted: granted.saturating_add(tokens),
        at_ms: now_ms,
    };
    Some(Grant { tokens, record })
}

/// Unspent tokens of one program at its home host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Balance {
    budget: u64,
    available: u64,
    /// Record as last read or written. `granted` only ever grows.
    last_record: Option<(Version, Record)>,
}

impl Balance {
    /// Opens a balance with the part of the allowance that this process, and no
    /// other, may issue.
    pub const fn open(budget: u64, available: u64) -> Self {
        Self {
            budget,
            available,
            last_record: None,
        }
    }

    /// Returns the program's budget in tokens.
    pub const fn budget(&self) -> u64 {
        self.budget
    }

    /// Returns the record as last read or written; `None` before the first
    /// access.
    pub const fn last_record(&self) -> Option<(Version, Record)> {
        self.last_record
    }

    /// Sets the record as last read or written.
    pub fn set_last_record(&mut self, version: Version, record: Record) {
        self.last_record = Some((version, record));
    }

    /// Takes `wanted` tokens out of the balance.
    ///
    /// # Errors
    ///
    /// The number of missing tokens, which a grant must add first. The balance
    /// is unchanged.
    pub fn draw(&mut self, wanted: u64) -> std::result::Result<(), u64> {
        match self.available.checked_sub(wanted) {
            Some(left) => {
                self.available = left;
                Ok(())
            }
            None => Err(wanted - self.available),
        }
    }

    /// Takes out all tokens, to hand them over to another host.
    pub fn take_all(&mut self) -> u64 {
        std::mem::take(&mut self.available)
    }

    /// Whether the balance is large enough for other hosts to retain unused
    /// tokens between turns.
    pub const fn is_ample(&self, turn: u64) -> bool {
        self.available >= turn.saturating_mul(RETENTION_TURNS)
    }

    /// Adds granted or returned tokens.
    pub fn deposit(&mut self, tokens: u64) {
        self.available = self.available.saturating_add(tokens);
    }
}

/// Tokens of one program at a host that serves its turns.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Account {
    granted: u64,
    spent: u64,
    reserved: u64,
}

impl Account {
    /// Reserves the maximum of a turn; `false` if too few tokens are available.
    pub fn reserve(&mut self, turn: u64) -> bool {
        let fits = turn <= self.remaining();
        if fits {
            self.reserved += turn;
        }
        fits
    }

    /// Adds tokens drawn from the program's balance.
    pub fn add(&mut self, tokens: u64) {
        self.granted = self.granted.saturating_add(tokens);
    }

    /// Reserves the remaining tokens; `None` if they are too few to start the
    /// turn.
    pub fn reserve_remaining(&mut self, turn: u64) -> Option<u64> {
        let remaining = self.remaining();
        if remaining < turn / MIN_START_DIVISOR || remaining == 0 {
            return None;
        }
        self.reserved += remaining;
        Some(remaining)
    }

    /// Ends a reservation, of which `sent` tokens were sent to the caller.
    pub fn settle(&mut self, reserved: u64, sent: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent = self.spent.saturating_add(sent);
    }

    /// Returns the number of tokens that are missing for a turn.
    pub const fn shortfall(&self, turn: u64) -> u64 {
        turn.saturating_sub(self.remaining())
    }

    /// Takes out the remaining tokens; 0 while a reservation is open, since its
    /// turn may need them.
    pub fn take_unspent(&mut self) -> u64 {
        if self.reserved > 0 {
            return 0;
        }
        let remaining = self.remaining();
        self.granted -= remaining;
        remaining
    }

    const fn remaining(&self) -> u64 {
        let used = self.spent.saturating_add(self.reserved);
        self.granted.saturating_sub(used)
    }
}
