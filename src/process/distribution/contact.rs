//! Time since a host last received updates from outside its data centre.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::units::Moment;

/// The moment up to which updates from outside the data centre are received.
///
/// Hosts that do not watch the platform receive updates through other hosts of
/// their data centre, so each host reports the age of its own last contact.
#[derive(Clone, Debug)]
pub struct LastContact {
    last: Arc<Mutex<Moment>>,
}

impl LastContact {
    /// Creates the state of a host that starts at `now`.
    pub fn new(now: Moment) -> Self {
        Self {
            last: Arc::new(Mutex::new(now)),
        }
    }

    /// Records an answer of the platform or of a host in another data centre.
    pub fn record_direct(&self, now: Moment) {
        let mut last = self.last.lock();
        *last = now.max(*last);
    }

    /// Records an answer of a host in this data centre whose own last contact
    /// has the given age.
    pub fn record_relayed(&self, now: Moment, age: Duration) {
        let mut last = self.last.lock();
        // A contact from before this host's clock started is older than `last`.
        let Some(contacted) = now.since_start().checked_sub(age) else {
            return;
        };
        *last = Moment::from_start(contacted).max(*last);
    }

    /// Time since the last contact.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(*self.last.lock())
    }
}
