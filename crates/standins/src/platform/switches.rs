//! Fault switches of the platform stand-in.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::switch::consume_one;

/// How a call fails during an outage.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutMode {
    /// The call is never answered.
    Hang,
    /// The call is refused with status 503.
    #[default]
    Refuse,
}

/// Fault injection switches; by default every call succeeds.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Clients whose every call fails, regardless of the filters below.
    pub cut: BTreeSet<String>,
    /// Clients affected by the faults below; empty for all.
    pub clients: BTreeSet<String>,
    /// Object kinds affected by the faults below; empty for all.
    pub kinds: BTreeSet<String>,
    /// Whether every call fails.
    pub out: bool,
    /// How calls fail while `out` is set or the client is in `cut`.
    pub out_mode: OutMode,
    /// Delay before each call takes effect.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
    /// Number of upcoming writes that take effect and get no answer.
    pub lose_answers: u32,
    /// Number of upcoming writes that are dropped before they take effect.
    pub lose_requests: u32,
    /// Number of upcoming writes that take effect just before the write that
    /// follows them, and get no answer.
    pub hold_requests: u32,
    /// Number of upcoming writes that take effect after `late`, even if their
    /// caller disconnects.
    pub late_requests: u32,
    /// Delay of a late write.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "late_ms")]
    pub late: Duration,
    /// Calls per second above which calls get status 429; `None` for no limit.
    pub max_calls_per_second: Option<f64>,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Takes effect and is answered after this delay.
    Answer(Duration),
    /// Takes effect just before the next write and is never answered.
    Hold,
    /// Neither takes effect nor is answered.
    Hang,
    /// Takes effect after this delay, even if the caller disconnects.
    Late(Duration),
    /// Takes effect; the connection closes without an answer.
    LoseAnswer,
    /// Takes no effect; the connection closes without an answer.
    LoseRequest,
    /// Refused with status 503 because of an outage.
    Refuse,
}

impl Switches {
    /// Decides the outcome of a call and decrements the count of the fault used.
    pub(crate) fn decide_outcome(&mut self, client: &str, kind: &str, is_write: bool) -> Outcome {
        if let Some(outcome) = self.outage_outcome(client, kind) {
            return outcome;
        }
        if !self.applies_to(client, kind) {
            return Outcome::Answer(Duration::ZERO);
        }
        if !is_write {
            return Outcome::Answer(self.delay);
        }
        if consume_one(&mut self.lose_requests) {
            return Outcome::LoseRequest;
        }
        if consume_one(&mut self.lose_answers) {
            return Outcome::LoseAnswer;
        }
        if consume_one(&mut self.hold_requests) {
            return Outcome::Hold;
        }
        if consume_one(&mut self.late_requests) {
            return Outcome::Late(self.late);
        }
        Outcome::Answer(self.delay)
    }

    /// Returns the outcome of a call during an outage; `None` if no outage affects
    /// it.
    pub(crate) fn outage_outcome(&self, client: &str, kind: &str) -> Option<Outcome> {
        let out = self.out && self.applies_to(client, kind);
        if !out && !self.cut.contains(client) {
            return None;
        }
        Some(match self.out_mode {
            OutMode::Hang => Outcome::Hang,
            OutMode::Refuse => Outcome::Refuse,
        })
    }

    fn applies_to(&self, client: &str, kind: &str) -> bool {
        let client_matches = self.clients.is_empty() || self.clients.contains(client);
        let kind_matches = self.kinds.is_empty() || self.kinds.contains(kind);
        client_matches && kind_matches
    }
}
