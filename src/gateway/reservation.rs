//! Reserves tokens of a program's budget for a turn, drawing them from the
//! program's home host.

use std::sync::Arc;
use std::time::Duration;

use super::budget::Balance;
use super::context::Cx;
use super::context::Gateway;
use super::draw_messages::DrawReply;
use super::draw_messages::DrawRequest;
use super::draw_messages::PutBackRequest;
use super::exchange;
use super::exchange::DRAW_METHOD;
use super::exchange::PUT_BACK_METHOD;
use super::home_balance;
use super::isolation;
use super::refusal::Outcome;
use super::refusal::Refusal;
use super::refusal::Result;
use super::roster::Home;
use super::roster::Peer;
use crate::connection::platform::Platform;
use crate::units::Moment;

/// Number of home hosts that are tried before this host acts as home.
const MAX_HOMES: usize = 2;
/// `retry-after` of a refusal when the store did not confirm a grant.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Tokens reserved for one turn. Tokens that were not sent to the caller are
/// returned on drop.
#[derive(Debug)]
pub struct Reservation<P: Platform> {
    cx: Cx<P>,
    program: Arc<str>,
    reserved: u64,
    sent: u64,
    /// Whether this is the program's first turn, as far as its home host can
    /// tell.
    pub is_first_turn: bool,
    /// Whether the turn is refused, so that the program has yet to begin.
    pub is_refused: bool,
    /// Ids of the engines that are likely to cache the turn's prompt, if the
    /// program's home host has named any.
    pub cached_at: Vec<String>,
}

impl<P: Platform> Drop for Reservation<P> {
    fn drop(&mut self) {
        let Self {
            reserved,
            sent,
            is_refused,
            ..
        } = *self;
        let returned = self.cx.accounts.with_account(&self.program, |account| {
            account.account.settle(reserved, sent);
            // Tokens sent to a home that cannot be reached are lost.
            let is_kept = account.retains_unspent || self.cx.is_isolated();
            // The home host learns of a refusal with the tokens.
            if is_kept && !is_refused && account.drawn_from.is_some() {
                return None;
            }
            let returned = account.return_unspent();
            account.is_refused |= is_refused && account.drawn_from.is_none();
            returned
        });
        if let Some((home, tokens)) = returned {
            let cx = Arc::clone(&self.cx);
            let program = self.program.to_string();
            self.cx
                .spawner
                .detach(async move { put_back(&cx, &home, program, tokens, is_refused).await });
        }
    }
}

/// Returns unused tokens to the balance at their home host. Tokens that do not
/// arrive stay spent. `is_refused` if the program's first turn was refused.
pub(super) async fn put_back<P: Platform>(
    cx: &Cx<P>,
    home: &Peer,
    program: String,
    tokens: u64,
    is_refused: bool,
) {
    let req = PutBackRequest {
        program,
        tokens,
        is_refused,
    };
    let _reply: Option<()> = exchange::call_peer(cx, home, PUT_BACK_METHOD, &req).await;
}

impl<P: Platform> Reservation<P> {
    /// Counts tokens sent to the caller; `false` if they would exceed the
    /// reservation, in which case they must not be sent.
    pub const fn record_sent(&mut self, tokens: u64) -> bool {
        let sent = self.sent.saturating_add(tokens);
        if sent > self.reserved {
            return false;
        }
        self.sent = sent;
        true
    }
}

/// Reserves the maximum of a turn from its program's budget.
///
/// # Errors
///
/// [`Outcome::BudgetSpent`] if the budget does not cover the turn, or a refusal
/// with a retry delay if the store does not confirm a grant.
pub async fn reserve<P: Platform>(
    cx: &Cx<P>,
    program: &str,
    budget: u64,
    turn: u64,
    session: u64,
) -> Result<Reservation<P>> {
    let program: Arc<str> = program.into();
    let reservation = |reserved, is_first_turn, cached_at| Reservation {
        cx: Arc::clone(cx),
        program: Arc::clone(&program),
        reserved,
        sent: 0,
        is_first_turn,
        is_refused: false,
        cached_at,
    };
    if cx.accounts.reserve(&program, turn).is_ok() {
        return Ok(reservation(
            turn,
            false,
            own_locations(cx, &program, session),
        ));
    }
    let draw_lock = cx
        .accounts
        .with_account(&program, |a| Arc::clone(&a.draw_lock));
    let _draw_guard = draw_lock.lock().await;
    let Err(wanted) = cx.accounts.reserve(&program, turn) else {
        return Ok(reservation(
            turn,
            false,
            own_locations(cx, &program, session),
        ));
    };
    let req = DrawRequest {
        program: program.to_string(),
        budget,
        wanted,
        turn,
        may_wait: false,
        session,
    };
    let drawn = match draw(cx, &req).await {
        Ok(drawn) => drawn,
        Err(refusal) if refusal.outcome == Outcome::NotRun && cx.is_isolated() => {
            // An isolated host continues with the tokens it has; the stream is
            // aborted if they run out.
            let given = isolation::draw(cx, &req).await;
            let rest = cx.accounts.with_account(&program, |account| {
                let from_balance = account.balance.as_mut().map_or(0, Balance::take_all);
                account.account.add(given + from_balance);
                account.account.reserve_remaining(turn)
            });
            return rest
                .map(|rest| reservation(rest, false, Vec::new()))
                .ok_or_else(|| isolated_refusal(cx, refusal));
        }
        Err(refusal) => return Err(refusal),
    };
    let reserved = cx.accounts.with_account(&program, |account| {
        account.account.add(wanted);
        account.drawn_from = drawn.home;
        account.retains_unspent = drawn.is_ample;
        account.account.reserve(turn)
    });
    if reserved {
        Ok(reservation(turn, drawn.is_new, drawn.cached_at))
    } else {
        let detail = "another turn of the program took the tokens";
        Err(Refusal::not_run(detail, STORE_RETRY_AFTER))
    }
}

