//! Settings of the limits on clients that the operators do not control.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Result;
use super::check_range;

/// Limits on the connections of a host that serves callers.
///
/// Callers within the operators' limits reach none of the defaults: heads of
/// 16 KiB within 3 seconds, bodies of 4 MiB, and connections that are idle for
/// 15 seconds.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DoorConfig {
    /// Time from the first bytes of a head to its end.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "head_time_ms")]
    pub head_time: Duration,
    /// Time without any bytes of a body.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "body_pause_ms")]
    pub body_pause: Duration,
    /// Time in which the peer takes no bytes of an answer that waits for it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "read_pause_ms")]
    pub read_pause: Duration,
    /// Time after which a body or an answer that makes hardly any progress may
    /// lose its connection, when memory or places are short.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stuck_time_ms")]
    pub stuck_time: Duration,
    /// Maximum number of fields in a head.
    pub max_fields: usize,
    /// Largest read buffer of a connection, in bytes; bounds heads and requests
    /// that are sent ahead.
    pub read_buffer: usize,
    /// Receive buffer of the system for a connection, in bytes.
    pub receive_buffer: usize,
    /// Send buffer of the system for a connection, in bytes.
    pub send_buffer: usize,
}

impl Default for DoorConfig {
    fn default() -> Self {
        Self {
            head_time: Duration::from_secs(6),
            body_pause: Duration::from_secs(10),
            read_pause: Duration::from_secs(60),
            stuck_time: Duration::from_secs(2),
            max_fields: 100,
            read_buffer: 32 << 10,
            receive_buffer: 32 << 10,
            send_buffer: 32 << 10,
        }
    }
}

impl DoorConfig {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<()> {
        check_range("head_time_ms", self.head_time, MIN_HEAD_TIME, MAX_TIME)?;
        check_range("body_pause_ms", self.body_pause, MIN_TIME, MAX_TIME)?;
        check_range("read_pause_ms", self.read_pause, MIN_TIME, MAX_TIME)?;
        check_range("stuck_time_ms", self.stuck_time, MIN_TIME, MAX_TIME)?;
        check_range("max_fields", self.max_fields, 32, 1000)?;
        check_range("read_buffer", self.read_buffer, MIN_READ_BUFFER, 1 << 20)?;
        check_range("receive_buffer", self.receive_buffer, 4 << 10, 4 << 20)?;
        check_range("send_buffer", self.send_buffer, 4 << 10, 4 << 20)
    }
}

const MIN_TIME: Duration = Duration::from_secs(1);
/// Callers may take 3 seconds for a head.
const MIN_HEAD_TIME: Duration = Duration::from_secs(4);
const MAX_TIME: Duration = Duration::from_secs(600);
/// A head may have 16 KiB of fields, beside its first line.
const MIN_READ_BUFFER: usize = 24 << 10;
