//! How long this host has had no news from outside its data centre.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::units::Moment;

/// The last moment up to which news from outside would have arrived.
///
/// Hosts that do not watch the platform learn through others of their data
/// centre, so each passes on how old its own news is.
#[derive(Clone, Debug)]
pub struct LastContact {
    last: Arc<Mutex<Moment>>,
}

impl LastContact {
    /// A host that starts now.
    pub fn new(now: Moment) -> Self {
        Self {
            last: Arc::new(Mutex::new(now)),
        }
    }

    /// The platform or a host of another data centre answered.
    pub fn record_direct(&self, now: Moment) {
        let mut last = self.last.lock();
        *last = now.max(*last);
    }

    /// A host of this data centre answered with news of the given age.
    pub fn record_relayed(&self, now: Moment, age: Duration) {
        let mut last = self.last.lock();
        // A span longer than the clock has run tells nothing.
        let Some(contacted) = now.since_start().checked_sub(age) else {
            return;
        };
        *last = Moment::from_start(contacted).max(*last);
    }

    /// Age of the latest news.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(*self.last.lock())
    }
}
