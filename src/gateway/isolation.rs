//! Budgets in a data centre that is isolated: cut off by a network partition
//! from all others and from the store.
//!
//! The guarantee on budgets allows a program one turn beyond its budget. Any
//! number of data centres may be isolated at once, and none can see what the
//! others issue, so the turn is divided in advance: rendezvous hashing over the
//! founders names a few processes, as with allowances, each of which may issue
//! an equal part. Whatever happens to such a process, no other takes its place.
//! Turns seldom generate their maximum, so a part is enough for one or two.
//!
//! After the partition the tokens are drawn from the program's balance, and the
//! turn may be issued again. Until that succeeds, it counts as issued. Hosts also
//! share which programs have spent their budget, so that these get no tokens
//! here.

use std::collections::HashMap;
use std::time::Duration;

use async_io::Timer;
use parking_lot::Mutex;
use serde::Serialize;

use super::context::Cx;
use super::context::Gateway;
use super::draw_messages::DrawRequest;
use super::exchange;
use super::exchange::EXTRA_TURN_METHOD;
use super::refusal::Outcome;
use super::reservation;
use crate::connection::platform::Platform;
use crate::units::Moment;

/// Interval between two checks for the end of a partition.
const SETTLE_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a host reports a spent budget to others.
const REPORT_DURATION: Duration = Duration::from_secs(10);
/// Time for which a spent budget is remembered.
const SPENT_RETENTION: Duration = Duration::from_secs(300);
/// Maximum number of spent budgets in one report, the newest first.
const MAX_REPORTED: usize = 64;
/// Divisor of the requested tokens, or of the turn's maximum if that is less,
/// that gives the smallest number of tokens issued.
const MIN_GRANT_DIVISOR: u64 = 3;
/// Maximum number of extra turns that are remembered, to bound the memory. At
/// that number no more are issued.
const MAX_EXTRA_TURNS: usize = 1 << 16;

#[derive(Serialize)]
struct ExtraTurnLine<'a> {
    program: &'a str,
    budget: u64,
    /// Tokens that the turn is short of.
    wanted: u64,
    tokens: u64,
}

/// Tokens issued to one program beyond its budget.
#[derive(Clone, Debug)]
struct ExtraTurn {
    budget: u64,
    /// Maximum output of the turn in tokens.
    turn: u64,
    /// Tokens that have not been drawn from the program's balance since.
    tokens: u64,
    /// Whether the balance cannot cover them any more.
    is_final: bool,
}

/// Extra turns that this process has issued.
#[derive(Debug, Default)]
pub struct ExtraTurns(Mutex<HashMap<String, ExtraTurn>>);

impl ExtraTurns {
    /// Issues up to `wanted` tokens, but to each program at most one of `parts`
    /// equal parts of a turn's maximum in total. Returns 0 if too few are left.
    pub fn draw(&self, program: &str, budget: u64, turn: u64, wanted: u64, parts: u64) -> u64 {
        let mut turns = self.0.lock();
        // None is forgotten to make room, since it would be issued again.
        if turns.len() >= MAX_EXTRA_TURNS && !turns.contains_key(program) {
            return 0;
        }
        let issued = turns.entry(program.to_owned()).or_insert(ExtraTurn {
            budget,
            turn,
            tokens: 0,
            is_final: false,
        });
        let part = issued.turn.min(turn) / parts.max(1);
        let tokens = wanted.min(part.saturating_sub(issued.tokens));
        if tokens < wanted.min(turn) / MIN_GRANT_DIVISOR || tokens == 0 {
            return 0;
        }
        issued.tokens += tokens;
        tokens
    }

    /// Returns requests that draw the issued tokens from the programs' balances.
    pub fn unsettled(&self) -> Vec<DrawRequest> {
        let turns = self.0.lock();
        let open = turns
            .iter()
            .filter(|(_, issued)| issued.tokens > 0 && !issued.is_final);
        let draw = |(program, issued): (&String, &ExtraTurn)| DrawRequest {
            program: program.clone(),
            budget: issued.budget,
            wanted: issued.tokens,
            turn: issued.tokens,
            may_wait: false,
            session: 0,
        };
        open.map(draw).collect()
    }

