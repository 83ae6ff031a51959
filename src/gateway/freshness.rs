//! Age of a host's knowledge of the operators' configuration.
//!
//! The store confirms that a version is the newest whenever it answers a read,
//! list or watch. Other hosts pass the age of their own confirmation on.

use std::time::Duration;

use parking_lot::Mutex;

use crate::units::Moment;

#[derive(Clone, Copy, Debug)]
struct Confirmation {
    version: u64,
    at: Moment,
}

/// Last time at which the configuration in force was known to be the newest.
#[derive(Debug, Default)]
pub struct Freshness(Mutex<Option<Confirmation>>);

impl Freshness {
    /// Records that `version` was the newest at `at`. Reports about an older
    /// version than the last are ignored.
    pub fn confirm(&self, version: u64, at: Moment) {
        let mut last = self.0.lock();
        let is_newer = |last: &Confirmation| (last.version, last.at) < (version, at);
        if last.as_ref().is_none_or(is_newer) {
            *last = Some(Confirmation { version, at });
        }
    }

    /// Time since the last confirmation; `None` before the first.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let last = *self.0.lock();
        last.map(|last| now.since(last.at))
    }
}
