//! Budgets in a data centre that is isolated: cut off by a network partition
//! from all others and from the store.
//!
//! The guarantee on budgets allows a program one turn beyond its budget. Any
//! number of data centres may be isolated at once, and none can see what the
//! others issue, so what they may issue is divided in advance: rendezvous hashing
//! over the founders names a few processes, one in a data centre, each of which
//! holds an equal part of the extra turn, and a part of the program's allowance.
//! Whatever happens to such a process, no other takes its place. Turns seldom
//! generate their maximum, so the parts are enough for a few.
//!
//! In touch, a home collects the parts of the allowance before it needs a grant.
//! After a partition the tokens of the extra turn are drawn from the program's
//! balance, and may be issued again. Until that succeeds, they count as issued.
//! Hosts also share which programs have spent their budget, so that these get no
//! tokens here.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use super::context::Cx;
use super::context::Gateway;
use super::draw_messages::DrawRequest;
use super::exchange;
use super::exchange::COLLECT_METHOD;
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
#[derive(Serialize)]
struct IsolatedDrawLine<'a> {
    program: &'a str,
    budget: u64,
    /// Tokens that the turn is short of.
    wanted: u64,
    tokens: u64,
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

/// Issues tokens of the parts that this process, and no other, may issue.
pub fn draw_here<P: Platform>(cx: &Gateway<P>, req: &DrawRequest) -> u64 {
    let key = super::hash_of(&req.program);
    let own = &cx.cfg.place.host;
    let Some(part) = cx.accounts.held_part(own, key, req.budget) else {
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
    let tokens = cx
        .held_parts
        .draw(program, &part, *turn, *wanted, Moment::now());
    let line = IsolatedDrawLine {
        program,
        budget: *budget,
        wanted: *wanted,
        tokens,
    };
    cx.log.request("isolated-draw", &line);
    tokens
}

/// Asks a host for its part of a program's allowance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CollectRequest {
    /// Program id.
    pub program: String,
    /// Budget of the program in tokens.
    pub budget: u64,
}

/// Issues what is left of the part of the allowance that this process, and no
/// other, may issue.
pub fn give_allowance<P: Platform>(cx: &Gateway<P>, req: &CollectRequest) -> u64 {
    let key = super::hash_of(&req.program);
    let own = &cx.cfg.place.host;
    let Some(part) = cx.accounts.held_part(own, key, req.budget) else {
        return 0;
    };
    cx.held_parts
        .take_allowance(&req.program, &part, Moment::now())
}

/// Parts of a program's allowance that other hosts have given.
#[derive(Clone, Copy, Debug)]
pub struct Collected {
    /// Tokens that now belong to the balance at this host.
    pub tokens: u64,
    /// Whether all hosts that hold a part have answered.
    pub is_complete: bool,
}

/// Collects the parts of a program's allowance at other hosts, which are then
/// issued here. What is lost on the way stays spent.
pub async fn collect_allowance<P: Platform>(cx: &Cx<P>, program: &str, budget: u64) -> Collected {
    let key = super::hash_of(program);
    let req = CollectRequest {
        program: program.to_owned(),
        budget,
    };
    let holders = cx.accounts.part_holders(key).remote;
    let mut collected = Collected {
        tokens: 0,
        is_complete: true,
    };
    let mut calls = Vec::new();
    for host in holders {
        if host == cx.cfg.place.host {
            collected.tokens += give_allowance(cx, &req);
            continue;
        }
        let Some(peer) = cx.roster.lock().responsive_peer(&host, Moment::now()) else {
            collected.is_complete = false;
            continue;
        };
        let (cx, req) = (Arc::clone(cx), req.clone());
        calls.push(cx.spawner.clone().spawn(async move {
            exchange::call_peer::<_, _, u64>(&cx, &peer, COLLECT_METHOD, &req).await
        }));
    }
    for call in calls {
        let given = call.await;
        collected.is_complete &= given.is_some();
        collected.tokens += given.unwrap_or(0);
    }
    collected
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

/// Ends the issue of tokens at shutdown. Returns whether the next process of this
/// host may issue its parts of extra turns.
pub async fn close<P: Platform>(cx: &Cx<P>) -> bool {
    settle(cx).await;
    cx.accounts.may_issue_extra() && cx.held_parts.close()
}

async fn settle<P: Platform>(cx: &Cx<P>) {
    for req in cx.held_parts.unsettled() {
        match reservation::draw(cx, &req).await {
            // The drawn tokens stay unused, since the program has already had
            // them.
            Ok(_) => cx.held_parts.record_drawn(&req.program, req.wanted),
            Err(refusal) if refusal.outcome == Outcome::BudgetSpent => {
                cx.held_parts.record_spent(&req.program);
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
