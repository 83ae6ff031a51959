//! Balances of programs at their home host: draws, grants, returns and
//! hand-over to another home.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use serde::Serialize;

use super::accounts::ProgramAccount;
use super::budget;
use super::budget::GrantRequest;
use super::budget::GrantSize;
use super::budget::Record;
use super::contact;
use super::context::Cx;
use super::context::Gateway;
use super::draw_messages::DrawReply;
use super::draw_messages::DrawRequest;
use super::draw_messages::HandOverRequest;
use super::draw_messages::HandedBalance;
use super::draw_messages::PutBackRequest;
use super::exchange;
use super::exchange::HAND_OVER_METHOD;
use super::isolation;
use super::reservation::put_back;
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

/// Number of conflicting writes after which a grant is given up.
const MAX_WRITE_CONFLICTS: usize = 8;
/// Time that unused tokens stay at a host for the program's next turn.
const UNSPENT_RETENTION: Duration = Duration::from_secs(3);
/// Time after which hosts that did not give their part of an allowance are asked
/// again.
const COLLECT_PERIOD: Duration = Duration::from_secs(2);
/// Interval between two returns of idle tokens.
const RETURN_PERIOD: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct GrantLine<'a> {
    program: &'a str,
    budget: u64,
    /// Tokens missing from the balance.
    wanted: u64,
    tokens: u64,
    /// Tokens granted to all hosts so far.
    granted: u64,
}

/// Draws tokens from the balance at this host. If a grant is needed, waits for
/// it only if the request allows that.
pub async fn draw_here<P: Platform>(cx: &Cx<P>, req: &DrawRequest) -> DrawReply {
    if cx.accounts.is_closed.load(Ordering::Acquire) {
        return DrawReply::Leaving;
    }
    let program: Arc<str> = req.program.as_str().into();
    let is_new = cx.accounts.with_account(&program, |account| {
        let is_refused = std::mem::take(&mut account.is_refused);
        is_refused || account.balance.is_none()
    });
    let Err(missing) = draw_from_balance(cx, &program, req) else {
        return drawn_reply(cx, &program, req, is_new);
    };
    if !cx.store_contact.is_up() && !may_collect(cx, &program) {
        return store_lost();
    }
    if !req.may_wait {
        return DrawReply::Granting;
    }
    match draw_after_grant(cx, &program, req, missing).await {
        Ok(()) => drawn_reply(cx, &program, req, is_new),
        Err(reply) => reply,
    }
}

fn store_lost() -> DrawReply {
    DrawReply::Unavailable("the store does not answer this host".to_owned())
}

/// Whether this host, as the program's home, should ask other hosts for parts of
/// its allowance.
fn may_collect<P: Platform>(cx: &Gateway<P>, program: &Arc<str>) -> bool {
    let now = Moment::now();
    let is_due = cx.accounts.with_account(program, |account| {
        let last = account.collected_at;
        let is_over = last.is_none_or(|at| now.since(at) >= COLLECT_PERIOD);
        !account.has_collected_all && is_over
    });
    let home = || cx.roster.lock().home(super::hash_of(program), now);
    is_due && !cx.is_isolated() && home() == Home::Own
}

fn drawn_reply<P>(
    cx: &Gateway<P>,
    program: &Arc<str>,
    req: &DrawRequest,
    is_new: bool,
) -> DrawReply {
    cx.accounts.with_account(program, |account| {
        let balance = account.balance.as_ref();
        let candidates = account.lines.candidates(req.session);
        DrawReply::Drawn {
            is_ample: balance.is_some_and(|balance| balance.is_ample(req.turn)),
            is_new,
            cached_at: candidates.into_iter().map(ToOwned::to_owned).collect(),
        }
    })
}

/// Draws from the balance; the error is the number of missing tokens.
fn draw_from_balance<P>(
    cx: &Gateway<P>,
    program: &Arc<str>,
    req: &DrawRequest,
) -> std::result::Result<(), u64> {
    cx.accounts.with_account(program, |account| {
        account
            .open_balance(cx, program, req.budget)
            .draw(req.wanted)
    })
}