    /// Records that issued tokens have been drawn from the program's balance.
    pub fn record_drawn(&self, program: &str, tokens: u64) {
        let mut turns = self.0.lock();
        if let Some(issued) = turns.get_mut(program) {
            issued.tokens = issued.tokens.saturating_sub(tokens);
            if issued.tokens == 0 {
                turns.remove(program);
            }
        }
    }

    /// Records that the program's balance does not cover the issued tokens.
    pub fn record_spent(&self, program: &str) {
        if let Some(issued) = self.0.lock().get_mut(program) {
            issued.is_final = true;
        }
    }
}

/// Hashes of programs whose budget is spent.
#[derive(Debug, Default)]
pub struct SpentPrograms(Mutex<HashMap<u64, Moment>>);

impl SpentPrograms {
    /// Records that a program's budget is spent.
    pub fn add(&self, program: &str, now: Moment) {
        self.merge(&[super::hash_of(program)], now);
    }

    /// Adds programs that another host reported.
    pub fn merge(&self, programs: &[u64], now: Moment) {
        let mut spent = self.0.lock();
        for program in programs {
            spent.entry(*program).or_insert(now);
        }
        spent.retain(|_, since| now.since(*since) < SPENT_RETENTION);
    }

    /// Whether a program's budget is recorded as spent.
    pub fn contains(&self, program: &str) -> bool {
        self.0.lock().contains_key(&super::hash_of(program))
    }

    /// Returns the programs to report to other hosts.
    pub fn recent(&self, now: Moment) -> Vec<u64> {
        let spent = self.0.lock();
        let recent = spent
            .iter()
            .filter(|(_, at)| now.since(**at) < REPORT_DURATION);
        let mut recent: Vec<_> = recent
            .map(|(program, at)| (now.since(*at), *program))
            .collect();
        recent.sort_unstable();
        recent.truncate(MAX_REPORTED);
        recent.into_iter().map(|(_, program)| program).collect()
    }
}

/// Draws tokens for a turn while this data centre is isolated; 0 if there are
/// none within reach.
pub async fn draw<P: Platform>(cx: &Cx<P>, req: &DrawRequest) -> u64 {
    if !cx.is_isolated() {
        return 0;
    }
    let key = super::hash_of(&req.program);
    let place = &cx.cfg.place;
    let Some(host) = cx.accounts.extra_turn_host(key, &place.data_centre) else {
        return 0;
    };
    if host == place.host {
        return draw_here(cx, req);
    }
    let Some(holder) = cx.roster.lock().peer(&host) else {
        return 0;
    };
    let reply = exchange::call_peer::<_, _, u64>(cx, &holder, EXTRA_TURN_METHOD, req).await;
    reply.unwrap_or(0)
}

/// Issues tokens if this process, and no other, may issue a part of the
/// program's extra turn.
pub fn draw_here<P: Platform>(cx: &Gateway<P>, req: &DrawRequest) -> u64 {
    let key = super::hash_of(&req.program);
    let Some(parts) = cx.accounts.extra_turn_parts(&cx.cfg.place.host, key) else {
        return 0;
    };
    if cx.spent.contains(&req.program) {
        return 0;
    }
    let DrawRequest {
        program,
        budget,
        turn,
        wanted,
        ..
    } = req;
    let tokens = cx.extra_turns.draw(program, *budget, *turn, *wanted, parts);
    let line = ExtraTurnLine {
        program,
        budget: *budget,
        wanted: *wanted,
        tokens,
    };
    cx.log.request("extra-turn", &line);
    tokens
}

/// Draws the tokens of extra turns from the programs' balances after each
/// partition, until the process ends.
pub async fn run<P: Platform>(cx: Cx<P>) {
    loop {
        Timer::after(SETTLE_PERIOD).await;
        if cx.store_contact.is_up() {
            settle(&cx).await;
        }
    }
}

async fn settle<P: Platform>(cx: &Cx<P>) {
    for req in cx.extra_turns.unsettled() {
        match reservation::draw(cx, &req).await {
            // The drawn tokens stay unused, since the program has already had
            // them.
            Ok(_) => cx.extra_turns.record_drawn(&req.program, req.wanted),
            Err(refusal) if refusal.outcome == Outcome::BudgetSpent => {
                cx.extra_turns.record_spent(&req.program);
            }
            Err(refusal) => {
                log::debug!(
                    "cannot draw the tokens of an extra turn: {}",
                    refusal.detail
                );
                return;
            }
        }
    }
}
