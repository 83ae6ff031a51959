//! Rate limits of customers across all hosts, as token buckets whose tokens are
//! never issued twice.
//!
//! Each host refills its share of every customer's rate. A host that runs short
//! borrows tokens from others, and a lent token is removed from the lender's
//! bucket. A process starts with empty buckets, since the previous process on
//! the host may have spent its tokens.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::routes::Rate;
use crate::units::Moment;

/// Weight of the newest sample in the moving average of a customer's demand.
const DEMAND_WEIGHT: f64 = 0.5;
/// A host that lends keeps the tokens that its own demand needs for this time.
const LENDER_RESERVE: Duration = Duration::from_millis(250);
/// Fraction of the capacity above which a bucket borrows no tokens.
const LOW_SHARE: f64 = 0.85;
/// A bucket borrows when it holds fewer tokens than its demand needs for this
/// time.
const LOW_DEMAND_TIME: Duration = Duration::from_millis(500);

/// Fraction of a bucket that is reserved for started programs. A program sends
/// many requests over several seconds, so new programs are admitted only while
/// the customer's demand is below its rate.
const STARTED_RESERVE: f64 = 0.75;
/// Maximum time that a request of a started program waits for a token; a small
/// part of the time that any such request may take.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(500);

/// Fraction of a rate that this host refills, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share(pub f64);

/// Number of lenders that are asked in parallel.
const BORROW_FANOUT: usize = 2;

/// How many lenders to ask for tokens at the same time, and for how many each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BorrowPlan {
    /// Number of lenders.
    pub lenders: usize,
    /// Tokens requested from each.
    pub each: u32,
}

impl BorrowPlan {
    /// Plans to borrow `wanted` tokens, at least one, from `available` lenders.
    ///
    /// Never more lenders are asked than tokens are wanted: in a large fleet
    /// most hosts need a single token of a customer, and a second one would lie
    /// idle there.
    pub fn new(wanted: u32, available: usize) -> Self {
        let wanted = wanted.max(1);
        let most = usize::try_from(wanted).unwrap_or(usize::MAX);
        let lenders = BORROW_FANOUT.min(most).min(available);
        let parts = u32::try_from(lenders.max(1)).unwrap_or(1);
        Self {
            lenders,
            each: wanted.div_ceil(parts),
        }
    }
}

/// Token bucket of one customer at this host.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Moment,
    /// Moving average of the requests per second.
    demand: f64,
    requests: f64,
    window_start: Moment,
}

impl Bucket {
    const fn empty(now: Moment) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
            demand: 0.0,
            requests: 0.0,
            window_start: now,
        }
    }

    fn refill(&mut self, rate: Rate, share: Share, now: Moment) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let added = rate.per_s * share.0 * elapsed;
        let capacity = self.capacity(rate, share, now);
        self.tokens = (self.tokens + added).min(capacity);
        let window_secs = now.since(self.window_start).as_secs_f64();
        if window_secs >= 1.0 {
            let rate_in_window = self.requests / window_secs;
            self.demand += DEMAND_WEIGHT * (rate_in_window - self.demand);
            self.requests = 0.0;
            self.window_start = now;
        }
    }

    /// Returns the capacity: this host's share of the burst or, at a host that
    /// only borrows, as many tokens as its demand needs.
    fn capacity(&self, rate: Rate, share: Share, now: Moment) -> f64 {
        let held = if share.0 > 0.0 {
            rate.burst * share.0
        } else {
            self.current_demand(now) * LOW_DEMAND_TIME.as_secs_f64()
        };
        held.max(1.0)
    }

    /// Returns the number of tokens that the bucket must hold to admit a
    /// request. New programs are admitted only from the upper part of a bucket,
    /// so that started ones are not refused midway.
    fn needed(&self, rate: Rate, share: Share, stage: ProgramStage, now: Moment) -> f64 {
        match stage {
            ProgramStage::New => (self.capacity(rate, share, now) * STARTED_RESERVE).max(1.0),
            ProgramStage::Started => 1.0,
        }
    }

    /// Takes a token if the bucket holds at least `needed`.
    fn try_take(&mut self, needed: f64) -> bool {
        let has_token = self.tokens >= needed;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the time until the refill brings the bucket to `needed` tokens,
    /// at most [`MAX_RETRY_AFTER`].
    fn wait_for(&self, needed: f64, rate: Rate, share: Share) -> Duration {
        let per_s = (rate.per_s * share.0).max(f64::MIN_POSITIVE);
        let seconds = (needed - self.tokens) / per_s;
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_RETRY_AFTER.as_secs_f64()))
    }

    /// Returns the demand: the moving average or, if higher, the rate in the
    /// current window.
    fn current_demand(&self, now: Moment) -> f64 {
        let window_secs = now.since(self.window_start).as_secs_f64().max(0.25);
        self.demand.max(self.requests / window_secs)
    }
}

/// Whether a request starts a new program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgramStage {
    /// The request starts a program; no work is lost if it is refused.
    New,
    /// The request belongs to a started program, or to none.
    Started,
}

/// Result of a request for a rate token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// A token was taken; the request may proceed.
    Granted,
    /// The next token is reserved for the request, which may proceed after
    /// `wait`.
    Delayed {
        /// Time until the token is available.
        wait: Duration,
    },
    /// No token is available at this host.
    Denied {
        /// Time until this host's own refill yields enough tokens.
        wait: Duration,
    },
}

/// Buckets of the customers at one host.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<Arc<str>, Bucket>,
    started: Option<Moment>,
}

