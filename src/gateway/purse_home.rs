//! Purses of programs at their home: draws, grants and handing over.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use serde::Serialize;

use super::account::put_back;
use super::accounts::ProgramAccount;
use super::budget;
use super::budget::GrantSize;
use super::budget::Need;
use super::budget::Record;
use super::contact;
use super::context::Cx;
use super::context::Gateway;
use super::draws::DrawReply;
use super::draws::DrawRequest;
use super::draws::HandOverRequest;
use super::draws::HandedPurse;
use super::draws::PutBackRequest;
use super::exchange;
use super::exchange::HAND_OVER_METHOD;
use super::roster::Home;
use super::roster::Peer;
use crate::connection::platform;
use crate::connection::platform::Expect;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Written;
use crate::ids::HostId;
use crate::ids::Version;
use crate::process::events::unix_ms;
use crate::units::Moment;

/// Writers that may come between before a grant is given up.
const MAX_CONFLICTS: usize = 8;
/// Time for which unused tokens stay at a host, for the program's next turn.
const KEPT_IDLE: Duration = Duration::from_secs(3);
/// Pause between two returns of idle tokens.
const TIDY_PERIOD: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct GrantLine<'a> {
    program: &'a str,
    budget: u64,
    /// Tokens that the purse lacked.
    wanted: u64,
    tokens: u64,
    /// Tokens granted to all hosts so far.
    granted: u64,
}

/// Draws tokens from the purse at this host, after a grant if it is needed and
/// the asker may wait for one.
pub async fn draw_here<P: Platform>(cx: &Cx<P>, req: &DrawRequest) -> DrawReply {
    if cx.accounts.is_closed.load(Ordering::Acquire) {
        return DrawReply::Leaving;
    }
    let program: Arc<str> = req.program.as_str().into();
    let is_new = cx
        .accounts
        .with(&program, |account| account.purse.is_none());
    let Err(missing) = draw_from_purse(cx, &program, req) else {
        return drawn(cx, &program, req, is_new);
    };
    if !cx.contact.is_up() {
        return DrawReply::Unavailable("the store does not answer this host".to_owned());
    }
    if !req.may_wait {
        return DrawReply::Granting;
    }
    match wait_for_grant(cx, &program, req, missing).await {
        Ok(()) => drawn(cx, &program, req, is_new),
        Err(reply) => reply,
    }
}

fn drawn<P>(cx: &Gateway<P>, program: &Arc<str>, req: &DrawRequest, is_new: bool) -> DrawReply {
    let is_ample = cx.accounts.with(program, |account| {
        let purse = account.purse.as_ref();
        purse.is_some_and(|purse| purse.is_ample(req.turn))
    });
    DrawReply::Drawn { is_ample, is_new }
}

/// Draws from the purse, or tells how many tokens are missing.
fn draw_from_purse<P>(
    cx: &Gateway<P>,
    program: &Arc<str>,
    req: &DrawRequest,
) -> std::result::Result<(), u64> {
    cx.accounts.with(program, |account| {
        account.open_purse(cx, program, req.budget).draw(req.wanted)
    })
}

/// Waits until grants let the purse hold what is wanted, and draws it. Draws
/// of one program wait for each other, so that one grant serves them all.
async fn wait_for_grant<P: Platform>(
    cx: &Cx<P>,
    program: &Arc<str>,
    req: &DrawRequest,
    mut missing: u64,
) -> std::result::Result<(), DrawReply> {
    let granting = cx.accounts.with(program, |a| Arc::clone(&a.granting));
    let _only_grant = granting.lock().await;
    for _ in 0..MAX_CONFLICTS {
        match draw_from_purse(cx, program, req) {
            Ok(()) => return Ok(()),
            Err(lacks) => missing = missing.min(lacks),
        }
        let (tx, rx) = async_channel::bounded(1);
        let need = Need {
            budget: req.budget,
            wanted: missing,
            size: grant_size(cx, program),
        };
        let grant = grant_into_purse(Arc::clone(cx), Arc::clone(program), need);
        // The grant goes on if nobody waits any more: its tokens reach the purse.
        cx.spawner.detach(async move {
            let _nobody_waits = tx.try_send(grant.await);
        });
        let expire = async {
            Timer::after(cx.cfg.grant_timeout).await;
            Err(PlatformError::UnknownOutcome)
        };
        let outcome = async {
            rx.recv()
                .await
                .unwrap_or(Err(PlatformError::UnknownOutcome))
        };
        match future::or(outcome, expire).await {
            Ok(true) => (),
            Ok(false) => {
                cx.spent.add(program, Moment::now());
                return Err(DrawReply::Spent);
            }
            Err(e) => {
                contact::doubt_store(cx);
                return Err(DrawReply::Unavailable(e.to_string()));
            }
        }
    }
    let why = "other turns of the program took every grant";
    Err(DrawReply::Unavailable(why.to_owned()))
}

/// Puts a grant into the purse; false if the budget is spent.
async fn grant_into_purse<P: Platform>(
    cx: Cx<P>,
    program: Arc<str>,
    need: Need,
) -> platform::Result<bool> {
    let Some(tokens) = fetch_grant(&cx, &program, &need).await? else {
        return Ok(false);
    };
    cx.metrics.grants.inc();
    cx.accounts.with(&program, |account| {
        account.open_purse(&cx, &program, need.budget).put(tokens);
    });
    Ok(true)
}

