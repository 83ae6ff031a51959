//! Reservations of programs' budgets, with grants from the platform's store.

use std::sync::Arc;
use std::time::Duration;

use super::budget::Balance;
use super::context::Cx;
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

/// Homes that are asked for tokens before this host acts as home.
const MAX_HOMES: usize = 2;
/// Time to come back if the store does not confirm a grant.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Tokens reserved for one turn; what was not handed to the caller goes back.
#[derive(Debug)]
pub struct Reservation<P: Platform> {
    cx: Cx<P>,
    program: Arc<str>,
    reserved: u64,
    sent: u64,
    /// True if no host is known to have seen the program before.
    pub is_first_turn: bool,
}

impl<P: Platform> Drop for Reservation<P> {
    fn drop(&mut self) {
        let Self { reserved, sent, .. } = *self;
        let returned = self.cx.accounts.with_account(&self.program, |account| {
            account.account.settle(reserved, sent);
            if account.retains_unspent && account.drawn_from.is_some() {
                return None;
            }
            account.return_unspent()
        });
        if let Some((home, tokens)) = returned {
            let cx = Arc::clone(&self.cx);
            let program = self.program.to_string();
            self.cx
                .spawner
                .detach(async move { put_back(&cx, &home, program, tokens).await });
        }
    }
}

/// Puts unused tokens into the purse at their home; those that do not arrive
/// stay spent.
pub(super) async fn put_back<P: Platform>(cx: &Cx<P>, home: &Peer, program: String, tokens: u64) {
    let req = PutBackRequest { program, tokens };
    let _reply: Option<()> = exchange::call_peer(cx, home, PUT_BACK_METHOD, &req).await;
}

impl<P: Platform> Reservation<P> {
    /// Counts tokens that go to the caller; false if the reservation does not
    /// hold them.
    pub const fn record_sent(&mut self, tokens: u64) -> bool {
        if self.sent + tokens > self.reserved {
            return false;
        }
        self.sent += tokens;
        true
    }
}

/// Reserves the most that a turn generates of its program's budget.
///
/// # Errors
///
/// [`Outcome::BudgetSpent`] if the budget does not hold the turn, or a refusal
/// with a time to come back if the store does not confirm a grant.
pub async fn reserve<P: Platform>(
    cx: &Cx<P>,
    program: &str,
    budget: u64,
    turn: u64,
) -> Result<Reservation<P>> {
    let program: Arc<str> = program.into();
    let reservation = |reserved, is_first_turn| Reservation {
        cx: Arc::clone(cx),
        program: Arc::clone(&program),
        reserved,
        sent: 0,
        is_first_turn,
    };
    if cx.accounts.reserve(&program, turn).is_ok() {
        return Ok(reservation(turn, false));
    }
    let draw_lock = cx
        .accounts
        .with_account(&program, |a| Arc::clone(&a.draw_lock));
    let _draw_guard = draw_lock.lock().await;
    let Err(wanted) = cx.accounts.reserve(&program, turn) else {
        return Ok(reservation(turn, false));
    };
    let req = DrawRequest {
        program: program.to_string(),
        budget,
        wanted,
        turn,
        may_wait: false,
    };
    let drawn = match draw(cx, &req).await {
        Ok(drawn) => drawn,
        Err(refusal) if refusal.outcome == Outcome::NotRun => {
            // A host that is cut off goes on with what there is; the stream is
            // broken off if that is not enough.
            let given = isolation::draw(cx, &req).await;
            let rest = cx.accounts.with_account(&program, |account| {
                let from_balance = account.balance.as_mut().map_or(0, Balance::take_all);
                account.account.add(given + from_balance);
                account.account.reserve_remaining(turn)
            });
            return rest.map(|rest| reservation(rest, false)).ok_or(refusal);
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
        Ok(reservation(turn, drawn.is_new))
    } else {
        let detail = "another turn of the program took the tokens";
        Err(Refusal::not_run(detail, STORE_RETRY_AFTER))
    }
}

/// Tokens that were drawn from a purse.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// True if this host may keep what it does not need at once.
    pub is_ample: bool,
    /// The home, if it is another host.
    pub home: Option<Peer>,
    /// True if the home had not heard of the program.
    pub is_new: bool,
}

/// Draws tokens at the program's home, or here if no home answers.
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
            // Another home is asked next.
            Some(DrawReply::Leaving) => {
                cx.roster.lock().mark_suspect(&peer.host, Moment::now());
            }
            None => (),
            // The home may be turned away by a store that answers this host.
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
        && !cx.contact.is_up()
        && let Some(drawn) = draw_from_fallback(cx, key, req).await
    {
        return drawn;
    }
    draw_result(reply, None)
}

/// What a reply means for the turn that wanted the tokens.
fn draw_result(reply: DrawReply, home: Option<Peer>) -> Result<Drawn> {
    match reply {
        DrawReply::Drawn { is_ample, is_new } => Ok(Drawn {
            is_ample,
            home,
            is_new,
        }),
        DrawReply::Spent => Err(Refusal::new(
            Outcome::BudgetSpent,
            "the program's budget is spent",
        )),
        DrawReply::Granting | DrawReply::Leaving => Err(grant_refusal("the host is about to end")),
        DrawReply::Unavailable(why) => Err(grant_refusal(&why)),
    }
}

/// Draws at the host that would be home without this one, which the store may
/// answer though it does not answer this host; `None` if that does not settle
/// the draw.
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

/// Asks a home, and again with patience if it needs a grant first: a home that
/// waits for the store is not one that does not answer.
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

fn grant_refusal(why: &str) -> Refusal {
    let detail = format!("the program's budget cannot be granted: {why}");
    Refusal::not_run(detail, STORE_RETRY_AFTER)
}
