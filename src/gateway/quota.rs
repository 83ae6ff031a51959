//! Rates of customers over all hosts, as tokens that are never made twice.
//!
//! Each host refills its share of every customer's rate. A host that runs
//! short asks others for tokens; what one gives, it no longer has. A process
//! starts with empty buckets, since the one before it may have spent its own.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::routes::Rate;
use crate::units::Moment;

/// Weight of the newest second in a customer's demand.
const DEMAND_WEIGHT: f64 = 0.5;
/// Demand that a host keeps for itself when it gives tokens.
const LENDER_RESERVE: Duration = Duration::from_millis(250);
/// Part of a bucket above which it asks for no more tokens.
const LOW_SHARE: f64 = 0.85;
/// Demand below which a bucket asks for more tokens.
const LOW_DEMAND_TIME: Duration = Duration::from_millis(500);

/// Part of a bucket that is kept for programs that have begun. A program asks
/// for many requests over seconds, so that new ones begin only while the
/// customer's demand is below its rate.
const STARTED_RESERVE: f64 = 0.75;
/// Longest time that a request of a program that has begun waits for a token;
/// a small part of the time that any such request may take.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(500);

/// What this host may refill of every rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share(pub f64);

/// Tokens of one customer at this host.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Moment,
    /// Requests a second lately.
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

    /// Most tokens that are held here: a share of the burst, or as many as the
    /// demand needs at a host that only borrows.
    fn capacity(&self, rate: Rate, share: Share, now: Moment) -> f64 {
        let held = if share.0 > 0.0 {
            rate.burst * share.0
        } else {
            self.current_demand(now) * LOW_DEMAND_TIME.as_secs_f64()
        };
        held.max(1.0)
    }

    /// Tokens that must be there for a request. Programs begin only from the
    /// upper part of a bucket, so that those that have begun are not refused
    /// midway.
    fn needed(&self, rate: Rate, share: Share, stage: ProgramStage, now: Moment) -> f64 {
        match stage {
            ProgramStage::New => (self.capacity(rate, share, now) * STARTED_RESERVE).max(1.0),
            ProgramStage::Started => 1.0,
        }
    }

    /// Takes a token if there are as many as needed.
    fn try_take(&mut self, needed: f64) -> bool {
        let has_token = self.tokens >= needed;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Time in which the refill brings the tokens to a number.
    fn wait_for(&self, needed: f64, rate: Rate, share: Share) -> Duration {
        let per_s = (rate.per_s * share.0).max(f64::MIN_POSITIVE);
        let seconds = (needed - self.tokens) / per_s;
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_RETRY_AFTER.as_secs_f64()))
    }

    /// Demand, or what the second that is under way already shows.
    fn current_demand(&self, now: Moment) -> f64 {
        let window_secs = now.since(self.window_start).as_secs_f64().max(0.25);
        self.demand.max(self.requests / window_secs)
    }
}

/// Whether a request begins a program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgramStage {
    /// It begins one: nothing is lost yet if it is refused.
    New,
    /// It belongs to one that has begun, or to none.
    Started,
}

/// Whether a request is within its customer's rate here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// A token was taken.
    Granted,
    /// The next token is this request's, which may go on after `wait`.
    Delayed {
        /// Time until the token is there.
        wait: Duration,
    },
    /// This host has none; its own refill gives one after `wait`.
    Denied {
        /// Time until the next token.
        wait: Duration,
    },
}

/// Buckets of all customers at one host.
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
        // A bucket that was not asked for has refilled since the start all the same.
        let started = *self.started.get_or_insert(now);
        let bucket = self
            .buckets
            .entry(Arc::clone(customer))
            .or_insert_with(|| Bucket::empty(started));
        bucket.refill(rate, share, now);
        bucket
    }

    /// Starts the refill of every bucket.
    pub fn start(&mut self, now: Moment) {
        self.started.get_or_insert(now);
    }

    /// Takes a token for one request.
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

    /// Takes a token for a request that was already counted as asked.
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

    /// Takes a token that this host's refill gives within `patience`, for a
    /// request of a program that has begun.
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

    /// Gives a token back for a request that was not run.
    pub fn refund(&mut self, customer: &Arc<str>, rate: Rate, share: Share, now: Moment) {
        let bucket = self.bucket(customer, rate, share, now);
        let capacity = bucket.capacity(rate, share, now);
        bucket.tokens = (bucket.tokens + 1.0).min(capacity);
    }

    /// Tokens that this host would like from others; 0 if it has enough.
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

    /// Gives tokens to another host, beyond what this host needs itself.
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

    /// Takes up tokens that another host gave; what does not fit is dropped.
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

    /// Customers with requests lately.
    pub fn active_customers(&self) -> Vec<Arc<str>> {
        let wants = |bucket: &Bucket| bucket.demand > 0.0 || bucket.requests > 0.0;
        self.buckets
            .iter()
            .filter(|(_, bucket)| wants(bucket))
            .map(|(name, _)| Arc::clone(name))
            .collect()
    }
}

/// Longest time to come back that is told to a caller over its rate.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range first"
)]
fn whole_tokens(tokens: f64) -> u32 {
    tokens.floor().clamp(0.0, f64::from(u32::MAX)) as u32
}
