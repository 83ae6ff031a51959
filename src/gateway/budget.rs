//! Budgets of programs: tokens that all turns of a program may generate,
//! through any host.
//!
//! Each program has one record in the platform's store with the tokens that
//! were granted to hosts. A host takes a grant by a conditional write before
//! it spends from it, so grants never exceed the budget, whatever host dies or
//! is cut off. Tokens of a grant that its host did not spend stay spent.

use serde::Deserialize;
use serde::Serialize;

/// Kind of the records, one object for each program.
pub const KIND: &str = "chicoryarch-budgets";

/// Part of the remaining budget that a host takes at once, as a divisor.
const GRANT_DIVISOR: u64 = 2;

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

/// The next grant of a program, or `None` if its budget holds no such turn.
pub fn next_grant(record: Option<Record>, budget: u64, turn: u64, now_ms: u64) -> Option<Grant> {
    let granted = record.map_or(0, |record| record.granted);
    let left = budget.saturating_sub(granted);
    if left < turn {
        return None;
    }
    let tokens = (left / GRANT_DIVISOR).max(turn);
    let record = Record {
        granted: granted + tokens,
        at_ms: now_ms,
    };
    Some(Grant { tokens, record })
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

    /// Ends a reservation with what the caller was handed.
    pub fn settle(&mut self, reserved: u64, handed: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent += handed;
    }

    /// Tokens that may still be reserved.
    pub const fn left(&self) -> u64 {
        self.granted.saturating_sub(self.spent + self.reserved)
    }
}
