//! The buckets that this host may use itself, and until when.

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

/// A bucket with the end of the permission to use it.
#[derive(Clone, Debug)]
struct Leased<K> {
    key: K,
    from: Moment,
    until: Moment,
    bucket: Bucket,
}

impl<K> Leased<K> {
    /// The bucket, if it can be used.
    fn usable_bucket(&mut self, now: Moment) -> Option<&mut Bucket> {
        (self.from <= now && now < self.until).then_some(&mut self.bucket)
    }
}

/// The bucket of the data centre, where this host owns it, and its floor.
///
/// The floor is refilled only from the end of this host's lease on, and a
/// renewed lease empties it.
#[derive(Clone, Debug)]
pub struct OwnBuckets {
    /// No bucket refills earlier: an earlier process of this host may have
    /// granted tokens that are still valid.
    not_before: Moment,
    main: Option<Leased<Epoch>>,
    /// Until then the floors that are part of the main bucket are unused.
    floors_unused_until: Option<Moment>,
    floor: Option<Leased<u16>>,
    /// End of the last lease; the floor is not used earlier.
    lease_until: Moment,
}

impl OwnBuckets {
    /// Starts without any bucket.
    pub fn new(not_before: Moment) -> Self {
        Self {
            not_before,
            main: None,
            floors_unused_until: None,
            floor: None,
            lease_until: Moment::default(),
        }
    }

    /// Takes up, keeps or gives up buckets by a new view.
    ///
    /// A bucket is kept only if its lease has not lapsed in between and no
    /// epoch was missed; otherwise it starts empty.
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

    /// Replaces refills and capacities; the main bucket's contains floors that
    /// are unused until `floors_unused_until`.
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

    /// Tokens that can be spent now.
    pub fn level(&mut self, now: Moment) -> Amount {
        let level = |bucket: &mut Bucket| {
            bucket.refill(now);
            bucket.level()
        };
        self.usable_buckets(now).map(level).sum()
    }

    /// Refill a second of the buckets that can be used now.
    pub fn refill(&mut self, now: Moment) -> Amount {
        let refill = |bucket: &mut Bucket| bucket.allotment().refill;
        self.usable_buckets(now).map(refill).sum()
    }

    /// Tokens granted to other hosts and not yet accounted for.
    pub fn outstanding(&mut self, now: Moment) -> Amount {
        self.usable_buckets(now)
            .map(|bucket| bucket.outstanding())
            .sum()
    }

    /// Granted tokens that expired unreported since the last call.
    pub fn take_unreported(&mut self, now: Moment) -> Amount {
        self.usable_buckets(now).map(Bucket::take_unreported).sum()
    }

    /// Tokens refilled since the last call.
    pub fn take_refilled(&mut self, now: Moment) -> Amount {
        self.usable_buckets(now).map(Bucket::take_refilled).sum()
    }

    /// Removes up to `wanted` tokens, those of the floor first.
    pub fn take_up_to(&mut self, now: Moment, wanted: Amount) -> Amount {
        let mut taken = Amount::ZERO;
        for bucket in self.usable_buckets(now) {
            taken += bucket.take_up_to(now, wanted.saturating_sub(taken));
        }
        taken
    }

    /// Takes note of reports and grants what is asked for.
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
        let kept = [Amount::ZERO, reserve];
        for (slot, reserve) in [main, floor].into_iter().zip(kept) {
            let Some((until, Some(bucket))) = slot else {
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

/// A span that a clock slow by twice the largest error still measures as no
/// longer than `span`.
pub(crate) fn shorten_for_drift(span: Duration, cfg: &LimitConfig) -> Duration {
    let margin = u64::from(cfg.clock_drift_ppm) * 2;
    let nanos = span.as_nanos() * u128::from(PARTS_PER_MILLION - margin.min(PARTS_PER_MILLION));
    Duration::from_nanos(u64::try_from(nanos / u128::from(PARTS_PER_MILLION)).unwrap_or(u64::MAX))
}
