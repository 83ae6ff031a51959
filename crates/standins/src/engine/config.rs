//! Settings of the model engine stand-in.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Settings of the model engine stand-in.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Calls that run at once; more wait by priority.
    pub concurrency: usize,
    /// Prompt tokens a second that are not in the cache.
    pub prefill_tokens_per_s: f64,
    /// Time for each generated token.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "decode_ms_per_token")]
    pub decode_per_token: Duration,
    /// Generated tokens if the request names no limit.
    pub default_max_tokens: u32,
    /// Size of the prefix cache.
    pub cache_tokens: u64,
    /// Delay after which a cache event is reported.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "event_lag_ms")]
    pub event_lag: Duration,
    /// One event of this many is never reported; none if 0.
    pub event_gap_every: u64,
    /// Delay of the load report.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "load_lag_ms")]
    pub load_lag: Duration,
    /// True if an order or call with an old fencing number is refused.
    pub checks_fence: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            concurrency: 8,
            prefill_tokens_per_s: 100_000.0,
            decode_per_token: Duration::from_millis(1),
            default_max_tokens: 16,
            cache_tokens: 100_000,
            event_lag: Duration::ZERO,
            event_gap_every: 0,
            load_lag: Duration::ZERO,
            checks_fence: false,
        }
    }
}
