//! Switches of the platform stand-in: what goes wrong, and for whom.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::switch::spend;

/// How a call fails while the platform is out.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutMode {
    /// Never answers.
    Hang,
    /// Answers 503.
    #[default]
    Refuse,
}

/// Switches for failures; the default lets every call succeed.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Clients that are cut off, whatever the filters below.
    pub cut: BTreeSet<String>,
    /// Clients that the faults below apply to; all if empty.
    pub clients: BTreeSet<String>,
    /// Kinds of objects that the faults below apply to; all if empty.
    pub kinds: BTreeSet<String>,
    /// True while every call fails.
    pub out: bool,
    /// How calls fail while the platform is out or the client is cut off.
    pub out_mode: OutMode,
    /// Delay of every call before it takes effect.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
    /// Next writes that take effect and get no answer.
    pub lose_answers: u32,
    /// Next writes that are dropped before they take effect.
    pub lose_requests: u32,
    /// Next writes that take effect just before the write that follows them,
    /// and get no answer.
    pub hold_requests: u32,
    /// Next writes that take effect late, even if their caller has gone.
    pub late_requests: u32,
    /// Delay of a late write.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "late_ms")]
    pub late: Duration,
    /// Calls a second above which the answer is 429; no limit if absent.
    pub max_calls_per_second: Option<f64>,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fate {
    /// It takes effect and is answered, after a delay.
    Answer(Duration),
    /// It takes effect just before the next write and is never answered.
    Hold,
    /// It never takes effect and is never answered.
    Hang,
    /// It takes effect after a delay, even if its caller has gone.
    Late(Duration),
    /// It takes effect and its answer is lost.
    LoseAnswer,
    /// It is lost before it takes effect.
    LoseRequest,
    /// It is refused as the platform is out.
    Refuse,
}

impl Switches {
    /// Decides what happens to a call and counts down the faults it used up.
    pub(crate) fn decide(&mut self, client: &str, kind: &str, is_write: bool) -> Fate {
        if let Some(fate) = self.outage(client, kind) {
            return fate;
        }
        if !self.applies(client, kind) {
            return Fate::Answer(Duration::ZERO);
        }
        if !is_write {
            return Fate::Answer(self.delay);
        }
        if spend(&mut self.lose_requests) {
            return Fate::LoseRequest;
        }
        if spend(&mut self.lose_answers) {
            return Fate::LoseAnswer;
        }
        if spend(&mut self.hold_requests) {
            return Fate::Hold;
        }
        if spend(&mut self.late_requests) {
            return Fate::Late(self.late);
        }
        Fate::Answer(self.delay)
    }

    /// The fate of a call during an outage, if there is one for this call.
    pub(crate) fn outage(&self, client: &str, kind: &str) -> Option<Fate> {
        let out = self.out && self.applies(client, kind);
        if !out && !self.cut.contains(client) {
            return None;
        }
        Some(match self.out_mode {
            OutMode::Hang => Fate::Hang,
            OutMode::Refuse => Fate::Refuse,
        })
    }

    fn applies(&self, client: &str, kind: &str) -> bool {
        let client_matches = self.clients.is_empty() || self.clients.contains(client);
        let kind_matches = self.kinds.is_empty() || self.kinds.contains(kind);
        client_matches && kind_matches
    }
}
