//! Buckets that this host may currently use, with their leases.

use std::time::Duration;

use crate::configs::limit::LimitConfig;
use crate::ids::Epoch;
use crate::request::limit::allotments::Allotments;
use crate::request::limit::amount::Amount;
use crate::request::limit::bucket::Allotment;
use crate::request::limit::bucket::Bucket;
use crate::request::limit::message::GrantReply;
use crate::request::limit::message::GrantRequest;
use crate::request::limit::view::FloorLease;
use crate::request::limit::view::View;
use crate::units::Moment;

const PARTS_PER_MILLION: u64 = 1_000_000;

/// A bucket that may be used from `from` until `until`.
///
/// The key identifies the lease: the epoch of the hosts for the main bucket,
/// the slot for the floor.
#[derive(Clone, Debug)]
struct Leased<K> {
    key: K,
    from: Moment,
    until: Moment,
    bucket: Bucket,
}

impl<K> Leased<K> {
    /// Returns the bucket if it may be used at `now`.
    fn usable_bucket(&mut self, now: Moment) -> Option<&mut Bucket> {
        (self.from <= now && now < self.until).then_some(&mut self.bucket)
    }
}

/// Main bucket of the data centre, if this host owns it, and floor of this host.
///
/// The floor is refilled only after this host's lease has lapsed; a renewed
/// lease empties it.
#[derive(Clone, Debug)]
pub struct OwnBuckets {
    /// Earliest time at which buckets refill. Tokens granted by an earlier
    /// process of this host may be valid until then.
    not_before: Moment,
    main: Option<Leased<Epoch>>,
    /// Time until which the floors added to the main bucket stay unused.
    floors_unused_until: Option<Moment>,
    floor: Option<Leased<u16>>,
    /// End of the latest lease; the floor may be used only afterwards.
    lease_until: Moment,
}

impl OwnBuckets {
    /// Starts without buckets. Buckets obtained later refill no earlier than
    /// `not_before`.
    pub fn new(not_before: Moment) -> Self {
        Self {
            not_before,
            main: None,
            floors_unused_until: None,
            floor: None,
            lease_until: Moment::default(),
        }
    }

    /// Earliest time at which buckets refill.
    pub fn not_before(&self) -> Moment {
        self.not_before
    }

    /// Creates, keeps or drops buckets according to a new view.
    ///
    /// The contents of a bucket are kept only if its lease has not lapsed in
    /// between and no epoch was missed; otherwise the bucket starts empty.
    pub fn update_leases(&mut self, now: Moment, view: &View, owns: bool, allotments: Allotments) {
        self.lease_until = self.lease_until.max(view.lease_until.unwrap_or_default());
        let lease = view.lease_until.filter(|until| owns && now < *until);
        self.main = lease.map(|until| self.renew_main(now, view, until, allotments.main));
        let floor = view.floor.filter(|floor| now < floor.until);
        self.floor = floor.map(|floor| self.renew_floor(now, floor, allotments.floor));
    }

    fn renew_main(
        &mut self,
        now: Moment,
        view: &View,
        until: Moment,
        allotment: Allotment,
    ) -> Leased<Epoch> {
        let key = view.epoch;
        let kept = self.main.take().filter(|main| now < main.until);
        let kept = kept.filter(|main| key == main.key || key == main.key.next());
        let start = now.max(view.settled_at).max(self.not_before);
        let kept = kept.map(|main| (main.from, main.bucket));
        let (from, bucket) = kept.unwrap_or_else(|| (start, Bucket::empty(start, allotment)));
        Leased {
            key,
            from,
            until,
            bucket,
        }
    }

    fn renew_floor(&mut self, now: Moment, lease: FloorLease, allotment: Allotment) -> Leased<u16> {
        let kept = self.floor.take().filter(|floor| now < floor.until);
        let kept = kept.filter(|floor| floor.key == lease.slot && now >= self.lease_until);
        let start = now.max(lease.from).max(self.not_before);
        let start = start.max(self.lease_until);
        let kept = kept.map(|floor| (floor.from, floor.bucket));
        let (from, bucket) = kept.unwrap_or_else(|| (start, Bucket::empty(start, allotment)));
        Leased {
            key: lease.slot,
            from,
            until: lease.until,
            bucket,
        }
    }

    /// Replaces refills and capacities. The allotment of the main bucket
    /// includes floors that stay unused until `floors_unused_until`, if set.
    pub fn set_allotments(
        &mut self,
        now: Moment,
        allotments: Allotments,
        floors_unused_until: Option<Moment>,
    ) {
        self.floors_unused_until = floors_unused_until;
        if let Some(main) = &mut self.main {
            main.bucket.set_allotment(now, allotments.main);
        }
        if let Some(floor) = &mut self.floor {
            floor.bucket.set_allotment(now, allotments.floor);
        }
    }

