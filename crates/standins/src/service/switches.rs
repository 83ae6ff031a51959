//! Switches of the plain service stand-in.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::switch::spend;

/// Switches for failures; the default lets every call succeed at once.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Time that each run takes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "slow_ms")]
    pub slow: Duration,
    /// Next calls whose connection closes before they run.
    pub die_before: u32,
    /// Next calls that run and whose connection closes then.
    pub die_after: u32,
    /// Next calls that run and whose answer is shorter than its stated length.
    pub wrong_length: u32,
    /// Next calls that run and are answered late.
    pub late_answers: u32,
    /// Delay of a late answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "late_ms")]
    pub late: Duration,
    /// True while calls run and are never answered.
    pub hang: bool,
    /// True while calls are refused with status 503 before they run.
    pub refuse: bool,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fate {
    /// It runs and is answered.
    Answer,
    /// It runs and its connection closes.
    DieAfter,
    /// It does not run and its connection closes.
    DieBefore,
    /// It runs and is never answered.
    Hang,
    /// It runs and is answered after a delay.
    Late(Duration),
    /// It is refused before it runs.
    Refuse,
    /// It runs and its answer is cut off.
    WrongLength,
}

impl Switches {
    /// Decides what happens to a call and counts down the faults it used up.
    pub(crate) fn decide(&mut self) -> Fate {
        if self.refuse {
            return Fate::Refuse;
        }
        if self.hang {
            return Fate::Hang;
        }
        if spend(&mut self.die_before) {
            return Fate::DieBefore;
        }
        if spend(&mut self.die_after) {
            return Fate::DieAfter;
        }
        if spend(&mut self.wrong_length) {
            return Fate::WrongLength;
        }
        if spend(&mut self.late_answers) {
            return Fate::Late(self.late);
        }
        Fate::Answer
    }
}