/// Draws tokens after adding grants to the balance. Draws of one program wait
/// for each other, so that one grant serves them all.
async fn draw_after_grant<P: Platform>(
    cx: &Cx<P>,
    program: &Arc<str>,
    req: &DrawRequest,
    mut missing: u64,
) -> std::result::Result<(), DrawReply> {
    let grant_lock = cx
        .accounts
        .with_account(program, |a| Arc::clone(&a.grant_lock));
    let _grant_guard = grant_lock.lock().await;
    if draw_from_balance(cx, program, req).is_ok() {
        return Ok(());
    }
    if may_collect(cx, program) {
        cx.accounts.with_account(program, |account| {
            account.collected_at = Some(Moment::now());
        });
        let collected = isolation::collect_allowance(cx, program, req.budget).await;
        cx.accounts.with_account(program, |account| {
            account.has_collected_all = collected.is_complete;
            let balance = account.open_balance(cx, program, req.budget);
            balance.deposit(collected.tokens);
        });
        if draw_from_balance(cx, program, req).is_ok() {
            return Ok(());
        }
    }
    if !cx.store_contact.is_up() {
        return Err(store_lost());
    }
    for _ in 0..MAX_WRITE_CONFLICTS {
        match draw_from_balance(cx, program, req) {
            Ok(()) => return Ok(()),
            Err(shortfall) => missing = missing.min(shortfall),
        }
        let (tx, rx) = async_channel::bounded(1);
        let request = GrantRequest {
            budget: req.budget,
            wanted: missing,
            size: grant_size(cx, program),
        };
        let grant = deposit_grant(Arc::clone(cx), Arc::clone(program), request);
        // A grant completes even if nobody waits for it any more: its tokens
        // are added to the balance.
        cx.spawner.detach(async move {
            let _result = tx.try_send(grant.await);
        });
        let timeout = async {
            Timer::after(cx.cfg.grant_timeout).await;
            Err(PlatformError::UnknownOutcome)
        };
        let outcome = async {
            rx.recv()
                .await
                .unwrap_or(Err(PlatformError::UnknownOutcome))
        };
        match future::or(outcome, timeout).await {
            Ok(true) => (),
            Ok(false) => {
                cx.spent.add(program, Moment::now());
                return Err(DrawReply::Spent);
            }
            Err(e) => {
                contact::check_store(cx);
                return Err(DrawReply::Unavailable(e.to_string()));
            }
        }
    }
    let why = "other turns of the program took every grant";
    Err(DrawReply::Unavailable(why.to_owned()))
}

/// Adds a grant to the balance; `false` if the budget is spent.
async fn deposit_grant<P: Platform>(
    cx: Cx<P>,
    program: Arc<str>,
    request: GrantRequest,
) -> platform::Result<bool> {
    let Some(tokens) = fetch_grant(&cx, &program, &request).await? else {
        return Ok(false);
    };
    cx.metrics.grants.inc();
    cx.accounts.with_account(&program, |account| {
        account
            .open_balance(&cx, &program, request.budget)
            .deposit(tokens);
    });
    Ok(true)
}

fn grant_size<P>(cx: &Gateway<P>, program: &str) -> GrantSize {
    let key = super::hash_of(program);
    if cx.roster.lock().is_preferred_home(key) {
        GrantSize::Large
    } else {
        GrantSize::Small
    }
}

/// Adds balances that another host handed over.
pub fn receive_balances<P: Platform>(cx: &Cx<P>, req: HandOverRequest) {
    for handed in req.balances {
        let program: Arc<str> = handed.program.into();
        let deposit = |account: &mut ProgramAccount| {
            let balance = account.open_balance(cx, &program, handed.budget);
            balance.deposit(handed.tokens);
        };
        cx.accounts.with_account(&program, deposit);
    }
}

/// Returns idle tokens and hands over misplaced balances until the process
/// ends.
pub async fn run<P: Platform>(cx: Cx<P>) {
    loop {
        Timer::after(RETURN_PERIOD).await;
        return_idle(&cx).await;
        hand_over(&cx, HandOverScope::Misplaced).await;
    }
}

/// Hands over all balances at shutdown.
pub async fn close<P: Platform>(cx: &Cx<P>) {
    cx.accounts.is_closed.store(true, Ordering::Release);
    hand_over(cx, HandOverScope::All).await;
}

/// Which balances to hand over.
#[derive(Clone, Copy, Eq, PartialEq)]
enum HandOverScope {
    All,
    /// Balances whose home is another host that responds.
    Misplaced,
}