    /// Tokens that can be spent at `now`.
    pub fn level(&mut self, now: Moment) -> Amount {
        let level = |bucket: &mut Bucket| {
            bucket.refill(now);
            bucket.level()
        };
        self.usable_buckets(now).map(level).sum()
    }

    /// Tokens refilled per second in the buckets usable at `now`.
    pub fn refill(&mut self, now: Moment) -> Amount {
        let refill = |bucket: &mut Bucket| bucket.allotment().refill;
        self.usable_buckets(now).map(refill).sum()
    }

    /// Tokens granted to other hosts and not yet spent, returned or expired.
    pub fn outstanding(&mut self, now: Moment) -> Amount {
        self.usable_buckets(now)
            .map(|bucket| bucket.outstanding())
            .sum()
    }

    /// Returns the granted tokens that expired unreported since the last call
    /// and resets the count.
    pub fn take_unreported(&mut self, now: Moment) -> Amount {
        self.usable_buckets(now).map(Bucket::take_unreported).sum()
    }

    /// Returns the tokens refilled since the last call and resets the count.
    pub fn take_refilled(&mut self, now: Moment) -> Amount {
        self.usable_buckets(now).map(Bucket::take_refilled).sum()
    }

    /// Removes up to `wanted` tokens, from the floor first, and returns the
    /// removed amount.
    pub fn take_up_to(&mut self, now: Moment, wanted: Amount) -> Amount {
        let mut taken = Amount::ZERO;
        for bucket in self.usable_buckets(now) {
            taken += bucket.take_up_to(now, wanted.saturating_sub(taken));
        }
        taken
    }

    /// Applies the reports of a request and grants the requested tokens as far
    /// as possible.
    ///
    /// Up to `reserve` tokens of the floor are kept for this host's own calls.
    pub fn grant(
        &mut self,
        now: Moment,
        request: &GrantRequest,
        reserve: Amount,
        cfg: &LimitConfig,
    ) -> GrantReply {
        self.apply_reports(now, request);
        let mut reply = GrantReply {
            ttl: cfg.token_ttl,
            ..GrantReply::default()
        };
        let mut need = request.need;
        let mut extra = request.extra;
        let unused = self.floors_unused_until;
        let main = self.main.as_mut();
        let main = main.map(|main| {
            let until = unused.unwrap_or(main.until).min(main.until);
            (until, main.usable_bucket(now))
        });
        let floor = self
            .floor
            .as_mut()
            .map(|floor| (floor.until, floor.usable_bucket(now)));
        let reserves = [Amount::ZERO, reserve];
        for (leased, reserve) in [main, floor].into_iter().zip(reserves) {
            let Some((until, Some(bucket))) = leased else {
                continue;
            };
            bucket.refill(now);
            let spare = bucket.level().saturating_sub(reserve);
            if bucket.has_granted(&request.id) || spare > Amount::ZERO {
                let ttl = cfg.token_ttl.min(shorten_for_drift(now.until(until), cfg));
                let (granted, ttl) =
                    bucket.grant(now, &request.id, need.min(spare), extra.min(spare), ttl);
                let for_need = need.split_off(granted);
                extra.split_off(granted.saturating_sub(for_need));
                reply.granted += granted;
                reply.ttl = reply.ttl.min(ttl);
            }
            reply.level += bucket.level().saturating_sub(reserve);
            reply.refill += bucket.allotment().refill;
            reply.capacity += bucket.allotment().capacity;
        }
        reply
    }

    fn apply_reports(&mut self, now: Moment, request: &GrantRequest) {
        for report in &request.reports {
            let mut rest = report.clone();
            for bucket in self.usable_buckets(now) {
                let returned = bucket.apply_report(now, &request.id, &rest);
                rest.returned = rest.returned.saturating_sub(returned);
            }
        }
    }

    fn usable_buckets(&mut self, now: Moment) -> impl Iterator<Item = &mut Bucket> {
        let floor = self
            .floor
            .as_mut()
            .and_then(|floor| floor.usable_bucket(now));
        let main = self.main.as_mut().and_then(|main| main.usable_bucket(now));
        floor.into_iter().chain(main)
    }
}

/// Shortens a span by twice the largest clock drift, so that it elapses here no
/// later than `span` does on any other host's clock.
pub(crate) fn shorten_for_drift(span: Duration, cfg: &LimitConfig) -> Duration {
    let margin = u64::from(cfg.clock_drift_ppm) * 2;
    let nanos = span.as_nanos() * u128::from(PARTS_PER_MILLION - margin.min(PARTS_PER_MILLION));
    Duration::from_nanos(u64::try_from(nanos / u128::from(PARTS_PER_MILLION)).unwrap_or(u64::MAX))
}
