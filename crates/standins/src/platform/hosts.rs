//! The delayed list of endpoint hosts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// One line of the list of endpoint hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostStatus {
    /// Host name.
    pub host: String,
    /// True once the host is about to go.
    pub leaving: bool,
}

/// A new list of endpoint hosts and the time until it is visible.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostList {
    /// All hosts.
    pub hosts: Vec<HostStatus>,
    /// Time until the list is visible.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lag_ms")]
    pub lag: Duration,
}