fn grant_size<P>(cx: &Gateway<P>, program: &str) -> GrantSize {
    let key = super::hash_of(program);
    if cx.roster.lock().is_rightful_home(key) {
        GrantSize::Ample
    } else {
        GrantSize::Modest
    }
}

/// Takes up purses that another host hands over.
pub fn take_over<P: Platform>(cx: &Cx<P>, req: HandOverRequest) {
    for handed in req.purses {
        let program: Arc<str> = handed.program.into();
        let purse = |account: &mut ProgramAccount| {
            let purse = account.open_purse(cx, &program, handed.budget);
            purse.put(handed.tokens);
        };
        cx.accounts.with(&program, purse);
    }
}

/// Returns idle tokens to their homes until the process ends.
pub async fn run<P: Platform>(cx: Cx<P>) {
    loop {
        Timer::after(TIDY_PERIOD).await;
        return_idle(&cx).await;
        hand_over(&cx, Which::Misplaced).await;
    }
}

/// Hands over all purses when the process is about to end.
pub async fn close<P: Platform>(cx: &Cx<P>) {
    cx.accounts.is_closed.store(true, Ordering::Release);
    hand_over(cx, Which::All).await;
}

/// Purses to hand over.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Which {
    /// All of them.
    All,
    /// Those whose home is another host that answers.
    Misplaced,
}

/// Puts tokens that no turn has used lately back into their purses.
async fn return_idle<P: Platform>(cx: &Cx<P>) {
    let now = Moment::now();
    let mut returned = Vec::new();
    cx.accounts.each(|program, account| {
        if now.since(account.used) < KEPT_IDLE {
            return;
        }
        if let Some((home, tokens)) = account.return_rest() {
            returned.push((home, program.to_string(), tokens));
        }
    });
    for (home, program, tokens) in returned {
        put_back(cx, &home, program, tokens).await;
    }
}

async fn hand_over<P: Platform>(cx: &Cx<P>, which: Which) {
    let now = Moment::now();
    let mut purses: HashMap<HostId, (Peer, HandOverRequest)> = HashMap::new();
    cx.accounts.each(|program, account| {
        let Some(purse) = &mut account.purse else {
            return;
        };
        let key = super::hash_of(program);
        let home = {
            let roster = cx.roster.lock();
            match which {
                Which::All => roster.next_home(key, now),
                Which::Misplaced => roster.home(key, now),
            }
        };
        let Home::Other(peer) = home else {
            return;
        };
        let tokens = purse.empty();
        if tokens > 0 {
            let empty = HandOverRequest { purses: Vec::new() };
            let (_, req) = purses
                .entry(peer.host.clone())
                .or_insert_with(|| (peer, empty));
            req.purses.push(HandedPurse {
                program: program.to_string(),
                budget: purse.budget(),
                tokens,
            });
        }
    });
    for (peer, req) in purses.into_values() {
        // Purses that do not arrive stay spent.
        let _arrived: Option<()> = exchange::call_in_time(cx, &peer, HAND_OVER_METHOD, &req).await;
    }
}

/// Puts unspent tokens back into the purse at this host.
pub fn put_back_here<P: Platform>(cx: &Cx<P>, req: &PutBackRequest) {
    let program: Arc<str> = req.program.as_str().into();
    cx.accounts
        .with(&program, |account| match &mut account.purse {
            Some(purse) => purse.put(req.tokens),
            // The purse was drawn from before this process started.
            None => log::debug!("unspent tokens of an unknown program are dropped"),
        });
}

/// Takes a grant from the program's record; `None` if the budget is spent.
async fn fetch_grant<P: Platform>(
    cx: &Gateway<P>,
    program: &Arc<str>,
    need: &Need,
) -> platform::Result<Option<u64>> {
    let name = object_name(program);
    // A program's first grant finds no record, which saves the read.
    let mut known = seen(cx, program);
    for _ in 0..MAX_CONFLICTS {
        let record = known.map(|(_, record)| record);
        let Some(grant) = budget::next_grant(record, need, unix_ms()) else {
            return Ok(None);
        };
        let expect = known.map_or(Expect::Absent, |(version, _)| Expect::At(version));
        let written =
            platform::write_value(&cx.store, budget::KIND, &name, expect, &grant.record).await?;
        if let Written::Done(version) = written {
            note(cx, program, version, grant.record);
            let line = GrantLine {
                program,
                budget: need.budget,
                wanted: need.wanted,
                tokens: grant.tokens,
                granted: grant.record.granted,
            };
            cx.log.request("budget-granted", &line);
            return Ok(Some(grant.tokens));
        }
        known = platform::read_value(&cx.store, budget::KIND, &name).await?;
        if let Some((version, record)) = known {
            note(cx, program, version, record);
        }
    }
    Err(PlatformError::Unavailable(
        "other hosts changed the record at the same time".to_owned(),
    ))
}

fn seen<P>(cx: &Gateway<P>, program: &Arc<str>) -> Option<(Version, Record)> {
    cx.accounts.with(program, |account| {
        account.purse.and_then(|purse| purse.seen())
    })
}

fn note<P>(cx: &Gateway<P>, program: &Arc<str>, version: Version, record: Record) {
    cx.accounts.with(program, |account| {
        if let Some(purse) = &mut account.purse {
            purse.note(version, record);
        }
    });
}

/// Name of a program's record: its id, which may hold any character, in hex.
fn object_name(program: &str) -> String {
    hex::encode(program)
}
