//! Division of a customer's rate and burst among buckets.

use std::time::Duration;

use crate::configs::limit::LimitConfig;
use crate::ids::DataCentre;
use crate::request::limit::amount::Amount;
use crate::request::limit::bucket::Allotment;
use crate::request::limit::view::View;
use crate::units::Moment;
use crate::version::objects::Customer;

const PARTS_PER_MILLION: f64 = 1e6;

/// Allotments of one host for one customer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Allotments {
    /// Allotment of the data centre's main bucket, which its owner uses under a
    /// lease.
    pub main: Allotment,
    /// Allotment of the host's floor, used without a lease.
    pub floor: Allotment,
}

impl Allotments {
    /// Computes the allotments of a host in `data_centre`.
    ///
    /// The refill is reduced by the largest clock drift, so that a host with a
    /// fast clock does not exceed the rate.
    pub fn divide(
        customer: &Customer,
        data_centre: &DataCentre,
        view: &View,
        cfg: &LimitConfig,
    ) -> Self {
        let share = share(customer, data_centre, view);
        let drift = 1.0 - f64::from(cfg.clock_drift_ppm) / PARTS_PER_MILLION;
        let refill = Amount::from_tokens(customer.rate * share * drift);
        let capacity = Amount::from_tokens(customer.burst * share);
        let slots = u64::from(cfg.floor_slots);
        let used = u64::try_from(view.used_slots(data_centre))
            .unwrap_or(slots)
            .min(slots);
        let floor = Allotment {
            refill: floor_part(refill, cfg),
            capacity: floor_part(capacity, cfg),
        };
        let main = Allotment {
            refill: subtract_floors(refill, floor.refill, used),
            capacity: subtract_floors(capacity, floor.capacity, used),
        };
        Self { main, floor }
    }

    /// Adds a number of unused floors to the main bucket.
    #[must_use]
    pub fn with_unused(self, floors: usize) -> Self {
        let floors = u64::try_from(floors).unwrap_or_default();
        Self {
            main: self.main.plus(self.floor.times(floors)),
            ..self
        }
    }

    /// Returns the smaller refill and capacity of each part.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            main: self.main.min(other.main),
            floor: self.floor.min(other.floor),
        }
    }
}

/// Fraction of the rate that is refilled in a data centre.
///
/// Without configured shares, all data centres have the same share. Configured
/// shares that add up to more than one are scaled down.
fn share(customer: &Customer, data_centre: &DataCentre, view: &View) -> f64 {
    if customer.shares.is_empty() {
        return 1.0 / view.members.len().max(1) as f64;
    }
    let total: f64 = customer.shares.values().map(|share| share.max(0.0)).sum();
    let share = customer.shares.get(data_centre).copied();
    share.unwrap_or_default().max(0.0) / total.max(1.0)
}

fn floor_part(amount: Amount, cfg: &LimitConfig) -> Amount {
    Amount::from_tokens(amount.tokens() * cfg.floor_share / f64::from(cfg.floor_slots))
}

fn subtract_floors(amount: Amount, floor: Amount, used: u64) -> Amount {
    let floors = Amount::from_micros(floor.micros().saturating_mul(used));
    amount.saturating_sub(floors)
}

/// Current allotments and superseded ones that other hosts may still use.
///
/// A decrease takes effect at once, an increase only after the spread time. At
/// any moment the allotments of all hosts therefore add up to no more than the
/// larger of the old and the new total, however shares move between hosts.
#[derive(Clone, Debug, Default)]
pub struct AllotmentHistory {
    latest: Allotments,
    superseded: Vec<(Moment, Allotments)>,
}

impl AllotmentHistory {
    /// Starts with the given allotments, which are in force at once.
    pub fn new(allotments: Allotments) -> Self {
        Self {
            latest: allotments,
            superseded: Vec::new(),
        }
    }

    /// Records a change of the allotments; unchanged ones have no effect.
    pub fn record(&mut self, now: Moment, allotments: Allotments) {
        if allotments != self.latest {
            self.superseded.push((now, self.latest));
            self.latest = allotments;
        }
    }

    /// Returns the allotments in force at `now` and drops those superseded for
    /// longer than `spread`.
    pub fn effective(&mut self, now: Moment, spread: Duration) -> Allotments {
        self.superseded.retain(|(at, _)| now < *at + spread);
        let superseded = self.superseded.iter().map(|(_, entry)| *entry);
        superseded.fold(self.latest, Allotments::min)
    }
}
