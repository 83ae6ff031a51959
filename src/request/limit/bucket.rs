//! A token bucket that grants part of its tokens to other hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::request::limit::amount::Amount;
use crate::request::limit::message::GrantId;
use crate::request::limit::message::GrantReport;
use crate::units::Moment;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Refill and capacity of one bucket.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Allotment {
    /// Tokens refilled per second.
    pub refill: Amount,
    /// Upper bound of the tokens in the bucket plus those granted from it.
    pub capacity: Amount,
}

impl Allotment {
    /// Adds refill and capacity of another allotment.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            refill: self.refill + other.refill,
            capacity: self.capacity + other.capacity,
        }
    }

    /// Multiplies refill and capacity by `count`; saturates.
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        let times = |amount: Amount| Amount::from_micros(amount.micros().saturating_mul(count));
        Self {
            refill: times(self.refill),
            capacity: times(self.capacity),
        }
    }

    /// Returns the smaller refill and the smaller capacity of two allotments.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            refill: self.refill.min(other.refill),
            capacity: self.capacity.min(other.capacity),
        }
    }
}

/// Tokens granted to another host and not yet reported as spent or returned.
#[derive(Clone, Copy, Debug)]
struct Grant {
    held: Amount,
    expires: Moment,
}

/// A token bucket that grants tokens to other hosts.
///
/// The tokens in the bucket plus the outstanding granted ones never exceed the
/// capacity. Granted tokens are outstanding until the holder reports them as
/// spent or returned, or until they have expired at the holder.
#[derive(Clone, Debug)]
pub struct Bucket {
    allotment: Allotment,
    level: Amount,
    refilled_at: Moment,
    /// Refill below the resolution of [`Amount`], in billionths of a millionth
    /// of a token. Carried over to the next refill.
    remainder: u128,
    grants: BTreeMap<GrantId, Grant>,
    unreported: Amount,
    refilled: Amount,
}

impl Bucket {
    /// Creates an empty bucket that refills from `start` on.
    pub fn empty(start: Moment, allotment: Allotment) -> Self {
        Self {
            allotment,
            level: Amount::ZERO,
            refilled_at: start,
            remainder: 0,
            grants: BTreeMap::new(),
            unreported: Amount::ZERO,
            refilled: Amount::ZERO,
        }
    }

    /// Tokens in the bucket as of the last refill.
    pub fn level(&self) -> Amount {
        self.level
    }

    /// Refill and capacity in force.
    pub fn allotment(&self) -> Allotment {
        self.allotment
    }

    /// Tokens granted and not yet spent, returned or expired.
    pub fn outstanding(&self) -> Amount {
        self.grants.values().map(|grant| grant.held).sum()
    }

    /// Returns the tokens refilled since the last call and resets the count.
    pub fn take_refilled(&mut self) -> Amount {
        std::mem::take(&mut self.refilled)
    }

    /// Returns the granted tokens that expired unreported since the last call
    /// and resets the count.
    pub fn take_unreported(&mut self) -> Amount {
        std::mem::take(&mut self.unreported)
    }

    /// Replaces refill and capacity. Tokens above the new capacity are dropped.
    pub fn set_allotment(&mut self, now: Moment, allotment: Allotment) {
        self.refill(now);
        self.allotment = allotment;
        self.level = self.level.min(self.max_level());
    }

    /// Refills up to `now`.
    ///
    /// An expired grant frees capacity from its expiry on and no earlier, so
    /// the refill is computed piecewise between expiries.
    pub fn refill(&mut self, now: Moment) {
        while let Some((expires, id)) = self.next_expired_grant(now) {
            self.refill_until(expires);
            if let Some(grant) = self.grants.remove(&id) {
                self.unreported += grant.held;
            }
        }
        self.refill_until(now);
        assert!(
            self.level <= self.max_level(),
            "tokens of a bucket and its grants must not exceed its capacity"
        );
    }

    /// Spends `amount` if the bucket holds enough tokens. Returns whether it
    /// did.
    pub fn spend(&mut self, now: Moment, amount: Amount) -> bool {
        self.refill(now);
        let is_enough = self.level >= amount;
        if is_enough {
            self.level.split_off(amount);
        }
        is_enough
    }

    /// Removes up to `wanted` tokens and returns the removed amount.
    pub fn take_up_to(&mut self, now: Moment, wanted: Amount) -> Amount {
        self.refill(now);
        self.level.split_off(wanted)
    }

    /// Grants tokens for `ttl`: up to `need`, then up to `extra` but no more
    /// than half of what is left. Returns the granted amount and its time to
    /// live.
    ///
    /// A repeated request gets the existing grant again.
    pub fn grant(
        &mut self,
        now: Moment,
        id: &GrantId,
        need: Amount,
        extra: Amount,
        ttl: Duration,
    ) -> (Amount, Duration) {
        self.refill(now);
        if let Some(grant) = self.grants.get(id) {
            return (grant.held, now.until(grant.expires));
        }
        let mut granted = self.level.split_off(need);
        let spare = self.level.half();
        granted += self.level.split_off(extra.min(spare));
        if granted > Amount::ZERO {
            let expires = now + ttl;
            let held = granted;
            self.grants.insert(id.clone(), Grant { held, expires });
        }
        (granted, ttl)
    }

    /// Whether the request already has a grant.
    pub fn has_granted(&self, id: &GrantId) -> bool {
        self.grants.contains_key(id)
    }

    /// Applies a holder's report on a grant; repeated reports have no effect.
    ///
    /// Returns how many of the returned tokens came from this bucket.
    pub fn apply_report(&mut self, now: Moment, holder: &GrantId, report: &GrantReport) -> Amount {
        self.refill(now);
        let id = GrantId {
            sequence: report.sequence,
            ..holder.clone()
        };
        let Some(grant) = self.grants.get_mut(&id) else {
            return Amount::ZERO;
        };
        let released = grant.held.saturating_sub(report.held);
        let returned = report.returned.min(released);
        grant.held = grant.held.min(report.held);
        if grant.held == Amount::ZERO {
            self.grants.remove(&id);
        }
        self.level = (self.level + returned).min(self.max_level());
        returned
    }

    /// Highest level that leaves room for the outstanding grants.
    fn max_level(&self) -> Amount {
        self.allotment.capacity.saturating_sub(self.outstanding())
    }

    fn next_expired_grant(&self, now: Moment) -> Option<(Moment, GrantId)> {
        let expired = self.grants.iter().filter(|(_, grant)| grant.expires <= now);
        let next = expired.min_by_key(|(_, grant)| grant.expires);
        next.map(|(id, grant)| (grant.expires, id.clone()))
    }

    fn refill_until(&mut self, until: Moment) {
        if until <= self.refilled_at {
            return;
        }
        let span = until.since(self.refilled_at).as_nanos();
        let refill = u128::from(self.allotment.refill.micros());
        let total = span.saturating_mul(refill).saturating_add(self.remainder);
        let micros = u64::try_from(total / NANOS_PER_SECOND).unwrap_or(u64::MAX);
        let added = Amount::from_micros(micros).min(self.max_level().saturating_sub(self.level));
        self.level += added;
        self.refilled += added;
        self.remainder = total % NANOS_PER_SECOND;
        self.refilled_at = until;
    }
}
