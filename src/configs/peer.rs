//! Settings of calls between hosts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Settings of calls between hosts.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerConfig {
    /// Longest time for one control call.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// Largest control message, in bytes.
    pub max_message_bytes: usize,
}

impl Default for PeerConfig {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(500),
            max_message_bytes: 4 * 1024 * 1024,
        }
    }
}
