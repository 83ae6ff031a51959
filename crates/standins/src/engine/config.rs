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
    /// Maximum number of concurrent calls; further calls are queued by priority.
    pub concurrency: usize,
    /// Processing speed of uncached prompt tokens.
    pub prefill_tokens_per_s: f64,
    /// Time to generate one token.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "decode_ms_per_token")]
    pub decode_per_token: Duration,
    /// Number of tokens to generate if the request sets no `max_tokens`.
    pub default_max_tokens: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Delay before a cache event becomes visible.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "event_lag_ms")]
    pub event_lag: Duration,
    /// Every n-th cache event is omitted; 0 omits none.
    pub event_gap_every: u64,
    /// Delay before a load change becomes visible.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "load_lag_ms")]
    pub load_lag: Duration,
    /// Whether orders and calls with a stale fencing token are refused.
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
