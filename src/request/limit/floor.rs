//! Tracks when the floors of hosts are guaranteed to be unused.
//!
//! A floor is the part of a customer's rate and burst that a host may use
//! without a lease. While the host has a live lease, its floor is unused, and
//! the bucket owners in its data centre add the floor to the data centre's
//! bucket, so that no part of the rate lies idle. They may do so only until the
//! time up to which the host itself has guaranteed not to use its floor.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMicroSeconds;
use serde_with::serde_as;

use crate::configs::limit::LimitConfig;
use crate::ids::HostId;
use crate::request::limit::own::shorten_for_drift;
use crate::units::Moment;

/// Reply of a host to a query for the status of its floor.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FloorStatus {
    /// Time for which the floor stays unused, counted from the receipt of the
    /// query. Zero if the floor is in use.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "for_us")]
    pub unused_for: Duration,
}

/// Use of this host's floor, over all customers.
#[derive(Clone, Copy, Debug)]
pub struct FloorUse {
    lease_until: Moment,
    /// Time until which tokens granted from the floor may be valid.
    granted_until: Moment,
}

impl FloorUse {
    /// Starts without a lease. The floor counts as used for one `token_ttl`,
    /// because an earlier process of this host may have granted tokens from it.
    pub fn new(now: Moment, cfg: &LimitConfig) -> Self {
        Self {
            lease_until: now,
            granted_until: now + cfg.token_ttl,
        }
    }

    /// Records a lease. Must be called after the limiters of all customers have
    /// applied it. `None` leaves the current lease unchanged.
    ///
    /// If the previous lease has lapsed, tokens may have been granted from the
    /// floor until now, so the floor counts as used for one more `token_ttl`.
    pub fn record_lease(&mut self, now: Moment, lease_until: Option<Moment>, cfg: &LimitConfig) {
        if now >= self.lease_until {
            self.granted_until = now + cfg.token_ttl;
        }
        let lease_until = lease_until.unwrap_or(self.lease_until);
        self.lease_until = self.lease_until.max(lease_until);
    }

    /// Reports for how long the floor stays unused.
    pub fn status(&self, now: Moment) -> FloorStatus {
        let grants_expired = now >= self.granted_until;
        let unused_for = if grants_expired {
            now.until(self.lease_until)
        } else {
            Duration::ZERO
        };
        FloorStatus { unused_for }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Period {
    from: Moment,
    until: Moment,
}

/// Floors guaranteed to be unused, as reported to one host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UnusedFloors {
    periods: BTreeMap<HostId, Period>,
}

impl UnusedFloors {
    /// Records a host's status, received in reply to a query sent at `sent_at`.
    ///
    /// A period that ended before the reply arrived is not extended, because
    /// the floor may have been in use in between.
    pub fn record_status(
        &mut self,
        now: Moment,
        sent_at: Moment,
        host: &HostId,
        status: FloorStatus,
        cfg: &LimitConfig,
    ) {
        let until = sent_at + shorten_for_drift(status.unused_for, cfg);
        if until <= now {
            return;
        }
        let fresh = Period { from: now, until };
        let period = self.periods.entry(host.clone()).or_insert(fresh);
        if now < period.until {
            period.until = period.until.max(until);
        } else {
            *period = fresh;
        }
    }

    /// Returns the end of the unused period that contains `at`; `None` if the
    /// floor may be in use at that time.
    pub fn unused_until(&self, host: &HostId, at: Moment) -> Option<Moment> {
        let period = self.periods.get(host)?;
        let contained = period.from <= at && at < period.until;
        contained.then_some(period.until)
    }
}
