//! Budgets in a data centre that is cut off from all others and the store.
//!
//! Such a data centre gives each program at most one turn's tokens, once. The
//! promise on budgets allows a program one turn beyond its budget, and this is
//! that turn: whatever the other side of the cut gives out meanwhile, the sum
//! keeps the promise. After the cut the tokens are drawn from the program's
//! purse, so that a later cut finds the budget lower, and hosts tell each
//! other which programs have spent theirs, so that those get nothing here.

use std::collections::HashMap;
use std::time::Duration;

use async_io::Timer;
use parking_lot::Mutex;

use super::context::Cx;
use super::context::Gateway;
use super::draw_messages::DrawRequest;
use super::exchange;
use super::exchange::DRAW_ISOLATED_METHOD;
use super::reservation;
use super::roster::Home;
use crate::connection::platform::Platform;
use crate::units::Moment;

/// Pause between two looks at whether the cut is over.
const SETTLE_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a host tells others that a budget is spent.
const REPORT_DURATION: Duration = Duration::from_secs(10);
/// Time for which a spent budget is remembered.
const SPENT_RETENTION: Duration = Duration::from_secs(300);
/// Spent budgets that are told at once, the newest first.
const MAX_REPORTED: usize = 64;
/// Part of a turn's most below which nothing is given, as a divisor.
const MIN_GRANT_DIVISOR: u64 = 3;

/// What was given to one program.
#[derive(Clone, Debug)]
struct IssuedTokens {
    budget: u64,
    turn: u64,
    tokens: u64,
}

/// What this host gave out while its data centre was cut off.
#[derive(Debug, Default)]
pub struct IsolatedGrants(Mutex<HashMap<String, IssuedTokens>>);

impl IsolatedGrants {
    /// Gives up to `wanted` tokens; none beyond one turn's most in all.
    pub fn draw(&self, program: &str, budget: u64, turn: u64, wanted: u64) -> u64 {
        let mut grants = self.0.lock();
        let issued = grants.entry(program.to_owned()).or_insert(IssuedTokens {
            budget,
            turn,
            tokens: 0,
        });
        let left = issued.turn.min(turn).saturating_sub(issued.tokens);
        let tokens = wanted.min(left);
        if tokens * MIN_GRANT_DIVISOR < wanted.min(turn) {
            return 0;
        }
        issued.tokens += tokens;
        tokens
    }

    /// Takes out what was given, to be drawn from the programs' purses.
    pub fn take_all(&self) -> Vec<DrawRequest> {
        let issued = std::mem::take(&mut *self.0.lock());
        let draw = |(program, issued): (String, IssuedTokens)| DrawRequest {
            program,
            budget: issued.budget,
            wanted: issued.tokens,
            turn: issued.tokens,
            may_wait: false,
        };
        issued.into_iter().map(draw).collect()
    }
}

/// Programs whose budget is known to be spent.
#[derive(Debug, Default)]
pub struct SpentPrograms(Mutex<HashMap<u64, Moment>>);

impl SpentPrograms {
    /// Notes that a program's budget is spent.
    pub fn add(&self, program: &str, now: Moment) {
        self.merge(&[super::hash_of(program)], now);
    }

    /// Takes up what another host knows.
    pub fn merge(&self, programs: &[u64], now: Moment) {
        let mut spent = self.0.lock();
        for program in programs {
            spent.entry(*program).or_insert(now);
        }
        spent.retain(|_, since| now.since(*since) < SPENT_RETENTION);
    }

    /// True if a program's budget is spent.
    pub fn contains(&self, program: &str) -> bool {
        self.0.lock().contains_key(&super::hash_of(program))
    }

    /// Programs that others should hear of.
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

/// Draws tokens for a turn in a cut-off data centre; 0 if there are none.
pub async fn draw<P: Platform>(cx: &Cx<P>, req: &DrawRequest) -> u64 {
    if !cx.is_isolated() {
        return 0;
    }
    let key = super::hash_of(&req.program);
    let home = cx.roster.lock().local_home(key, &cx.cfg.place.data_centre);
    match home {
        Home::Own => draw_here(cx, req),
        Home::Other(peer) => {
            let reply =
                exchange::call_peer::<_, _, u64>(cx, &peer, DRAW_ISOLATED_METHOD, req).await;
            reply.unwrap_or(0)
        }
    }
}

/// Gives tokens out if this host, too, is cut off.
pub fn draw_here<P: Platform>(cx: &Gateway<P>, req: &DrawRequest) -> u64 {
    // A process that has not met the store does not know what the one before
    // it gave out.
    if !cx.is_isolated() || !cx.contact.was_ever_up() || cx.spent.contains(&req.program) {
        return 0;
    }
    cx.isolated
        .draw(&req.program, req.budget, req.turn, req.wanted)
}

/// Draws what was given out from the programs' purses once a cut is over.
pub async fn run<P: Platform>(cx: Cx<P>) {
    loop {
        Timer::after(SETTLE_PERIOD).await;
        if cx.contact.is_up() {
            settle(&cx).await;
        }
    }
}

async fn settle<P: Platform>(cx: &Cx<P>) {
    for req in cx.isolated.take_all() {
        if req.wanted == 0 {
            continue;
        }
        match reservation::draw(cx, &req).await {
            // The tokens are not used: the program has had them.
            Ok(_) => (),
            Err(refusal) => log::debug!("tokens given in a cut are not drawn: {}", refusal.detail),
        }
    }
}
