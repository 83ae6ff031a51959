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
/// All hosts must run with the same `floor_share`, `floor_slots`,
/// `token_ttl_ms`, `spread_ms` and `clock_drift_ppm`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitConfig {
    /// Smallest prefetch, in tokens.
    pub min_prefetch: u32,
    /// Largest prefetch, in tokens.
    pub max_prefetch: u32,
    /// Span of recent demand that a prefetch covers.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "prefetch_span_ms")]
    pub prefetch_span: Duration,
    /// Fraction of each data centre's share that its hosts can use without a
    /// lease.
    pub floor_share: f64,
    /// Hosts of a data centre that can have a floor at the same time.
    pub floor_slots: u16,
    /// Time between two questions to a host whether its floor is unused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "floor_renewal_ms")]
    pub floor_renewal: Duration,
    /// Longest wait for tokens of another host.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "borrow_timeout_ms")]
    pub borrow_timeout: Duration,
    /// Shortest time between two rounds of requests after one that brought too little.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "dry_interval_ms")]
    pub dry_interval: Duration,
    /// Time after which unused granted tokens are returned.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_return_ms")]
    pub idle_return: Duration,
    /// Longest life of granted tokens.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "token_ttl_ms")]
    pub token_ttl: Duration,
    /// Longest time that a change of configuration takes to reach every host.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "spread_ms")]
    pub spread: Duration,
    /// Hosts asked for tokens at the same time.
    pub fanout: usize,
    /// Rounds of requests that one call may wait for.
    pub max_rounds: u32,
    /// Largest error of a host's clock rate, in parts per million.
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
    /// Checks every setting against its allowed range.
    ///
    /// # Errors
    ///
    /// Names the first setting that is out of range.
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
