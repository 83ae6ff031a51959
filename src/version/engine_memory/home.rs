//! The answer of a program's owner to whether a cache is in use.

use serde::Deserialize;
use serde::Serialize;

use super::CacheHandle;
use crate::ids::CustomerId;
use crate::ids::Epoch;

/// Whether a cache is in use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The program lives under the handle's epoch.
    InUse,
    /// No call will use the handle again; the epoch is the present owner's.
    Gone(Epoch),
    /// Nobody could tell; the cache must be kept.
    Unknown,
}

/// A program as its owner's journal knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HomeProgram {
    /// Its customer.
    pub customer: CustomerId,
    /// True once it has ended.
    pub ended: bool,
    /// True while a call of it waits or runs.
    pub busy: bool,
}

/// What the owner of a partition knows of a handle's program.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Home {
    /// Epoch at which this host serves the partition in full; absent if it
    /// does not.
    pub serves: Option<Epoch>,
    /// The program, if the journal has it.
    pub program: Option<HomeProgram>,
}

impl Home {
    /// Judges a handle.
    ///
    /// A verdict of [`Verdict::Gone`] is final: epochs never fall and an ended
    /// program never lives again.
    pub fn judge(&self, handle: &CacheHandle) -> Verdict {
        let Some(epoch) = self.serves else {
            return Verdict::Unknown;
        };
        if handle.epoch > epoch {
            return Verdict::Unknown;
        }
        let is_current = handle.epoch == epoch;
        let uses = |program: &HomeProgram| {
            let lives = !program.ended || program.busy;
            lives && program.customer == handle.customer
        };
        if is_current && self.program.as_ref().is_some_and(uses) {
            Verdict::InUse
        } else {
            Verdict::Gone(epoch)
        }
    }
}
