//! Admission control by customers' rates, with tokens borrowed from other
//! hosts.

use std::hash::BuildHasher;
use std::hash::RandomState;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use super::context::Gateway;
use super::exchange;
use super::exchange::BORROW_METHOD;
use super::quota::Admission;
use super::quota::BorrowPlan;
use super::quota::ProgramStage;
use super::quota::Quotas;
use super::quota::Share;
use super::refusal::Outcome;
use super::refusal::Refusal;
use super::refusal::Result;
use super::roster::Peer;
use super::routes::Customer;
use super::routes::Rate;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::units::Moment;

const SHARDS: usize = 8;
/// Fraction of the time to its deadline that a request may wait for a token;
/// the remainder is left for its endpoint.
const MAX_WAIT_SHARE: f64 = 0.25;
/// Number of hosts that are tried in sequence to reserve a token ahead of time.
const MAX_RESERVE_ATTEMPTS: usize = 4;
/// Number of hosts that a waiting request asks for tokens. A small rate is
/// refilled by about as many.
const MAX_LENDERS: usize = 8;

/// Requests rate tokens from another host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BorrowRequest {
    /// Host that sends the request.
    pub from: HostId,
    /// Name of the customer whose rate it is.
    pub customer: String,
    /// Number of tokens requested.
    pub wanted: u32,
    /// Time that the sender can wait for a token, in milliseconds. If 0, only
    /// tokens that are available now are lent.
    pub patience_ms: u64,
}

/// Reply with the tokens lent by another host.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct BorrowReply {
    /// Number of tokens that now belong to the borrower.
    pub given: u32,
    /// Time until the tokens are available, in milliseconds.
    pub after_ms: u64,
}

/// Rate buckets of all customers, in shards.
#[derive(Debug)]
pub struct Rates {
    shards: [Mutex<Quotas>; SHARDS],
    hasher: RandomState,
}

impl Rates {
    /// Creates empty buckets that refill from `now` on.
    pub fn new(now: Moment) -> Self {
        let rates = Self {
            shards: Default::default(),
            hasher: RandomState::new(),
        };
        for shard in &rates.shards {
            shard.lock().start(now);
        }
        rates
    }

    fn shard(&self, customer: &str) -> &Mutex<Quotas> {
        let hash = self.hasher.hash_one(customer);
        let index = usize::try_from(hash % SHARDS as u64).unwrap_or_default();
        &self.shards[index]
    }

    fn active_customers(&self) -> Vec<Arc<str>> {
        self.shards
            .iter()
            .flat_map(|shard| shard.lock().active_customers())
            .collect()
    }
}

/// Admits a request if its customer's rate allows it, borrowing or waiting for
/// a token if needed.
///
/// # Errors
///
/// A refusal with the time until the rate admits a request.
pub async fn admit<P: Platform>(
    cx: &Gateway<P>,
    customer: &Customer,
    stage: ProgramStage,
    deadline: Moment,
) -> Result<()> {
    let Some(rate) = customer.rate else {
        return Ok(());
    };
    let share = current_share(cx, &customer.name, rate);
    let taken = {
        let mut shard = cx.rates.shard(&customer.name).lock();
        shard.take(&customer.name, rate, share, stage, Moment::now())
    };
    let Admission::Denied { mut wait } = taken else {
        return Ok(());
    };
    let lenders = lenders(cx, &customer.name, rate);
    let mut left = &lenders[..lenders.len().min(MAX_LENDERS)];
    while !left.is_empty() {
        let asked = borrow(cx, &customer.name, rate, left).await;
        left = &left[asked..];
        let mut shard = cx.rates.shard(&customer.name).lock();
        if shard.retry_take(&customer.name, rate, share, stage, Moment::now()) {
            return Ok(());
        }
    }
    if stage == ProgramStage::Started {
        let max_wait = Moment::now().until(deadline).mul_f64(MAX_WAIT_SHARE);
        let taken = {
            let mut shard = cx.rates.shard(&customer.name).lock();
            shard.reserve_ahead(&customer.name, rate, share, max_wait, Moment::now())
        };
        match taken {
            Admission::Granted => return Ok(()),
            Admission::Delayed { wait } => {
                Timer::after(wait).await;
                return Ok(());
            }
            Admission::Denied { wait: refill_wait } => wait = refill_wait,
        }
        if let Some(delay) = reserve_at_lender(cx, &customer.name, &lenders, max_wait).await {
            Timer::after(delay).await;
            return Ok(());
        }
    }
    let why = match stage {
        ProgramStage::New => {
            "what is left of the customer's rate is kept for programs that have begun"
        }
        ProgramStage::Started => "the customer's rate is used up",
    };
    Err(Refusal {
        retry_after: Some(wait),
        ..Refusal::new(Outcome::OverRate, why)
    })
}

/// Returns the token of a request that did not run.
pub fn refund<P: Platform>(cx: &Gateway<P>, customer: &Customer) {
    if let Some(rate) = customer.rate {
        let share = current_share(cx, &customer.name, rate);
        let mut shard = cx.rates.shard(&customer.name).lock();
        shard.refund(&customer.name, rate, share, Moment::now());
    }
}

