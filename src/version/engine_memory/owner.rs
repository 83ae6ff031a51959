//! Decides at a program's owner whether a cache is in use.

use serde::Deserialize;
use serde::Serialize;

use super::CacheHandle;
use crate::ids::CustomerId;
use crate::ids::Epoch;

/// Whether a cache is in use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheStatus {
    /// The program is active in the handle's epoch.
    InUse,
    /// No call will use the handle again; holds the present owner's epoch.
    #[serde(rename = "gone")]
    Unused(Epoch),
    /// No owner could determine it; the cache must be kept.
    Unknown,
}

/// State of a program in its owner's journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramState {
    /// Customer of the program.
    pub customer: CustomerId,
    /// Whether the program has ended.
    pub ended: bool,
    /// Whether a call of the program is waiting or running.
    pub busy: bool,
}

/// This host's state of a partition and of one program in it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerState {
    /// Epoch in which this host serves the partition in full; `None` if it does
    /// not.
    pub serving_epoch: Option<Epoch>,
    /// State of the program; `None` if the journal does not have it.
    pub program: Option<ProgramState>,
}

impl OwnerState {
    /// Returns whether the handle's cache is in use.
    ///
    /// [`CacheStatus::Unused`] is final: epochs never decrease and an ended
    /// program never becomes active again.
    pub fn cache_status(&self, handle: &CacheHandle) -> CacheStatus {
        let Some(epoch) = self.serving_epoch else {
            return CacheStatus::Unknown;
        };
        if handle.epoch > epoch {
            return CacheStatus::Unknown;
        }
        let is_current = handle.epoch == epoch;
        let is_user = |program: &ProgramState| {
            let is_active = !program.ended || program.busy;
            is_active && program.customer == handle.customer
        };
        if is_current && self.program.as_ref().is_some_and(is_user) {
            CacheStatus::InUse
        } else {
            CacheStatus::Unused(epoch)
        }
    }
}
