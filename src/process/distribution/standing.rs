//! How much a host's configuration can be relied on.

use std::sync::Arc;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

/// How much a host's configuration can be relied on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Nothing yet: the host cannot serve.
    #[default]
    Starting,
    /// From a saved file, its own or another host's: sound, but changes that
    /// were in force before the host started may be missing.
    Saved,
    /// From the platform, or from a host that is current itself.
    Current,
}

impl Standing {
    /// What a host gains from another host's answer.
    ///
    /// A host that is starting itself vouches for nothing, so two hosts that
    /// start together do not take each other for a source.
    #[must_use]
    pub fn after_meeting(self, other: Self) -> Self {
        self.max(other)
    }
}

/// A host's standing, which only rises while it is live.
#[derive(Clone, Debug, Default)]
pub struct StandingCell(Arc<Mutex<Standing>>);

impl StandingCell {
    /// The present standing.
    pub fn get(&self) -> Standing {
        *self.0.lock()
    }

    /// Raises the standing.
    pub fn raise(&self, to: Standing) {
        let mut standing = self.0.lock();
        *standing = standing.after_meeting(to);
    }

    /// Starts over, before a host that had lapsed becomes live again.
    pub fn reset(&self) {
        *self.0.lock() = Standing::Starting;
    }
}
