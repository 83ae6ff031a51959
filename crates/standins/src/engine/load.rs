//! The engine's load report.

use serde::Deserialize;
use serde::Serialize;

/// The engine's load as it was some time ago.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Calls that run.
    pub running: usize,
    /// Calls that wait.
    pub queued: usize,
    /// Calls that can run at once.
    pub concurrency: usize,
    /// Tokens in the prefix cache.
    pub cached_tokens: u64,
    /// Nominal speed of prompt processing.
    pub prefill_tokens_per_s: f64,
    /// Nominal time for each generated token, in milliseconds.
    pub decode_ms_per_token: f64,
}