impl Quotas {
    fn bucket(
        &mut self,
        customer: &Arc<str>,
        rate: Rate,
        share: Share,
        now: Moment,
    ) -> &mut Bucket {
        // A new bucket refills from the start of the host, not from its first
        // use.
        let started = *self.started.get_or_insert(now);
        let bucket = self
            .buckets
            .entry(Arc::clone(customer))
            .or_insert_with(|| Bucket::empty(started));
        bucket.refill(rate, share, now);
        bucket
    }

    /// Starts the refill of all buckets; no effect after the first call.
    pub fn start(&mut self, now: Moment) {
        self.started.get_or_insert(now);
    }

    /// Takes a token for a request and counts the request as demand.
    pub fn take(
        &mut self,
        customer: &Arc<str>,
        rate: Rate,
        share: Share,
        stage: ProgramStage,
        now: Moment,
    ) -> Admission {
        let bucket = self.bucket(customer, rate, share, now);
        bucket.requests += 1.0;
        let needed = bucket.needed(rate, share, stage, now);
        if bucket.try_take(needed) {
            return Admission::Granted;
        }
        let wait = bucket.wait_for(needed, rate, share);
        Admission::Denied { wait }
    }

    /// Takes a token for a request that `take` has already counted.
    pub fn retry_take(
        &mut self,
        customer: &Arc<str>,
        rate: Rate,
        share: Share,
        stage: ProgramStage,
        now: Moment,
    ) -> bool {
        let bucket = self.bucket(customer, rate, share, now);
        let needed = bucket.needed(rate, share, stage, now);
        bucket.try_take(needed)
    }

    /// Reserves the next token of this host's refill for a request of a started
    /// program, if it is available within `max_wait`.
    pub fn reserve_ahead(
        &mut self,
        customer: &Arc<str>,
        rate: Rate,
        share: Share,
        max_wait: Duration,
        now: Moment,
    ) -> Admission {
        let bucket = self.bucket(customer, rate, share, now);
        let wait = bucket.wait_for(1.0, rate, share);
        if wait > max_wait.min(MAX_TOKEN_WAIT) {
            return Admission::Denied { wait };
        }
        bucket.tokens -= 1.0;
        Admission::Delayed { wait }
    }

    /// Returns the token of a request that was not run.
    pub fn refund(&mut self, customer: &Arc<str>, rate: Rate, share: Share, now: Moment) {
        let bucket = self.bucket(customer, rate, share, now);
        let capacity = bucket.capacity(rate, share, now);
        bucket.tokens = (bucket.tokens + 1.0).min(capacity);
    }

    /// Returns the number of tokens to borrow before requests need them; 0 if
    /// the bucket holds enough, or if so few requests come that each can borrow
    /// its own token.
    pub fn shortfall_ahead(
        &mut self,
        customer: &Arc<str>,
        rate: Rate,
        share: Share,
        now: Moment,
    ) -> u32 {
        let bucket = self.bucket(customer, rate, share, now);
        let expected = bucket.current_demand(now) * LOW_DEMAND_TIME.as_secs_f64();
        if share.0 <= 0.0 && expected < 1.0 {
            return 0;
        }
        self.shortfall(customer, rate, share, now)
    }

    /// Returns the number of tokens to borrow; 0 if the bucket holds enough.
    pub fn shortfall(&mut self, customer: &Arc<str>, rate: Rate, share: Share, now: Moment) -> u32 {
        let bucket = self.bucket(customer, rate, share, now);
        let capacity = bucket.capacity(rate, share, now);
        let demand = bucket.current_demand(now);
        let low = (demand * LOW_DEMAND_TIME.as_secs_f64())
            .min(capacity * LOW_SHARE)
            .max(1.0);
        if demand > 0.0 && bucket.tokens < low {
            whole_tokens(capacity - bucket.tokens)
        } else {
            0
        }
    }

    /// Lends up to `wanted` tokens to another host and returns their number.
    /// Keeps a reserve for this host's own demand.
    pub fn lend(
        &mut self,
        customer: &Arc<str>,
        rate: Rate,
        share: Share,
        wanted: u32,
        now: Moment,
    ) -> u32 {
        let bucket = self.bucket(customer, rate, share, now);
        let reserve = bucket.current_demand(now) * LENDER_RESERVE.as_secs_f64();
        let given = whole_tokens(bucket.tokens - reserve).min(wanted);
        bucket.tokens -= f64::from(given);
        given
    }

    /// Adds borrowed tokens. The bucket then holds at most its capacity or, if
    /// more, `given` tokens; the rest is dropped.
    pub fn receive(
        &mut self,
        customer: &Arc<str>,
        rate: Rate,
        share: Share,
        given: u32,
        now: Moment,
    ) {
        let bucket = self.bucket(customer, rate, share, now);
        let capacity = bucket.capacity(rate, share, now);
        bucket.tokens = (bucket.tokens + f64::from(given)).min(capacity.max(f64::from(given)));
    }

    /// Returns the customers with recent requests.
    pub fn active_customers(&self) -> Vec<Arc<str>> {
        let is_active = |bucket: &Bucket| bucket.demand > 0.0 || bucket.requests > 0.0;
        self.buckets
            .iter()
            .filter(|(_, bucket)| is_active(bucket))
            .map(|(name, _)| Arc::clone(name))
            .collect()
    }
}

/// Upper limit of the retry delay that is sent to a caller over its rate.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range first"
)]
fn whole_tokens(tokens: f64) -> u32 {
    tokens.floor().clamp(0.0, f64::from(u32::MAX)) as u32
}
