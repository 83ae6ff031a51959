//! Settings of rate and burst limits.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::require;

/// Settings of rate and burst limits.
///
/// All hosts must use the same values of `floor_share`, `floor_slots`,
/// `token_ttl_ms`, `spread_ms` and `clock_drift_ppm`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitConfig {
    /// Smallest number of tokens requested ahead of demand.
    pub min_prefetch: u32,
    /// Largest number of tokens requested ahead of demand.
    pub max_prefetch: u32,
    /// Time span of recent demand that a prefetch covers.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "prefetch_span_ms")]
    pub prefetch_span: Duration,
    /// Fraction of each data centre's share that is divided into floors. A host
    /// can use its floor without a lease.
    pub floor_share: f64,
    /// Number of hosts of a data centre that can have a floor at the same time.
    pub floor_slots: u16,
    /// Time between two requests that check whether the floor of a host is
    /// unused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "floor_renewal_ms")]
    pub floor_renewal: Duration,
    /// Timeout of a request for tokens to another host.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "borrow_timeout_ms")]
    pub borrow_timeout: Duration,
    /// Time without requests to other hosts after calls were refused for lack of
    /// tokens.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "dry_interval_ms")]
    pub dry_interval: Duration,
    /// Time after which unused granted tokens are returned.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_return_ms")]
    pub idle_return: Duration,
    /// Time after which granted tokens expire.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "token_ttl_ms")]
    pub token_ttl: Duration,
    /// Upper bound of the time that a configuration change takes to reach all
    /// hosts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "spread_ms")]
    pub spread: Duration,
    /// Number of hosts that are sent requests for tokens in one round.
    pub fanout: usize,
    /// Most rounds of requests that one call may wait for.
    pub max_rounds: u32,
    /// Upper bound of the clock drift of a host, in parts per million.
    pub clock_drift_ppm: u32,
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self {
            min_prefetch: 1,
            max_prefetch: 64,
            prefetch_span: Duration::from_millis(50),
            floor_share: 0.9,
            floor_slots: 4,
            floor_renewal: Duration::from_millis(500),
            borrow_timeout: Duration::from_millis(50),
            dry_interval: Duration::from_millis(20),
            idle_return: Duration::from_millis(100),
            token_ttl: Duration::from_millis(1000),
            spread: Duration::from_secs(5),
            fanout: 8,
            max_rounds: 2,
            clock_drift_ppm: 500,
        }
    }
}

impl LimitConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        let ms = |span: Duration| span.as_millis();
        require(
            "min_prefetch",
            (1..=1_000).contains(&self.min_prefetch),
            || "1 to 1000 tokens",
        )?;
        let max_prefetch = (self.min_prefetch..=10_000).contains(&self.max_prefetch);
        require(
            "max_prefetch",
            max_prefetch,
            || "min_prefetch to 10000 tokens",
        )?;
        let prefetch_span = (1..=1_000).contains(&ms(self.prefetch_span));
        require("prefetch_span_ms", prefetch_span, || "1 to 1000 ms")?;
        let floor_share = (0.0..=1.0).contains(&self.floor_share);
        require("floor_share", floor_share, || "0.0 to 1.0")?;
        require(
            "floor_slots",
            (1..=1_024).contains(&self.floor_slots),
            || "1 to 1024",
        )?;
        let floor_renewal = (10..=10_000).contains(&ms(self.floor_renewal));
        require("floor_renewal_ms", floor_renewal, || "10 to 10000 ms")?;
        let borrow_timeout = (1..=1_000).contains(&ms(self.borrow_timeout));
        require("borrow_timeout_ms", borrow_timeout, || "1 to 1000 ms")?;
        let dry_interval = (1..=1_000).contains(&ms(self.dry_interval));
        require("dry_interval_ms", dry_interval, || "1 to 1000 ms")?;
        let token_ttl = (10..=60_000).contains(&ms(self.token_ttl));
        require("token_ttl_ms", token_ttl, || "10 to 60000 ms")?;
        let idle_return = self.idle_return >= self.prefetch_span;
        let idle_return = idle_return && self.idle_return <= self.token_ttl;
        require(
            "idle_return_ms",
            idle_return,
            || "prefetch_span_ms to token_ttl_ms",
        )?;
        let spread = self.spread >= self.token_ttl && ms(self.spread) <= 60_000;
        require("spread_ms", spread, || "token_ttl_ms to 60000 ms")?;
        require(
            "fanout",
            (1..=64).contains(&self.fanout),
            || "1 to 64 hosts",
        )?;
        require(
            "max_rounds",
            (1..=2).contains(&self.max_rounds),
            || "1 to 2",
        )?;
        let drift = self.clock_drift_ppm <= 100_000;
        require("clock_drift_ppm", drift, || "0 to 100000 parts per million")
    }
}
