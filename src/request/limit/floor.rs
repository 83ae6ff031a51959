//! When a host's floor is certainly unused.
//!
//! A host uses its floor only while it has no live lease. Until then the
//! owners in its data centre refill the floor's part with the data centre's
//! bucket, so that no part of the rate lies idle. They may do so only up to
//! the moment that the host itself has answered for.

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

/// GrantReply to the question for how long a host leaves its floor unused.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FloorStatus {
    /// Time from the receipt of the question on; zero if it is in use.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "for_us")]
    pub unused_for: Duration,
}

/// Use of this host's floor, over all customers.
#[derive(Clone, Copy, Debug)]
pub struct FloorUse {
    lease_until: Moment,
    /// Until then tokens granted from the floor may still be valid.
    granted_until: Moment,
}

impl FloorUse {
    /// Starts without a lease; an earlier process may have used the floor.
    pub fn new(now: Moment, cfg: &LimitConfig) -> Self {
        Self {
            lease_until: now,
            granted_until: now + cfg.token_ttl,
        }
    }

    /// Takes note of a lease, after every account has taken it up.
    pub fn record_lease(&mut self, now: Moment, lease_until: Option<Moment>, cfg: &LimitConfig) {
        if now >= self.lease_until {
            self.granted_until = now + cfg.token_ttl;
        }
        let lease_until = lease_until.unwrap_or(self.lease_until);
        self.lease_until = self.lease_until.max(lease_until);
    }

    /// Time for which the floor is unused.
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

/// Floors that are certainly unused, as one host knows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UnusedFloors {
    periods: BTreeMap<HostId, Period>,
}

impl UnusedFloors {
    /// Takes note of an answer to a question asked at `sent_at`.
    ///
    /// A period that ended before the answer came is not continued: the floor
    /// may have been in use in between.
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

    /// End of the period that contains `at`, if there is one.
    pub fn unused_until(&self, host: &HostId, at: Moment) -> Option<Moment> {
        let period = self.periods.get(host)?;
        let contained = period.from <= at && at < period.until;
        contained.then_some(period.until)
    }
}
