//! Budgets in a data centre that is isolated: cut off by a network partition
//! from all others and from the store.
//!
//! Such a data centre issues each program at most the tokens of one turn, once.
//! The guarantee on budgets allows a program one turn beyond its budget, and
//! this is that turn: the guarantee holds whatever the other side of the
//! partition issues in the meantime. After the partition the tokens are drawn
//! from the program's balance, so that a later partition finds the budget
//! reduced. Hosts also share which programs have spent their budget, so that
//! these get no tokens here.

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

/// Tokens issued to one program.
#[derive(Clone, Debug)]
struct IssuedTokens {
    budget: u64,
    /// Maximum output of the turn in tokens.
    turn: u64,
    tokens: u64,
}

/// Tokens that this host issued while its data centre was isolated.
#[derive(Debug, Default)]
pub struct IsolatedGrants(Mutex<HashMap<String, IssuedTokens>>);

impl IsolatedGrants {
    /// Issues up to `wanted` tokens, but to each program at most the maximum of
    /// one turn in total. Returns 0 if too few are left.
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

    /// Removes the issued tokens and returns requests that draw them from the
    /// programs' balances.
    pub fn take_all(&self) -> Vec<DrawRequest> {
        let issued = std::mem::take(&mut *self.0.lock());
        let draw = |(program, issued): (String, IssuedTokens)| DrawRequest {
            program,
            budget: issued.budget,
            wanted: issued.tokens,
            turn: issued.tokens,
            may_wait: false,
            session: 0,
        };
        issued.into_iter().map(draw).collect()
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

/// Draws tokens for a turn from this data centre if it is isolated; 0 if there
/// are none.
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

/// Issues tokens if this host is isolated, too.
pub fn draw_here<P: Platform>(cx: &Gateway<P>, req: &DrawRequest) -> u64 {
    // A process that has never reached the store may have had a predecessor
    // that issued tokens during this partition.
    if !cx.is_isolated() || !cx.store_contact.was_ever_up() || cx.spent.contains(&req.program) {
        return 0;
    }
    cx.isolated
        .draw(&req.program, req.budget, req.turn, req.wanted)
}

/// Draws the issued tokens from the programs' balances after each partition,
/// until the process ends.
pub async fn run<P: Platform>(cx: Cx<P>) {
    loop {
        Timer::after(SETTLE_PERIOD).await;
        if cx.store_contact.is_up() {
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
            // The drawn tokens stay unused, since the program has already had
            // them.
            Ok(_) => (),
            Err(refusal) => log::debug!(
                "cannot draw tokens issued during isolation: {}",
                refusal.detail
            ),
        }
    }
}
