//! Switches of the model engine stand-in.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::switch::spend;

/// Switches for failures; the default lets every call succeed.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Next calls whose connection closes before they run.
    pub die_before: u32,
    /// Next calls that run to their end and whose connection closes then.
    pub die_after: u32,
    /// Next calls whose answer stops in the middle.
    pub die_midway: u32,
    /// Next calls that run to their end and are answered late.
    pub late_answers: u32,
    /// Delay of a late answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "late_ms")]
    pub late: Duration,
    /// True while calls start and never go on.
    pub hang: bool,
    /// True while everything takes twice as long.
    pub half_speed: bool,
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
    /// Its answer stops in the middle.
    DieMidway,
    /// It starts and never goes on.
    Hang,
    /// It runs and is answered after a delay.
    Late(Duration),
    /// It is refused before it runs.
    Refuse,
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
        if spend(&mut self.die_midway) {
            return Fate::DieMidway;
        }
        if spend(&mut self.late_answers) {
            return Fate::Late(self.late);
        }
        Fate::Answer
    }
}
