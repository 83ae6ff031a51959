//! Fault switches of the plain service stand-in.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::switch::consume_one;

/// Fault injection switches; by default every call succeeds without delay.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Duration of each run.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "slow_ms")]
    pub slow: Duration,
    /// Number of upcoming calls whose connection closes before they run.
    pub die_before: u32,
    /// Number of upcoming calls that run and whose connection then closes without
    /// an answer.
    pub die_after: u32,
    /// Number of upcoming calls that run and whose answer is shorter than its
    /// content length.
    pub wrong_length: u32,
    /// Number of upcoming calls that run and are answered after `late`.
    pub late_answers: u32,
    /// Extra delay of a late answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "late_ms")]
    pub late: Duration,
    /// Whether calls start and then hang.
    pub hang: bool,
    /// Whether calls are refused with status 503 before they run.
    pub refuse: bool,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Runs and is answered.
    Answer,
    /// Runs, then the connection closes without an answer.
    DieAfter,
    /// Does not run; the connection closes without an answer.
    DieBefore,
    /// Starts and hangs until the caller disconnects.
    Hang,
    /// Runs and is answered after this extra delay.
    Late(Duration),
    /// Refused before it runs.
    Refuse,
    /// Runs; the answer is shorter than its content length.
    WrongLength,
}

impl Switches {
    /// Decides the outcome of a call and decrements the count of the fault used.
    pub(crate) fn decide_outcome(&mut self) -> Outcome {
        if self.refuse {
            return Outcome::Refuse;
        }
        if self.hang {
            return Outcome::Hang;
        }
        if consume_one(&mut self.die_before) {
            return Outcome::DieBefore;
        }
        if consume_one(&mut self.die_after) {
            return Outcome::DieAfter;
        }
        if consume_one(&mut self.wrong_length) {
            return Outcome::WrongLength;
        }
        if consume_one(&mut self.late_answers) {
            return Outcome::Late(self.late);
        }
        Outcome::Answer
    }
}
