//! Load reports that hosts of one data centre send each other.
//!
//! A host hears of an engine only with its own calls. Where hosts are many, most of
//! what it knows has faded, so each message between hosts carries the latest reports
//! that the sender knows. Messages state ages, so that clocks do not matter.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::units::Moment;

/// Age of a report above which it is dropped, whatever sent it.
const MAX_AGE: Duration = Duration::from_secs(10);
/// Maximum number of engines in one message.
pub const MAX_REPORTS: usize = 64;
/// Length of a report in a message beside its names, in bytes, with loads below
/// 100,000 and a slowness of all digits.
const REPORT_BYTES: usize = 70;

/// Load of an engine as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// How long work takes there; 1 is usual. `None` if it does not say.
    pub slowness: Option<f64>,
}

/// A report as one host sends it to another. The names are short, since messages
/// have little room.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SharedReport {
    /// Name of the engine's service.
    #[serde(rename = "s")]
    pub service: Arc<str>,
    /// Id of the engine.
    #[serde(rename = "e")]
    pub engine: Box<str>,
    /// Number of running requests.
    #[serde(rename = "r")]
    pub running: u32,
    /// Number of queued requests.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// How long work takes there; `None` if the engine does not say.
    #[serde(default, rename = "x", skip_serializing_if = "Option::is_none")]
    pub slowness: Option<f64>,
    /// Time since the engine made the report, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

impl SharedReport {
    /// Load that the report states and when it was made; `None` if a value is
    /// invalid or the report is too old.
    pub fn read(&self, now: Moment) -> Option<(EngineLoad, Moment)> {
        let age = Duration::from_millis(self.age_ms);
        let is_valid = |slowness: f64| slowness.is_finite() && slowness >= 0.0;
        if age > MAX_AGE || !self.slowness.is_none_or(is_valid) {
            return None;
        }
        let load = EngineLoad {
            running: self.running,
            waiting: self.waiting,
            slowness: self.slowness,
        };
        Some((load, now.minus(age)))
    }

    /// Bytes that it takes up in a message at most.
    fn message_bytes(&self) -> usize {
        REPORT_BYTES + self.service.len() + self.engine.len()
    }
}

/// Bytes of reports that this host may send. A host that many others ask would
/// otherwise send all it knows to each of them.
#[derive(Debug, Default)]
pub struct SendBudget {
    bytes: f64,
    filled_at: Moment,
}

impl SendBudget {
    /// Returns the latest of the reports that there is room for in a message, at
    /// `bytes_per_s` over all messages, and charges them. Those that the receiver has
    /// `told` are left out.
    #[allow(clippy::cast_precision_loss, reason = "messages are short")]
    pub fn select(
        &mut self,
        mut reports: Vec<SharedReport>,
        told: &[SharedReport],
        bytes_per_s: f64,
        now: Moment,
    ) -> Vec<SharedReport> {
        let gained = now.since(self.filled_at).as_secs_f64() * bytes_per_s;
        self.bytes = (self.bytes + gained).min(bytes_per_s);
        self.filled_at = now;
        let is_known = |report: &SharedReport| {
            let is_same = |told: &SharedReport| {
                told.engine == report.engine && told.service == report.service
            };
            let told = told.iter().take(MAX_REPORTS).find(|told| is_same(told));
            told.is_some_and(|told| told.age_ms <= report.age_ms)
        };
        reports.retain(|report| !is_known(report));
        reports.sort_unstable_by_key(|report| report.age_ms);
        let affordable = reports.iter().take(MAX_REPORTS).take_while(|report| {
            let bytes = report.message_bytes() as f64;
            let has_room = bytes <= self.bytes;
            if has_room {
                self.bytes -= bytes;
            }
            has_room
        });
        let count = affordable.count();
        reports.truncate(count);
        reports
    }
}
