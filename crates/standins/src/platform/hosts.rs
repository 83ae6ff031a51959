//! List of endpoint hosts, published with a delay.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Entry of the list of endpoint hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostStatus {
    /// Host name.
    pub host: String,
    /// Whether the host is about to be removed.
    pub leaving: bool,
}

/// A new list of endpoint hosts and the delay before it becomes visible.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostList {
    /// All endpoint hosts; they replace the earlier list.
    pub hosts: Vec<HostStatus>,
    /// Delay before the list becomes visible.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lag_ms")]
    pub lag: Duration,
}