/// Engines that cache a session's prompt, if this host is the program's home.
/// What another host knows may be older than the session's last move.
fn own_locations<P: Platform>(cx: &Gateway<P>, program: &Arc<str>, session: u64) -> Vec<String> {
    cx.accounts.with_account(program, |account| {
        if account.drawn_from.is_some() {
            return Vec::new();
        }
        let candidates = account.lines.candidates(session);
        candidates.into_iter().map(ToOwned::to_owned).collect()
    })
}

/// Result of a successful draw.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// Whether this host may retain unused tokens between turns.
    pub is_ample: bool,
    /// Home host that the tokens were drawn from; `None` for this host.
    pub home: Option<Peer>,
    /// Whether the home host held no balance for the program before the draw.
    pub is_new: bool,
    /// Ids of the engines that are likely to cache the session's prompt.
    pub cached_at: Vec<String>,
}

/// Draws tokens from the program's home host. If none responds, this host acts
/// as home.
///
/// # Errors
///
/// As [`reserve`].
pub async fn draw<P: Platform>(cx: &Cx<P>, req: &DrawRequest) -> Result<Drawn> {
    let key = super::hash_of(&req.program);
    for _ in 0..MAX_HOMES {
        let home = cx.roster.lock().home(key, Moment::now());
        let Home::Other(peer) = home else {
            break;
        };
        match draw_from(cx, &peer, req).await {
            // The next iteration uses another home.
            Some(DrawReply::Leaving) => {
                cx.roster.lock().mark_suspect(&peer.host, Moment::now());
            }
            None => (),
            // The store may reject the home host's calls but accept those of
            // this host.
            Some(DrawReply::Granting | DrawReply::Unavailable(_)) => break,
            Some(reply) => return draw_result(reply, Some(peer)),
        }
    }
    let waiting = DrawRequest {
        may_wait: true,
        ..req.clone()
    };
    let reply = home_balance::draw_here(cx, &waiting).await;
    if matches!(reply, DrawReply::Unavailable(_))
        && !cx.store_contact.is_up()
        && let Some(drawn) = draw_from_fallback(cx, key, req).await
    {
        return drawn;
    }
    draw_result(reply, None)
}

/// Converts a reply to a draw into the result for the turn.
fn draw_result(reply: DrawReply, home: Option<Peer>) -> Result<Drawn> {
    match reply {
        DrawReply::Drawn {
            is_ample,
            is_new,
            cached_at,
        } => Ok(Drawn {
            is_ample,
            home,
            is_new,
            cached_at,
        }),
        DrawReply::Spent => Err(Refusal::new(
            Outcome::BudgetSpent,
            "the program's budget is spent",
        )),
        DrawReply::Granting | DrawReply::Leaving => Err(grant_refusal("the host is about to end")),
        DrawReply::Unavailable(why) => Err(grant_refusal(&why)),
    }
}

/// Draws from the host that would be home without this one, since the store may
/// be reachable from there. `None` if the result is inconclusive.
async fn draw_from_fallback<P: Platform>(
    cx: &Cx<P>,
    key: u64,
    req: &DrawRequest,
) -> Option<Result<Drawn>> {
    let Home::Other(peer) = cx.roster.lock().successor_home(key, Moment::now()) else {
        return None;
    };
    let reply = draw_from(cx, &peer, req).await?;
    let is_settled = matches!(reply, DrawReply::Drawn { .. } | DrawReply::Spent);
    is_settled.then(|| draw_result(reply, Some(peer)))
}

/// Draws from a home host. If it needs a grant first, the call is repeated with
/// a longer time limit, so that a home host that waits for the store is not
/// mistaken for one that is down.
async fn draw_from<P: Platform>(cx: &Cx<P>, peer: &Peer, req: &DrawRequest) -> Option<DrawReply> {
    let mut reply = exchange::call_peer(cx, peer, DRAW_METHOD, req).await?;
    if matches!(reply, DrawReply::Granting) {
        let waiting = DrawRequest {
            may_wait: true,
            ..req.clone()
        };
        let limit = cx.cfg.grant_timeout + cx.cfg.borrow_timeout;
        reply = exchange::call_peer_within(cx, peer, DRAW_METHOD, &waiting, limit).await?;
    }
    if matches!(reply, DrawReply::Spent) {
        cx.spent.add(&req.program, Moment::now());
    }
    Some(reply)
}

/// Refuses a turn for which an isolated data centre has no tokens left. Others have
/// them, so that callers are diverted from now on.
fn isolated_refusal<P: Platform>(cx: &Gateway<P>, refusal: Refusal) -> Refusal {
    cx.readiness.record_token_refusal();
    Refusal {
        retry_after: Some(cx.retry_elsewhere(STORE_RETRY_AFTER)),
        ..refusal
    }
}

fn grant_refusal(why: &str) -> Refusal {
    let detail = format!("the program's budget cannot be granted: {why}");
    Refusal::not_run(detail, STORE_RETRY_AFTER)
}