/// Lends tokens to another host that requests them.
pub fn lend<P: Platform>(cx: &Gateway<P>, req: &BorrowRequest) -> BorrowReply {
    let now = Moment::now();
    cx.record_message(&req.from);
    let rate = rate_of(cx, &req.customer);
    let (given, after_ms) = rate.map_or((0, 0), |rate| {
        let share = current_share(cx, &req.customer, rate);
        let customer: Arc<str> = req.customer.as_str().into();
        let mut shard = cx.rates.shard(&customer).lock();
        let given = shard.lend(&customer, rate, share, req.wanted, now);
        if given > 0 || req.patience_ms == 0 {
            return (given, 0);
        }
        let max_wait = Duration::from_millis(req.patience_ms);
        match shard.reserve_ahead(&customer, rate, share, max_wait, now) {
            Admission::Delayed { wait } => (1, u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
            Admission::Denied { .. } | Admission::Granted => (0, 0),
        }
    });
    BorrowReply { given, after_ms }
}

/// Borrows tokens for every customer whose bucket runs low at this host.
pub async fn replenish_low<P: Platform>(cx: &Gateway<P>) {
    for customer in cx.rates.active_customers() {
        let Some(rate) = rate_of(cx, &customer) else {
            continue;
        };
        let share = current_share(cx, &customer, rate);
        let wanted = {
            let mut shard = cx.rates.shard(&customer).lock();
            shard.shortfall_ahead(&customer, rate, share, Moment::now())
        };
        if wanted > 0 {
            let lenders = lenders(cx, &customer, rate);
            borrow(cx, &customer, rate, &lenders).await;
        }
    }
}

fn current_share<P>(cx: &Gateway<P>, customer: &str, rate: Rate) -> Share {
    let key = super::hash_of(customer);
    cx.roster.lock().share(key, rate, Moment::now())
}

fn rate_of<P>(cx: &Gateway<P>, customer: &str) -> Option<Rate> {
    let in_force = cx.in_force.load();
    in_force.table.rate_of(customer)
}

/// Returns the hosts that may lend tokens, in random order, with responsive
/// hosts first, and among them those of this data centre.
fn lenders<P>(cx: &Gateway<P>, customer: &str, rate: Rate) -> Vec<Peer> {
    let key = super::hash_of(customer);
    let local = &cx.cfg.place.data_centre;
    cx.roster.lock().lenders(key, rate, local, Moment::now())
}

/// Borrows tokens from the first one or two hosts in parallel and adds them to
/// the bucket. Returns the number of hosts asked.
async fn borrow<P: Platform>(
    cx: &Gateway<P>,
    customer: &Arc<str>,
    rate: Rate,
    lenders: &[Peer],
) -> usize {
    let now = Moment::now();
    let share = current_share(cx, customer, rate);
    let wanted = {
        let mut shard = cx.rates.shard(customer).lock();
        shard.shortfall(customer, rate, share, now)
    };
    let plan = BorrowPlan::new(wanted, lenders.len());
    let lenders = &lenders[..plan.lenders];
    let req = BorrowRequest {
        from: cx.cfg.place.host.clone(),
        customer: customer.to_string(),
        wanted: plan.each,
        patience_ms: 0,
    };
    let given = match lenders {
        [] => 0,
        [only] => request_tokens(cx, only, &req).await,
        [first, second, ..] => {
            let (first, second) = future::zip(
                request_tokens(cx, first, &req),
                request_tokens(cx, second, &req),
            )
            .await;
            first + second
        }
    };
    if given > 0 {
        cx.metrics.borrowed.inc_by(u64::from(given));
        let mut shard = cx.rates.shard(customer).lock();
        shard.receive(customer, rate, share, given, Moment::now());
    }
    lenders.len()
}

/// Reserves a token of another host's refill; returns the time until it is
/// available, or `None` if no host can reserve one in time.
async fn reserve_at_lender<P: Platform>(
    cx: &Gateway<P>,
    customer: &str,
    lenders: &[Peer],
    max_wait: Duration,
) -> Option<Duration> {
    let req = BorrowRequest {
        from: cx.cfg.place.host.clone(),
        customer: customer.to_string(),
        wanted: 1,
        patience_ms: u64::try_from(max_wait.as_millis()).unwrap_or(u64::MAX),
    };
    for peer in lenders.iter().take(MAX_RESERVE_ATTEMPTS) {
        let reply = exchange::call_peer::<_, _, BorrowReply>(cx, peer, BORROW_METHOD, &req).await;
        if let Some(reply) = reply.filter(|reply| reply.given > 0) {
            return Some(Duration::from_millis(reply.after_ms));
        }
    }
    None
}

async fn request_tokens<P: Platform>(cx: &Gateway<P>, peer: &Peer, req: &BorrowRequest) -> u32 {
    // If the reply is lost, its tokens are lost too, so none are issued twice.
    let reply = exchange::call_peer::<_, _, BorrowReply>(cx, peer, BORROW_METHOD, req).await;
    reply.map_or(0, |reply| reply.given)
}
