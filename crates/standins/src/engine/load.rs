//! Load report of the engine.

use serde::Deserialize;
use serde::Serialize;

/// Load of the engine, as old as the configured `load_lag`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Number of running calls.
    pub running: usize,
    /// Number of queued calls.
    pub queued: usize,
    /// Maximum number of concurrent calls.
    pub concurrency: usize,
    /// Number of tokens in the prefix cache.
    pub cached_tokens: u64,
    /// Nominal prompt processing speed.
    pub prefill_tokens_per_s: f64,
    /// Nominal time to generate one token, in milliseconds.
    pub decode_ms_per_token: f64,
}
