//! Settings of membership: heartbeats, leases and partition ownership.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::require;

/// Fewest heartbeat periods in one lease.
const MIN_HEARTBEATS_PER_LEASE: u32 = 3;

/// Divisor of the lease's time to live that gives the smallest drift margin.
const MIN_MARGIN_DIVISOR: u32 = 100;

const HEARTBEAT_PERIOD_MS: RangeInclusive<u64> = 5..=60_000;

/// Allowed number of partitions in a data centre.
const PARTITIONS: RangeInclusive<u16> = 1..=4096;

/// Upper bound of all durations but the heartbeat period.
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1000;

/// Settings of heartbeats, leases and partition ownership.
///
/// All hosts of a deployment must use the same values.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipConfig {
    /// Time between two heartbeats of a host.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "heartbeat_period_ms")]
    pub heartbeat_period: Duration,
    /// Time to live of a lease, counted from the sending of the committed
    /// heartbeat that renews it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ttl_ms")]
    pub lease_ttl: Duration,
    /// Time that other hosts wait after the time to live before they take over
    /// partitions; covers clocks that run at different rates.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "drift_margin_ms")]
    pub drift_margin: Duration,
    /// Time without changes after which hosts of another data centre adopt a
    /// table.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "adoption_timeout_ms")]
    pub adoption_timeout: Duration,
    /// Time after which a lapsed host without partitions is removed from the
    /// table.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "removal_timeout_ms")]
    pub removal_timeout: Duration,
    /// Time between two reads of the other data centres' tables.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "refresh_period_ms")]
    pub refresh_period: Duration,
    /// Peer addresses of other hosts, from which a host that starts while the
    /// platform is unavailable fetches the tables.
    pub seeds: Vec<SocketAddr>,
    /// Number of partitions of a data centre; fixed when its table is created.
    pub partitions: u16,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            heartbeat_period: Duration::from_secs(1),
            lease_ttl: Duration::from_secs(5),
            drift_margin: Duration::from_millis(250),
            adoption_timeout: Duration::from_secs(30),
            removal_timeout: Duration::from_secs(600),
            refresh_period: Duration::from_secs(15),
            seeds: Vec::new(),
            partitions: 64,
        }
    }
}

impl MembershipConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        self.check_lease()?;
        self.check_timeouts()?;
        let allowed = format!("{} to {}", PARTITIONS.start(), PARTITIONS.end());
        require("partitions", PARTITIONS.contains(&self.partitions), || {
            allowed
        })
    }

    fn check_lease(&self) -> Result<()> {
        let period = millis(self.heartbeat_period);
        let allowed = format!(
            "{} to {} ms",
            HEARTBEAT_PERIOD_MS.start(),
            HEARTBEAT_PERIOD_MS.end()
        );
        require(
            "heartbeat_period_ms",
            HEARTBEAT_PERIOD_MS.contains(&period),
            || allowed,
        )?;
        let min = self.heartbeat_period * MIN_HEARTBEATS_PER_LEASE;
        check_at_least("lease_ttl_ms", self.lease_ttl, min)?;
        let min = self.lease_ttl / MIN_MARGIN_DIVISOR;
        check_at_least("drift_margin_ms", self.drift_margin, min)
    }

    fn check_timeouts(&self) -> Result<()> {
        let lapse = self.lapse_after();
        check_at_least("adoption_timeout_ms", self.adoption_timeout, lapse * 2)?;
        check_at_least("removal_timeout_ms", self.removal_timeout, lapse)?;
        check_at_least(
            "refresh_period_ms",
            self.refresh_period,
            self.heartbeat_period,
        )
    }

    /// Returns the time after which other hosts treat an unchanged heartbeat as
    /// lapsed.
    pub fn lapse_after(&self) -> Duration {
        self.lease_ttl + self.drift_margin
    }
}

fn check_at_least(field: &'static str, value: Duration, min: Duration) -> Result<()> {
    let allowed = format!("{} to {MAX_DURATION_MS} ms", millis(min));
    let fits = value >= min && millis(value) <= MAX_DURATION_MS;
    require(field, fits, || allowed)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
