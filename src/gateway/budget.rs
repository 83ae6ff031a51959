//! Budgets of programs: tokens that all turns of a program may generate,
//! through any host.
//!
//! A program's home host holds its purse, from which the hosts of its turns
//! draw. A purse begins with an allowance that no record shows; everything
//! beyond it is granted by a record in the platform's store, changed by
//! conditional writes. Only one process can ever give out a program's
//! allowance, and every record counts it as spent, so allowance and grants
//! never exceed the budget, whichever hosts die, restart or are cut off.
//! Tokens that were drawn and lost on the way stay spent.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Version;

/// Kind of the records, one object for each program.
pub const KIND: &str = "chicoryarch-budgets";

/// Part of a budget that its first home gives out without a record, as a
/// divisor. Programs that end by themselves seldom use more.
const ALLOWANCE_DIVISOR: u64 = 2;
/// Part of the remaining budget that a home is granted at once, as a divisor.
const LARGE_GRANT_DIVISOR: u64 = 2;
/// The same for a host that stands in for a home.
const SMALL_GRANT_DIVISOR: u64 = 4;

/// Part of a turn's most that a cut-off host must hold to begin it, as a
/// divisor. Turns seldom generate the most that they may.
const MIN_START_DIVISOR: u64 = 3;
/// Turns that a purse must hold so that hosts may keep unused tokens.
const RETENTION_TURNS: u64 = 4;

/// What the platform's store holds of a program's budget.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Tokens granted to hosts so far.
    pub granted: u64,
    /// Unix millisecond of the last grant, for the removal of old records.
    pub at_ms: u64,
}

/// A grant that would bring the record to its next state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Tokens that the host may spend.
    pub tokens: u64,
    /// The record that must be stored first.
    pub record: Record,
}

/// Tokens of a budget that may be given out without a record.
pub const fn allowance(budget: u64) -> u64 {
    budget / ALLOWANCE_DIVISOR
}

/// How much a grant takes beyond what is wanted now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantSize {
    /// Half of the rest, so that the home seldom asks.
    Large,
    /// A quarter of the rest: the host stands in for the program's home, and
    /// what it holds is lost if it ends before the home is back.
    Small,
}

/// What a purse needs of a grant.
#[derive(Clone, Copy, Debug)]
pub struct GrantRequest {
    /// The program's budget.
    pub budget: u64,
    /// Tokens that the purse lacks for a turn.
    pub wanted: u64,
    /// How much is taken beyond.
    pub size: GrantSize,
}

/// The next grant of at least what is wanted, or `None` if the budget does not
/// hold that. A program without a record may have spent its allowance.
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
        granted: granted + tokens,
        at_ms: now_ms,
    };
    Some(Grant { tokens, record })
}

/// Tokens of one program that its home may still hand out.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Balance {
    budget: u64,
    available: u64,
    /// The record as last seen, which only grows.
    last_record: Option<(Version, Record)>,
}

impl Balance {
    /// A purse with the allowance, if this process alone may give it out.
    pub fn open(budget: u64, has_allowance: bool) -> Self {
        let available = if has_allowance { allowance(budget) } else { 0 };
        Self {
            budget,
            available,
            last_record: None,
        }
    }

    /// The program's budget.
    pub const fn budget(&self) -> u64 {
        self.budget
    }

    /// The record as last seen.
    pub const fn last_record(&self) -> Option<(Version, Record)> {
        self.last_record
    }

    /// Notes the record's present state.
    pub fn set_last_record(&mut self, version: Version, record: Record) {
        self.last_record = Some((version, record));
    }

    /// Takes tokens out, or tells how many are missing.
    ///
    /// # Errors
    ///
    /// The tokens that a grant must add first.
    pub fn draw(&mut self, wanted: u64) -> std::result::Result<(), u64> {
        match self.available.checked_sub(wanted) {
            Some(left) => {
                self.available = left;
                Ok(())
            }
            None => Err(wanted - self.available),
        }
    }

    /// Takes out everything, for another host.
    pub fn take_all(&mut self) -> u64 {
        std::mem::take(&mut self.available)
    }

    /// True if hosts may keep tokens that they do not need at once.
    pub const fn is_ample(&self, turn: u64) -> bool {
        self.available >= turn * RETENTION_TURNS
    }

    /// Puts granted or unspent tokens in.
    pub fn deposit(&mut self, tokens: u64) {
        self.available += tokens;
    }
}

/// Tokens of one program at this host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Account {
    granted: u64,
    spent: u64,
    reserved: u64,
}

impl Account {
    /// Reserves the most that a turn generates; false if the grants do not hold it.
    pub fn reserve(&mut self, turn: u64) -> bool {
        let fits = self.spent + self.reserved + turn <= self.granted;
        if fits {
            self.reserved += turn;
        }
        fits
    }

    /// Adds a grant.
    pub fn add(&mut self, tokens: u64) {
        self.granted += tokens;
    }

    /// Reserves what is left, if that is a good part of a turn.
    pub fn reserve_remaining(&mut self, turn: u64) -> Option<u64> {
        let remaining = self.remaining();
        if remaining * MIN_START_DIVISOR < turn {
            return None;
        }
        self.reserved += remaining;
        Some(remaining)
    }

    /// Ends a reservation with what the caller was handed.
    pub fn settle(&mut self, reserved: u64, sent: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent += sent;
    }

    /// Tokens that a turn lacks here.
    pub const fn shortfall(&self, turn: u64) -> u64 {
        turn.saturating_sub(self.remaining())
    }

    /// Takes out what is left, unless turns are under way that may need it.
    pub fn take_unspent(&mut self) -> u64 {
        if self.reserved > 0 {
            return 0;
        }
        let remaining = self.remaining();
        self.granted -= remaining;
        remaining
    }

    const fn remaining(&self) -> u64 {
        self.granted.saturating_sub(self.spent + self.reserved)
    }
}
