//! Parts of programs' tokens that this process, and no other, may issue beside
//! balances: of the allowance and of the extra turn.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;

use super::budget;
use super::draw_messages::DrawRequest;
use crate::units::Moment;

/// Divisor of the requested tokens, or of the turn's maximum if that is less,
/// that gives the smallest number of tokens issued.
const MIN_GRANT_DIVISOR: u64 = 3;
/// Maximum number of programs of which issued parts are remembered. At that
/// number no more are issued.
const MAX_PROGRAMS: usize = 1 << 16;
/// Time after its last use at which a program is over: far longer than its budget
/// record is kept.
const PROGRAM_RETENTION: Duration = Duration::from_secs(3600);

/// Tokens that this process issued of its parts of one program's tokens.
#[derive(Clone, Debug)]
struct IssuedParts {
    budget: u64,
    /// Maximum output of a turn in tokens.
    turn: u64,
    /// Tokens issued of the allowance.
    allowance: u64,
    /// Tokens issued of the extra turn that have not been drawn from the program's
    /// balance since.
    extra: u64,
    /// Whether the balance cannot cover them any more.
    is_final: bool,
    last_used: Moment,
}

/// A program's tokens of which a process holds a part.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// Budget of the program in tokens.
    pub budget: u64,
    /// Hosts that hold an equal part of the allowance; 0 if this one holds none
    /// beside a balance.
    pub allowance_holders: u64,
    /// Hosts that hold an equal part of the extra turn.
    pub extra_parts: u64,
}

/// Parts of programs' tokens that this process holds outside of balances.
#[derive(Debug, Default)]
pub struct HeldParts(Mutex<Programs>);

#[derive(Debug, Default)]
struct Programs {
    issued: HashMap<String, IssuedParts>,
    /// Set when another process may issue the parts.
    is_closed: bool,
}

impl HeldParts {
    /// Issues up to `wanted` tokens of a turn with at most `turn` tokens, first of
    /// the allowance, then of the extra turn. Returns 0 if too few are left.
    pub fn draw(&self, program: &str, part: &Part, turn: u64, wanted: u64, now: Moment) -> u64 {
        let mut programs = self.0.lock();
        let Some(issued) = programs.entry(program, part.budget, turn, now) else {
            return 0;
        };
        let allowance = wanted.min(issued.allowance_left(part));
        let extra_part = issued.turn.min(turn) / part.extra_parts.max(1);
        let extra = (wanted - allowance).min(extra_part.saturating_sub(issued.extra));
        let tokens = allowance + extra;
        if tokens < wanted.min(turn) / MIN_GRANT_DIVISOR || tokens == 0 {
            return 0;
        }
        issued.allowance += allowance;
        issued.extra += extra;
        tokens
    }

    /// Issues what is left of the allowance, for the program's balance.
    pub fn take_allowance(&self, program: &str, part: &Part, now: Moment) -> u64 {
        let mut programs = self.0.lock();
        let Some(issued) = programs.entry(program, part.budget, u64::MAX, now) else {
            return 0;
        };
        let left = issued.allowance_left(part);
        issued.allowance += left;
        left
    }

    /// Returns requests that draw issued extra tokens from the programs' balances.
    pub fn unsettled(&self) -> Vec<DrawRequest> {
        let programs = self.0.lock();
        let open = programs
            .issued
            .iter()
            .filter(|(_, issued)| issued.extra > 0 && !issued.is_final);
        let draw = |(program, issued): (&String, &IssuedParts)| DrawRequest {
            program: program.clone(),
            budget: issued.budget,
            wanted: issued.extra,
            turn: issued.extra,
            may_wait: false,
            session: 0,
        };
        open.map(draw).collect()
    }

    /// Ends the issue of tokens. Returns whether all extra tokens have been drawn
    /// from the programs' balances, so that another process may issue them again.
    pub fn close(&self) -> bool {
        let mut programs = self.0.lock();
        programs.is_closed = true;
        programs.issued.values().all(|issued| issued.extra == 0)
    }

    /// Records that extra tokens have been drawn from the program's balance.
    pub fn record_drawn(&self, program: &str, tokens: u64) {
        if let Some(issued) = self.0.lock().issued.get_mut(program) {
            issued.extra = issued.extra.saturating_sub(tokens);
        }
    }

    /// Records that the program's balance does not cover the issued tokens.
    pub fn record_spent(&self, program: &str) {
        if let Some(issued) = self.0.lock().issued.get_mut(program) {
            issued.is_final = true;
        }
    }
}

impl Programs {
    /// Returns a program's entry; `None` if there is no room for another, or no
    /// more are issued. None is dropped before its program is over, since it would be issued again.
    fn entry(
        &mut self,
        program: &str,
        budget: u64,
        turn: u64,
        now: Moment,
    ) -> Option<&mut IssuedParts> {
        if self.is_closed {
            return None;
        }
        let issued = &mut self.issued;
        if issued.len() >= MAX_PROGRAMS && !issued.contains_key(program) {
            issued.retain(|_, issued| now.since(issued.last_used) < PROGRAM_RETENTION);
            if issued.len() >= MAX_PROGRAMS {
                return None;
            }
        }
        let entry = issued.entry(program.to_owned()).or_insert(IssuedParts {
            budget,
            turn,
            allowance: 0,
            extra: 0,
            is_final: false,
            last_used: now,
        });
        entry.budget = entry.budget.min(budget);
        entry.turn = entry.turn.min(turn);
        entry.last_used = now;
        Some(entry)
    }
}

impl IssuedParts {
    fn allowance_left(&self, part: &Part) -> u64 {
        let part = budget::remote_allowance(self.budget, part.allowance_holders);
        part.saturating_sub(self.allowance)
    }
}