/// Returns tokens that no turn used recently to their balances.
async fn return_idle<P: Platform>(cx: &Cx<P>) {
    if cx.is_isolated() {
        // They would be lost on the way.
        return;
    }
    let now = Moment::now();
    let mut returned = Vec::new();
    cx.accounts.for_each(|program, account| {
        if now.since(account.last_used) < UNSPENT_RETENTION {
            return;
        }
        if let Some((home, tokens)) = account.return_unspent() {
            returned.push((home, program.to_string(), tokens));
        }
    });
    for (home, program, tokens) in returned {
        put_back(cx, &home, program, tokens, false).await;
    }
}

async fn hand_over<P: Platform>(cx: &Cx<P>, scope: HandOverScope) {
    let now = Moment::now();
    let mut balances: HashMap<HostId, (Peer, HandOverRequest)> = HashMap::new();
    cx.accounts.for_each(|program, account| {
        let Some(balance) = &mut account.balance else {
            return;
        };
        let key = super::hash_of(program);
        let home = {
            let roster = cx.roster.lock();
            match scope {
                HandOverScope::All => roster.successor_home(key, now),
                HandOverScope::Misplaced => roster.home(key, now),
            }
        };
        let Home::Other(peer) = home else {
            return;
        };
        let tokens = balance.take_all();
        if tokens > 0 {
            let empty = HandOverRequest {
                balances: Vec::new(),
            };
            let (_, req) = balances
                .entry(peer.host.clone())
                .or_insert_with(|| (peer, empty));
            req.balances.push(HandedBalance {
                program: program.to_string(),
                budget: balance.budget(),
                tokens,
            });
        }
    });
    for (peer, req) in balances.into_values() {
        // Balances that do not arrive stay spent.
        let _reply: Option<()> = exchange::call_peer(cx, &peer, HAND_OVER_METHOD, &req).await;
    }
}

/// Returns unspent tokens to the balance at this host.
pub fn return_to_balance<P: Platform>(cx: &Cx<P>, req: &PutBackRequest) {
    let program: Arc<str> = req.program.as_str().into();
    cx.accounts
        .with_account(&program, |account| match &mut account.balance {
            Some(balance) => {
                balance.deposit(req.tokens);
                account.is_refused |= req.is_refused;
            }
            // The tokens were drawn before this process started.
            None => log::debug!("dropping unspent tokens of a program without a balance"),
        });
}

/// Takes a grant from the program's record; `None` if the budget is spent.
async fn fetch_grant<P: Platform>(
    cx: &Gateway<P>,
    program: &Arc<str>,
    request: &GrantRequest,
) -> platform::Result<Option<u64>> {
    let name = record_name(program);
    // Assuming that a new program has no record saves a read.
    let mut current = last_record(cx, program);
    for _ in 0..MAX_WRITE_CONFLICTS {
        let record = current.map(|(_, record)| record);
        let Some(grant) = budget::next_grant(record, request, unix_ms()) else {
            return Ok(None);
        };
        let expect = current.map_or(Expect::Absent, |(version, _)| Expect::At(version));
        let written =
            platform::write_value(&cx.store, budget::KIND, &name, expect, &grant.record).await?;
        if let Written::Done(version) = written {
            set_last_record(cx, program, version, grant.record);
            let line = GrantLine {
                program,
                budget: request.budget,
                wanted: request.wanted,
                tokens: grant.tokens,
                granted: grant.record.granted,
            };
            cx.log.request("budget-granted", &line);
            return Ok(Some(grant.tokens));
        }
        current = platform::read_value(&cx.store, budget::KIND, &name).await?;
        if let Some((version, record)) = current {
            set_last_record(cx, program, version, record);
        }
    }
    Err(PlatformError::Unavailable(
        "other hosts changed the record at the same time".to_owned(),
    ))
}

fn last_record<P>(cx: &Gateway<P>, program: &Arc<str>) -> Option<(Version, Record)> {
    cx.accounts.with_account(program, |account| {
        account.balance.and_then(|balance| balance.last_record())
    })
}

fn set_last_record<P>(cx: &Gateway<P>, program: &Arc<str>, version: Version, record: Record) {
    cx.accounts.with_account(program, |account| {
        if let Some(balance) = &mut account.balance {
            balance.set_last_record(version, record);
        }
    });
}

/// Returns the object name of a program's record: the program id in hex, since
/// an id may contain any character.
fn record_name(program: &str) -> String {
    hex::encode(program)
}
